"""Planning of the moves of a release note against the current configuration document."""

from zinnia_model.configuration import ConfigDocument, MoveRecord
from zinnia_model.errors import ConflictError, NoteError
from zinnia_releases.changes import list_unfinished_moves
from zinnia_releases.items import list_subjects, plan_items
from zinnia_releases.moves import DEFAULT_POLICY, MovePolicy
from zinnia_releases.note import Note
from zinnia_releases.planner import NotePlan, NotePlanner

__all__ = ["NotePlan", "plan_note"]


def plan_note(
    note: Note, document: ConfigDocument, wall_ms: int, policy: MovePolicy = DEFAULT_POLICY
) -> NotePlan:
    """Return the plan of a note: the next revision, with its moves in state PENDING.

    A note that was applied before returns the current document. The code that calls this sets
    ``change_id`` and makes the conditional write to the store.

    Raises
    ------
    NoteError
        The note cannot be planned; the error lists every reason.
    ConflictError
        A service or data centre of the note changed after ``against_revision``, or has an
        unfinished move.
    """
    applied = [move for move in document.moves.values() if move.note == note.head.id]
    if applied:
        return _plan_applied_note(note, applied, document)
    _check_conflicts(note, document)
    planner = NotePlanner(note, document, wall_ms, policy)
    planner.refuse_unfinished_moves(list_subjects(note))
    plan_items(planner, note)
    return planner.build_plan()


def _plan_applied_note(note: Note, applied: list[MoveRecord], document: ConfigDocument) -> NotePlan:
    if any(move.change.get("note_hash") != note.content_hash for move in applied):
        raise NoteError(
            [f"id: note {note.head.id} was applied with other content; choose another id"]
        )
    changes = [f"note {note.head.id} is applied already; nothing changes"]
    return NotePlan(document, changes, [move.id for move in applied], already_applied=True)


def _check_conflicts(note: Note, document: ConfigDocument) -> None:
    against = note.head.against_revision
    if against > document.revision:
        raise NoteError(
            [
                f"against_revision: {against} does not exist; the current revision is "
                f"{document.revision}, use it after reading the status"
            ]
        )
    if against == document.revision:
        return
    conflicts = []
    for subject in list_subjects(note):
        touch = document.touched.get(subject)
        if touch is not None and touch.revision > against:
            conflicts.append(f"{subject} was changed in revision {touch.revision} by {touch.by}")
        for move in list_unfinished_moves(document, subject):
            conflicts.append(f"{subject} has the unfinished move {move.id} of {move.operator}")
    if conflicts:
        raise ConflictError(
            f"the note was written against revision {against}, but "
            + "; ".join(conflicts)
            + f"; read the status and write the note against revision {document.revision}",
            document.revision,
        )
