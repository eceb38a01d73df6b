"""Whether an entry may start jobs that depend on the configuration.

The safety argument is in docs/design.md section 5.1. All times are seconds of the
entry's own clock. Ages are measured from the time at which a request was sent, so a
delayed response can only make information look older than it is.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from briarshed.settings import TimingSettings

MS_PER_S = 1_000


class PeerView(NamedTuple):
    """State that a peer reported in its last pong.

    Attributes
    ----------
    incarnation : str
        Incarnation of the peer.
    sent_at : float
        Seconds at which the ping answered by that pong was sent.
    confirmed_age : float or None
        Seconds between the peer's own confirmation and its pong.
    contact_age : float or None
        Seconds between the store's last response to the peer and its pong.
    store_failing : bool
        Whether the peer's last read of the store failed.
    configuration : int
        Version of the peer's copy of the configuration.
    members : int
        Version of the peer's copy of the members.
    known : bool
        Whether the peer's copy of the members lists this entry and incarnation.
    """

    incarnation: str
    sent_at: float
    confirmed_age: float | None
    contact_age: float | None
    store_failing: bool
    configuration: int
    members: int
    known: bool


class OwnView(NamedTuple):
    """State of an entry itself and its list of the other members.

    Attributes
    ----------
    owner : str
        This entry as ``NAME/INCARNATION``; empty if it has not registered.
    registered_at : float
        Seconds at which the registration was known to have taken effect.
    read_at : float or None
        Seconds at which the last read was sent that found all copies up to date.
    relayed_at : float or None
        Latest confirmation relayed by a peer, including those of earlier pongs.
    store_failing : bool
        Whether the last read of the store failed.
    configuration, members : int
        Versions of this entry's copies.
    others : tuple of str
        The other registered members, as ``NAME/INCARNATION``.
    listed : bool
        Whether the members list this entry and incarnation.
    """

    owner: str
    registered_at: float
    read_at: float | None
    relayed_at: float | None
    store_failing: bool
    configuration: int
    members: int
    others: tuple[str, ...]
    listed: bool


class Authority(NamedTuple):
    """Whether jobs with an API key may start, and the reason."""

    granted: bool
    reason: str


def find_authority_timeout(timing: TimingSettings) -> float:
    """Return the seconds after which a member without an update loses its authority.

    The time starts when the configuration changes or the member is removed. The
    margin covers clocks that run at different rates.
    """
    return (max(timing.freshness_ms, timing.consent_ms) + timing.margin_ms) / MS_PER_S


def find_own_confirmation(own: OwnView) -> float | None:
    """Return when this entry's own reads last confirmed its configuration.

    A read sent before the registration took effect does not count, since a change
    may have been accepted without waiting for this entry.
    """
    if not own.listed or own.read_at is None or own.read_at < own.registered_at:
        return None
    return own.read_at


def find_relayed_confirmation(
    own: OwnView, peers: Mapping[str, PeerView]
) -> float | None:
    """Return the time of the latest confirmation relayed by peers, in seconds.

    A peer's confirmation counts only if the peer has the same configuration and the
    same members, and those list this entry. Without the condition on the members, an
    entry that was removed while it could not reach the store would keep its authority
    after its grants were reassigned.
    """
    times = [
        peer.sent_at - peer.confirmed_age
        for name, peer in peers.items()
        if own.listed
        and f"{name}/{peer.incarnation}" in own.others
        and peer.confirmed_age is not None
        and peer.known
        and peer.configuration == own.configuration
        and peer.members == own.members
        and peer.sent_at - peer.confirmed_age >= own.registered_at
    ]
    return max(times, default=None)


def find_confirmation(own: OwnView) -> float | None:
    """Return when the configuration was last confirmed, by this entry or a peer."""
    known = (find_own_confirmation(own), own.relayed_at if own.listed else None)
    return max((time for time in known if time is not None), default=None)


def decide_authority(
    own: OwnView,
    peers: Mapping[str, PeerView],
    timing: TimingSettings,
    time: float,
) -> Authority:
    """Decide whether this entry may start jobs with an API key now."""
    if not own.owner:
        return Authority(False, "this entry has not registered yet")
    if not own.listed:
        return Authority(False, "this entry is no longer a registered member")
    confirmed_at = find_confirmation(own)
    if confirmed_at is None:
        return Authority(False, "the configuration has not been confirmed yet")
    age = time - confirmed_at
    if age < timing.freshness_ms / MS_PER_S:
        return Authority(True, "fresh")
    if not own.store_failing:
        return Authority(False, f"the configuration was last confirmed {age:.1f} s ago")
    if age >= timing.max_outage_ms / MS_PER_S:
        return Authority(False, f"the store has been unreachable for {age:.0f} s")
    objections = list_objections(own, peers, timing, time)
    if objections:
        return Authority(False, f"no outage consent: {'; '.join(objections)}")
    return Authority(True, "outage consent")


def list_objections(
    own: OwnView,
    peers: Mapping[str, PeerView],
    timing: TimingSettings,
    time: float,
) -> Sequence[str]:
    """Return the reason for each member that does not consent; empty if all do.

    A peer with a different version of the members does not consent either, since
    both must agree on whose consent is required.
    """
    objections = []
    for owner in sorted(own.others):
        name, _, incarnation = owner.partition("/")
        peer = peers.get(name)
        if peer is None or peer.incarnation != incarnation:
            objections.append(f"{name} has not answered")
        elif time - peer.sent_at >= timing.consent_ms / MS_PER_S:
            objections.append(f"{name} does not answer")
        elif not peer.store_failing:
            objections.append(f"{name} reaches the store")
        elif (age := _find_contact_age(peer, time)) < timing.freshness_ms / MS_PER_S:
            objections.append(f"{name} reached the store {age:.1f} s ago")
        elif peer.configuration > own.configuration or peer.members > own.members:
            objections.append(f"{name} holds a newer configuration")
    return objections


def _find_contact_age(peer: PeerView, time: float) -> float:
    """Return the seconds since the last contact with the store that a peer reported.

    The age keeps growing after the pong; otherwise jobs with an API key would be
    refused between the end of freshness and the next pong. A contact after the pong is
    covered by the maximum age of a consent, and by the next pong, which withdraws it.
    """
    if peer.contact_age is None:
        return float("inf")
    return peer.contact_age + time - peer.sent_at
