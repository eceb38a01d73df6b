"""Counters, latency histograms and decision logs of an entry with durable jobs."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from briarshed import events
from briarshed.byte_admission import ClientsReport
from briarshed_entry import clock
from briarshed_entry.logs import log_event

BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds of the histogram buckets in seconds, up to a caller's deadline."""

REGISTRY = CollectorRegistry(auto_describe=False)

_ANSWERS = Counter(
    "briarshed_answers", "Answers to callers", ["what", "status"], registry=REGISTRY
)
_COUNTS = Counter(
    "briarshed_decisions",
    "Decisions by outcome",
    ["what", "outcome"],
    registry=REGISTRY,
)
_SECONDS = Histogram(
    "briarshed_seconds",
    "Duration of calls and of plans",
    ["what"],
    buckets=BUCKETS_S,
    registry=REGISTRY,
)
_EVACUATED = Gauge(
    "briarshed_evacuated_since_seconds",
    "Unix time at which a data centre was evacuated",
    ["data_centre"],
    registry=REGISTRY,
)
_EVACUATED_RUNS = Gauge(
    "briarshed_evacuated_runs",
    "Runs left in an evacuated data centre, at the leader",
    ["data_centre"],
    registry=REGISTRY,
)
_JOB_BYTES = Gauge(
    "briarshed_job_bytes",
    "Estimated memory of open jobs, at the leader",
    ["what"],
    registry=REGISTRY,
)
_HELD_BYTES = Gauge(
    "briarshed_client_held_bytes",
    "Memory that requests of clients hold",
    ["door"],
    registry=REGISTRY,
)
_BUDGET_BYTES = Gauge(
    "briarshed_client_budget_bytes",
    "Memory that requests of clients may hold",
    ["door"],
    registry=REGISTRY,
)
_CONNECTIONS = Gauge(
    "briarshed_client_connections",
    "Open connections of clients",
    ["door", "phase"],
    registry=REGISTRY,
)


def count(what: str, outcome: str) -> None:
    """Count a decision."""
    _COUNTS.labels(what, outcome).inc()


def count_answer(what: str, status: int) -> None:
    """Count a response to a caller."""
    _ANSWERS.labels(what, str(status)).inc()


def observe_seconds(what: str, seconds: float) -> None:
    """Add a duration to a histogram."""
    _SECONDS.labels(what).observe(seconds)


def set_evacuated(since: Mapping[str, float]) -> None:
    """Set the evacuated data centres, with the Unix time of each request."""
    _replace(_EVACUATED, since)


def set_evacuated_runs(counts: Mapping[str, int]) -> None:
    """Set how many runs are left in each evacuated data centre."""
    _replace(_EVACUATED_RUNS, counts)


def set_job_bytes(parts: Mapping[str, int]) -> None:
    """Set the estimated memory of open jobs, by what takes it."""
    _replace(_JOB_BYTES, parts)


def set_clients(report: ClientsReport) -> None:
    """Set what clients use, by listen address."""
    _replace(_HELD_BYTES, report.held_bytes)
    _replace(_BUDGET_BYTES, report.budget_bytes)
    for (door, phase), value in report.connections.items():
        _CONNECTIONS.labels(door, phase).set(value)


def _replace(gauge: Gauge, values: Mapping[str, float]) -> None:
    gauge.clear()
    for name, value in values.items():
        gauge.labels(name).set(value)


def format_metrics() -> bytes:
    """Return the metrics page."""
    return generate_latest(REGISTRY)


class Dependency:
    """Logs once when an external system becomes unavailable and once when it recovers.

    Parameters
    ----------
    name : str
        Name of the system in the log.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._lost_at = 0.0

    def note_failing(self, error: str) -> None:
        """Note a call that was not answered or was refused."""
        count("dependency failures", self.name)
        if not self._lost_at:
            self._lost_at = clock.now()
            log_event(events.DEPENDENCY_LOST, name=self.name, error=error)

    def note_working(self) -> None:
        """Note a call that was answered."""
        if self._lost_at:
            seconds = round(clock.now() - self._lost_at, 3)
            self._lost_at = 0.0
            log_event(events.DEPENDENCY_REGAINED, name=self.name, seconds=seconds)


def report(event: str, **fields: Any) -> None:
    """Log and count a state change that the engine reports."""
    count("beliefs", event)
    task = fields.get("task")
    if task is not None:
        fields["task"] = list(task[1:])
    log_event(getattr(events, event), **fields)
