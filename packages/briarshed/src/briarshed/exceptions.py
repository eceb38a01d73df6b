"""Exceptions of briarshed, with messages for users."""

from __future__ import annotations

from collections.abc import Sequence

from briarshed.findings import Finding, format_finding


class BriarshedError(Exception):
    """Base class of all exceptions raised by briarshed.

    Attributes
    ----------
    exit_code : int
        Exit code of a program that terminates with this error.
    """

    exit_code = 1

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the message to show to the user."""
        return self.message


class FindingsError(BriarshedError):
    """A settings file or a script has one or more findings."""

    exit_code = 2

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__(f"{len(findings)} finding(s)")
        self.findings = tuple(findings)

    def format_message(self) -> str:
        """Return all findings, one per line."""
        return "\n".join(format_finding(finding) for finding in self.findings)


class SettingsError(FindingsError):
    """A settings file has findings."""


class ScriptError(FindingsError):
    """A script of operators' commands has findings."""


class ChartError(BriarshedError):
    """A state chart does not allow a transition, or its file is invalid."""


class DocumentError(BriarshedError):
    """A document from the store cannot be decoded."""


class StoreUnavailableError(BriarshedError):
    """The store did not respond, or responded with an error."""


class PlatformUnavailableError(BriarshedError):
    """The platform did not respond, or responded with an error."""


class EndpointUnreachableError(BriarshedError):
    """No byte of the request was written to the endpoint."""


class ResponseLostError(BriarshedError):
    """The request may have reached the endpoint, but no response arrived."""


class RequestBodyError(BriarshedError):
    """The body of a client's request was not read; nothing came of the request."""


class BodyTooLargeError(RequestBodyError):
    """The body exceeds the limit."""


class BodyTimeoutError(RequestBodyError):
    """The body did not arrive in time."""


class NoRoomError(RequestBodyError):
    """The process has no memory for the request."""
