"""Release notes, moves, fault evidence and vetoes."""
