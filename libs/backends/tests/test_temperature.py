import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_backends.temperature import GOOD_ANSWERS_PER_STEP, ColdEvidence, Temperature


def make_warm_temperature(slots=2):
    temperature = Temperature(slots, 1)
    for _ in range(slots * 20):
        temperature.record_good_answer(1.0, 0.01, 1.0)
    return temperature


class TemperatureTest(unittest.TestCase):
    def test_limit_rises_by_one_after_every_five_good_answers(self):
        """Guards against full load on a replica after only a few good answers."""
        temperature = Temperature(slots=3, cold_concurrency=1)
        limits = []
        for _ in range(2 * GOOD_ANSWERS_PER_STEP):
            temperature.record_good_answer(0.0, 0.01, 0.0)
            limits.append(temperature.limit)
        self.assertEqual([1] * 4 + [2] * 5 + [3], limits)
        self.assertFalse(temperature.cold)

    def test_answers_sent_before_cold_evidence_do_not_raise_the_limit(self):
        """Guards against a ramp that counts answers of the warm process before a restart."""
        temperature = make_warm_temperature()
        temperature.mark_cold(ColdEvidence.CONNECT_REFUSED, now=5.0)
        for _ in range(20):
            temperature.record_good_answer(4.9, 0.01, 5.1)
        self.assertEqual((True, 1), (temperature.cold, temperature.limit))

    def test_third_slow_answer_in_a_row_is_cold_evidence(self):
        """Guards against missing that a replica became cold without reporting it."""
        temperature = make_warm_temperature()
        for _ in range(2):
            temperature.record_good_answer(2.0, 0.05, 2.0)
        self.assertFalse(temperature.cold)
        temperature.record_good_answer(2.0, 0.05, 2.0)
        self.assertTrue(temperature.cold)

    def test_outdated_health_answer_does_not_restore_an_old_start_id(self):
        """Guards against a replica kept cold by outdated health answers."""
        temperature = make_warm_temperature()
        temperature.update_start_id("a", 2.0, 2.0)
        self.assertTrue(temperature.update_start_id("b", 3.0, 3.0))
        self.assertFalse(temperature.update_start_id("a", 4.0))
        self.assertEqual("b", temperature.start_id)

    def test_slow_answers_keep_a_replica_cold_even_if_it_reports_itself_warm(self):
        """Guards against full load on a cold replica whose answers report it as warm."""
        temperature = Temperature(slots=2, cold_concurrency=1)
        for number in range(32):
            temperature.record_good_answer(float(number), 0.010, float(number))
        self.assertFalse(temperature.cold)
        temperature.mark_cold(ColdEvidence.CONNECTIONS_RESET, 100.0)
        for number in range(20):
            temperature.record_good_answer(101.0 + number, 0.020, 101.0 + number)
        self.assertEqual(1, temperature.limit)
        for number in range(5):
            temperature.record_good_answer(130.0 + number, 0.011, 130.0 + number)
        self.assertFalse(temperature.cold)

    def test_replica_that_stays_slower_becomes_warm_again(self):
        """Guards against a replica on a slower VM that never leaves its cold start."""
        temperature = Temperature(slots=2, cold_concurrency=1)
        for number in range(32):
            temperature.record_good_answer(float(number), 0.010, float(number))
        temperature.mark_cold(ColdEvidence.NEW_START, 100.0)
        for number in range(50):
            temperature.record_good_answer(101.0 + number, 0.020, 101.0 + number)
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
                temperature.record_good_answer(now, 0.01, now)
            elif event == "bad":
                temperature.reset_good_answers()
            elif event == "cold":
                temperature.mark_cold(ColdEvidence.ANSWER, now)
                self.assertEqual(min(cold, slots), temperature.limit)
            else:
                slots = slots % 6 + 1
                temperature.configure(slots, cold)
            self.assertTrue(min(cold, slots) <= temperature.limit <= slots)
            self.assertTrue(temperature.cold or temperature.limit == slots)


if __name__ == "__main__":
    unittest.main()
