"""Registration and removal of members, and versions that are in force.

The rules are in docs/design.md section 5.1. An *owner* is a member written as
``NAME/INCARNATION``.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from returns.result import Failure, Result, Success

from briarshed.authority import MS_PER_S, find_authority_timeout
from briarshed.documents import Member, Members
from briarshed.settings import TimingSettings

MAX_PINGS_PER_INTERVAL = 10
"""Pings that an entry sends in one interval before it lengthens the interval."""

PINGS_PER_CONSENT = 2.1
"""Ping intervals within the lifetime of a consent: two, plus time for the pong."""

MAX_DEPARTED = 64
"""Departed members kept in the document, for reports."""


def make_owner(name: str, incarnation: str) -> str:
    """Return the owner name of a member, as it is used in the grants."""
    return f"{name}/{incarnation}"


def list_owners(members: Members) -> list[str]:
    """Return the registered members as owners, in order."""
    return sorted(
        make_owner(name, member["incarnation"])
        for name, member in members["members"].items()
    )


def is_listed(members: Members, name: str, incarnation: str) -> bool:
    """Return whether a name is registered with an incarnation."""
    member = members["members"].get(name)
    return member is not None and member["incarnation"] == incarnation


def register_member(
    members: Members, name: str, member: Member, unix_time: float
) -> Result[Members, str]:
    """Register an entry.

    An earlier incarnation at the same address is certain to have ended, since this
    process could not have bound the address otherwise. One at another address may
    still be running and must first be removed by the rules of ``find_removable``.
    """
    before = members["members"].get(name)
    if before == member:
        return Success(members)
    if before is not None and before["address"] != member["address"]:
        return Failure(
            f"'{name}' is registered at {before['address']}; this entry waits until"
            f" that registration is removed; 'forget member {name}' removes it now"
        )
    result = remove_member(members, name, unix_time) if before else members
    return Success({**result, "members": {**result["members"], name: member}})


def remove_member(members: Members, name: str, unix_time: float) -> Members:
    """Remove a member that did not deregister itself, and record its departure."""
    remaining = dict(members["members"])
    removed = remaining.pop(name, None)
    if removed is None:
        return members
    departed = {
        **members["departed"],
        make_owner(name, removed["incarnation"]): unix_time,
    }
    latest = sorted(departed.items(), key=lambda item: item[1])[-MAX_DEPARTED:]
    return {**members, "members": remaining, "departed": dict(latest)}


def deregister_member(members: Members, name: str, incarnation: str) -> Members:
    """Remove a member that shuts down as planned."""
    if not is_listed(members, name, incarnation):
        return members
    remaining = {key: value for key, value in members["members"].items() if key != name}
    return {**members, "members": remaining}


def find_unaware_members(
    members: Members, name: str, aware: Mapping[str, str]
) -> list[str]:
    """Return the members that have not confirmed that they know this entry.

    Parameters
    ----------
    members : Members
        The registered members.
    name : str
        This entry.
    aware : mapping
        Name and incarnation of each member that has sent a pong that lists this
        entry's incarnation, or that registered later than this entry.
    """
    return sorted(
        other
        for other, member in members["members"].items()
        if other != name and aware.get(other) != member["incarnation"]
    )


def find_new_members(before: Members, after: Members, owner: str) -> dict[str, str]:
    """Return the members that registered while an entry was listed.

    They read a document that lists the entry when they registered, and never go back
    to an older one, so they know the entry without having answered it. A new member
    that never answers therefore does not keep other entries from accepting changes.
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
    expired_since: Mapping[str, float],
    answered_at: Mapping[str, float],
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
    expired_since : mapping
        Owner and seconds at which its lease was first seen to have expired.
    answered_at : mapping
        Owner and seconds at which the last ping that it answered was sent. A
        member that answers is running and may rely on confirmations that peers relay,
        so it is not removed.
    established : bool
        Whether every other member knows this entry. If not, members may consent to
        each other without this entry until the maximum outage time has passed.
    """
    freshness = timing.freshness_ms / MS_PER_S
    outage = 0.0 if established else timing.max_outage_ms / MS_PER_S
    removable = []
    for other, member in members["members"].items():
        owner = make_owner(other, member["incarnation"])
        expired = expired_since.get(owner)
        if other == name or expired is None or time - expired < freshness + outage:
            continue
        answered = answered_at.get(owner)
        if answered is None or time - answered >= freshness:
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
        Owner and the version reported by its last pong.
    removed_at : mapping
        Owner and seconds at which its removal was noticed. A removed member may
        keep its authority for some time, although no entry waits for its pong.
    version : int
        The version to check.
    changed_at : float
        Seconds at which the change was known to be stored, or later.
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
    """Return the seconds between two pings to the same member.

    With many members each gets fewer pings, which limits the traffic of an entry, but
    a consent must stay valid when one ping is lost.
    """
    lengthened = timing.ping_ms * max(1.0, others / MAX_PINGS_PER_INTERVAL)
    longest = max(timing.ping_ms, timing.consent_ms / PINGS_PER_CONSENT)
    return min(lengthened, longest) / MS_PER_S


def find_planner(members: Members, alive: Mapping[str, str]) -> str:
    """Return the live member with the first name, or an empty string."""
    live = [
        name
        for name, member in members["members"].items()
        if alive.get(name) == member["incarnation"]
    ]
    return min(live, default="")
