"""Starts a fresh tier for each scenario and checks all promises at its end."""

import sys
from pathlib import Path

from loguru import logger

sys.path.insert(0, str(Path(__file__).parent))

from support.runtime import Stage  # noqa: E402
from support.tier import FakeTier  # noqa: E402


def before_all(context):
    logger.remove()
    level = context.config.userdata.get("log")
    if level:
        logger.add(sys.stderr, level=level)


def runs_processes(scenario):
    """Whether a scenario runs real processes and needs no fakes."""
    return "processes" in Path(scenario.filename).parts


def before_scenario(context, scenario):
    if runs_processes(scenario):
        return
    seed = int(context.config.userdata.get("seed", 1))
    context.seed = seed
    context.stage = Stage(seed, lambda nursery, freezer: FakeTier(nursery, freezer, seed))
    context.tier = context.stage.tier
    context.exchanges = {}


def after_scenario(context, scenario):
    if not runs_processes(scenario):
        context.stage.close()
