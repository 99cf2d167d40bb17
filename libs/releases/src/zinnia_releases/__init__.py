"""Release notes, the moves that carry them out, and vetoes against bad versions."""
