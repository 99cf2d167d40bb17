import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_backends.temperature import RAMP_SUCCESSES, ColdEvidence, Temperature


def warm_up(slots=2):
    temperature = Temperature(slots, 1)
    for _ in range(slots * 20):
        temperature.note_good(1.0, 0.01, 1.0)
    return temperature


class TemperatureTest(unittest.TestCase):
    def test_limit_rises_by_one_after_each_row_of_good_answers(self):
        """Guards against full load on a replica that has proved only a few answers."""
        temperature = Temperature(slots=3, cold_concurrency=1)
        limits = []
        for _ in range(2 * RAMP_SUCCESSES):
            temperature.note_good(0.0, 0.01, 0.0)
            limits.append(temperature.limit)
        self.assertEqual([1] * 4 + [2] * 5 + [3], limits)
        self.assertFalse(temperature.cold)

    def test_answers_sent_before_cold_evidence_do_not_raise_the_limit(self):
        """Guards against a ramp fed by answers of the warm process before a restart."""
        temperature = warm_up()
        temperature.note_cold(ColdEvidence.CONNECT_REFUSED, now=5.0)
        for _ in range(20):
            temperature.note_good(4.9, 0.01, 5.1)
        self.assertEqual((True, 1), (temperature.cold, temperature.limit))

    def test_third_slow_answer_in_a_row_is_cold_evidence(self):
        """Guards against missing a replica that turned cold without saying so."""
        temperature = warm_up()
        for _ in range(2):
            temperature.note_good(2.0, 0.05, 2.0)
        self.assertFalse(temperature.cold)
        temperature.note_good(2.0, 0.05, 2.0)
        self.assertTrue(temperature.cold)

    def test_lagging_health_does_not_bring_back_an_old_start(self):
        """Guards against a replica kept cold by a health endpoint that lags."""
        temperature = warm_up()
        temperature.note_start("a", 2.0, 2.0)
        self.assertTrue(temperature.note_start("b", 3.0, 3.0))
        self.assertFalse(temperature.note_start("a", 4.0))
        self.assertEqual("b", temperature.start_id)

    def test_replica_that_hides_its_cold_start_is_known_by_its_times(self):
        """Guards against full load on a replica whose answers say warm while it is cold."""
        temperature = Temperature(slots=2, cold_concurrency=1)
        for number in range(32):
            temperature.note_good(float(number), 0.010, float(number))
        self.assertFalse(temperature.cold)
        temperature.note_cold(ColdEvidence.CONNECTIONS_RESET, 100.0)
        for number in range(20):
            temperature.note_good(101.0 + number, 0.020, 101.0 + number)
        self.assertEqual(1, temperature.limit)
        for number in range(5):
            temperature.note_good(130.0 + number, 0.011, 130.0 + number)
        self.assertFalse(temperature.cold)

    def test_replica_that_stays_slower_is_used_in_full_again(self):
        """Guards against a replica on a slower VM that never leaves its cold start."""
        temperature = Temperature(slots=2, cold_concurrency=1)
        for number in range(32):
            temperature.note_good(float(number), 0.010, float(number))
        temperature.note_cold(ColdEvidence.NEW_START, 100.0)
        for number in range(50):
            temperature.note_good(101.0 + number, 0.020, 101.0 + number)
        self.assertFalse(temperature.cold)

    @given(
        st.integers(1, 6),
        st.integers(1, 6),
        st.lists(st.sampled_from(["good", "bad", "cold", "slots"]), max_size=80),
    )
    def test_limit_stays_between_cold_limit_and_slots(self, slots, cold, events):
        """Guards against a limit above the slots, or above the cold limit right after evidence."""
        temperature = Temperature(slots, cold)
        for now, event in enumerate(events):
            if event == "good":
                temperature.note_good(now, 0.01, now)
            elif event == "bad":
                temperature.note_bad()
            elif event == "cold":
                temperature.note_cold(ColdEvidence.ANSWER, now)
                self.assertEqual(min(cold, slots), temperature.limit)
            else:
                slots = slots % 6 + 1
                temperature.configure(slots, cold)
            self.assertTrue(min(cold, slots) <= temperature.limit <= slots)
            self.assertTrue(temperature.cold or temperature.limit == slots)


if __name__ == "__main__":
    unittest.main()
