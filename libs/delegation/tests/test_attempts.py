import unittest

import trio
from fakes import HEDGE_S, REPLICAS, SHARDS, run_shared_fanout
from hypothesis import given
from hypothesis import strategies as st

from zinnia_sending.answers import ExchangeResult
from zinnia_sending.outcomes import RunVerdict

ANSWERED = ExchangeResult.ANSWERED
FAILED = ExchangeResult.FAILED
NEVER_S = 60.0
# Retries of one fan-out until it is found that no replica answers: two at once, and one more from
# each of both VMs.
MAX_CRASH_RETRIES = 4

EXCHANGES = st.tuples(
    st.sampled_from((0.002, 0.01, 0.025, 0.04, 0.08, 0.3, NEVER_S)),
    st.sampled_from((ANSWERED, ANSWERED, FAILED, ExchangeResult.BROKEN, ExchangeResult.NOT_RUN)),
)


def make_script(*exchanges):
    """Return a script in which all replicas of all shards end as ``exchanges``, by replica."""
    rows = dict(zip(REPLICAS, exchanges, strict=True))
    return {f"{shard}-{replica}": row for shard in SHARDS for replica, row in rows.items()}


class AttemptsOverTwoVmsTest(unittest.TestCase):
    """A request runs no more often for a shard than its route allows, whichever VM sends it."""

    def check_attempts(self, script, act, max_attempts=2, delay_s=0.0002):
        outcome, ran = run_shared_fanout(script, act, max_attempts, delay_s)
        most = max((len(replicas) for replicas in ran.values()), default=0)
        self.assertLessEqual(most, max_attempts, ran)
        return outcome

    def test_retries_of_a_vm_that_is_lost_soon_count(self):
        """Load pattern: replicas fail part of their requests while connections of VMs are reset.

        Guards against a third send: the other VM has sent again before the time of its hedges.
        """

        async def act(wire):
            await trio.sleep(0.008)
            await wire.reset()

        self.check_attempts(make_script(*[(0.005, FAILED)] * 4), act)

    def test_hedges_of_a_vm_that_is_cut_off_count(self):
        """Load pattern: the network cuts a VM off from its peers, but not from the replicas.

        Guards against a third send: the other VM hedges after it was given up as silent, as it does
        not learn of that.
        """

        async def act(wire):
            await trio.sleep(0.0003)
            wire.hold("calls", "replies")

        self.check_attempts(make_script(*[(NEVER_S, FAILED)] * 4), act)

    def test_sends_of_a_vm_that_is_slow_to_accept_count(self):
        """Load pattern: a VM is busy, so that its replies are late, while replicas fail.

        Guards against a third send: the other VM has sent again before it was given up as silent.
        """

        async def act(wire):
            await trio.lowlevel.checkpoint()

        self.check_attempts(make_script(*[(0.002, FAILED)] * 4), act, delay_s=0.02)

    def test_request_that_crashes_replicas_is_not_retried_at_all_shards(self):
        """Load pattern: each replica that runs the request ends without an answer.

        Guards against a fan-out that takes all replicas of all shards, as the VM that delegates
        does not know of the crashes that another VM has seen.
        """

        async def act(wire):
            await trio.lowlevel.checkpoint()

        crash = (0.002, ExchangeResult.BROKEN, True)
        _, ran = run_shared_fanout(make_script(*[crash] * 4), act, 3)
        self.assertLessEqual(sum(map(len, ran.values())), len(SHARDS) + MAX_CRASH_RETRIES, ran)

    def test_shards_of_a_lost_vm_are_sent_from_here(self):
        """Load pattern: a VM is killed while it runs the shards of other VMs.

        Guards against giving up shards that this VM may still send: the other one has sent each of
        them once.
        """

        async def act(wire):
            await trio.sleep(2 * HEDGE_S)
            await wire.reset()

        script = make_script(*[(HEDGE_S - 0.005, ANSWERED)] * 4)
        script.update({f"s0-{replica}": (NEVER_S, FAILED) for replica in REPLICAS})
        outcome = self.check_attempts(script, act)
        self.assertIs(RunVerdict.PARTIAL, outcome.verdict)
        self.assertEqual(1, outcome.missing)

    def test_slow_shards_of_another_vm_are_hedged(self):
        """Load pattern: one replica of each shard is slow.

        Guards against a VM that gets no permission for its hedges.
        """

        async def act(wire):
            await trio.lowlevel.checkpoint()

        rows = [(NEVER_S, FAILED)] + [(0.01, ANSWERED)] * 3
        outcome = self.check_attempts(make_script(*rows), act)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)

    @given(
        exchanges=st.tuples(*[EXCHANGES] * len(REPLICAS)),
        faults=st.lists(
            st.tuples(
                st.sampled_from((0.0001, 0.001, 0.005, 0.02, 0.03, 0.05, 0.2)),
                st.sampled_from(("calls", "replies", "both", "release", "reset")),
            ),
            max_size=4,
        ),
        max_attempts=st.integers(1, 3),
        delay_s=st.sampled_from((0.0002, 0.001, 0.02)),
    )
    def test_no_sequence_of_faults_adds_sends(self, exchanges, faults, max_attempts, delay_s):
        """Guards against a count of sends that depends on when messages between VMs arrive."""

        async def act(wire):
            for pause_s, fault in faults:
                await trio.sleep(pause_s)
                if fault == "reset":
                    await wire.reset()
                elif fault == "release":
                    wire.release()
                else:
                    wire.hold(*(("calls", "replies") if fault == "both" else (fault,)))

        self.check_attempts(make_script(*exchanges), act, max_attempts, delay_s)
