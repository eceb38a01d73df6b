"""Authority under random partitions, kills, pauses, restarts and changes.

A model of entries and a store in simulated time that calls the real decisions. Each
running entry polls and pings once per second, as ``coordinator`` does. The model
records each entry that has authority under a configuration which was replaced.
"""

from __future__ import annotations

import argparse
import itertools
import random
from collections.abc import Iterable

from returns.pipeline import is_successful

from briarshed import authority, membership
from briarshed.documents import MEMBERS_KEY, make_empty
from briarshed.settings import TimingSettings

TIMING = TimingSettings()
STOP_DELAY_S = 4.5
TICK_S = 0.25
LEASE_S = 10.0
STORE = "store"
INITIAL_ENTRIES = "abc"
EVENTS = ["start", "accept", "accept", "accept", "cut", "cut", "store", "state", "heal"]
PAUSES_S = (0.25, 0.5, 1, 2, 3, 4, 5, 8, 16, 16, 30, 60)


class Entry:
    """Process of an entry; ``state`` is running, paused or killed."""

    def __init__(self, name: str, address: str, offset: float, time: float) -> None:
        self.name, self.address, self.next_at = name, address, time + offset
        self.state = "running"
        self.configuration = 0
        self.members = make_empty(MEMBERS_KEY)
        self.registered_at: float | None = None
        self.read_at: float | None = None
        self.contact_at: float | None = None
        self.relayed_confirmation_at: float | None = None
        self.failing = False
        self.listed_from: object = None
        self.others: tuple[str, ...] = ()
        self.start_incarnation(time)

    def start_incarnation(self, time: float, counter=itertools.count()) -> None:  # noqa: B008
        """Start a new incarnation."""
        self.incarnation = f"i{next(counter)}"
        self.renewed_at = time
        self.registered_at = self.relayed_confirmation_at = None
        self.views: dict[str, authority.PeerView] = {}
        self.aware: dict[str, str] = {}
        self.answered_at: dict[str, float] = {}
        self.missing: dict[str, float] = {}

    @property
    def owner(self) -> str:
        """Owner name of this entry's rows."""
        return membership.make_owner(self.name, self.incarnation)

    def view(self) -> authority.OwnView:
        """Return the entry's view of itself."""
        listed = membership.is_listed(self.members, self.name, self.incarnation)
        registered = self.registered_at is not None
        if self.listed_from is not self.members:
            self.listed_from = self.members
            self.others = tuple(
                owner
                for owner in membership.list_owners(self.members)
                if owner.partition("/")[0] != self.name
            )
        return authority.OwnView(
            self.owner if registered else "",
            self.registered_at or 0.0,
            self.read_at,
            self.relayed_confirmation_at,
            self.failing,
            self.configuration,
            self.members["version"],
            self.others,
            registered and listed,
        )

    def replace_members(self, members) -> None:
        """Replace the entry's copy of the members."""
        before, self.members = self.members, members
        known = membership.find_new_members(before, members, self.owner)
        self.aware.update(known)

    def decide(self, time: float) -> authority.Authority:
        """Decide the authority of the entry."""
        return authority.decide_authority(self.view(), self.views, TIMING, time)

    def blockers(self) -> list[str]:
        """Return the members that do not know the entry yet."""
        if not self.view().listed:
            return [self.name]
        return membership.find_unaware_members(self.members, self.name, self.aware)


