import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_model.errors import PlatformBudgetError
from zinnia_platform.limiter import FLEET_CALLS_PER_S, CallKind, CallLimiter


def count_allowed(limiter: CallLimiter, kind: CallKind, times: list[float]) -> int:
    for now in times:
        try:
            limiter.acquire(kind, now)
        except PlatformBudgetError as error:
            assert not error.maybe_applied
    return limiter.allowed[kind]


class CallLimiterTest(unittest.TestCase):
    @given(st.integers(1, 500), st.lists(st.floats(0, 20), max_size=600))
    def test_allowed_calls_stay_within_the_share_of_the_vm(self, size, times):
        limiter = CallLimiter(size)
        allowed = count_allowed(limiter, CallKind.WRITE, sorted(times))
        share = FLEET_CALLS_PER_S[CallKind.WRITE] / size
        self.assertLessEqual(allowed, max(1.0, share) + 20 * share + 1e-6)
        self.assertEqual(len(times), allowed + limiter.refused[CallKind.WRITE])

    def test_larger_fleet_size_discards_tokens_beyond_the_new_capacity(self):
        limiter = CallLimiter(1)
        limiter.set_fleet_size(300, now=0.0)
        self.assertEqual(1, count_allowed(limiter, CallKind.WRITE, [0.0] * 10))

    def test_exhausted_reads_leave_the_share_of_writes(self):
        limiter = CallLimiter(8)
        count_allowed(limiter, CallKind.READ, [0.0] * 1000)
        self.assertEqual(1, count_allowed(limiter, CallKind.WRITE, [0.0]))


if __name__ == "__main__":
    unittest.main()
