"""Settings of the interpreter's garbage collector for a process that answers requests."""

import gc

# Allocations between collections of the youngest generation, and collections of one generation
# between those of the next. With the default of 700, a single fan-out triggers several collections.
GC_THRESHOLDS = (5_000, 20, 20)


def reduce_collections() -> None:
    """Exempt loaded modules from garbage collection, since scanning them delays requests."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
