"""Evacuated data centres: what is known of them, and what follows for tasks.

An operator evacuates a data centre and returns it later. Nothing starts there
meanwhile.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from briarshed_workloads.engine import Engine
    from briarshed_workloads.fleet import Endpoint
    from briarshed_workloads.workloads import Description, Instance, Step


class EvacuationChange(NamedTuple):
    """An operator's change: a data centre was evacuated or returned.

    Attributes
    ----------
    data_centre : str
    is_evacuated : bool
        False if it was returned.
    revision : int
        The store's revision of the change.
    """

    data_centre: str
    is_evacuated: bool
    revision: int


class EvacuationView(NamedTuple):
    """An evacuated data centre.

    Attributes
    ----------
    data_centre : str
    revision : int
        The store's revision of the request.
    since : float
        When an entry first knew of it, in Unix seconds.
    """

    data_centre: str
    revision: int
    since: float


class Evacuations:
    """The evacuated data centres as far as this entry knows.

    A change may arrive more than once: one with a lower revision than what is known of
    its data centre, or than a complete list, has no effect.

    Attributes
    ----------
    reported : dict
        When each data centre was evacuated that the leader has last reported, in Unix
        seconds.
    read_at : float
        When the last complete list was requested, in seconds of the boot clock.
    """

    def __init__(self) -> None:
        self.reported: dict[str, float] = {}
        self.read_at = 0.0
        self._views: dict[str, EvacuationView] = {}
        self._last: dict[str, int] = {}
        self._complete_at = 0

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether nothing may start in a data centre."""
        return data_centre in self._views

    def list_views(self) -> list[EvacuationView]:
        """Return the evacuated data centres in the order of their names."""
        return sorted(self._views.values())

    def to_report(self) -> dict[str, float]:
        """Return when each data centre was evacuated, in Unix seconds."""
        return {view.data_centre: view.since for view in self._views.values()}

    def note_changes(
        self, changes: Iterable[EvacuationChange], unix_now: float
    ) -> list[EvacuationChange]:
        """Apply changes and return those that had an effect."""
        rows = sorted(changes, key=lambda row: row.revision)
        return [
            row
            for row in rows
            if row.revision > self._complete_at and self._apply(row, unix_now)
        ]

    def note_complete(
        self, requests: Collection[EvacuationChange], revision: int, unix_now: float
    ) -> list[EvacuationChange]:
        """Apply a complete list of requests as of a revision and return the changes.

        Data centres that it does not name were returned, unless a later request is
        known.
        """
        if revision < self._complete_at:
            return []
        self._complete_at = revision
        listed = {row.data_centre for row in requests}
        missing = [
            EvacuationChange(name, False, revision)
            for name, view in self._views.items()
            if name not in listed and view.revision < revision
        ]
        return [row for row in (*requests, *missing) if self._apply(row, unix_now)]

    def _apply(self, change: EvacuationChange, unix_now: float) -> bool:
        """Apply a change and return whether it had an effect."""
        name = change.data_centre
        if change.revision <= self._last.get(name, 0):
            return False
        self._last[name] = change.revision
        known = self._views.pop(name, None)
        if not change.is_evacuated:
            return known is not None
        # A request that is written again does not begin anew.
        since = known.since if known else self.reported.get(name, unix_now)
        self._views[name] = EvacuationView(name, change.revision, since)
        return known is None


def is_evacuated(engine: Engine, endpoint: Endpoint) -> bool:
    """Return whether nothing may start at an endpoint, since an operator said so."""
    return engine.evacuated.is_evacuated(endpoint.registration.data_centre)


def list_unknown(evacuated: Evacuations, data_centres: Collection[str]) -> list[str]:
    """Return the evacuated data centres that the settings do not name."""
    names = (view.data_centre for view in evacuated.list_views())
    return [name for name in names if name not in data_centres]


def is_everything_evacuated(
    evacuated: Evacuations, data_centres: Iterable[str]
) -> bool:
    """Return whether no data centre is left in which anything may start."""
    names = set(data_centres)
    return bool(names) and all(evacuated.is_evacuated(name) for name in names)


def count_runs(engine: Engine) -> dict[str, int]:
    """Return how many runs are left in each evacuated data centre."""
    counts = {view.data_centre: 0 for view in engine.evacuated.list_views()}
    for endpoint in engine.endpoints.values():
        name = endpoint.registration.data_centre
        if name in counts:
            counts[name] += len(endpoint.runs)
    return counts


def find_confined_step(
    engine: Engine,
    description: Description,
    pool: str,
    instances: Mapping[str, Instance],
) -> Step | None:
    """Return a step that only endpoints in evacuated data centres could run, or None.

    Instances in standby pools may move to the pool, so those elsewhere count. Without
    an endpoint of the pool in an evacuated data centre, there is no such step.

    Parameters
    ----------
    instances : mapping
        The platform's instances by name.
    """
    if not engine.evacuated.list_views() or engine.configuration is None:
        return None
    there: list[tuple[str, ...]] = []
    elsewhere: list[tuple[str, ...]] = []
    for endpoint in engine.endpoints.values():
        row = endpoint.registration
        if row.pool == pool and endpoint.is_listed and not endpoint.is_gone:
            group = there if is_evacuated(engine, endpoint) else elsewhere
            group.append(row.labels)
    pools = engine.configuration.pools
    for instance in instances.values():
        is_usable = instance.pool == pool or (
            instance.pool in pools and pools[instance.pool].standby
        )
        if is_usable and not engine.evacuated.is_evacuated(instance.data_centre):
            elsewhere.append(instance.labels)
    for step in description.steps:
        if _has_label(step, there) and not _has_label(step, elsewhere):
            return step
    return None


def _has_label(step: Step, rows: Collection[tuple[str, ...]]) -> bool:
    return any(not step.label or step.label in labels for labels in rows)
