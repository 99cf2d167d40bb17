"""Exit codes of the ``zinnia`` command and the error that carries one."""

from enum import IntEnum

from zinnia_model.errors import ZinniaError


class ExitCode(IntEnum):
    """Exit status of ``zinnia``; the lower-case name is printed in front of each reason."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_FOUND = 5


class ToolError(ZinniaError):
    """A command failed; ``reasons`` lists every cause with its remedy."""

    def __init__(self, code: ExitCode, reasons: list[str]):
        super().__init__("; ".join(reasons))
        self.code = code
        self.reasons = reasons
