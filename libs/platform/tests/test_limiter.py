import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_model.errors import PlatformBudgetError
from zinnia_platform.limiter import FLEET_RATES, CallKind, CallLimiter


def count_allowed(limiter: CallLimiter, kind: CallKind, times: list[float]) -> int:
    for now in times:
        try:
            limiter.take(kind, now)
        except PlatformBudgetError as error:
            assert not error.maybe_applied
    return limiter.allowed[kind]


class CallLimiterTest(unittest.TestCase):
    @given(st.integers(1, 500), st.lists(st.floats(0, 20), max_size=600))
    def test_fleet_share_is_never_exceeded(self, size, times):
        limiter = CallLimiter(size)
        allowed = count_allowed(limiter, CallKind.WRITE, sorted(times))
        share = FLEET_RATES[CallKind.WRITE] / size
        self.assertLessEqual(allowed, max(1.0, share) + 20 * share + 1e-6)
        self.assertEqual(len(times), allowed + limiter.refused[CallKind.WRITE])

    def test_larger_fleet_takes_effect_on_saved_tokens(self):
        limiter = CallLimiter(1)
        limiter.set_fleet_size(300, now=0.0)
        self.assertEqual(1, count_allowed(limiter, CallKind.WRITE, [0.0] * 10))

    def test_kinds_do_not_starve_each_other(self):
        limiter = CallLimiter(8)
        count_allowed(limiter, CallKind.READ, [0.0] * 1000)
        self.assertEqual(1, count_allowed(limiter, CallKind.WRITE, [0.0]))


if __name__ == "__main__":
    unittest.main()
