"""Findings: problems in settings files and scripts, with their positions."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from typing import NamedTuple


class Finding(NamedTuple):
    """One problem in a settings file or a script.

    Attributes
    ----------
    source : str
        Name of the file, or ``<command>`` for text that has none.
    line : int
        Line number, counted from 1.
    column : int
        Column number, counted from 1.
    message : str
        Description of the problem, in one sentence.
    hint : str
        Suggested correction; empty if there is none.
    """

    source: str
    line: int
    column: int
    message: str
    hint: str = ""


def format_finding(finding: Finding) -> str:
    """Return the finding as one line, in a format from which editors can navigate."""
    position = f"{finding.source}:{finding.line}:{finding.column}"
    hint = f" ({finding.hint})" if finding.hint else ""
    return f"{position}: {finding.message}{hint}"


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a hint with the most similar known name, or an empty string."""
    matches = difflib.get_close_matches(name, list(known), n=1, cutoff=0.6)
    return f"did you mean '{matches[0]}'?" if matches else ""
