"""Settings of the interpreter's garbage collector for a process that answers requests."""

import gc

# Allocations between collections of the youngest generation, and collections of one generation
# between those of the next. With the default of 700, one fan-out starts several collections.
GC_THRESHOLDS = (5_000, 20, 20)


def reduce_collections() -> None:
    """Keep the garbage collector from scanning modules while requests wait."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
