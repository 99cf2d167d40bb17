"""Commands for the configuration and for data centres."""

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
    CALL_OPTIONS,
    OPERATOR_OPTION,
    ToolCommand,
    format_table,
    read_file,
)
from zinnia_tool.exits import ExitCode, ToolError
from zinnia_tool.notes import describe_note


class ConfigCommand(ToolCommand):
    """Shows the revision of each VM."""

    name = "config"
    description = "Show the configuration revision of each VM and which VMs are behind"
    options = CALL_OPTIONS

    def run_command(self) -> None:
        """Print the revisions."""
        with self.open_client() as client:
            reply = client.read_status()
        rows = [
            (row.vm, row.data_centre, row.state, row.revision, "behind" if row.behind else "")
            for row in reply.members
        ]
        behind = sum(row.behind for row in reply.members)
        head = f"revision {reply.revision} on {reply.vm}; {behind} of {len(rows)} VMs behind"
        table = format_table(("VM", "DATA CENTRE", "STATE", "REVISION", ""), rows)
        self.show(reply, [head, *table])


class ConfigApplyCommand(ToolCommand):
    """Replaces the whole configuration."""

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
        *CALL_OPTIONS,
    ]

    def run_command(self) -> None:
        """Check the document here and write it with a conditional write."""
        document = load_document(read_file(self.argument("file")))
        update = {"changed_by": self.read_operator()}
        with self.open_client() as client:
            expected = self._read_expected(client)
            data = document.model_copy(update=update).model_dump(mode="json")
            reply = client.replace_config(data, expected, uuid.uuid4().hex)
        self.show(reply, [f"configuration is in force as revision {reply.revision}"])

    def _read_expected(self, client: AdminClient) -> int:
        expected = self.option("expect")
        if expected is None:
            return _read_revision(client)
        if not expected.isdecimal():
            reason = f"--expect {expected} is no revision; give a number from 'zinnia config'"
            raise ToolError(ExitCode.USAGE, [reason])
        return int(expected)


def _read_revision(client: AdminClient) -> int:
    """Return the current revision, 0 where no VM knows a configuration."""
    try:
        return client.read_config().revision
    except ToolError as error:
        if error.code is ExitCode.NOT_FOUND:
            return 0
        raise


def load_document(text: str) -> ConfigDocument:
    """Return the configuration of a YAML text; the revision may be left out."""
    try:
        data = YAML(typ="safe", pure=True).load(text)
    except Exception as error:  # Constructors of YAML values raise errors of many types.
        summary = " ".join(str(error).split())
        raise ToolError(ExitCode.REFUSED, [f"not valid YAML: {summary}; correct it"]) from error
    if not isinstance(data, dict):
        reason = "not a YAML mapping; start with 'services:'"
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
    """Common part of ``data-centre out`` and ``data-centre in``."""

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
        *CALL_OPTIONS,
    ]

    def run_command(self) -> None:
        """Switch at once, or by a release note of one item if a due time is given."""
        data_centre, operator = self.argument("data-centre"), self.read_operator()
        if self.option("start") and not self.option("by"):
            raise ToolError(ExitCode.USAGE, ["--start needs an hour; give --by too"])
        with self.open_client() as client:
            if self.option("by"):
                self._apply_note(client, data_centre, operator)
                return
            reply = client.switch_data_centre(data_centre, self.state.value, operator)
        line = f"data centre {data_centre}: {self.state.value} in revision {reply.revision}"
        self.show(reply, [line])

    def _apply_note(self, client: AdminClient, data_centre: str, operator: str) -> None:
        text = self._write_note(data_centre, operator, _read_revision(client))
        note = parse_note(text).head.id
        reply = client.apply_note(text, dry_run=False)
        self.show(reply, describe_note(note, reply, dry_run=False))

    def _write_note(self, data_centre: str, operator: str, revision: int) -> str:
        item = {"kind": "data_centre", "data_centre": data_centre, "state": self.state.value}
        if self.option("start"):
            item["start"] = self.option("start")
        stamp = datetime.now(UTC).strftime("%Y%m%d-%H%M%S")
        note = {
            "format": 1,
            "id": f"{data_centre}-{self.state.value}-{stamp}",
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
