"""State of the planning of one note, and the checks that all kinds of items share."""

from dataclasses import dataclass

from zinnia_model.configuration import (
    MAX_DOCUMENT_BYTES,
    ConfigDocument,
    MoveKind,
    MoveRecord,
    ServiceConfig,
)
from zinnia_model.errors import NoteError
from zinnia_releases.changes import (
    UNFINISHED_STATES,
    MoveChange,
    list_unfinished_moves,
    revise_document,
)
from zinnia_releases.moves import DONE_MARGIN_MS, MovePolicy
from zinnia_releases.note import Note, NoteItem, VersionItem, WithdrawnVersionItem

# Moves that are done or taken back stay in the document, and so in the report, for this time.
SETTLED_MOVE_RETENTION_MS = 7 * 24 * 3600 * 1000


@dataclass(frozen=True, slots=True)
class NotePlan:
    """Result of planning a note.

    ``document`` is the next revision, or the current one if the note was applied before.
    ``changes`` describes the changes to operators, one line each. ``moves`` are the ids of the
    moves of the note.
    """

    document: ConfigDocument
    changes: list[str]
    moves: list[str]
    already_applied: bool = False


class NotePlanner:
    """Collects the moves of one note, their descriptions and the reasons to refuse it.

    ``subject_owners`` maps each subject that the note changes to the place of the item that changes
    it, or to ``shares of SERVICE`` where several share items do.
    """

    def __init__(self, note: Note, document: ConfigDocument, wall_ms: int, policy: MovePolicy):
        self._note = note
        self.document = document
        self._wall_ms = wall_ms
        self.policy = policy
        self.services = dict(document.services)
        self.moves: list[MoveRecord] = []
        self._changes: list[str] = []
        self.reasons: list[str] = []
        self.subject_owners: dict[str, str] = {}

    def build_plan(self) -> NotePlan:
        """Return the plan of the note, or raise a ``NoteError`` with all reasons to refuse it."""
        if self.reasons:
            raise NoteError(self.reasons)
        oldest_kept_ms = self._wall_ms - SETTLED_MOVE_RETENTION_MS
        kept = {
            name: move
            for name, move in self.document.moves.items()
            if move.state in UNFINISHED_STATES or move.settled_ms >= oldest_kept_ms
        }
        added = {move.id: move for move in self.moves}
        proposed = self.document.model_copy(
            update={"services": self.services, "moves": kept | added}
        )
        document = revise_document(self.document, proposed, self._note.head.operator)
        size = len(document.encode())
        if size > MAX_DOCUMENT_BYTES:
            raise NoteError(
                [
                    f"note: the configuration would have {size} bytes, above "
                    f"{MAX_DOCUMENT_BYTES}; withdraw services or versions first"
                ]
            )
        return NotePlan(document, self._changes, list(added))

    def refuse(self, entry: NoteItem, key: str, reason: str) -> None:
        """Refuse the note, with a reason that names the item and its key."""
        self.reasons.append(f"{entry.place}.{key}: {reason}")

    def refuse_unfinished_moves(self, subjects: list[str]) -> None:
        """Refuse the note if a subject has an unfinished move.

        Subjects are keys of ``ConfigDocument.touched``.
        """
        for subject in subjects:
            for move in list_unfinished_moves(self.document, subject):
                self.reasons.append(
                    f"{subject}: move {move.id} by {move.operator} is not finished; "
                    "wait until it is done or taken back"
                )

    def check_times(self, entry: NoteItem) -> bool:
        """Return whether the move can be done before its due time; refuse the item if not."""
        if entry.due_ms <= self._wall_ms:
            self.refuse(entry, "by", f"{entry.item.by} is in the past; choose a later hour")
            return False
        start_ms = max(self._wall_ms, entry.start_ms)
        needed_ms = DONE_MARGIN_MS
        if isinstance(entry.item, VersionItem):
            needed_ms = self.policy.compute_min_ms(entry.item.share)
        elif isinstance(entry.item, WithdrawnVersionItem) and entry.item.replacement:
            needed_ms = self.policy.compute_min_ms(1.0) + int(self.policy.min_step_s * 1000)
        if start_ms + needed_ms < entry.due_ms:
            return True
        self.refuse(
            entry,
            "by",
            f"{entry.item.by} is too near; the move needs {needed_ms / 1000:g} s, "
            "choose a later hour" + (" or an earlier start" if entry.start_ms else ""),
        )
        return False

    def reserve_subject(self, entry: NoteItem, subject: str, key: str) -> bool:
        """Return whether this item alone changes a subject; refuse it if another item does too."""
        owner = self.subject_owners.setdefault(subject, entry.place)
        if owner == entry.place:
            return True
        self.refuse(entry, key, f"{subject} is named by {owner} too; keep one of the items")
        return False

    def find_service(self, entry: NoteItem, name: str) -> ServiceConfig | None:
        """Return the service, or refuse the item and return ``None`` if it is unknown."""
        service = self.services.get(name)
        if service is None:
            known = ", ".join(self.document.services) or "none"
            self.refuse(entry, "service", f"{name!r} is unknown; use one of: {known}")
        return service

    def add_move(
        self, entry: NoteItem, kind: MoveKind, subject: str, change: MoveChange, **update
    ) -> MoveRecord:
        """Add a move in state PENDING for an item and return it."""
        head = self._note.head
        change = change.model_copy(
            update={"note_hash": self._note.content_hash, "not_before_ms": entry.start_ms}
        )
        move = MoveRecord(
            id=f"{head.id}.{len(self.moves) + 1}",
            note=head.id,
            kind=kind,
            subject=subject,
            due_ms=entry.due_ms,
            due=entry.item.by,
            time_zone=entry.item.time_zone,
            step_seconds=head.step_seconds,
            operator=head.operator,
            change=change.dump(),
            **update,
        )
        self.moves.append(move)
        return move

    def add_description(self, entry: NoteItem, text: str) -> None:
        """Add a line about an item to the description of the changes."""
        start = f" from {entry.item.start}" if entry.item.start else ""
        self._changes.append(f"{text}{start} by {entry.item.by} {entry.item.time_zone}")
