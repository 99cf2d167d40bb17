"""Commands for release notes and moves."""

from cleo.helpers import argument, option
from pydantic import BaseModel

from zinnia_model.configuration import MoveState
from zinnia_releases.note import parse_note
from zinnia_releases.report import MoveReport
from zinnia_tool.command import CALL_OPTIONS, JSON_OPTION, ToolCommand, format_table, read_file
from zinnia_tool.exits import ExitCode, ToolError
from zinnia_tool.replies import MovesReply, NoteReply


class CheckReply(BaseModel):
    """What ``note check`` found."""

    id: str
    items: int


class NoteCheckCommand(ToolCommand):
    """Checks the format of a note without a server."""

    name = "note check"
    description = "Check the format of a release note; no VM is asked"
    arguments = [argument("file", "Release note in YAML, - for standard input")]
    options = [JSON_OPTION]

    def run_command(self) -> None:
        """Print that the note is valid."""
        note = parse_note(read_file(self.argument("file")))
        reply = CheckReply(id=note.head.id, items=len(note.items))
        self.show(reply, [f"note {reply.id} is valid: {reply.items} items"])


class NoteApplyCommand(ToolCommand):
    """Applies a note."""

    name = "note apply"
    description = "Apply a release note as a whole, or refuse it with every reason"
    arguments = [argument("file", "Release note in YAML, - for standard input")]
    options = [option("dry-run", description="Only show what would change"), *CALL_OPTIONS]

    def run_command(self) -> None:
        """Check the format here and apply the note on a VM."""
        text, dry_run = read_file(self.argument("file")), self.option("dry-run")
        note = parse_note(text)
        with self.open_client() as client:
            reply = client.apply_note(text, dry_run)
        self.show(reply, describe_note(note.head.id, reply, dry_run))


def describe_note(note: str, reply: NoteReply, dry_run: bool) -> list[str]:
    """Return the lines for an applied note."""
    verb = "would be applied as" if dry_run else "is applied in"
    head = f"note {note} {verb} revision {reply.revision}"
    return [head, *(f"  {change}" for change in reply.changes)]


class MovesCommand(ToolCommand):
    """Reports moves."""

    name = "moves"
    description = "Report the moves: pending, ramping, done or taken back"
    arguments = [argument("move", "A move or a note; all moves without it", optional=True)]
    options = CALL_OPTIONS

    def run_command(self) -> None:
        """Print a table of moves, or all details of those asked for."""
        wanted = self.argument("move")
        with self.open_client() as client:
            reply = client.list_moves()
        if wanted is None:
            self.show(reply, list_moves(reply))
            return
        found = tuple(move for move in reply.moves if wanted in (move.id, move.note))
        if not found:
            reason = f"move or note {wanted!r} is unknown; run 'zinnia moves' for a list"
            raise ToolError(ExitCode.NOT_FOUND, [reason])
        lines = [line for move in found for line in describe_move(move)]
        self.show(MovesReply(moves=found), lines)


def list_moves(reply: MovesReply) -> list[str]:
    """Return one line for each move."""
    if not reply.moves:
        return ["no moves"]
    rows = [
        (
            move.id,
            move.state.value,
            name_change(move),
            f"{move.share:.0%}" if move.steps else "",
            f"{move.due} {move.time_zone}",
            move.operator,
            move.cause,
        )
        for move in reply.moves
    ]
    return format_table(("MOVE", "STATE", "CHANGE", "SHARE", "BY", "OPERATOR", "CAUSE"), rows)


def name_change(move: MoveReport) -> str:
    """Return what a move changes in a few words."""
    if move.steps:
        return f"{move.subject}: {move.from_version} to {move.to_version}"
    if move.to_version:
        return f"{move.subject}: {move.to_version} at {move.target_share:.0%}"
    if move.from_version:
        return f"{move.subject}: without {move.from_version}"
    return f"{move.kind.value.replace('_', ' ')} {move.subject}"


def describe_move(move: MoveReport) -> list[str]:
    """Return all that is known about a move."""
    lines = [f"{move.id}  {move.state.value}", f"  change    {name_change(move)}"]
    if move.steps:
        lines.append(f"  step      {move.step} of {move.steps}, share {move.share:.0%}")
    lines.append(f"  by        {move.due} {move.time_zone}, {move.seconds_left:.0f} s left")
    if move.settled:
        lines.append(f"  settled   {move.settled}")
    if move.cause:
        lines.append(f"  cause     {move.cause}")
    if move.state is MoveState.TAKEN_BACK and move.recorded is not move.state:
        lines.append("  recorded  not yet; the platform will be told when it answers")
    lines += [
        f"  evidence  {row.version}: {row.faults} faults in {row.answers} answers"
        for row in move.evidence
    ]
    return [*lines, f"  operator  {move.operator}, note {move.note}"]
