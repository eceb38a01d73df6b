"""Division of the teams' upper limits among entries.

The rules are in docs/design.md section 5.2. A *row* is the number of jobs of a team
that one owner (``NAME/INCARNATION``) may run. An entry may raise its own row from the
unassigned part of the limit, lower it, or transfer a part of it to a peer's row. No
compare-and-swap may leave the sum of a team's rows both above its limit and above the
previous sum.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

RESERVE_DIVISOR = 10
"""Divisor of the equal part that an idle entry keeps while peers request more.

The reserve lets it start a new job without writing the grants, and costs at most a
tenth of the limit while all demand is at one entry.
"""

Rows = Mapping[str, int]


class TeamDemand(NamedTuple):
    """Demand of one team at one entry, in jobs.

    Attributes
    ----------
    running : int
        Jobs that run or whose outcome is unknown; the row is never lower than this.
    waiting : int
        Queued jobs.
    recent : int
        Peak number of running and waiting jobs in the last seconds.
    """

    running: int = 0
    waiting: int = 0
    recent: int = 0


class GrantView(NamedTuple):
    """Input for planning the rows of one team.

    Attributes
    ----------
    owner : str
        The entry that plans.
    owners : tuple of str
        All registered members in order, including the entry that plans.
    limit : int
        The team's upper limit; 0 for a team that is no longer configured.
    demand : TeamDemand
        Demand at the entry that plans.
    peers : mapping
        Demand at other owners, from their last pongs.
    requested : mapping
        Owner and number of jobs that it requested recently.
    freeable : collection of str
        Owners that have stopped and whose tasks are certain to have ended.
    """

    owner: str
    owners: tuple[str, ...]
    limit: int
    demand: TeamDemand = TeamDemand()
    peers: Mapping[str, TeamDemand] = {}
    requested: Mapping[str, int] = {}
    freeable: Collection[str] = ()


def split_fairly(amount: int, wanted: Mapping[str, int]) -> dict[str, int]:
    """Divide an amount by max-min fairness.

    No owner gets more than it wants. A remainder that cannot be divided goes to the
    first owners by name.
    """
    parts = dict.fromkeys(wanted, 0)
    unsatisfied = sorted(wanted, key=lambda owner: (wanted[owner], owner))
    while unsatisfied:
        even = amount // len(unsatisfied)
        owner = unsatisfied[0]
        if wanted[owner] > even:
            break
        parts[owner] = max(wanted[owner], 0)
        amount -= parts[owner]
        unsatisfied.pop(0)
    return parts | _split_equally(amount, sorted(unsatisfied))


def _split_equally(amount: int, owners: Collection[str]) -> dict[str, int]:
    if not owners:
        return {}
    part, rest = divmod(amount, len(owners))
    return {owner: part + (rank < rest) for rank, owner in enumerate(owners)}


def find_equal_part(view: GrantView) -> int:
    """Return the equal part of the limit that an entry may have without demand."""
    return _split_equally(view.limit, view.owners).get(view.owner, 0)


def find_fair_share(view: GrantView) -> int:
    """Return the entry's fair share of the limit for the known demand."""
    wanted = {owner: view.peers.get(owner, TeamDemand()) for owner in view.owners}
    wanted[view.owner] = view.demand
    totals = {owner: need.running + need.waiting for owner, need in wanted.items()}
    for owner, count in view.requested.items():
        if owner in totals and owner != view.owner:
            running = wanted[owner].running
            totals[owner] = max(totals[owner], running + count)
    parts = split_fairly(view.limit, totals)
    rest = view.limit - sum(parts.values())
    return parts[view.owner] + _split_equally(rest, view.owners)[view.owner]


def find_start_limit(rows: Rows, view: GrantView) -> int:
    """Return how many jobs of the team the entry may run at once now.

    After the limit was lowered, this is a proportional part of it, so the excess ends
    without any message. While peers request more, it is at most the fair share, so an
    entry whose queue is never empty frees capacity for others as its jobs end.
    """
    row = rows.get(view.owner, 0)
    total = sum(rows.values())
    if total > view.limit:
        return row * view.limit // total
    if view.owner in view.owners and _list_requests(view):
        return min(row, max(find_fair_share(view), 0))
    return row


def plan_team(rows: Rows, view: GrantView) -> dict[str, int]:
    """Return the team's rows with the changes that this entry wants to make."""
    planned = {
        owner: count for owner, count in rows.items() if owner not in view.freeable
    }
    own = planned.get(view.owner, 0)
    total = sum(planned.values())
    if total > view.limit:
        lowered = max(view.demand.running, own * view.limit // total)
        planned[view.owner] = min(own, lowered)
        return _drop_empty(planned)
    if _list_requests(view):
        _transfer_requested(planned, view)
    else:
        _restore_equal_parts(planned, view)
    _raise_own(planned, view, view.limit - sum(planned.values()))
    return _drop_empty(planned)


def _list_requests(view: GrantView) -> dict[str, int]:
    return {
        owner: count
        for owner, count in view.requested.items()
        if owner in view.owners and owner != view.owner and count > 0
    }


def _transfer_requested(planned: dict[str, int], view: GrantView) -> None:
    """Transfer what the entry does not need to the rows of peers that requested it."""
    own = planned.get(view.owner, 0)
    if view.demand.waiting:
        kept = min(find_fair_share(view), view.demand.running + view.demand.waiting)
    else:
        kept = find_equal_part(view) // RESERVE_DIVISOR
    idle = own - max(kept, view.demand.running)
    if idle <= 0:
        return
    for owner, part in split_fairly(idle, _list_requests(view)).items():
        planned[owner] = planned.get(owner, 0) + part
        planned[view.owner] -= part


def _restore_equal_parts(planned: dict[str, int], view: GrantView) -> None:
    """Transfer what has been idle for seconds to peers below their equal part."""
    need = view.demand
    kept = max(find_equal_part(view), need.running + need.waiting, need.recent)
    idle = planned.get(view.owner, 0) - kept
    if idle <= 0:
        return
    even = _split_equally(view.limit, view.owners)
    missing = {
        owner: even[owner] - planned.get(owner, 0)
        for owner in view.owners
        if owner != view.owner and planned.get(owner, 0) < even[owner]
    }
    for owner, part in split_fairly(idle, missing).items():
        planned[owner] = planned.get(owner, 0) + part
        planned[view.owner] -= part


def _raise_own(planned: dict[str, int], view: GrantView, free: int) -> None:
    """Raise the entry's row to its equal part or its demand, from the free part."""
    own = planned.get(view.owner, 0)
    if free <= 0 or view.owner not in view.owners:
        return
    wanted = find_equal_part(view)
    if not _list_requests(view):
        needed = view.demand.running + view.demand.waiting
        wanted = max(wanted, min(needed, find_fair_share(view)))
    planned[view.owner] = own + max(0, min(free, wanted - own))


def _drop_empty(planned: Mapping[str, int]) -> dict[str, int]:
    return {owner: count for owner, count in planned.items() if count > 0}


def is_allowed(before: Rows, after: Rows, limit: int) -> bool:
    """Return whether a change of a team's rows obeys the rule on their sum."""
    total = sum(after.values())
    return total <= max(limit, sum(before.values()))
