"""Baseline replica choices, with which measurements compare the default choice."""

from zinnia_routing.baselines import RandomChoice, RoundRobinChoice
from zinnia_routing.choice import ReplicaChoice
from zinniarouterd.settings import Switches


def make_baseline_choice(switches: Switches) -> ReplicaChoice | None:
    """Return the replica choice of the configured baseline, or None for the default choice."""
    if switches.baseline == "random":
        return RandomChoice()
    if switches.baseline == "round_robin":
        return RoundRobinChoice(switches.baseline_timeout_ms / 1000)
    return None
