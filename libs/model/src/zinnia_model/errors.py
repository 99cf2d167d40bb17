"""Exceptions of the query tier; their messages name the remedy."""

from zinnia_model.reasons import Outcome, Reason


class ZinniaError(Exception):
    """Base of all errors of the query tier."""


class RefusedError(ZinniaError):
    """A request was refused or its outcome is unknown.

    Parameters
    ----------
    reason : Reason
        Label of the refusal.
    outcome : Outcome
        ``NOT_RUN`` only if no backend server ran any part of the request.
    message : str
        What happened and what the caller can do.
    """

    def __init__(self, reason: Reason, outcome: Outcome, message: str):
        super().__init__(message)
        self.reason = reason
        self.outcome = outcome


class ConflictError(ZinniaError):
    """A conditional write was rejected because the stored version is not the expected one."""

    def __init__(self, message: str, current_version: int):
        super().__init__(message)
        self.current_version = current_version


class PlatformUnavailableError(ZinniaError):
    """The platform did not answer or rejected the call.

    ``maybe_applied`` is true if a write may still have taken effect.
    """

    def __init__(self, message: str, maybe_applied: bool):
        super().__init__(message)
        self.maybe_applied = maybe_applied


class PlatformBudgetError(PlatformUnavailableError):
    """The call limiter of this VM rejected the call, which was never sent."""

    def __init__(self, message: str):
        super().__init__(message, maybe_applied=False)


class SettingsError(ZinniaError):
    """A settings file is invalid; the message names the file, the key and the remedy."""


class NoteError(ZinniaError):
    """A release note cannot be applied; ``reasons`` lists every cause."""

    def __init__(self, reasons: list[str]):
        super().__init__("; ".join(reasons))
        self.reasons = reasons
