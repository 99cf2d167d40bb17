"""The state machine of moves, and the shares that every VM derives for itself."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from zinnia_model.configuration import (
    ConfigDocument,
    DataCentreConfig,
    MoveRecord,
    MoveState,
    ServiceConfig,
)
from zinnia_model.ids import MoveId, ServiceId, VersionId
from zinnia_releases.changes import (
    MoveChange,
    is_version_move,
    list_open,
    read_change,
    read_shares,
    revise_document,
    set_shares,
)
from zinnia_releases.vetoes import Veto

# A DONE must reach every ready VM (3 s) before the hour, with room for clocks 1 s apart.
DONE_MARGIN_MS = 10_000
# Time between the end of a step and the review that notices it, with a write to the store.
REVIEW_MS = 500
# Time in which the replicas of a new version warm up at the canary share.
WARM_UP_MS = 10_000
DRIVER = "driver"


@dataclass(frozen=True, slots=True)
class MovePolicy:
    """How version moves ramp.

    ``min_step_s`` is the shortest step under time pressure: faults show and a veto spreads within
    3 s, so a shorter step would raise the share before the evidence of the last step is in.
    ``answers_per_step`` are wanted before any share above the canary share. A step that has lasted
    its part of the time up to the hour needs only ``fewest_answers``: with 300, a good version of a
    service with one query a second could never be done in time. In 60 answers a version that fails
    one in ten shows six faults.
    """

    steps: tuple[float, ...] = (0.01, 0.05, 0.25, 0.50, 1.0)
    canary_share: float = 0.05
    answers_per_step: int = 300
    fewest_answers: int = 60
    min_step_s: float = 3.0

    def list_steps(self, target_share: float) -> tuple[float, ...]:
        """Return the shares on the way to the target, the target last."""
        return (*(step for step in self.steps if step < target_share), target_share)

    def compute_min_ms(self, target_share: float) -> int:
        """Return the shortest time in ms from the start of a move to its hour."""
        steps = len(self.list_steps(target_share))
        return int(steps * self.min_step_s * 1000) + DONE_MARGIN_MS


DEFAULT_POLICY = MovePolicy()


class AnswerCounts(Protocol):
    """Evidence that a step needs; ``PooledEvidence`` implements it."""

    def count_answers(self, move: str, step: int, version: str) -> int:
        """Return the answers of a version in one step of a move, over all VMs."""


def advance(
    document: ConfigDocument,
    wall_ms: int,
    evidence: AnswerCounts,
    vetoes: Mapping[MoveId, Veto],
    policy: MovePolicy = DEFAULT_POLICY,
) -> ConfigDocument | None:
    """Return the next revision if any move changes now, else ``None``.

    The caller sets ``change_id`` and makes the conditional write.
    """
    proposed = document
    for move in document.moves.values():
        proposed = _Step(proposed, move, wall_ms, evidence, vetoes, policy).take()
    if proposed is document:
        return None
    return revise_document(document, proposed, DRIVER)


def effective_shares(
    service: ServiceId,
    document: ConfigDocument,
    vetoes: Mapping[MoveId, Veto],
    wall_ms: int,
) -> dict[VersionId, float]:
    """Return the share of each version now; equal inputs give equal shares on all VMs.

    A veto, or an hour that passed without DONE, gives the new version its share from before the
    move. The newest move is undone first, so that a chain of moves falls back to a version that
    no veto names.
    """
    config = document.services.get(service)
    if config is None:
        return {}
    shares = read_shares(config)
    for move in reversed(document.moves.values()):
        if move.subject == service and find_take_back(move, document, vetoes, wall_ms):
            shares = undo_shares(shares, move)
    return {VersionId(version): share for version, share in shares.items()}


def find_take_back(
    move: MoveRecord, document: ConfigDocument, vetoes: Mapping[MoveId, Veto], wall_ms: int
) -> str:
    """Return why a move must be taken back, empty if it need not.

    A veto also counts against DONE while the old version exists, because both may be written at
    the same moment.
    """
    if move.state is MoveState.TAKEN_BACK:
        return ""
    if move.state is MoveState.DONE and not _has_old_version(move, document):
        return ""
    veto = vetoes.get(MoveId(move.id))
    if veto is not None and is_version_move(move):
        return veto.cause
    if move.state is not MoveState.DONE and wall_ms >= move.due_ms:
        return f"not done at its hour {move.due} {move.time_zone}"
    return ""


def _has_old_version(move: MoveRecord, document: ConfigDocument) -> bool:
    service = document.services.get(move.subject)
    return service is not None and move.from_version in service.versions


def undo_shares(shares: dict[str, float], move: MoveRecord) -> dict[str, float]:
    """Return the shares without what a version move added to its new version."""
    if not is_version_move(move) or move.from_version not in shares:
        return shares
    before = read_change(move).shares_before
    if not before or move.to_version not in shares:
        return shares
    excess = max(0.0, shares[move.to_version] - before.get(move.to_version, 0.0))
    undone = dict(shares)
    undone[move.to_version] = round(shares[move.to_version] - excess, 9)
    undone[move.from_version] = round(shares[move.from_version] + excess, 9)
    return undone


@dataclass(frozen=True, slots=True)
class _Step:
    """One decision about one move on the document so far."""

    document: ConfigDocument
    move: MoveRecord
    wall_ms: int
    evidence: AnswerCounts
    vetoes: Mapping[MoveId, Veto]
    policy: MovePolicy

    def take(self) -> ConfigDocument:
        """Return the document after the decision, the same object if nothing changes."""
        if self.move.state is MoveState.TAKEN_BACK:
            return self.document
        cause = find_take_back(self.move, self.document, self.vetoes, self.wall_ms)
        if cause:
            return self.take_back(cause)
        if self.move.state is MoveState.DONE or not self.may_start():
            return self.document
        if is_version_move(self.move):
            return self.ramp()
        return self.put_in_force()

    def may_start(self) -> bool:
        return self.wall_ms >= read_change(self.move).not_before_ms

    def ramp(self) -> ConfigDocument:
        service = self.document.services.get(self.move.subject)
        versions = (self.move.from_version, self.move.to_version)
        if service is None or not all(version in service.versions for version in versions):
            return self.take_back("its service or versions are no longer configured")
        steps = self.policy.list_steps(self.move.target_share)
        if self.move.state is MoveState.PENDING:
            return self.enter_step(service, self.find_first_step(steps), read_shares(service))
        if not self.step_is_complete(steps):
            return self.document
        if self.move.step + 1 < len(steps):
            before = read_change(self.move).shares_before
            return self.enter_step(service, self.find_next_step(steps), before)
        if self.wall_ms >= self.move.due_ms - DONE_MARGIN_MS:
            return self.document
        return self.settle(self.document, MoveState.DONE)

    def step_is_complete(self, steps: tuple[float, ...]) -> bool:
        """Return whether the step lasted long enough and brought enough answers."""
        left = len(steps) - self.move.step
        elapsed_ms = self.wall_ms - self.move.step_since_ms
        if elapsed_ms < self.compute_step_ms(left):
            return False
        wanted = steps[min(self.move.step + 1, len(steps) - 1)]
        if wanted <= self.policy.canary_share:
            return True
        answers = self.evidence.count_answers(self.move.id, self.move.step, self.move.to_version)
        if answers >= self.policy.answers_per_step:
            return True
        return elapsed_ms >= self.compute_paced_ms(left) and answers >= self.policy.fewest_answers

    def find_first_step(self, steps: tuple[float, ...]) -> int:
        """Return the step to begin with: the canary share at once if the hour is near.

        Replicas of a new version are cold until each has answered a few requests, which takes
        longest at the smallest share.
        """
        needed_ms = len(steps) * (self.policy.min_step_s * 1000 + REVIEW_MS) + WARM_UP_MS
        if needed_ms <= self.move.due_ms - DONE_MARGIN_MS - self.wall_ms:
            return 0
        return max(0, sum(step <= self.policy.canary_share for step in steps) - 1)

    def find_next_step(self, steps: tuple[float, ...]) -> int:
        """Return the next step; one is left out if all of them no longer fit before the hour.

        A version whose replicas start cold brings no answers for some seconds, and a good version
        would be taken back for that. The canary share and the last step are never left out.
        """
        following = self.move.step + 1
        is_needed = steps[following] <= self.policy.canary_share or following + 1 == len(steps)
        needed_ms = (len(steps) - following) * (self.policy.min_step_s * 1000 + REVIEW_MS)
        left_ms = self.move.due_ms - DONE_MARGIN_MS - self.wall_ms
        return following if is_needed or needed_ms <= left_ms else following + 1

    def compute_paced_ms(self, steps_left: int) -> float:
        """Return this step's part in ms of the time left, so that all steps fit before the hour.

        One step more than is left leaves time for a slow store.
        """
        end_ms = self.move.due_ms - DONE_MARGIN_MS
        return (end_ms - self.move.step_since_ms) / (steps_left + 1)

    def compute_step_ms(self, steps_left: int) -> float:
        """Return the shortest length of this step in ms."""
        wanted_ms = min(self.move.step_seconds * 1000, self.compute_paced_ms(steps_left))
        return max(wanted_ms, self.policy.min_step_s * 1000)

    def enter_step(
        self, service: ServiceConfig, step: int, before: dict[str, float]
    ) -> ConfigDocument:
        """Write the shares of a step; a step moves a part of the old version's share."""
        fraction = self.policy.list_steps(self.move.target_share)[step]
        moved = before.get(self.move.from_version, 0.0) * fraction
        shares = dict(before)
        shares[self.move.from_version] = before.get(self.move.from_version, 0.0) - moved
        shares[self.move.to_version] = before.get(self.move.to_version, 0.0) + moved
        change = read_change(self.move).model_copy(update={"shares_before": before})
        update = {
            "state": MoveState.RAMPING,
            "step": step,
            "step_since_ms": self.wall_ms,
            "change": change.dump(),
        }
        document = self.put_service(self.document, set_shares(service, shares))
        return self.put_move(document, update)

    def put_in_force(self) -> ConfigDocument:
        """Apply a move that needs no ramp; a late one waits for its hour to be taken back."""
        if self.wall_ms >= self.move.due_ms - DONE_MARGIN_MS:
            return self.document
        change = read_change(self.move)
        if change.after:
            return self.follow(change)
        return self.apply_change(change)

    def follow(self, change: MoveChange) -> ConfigDocument:
        """Apply a change once the move that it waits for has been done for one step time.

        The pause lets a veto that races with DONE arrive while the old version still exists.
        """
        first = self.document.moves.get(change.after)
        if first is None or first.state is MoveState.TAKEN_BACK:
            return self.take_back(f"move {change.after}, which it waits for, was taken back")
        if first.state is not MoveState.DONE:
            return self.document
        if self.wall_ms - first.settled_ms < self.policy.min_step_s * 1000:
            return self.document
        return self.apply_change(change)

    def apply_change(self, change: MoveChange) -> ConfigDocument:
        subject, services = self.move.subject, self.document.services
        if change.action == "data_centre":
            return self.switch_data_centre(change)
        if change.action == "service" and change.definition is not None:
            services = services | {subject: change.definition}
        elif change.action == "remove_service":
            services = {name: service for name, service in services.items() if name != subject}
        elif subject not in services:
            return self.take_back("its service is no longer configured")
        elif change.action == "shares":
            services = services | {subject: set_shares(services[subject], change.shares)}
        else:
            service = services[subject]
            if read_shares(service).get(self.move.from_version, 0.0) > 0:
                return self.take_back(f"version {self.move.from_version} still carries traffic")
            versions = dict(service.versions)
            versions.pop(self.move.from_version, None)
            services = services | {subject: service.model_copy(update={"versions": versions})}
        return self.settle(self.document.model_copy(update={"services": services}), MoveState.DONE)

    def switch_data_centre(self, change: MoveChange) -> ConfigDocument:
        current = self.document.data_centres.get(self.move.subject)
        if current is None or current.state is not change.state:
            config = DataCentreConfig(state=change.state, since_ms=self.wall_ms)
            data_centres = self.document.data_centres | {self.move.subject: config}
        else:
            data_centres = self.document.data_centres
        if not list_open(data_centres):
            return self.take_back("no other data centre is in")
        document = self.document.model_copy(update={"data_centres": data_centres})
        return self.settle(document, MoveState.DONE)

    def take_back(self, cause: str) -> ConfigDocument:
        """Restore the shares and record the cause in the same document."""
        document = self.document
        service = document.services.get(self.move.subject)
        if service is not None and is_version_move(self.move):
            shares = undo_shares(read_shares(service), self.move)
            document = self.put_service(document, set_shares(service, shares))
        return self.settle(document, MoveState.TAKEN_BACK, cause)

    def settle(self, document: ConfigDocument, state: MoveState, cause: str = "") -> ConfigDocument:
        update = {"state": state, "cause": cause, "settled_ms": self.wall_ms}
        return self.put_move(document, update)

    def put_service(self, document: ConfigDocument, service: ServiceConfig) -> ConfigDocument:
        return document.model_copy(
            update={"services": document.services | {self.move.subject: service}}
        )

    def put_move(self, document: ConfigDocument, update: dict) -> ConfigDocument:
        move = self.move.model_copy(update=update)
        return document.model_copy(update={"moves": document.moves | {move.id: move}})
