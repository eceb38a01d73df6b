"""Queries of operators, evaluated on the documents and at all entries."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from briarshed.commands import Show
from briarshed.documents import Change
from briarshed.evacuations import list_data_centres
from briarshed.exceptions import StoreUnavailableError
from briarshed.queries import (
    DISTRIBUTED_SUBJECTS,
    Row,
    Table,
    decode_query,
    encode_query,
    evaluate_part,
    evaluate_query,
    list_changes,
    list_history,
    list_instances,
    list_jobs,
    list_keys,
    list_measures,
    list_members,
    list_pools,
    list_queues,
    list_teams,
    list_waves,
    merge_parts,
)
from briarshed.settings import Settings
from briarshed_entry._audit_trail import ReadPrefix, read_changes
from briarshed_entry.clock import now

if TYPE_CHECKING:
    from briarshed_entry.coordinator import Coordinator
    from briarshed_entry.replica import Replica
    from briarshed_entry.scheduler import Scheduler

DAY_S = 86_400.0

_JOBS_BY_POOL = Show("jobs", group=("pool", "team", "state"))

Source = dict[str, Any]


class QueryHandler:
    """Evaluates queries of operators and of other entries."""

    def __init__(
        self,
        settings: Settings,
        replica: Replica,
        coordinator: Coordinator,
        scheduler: Scheduler,
        read_prefix: ReadPrefix | None,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._coordinator = coordinator
        self._scheduler = scheduler
        self._read_prefix = read_prefix

    def evaluate_for_peer(self, query: Mapping[str, Any]) -> list[Row]:
        """Return this entry's part of the result of a peer's query."""
        show = decode_query(query)
        return evaluate_part(show, self._list_jobs())

    async def evaluate(self, show: Show, at: float) -> dict[str, Any]:
        """Return the result of a query: columns, rows and their sources.

        Parameters
        ----------
        at : float
            Unix time in seconds.
        """
        if show.subject in DISTRIBUTED_SUBJECTS:
            return await self._gather(show)
        if show.subject == "changes":
            return await self._evaluate_changes(show, at)
        if show.subject == "measures":
            return await self._evaluate_measures(show, at)
        table = evaluate_query(show, self._list_rows(show.subject), at)
        return _describe_table(table, [self._describe_copy()], [])

    async def _gather(self, show: Show) -> dict[str, Any]:
        """Query all entries; the result names those that did not respond."""
        replies = await self._coordinator.gather(encode_query(show))
        sources = [
            _describe_source(reply.entry, reply.data_centre, reply.age)
            for reply in replies
        ]
        responded = {reply.entry for reply in replies}
        missing = [
            {"entry": name, "data_centre": member["data_centre"]}
            for name, member in sorted(self._replica.members["members"].items())
            if name not in responded
        ]
        table = merge_parts(show, [reply.rows for reply in replies])
        return _describe_table(table, sources, missing)

    async def _evaluate_measures(self, show: Show, at: float) -> dict[str, Any]:
        gathered = await self._gather(_JOBS_BY_POOL)
        replica = self._replica
        rows = list_measures(replica.configuration, replica.fleet, gathered["rows"])
        note = ""
        try:
            changes, complete = await read_changes(
                self._read_prefix, "fleet", replica.fleet, at - DAY_S
            )
        except StoreUnavailableError:
            changes, complete = replica.fleet["changes"], False
        if not complete:
            note = "moves and roll-outs count only the changes that could be read"
        # The last block that was read may contain changes that are older than a day.
        recent = [change for change in changes if change["at"] >= at - DAY_S]
        rows += list_history(replica.fleet, recent, at)
        table = evaluate_query(show, rows, at)
        described = _describe_table(table, gathered["parts"], gathered["unreached"])
        return {**described, "note": note}

    async def _evaluate_changes(self, show: Show, at: float) -> dict[str, Any]:
        documents = {
            "configuration": self._replica.configuration,
            "fleet": self._replica.fleet,
        }
        # Without "since", only the changes in the documents are shown.
        since = at if show.since is None else at - show.since
        changes: dict[str, list[Change]] = {}
        notes = []
        for target, document in documents.items():
            try:
                found, complete = await read_changes(
                    self._read_prefix, target, document, since
                )
            except StoreUnavailableError as error:
                found, complete = document["changes"], True
                notes.append(f"older changes could not be read: {error.message}")
            changes[target] = found
            if not complete and show.since is not None:
                notes.append(f"older changes of the {target} are not shown")
        table = evaluate_query(show, list_changes(changes), at)
        described = _describe_table(table, [self._describe_copy()], [])
        return {**described, "note": "; ".join(notes)}

    def _describe_copy(self) -> Source:
        """Return this entry as the source, with the age of its document copies."""
        read_at = self._replica.read_at
        age = None if read_at is None else now() - read_at
        return _describe_source(self._settings.name, self._settings.data_centre, age)

    def _list_jobs(self) -> list[Row]:
        replica = self._replica
        jobs = [job._asdict() for job in self._scheduler.list_jobs()]
        return list_jobs(
            replica.configuration, replica.fleet, self._settings.name, jobs
        )

    def _list_rows(self, subject: str) -> list[Row]:
        configuration, fleet = self._replica.configuration, self._replica.fleet
        match subject:
            case "instances":
                return list_instances(fleet)
            case "teams":
                return list_teams(configuration, self._coordinator.count_running)
            case "pools":
                return list_pools(configuration, fleet)
            case "queues":
                return list_queues(configuration)
            case "keys":
                return list_keys(configuration)
            case "waves":
                return list_waves(fleet)
            case "data-centres":
                return list_data_centres(fleet)
            case "members":
                return list_members(self._replica.members)
            case _:
                return []


def _describe_source(entry: str, data_centre: str, age: float | None) -> Source:
    shown = None if age is None else round(age, 3)
    return {"entry": entry, "data_centre": data_centre, "age_s": shown}


def _describe_table(
    table: Table, parts: list[Source], unreached: list[Source]
) -> dict[str, Any]:
    return {
        "columns": list(table.columns),
        "rows": table.rows,
        "omitted": table.omitted,
        "parts": parts,
        "unreached": unreached,
    }
