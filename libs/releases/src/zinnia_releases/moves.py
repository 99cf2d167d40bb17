"""State machine of moves, and the version shares that each VM computes on its own.

A move is one scheduled change of a release note. A version move ramps traffic from an old version
to a new one in steps; it is done before its due time or taken back (rolled back).
"""

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
    list_active_data_centres,
    read_change,
    read_shares,
    revise_document,
    set_shares,
)
from zinnia_releases.vetoes import Veto

# DONE is written at least this long before the due time: it takes up to 3 s to reach every ready
# VM, and the clocks of two VMs may differ by 1 s.
DONE_MARGIN_MS = 10_000
# Time from the end of a step until a review detects it and writes the next step to the store.
REVIEW_DELAY_MS = 500
# Time that the replicas of a new version need to warm up at the canary share.
CANARY_WARM_UP_MS = 10_000
# Author recorded in the revisions that change the state of moves.
DRIVER_AUTHOR = "driver"


@dataclass(frozen=True, slots=True)
class MovePolicy:
    """Steps of a version move, with the time and the answers that a step needs.

    ``min_step_s`` is the shortest step when the due time is near. Faults are detected and a veto
    reaches all VMs within 3 s; a shorter step would raise the share before that. A step needs
    ``answers_per_step`` answers before the share rises above ``canary_share``. Once it has used its
    fraction of the time left, ``min_answers_per_step`` are enough: with 300, a good version of a
    service with one query per second could never be done in time. A version that fails one request
    in ten shows six faults in 60 answers.
    """

    steps: tuple[float, ...] = (0.01, 0.05, 0.25, 0.50, 1.0)
    canary_share: float = 0.05
    answers_per_step: int = 300
    min_answers_per_step: int = 60
    min_step_s: float = 3.0

    def list_steps(self, target_share: float) -> tuple[float, ...]:
        """Return the share of each step in ascending order, the target share last."""
        return (*(step for step in self.steps if step < target_share), target_share)

    def compute_min_ms(self, target_share: float) -> int:
        """Return the shortest time in ms between the start and the due time of a move."""
        steps = len(self.list_steps(target_share))
        return int(steps * self.min_step_s * 1000) + DONE_MARGIN_MS


DEFAULT_POLICY = MovePolicy()


class AnswerCounts(Protocol):
    """Source of the answer counts that complete a step, such as ``PooledEvidence``."""

    def count_answers(self, move: str, step: int, version: str) -> int:
        """Return how many answers of all VMs a version gave in one step of a move."""


def advance_moves(
    document: ConfigDocument,
    wall_ms: int,
    evidence: AnswerCounts,
    vetoes: Mapping[MoveId, Veto],
    policy: MovePolicy = DEFAULT_POLICY,
) -> ConfigDocument | None:
    """Start, ramp, finish or take back each move that is ready for it.

    Returns the next revision of the document, or ``None`` if no move changes now. The code that
    calls this sets ``change_id`` and makes the conditional write to the store.
    """
    proposed = document
    for move in document.moves.values():
        proposed = _MoveDecision(proposed, move, wall_ms, evidence, vetoes, policy).decide()
    if proposed is document:
        return None
    return revise_document(document, proposed, DRIVER_AUTHOR)


def compute_effective_shares(
    service: ServiceId,
    document: ConfigDocument,
    vetoes: Mapping[MoveId, Veto],
    wall_ms: int,
) -> dict[VersionId, float]:
    """Return the share of each version now.

    All VMs compute equal shares from equal inputs. After a veto, or if the due time passes without
    DONE, the new version gets the share that it had before the move. The newest move is undone
    first, so that a chain of moves falls back to a version without a veto.
    """
    config = document.services.get(service)
    if config is None:
        return {}
    shares = read_shares(config)
    for move in reversed(document.moves.values()):
        if move.subject == service and find_take_back_cause(move, document, vetoes, wall_ms):
            shares = undo_shares(shares, move)
    return {VersionId(version): share for version, share in shares.items()}


