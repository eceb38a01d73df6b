"""Registration, established members, and members that have certainly stopped.

docs/design.md section 5.1 gives the rules. An *owner* is a member as
``NAME/INCARNATION``.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from returns.result import Failure, Result, Success

from briarshed.authority import MS_PER_S, find_authority_timeout
from briarshed.documents import Member, Members
from briarshed.settings import TimingSettings

PINGS_AN_INTERVAL = 10
"""Pings that an entry sends in one interval before it stretches the interval."""

CONSENT_PINGS = 2.1
"""Intervals within the life of a consent: two, and time for the answer."""

KEPT_DEPARTED = 64
"""Departed members kept in the document for reports."""


def make_owner(name: str, incarnation: str) -> str:
    """Return the name of a member's rows in the grants."""
    return f"{name}/{incarnation}"


def list_owners(members: Members) -> list[str]:
    """Return the registered members as owners, in order."""
    return sorted(
        make_owner(name, member["incarnation"])
        for name, member in members["members"].items()
    )


def is_listed(members: Members, name: str, incarnation: str) -> bool:
    """Tell whether a name is registered with an incarnation."""
    member = members["members"].get(name)
    return member is not None and member["incarnation"] == incarnation


def register_member(
    members: Members, name: str, member: Member, unix_time: float
) -> Result[Members, str]:
    """Register an entry.

    An earlier incarnation at the same address has certainly ended, since this
    process could not have bound the address otherwise. One at another address may
    still run, so it must be removed by the rules of ``find_removable`` first.
    """
    before = members["members"].get(name)
    if before == member:
        return Success(members)
    if before is not None and before["address"] != member["address"]:
        return Failure(
            f"'{name}' is registered at {before['address']}; this entry waits until"
            f" that one has been removed, or 'forget member {name}' is commanded"
        )
    result = remove_member(members, name, unix_time) if before else members
    return Success({**result, "members": {**result["members"], name: member}})


def remove_member(members: Members, name: str, unix_time: float) -> Members:
    """Remove a member that did not deregister itself, and record its departure."""
    left = dict(members["members"])
    gone = left.pop(name, None)
    if gone is None:
        return members
    departed = {**members["departed"], make_owner(name, gone["incarnation"]): unix_time}
    latest = sorted(departed.items(), key=lambda item: item[1])[-KEPT_DEPARTED:]
    return {**members, "members": left, "departed": dict(latest)}


def deregister_member(members: Members, name: str, incarnation: str) -> Members:
    """Remove a member on its own planned stop."""
    if not is_listed(members, name, incarnation):
        return members
    left = {key: value for key, value in members["members"].items() if key != name}
    return {**members, "members": left}


def find_unaware_members(
    members: Members, name: str, acquainted: Mapping[str, str]
) -> list[str]:
    """Return the members that have not shown that they know this entry.

    Parameters
    ----------
    members : Members
        The registered members.
    name : str
        This entry.
    acquainted : mapping
        Name and incarnation of each member that has once answered with a pong that
        lists this entry's incarnation, or that registered later.
    """
    return sorted(
        other
        for other, member in members["members"].items()
        if other != name and acquainted.get(other) != member["incarnation"]
    )


def find_new_members(before: Members, after: Members, owner: str) -> dict[str, str]:
    """Return the members that registered while an entry was listed.

    Their registration read a document that lists the entry, and they never go back
    to an earlier one, so they know it without having answered. A new member that
    never answers therefore keeps no other entry from accepting changes.
    """
    if owner not in list_owners(before) or owner not in list_owners(after):
        return {}
    return {
        name: member["incarnation"]
        for name, member in after["members"].items()
        if not is_listed(before, name, member["incarnation"])
    }


def find_removable(
    members: Members,
    name: str,
    missing_since: Mapping[str, float],
    heard_at: Mapping[str, float],
    established: bool,
    timing: TimingSettings,
    time: float,
) -> list[str]:
    """Return the members that this entry may remove.

    Parameters
    ----------
    members : Members
        The registered members.
    name : str
        This entry.
    missing_since : mapping
        Owner and seconds at which its lease was first seen to have expired.
    heard_at : mapping
        Owner and seconds at which the last ping that it answered was sent. A
        member that answers runs and may hold relayed freshness, so it stays.
    established : bool
        Whether every other member knows this entry; if not, members may still
        consent to each other without asking it, until the longest outage ends.
    """
    freshness = timing.freshness_ms / MS_PER_S
    outage = 0.0 if established else timing.max_outage_ms / MS_PER_S
    removable = []
    for other, member in members["members"].items():
        owner = make_owner(other, member["incarnation"])
        missing = missing_since.get(owner)
        if other == name or missing is None or time - missing < freshness + outage:
            continue
        heard = heard_at.get(owner)
        if heard is None or time - heard >= freshness:
            removable.append(other)
    return sorted(removable)


def find_pending_members(
    owners: Sequence[str],
    confirmed: Mapping[str, int],
    removed_at: Mapping[str, float],
    version: int,
    changed_at: float,
    timing: TimingSettings,
    time: float,
) -> list[str]:
    """Return the members in which a version is not in force yet.

    Parameters
    ----------
    owners : sequence of str
        Registered members other than this entry.
    confirmed : mapping
        Owner and the version that its last pong reported.
    removed_at : mapping
        Owner and seconds at which it was seen to have been removed; a removed
        member may hold authority for a while, although nobody waits for its pong.
    version : int
        The version in question.
    changed_at : float
        Seconds at which the change was known to be in the store, or later.
    """
    delay = find_authority_timeout(timing)
    if time - changed_at >= delay:
        return []
    waiting = {owner for owner in owners if confirmed.get(owner, -1) < version}
    waiting |= {
        owner
        for owner, removed in removed_at.items()
        if time - removed < delay and confirmed.get(owner, -1) < version
    }
    return sorted(waiting)


def find_ping_interval(others: int, timing: TimingSettings) -> float:
    """Return the seconds between two pings to each of a number of members.

    The traffic of an entry is kept down by fewer pings to each of many members, but
    consent must outlast one lost ping.
    """
    stretched = timing.ping_ms * max(1.0, others / PINGS_AN_INTERVAL)
    longest = max(timing.ping_ms, timing.consent_ms / CONSENT_PINGS)
    return min(stretched, longest) / MS_PER_S


def find_planner(members: Members, alive: Mapping[str, str]) -> str:
    """Return the first live member by name, or an empty text."""
    live = [
        name
        for name, member in members["members"].items()
        if alive.get(name) == member["incarnation"]
    ]
    return min(live, default="")
