"""Clock of the event loop that also counts the time for which a VM was suspended."""

import time

import trio

# Added to the clock, so that times can't be mixed up with those of the steady clock.
CLOCK_OFFSET_S = 1e6


class SuspendAwareClock(trio.abc.Clock):
    """Clock of a process whose VM may be suspended.

    The steady clock stands still while a VM is suspended. With it, a process that wakes up acts on
    permissions that have run out meanwhile: deadlines of requests, idle timeouts of connections,
    warm-up times, and the age of what it tells other VMs.
    """

    def start_clock(self) -> None:
        """Do nothing; the clock runs since the start of the VM."""

    def current_time(self) -> float:
        """Return the seconds since the start of the VM, plus an offset."""
        return CLOCK_OFFSET_S + time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how many seconds the event loop may sleep until a deadline."""
        return deadline - self.current_time()
