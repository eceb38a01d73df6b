"""Whether a leader whose lease has ended may go on: the consent of all other members.

Only members may take the leadership as soon as it is vacant. While the store is
unavailable, a leader goes on as long as every other member promises not to take it.
Silence is no promise, however long it lasts. A member leaves by a write of the leader
only, which an entry that wants to lead reads before.

Other entries leave the leadership to the members for a while. One of them may then lead
beside a leader that goes on by consent. That one cannot write, and can only start tasks
at recorded endpoints that have not seen the token of the next leader. A pool is
contested until all its endpoints have answered the next leader, or the earlier one can
go on no longer. The earlier leader may start each task there again whose run it cannot
see for the time of a run lease. So the next one keeps no run in a contested pool alive,
acknowledges no end and starts nothing. It leaves the record of members as it is, since
the entries in it are still those whose consent the earlier leader needs.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from briarshed_workloads.transport import EntryHeartbeat

CONSENT_TTL_S = 1.2
"""Time for which the leader relies on the promise of an entry that has reported its
store as unavailable. It is counted from when the leader sent the heartbeat that the
report echoes."""

PROMISE_TTL_S = 1.3
"""Time for which an entry does not take the leadership after such a report; longer than
`CONSENT_TTL_S` on a clock that is 2% fast, with the leader's 2% slow."""

MAX_CONSENT_S = 60.0
"""Longest time after its last renewal for which a leader goes on by consent."""

MAX_EARLIER_TERM_S = 63.0
"""Time after an entry that is no member has seen the leadership vacant within which an
earlier leader may go on; longer than `MAX_CONSENT_S` on a clock that is 2% slow."""

NON_MEMBER_DELAY_S = 2.0
"""Time for which such an entry leaves a vacant leadership to the members. One that has
just started again takes it after `PROMISE_TTL_S`."""

MEMBER_TIMEOUT_S = 10.0
"""Silence after which the leader writes that an entry is no member any more."""

STORE_TIMEOUT_S = 1.0
"""Time since the last successful store call after which an entry counts the store as
unavailable."""


class PeerView(NamedTuple):
    """Last heartbeat of a peer.

    ``consented_at`` is a time before which the peer had certainly not yet sent its
    report that the store is unavailable; 0 if it did not report this. ``known_since``
    is when its present incarnation was first known. Times are seconds of the boot
    clock.
    """

    heartbeat: EntryHeartbeat
    received_at: float
    consented_at: float = 0.0
    known_since: float = 0.0


def measure_consent(
    members: frozenset[str] | None,
    views: Iterable[PeerView],
    own_name: str,
    confirmed_at: float,
    now: float,
) -> float:
    """Return for how many seconds no other entry can take the leadership, at least 0.

    An incarnation that was not known when the lease was last confirmed cannot promise
    for the one before it, which may have led meanwhile. Of several processes that use
    the name of one member, each must promise.

    Parameters
    ----------
    members : frozenset of str or None
        Names of the entries that may take the leadership at once; None if any may.
    confirmed_at : float
        When the last renewal of the leader's lease was sent, in seconds of the boot
        clock.
    """
    if members is None:
        return 0.0
    others = members - {own_name}
    asked = [view for view in views if view.heartbeat.name in others]
    if others - {view.heartbeat.name for view in asked}:
        return 0.0
    until = confirmed_at + MAX_CONSENT_S
    for view in asked:
        if view.known_since > confirmed_at:
            return 0.0
        until = min(until, view.consented_at + CONSENT_TTL_S)
    return max(0.0, until - now)


def find_consent_time(
    heartbeat: EntryHeartbeat, epoch: int | None, now: float
) -> float:
    """Return a time before which a peer's consent had not been sent; 0 without one.

    A heartbeat may have been on its way for seconds. It was sent after the leader's
    heartbeat that it echoes.

    Parameters
    ----------
    epoch : int or None
        Number of this entry's term; None if it does not lead.
    now : float
        Seconds of the boot clock.
    """
    if epoch is None or heartbeat.store_age <= STORE_TIMEOUT_S:
        return 0.0
    if heartbeat.epoch != epoch or heartbeat.echoed_at > now:
        return 0.0
    return heartbeat.echoed_at


def choose_members(
    members: frozenset[str] | None,
    views: Iterable[PeerView],
    own_name: str,
    led_since: float,
    now: float,
) -> frozenset[str]:
    """Return the names of the entries that should be members.

    These are the present members and all that the leader hears, without those that stop
    or have been silent for long. If there are no members yet, all known entries become
    members.

    Parameters
    ----------
    led_since : float
        When the leader's term began, in seconds of the boot clock. Entries send
        heartbeats to the present leader only.
    """
    latest = _find_latest(views)
    is_first = members is None
    chosen = {own_name} | (members or frozenset())
    for name, view in latest.items():
        # Before its first heartbeat only the record of an entry is known.
        if is_first or view.heartbeat.sent_at:
            chosen.add(name)

    def has_left(name: str) -> bool:
        view = latest.get(name)
        heard_at = max(led_since, view.received_at if view is not None else 0.0)
        is_stopping = view is not None and view.heartbeat.is_stopping
        return is_stopping or now - heard_at > MEMBER_TIMEOUT_S

    return frozenset(name for name in chosen if name == own_name or not has_left(name))


def _find_latest(views: Iterable[PeerView]) -> dict[str, PeerView]:
    """Return the last view of each entry by its name."""
    latest: dict[str, PeerView] = {}
    for view in views:
        known = latest.get(view.heartbeat.name)
        if known is None or view.received_at > known.received_at:
            latest[view.heartbeat.name] = view
    return latest
