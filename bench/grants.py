"""Usable part of a team's limit, simulated with the real grant accounting.

Entries exchange demands and write the grants by compare-and-swap to a store with a
delay; a write at an old revision conflicts. ``make bench`` prints the figures.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from briarshed.documents import Configuration, Grants
from briarshed_entry._grant_accounting import GrantAccounting, merge_rows

TICK_S = 0.02
"""Delay of messages and store calls; the actual ones take a few milliseconds."""

GRANTS_WRITE_INTERVAL_S = 1.0
PONG_INTERVAL_S = 1.0
TEAM = "team"
QUEUED = 1_000
ARRIVAL_PARTS = 10
LOAD = 1.1
SETTLE_S = 4.0
CASES = ((7, 20), (9, 20), (9, 200), (16, 60), (16, 1_000))
"""Numbers of entries, and limits of the team."""


class Usage(NamedTuple):
    """Mean part of the limit in use.

    Attributes
    ----------
    even : float
        While every entry has queued jobs.
    random : float
        While jobs arrive at random entries, a tenth more than can run.
    moved : float
        ``at_s`` seconds after all demand has moved to one entry.
    swaps : int
        Successful writes in the first second after the move.
    """

    even: float
    random: float
    moved: float
    swaps: int


class Entry:
    """An entry: its accounting, copy of the grants, and end times of its jobs."""

    def __init__(self, owner: str, owners: list[str]) -> None:
        self.accounting = GrantAccounting()
        self.accounting.reset_owner(owner, owners)
        self.grants_copy: tuple[int, Grants] = (0, {"version": 0, "rows": {}})
        self.ends: list[float] = []
        self.queued = 0
        self.grants_written_at = -1.0
        self.pong_at = 0.0
        self.pending: tuple[int, dict[str, dict[str, int]]] | None = None


class Simulation:
    """Entries with a common store."""

    def __init__(self, entries: int, limit: int, run_s: float, seed: int) -> None:
        owners = [f"entry-{number:02d}/i" for number in range(entries)]
        self.random = random.Random(seed)
        self.time = 0.0
        self.limit = limit
        self.run_s = run_s
        self.stored: tuple[int, Grants] = (0, {"version": 0, "rows": {}})
        self.swaps = 0
        self.arrivals = 0.0
        self.entries = {owner: Entry(owner, owners) for owner in owners}
        for entry in self.entries.values():
            entry.pong_at = self.random.random() * PONG_INTERVAL_S
        team = {"share": 1.0, "limit": limit}
        self.configuration: Configuration = {"teams": {TEAM: team}}  # type: ignore

    def queue(self, active: list[str]) -> None:
        """Give the active entries queues that never run empty; clear the others."""
        self.arrivals = 0.0
        for owner, entry in self.entries.items():
            entry.queued = QUEUED if owner in active else 0

    def start_arrivals(self, load: float) -> None:
        """Clear the queues, and let jobs arrive at random times and entries."""
        self.queue([])
        self.arrivals = load * self.limit / self.run_s

    def advance(self, seconds: float) -> float:
        """Advance the time; return the mean part of the limit in use."""
        parts = []
        for _ in range(round(seconds / TICK_S)):
            self.time += TICK_S
            self._add_arrivals()
            self._step()
            running = sum(len(entry.ends) for entry in self.entries.values())
            parts.append(running / self.limit)
        return sum(parts) / len(parts)

    def _add_arrivals(self) -> None:
        expected = self.arrivals * TICK_S
        # The binomial distribution over many parts approximates Poisson arrivals.
        parts = max(1, round(expected * ARRIVAL_PARTS))
        for _ in range(parts if expected else 0):
            if self.random.random() < expected / parts:
                self.random.choice(list(self.entries.values())).queued += 1

    def _step(self) -> None:
        order = list(self.entries.values())
        self.random.shuffle(order)
        for entry in order:
            self._finish_write(entry)
        for entry in order:
            self._run_jobs(entry)
            self._exchange_demands(entry)
        for entry in order:
            self._begin_write(entry)

    def _run_jobs(self, entry: Entry) -> None:
        left = [end for end in entry.ends if end > self.time]
        entry.accounting.add_running(TEAM, len(left) - len(entry.ends), self.time)
        entry.ends = left
        limit = entry.accounting.find_limit(
            TEAM, self.configuration, entry.grants_copy[1], self.time
        )
        starts = max(0, min(entry.queued, limit - len(left)))
        for _ in range(starts):
            entry.ends.append(self.time + self.random.expovariate(1 / self.run_s))
        if self.arrivals:
            entry.queued -= starts
        entry.accounting.add_running(TEAM, starts, self.time)
        entry.accounting.set_waiting(TEAM, entry.queued, self.time)

    def _exchange_demands(self, entry: Entry) -> None:
        owner = entry.accounting.owner
        peers = [peer.accounting for peer in self.entries.values() if peer is not entry]
        if self.time >= entry.pong_at:
            entry.pong_at = self.time + PONG_INTERVAL_S
            for peer in peers:
                needs = {TEAM: entry.accounting.find_team_demand(TEAM, self.time)}
                peer.peers[owner] = needs
        demands = entry.accounting.take_demands(
            self.configuration, entry.grants_copy[1], self.time
        )
        for peer in peers:
            peer.note_demand(owner, demands.wanted, self.time)

    def _begin_write(self, entry: Entry) -> None:
        waits = self.time - entry.grants_written_at < GRANTS_WRITE_INTERVAL_S
        if entry.pending is not None or waits:
            return
        entry.grants_copy = self.stored
        revision, grants = entry.grants_copy
        planned = entry.accounting.plan([TEAM], self.configuration, grants, self.time)
        if planned:
            entry.accounting.add_pending_caps(planned)
            entry.pending = (revision, planned)

    def _finish_write(self, entry: Entry) -> None:
        if entry.pending is None:
            return
        revision, planned = entry.pending
        entry.pending = None
        entry.accounting.clear_pending_caps()
        if revision != self.stored[0]:
            return
        rows = merge_rows(self.stored[1], planned)
        self.stored = (revision + 1, rows)
        self.swaps += 1
        entry.grants_written_at = self.time
        entry.grants_copy = self.stored
        for owner in planned[TEAM]:
            # A peer whose row was raised is notified and reads the grants.
            self.entries[owner].grants_copy = self.stored


def measure(entries: int, limit: int, run_s: float, seed: int, at_s: float) -> Usage:
    """Measure one team whose jobs have a mean run time of ``run_s`` seconds."""
    simulation = Simulation(entries, limit, run_s, seed)
    owners = list(simulation.entries)
    simulation.queue(owners)
    simulation.advance(SETTLE_S)
    even = simulation.advance(SETTLE_S)
    simulation.start_arrivals(LOAD)
    simulation.advance(SETTLE_S)
    arriving = simulation.advance(SETTLE_S)
    simulation.queue(owners)
    simulation.advance(SETTLE_S)
    simulation.queue(owners[-1:])
    before = simulation.swaps
    simulation.advance(1.0)
    swaps = simulation.swaps - before
    simulation.advance(at_s - 1.0 - TICK_S)
    return Usage(even, arriving, simulation.advance(TICK_S), swaps)


def main() -> None:
    """Print the figures."""
    print("entries  limit  run s   even  random  moved after 2 s  swaps in 1 s")
    for entries, limit in CASES:
        for run_s in (0.1, 0.5):
            usage = measure(entries, limit, run_s, seed=1, at_s=2.0)
            print(
                f"{entries:7d} {limit:6d} {run_s:6.1f} {usage.even:6.3f}"
                f" {usage.random:7.3f} {usage.moved:16.3f} {usage.swaps:12d}"
            )


if __name__ == "__main__":
    main()
