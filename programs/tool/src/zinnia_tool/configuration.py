"""Commands that show and replace the configuration and switch data centres."""

import uuid
from datetime import UTC, datetime
from io import StringIO

from cleo.helpers import argument, option
from pydantic import ValidationError
from ruamel.yaml import YAML

from zinnia_model.configuration import ConfigDocument, DataCentreState
from zinnia_releases.note import Section, parse_note
from zinnia_tool.client import AdminClient
from zinnia_tool.command import (
    ADMIN_API_OPTIONS,
    OPERATOR_OPTION,
    ToolCommand,
    format_table,
    read_file,
)
from zinnia_tool.exits import ExitCode, ToolError
from zinnia_tool.notes import describe_note


class ConfigCommand(ToolCommand):
    """Shows the configuration revision of each VM."""

    name = "config"
    description = "Show the configuration revision of each VM and which VMs are behind"
    options = ADMIN_API_OPTIONS

    def run_command(self) -> None:
        """Print a table of the VMs with their revisions; mark those that are behind."""
        with self.open_client() as client:
            reply = client.read_status()
        rows = [
            (row.vm, row.data_centre, row.state, row.revision, "behind" if row.behind else "")
            for row in reply.members
        ]
        behind = sum(row.behind for row in reply.members)
        summary = f"revision {reply.revision} on {reply.vm}; {behind} of {len(rows)} VMs behind"
        table = format_table(("VM", "DATA CENTRE", "STATE", "REVISION", ""), rows)
        self.print_reply(reply, [summary, *table])


class ConfigApplyCommand(ToolCommand):
    """Replaces the complete configuration."""

    name = "config apply"
    description = "Replace the whole configuration, for set-up; moves stay as they are"
    arguments = [argument("file", "Configuration in YAML, - for standard input")]
    options = [
        option(
            "expect",
            description="Revision that must be in force. Default: the current one",
            flag=False,
        ),
        OPERATOR_OPTION,
        *ADMIN_API_OPTIONS,
    ]

    def run_command(self) -> None:
        """Validate the document locally and write it on condition that the revision matches."""
        document = load_document(read_file(self.argument("file")))
        update = {"changed_by": self.read_operator()}
        with self.open_client() as client:
            expected = self._read_expected_revision(client)
            data = document.model_copy(update=update).model_dump(mode="json")
            reply = client.replace_config(data, expected, uuid.uuid4().hex)
        self.print_reply(reply, [f"configuration is in force as revision {reply.revision}"])

    def _read_expected_revision(self, client: AdminClient) -> int:
        """Return the revision of ``--expect``, or the current one without it."""
        expected = self.option("expect")
        if expected is None:
            return _read_revision(client)
        if not expected.isdecimal():
            reason = f"--expect {expected} is no revision number; give one from 'zinnia config'"
            raise ToolError(ExitCode.USAGE, [reason])
        return int(expected)


def _read_revision(client: AdminClient) -> int:
    """Return the current revision, 0 if there is no configuration yet."""
    try:
        return client.read_config().revision
    except ToolError as error:
        if error.code is ExitCode.NOT_FOUND:
            return 0
        raise


def load_document(text: str) -> ConfigDocument:
    """Parse a configuration in YAML.

    The revision may be left out and is 0 then.

    Raises
    ------
    ToolError
        The text is not valid YAML or not a valid configuration.
    """
    try:
        data = YAML(typ="safe", pure=True).load(text)
    except Exception as error:  # YAML constructors raise many error types.
        summary = " ".join(str(error).split())
        raise ToolError(
            ExitCode.REFUSED, [f"configuration is not valid YAML: {summary}; correct it"]
        ) from error
    if not isinstance(data, dict):
        reason = "configuration is not a YAML mapping; start it with 'services:'"
        raise ToolError(ExitCode.REFUSED, [reason])
    try:
        return ConfigDocument.model_validate({"revision": 0} | data)
    except ValidationError as error:
        reasons = [
            f"{'.'.join(str(part) for part in detail['loc'])}: {detail['msg']}; correct the value"
            for detail in error.errors(include_url=False)
        ]
        raise ToolError(ExitCode.REFUSED, reasons) from error


class DataCentreCommand(ToolCommand):
    """Base class of ``data-centre out`` and ``data-centre in``; ``state`` is the state to set."""

    state: DataCentreState
    arguments = [argument("data-centre", "Id of the data centre")]
    options = [
        option("by", description="Make a move with this hour, 'YYYY-MM-DD HH:MM'", flag=False),
        option("start", description="Start the move at this time, not at once", flag=False),
        option(
            "time-zone",
            description="Time zone of --by and --start, e.g. Asia/Taipei",
            flag=False,
            default="UTC",
        ),
        OPERATOR_OPTION,
        *ADMIN_API_OPTIONS,
    ]

    def run_command(self) -> None:
        """Set the state at once; with ``--by`` apply a release note with one move instead."""
        data_centre, operator = self.argument("data-centre"), self.read_operator()
        if self.option("start") and not self.option("by"):
            raise ToolError(ExitCode.USAGE, ["--start is only valid with --by; give --by too"])
        with self.open_client() as client:
            if self.option("by"):
                self._apply_note(client, data_centre, operator)
                return
            reply = client.set_data_centre_state(data_centre, self.state.value, operator)
        line = f"data centre {data_centre}: {self.state.value} in revision {reply.revision}"
        self.print_reply(reply, [line])

    def _apply_note(self, client: AdminClient, data_centre: str, operator: str) -> None:
        text = self._format_note(data_centre, operator, _read_revision(client))
        note_id = parse_note(text).head.id
        reply = client.apply_note(text, dry_run=False)
        self.print_reply(reply, describe_note(note_id, reply, dry_run=False))

    def _format_note(self, data_centre: str, operator: str, revision: int) -> str:
        """Return a release note in YAML that changes only this data centre."""
        item = {"kind": "data_centre", "data_centre": data_centre, "state": self.state.value}
        if self.option("start"):
            item["start"] = self.option("start")
        timestamp = datetime.now(UTC).strftime("%Y%m%d-%H%M%S")
        note = {
            "format": 1,
            "id": f"{data_centre}-{self.state.value}-{timestamp}",
            "operator": operator,
            "against_revision": revision,
            "by": self.option("by"),
            "time_zone": self.option("time-zone"),
            Section.CHANGED.value: [item],
        }
        stream = StringIO()
        YAML(typ="safe", pure=True).dump(note, stream)
        return stream.getvalue()


class DataCentreOutCommand(DataCentreCommand):
    """Takes a data centre out."""

    name = "data-centre out"
    description = "Take a data centre out; it gets no new work after a few seconds"
    state = DataCentreState.OUT


class DataCentreInCommand(DataCentreCommand):
    """Brings a data centre back in."""

    name = "data-centre in"
    description = "Bring a data centre back in; its load grows over some seconds"
    state = DataCentreState.IN
