import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_standins.backend_core import BackendCore, Job, JobState, Refusal
from zinnia_standins.deployment import ColdSettings, ReplicaSpec

WARM = ColdSettings(at_start=False)


def make_core(**fields: object) -> BackendCore:
    return BackendCore(ReplicaSpec(id="r-1", service="s", shards=("a",), **fields), now=0.0)


def make_job(body: bytes = b"", deadline_at: float = 1e9, snapshot: str = "s1") -> Job:
    return Job("q", "a", snapshot, "find", "key", body, deadline_at)


def arrive(core: BackendCore, now: float = 0.0, **fields: object) -> Job:
    job = make_job(**fields)
    core.arrive(job, now)
    return job


class BackendCoreTest(unittest.TestCase):
    def test_load_beyond_cold_concurrency_crashes_and_is_counted(self):
        core = make_core()
        arrive(core)
        first = core.start_id
        self.assertIs(JobState.CRASHED, arrive(core).state)
        self.assertTrue(core.crashed)
        core.restart(1.0)
        self.assertNotEqual(first, core.start_id)
        counts = core.describe_counts(1.0)
        self.assertEqual(
            (2, 1, 1), (counts["max_in_progress_cold"], counts["crashes"], core.counts.runs)
        )

    def test_warms_up_after_answers_or_seconds(self):
        core = make_core(cold=ColdSettings(answers=2, seconds=5.0))
        for _ in range(2):
            self.assertTrue(core.is_cold(1.0))
            core.finish(arrive(core, 1.0), 1.0)
        self.assertFalse(core.is_cold(1.0))
        self.assertFalse(make_core(cold=ColdSettings(seconds=5.0)).is_cold(5.0))

    def test_sheds_when_slots_and_queue_are_full(self):
        core = make_core(cold=WARM, slots=1, queue=1)
        running, queued = arrive(core), arrive(core)
        self.assertIs(Refusal.OVERLOADED, arrive(core).refusal)
        self.assertEqual([queued], core.finish(running, 1.0))
        self.assertIs(JobState.RUNNING, queued.state)

    def test_refusals_are_not_counted_as_runs(self):
        core = make_core(cold=WARM)
        self.assertIs(Refusal.DEADLINE, arrive(core, 2.0, deadline_at=1.0).refusal)
        self.assertIs(Refusal.SNAPSHOT_GONE, arrive(core, snapshot="old").refusal)
        core.set_faults({"draining": True}, 3.0)
        self.assertIs(Refusal.DRAINING, arrive(core, 4.0).refusal)
        counts = core.describe_counts(5.0)
        self.assertEqual(
            (0, None, 1.0), (counts["runs"], counts["last_run_age_s"], counts["last_request_age_s"])
        )

    def test_bad_version_fails_only_on_its_route_after_its_time_and_under_load(self):
        core = make_core(cold=WARM)
        bad = {"fault_fraction": 1.0, "bad_routes": ["find"], "after_s": 5.0, "above_in_flight": 1}
        core.set_faults(bad, 0.0)
        self.assertFalse(arrive(core, 1.0).fault)
        self.assertTrue(arrive(core, 6.0).fault)
        other = make_core(cold=WARM)
        other.set_faults({"fault_fraction": 1.0, "bad_routes": ["list"]}, 0.0)
        self.assertFalse(arrive(other, 1.0).fault)

    def test_marker_crashes_the_replica_and_counts_the_run_by_key(self):
        core = make_core(cold=WARM)
        core.set_faults({"crash_marker": "poison"}, 0.0)
        arrive(core, body=b"a poison pill")
        self.assertTrue(core.crashed)
        self.assertEqual({"key": 1}, dict(core.counts.runs_by_key))

    def test_health_lags_and_lies(self):
        core = make_core()
        core.set_faults({"health_lag_s": 5.0}, 0.0)
        core.describe_health(0.0)
        core.set_faults({"draining": True}, 1.0)
        self.assertFalse(core.describe_health(2.0)["draining"])
        core.describe_health(3.0)
        self.assertTrue(core.describe_health(9.0)["draining"])
        core.set_faults({"lie": True, "health_lag_s": 0.0}, 10.0)
        self.assertEqual("warm", core.describe_temperature(10.0))
        self.assertFalse(core.describe_health(10.0)["cold"])

    @given(st.lists(st.sampled_from("afc"), max_size=60), st.integers(1, 4), st.integers(0, 3))
    def test_running_never_exceeds_slots_and_nothing_is_lost(self, steps, slots, queue):
        core = make_core(cold=WARM, slots=slots, queue=queue)
        jobs = []
        for now, step in enumerate(steps):
            running = [job for job in jobs if job.state is JobState.RUNNING]
            if step == "a":
                jobs.append(arrive(core, now))
            elif running and step == "f":
                core.finish(running[0], now)
                jobs.remove(running[0])
            elif jobs:
                core.cancel(jobs.pop(0), now)
            states = [job.state for job in jobs]
            self.assertLessEqual(states.count(JobState.RUNNING), slots)
            self.assertLessEqual(states.count(JobState.QUEUED), queue)
            self.assertTrue(JobState.RUNNING in states or JobState.QUEUED not in states)


if __name__ == "__main__":
    unittest.main()