class World:
    """Entries, the store, and the pairs of them that are disconnected."""

    def __init__(self) -> None:
        self.time = 100.0
        self.entries: dict[str, Entry] = {}
        self.cuts: set[frozenset[str]] = set()
        self.store_down = False
        self.configuration = 1
        self.members = make_empty(MEMBERS_KEY)
        self.leases: dict[str, tuple[str, float]] = {}
        self.accepted: list[tuple[int, float]] = []
        self.removed_at_by_owner: dict[str, float] = {}
        self.violations: list[str] = []
        self.pongs: list[tuple[float, str, str, tuple]] = []
        self.pong_delay = itertools.repeat(0.0)
        self.offer_lost = itertools.repeat(False)

    def start(self, name: str, address: str = "") -> None:
        """Start an entry, or restart it as a new process."""
        offset = TICK_S * (len(self.entries) % 4)
        self.entries[name] = Entry(name, address or name, offset, self.time)

    def cut(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Disconnect all pairs of the two sides."""
        self.cuts |= {frozenset((a, b)) for a in left for b in right if a != b}

    def heal(self) -> None:
        """Reconnect all pairs and make the store available."""
        self.cuts.clear()
        self.store_down = False

    def reaches(self, left: str, right: str) -> bool:
        """Return whether two processes can communicate."""
        if STORE in (left, right) and self.store_down:
            return False
        return frozenset((left, right)) not in self.cuts

    def accept(self, name: str) -> str:
        """Try to accept a change at an entry; return the reason of a refusal, or ""."""
        entry = self.entries[name]
        if entry.state != "running" or not self.reaches(name, STORE):
            return "the store is not available"
        if entry.blockers():
            return f"not known by {entry.blockers()}"
        # The write is conditional on the revisions of the members and configuration.
        if entry.members != self.members or entry.configuration != self.configuration:
            return "conflict"
        self.configuration += 1
        entry.configuration = self.configuration
        entry.contact_at = self.time
        self.accepted.append((self.configuration, self.time))
        return ""

    def advance(self, seconds: float) -> None:
        """Advance the time, and check the invariant at every tick."""
        for _ in range(round(seconds / TICK_S)):
            self.time += TICK_S
            due = [pong for pong in self.pongs if pong[0] <= self.time]
            self.pongs = [pong for pong in self.pongs if pong[0] > self.time]
            self.check()
            for _at, receiver, sender, content in due:
                self._handle_pong(receiver, sender, content)
            for entry in self.entries.values():
                if entry.state == "running" and self.time >= entry.next_at:
                    entry.next_at = self.time + 1.0
                    self._poll(entry)
                    self._ping(entry)
            self.check()

    def check(self) -> None:
        """Record each entry that has authority and must not have it."""
        for entry in self.entries.values():
            if entry.state != "running":
                continue
            removed_at = self.removed_at_by_owner.get(entry.owner, self.time)
            late = [
                version
                for version, at in self.accepted
                if entry.configuration < version and self.time - at > STOP_DELAY_S
            ]
            if (late or self.time - removed_at > STOP_DELAY_S) and (
                entry.decide(self.time).granted
            ):
                self.violations.append(
                    f"{entry.owner}: {late}, removed at {removed_at}"
                )

    def _write_members(self, members) -> None:
        before = set(membership.list_owners(self.members))
        self.members = {**members, "version": self.members["version"] + 1}
        for owner in before - set(membership.list_owners(self.members)):
            self.removed_at_by_owner[owner] = self.time

    def _poll(self, entry: Entry) -> None:
        entry.failing = not self.reaches(entry.name, STORE)
        if entry.failing:
            return
        if not membership.is_listed(self.members, entry.name, entry.incarnation):
            if entry.registered_at is not None:
                entry.start_incarnation(self.time)
            member = {"incarnation": entry.incarnation, "address": entry.address}
            done = membership.register_member(
                self.members, entry.name, member, self.time
            )
            if is_successful(done):
                self._write_members(done.unwrap())
                entry.registered_at = self.time
        entry.read_at = entry.contact_at = self.time
        entry.configuration = self.configuration
        entry.replace_members(self.members)
        if entry.registered_at is not None:
            self.leases[entry.name] = (entry.incarnation, self.time + LEASE_S)
            self._remove(entry)

    def _remove(self, entry: Entry) -> None:
        live = {
            membership.make_owner(name, incarnation)
            for name, (incarnation, end) in self.leases.items()
            if end > self.time
        }
        missing = set(membership.list_owners(self.members)) - live
        entry.missing = {
            owner: entry.missing.get(owner, self.time) for owner in missing
        }
        for name in membership.find_removable(
            entry.members,
            entry.name,
            entry.missing,
            entry.answered_at,
            not entry.blockers(),
            TIMING,
            self.time,
        ):
            members = membership.remove_member(self.members, name, self.time)
            self._write_members(members)
            entry.replace_members(self.members)

    def _ping(self, entry: Entry) -> None:
        for owner in entry.view().others:
            peer = self.entries.get(owner.partition("/")[0])
            if peer is None or peer.state != "running":
                continue
            if self.reaches(entry.name, peer.name):
                content = (self.time, entry.incarnation, *self._make_pong(entry, peer))
                delay = next(self.pong_delay)
                if delay:
                    at = self.time + delay
                    self.pongs.append((at, entry.name, peer.name, content))
                else:
                    self._handle_pong(entry.name, peer.name, content)

    def _make_pong(self, entry: Entry, peer: Entry) -> tuple:
        confirmed = authority.find_confirmation(peer.view())
        view = authority.PeerView(
            peer.incarnation,
            self.time,
            None if confirmed is None else self.time - confirmed,
            None if peer.contact_at is None else self.time - peer.contact_at,
            peer.failing,
            peer.configuration,
            peer.members["version"],
            membership.is_listed(peer.members, entry.name, entry.incarnation),
        )
        return view, peer.configuration, peer.members

    def _handle_pong(self, receiver: str, sender: str, content: tuple) -> None:
        sent_at, incarnation, view, configuration, members = content
        entry = self.entries[receiver]
        if entry.state != "running" or entry.incarnation != incarnation:
            return
        if sent_at < entry.renewed_at:
            return
        before = entry.views.get(sender)
        if before is not None and before.sent_at > sent_at:
            return
        owner = membership.make_owner(sender, view.incarnation)
        entry.views[sender] = view
        entry.answered_at[owner] = sent_at
        if view.known:
            entry.aware[sender] = view.incarnation
        relayed_confirmation = authority.find_relayed_confirmation(
            entry.view(), {sender: view}
        )
        if relayed_confirmation is not None:
            entry.relayed_confirmation_at = max(
                relayed_confirmation,
                entry.relayed_confirmation_at or relayed_confirmation,
            )
        if entry.failing and not next(self.offer_lost):
            # The peer sends newer documents, the configuration first.
            entry.configuration = max(entry.configuration, configuration)
            if members["version"] > entry.members["version"]:
                entry.replace_members(members)


def run_random(rng: random.Random, events: int) -> World:
    """Return a world after random events, with the recorded violations."""
    world = World()
    world.offer_lost = (rng.random() < 0.5 for _ in itertools.count())
    world.pong_delay = (rng.choice((0, 0, 0.25, 1.5)) for _ in itertools.count())
    for name in INITIAL_ENTRIES:
        world.start(name)
    world.advance(rng.choice((0, 2, 5)))
    for _ in range(events):
        _do_random_event(world, rng)
        world.advance(rng.choice(PAUSES_S))
    return world


def _do_random_event(world: World, rng: random.Random) -> None:
    name = rng.choice("abcde")
    entry = world.entries.get(name)
    side = rng.sample("abcde", rng.randint(1, 4))
    match rng.choice(EVENTS):
        case "start":
            # Restarts at the same address: another address would mean that the former
            # process may still be running.
            world.start(name)
        case "accept":
            for other in sorted(world.entries):
                if not world.accept(other):
                    break
        case "cut":
            rest = [other for other in "abcde" if other not in side]
            world.cut(side, [*rest, *rng.choice(([], [STORE]))])
        case "store" if rng.random() < 0.5:
            world.store_down = not world.store_down
        case "store":
            world.cut(side, [STORE])
        case "state" if entry is not None and entry.state != "killed":
            entry.state = rng.choice(("running", "paused", "paused", "killed"))
        case "heal":
            world.heal()


def main() -> None:
    """Print the number of runs that violated the invariant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=500)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    worlds = [
        run_random(random.Random(arguments.seed * 1_000_000 + number), arguments.events)
        for number in range(arguments.runs)
    ]
    broken = sum(bool(world.violations) for world in worlds)
    accepted = sum(len(world.accepted) for world in worlds)
    print(f"{len(worlds)} runs of {arguments.events} events, seed {arguments.seed}:")
    print(f"{accepted} changes accepted, {broken} runs broke the rule")


if __name__ == "__main__":
    main()
