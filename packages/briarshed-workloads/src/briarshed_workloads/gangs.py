"""Gangs of which not all members can start: they would wait for each other in vain."""

from __future__ import annotations

from briarshed_workloads.engine import Engine
from briarshed_workloads.fleet import Run


def is_whole(engine: Engine, run: Run) -> bool:
    """Return whether all members of a run's gang are still ordered or at work.

    It is True for a run without a gang.
    """
    return not run.step.gang or len(_list_members(engine, run)) >= run.step.count


def stop_others(engine: Engine, run: Run, reason: str) -> None:
    """Stop the other members of a gang once they are known to have started."""
    if not run.step.gang:
        return
    for other in _list_members(engine, run):
        other.stop_reason = reason
        engine.add_stop_candidate(other)


def _list_members(engine: Engine, run: Run) -> list[Run]:
    runs = engine.step_runs.get(run.task[:3], ())
    return [other for other in runs if other.number == run.number]
