"""Job counts by team, demands of peers, and the start limits from the grants."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Mapping, Sequence
from typing import Any, NamedTuple

from briarshed.documents import Configuration, Grants
from briarshed.grants import GrantView, TeamDemand, find_start_limit, plan_team

DEMAND_TTL_S = 2.5
"""Time after which a demand expires; the sender repeats it every second."""

DEMAND_INTERVAL_S = 1.0
"""Shortest time between two demands for the same team."""

IDLE_RETENTION_S = 5.0
"""Time for which an idle part of a row stays before it may move to peers."""


class Demands(NamedTuple):
    """Demands to send to the peers.

    Attributes
    ----------
    wanted : dict
        Number of jobs of each team that wait for a grant; 0 withdraws a demand.
    repeated : bool
        Whether a demand was sent before and is still not met.
    """

    wanted: dict[str, int]
    repeated: bool


class GrantAccounting:
    """Job counts of this entry and its peers; ``grants`` makes the decisions."""

    def __init__(self) -> None:
        self.owner = ""
        self.owners: tuple[str, ...] = ()
        self.peers: dict[str, dict[str, TeamDemand]] = {}
        self.freeable: Collection[str] = ()
        self.changed_teams: set[str] = set()
        self._running: Counter[str] = Counter()
        self._waiting: dict[str, int] = {}
        self._peaks: dict[str, deque[tuple[float, int]]] = {}
        self._demands: dict[str, dict[str, tuple[int, float]]] = {}
        self._demanded_at: dict[str, float] = {}
        self._pending_caps: dict[str, int] = {}
        self._caps_revision: int | None = None

    def count_running(self, team: str) -> int:
        """Return how many jobs of a team run at this entry."""
        return self._running[team]

    def count_running_in_fleet(self, team: str) -> int:
        """Return how many jobs of a team run at this entry and registered peers."""
        others = (
            team_demands[team].running
            for owner, team_demands in self.peers.items()
            if owner in self.owners and team in team_demands
        )
        return self._running[team] + sum(others)

    def add_running(self, team: str, count: int, time: float) -> None:
        """Count started jobs, or ended jobs if ``count`` is negative."""
        self._running[team] += count
        self._note_peak(team, time)

    def set_waiting(self, team: str, count: int, time: float) -> bool:
        """Record the queued jobs of a team; return whether a demand is due."""
        before = self._waiting.get(team, 0)
        if count == before:
            return False
        self._waiting[team] = count
        self._note_peak(team, time)
        if count == 0:
            return team in self._demanded_at
        return count > before and self._is_due(team, time)

    def _is_due(self, team: str, time: float) -> bool:
        demanded_at = self._demanded_at.get(team)
        return demanded_at is None or time - demanded_at >= DEMAND_INTERVAL_S

    def _note_peak(self, team: str, time: float) -> None:
        peaks = self._peaks.setdefault(team, deque())
        count = self._running[team] + self._waiting.get(team, 0)
        while peaks and peaks[-1][1] <= count:
            peaks.pop()
        peaks.append((time, count))
        self.changed_teams.add(team)

    def find_team_demand(self, team: str, time: float) -> TeamDemand:
        """Return the demand of a team at this entry."""
        peaks = self._peaks.get(team, deque())
        # A count holds until the next one was recorded, so the first one is dropped
        # only when the second is too old as well.
        while len(peaks) > 1 and time - peaks[1][0] >= IDLE_RETENTION_S:
            peaks.popleft()
        recent = max((count for _at, count in peaks), default=0)
        return TeamDemand(self._running[team], self._waiting.get(team, 0), recent)

    def list_job_counts(self) -> dict[str, tuple[int, int]]:
        """Return the running and waiting jobs of each team that has any."""
        teams = {team for team, count in self._running.items() if count}
        teams |= {team for team, count in self._waiting.items() if count}
        return {
            team: (self._running[team], self._waiting.get(team, 0)) for team in teams
        }

    def note_demand(self, owner: str, wanted: Mapping[str, int], time: float) -> None:
        """Record how many more jobs of each team a peer wants to start."""
        for team, count in wanted.items():
            self._demands.setdefault(team, {})[owner] = (count, time)
            self.changed_teams.add(team)

    def expire_demands(self, time: float) -> bool:
        """Remove expired demands; return whether there were any."""
        expired = [
            (demands, owner)
            for demands in self._demands.values()
            for owner, (_count, at) in demands.items()
            if time - at >= DEMAND_TTL_S
        ]
        for demands, owner in expired:
            del demands[owner]
        return bool(expired)

    def make_view(
        self, team: str, configuration: Configuration, time: float
    ) -> GrantView:
        """Return the input of the functions of ``grants`` for one team."""
        settings = configuration["teams"].get(team)
        demands = self._demands.get(team, {})
        return GrantView(
            self.owner,
            self.owners,
            settings["limit"] if settings else 0,
            self.find_team_demand(team, time),
            {
                owner: team_demands[team]
                for owner, team_demands in self.peers.items()
                if team in team_demands
            },
            {
                owner: count
                for owner, (count, at) in demands.items()
                if time - at < DEMAND_TTL_S
            },
            self.freeable,
        )

    def find_limit(
        self, team: str, configuration: Configuration, grants: Grants, time: float
    ) -> int:
        """Return how many jobs of a team may run here now."""
        view = self.make_view(team, configuration, time)
        limit = find_start_limit(grants["rows"].get(team, {}), view)
        return min(limit, self._pending_caps.get(team, limit))

    def take_demands(
        self, configuration: Configuration, grants: Grants, time: float
    ) -> Demands:
        """Return the demands that are due, and record that they were sent.

        Zero withdraws a demand, so that peers grant nothing more to an entry whose
        queue is empty.
        """
        wanted = self._list_wanted(configuration, grants, time)
        due = {
            team: count for team, count in wanted.items() if self._is_due(team, time)
        }
        repeated = bool(due.keys() & self._demanded_at.keys())
        ended = self._demanded_at.keys() - wanted.keys()
        for team in ended:
            del self._demanded_at[team]
        self._demanded_at.update(dict.fromkeys(due, time))
        return Demands(due | dict.fromkeys(ended, 0), repeated)

    def _list_wanted(
        self, configuration: Configuration, grants: Grants, time: float
    ) -> dict[str, int]:
        """Return how many jobs of each team wait for a grant at this entry."""
        wanted = {}
        for team, count in self._waiting.items():
            limit = self.find_limit(team, configuration, grants, time) if count else 0
            missing = self._running[team] + count - limit
            if count and missing > 0:
                wanted[team] = missing
        return wanted

    def plan(
        self,
        teams: Sequence[str],
        configuration: Configuration,
        grants: Grants,
        time: float,
    ) -> dict[str, dict[str, int]]:
        """Return the new rows of the teams whose rows should change."""
        planned = {}
        for team in teams:
            rows = grants["rows"].get(team, {})
            after = plan_team(rows, self.make_view(team, configuration, time))
            if after != rows:
                planned[team] = after
        return planned

    def add_pending_caps(self, planned: Mapping[str, Mapping[str, int]]) -> None:
        """Limit starts to what a write of the grants in progress leaves this entry.

        The write may take effect before its response arrives, so the lower of the
        rows before and after it applies until its outcome is known.
        """
        for team, rows in planned.items():
            own = rows.get(self.owner, 0)
            self._pending_caps[team] = min(own, self._pending_caps.get(team, own))

    def keep_pending_caps(self, revision: int) -> None:
        """Keep the caps until the grants have a newer revision than the given one."""
        self._caps_revision = revision

    def clear_pending_caps(self) -> None:
        """Remove the caps once the outcome of the write is known."""
        self._pending_caps.clear()
        self._caps_revision = None

    def expire_pending_caps(self, revision: int) -> None:
        """Remove the caps of a write that can no longer take effect."""
        if self._caps_revision is not None and revision > self._caps_revision:
            self.clear_pending_caps()

    def reset_owner(self, owner: str, owners: Sequence[str]) -> None:
        """Set the owner after a registration; running jobs still count."""
        if (owner, tuple(owners)) != (self.owner, self.owners):
            self.changed_teams.add("")
        self.owner = owner
        self.owners = tuple(owners)


def merge_rows(grants: Grants, planned: Mapping[str, dict[str, int]]) -> Any:
    """Return the grants with the rows of some teams replaced."""
    rows = {**grants["rows"], **planned}
    return {**grants, "rows": {team: part for team, part in rows.items() if part}}


def list_increased_owners(
    before: Grants, planned: Mapping[str, Mapping[str, int]]
) -> set[str]:
    """Return the owners whose rows a plan increases."""
    return {
        owner
        for team, rows in planned.items()
        for owner, count in rows.items()
        if count > before["rows"].get(team, {}).get(owner, 0)
    }
