import unittest
from random import Random

from zinnia_catalog.evidence import AnswerCounts
from zinnia_sending.verdicts import VersionJudge

SEEDS = 200


class VersionJudgeTest(unittest.TestCase):
    def judge(self, seed, answers, bad, others_bad):
        """Judge random answers; return the judge and the number of answers until the rejection.

        ``bad`` is the probability of a bad answer of the new version after a number of answers.
        """
        random, judge, counts = Random(seed), VersionJudge(), AnswerCounts()
        for number in range(answers):
            is_bad = random.random() < bad(number)
            others = sum(random.random() < others_bad for _ in range(12))
            counts = counts.add(AnswerCounts(not is_bad, is_bad, 12 - others, others))
            judge.update(counts, number * 0.5)
            if judge.is_bad:
                return judge, number + 1
        return judge, None

    def count_rejected(self, answers, bad, others_bad):
        found = [self.judge(seed, answers, lambda _: bad, others_bad)[1] for seed in range(SEEDS)]
        return sum(rejected is not None for rejected in found)

    def test_version_that_fails_half_of_its_requests_is_found_soon(self):
        """Load pattern: replicas pause, and the new version fails every second request.

        Guards against a judgement that needs more answers than a service with few requests has.
        """
        found = [self.judge(seed, 40, lambda _: 0.5, 0.05)[1] for seed in range(SEEDS)]
        self.assertNotIn(None, found)
        self.assertLessEqual(sorted(found)[SEEDS // 2], 10)

    def test_version_like_the_others_is_rarely_rejected(self):
        """Guards against rejections by chance among 100 answers, of which some are slow."""
        for others_bad in (0.0, 0.05, 0.2):
            with self.subTest(others_bad=others_bad):
                self.assertLessEqual(self.count_rejected(100, others_bad, others_bad), SEEDS * 0.02)

    def test_late_bad_answers_weigh_as_much_as_early_ones(self):
        """Load pattern: a version turns bad under load, after 200 good answers."""
        for seed in range(20):
            _, found = self.judge(seed, 260, lambda number: 0.5 * (number >= 200), 0.02)
            with self.subTest(seed=seed):
                self.assertLessEqual(found or 999, 230)

    def test_disturbance_of_all_versions_is_not_held_against_the_new_one(self):
        """Load pattern: connections to all replicas are reset for some seconds."""
        judge = VersionJudge()
        judge.update(AnswerCounts(20, 0, 300, 0), 1.0)
        judge.update(AnswerCounts(20, 4, 300, 60), 1.5)
        judge.update(AnswerCounts(24, 4, 400, 60), 6.0)
        self.assertFalse(judge.is_bad)
        self.assertFalse(judge.is_suspect)

    def test_few_answers_that_are_mostly_bad_make_a_version_suspect(self):
        """Load pattern: a service gets few requests until the move has to end."""
        judge = VersionJudge()
        judge.update(AnswerCounts(2, 2, 50, 1), 1.0)
        self.assertFalse(judge.is_bad)
        self.assertTrue(judge.is_suspect)
