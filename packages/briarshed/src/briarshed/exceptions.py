"""All errors of briarshed; each formats itself for people."""

from __future__ import annotations

from collections.abc import Sequence

from briarshed.findings import Finding, format_finding


class BriarshedError(Exception):
    """Base of every error that briarshed raises.

    Attributes
    ----------
    exit_code : int
        Exit code of a program that ends with this error.
    """

    exit_code = 1

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text that is shown to a person."""
        return self.message


class FindingsError(BriarshedError):
    """Text written by a person has one or more findings."""

    exit_code = 2

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__(f"{len(findings)} finding(s)")
        self.findings = tuple(findings)

    def format_message(self) -> str:
        """Return all findings, a line each."""
        return "\n".join(format_finding(finding) for finding in self.findings)


class SettingsError(FindingsError):
    """A settings file has findings."""


class ScriptError(FindingsError):
    """A script of operators' commands has findings."""


class ChartError(BriarshedError):
    """A state chart does not allow a transition, or its file is invalid."""


class DocumentError(BriarshedError):
    """A document of the store cannot be decoded."""


class StoreUnavailableError(BriarshedError):
    """The store did not answer, or answered with an error."""


class PlatformUnavailableError(BriarshedError):
    """The platform did not answer, or answered with an error."""


class EndpointUnreachableError(BriarshedError):
    """No byte of the request was written to the endpoint."""


class ResponseLostError(BriarshedError):
    """The request may have reached the endpoint, and its answer did not arrive."""
