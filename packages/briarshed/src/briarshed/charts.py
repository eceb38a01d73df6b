"""State charts from JSON files."""

from __future__ import annotations

import json
from functools import cache
from importlib import resources
from typing import NamedTuple

from briarshed.exceptions import ChartError


class Chart(NamedTuple):
    """A state chart.

    Attributes
    ----------
    name : str
        File name without its extension.
    initial : str
        State of a new object.
    transitions : dict
        For each event, the next state by current state.
    """

    name: str
    initial: str
    transitions: dict[str, dict[str, str]]


@cache
def load_chart(name: str) -> Chart:
    """Load a chart that is part of the package.

    Raises
    ------
    ChartError
        If a transition or the initial state uses an unknown state.
    """
    text = resources.files("briarshed").joinpath(f"{name}.json").read_text("utf-8")
    content = json.loads(text)
    states = set(content["states"])
    transitions = content["transitions"]
    for event, steps in transitions.items():
        unknown = (set(steps) | set(steps.values())) - states
        if unknown:
            raise ChartError(f"chart {name}: event {event} names unknown {unknown}")
    if content["initial"] not in states:
        raise ChartError(f"chart {name}: unknown initial state")
    return Chart(name, content["initial"], transitions)


def advance(chart: Chart, state: str, event: str) -> str:
    """Return the next state for an event.

    Raises
    ------
    ChartError
        If the event is not allowed in the state.
    """
    after = chart.transitions.get(event, {}).get(state)
    if after is None:
        raise ChartError(f"chart {chart.name}: no event '{event}' in state '{state}'")
    return after


def draw_chart(chart: Chart) -> str:
    """Return the chart as a Mermaid state diagram for the documentation."""
    lines = ["stateDiagram-v2", f"    [*] --> {chart.initial}"]
    for event, steps in sorted(chart.transitions.items()):
        lines += [f"    {a} --> {b}: {event}" for a, b in sorted(steps.items())]
    return "\n".join(lines)
