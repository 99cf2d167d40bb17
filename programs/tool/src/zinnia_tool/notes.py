"""Commands that check and apply release notes and report moves."""

from cleo.helpers import argument, option
from pydantic import BaseModel

from zinnia_model.configuration import MoveState
from zinnia_releases.note import parse_note
from zinnia_releases.report import MoveReport
from zinnia_tool.command import ADMIN_API_OPTIONS, JSON_OPTION, ToolCommand, format_table, read_file
from zinnia_tool.exits import ExitCode, ToolError
from zinnia_tool.replies import MovesReply, NoteReply


class CheckReply(BaseModel):
    """Result of ``note check``: the id of the note and its number of items."""

    id: str
    items: int


class NoteCheckCommand(ToolCommand):
    """Checks the format of a release note locally."""

    name = "note check"
    description = "Check the format of a release note; no VM is asked"
    arguments = [argument("file", "Release note in YAML, - for standard input")]
    options = [JSON_OPTION]

    def run_command(self) -> None:
        """Print that the note is valid; an invalid one raises ``NoteError``."""
        note = parse_note(read_file(self.argument("file")))
        reply = CheckReply(id=note.head.id, items=len(note.items))
        self.print_reply(reply, [f"note {reply.id} is valid: {reply.items} items"])


class NoteApplyCommand(ToolCommand):
    """Applies a release note."""

    name = "note apply"
    description = "Apply a release note as a whole, or refuse it with every reason"
    arguments = [argument("file", "Release note in YAML, - for standard input")]
    options = [option("dry-run", description="Only show what would change"), *ADMIN_API_OPTIONS]

    def run_command(self) -> None:
        """Check the format locally, then send the note to a VM."""
        text, dry_run = read_file(self.argument("file")), self.option("dry-run")
        note = parse_note(text)
        with self.open_client() as client:
            reply = client.apply_note(text, dry_run)
        self.print_reply(reply, describe_note(note.head.id, reply, dry_run))


def describe_note(note_id: str, reply: NoteReply, dry_run: bool) -> list[str]:
    """Return the revision and the changes of an applied note, or of a dry run, as lines."""
    verb = "would be applied as" if dry_run else "is applied in"
    summary = f"note {note_id} {verb} revision {reply.revision}"
    return [summary, *(f"  {change}" for change in reply.changes)]


class MovesCommand(ToolCommand):
    """Reports the moves of the configuration."""

    name = "moves"
    description = "Report the moves: pending, ramping, done or taken back"
    arguments = [argument("move", "A move or a note; all moves without it", optional=True)]
    options = ADMIN_API_OPTIONS

    def run_command(self) -> None:
        """Print a table of all moves, or the details of one move or of a note's moves."""
        wanted = self.argument("move")
        with self.open_client() as client:
            reply = client.list_moves()
        if wanted is None:
            self.print_reply(reply, format_moves(reply))
            return
        found = tuple(move for move in reply.moves if wanted in (move.id, move.note))
        if not found:
            reason = f"move or note {wanted!r} is unknown; run 'zinnia moves' for a list"
            raise ToolError(ExitCode.NOT_FOUND, [reason])
        lines = [line for move in found for line in describe_move(move)]
        self.print_reply(MovesReply(moves=found), lines)


def format_moves(reply: MovesReply) -> list[str]:
    """Return a table with one row for each move."""
    if not reply.moves:
        return ["no moves"]
    rows = [
        (
            move.id,
            move.state.value,
            describe_change(move),
            f"{move.share:.0%}" if move.steps else "",
            f"{move.due} {move.time_zone}",
            move.operator,
            move.cause,
        )
        for move in reply.moves
    ]
    return format_table(("MOVE", "STATE", "CHANGE", "SHARE", "BY", "OPERATOR", "CAUSE"), rows)


def describe_change(move: MoveReport) -> str:
    """Return a short text of what a move changes."""
    if move.steps:
        return f"{move.subject}: {move.from_version} to {move.to_version}"
    if move.to_version:
        return f"{move.subject}: {move.to_version} at {move.target_share:.0%}"
    if move.from_version:
        return f"{move.subject}: without {move.from_version}"
    return f"{move.kind.value.replace('_', ' ')} {move.subject}"


def describe_move(move: MoveReport) -> list[str]:
    """Return the details of a move as lines."""
    lines = [f"{move.id}  {move.state.value}", f"  change    {describe_change(move)}"]
    if move.steps:
        lines.append(f"  step      {move.step} of {move.steps}, share {move.share:.0%}")
    lines.append(f"  by        {move.due} {move.time_zone}, {move.seconds_left:.0f} s left")
    if move.settled:
        lines.append(f"  settled   {move.settled}")
    if move.cause:
        lines.append(f"  cause     {move.cause}")
    if move.state is MoveState.TAKEN_BACK and move.recorded is not move.state:
        lines.append("  recorded  not yet; the VMs write it when the platform answers again")
    lines += [
        f"  evidence  {row.version}: {row.faults} faults in {row.answers} answers"
        for row in move.evidence
    ]
    return [*lines, f"  operator  {move.operator}, note {move.note}"]
