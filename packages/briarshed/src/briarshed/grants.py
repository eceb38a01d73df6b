"""Split of the teams' upper limits over entries.

docs/design.md section 5.2 gives the rules. A *row* is how many jobs of a team one
owner (``NAME/INCARNATION``) may run. An entry raises its own row out of what is free,
lowers its own row, or moves a part of it into a peer's row; no swap leaves the sum of
a team's rows both above its limit and above the sum before.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

RESERVE_PARTS = 10
"""An idle entry keeps one part in so many of its even part when peers ask for more.

The reserve lets it start a new job without a swap, and costs at most a tenth of the
limit while all demand is at one entry.
"""

Rows = Mapping[str, int]


class TeamDemand(NamedTuple):
    """Demand of one team at one entry, in jobs.

    Attributes
    ----------
    running : int
        Jobs that run or whose outcome is unknown; a row is never below it.
    waiting : int
        Queued jobs.
    recent : int
        Most jobs that ran or waited at once in the last seconds.
    """

    running: int = 0
    waiting: int = 0
    recent: int = 0


class GrantView(NamedTuple):
    """What an entry knows when it plans the rows of one team.

    Attributes
    ----------
    owner : str
        The planning entry.
    owners : tuple of str
        All registered members, in order, the planning entry among them.
    limit : int
        The team's upper limit; 0 for a team that is no longer configured.
    demand : TeamDemand
        Demand at the planning entry.
    peers : mapping
        Demand at other owners, as their last pongs said.
    requested : mapping
        Owner and number of jobs that it asked for lately.
    freeable : collection of str
        Owners that have stopped and whose tasks have certainly ended.
    """

    owner: str
    owners: tuple[str, ...]
    limit: int
    demand: TeamDemand = TeamDemand()
    peers: Mapping[str, TeamDemand] = {}
    requested: Mapping[str, int] = {}
    freeable: Collection[str] = ()


def split_fairly(amount: int, wanted: Mapping[str, int]) -> dict[str, int]:
    """Split an amount so that the smallest part is as large as possible.

    Nobody gets more than wanted. Parts that cannot be split further go to the first
    owners by name.
    """
    parts = dict.fromkeys(wanted, 0)
    open_owners = sorted(wanted, key=lambda owner: (wanted[owner], owner))
    while open_owners:
        even = amount // len(open_owners)
        owner = open_owners[0]
        if wanted[owner] > even:
            break
        parts[owner] = max(wanted[owner], 0)
        amount -= parts[owner]
        open_owners.pop(0)
    return parts | _split_evenly(amount, sorted(open_owners))


def _split_evenly(amount: int, owners: Collection[str]) -> dict[str, int]:
    if not owners:
        return {}
    part, rest = divmod(amount, len(owners))
    return {owner: part + (rank < rest) for rank, owner in enumerate(owners)}


def find_even_part(view: GrantView) -> int:
    """Return the part of the limit that the entry may hold without demand."""
    return _split_evenly(view.limit, view.owners).get(view.owner, 0)


def find_share(view: GrantView) -> int:
    """Return the entry's fair part of the limit, given all known demand."""
    wanted = {owner: view.peers.get(owner, TeamDemand()) for owner in view.owners}
    wanted[view.owner] = view.demand
    totals = {owner: need.running + need.waiting for owner, need in wanted.items()}
    for owner, count in view.requested.items():
        if owner in totals and owner != view.owner:
            running = wanted[owner].running
            totals[owner] = max(totals[owner], running + count)
    parts = split_fairly(view.limit, totals)
    rest = view.limit - sum(parts.values())
    return parts[view.owner] + _split_evenly(rest, view.owners)[view.owner]


def find_start_limit(rows: Rows, view: GrantView) -> int:
    """Return how many jobs of the team the entry may run at once now.

    After a limit was lowered this is the proportional part, so that the excess ends
    without a message. While peers ask for more it is at least the fair share, so
    that an entry whose queue never empties makes room for others as jobs end.
    """
    row = rows.get(view.owner, 0)
    total = sum(rows.values())
    if total > view.limit:
        return row * view.limit // total
    if view.owner in view.owners and _list_askers(view):
        return min(row, max(find_share(view), 0))
    return row


def plan_team(rows: Rows, view: GrantView) -> dict[str, int]:
    """Return the team's rows as the entry wants them; its own changes only."""
    planned = {
        owner: count for owner, count in rows.items() if owner not in view.freeable
    }
    own = planned.get(view.owner, 0)
    total = sum(planned.values())
    if total > view.limit:
        lowered = max(view.demand.running, own * view.limit // total)
        planned[view.owner] = min(own, lowered)
        return _drop_empty(planned)
    if _list_askers(view):
        _give_to_askers(planned, view)
    else:
        _restore_even_parts(planned, view)
    _raise_own(planned, view, view.limit - sum(planned.values()))
    return _drop_empty(planned)


def _list_askers(view: GrantView) -> dict[str, int]:
    return {
        owner: count
        for owner, count in view.requested.items()
        if owner in view.owners and owner != view.owner and count > 0
    }


def _give_to_askers(planned: dict[str, int], view: GrantView) -> None:
    """Move what the entry does not need into the rows of peers that asked."""
    own = planned.get(view.owner, 0)
    if view.demand.waiting:
        kept = min(find_share(view), view.demand.running + view.demand.waiting)
    else:
        kept = find_even_part(view) // RESERVE_PARTS
    idle = own - max(kept, view.demand.running)
    if idle <= 0:
        return
    for owner, part in split_fairly(idle, _list_askers(view)).items():
        planned[owner] = planned.get(owner, 0) + part
        planned[view.owner] -= part


def _restore_even_parts(planned: dict[str, int], view: GrantView) -> None:
    """Move what was idle for seconds to peers that hold less than an even part."""
    need = view.demand
    kept = max(find_even_part(view), need.running + need.waiting, need.recent)
    idle = planned.get(view.owner, 0) - kept
    if idle <= 0:
        return
    even = _split_evenly(view.limit, view.owners)
    missing = {
        owner: even[owner] - planned.get(owner, 0)
        for owner in view.owners
        if owner != view.owner and planned.get(owner, 0) < even[owner]
    }
    for owner, part in split_fairly(idle, missing).items():
        planned[owner] = planned.get(owner, 0) + part
        planned[view.owner] -= part


def _raise_own(planned: dict[str, int], view: GrantView, free: int) -> None:
    """Raise the entry's row out of what is free: to its even part, or to its need."""
    own = planned.get(view.owner, 0)
    if free <= 0 or view.owner not in view.owners:
        return
    wanted = find_even_part(view)
    if not _list_askers(view):
        needed = view.demand.running + view.demand.waiting
        wanted = max(wanted, min(needed, find_share(view)))
    planned[view.owner] = own + max(0, min(free, wanted - own))


def _drop_empty(planned: Mapping[str, int]) -> dict[str, int]:
    return {owner: count for owner, count in planned.items() if count > 0}


def is_allowed(before: Rows, after: Rows, limit: int) -> bool:
    """Tell whether a swap keeps the rule on the sum of a team's rows."""
    total = sum(after.values())
    return total <= max(limit, sum(before.values()))
