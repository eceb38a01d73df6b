"""Findings: problems in what people wrote, each with its place."""

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
        What is wrong, in one sentence.
    hint : str
        What to write instead; empty if nothing can be offered.
    """

    source: str
    line: int
    column: int
    message: str
    hint: str = ""


def format_finding(finding: Finding) -> str:
    """Return the finding as one line, in the form that editors can jump to."""
    place = f"{finding.source}:{finding.line}:{finding.column}"
    hint = f" ({finding.hint})" if finding.hint else ""
    return f"{place}: {finding.message}{hint}"


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a hint that offers the nearest known name, or an empty text."""
    nearest = difflib.get_close_matches(name, list(known), n=1, cutoff=0.6)
    return f"did you mean '{nearest[0]}'?" if nearest else ""
