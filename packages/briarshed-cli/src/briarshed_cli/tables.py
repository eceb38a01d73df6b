"""Output of an entry's responses as tables."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import Any

from rich import box
from rich.console import Console
from rich.table import Table
from rich.text import Text

from briarshed.findings import Finding, format_finding
from briarshed.queries import format_value

_TIME_COLUMNS = ("at", "since", "expires_at", "replaced_expires_at")
MAX_TEXT_LENGTH = 100
"""Length at which a change's text is cut off in a table; JSON output has all of it."""

_PIPED_WIDTH = 10_000
"""Width in characters for output to files and programs, so that rows do not wrap."""


def print_response(content: dict[str, Any], source: str) -> None:
    """Print the response to a script."""
    console = Console(highlight=False, soft_wrap=True)
    if not console.is_terminal:
        console = Console(highlight=False, soft_wrap=True, width=_PIPED_WIDTH)
    errors = Console(stderr=True, highlight=False, soft_wrap=True)
    if content["findings"]:
        for found in content["findings"]:
            finding = Finding(**{**found, "source": source})
            errors.print(Text(format_finding(finding)))
    elif content["message"]:
        errors.print(Text(content["message"]))
    for result in content["results"]:
        _print_result(console, result)
    if "plan" in content:
        _print_plan(console, content["plan"])
    for warning in content.get("warnings", ()):
        errors.print(Text(f"warning: {warning}"))
    if content["accepted"]:
        errors.print(Text(_describe_acceptance(content)))


def _describe_acceptance(content: dict[str, Any]) -> str:
    text = (
        f"accepted; configuration version {content['version']},"
        f" fleet version {content['fleet_version']}; "
    )
    if content["in_force"]:
        return text + "in force"
    return text + f"not yet in force at: {', '.join(content['waiting_for'])}"


def _print_result(console: Console, result: dict[str, Any]) -> None:
    if "rows" in result:
        _print_rows(console, result["columns"], result["rows"])
        for line in _describe_parts(result):
            console.print(Text(line))
        return
    shown = {
        name: value for name, value in result.items() if name not in ("line", "command")
    }
    fields = " ".join(
        f"{name}={_format_cell(name, value)}" for name, value in shown.items()
    )
    console.print(Text(f"{result['command']}: {fields}"))


def _describe_parts(result: dict[str, Any]) -> list[str]:
    answered = ", ".join(
        f"{part['entry']} ({part['data_centre']}, {_format_age(part['age_s'])})"
        for part in result["parts"]
    )
    lines = [f"from {answered}"]
    if result["unreached"]:
        missing = ", ".join(
            f"{part['entry']} ({part['data_centre']})" for part in result["unreached"]
        )
        lines.append(f"no answer from {missing}")
    if result["omitted"]:
        lines.append(f"{result['omitted']} more rows were left out")
    if result.get("note"):
        lines.append(result["note"])
    return lines


def _format_age(age: float | None) -> str:
    return "of unknown age" if age is None else f"{age:.1f} s old"


def _print_plan(console: Console, plan: dict[str, Any]) -> None:
    console.print(
        Text(
            f"dry run, nothing changed; moves: {plan['moves']}, stops: {plan['stops']}"
        )
    )
    if plan["pools"]:
        _print_rows(console, list(plan["pools"][0]), plan["pools"])


def _print_rows(
    console: Console, columns: list[str], rows: list[dict[str, Any]]
) -> None:
    table = Table(box=box.SIMPLE, pad_edge=False)
    for name in columns:
        table.add_column(name)
    for row in rows:
        cells = [Text(_format_cell(name, row.get(name))) for name in columns]
        table.add_row(*cells)
    console.print(table)


def _format_cell(column: str, value: Any) -> str:
    if column in _TIME_COLUMNS and isinstance(value, int | float):
        moment = datetime.fromtimestamp(value, UTC)
        return moment.isoformat(sep=" ", timespec="seconds")
    if column == "what" and len(value) > MAX_TEXT_LENGTH:
        return value[:MAX_TEXT_LENGTH] + "..."
    if isinstance(value, dict):
        return json.dumps(value, sort_keys=True)
    return format_value(value)
