"""Commands for the status of VMs and for single requests."""

from cleo.helpers import argument, option

from zinnia_tool.command import CALL_OPTIONS, ToolCommand, format_table
from zinnia_tool.logs import explain_request, read_lines
from zinnia_tool.replies import StatusReply

LOGS_OPTION = option(
    "logs",
    description="Saved log file of a VM; may be repeated. Without it the VMs are asked",
    flag=False,
    multiple=True,
)


class StatusCommand(ToolCommand):
    """Shows a VM and what it knows."""

    name = "status"
    description = "Show readiness, members, platform and replicas as a VM sees them"
    options = CALL_OPTIONS

    def run_command(self) -> None:
        """Print the status."""
        with self.open_client() as client:
            reply = client.read_status()
        self.show(reply, describe_status(reply))


def describe_status(reply: StatusReply) -> list[str]:
    """Return the lines of a status."""
    ready = "ready" if reply.ready else f"not ready: {', '.join(reply.reasons) or 'no reason'}"
    lines = [
        f"{reply.vm} in {reply.data_centre}, {ready}",
        f"revision {reply.revision}, platform {reply.platform}",
        "",
    ]
    members = [(row.vm, row.data_centre, row.state, row.revision) for row in reply.members]
    lines += format_table(("VM", "DATA CENTRE", "STATE", "REVISION"), members)
    replicas = [
        (
            row.replica,
            row.service,
            row.data_centre,
            row.version,
            row.state,
            f"{row.in_flight}/{row.limit}",
            row.queue,
            row.owner or "-",
        )
        for row in reply.replicas
    ]
    head = ("REPLICA", "SERVICE", "DATA CENTRE", "VERSION", "STATE", "LOAD", "QUEUE", "OWNER")
    return [*lines, "", *format_table(head, replicas)]


class ExplainCommand(ToolCommand):
    """Explains one request."""

    name = "explain"
    description = "Show every decision about a request, from saved logs or from the VMs"
    arguments = [argument("request-id", "Id from the answer or the refusal")]
    options = [*CALL_OPTIONS, LOGS_OPTION]

    def run_command(self) -> None:
        """Print the events of the request."""
        paths = self.option("logs")
        if paths:
            for line in explain_request(read_lines(paths), self.argument("request-id")):
                self.write(line)
            return
        with self.open_client() as client:
            reply = client.find_trace(self.argument("request-id"))
        rows = [(f"{row.at_s * 1000:.1f} ms", row.event, row.detail) for row in reply.events]
        lines = [f"request {reply.request_id} on {reply.vm}"]
        self.show(reply, [*lines, *format_table(("AT", "EVENT", "DETAIL"), rows)])


class OutcomeCommand(ToolCommand):
    """Shows the outcome of a command."""

    name = "outcome"
    description = "Show whether a command with an idempotency key ran"
    arguments = [argument("service", "Service"), argument("key", "Idempotency key")]
    options = CALL_OPTIONS

    def run_command(self) -> None:
        """Print all that is known under the key."""
        with self.open_client() as client:
            reply = client.find_outcome(self.argument("service"), self.argument("key"))
        self.show(reply, [f"{name}: {value}" for name, value in reply.model_dump().items()])