def find_take_back_cause(
    move: MoveRecord, document: ConfigDocument, vetoes: Mapping[MoveId, Veto], wall_ms: int
) -> str:
    """Return why a move must be taken back, or "" if it stands or is already taken back.

    A veto also takes back a move in state DONE as long as the old version exists, because the veto
    and DONE may be written at the same time.
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
    """Return the shares with the traffic of a move returned from the new to the old version."""
    if not is_version_move(move) or move.from_version not in shares:
        return shares
    shares_before = read_change(move).shares_before
    if not shares_before or move.to_version not in shares:
        return shares
    shifted = max(0.0, shares[move.to_version] - shares_before.get(move.to_version, 0.0))
    undone = dict(shares)
    undone[move.to_version] = round(shares[move.to_version] - shifted, 9)
    undone[move.from_version] = round(shares[move.from_version] + shifted, 9)
    return undone


@dataclass(frozen=True, slots=True)
class _MoveDecision:
    """Decision about one move; ``document`` has the changes of the moves before it."""

    document: ConfigDocument
    move: MoveRecord
    wall_ms: int
    evidence: AnswerCounts
    vetoes: Mapping[MoveId, Veto]
    policy: MovePolicy

    def decide(self) -> ConfigDocument:
        """Return the document with the change of this move, or the same object if none is due."""
        if self.move.state is MoveState.TAKEN_BACK:
            return self.document
        cause = find_take_back_cause(self.move, self.document, self.vetoes, self.wall_ms)
        if cause:
            return self.take_back(cause)
        if self.move.state is MoveState.DONE or not self.has_start_passed():
            return self.document
        if is_version_move(self.move):
            return self.continue_ramp()
        return self.apply_at_once()

    def has_start_passed(self) -> bool:
        return self.wall_ms >= read_change(self.move).not_before_ms

    def continue_ramp(self) -> ConfigDocument:
        """Enter the first or next step of a version move, or finish it after the last one."""
        service = self.document.services.get(self.move.subject)
        versions = (self.move.from_version, self.move.to_version)
        if service is None or not all(version in service.versions for version in versions):
            return self.take_back("its service or versions are no longer configured")
        steps = self.policy.list_steps(self.move.target_share)
        if self.move.state is MoveState.PENDING:
            return self.enter_step(service, self.find_first_step(steps), read_shares(service))
        if not self.is_step_complete(steps):
            return self.document
        if self.move.step + 1 < len(steps):
            shares_before = read_change(self.move).shares_before
            return self.enter_step(service, self.find_next_step(steps), shares_before)
        if self.wall_ms >= self.move.due_ms - DONE_MARGIN_MS:
            return self.document
        return self.settle(self.document, MoveState.DONE)

    def is_step_complete(self, steps: tuple[float, ...]) -> bool:
        """Return whether the step has lasted long enough and has enough answers.

        A step needs no answers if the next share is at most the canary share.
        """
        steps_left = len(steps) - self.move.step
        elapsed_ms = self.wall_ms - self.move.step_since_ms
        if elapsed_ms < self.compute_min_step_ms(steps_left):
            return False
        next_share = steps[min(self.move.step + 1, len(steps) - 1)]
        if next_share <= self.policy.canary_share:
            return True
        answers = self.evidence.count_answers(self.move.id, self.move.step, self.move.to_version)
        if answers >= self.policy.answers_per_step:
            return True
        return (
            elapsed_ms >= self.compute_paced_step_ms(steps_left)
            and answers >= self.policy.min_answers_per_step
        )

    def find_first_step(self, steps: tuple[float, ...]) -> int:
        """Return the index of the first step: that of the canary share if the due time is near.

        Replicas of a new version are cold until each has answered a few requests, which takes
        longest at the smallest share.
        """
        needed_ms = (
            len(steps) * (self.policy.min_step_s * 1000 + REVIEW_DELAY_MS) + CANARY_WARM_UP_MS
        )
        if needed_ms <= self.move.due_ms - DONE_MARGIN_MS - self.wall_ms:
            return 0
        return max(0, sum(step <= self.policy.canary_share for step in steps) - 1)

    def find_next_step(self, steps: tuple[float, ...]) -> int:
        """Return the index of the next step, skipping one step if time is short.

        Replicas that start cold give no answers that count for some seconds; without the skip, a
        good version would miss its due time and be taken back. Steps up to the canary share and
        the last step are never skipped.
        """
        next_step = self.move.step + 1
        is_needed = steps[next_step] <= self.policy.canary_share or next_step + 1 == len(steps)
        needed_ms = (len(steps) - next_step) * (self.policy.min_step_s * 1000 + REVIEW_DELAY_MS)
        left_ms = self.move.due_ms - DONE_MARGIN_MS - self.wall_ms
        return next_step if is_needed or needed_ms <= left_ms else next_step + 1

    def compute_paced_step_ms(self, steps_left: int) -> float:
        """Return the length in ms of this step at which all steps end before the due time.

        The time left is divided by one step more than is left, as a reserve for a slow store.
        """
        end_ms = self.move.due_ms - DONE_MARGIN_MS
        return (end_ms - self.move.step_since_ms) / (steps_left + 1)

    def compute_min_step_ms(self, steps_left: int) -> float:
        """Return the shortest length of this step in ms."""
        planned_ms = min(self.move.step_seconds * 1000, self.compute_paced_step_ms(steps_left))
        return max(planned_ms, self.policy.min_step_s * 1000)

    def enter_step(
        self, service: ServiceConfig, step: int, shares_before: dict[str, float]
    ) -> ConfigDocument:
        """Return the document with a step entered.

        Shifts the step's fraction of the share that the old version had before the move to the new
        version, on top of the new version's own share.
        """
        fraction = self.policy.list_steps(self.move.target_share)[step]
        moved = shares_before.get(self.move.from_version, 0.0) * fraction
        shares = dict(shares_before)
        shares[self.move.from_version] = shares_before.get(self.move.from_version, 0.0) - moved
        shares[self.move.to_version] = shares_before.get(self.move.to_version, 0.0) + moved
        change = read_change(self.move).model_copy(update={"shares_before": shares_before})
        update = {
            "state": MoveState.RAMPING,
            "step": step,
            "step_since_ms": self.wall_ms,
            "change": change.dump(),
        }
        document = self.replace_service(self.document, set_shares(service, shares))
        return self.replace_move(document, update)

    def apply_at_once(self) -> ConfigDocument:
        """Apply a move without a ramp, unless it is too late for DONE to reach all VMs.

        A move that is too late stays pending and is taken back at its due time.
        """
        if self.wall_ms >= self.move.due_ms - DONE_MARGIN_MS:
            return self.document
        change = read_change(self.move)
        if change.after:
            return self.apply_after_predecessor(change)
        return self.apply_change(change)

    def apply_after_predecessor(self, change: MoveChange) -> ConfigDocument:
        """Apply a change ``min_step_s`` after the move ``change.after`` was done.

        The delay lets a veto that races with DONE arrive while the old version still exists.
        """
        predecessor = self.document.moves.get(change.after)
        if predecessor is None or predecessor.state is MoveState.TAKEN_BACK:
            return self.take_back(f"move {change.after}, which it waits for, was taken back")
        if predecessor.state is not MoveState.DONE:
            return self.document
        if self.wall_ms - predecessor.settled_ms < self.policy.min_step_s * 1000:
            return self.document
        return self.apply_change(change)

    def apply_change(self, change: MoveChange) -> ConfigDocument:
        """Return the document with the change applied, or the move taken back if it cannot be."""
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
        if not list_active_data_centres(data_centres):
            return self.take_back("no other data centre is in")
        document = self.document.model_copy(update={"data_centres": data_centres})
        return self.settle(document, MoveState.DONE)

    def take_back(self, cause: str) -> ConfigDocument:
        """Return the document with the shares restored and the cause recorded in one revision."""
        document = self.document
        service = document.services.get(self.move.subject)
        if service is not None and is_version_move(self.move):
            shares = undo_shares(read_shares(service), self.move)
            document = self.replace_service(document, set_shares(service, shares))
        return self.settle(document, MoveState.TAKEN_BACK, cause)

    def settle(self, document: ConfigDocument, state: MoveState, cause: str = "") -> ConfigDocument:
        """Return the document with the move in a final state, DONE or TAKEN_BACK."""
        update = {"state": state, "cause": cause, "settled_ms": self.wall_ms}
        return self.replace_move(document, update)

    def replace_service(self, document: ConfigDocument, service: ServiceConfig) -> ConfigDocument:
        return document.model_copy(
            update={"services": document.services | {self.move.subject: service}}
        )

    def replace_move(self, document: ConfigDocument, update: dict) -> ConfigDocument:
        move = self.move.model_copy(update=update)
        return document.model_copy(update={"moves": document.moves | {move.id: move}})
