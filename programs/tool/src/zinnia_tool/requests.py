"""Commands that show the status of VMs, the trace of a request and the outcome of a command."""

from cleo.helpers import argument, option

from zinnia_tool.command import ADMIN_API_OPTIONS, ToolCommand, format_table
from zinnia_tool.logs import explain_request, read_log_lines
from zinnia_tool.replies import StatusReply

LOGS_OPTION = option(
    "logs",
    description="Saved log file of a VM; may be repeated. Without it the VMs are asked",
    flag=False,
    multiple=True,
)


class StatusCommand(ToolCommand):
    """Shows the status of a VM and its view of the tier."""

    name = "status"
    description = "Show readiness, members, platform and replicas as a VM sees them"
    options = ADMIN_API_OPTIONS

    def run_command(self) -> None:
        """Print readiness, members and replicas."""
        with self.open_client() as client:
            reply = client.read_status()
        self.print_reply(reply, describe_status(reply))


def describe_status(reply: StatusReply) -> list[str]:
    """Return the status as text lines with a table of members and one of replicas."""
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
    header = ("REPLICA", "SERVICE", "DATA CENTRE", "VERSION", "STATE", "LOAD", "QUEUE", "OWNER")
    return [*lines, "", *format_table(header, replicas)]


class ExplainCommand(ToolCommand):
    """Shows the decisions about a request."""

    name = "explain"
    description = "Show every decision about a request, from saved logs or from the VMs"
    arguments = [argument("request-id", "Id from the answer or the refusal")]
    options = [*ADMIN_API_OPTIONS, LOGS_OPTION]

    def run_command(self) -> None:
        """Print the events of the request, from ``--logs`` if given, else from the VM's trace."""
        paths = self.option("logs")
        if paths:
            for line in explain_request(read_log_lines(paths), self.argument("request-id")):
                self.print_line(line)
            return
        with self.open_client() as client:
            reply = client.find_trace(self.argument("request-id"))
        rows = [(f"{row.at_s * 1000:.1f} ms", row.event, row.detail) for row in reply.events]
        lines = [f"request {reply.request_id} on {reply.vm}"]
        self.print_reply(reply, [*lines, *format_table(("AT", "EVENT", "DETAIL"), rows)])


class OutcomeCommand(ToolCommand):
    """Shows the outcome of a command that was sent with an idempotency key."""

    name = "outcome"
    description = "Show whether a command with an idempotency key ran"
    arguments = [argument("service", "Service"), argument("key", "Idempotency key")]
    options = ADMIN_API_OPTIONS

    def run_command(self) -> None:
        """Print every field of the reply."""
        with self.open_client() as client:
            reply = client.find_outcome(self.argument("service"), self.argument("key"))
        self.print_reply(reply, [f"{name}: {value}" for name, value in reply.model_dump().items()])
