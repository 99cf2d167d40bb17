"""Seeded simulation of VMs that send queries to an old and a new version of a service."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from zinnia_facts.table import Cursor, FactTable
from zinnia_model.configuration import (
    ConfigDocument,
    DataCentreConfig,
    MoveRecord,
    MoveState,
    RouteConfig,
    ServiceConfig,
    VersionConfig,
)
from zinnia_model.observations import Observation, ObservedResult
from zinnia_releases.evidence import FaultEvidence
from zinnia_releases.moves import advance_moves, compute_effective_shares
from zinnia_releases.note import parse_note
from zinnia_releases.note_planning import plan_note
from zinnia_releases.vetoes import VetoRaiser, collect_vetoes

START_MS = 1_796_353_200_000  # 2026-12-04 11:00 in Taipei
TICK_S = 0.5
# Service times come from this sample, because drawing each from the distribution would take most of
# the run time.
SERVICE_TIMES_S = [random.Random(n).lognormvariate(-4.6, 0.4) for n in range(2000)]
ROUTES = ("identify", "lookup", "compare")
MOVE_ID = "n1.1"


def make_document(**services: ServiceConfig) -> ConfigDocument:
    service = ServiceConfig(
        routes={route: RouteConfig() for route in ROUTES},
        versions={"v1": VersionConfig(share=1.0)},
        slots=2,
        connections=25,
    )
    data_centres = {name: DataCentreConfig() for name in ("dc-1", "dc-2")}
    return ConfigDocument(
        revision=7, services={"tune": service} | services, data_centres=data_centres
    )


def write_note(
    items: str = "added:\n- {kind: version, service: tune, version: v2}",
    note: str = "n1",
    by: str = "2026-12-04 12:00",
    against: int = 7,
    step_seconds: float = 3,
) -> str:
    return (
        f"format: 1\nid: {note}\noperator: mei\nagainst_revision: {against}\nby: '{by}'\n"
        f"time_zone: Asia/Taipei\nstep_seconds: {step_seconds}\n{items}\n"
    )


def make_ramp(**options) -> ConfigDocument:
    return plan_note(parse_note(write_note(**options)), make_document(), START_MS).document


@dataclass(frozen=True)
class VersionBehaviour:
    fault_fraction: float = 0.01
    time_factor: float = 1.0


Behave = Callable[[str, str, float], VersionBehaviour]


def behave_well(version: str, route: str, second: float) -> VersionBehaviour:
    return VersionBehaviour()


class Vm:
    def __init__(self, name: str):
        self.table = FactTable()
        self.evidence = FaultEvidence(name, self.table)
        self.raiser = VetoRaiser(name, self.table)
        self.cursor = Cursor(0)

    def send_facts(self, others: list["Vm"], now: float) -> None:
        delta, self.cursor = self.table.changes_since(self.cursor, now)
        for other in others:
            if other is not self:
                other.table.merge(delta, now)


class Simulation:
    """Runs one move of service ``tune`` from v1 to v2 over several VMs."""

    def __init__(self, seed: int, behave: Behave, vms: int = 2, rate: int = 200):
        self.random = random.Random(seed)
        self.behave = behave
        self.rate = rate
        self.vms = [Vm(f"vm-{n}") for n in range(vms)]
        self.document = make_ramp()
        self.second = 0.0
        self.new_answers = 0
        self.adopt()

    @property
    def wall_ms(self) -> int:
        return START_MS + int(self.second * 1000)

    @property
    def move(self) -> MoveRecord:
        return self.document.moves[MOVE_ID]

    def adopt(self) -> None:
        for vm in self.vms:
            vm.evidence.adopt(self.document)

    def run(self, seconds: float) -> MoveRecord:
        while self.second < seconds and self.move.state in (MoveState.PENDING, MoveState.RAMPING):
            self.tick()
        return self.move

    def tick(self) -> None:
        vetoes = collect_vetoes(self.vms[0].table, self.second)
        document = advance_moves(
            self.document, self.wall_ms, self.vms[0].evidence.pool(self.second), vetoes
        )
        if document is not None:
            self.document = document
            self.adopt()
        for vm in self.vms:
            self.answer_queries(vm)
        self.second += TICK_S
        for vm in self.vms:
            vm.evidence.publish(self.second)
        for vm in self.vms:
            vm.send_facts(self.vms, self.second)
        for vm in self.vms:
            vm.raiser.review(
                self.document, vm.evidence.pool(self.second), self.wall_ms, self.second
            )
        for vm in self.vms:
            vm.send_facts(self.vms, self.second)

    def answer_queries(self, vm: Vm) -> None:
        vetoes = collect_vetoes(vm.table, self.second)
        share = compute_effective_shares("tune", self.document, vetoes, self.wall_ms).get("v2", 0.0)
        for _ in range(int(self.rate * TICK_S / len(self.vms))):
            version = "v2" if self.random.random() < share else "v1"
            route = ROUTES[int(self.random.random() * len(ROUTES))]
            self.new_answers += version == "v2"
            vm.evidence.observe(self.make_observation(version, route))

    def make_observation(self, version: str, route: str) -> Observation:
        behaviour = self.behave(version, route, self.second)
        number = int(self.random.random() * 1e9)
        fault = self.random.random() < behaviour.fault_fraction
        return Observation(
            "tune",
            route,
            version,
            f"{version}-{number % 40}",
            ObservedResult.FAULT if fault else ObservedResult.OK,
            f"{number:09d}",
            SERVICE_TIMES_S[number % len(SERVICE_TIMES_S)] * behaviour.time_factor,
        )
