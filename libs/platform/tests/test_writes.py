import unittest

import trio
from hypothesis import given
from hypothesis import strategies as st
from trio.testing import MockClock

from zinnia_platform.writes import WriteEffect, WriteResult, put_with_read_back
from zinnia_standins.platform_core import PlatformCore, Write
from zinnia_standins.platform_store import FakeObjectStore


def run_write(core: PlatformCore, if_version: int = 0, concurrent_task=None) -> WriteResult:
    async def main() -> WriteResult:
        results = []
        async with trio.open_nursery() as nursery:
            if concurrent_task is not None:
                nursery.start_soon(concurrent_task)
            results.append(
                await put_with_read_back(
                    FakeObjectStore(core),
                    "config",
                    "a",
                    {"id": "mine"},
                    if_version,
                    lambda value: value["id"] == "mine",
                    trio.current_time() + 3.0,
                )
            )
        return results[0]

    return trio.run(main, clock=MockClock(autojump_threshold=0))


class PutWithReadBackTest(unittest.TestCase):
    def test_write_whose_reply_is_lost_is_found_to_have_taken_effect(self):
        core = PlatformCore()
        core.set_faults({"lose_replies": 1})
        result = run_write(core)
        self.assertEqual((WriteEffect.TOOK_EFFECT, 1), (result.effect, result.version))

    def test_conflict_and_outage_give_no_effect(self):
        core = PlatformCore()
        core.apply(Write("config", "a", {"id": "other"}, 0))
        self.assertIs(WriteEffect.NO_EFFECT, run_write(core).effect)
        core.set_faults({"outage": True})
        self.assertIs(WriteEffect.NO_EFFECT, run_write(core, 1).effect)

    def test_effect_is_unknown_if_the_platform_never_replies(self):
        core = PlatformCore()
        core.set_faults({"silent": True})
        self.assertIs(WriteEffect.UNKNOWN_EFFECT, run_write(core).effect)

    def test_write_is_superseded_if_its_reply_is_lost_and_another_write_is_applied(self):
        core = PlatformCore()
        core.set_faults({"lose_replies": 1, "late_write_s": 60})

        async def write_other() -> None:
            await trio.sleep(0.01)
            core.apply(Write("config", "a", {"id": "other"}, 0))

        self.assertIs(WriteEffect.SUPERSEDED, run_write(core, concurrent_task=write_other).effect)

    @given(st.floats(0, 10), st.integers(1, 5))
    def test_delayed_write_has_no_effect_after_a_definite_result(self, write_delay_s, lost_replies):
        core = PlatformCore()
        core.set_faults({"lose_replies": lost_replies, "late_write_s": write_delay_s})
        result = run_write(core)
        before = core.get("config", "a")
        core.apply_due(1e9)
        if result.effect is not WriteEffect.UNKNOWN_EFFECT:
            self.assertEqual((before, before.version), (core.get("config", "a"), result.version))


if __name__ == "__main__":
    unittest.main()
