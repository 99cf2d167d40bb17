import unittest

from zinnia_catalog.routes import WeightedService
from zinnia_sending.weights import WeightedChoice


class WeightedChoiceTest(unittest.TestCase):
    def test_any_number_of_requests_is_split_close_to_the_weights(self):
        """Guards against a split that is only close to the weights over many requests."""
        targets = (WeightedService("a", 70), WeightedService("b", 20), WeightedService("c", 10))
        choice = WeightedChoice()
        counts = {"a": 0, "b": 0, "c": 0}
        for number in range(1, 301):
            counts[choice.choose(targets)] += 1
            for target in targets:
                self.assertLess(abs(counts[target.service] - number * target.weight / 100), 1.5)

    def test_changed_weights_take_effect_at_once(self):
        """Guards against counts of an old configuration that delay the new weights."""
        choice = WeightedChoice()
        for _ in range(7):
            choice.choose((WeightedService("a", 1), WeightedService("b", 1)))
        later = (WeightedService("b", 0), WeightedService("c", 1))
        self.assertEqual({"c"}, {choice.choose(later) for _ in range(10)})
