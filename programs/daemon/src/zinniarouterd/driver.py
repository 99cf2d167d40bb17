"""Advances moves: pools fault evidence, raises vetoes and writes the next state of each move."""

from collections.abc import Callable

import trio
from loguru import logger

from zinnia_facts.table import Fact
from zinnia_model.configuration import ConfigDocument, MoveRecord, MoveState
from zinnia_model.errors import ConflictError, PlatformUnavailableError
from zinnia_releases.evidence import FaultEvidence
from zinnia_releases.moves import advance_moves
from zinnia_releases.vetoes import VetoRaiser
from zinniarouterd.metrics import Metrics
from zinniarouterd.topology import LiveTopology
from zinniarouterd.writer import ConfigWriter

MOVE_REVIEW_INTERVAL_S = 0.25
# A VM of rank N waits N times this delay after a change is due, so that usually one VM writes.
DRIVER_DELAY_PER_RANK_S = 2.0


class MoveDriver:
    """Reviews all moves in a loop on every VM.

    Every VM raises vetoes. Members write the next state of a move, the lowest rank first.

    Parameters
    ----------
    find_rank : callable
        Returns the position of this VM among the live members: 0 for the one that writes first,
        None without a seat or a majority.
    """

    def __init__(
        self,
        read_document: Callable[[], ConfigDocument | None],
        topology: LiveTopology,
        evidence: FaultEvidence,
        raiser: VetoRaiser,
        writer: ConfigWriter,
        push: Callable[[list[Fact]], None],
        find_rank: Callable[[float], int | None],
        is_ready: Callable[[], bool],
        wall_ms: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self._read_document = read_document
        self._topology = topology
        self._evidence = evidence
        self._raiser = raiser
        self._writer = writer
        self._push = push
        self._find_rank = find_rank
        self._is_ready = is_ready
        self._wall_ms = wall_ms
        self._metrics = metrics
        self._due_since: float | None = None

    async def run(self) -> None:
        """Review all moves until cancelled."""
        while True:
            await trio.sleep(MOVE_REVIEW_INTERVAL_S)
            try:
                await self.review()
            except Exception:
                # All VMs have the same moves, so an uncaught error would end every daemon at once.
                logger.exception("move_review_failed")

    async def review(self) -> None:
        """Raise vetoes and advance the moves once."""
        document = self._read_document()
        if document is not None:
            self._raise_vetoes(document)
            await self._advance(document)

    def _raise_vetoes(self, document: ConfigDocument) -> None:
        now = trio.current_time()
        self._evidence.publish(now)
        if not any(move.state is MoveState.RAMPING for move in document.moves.values()):
            return
        pooled = self._evidence.pool(now)
        ready = self._is_ready()
        facts = self._raiser.review(document, pooled, self._wall_ms(), now, ready)
        for fact in facts:
            logger.bind(subject=fact.subject, cause=fact.value).warning("version_vetoed")
            service, version, _ = fact.subject.split("/", 2)
            self._metrics.vetoes.labels(service, version).inc()
        if facts:
            self._push(facts)

    async def _advance(self, document: ConfigDocument) -> None:
        now = trio.current_time()
        if self._propose_next_revision(document) is None:
            self._due_since = None
            return
        rank = self._find_rank(now)
        self._due_since = now if self._due_since is None else self._due_since
        if rank is None or now - self._due_since < rank * DRIVER_DELAY_PER_RANK_S:
            return
        try:
            before = document.moves
            after = await self._writer.change(self._propose_next_revision)
            log_moves(before, after.moves)
        except ConflictError:
            logger.debug("another VM changed the configuration first")
        except PlatformUnavailableError as error:
            logger.bind(error=str(error)).info("moves_wait_for_platform")
            await trio.sleep(1.0)

    def _propose_next_revision(self, document: ConfigDocument) -> ConfigDocument | None:
        """Return the configuration with the next state of each move, or None if nothing is due."""
        pooled = self._evidence.pool(trio.current_time())
        return advance_moves(document, self._wall_ms(), pooled, self._topology.vetoes())


def log_moves(before: dict[str, MoveRecord], after: dict[str, MoveRecord]) -> None:
    """Log each move whose state or step has changed, with the cause."""
    for name, move in after.items():
        old = before.get(name)
        if old is None or (old.state, old.step) != (move.state, move.step):
            logger.bind(move=name, state=move.state.value, step=move.step, cause=move.cause).info(
                "move_changed"
            )
