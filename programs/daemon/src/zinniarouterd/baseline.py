"""Replica choices that measurements set beside the product."""

from zinnia_routing.baselines import RandomChoice, RoundRobinChoice
from zinnia_routing.choice import ReplicaChoice
from zinniarouterd.settings import Switches


def make_choice(switches: Switches) -> ReplicaChoice | None:
    """Return the replica choice of a baseline, for measurements."""
    if switches.baseline == "random":
        return RandomChoice()
    if switches.baseline == "round_robin":
        return RoundRobinChoice(switches.baseline_timeout_ms / 1000)
    return None
