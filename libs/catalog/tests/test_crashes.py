import unittest
from math import inf

from zinnia_catalog.crashes import (
    CRASH_TTL_S,
    MAX_CRASHES,
    MAX_FINGERPRINTS,
    MAX_REFUSAL_S,
    MAX_TOLD,
    TOLD_S,
    AnsweredRequest,
    Crash,
    CrashFindings,
    CrashTable,
    count_occasions,
    find_refusal_time,
)


def make_crash(replica, request_id="a", fingerprint="f", age_s=0.0, had_answered=True):
    return Crash(fingerprint, f"r{replica}", 1, "s", "v1", request_id, had_answered, age_s)


class CrashTableTest(unittest.TestCase):
    def make_table(self, *crashes, now=100.0):
        table = CrashTable()
        for crash in crashes:
            table.add(crash, now)
        return table

    def test_request_that_crashed_three_replicas_is_a_suspect_for_other_attempts(self):
        """Guards against retries that end since the replicas of one attempt crashed together."""
        table = self.make_table(*map(make_crash, range(3)))
        self.assertFalse(table.is_suspect("f", "a", 100.0))
        self.assertTrue(table.is_suspect("f", "b", 100.0))
        self.assertFalse(table.is_suspect("other", "b", 100.0))

    def test_crash_of_one_process_counts_once(self):
        """Guards against a suspect because several VMs tell of the same crash."""
        table = self.make_table(*[make_crash(1)] * 5)
        self.assertEqual(1, len(table.list_crashes("f", 100.0)))

    def test_answer_clears_earlier_crashes_in_whatever_order_they_become_known(self):
        """Load pattern: VMs tell each other of a crash and of a later answer in any order.

        Guards against a sound request that stays a suspect.
        """
        for is_answer_first in (True, False):
            with self.subTest(is_answer_first=is_answer_first):
                table = self.make_table(make_crash(0, age_s=9.0))
                answered = CrashFindings((), (AnsweredRequest("f", 2.0),))
                crashes = CrashFindings(tuple(make_crash(n, age_s=5.0) for n in range(1, 4)), ())
                parts = [answered, crashes] if is_answer_first else [crashes, answered]
                for findings in parts:
                    table.merge(findings, 100.0)
                self.assertFalse(table.is_suspect("f", "b", 100.0))

    def test_crash_after_an_answer_counts(self):
        """Guards against a request that is never a suspect because it was answered once."""
        table = self.make_table(make_crash(0))
        table.record_answer("f", 101.0, 101.0)
        for replica in range(3):
            table.add(make_crash(replica), 102.0)
        self.assertTrue(table.is_suspect("f", "b", 102.0))

    def test_crashes_are_forgotten(self):
        """Guards against a request that is a suspect for ever."""
        table = self.make_table(*map(make_crash, range(3)))
        self.assertFalse(table.is_suspect("f", "b", 101.0 + CRASH_TTL_S))
        self.assertEqual(CrashFindings(), table.list_recent(101.0 + CRASH_TTL_S))

    def test_state_and_messages_are_bounded(self):
        """Load pattern: many different requests crash replicas, and many more are told.

        Guards against memory and messages that grow with them.
        """
        table = CrashTable()
        for number in range(4 * MAX_FINGERPRINTS):
            for replica in range(2 * MAX_CRASHES):
                table.add(make_crash(replica, fingerprint=f"f{number}"), 100.0 + number)
            table.add(make_crash(0, fingerprint=f"old{number}", age_s=inf), 100.0 + number)
        self.assertEqual(MAX_FINGERPRINTS, len(table))
        found = table.list_recent(100.0 + 4 * MAX_FINGERPRINTS)
        self.assertEqual(MAX_TOLD, len(found.crashes))
        self.assertEqual(MAX_CRASHES, len(table.list_crashes("f1023", 1123.0)))

    def test_only_suspects_are_told_for_long(self):
        """Load pattern: replicas crash by themselves all day, and most requests are answered.

        Guards against messages between VMs that are full of crashes that matter no more.
        """
        crashes = [make_crash(n, fingerprint="suspect") for n in range(3)]
        crashes += [make_crash(n, fingerprint="sound") for n in range(2)]
        table = self.make_table(*crashes, make_crash(0, fingerprint="answered"))
        table.record_answer("answered", 101.0, 101.0)
        self.assertEqual(5, len(table.list_recent(102.0).crashes))
        self.assertEqual(1, len(table.list_recent(102.0).answered))
        told = table.list_recent(102.0 + TOLD_S)
        self.assertEqual({"suspect"}, {crash.fingerprint for crash in told.crashes})
        self.assertEqual((), told.answered)

    def test_answers_of_requests_without_crashes_are_not_kept(self):
        """Guards against memory that grows with ordinary requests."""
        table = self.make_table(make_crash(0))
        for number in range(100):
            table.record_answer(f"g{number}", 101.0, 101.0)
        self.assertEqual(1, len(table))


class RefusalTimeTest(unittest.TestCase):
    def test_crashes_of_one_moment_are_one_occasion(self):
        """Load pattern: all replicas crash at once while two attempts are in flight.

        Guards against refusing a sound request because replicas crash by themselves.
        """
        crashes = [
            make_crash(n, request_id, age_s=n / 100) for n in range(9) for request_id in "ab"
        ]
        self.assertEqual(1, count_occasions(crashes))
        self.assertIsNone(find_refusal_time(crashes))

    def test_attempts_of_one_request_are_one_occasion(self):
        """Guards against refusing a request whose retries met replicas that crashed."""
        crashes = [make_crash(number, "a", age_s=number) for number in range(5)]
        self.assertIsNone(find_refusal_time(crashes))

    def test_request_that_crashed_replicas_on_three_occasions_is_refused_ever_longer(self):
        """Guards against replicas lost for as long as the request comes."""
        times = []
        for occasions in range(3, 12):
            crashes = [make_crash(n, str(n), age_s=float(occasions - n)) for n in range(occasions)]
            times.append(find_refusal_time(crashes))
        self.assertEqual(9.0, times[0])
        self.assertEqual(sorted(times), times)
        self.assertLessEqual(times[-1], MAX_REFUSAL_S)

    def test_refusal_ends(self):
        """Guards against a request that is refused for ever, also after a repair."""
        crashes = [make_crash(n, str(n), age_s=20.0 - n) for n in range(3)]
        self.assertIsNone(find_refusal_time(crashes))

    def test_replicas_that_crash_at_their_first_request_do_not_count(self):
        """Load pattern: a version that crashes as soon as it gets a request, whatever that is.

        Guards against refusing a sound request because of a bad version.
        """
        crashes = [make_crash(n, str(n), age_s=float(n), had_answered=False) for n in range(8)]
        self.assertIsNone(find_refusal_time(crashes))
