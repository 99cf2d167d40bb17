import time
import unittest
from unittest.mock import patch

import trio

from zinnia_catalog.clock import SuspendAwareClock

SUSPENDED_S = 10.0
real_clock_gettime = time.clock_gettime


class SuspendedVm:
    """Moves the clock that counts suspended time, and leaves the steady clock as it is."""

    def __init__(self):
        self.suspended_s = 0.0

    def read(self, clock):
        offset_s = self.suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return real_clock_gettime(clock) + offset_s


class SuspendAwareClockTest(unittest.TestCase):
    """Load pattern: a VM is suspended for seconds and continues where it was."""

    def run_on_vm(self, test, clock):
        vm = SuspendedVm()
        with patch("time.clock_gettime", vm.read):
            return trio.run(test, vm, clock=clock)

    async def wait_while_suspended(self, vm):
        """Return whether a deadline of half the suspension has expired when the VM continues."""
        with trio.move_on_after(SUSPENDED_S / 2) as scope:
            await trio.lowlevel.checkpoint()
            vm.suspended_s = SUSPENDED_S
            await trio.lowlevel.checkpoint()
            await trio.lowlevel.checkpoint()
        return scope.cancelled_caught

    def test_deadline_expires_while_the_vm_is_suspended(self):
        """Guards against a request that is sent with time that its caller no longer has."""
        self.assertTrue(self.run_on_vm(self.wait_while_suspended, SuspendAwareClock()))

    def test_steady_clock_does_not_expire_it(self):
        """Shows the failure that the clock guards against."""
        self.assertFalse(self.run_on_vm(self.wait_while_suspended, None))

    def test_age_includes_the_suspension(self):
        """Guards against telling other VMs that data from before the suspension is new."""

        async def measure_age(vm):
            started = trio.current_time()
            vm.suspended_s = SUSPENDED_S
            return trio.current_time() - started

        self.assertGreaterEqual(self.run_on_vm(measure_age, SuspendAwareClock()), SUSPENDED_S)

    def test_timers_run_at_their_time(self):
        """Guards against an event loop that sleeps too long or not at all."""

        async def measure_sleep(vm):
            started = time.monotonic()
            await trio.sleep(0.05)
            return time.monotonic() - started

        slept_s = self.run_on_vm(measure_sleep, SuspendAwareClock())
        self.assertTrue(0.05 <= slept_s < 0.5, slept_s)
