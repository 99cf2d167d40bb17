import unittest

from source_fleet import find_change_delays

# A change is in force at all VMs in touch this long after its acknowledgement, and what a VM has
# begun before that takes this long.
CONFIG_APPLY_S = 3.0
UNDER_WAY_S = 0.2
SMALL = (2, 2, 2)
FOUR_IN_ONE = (4,)
LARGE = (12, 11)
# Times of the disturbance between two confirmations by the store, which are up to 1.5 s apart.
PHASES_S = (9.0, 9.3, 9.6, 9.9, 10.2, 10.5)


def freeze(count):
    """Freeze the VMs that watch the store first, as many as ``count``."""

    def disturb(fleet):
        names = list(fleet.vms)[:count]
        for name in names:
            fleet.vms[name].freeze()
        return names

    return disturb


def reject(count):
    """Let the store reject the VMs that watch it first, as many as ``count``."""

    def disturb(fleet):
        names = list(fleet.vms)[:count]
        for name in names:
            fleet.vms[name].is_rejected = True
        return names

    return disturb


class FrozenSourceTest(unittest.TestCase):
    def assert_in_force(self, sizes, disturb, late_start=(), disturb_at_s=9.7):
        delays, _ = find_change_delays(sizes, disturb, late_start, disturb_at_s)
        self.assertLessEqual(max(delays.values()), CONFIG_APPLY_S - UNDER_WAY_S, delays)

    def test_change_reaches_all_vms_while_the_watchers_are_frozen(self):
        """Load pattern: the VMs that watch the store stand still, but their kernels accept.

        Guards against VMs that keep old data until a frozen VM goes on.
        """
        for sizes in (SMALL, FOUR_IN_ONE, LARGE):
            for count in (1, 2):
                with self.subTest(sizes=sizes, frozen=count):
                    self.assert_in_force(sizes, freeze(count))

    def test_change_reaches_the_last_vm_while_all_others_are_frozen(self):
        """Load pattern: all watchers and deputies stand still; guards against waiting for each."""
        for sizes in (SMALL, FOUR_IN_ONE, LARGE):
            for left in (1, 2):
                with self.subTest(sizes=sizes, left=left):
                    self.assert_in_force(sizes, freeze(sum(sizes) - left))

    def test_change_reaches_all_vms_while_the_store_rejects_the_watchers(self):
        """Load pattern: the store serves all but the VMs that watch it.

        Guards against followers that wait too long for data of a watcher that gets none.
        """
        for sizes in (SMALL, FOUR_IN_ONE):
            for count in (1, 2, 3):
                for disturb_at_s in PHASES_S:
                    with self.subTest(sizes=sizes, rejected=count, disturb_at_s=disturb_at_s):
                        self.assert_in_force(sizes, reject(count), (), disturb_at_s)

    def test_vm_that_starts_beside_frozen_watchers_knows_the_change(self):
        """Load pattern: a VM restarts while the watchers stand still.

        Guards against a start that waits for frozen VMs one after the other.
        """
        for count in (1, 2):
            with self.subTest(frozen=count):
                self.assert_in_force(SMALL, freeze(count), ("vm-3",))

    def test_few_vms_call_the_store_while_a_watcher_is_frozen(self):
        """Load pattern: many VMs follow a watcher that stands still.

        Guards against all of them calling the store at once, which charges for every call.
        """
        _, callers = find_change_delays((24,), freeze(1))
        self.assertLessEqual(len(callers), 6, callers)
