"""Random plays of whole entries, in virtual time, with faults chosen by name.

``PYTHONPATH=features/workloads/steps python features/workloads/fault_plays.py --mix
cut,cut+hold --seeds 1-200`` plays many seeds of each mix and prints those that break an
invariant; ``--mix random`` chooses a mix by the seed.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from engine_steps import NEED
from faulty_fleet import LATENCY_S, STORE, STORE_SLOWNESS, FaultyFleet, Links, spawn
from virtual_fleet import find_overlap
from virtual_time import run_virtually

from briarshed_workloads.workloads import Step

CORE = "core"
ENTRIES = tuple(f"e{number}" for number in range(6))
ENDPOINTS = tuple(f"p{number}" for number in range(6))
LATE_ENTRIES = ("e6", "e7")
PLAY_S = 120.0
SETTLE_S = 110.0
JOB_INTERVAL_S = 1.0
PAUSE_S = (0.2, 8.0)
CUT_S = (5.0, 45.0)
OUTAGE_S = (0.5, 15.0)
SHORT_S = (0.3, 8.0)
FREEZE_S = (0.5, 40.0)
RESTART_S = (0.3, 1.2)
STOP_S = 3.0
END_SPREAD_S = 2.0
SHARES = (0.01, 0.05, 0.2)
LINK_DELAY_S = (0.2, 3.0)
TASK_LENGTHS_S = (0.5, 3.0)


class Result(NamedTuple):
    """What a play has shown; ``events`` are the faults with their times."""

    seed: int
    mix: tuple[str, ...]
    overlap: object
    violations: tuple
    unfinished: tuple
    accepted: int
    events: tuple

    @property
    def is_sound(self):
        """Whether all invariants held."""
        return not (self.overlap or self.violations or self.unfinished)


class Play:
    """State of one play."""

    def __init__(self, seed, mix, seconds):
        self.seed = seed
        self.mix = mix
        self.seconds = seconds
        self.chance = random.Random(repr((seed, tuple(sorted(mix)))))
        self.links = Links(self.chance)
        self.events = []
        self.fleet = None
        self.cut_ends_at = 0.0

    def note(self, *event):
        """Record a fault."""
        now = asyncio.get_running_loop()._virtual.now
        self.events.append((round(now, 3), *event))

    def place(self, zone_count):
        """Put each entry and endpoint into a data centre."""
        zones = self.links.zones
        zones[STORE] = CORE
        for names in (ENTRIES + LATE_ENTRIES, ENDPOINTS):
            for number, name in enumerate(names):
                zones[name] = f"d{number % zone_count}"

    def list_zones(self):
        """Return the data centres."""
        return sorted(set(self.links.zones.values()) - {CORE})

    def find_leading_zone(self):
        """Return the data centre of an entry that may order, or a random one."""
        found = self.fleet.list_authorities()
        if not found:
            return self.chance.choice(self.list_zones())
        return self.links.zones[found[0][0]]

    def choose_entry(self):
        """Return an entry that runs; the leader as often as all others together."""
        awake = sorted(
            name for name, row in self.fleet.processes.items() if not row.is_frozen
        )
        leaders = [name for name, _ in self.fleet.list_authorities()]
        if leaders and self.chance.random() < 0.5:
            return leaders[0]
        return self.chance.choice(awake) if awake else None

    def pause(self):
        """Wait for the next fault; often until about the end of a cut."""
        left = self.cut_ends_at - asyncio.get_running_loop()._virtual.now
        if left > 0 and self.chance.random() < 0.4:
            spread = self.chance.uniform(-END_SPREAD_S, END_SPREAD_S)
            return asyncio.sleep(max(0.0, left + spread))
        return asyncio.sleep(self.chance.uniform(*PAUSE_S))


async def cut(play):
    """Cut a data centre off, mostly that of the leader, with or without the store."""
    chance, cuts = play.chance, play.links.cuts
    inside = play.find_leading_zone()
    if chance.random() < 0.2:
        inside = chance.choice(play.list_zones())
    outside = [zone for zone in play.list_zones() if zone != inside]
    if "three" in play.mix and len(outside) > 1 and chance.random() < 0.7:
        seen = chance.choice(outside)
        lost = [zone for zone in outside if zone != seen]
        added = {pair for zone in lost for pair in ((inside, zone), (zone, inside))}
        if chance.random() < 0.5:
            added |= {pair for zone in lost for pair in ((seen, zone), (zone, seen))}
    else:
        added = {pair for zone in outside for pair in ((inside, zone), (zone, inside))}
    with_store = chance.choice(["outside", "outside", "inside", "both", "neither"])
    no_store = {"outside": [inside], "inside": outside, "both": []}.get(
        with_store, play.list_zones()
    )
    added |= {pair for zone in no_store for pair in ((zone, CORE), (CORE, zone))}
    if "one_way" in play.mix and chance.random() < 0.6:
        kept = chance.choice([0, 1])
        added = {pair for pair in added if (pair[0] == inside) == bool(kept)}
    seconds = chance.uniform(*CUT_S)
    play.note("cut", sorted(added), round(seconds, 2))
    play.cut_ends_at = asyncio.get_running_loop()._virtual.now + seconds
    cuts |= added
    await asyncio.sleep(seconds)
    parts = [{pair for pair in added if CORE in pair}, added]
    if chance.random() < 0.5:
        parts[0] = {pair for pair in added if CORE not in pair}
    cuts -= parts[0]
    await asyncio.sleep(chance.choice([0.0, 0.3, 1.5]))
    cuts -= parts[1]
    play.note("healed")


async def outage(play, how, pauses_leases):
    """Stop the store for a while."""
    store, seconds = play.fleet.store, play.chance.uniform(*OUTAGE_S)
    if store.down:
        return
    play.note("outage", how, pauses_leases, round(seconds, 2))
    store.stop(how, pauses_leases)
    await asyncio.sleep(seconds)
    store.start()
    play.note("store is back")


async def outage_pause(play):
    """Stop the store, whose leases pause meanwhile."""
    await outage(play, play.chance.choice(["refuse", "silent"]), True)


async def outage_lapse(play):
    """Stop the store, whose leases go on."""
    await outage(play, play.chance.choice(["refuse", "silent"]), False)


async def turn_away(play):
    """Let the store turn some entries away, answer nothing or lose their answers."""
    chance, store = play.chance, play.fleet.store
    count = chance.choice([1, 2, len(ENTRIES) - 1])
    names = chance.sample(ENTRIES, count)
    leaders = [name for name, _ in play.fleet.list_authorities()]
    if leaders and chance.random() < 0.5:
        names[0] = leaders[0]
    how = chance.choice(["refuse", "silent", "lose answers", "late", "flaky", "flaky"])
    seconds = chance.uniform(*chance.choice([SHORT_S, CUT_S]))
    play.note("turned away", how, names, round(seconds, 2))
    for name in names:
        store.turned_away[name] = how
    await asyncio.sleep(seconds)
    for name in names:
        store.turned_away.pop(name, None)


async def staggered(play):
    """Stop the store for all entries; it returns to one after the other."""
    chance, turned_away = play.chance, play.fleet.store.turned_away
    names = chance.sample(sorted(play.fleet.entries), len(play.fleet.entries))
    leaders = [name for name, _ in play.fleet.list_authorities()]
    if leaders and chance.random() < 0.7:
        names.remove(leaders[0])
        names.append(leaders[0])
    seconds = chance.uniform(*OUTAGE_S)
    play.note("store lost by all", names, round(seconds, 2))
    turned_away.update(dict.fromkeys(names, "silent"))
    play.cut_ends_at = asyncio.get_running_loop()._virtual.now + seconds
    await asyncio.sleep(seconds)
    for name in names:
        # Its next process may reach the store before the last one's promise has ended.
        if "kill" in play.mix and name in play.fleet.entries and chance.random() < 0.4:
            play.note("kill", name)
            await play.fleet.kill(name)
            await asyncio.sleep(chance.uniform(*RESTART_S))
            turned_away.pop(name, None)
            await start(play, name)
        turned_away.pop(name, None)
        play.note("store is back", name)
        await asyncio.sleep(chance.choice([0.0, chance.uniform(0.0, END_SPREAD_S)]))


async def slow_store(play):
    """Make the store slow."""
    store, seconds = play.fleet.store, play.chance.uniform(*CUT_S)
    play.note("slow store", round(seconds, 2))
    store.extra_s = LATENCY_S * STORE_SLOWNESS * play.chance.choice([1, 2, 4])
    await asyncio.sleep(seconds)
    store.extra_s = 0.0


async def hold(play):
    """Hold up some of all messages."""
    seconds = play.chance.uniform(*CUT_S)
    play.links.held_up_share = play.chance.choice(SHARES)
    play.note("held up", play.links.held_up_share, round(seconds, 2))
    await asyncio.sleep(seconds)
    play.links.held_up_share = 0.0


async def lose(play):
    """Lose some of all messages."""
    seconds = play.chance.uniform(*CUT_S)
    play.links.lost_share = play.chance.choice(SHARES)
    play.note("lost", play.links.lost_share, round(seconds, 2))
    await asyncio.sleep(seconds)
    play.links.lost_share = 0.0


async def slow_links(play):
    """Delay what passes between two zones."""
    zones = [*play.list_zones(), CORE]
    pair = tuple(play.chance.sample(zones, 2))
    pairs = [pair, pair[::-1]] if play.chance.random() < 0.6 else [pair]
    high = play.chance.uniform(*LINK_DELAY_S)
    seconds = play.chance.uniform(*CUT_S)
    play.note("slow links", pairs, round(high, 2), round(seconds, 2))
    for row in pairs:
        play.links.delays[row] = (high / 2, high)
    await asyncio.sleep(seconds)
    for row in pairs:
        play.links.delays.pop(row, None)


async def freeze(play, is_suspended=False):
    """Freeze an entry."""
    name = play.choose_entry()
    if name is not None:
        low = play.chance.choice([FREEZE_S, SHORT_S])
        seconds = play.chance.uniform(*low)
        play.note("suspend" if is_suspended else "freeze", name, round(seconds, 2))
        await play.fleet.freeze(name, seconds, is_suspended)
        play.note("wake", name)


async def suspend(play):
    """Suspend the machine of an entry."""
    await freeze(play, True)


async def kill(play):
    """Kill an entry, which starts again."""
    name = play.choose_entry()
    if name is not None:
        play.note("kill", name)
        await play.fleet.kill(name)
        await restart(play, name)


async def restart(play, name):
    """Start an entry again after a while."""
    await asyncio.sleep(play.chance.uniform(*RESTART_S))
    await start(play, name)


async def start(play, name):
    """Start an entry that does not run."""
    if name not in play.fleet.entries:
        await play.fleet.add_entry(name)
        play.note("started", name)


async def stop(play):
    """Stop an entry as planned, which starts again."""
    name = play.choose_entry()
    if name is not None:
        play.note("stop", name)
        await play.fleet.stop(name, STOP_S)
        await restart(play, name)


async def join(play):
    """Start an entry that was not there before."""
    absent = [name for name in LATE_ENTRIES if name not in play.fleet.entries]
    if absent:
        play.note("join", absent[0])
        await play.fleet.add_entry(absent[0])


async def crash(play):
    """Let an endpoint crash, which starts again under its name."""
    name = play.chance.choice(ENDPOINTS)
    play.note("crash", name)
    await play.fleet.endpoints.by_name[name].crash(
        play.chance.choice(["closed", "silent"])
    )


FAULTS = {
    "cut": cut,
    "outage_pause": outage_pause,
    "outage_lapse": outage_lapse,
    "turn_away": turn_away,
    "staggered": staggered,
    "slow_store": slow_store,
    "hold": hold,
    "lose": lose,
    "slow_links": slow_links,
    "freeze": freeze,
    "suspend": suspend,
    "kill": kill,
    "stop": stop,
    "join": join,
    "crash": crash,
}
"""Faults that come at random times, by name. Besides, ``one_way`` and ``three`` change
cuts, ``clocks`` lets clocks run apart, and ``resent`` lets cuts lose nothing."""

MODIFIERS = ("one_way", "three", "clocks", "resent")


async def repeat(play, work):
    """Let a fault come again and again."""
    while True:
        await play.pause()
        await work(play)


async def submit_jobs(play):
    """Submit jobs until this is cancelled."""
    number = 0
    while True:
        play.fleet.submit(number)
        number += 1
        await asyncio.sleep(JOB_INTERVAL_S)


def heal(play):
    """End all faults."""
    fleet, links = play.fleet, play.links
    links.cuts.clear()
    links.delays.clear()
    links.held_up_share = links.lost_share = 0.0
    fleet.store.start()
    fleet.store.turned_away.clear()
    fleet.store.extra_s = 0.0
    for process in fleet.processes.values():
        if process.is_frozen:
            process.wake()
    for row in fleet.endpoints.by_name.values():
        if row.down:
            row.restart()
            row.down = ""


async def play_faults(play):
    """Play one seed and return its result."""
    chance, mix = play.chance, play.mix
    play.place(3 if "three" in mix else 2)
    play.links.is_resent = "resent" in mix
    task_s = chance.choice(TASK_LENGTHS_S)
    fleet = FaultyFleet(play.links, ENTRIES, ENDPOINTS, chance, "clocks" in mix)
    for row in fleet.endpoints.by_name.values():
        row.task_s = task_s
    fleet.steps = (Step(3, NEED, task_s), Step(2, NEED, task_s, after=(0,)))
    play.fleet = fleet
    async with fleet:
        await fleet.wait_for_leader()
        submitting = spawn(submit_jobs(play))
        await asyncio.sleep(2.0)
        faults = [spawn(repeat(play, FAULTS[name])) for name in mix if name in FAULTS]
        await asyncio.sleep(play.seconds)
        for task in faults:
            task.cancel()
        await asyncio.gather(*faults, return_exceptions=True)
        failures = [
            task.exception() for task in faults if task.done() and not task.cancelled()
        ]
        if failures:
            raise failures[0]
        heal(play)
        play.note("all healed")
        for name in ENTRIES:
            if name not in fleet.entries:
                await fleet.add_entry(name)
        await asyncio.sleep(5.0)
        submitting.cancel()
        for _ in range(int(SETTLE_S)):
            await asyncio.sleep(1.0)
            if not fleet.list_unfinished():
                break
        accepted = sum(reply == "accepted" for reply in fleet.replies.values())
        return Result(
            play.seed,
            play.mix,
            find_overlap(fleet.list_runs()),
            tuple(fleet.violations[:5]),
            tuple(fleet.list_unfinished()[:5]),
            accepted,
            tuple(play.events),
        )


def run_play(seed, mix, seconds=PLAY_S):
    """Run one play."""
    return run_virtually(play_faults(Play(seed, tuple(mix), seconds)))


def run_quietly(job):
    """Run one play without log lines."""
    from loguru import logger

    logger.remove()
    with contextlib.suppress(KeyboardInterrupt):
        try:
            return run_play(*job)
        except Exception as error:
            return Result(job[0], job[1], f"error: {error!r}", (), (), 0, ())


def choose_mix(seed):
    """Return a random mix of a cut, one to four other faults and modifiers."""
    chance = random.Random(seed)
    others = [name for name in FAULTS if name != "cut"]
    mix = ["cut"] if chance.random() < 0.8 else []
    mix += chance.sample(others, chance.choice([1, 1, 2, 3, 4]))
    mix += [name for name in MODIFIERS if chance.random() < 0.3]
    return tuple(mix)


def main():
    """Play the seeds and print the broken ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mix", default="random")
    parser.add_argument("--seeds", default="1-20")
    parser.add_argument("--seconds", type=float, default=PLAY_S)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--until", default="", help="HH:MM at which no play starts")
    options = parser.parse_args()
    first, last = (int(part) for part in options.seeds.split("-"))
    mixes = [
        (
            seed,
            choose_mix(seed) if mix == "random" else tuple(mix.split("+")),
            options.seconds,
        )
        for mix in options.mix.split(",")
        for seed in range(first, last + 1)
    ]
    count = broken = accepted = 0
    started_at = time.monotonic()
    with ProcessPoolExecutor(options.processes) as pool:
        size = 2 * options.processes
        for start in range(0, len(mixes), size):
            if options.until and time.strftime("%H:%M") >= options.until:
                break
            for result in pool.map(run_quietly, mixes[start : start + size]):
                count += 1
                accepted += result.accepted
                if not result.is_sound:
                    broken += 1
                    print(
                        result.seed,
                        "+".join(result.mix),
                        "overlap",
                        result.overlap,
                        "violations",
                        result.violations[:2],
                        len(result.violations),
                        "unfinished",
                        result.unfinished[:3],
                        flush=True,
                    )
    seconds = time.monotonic() - started_at
    print(
        f"{count} plays in {seconds:.0f} s, {broken} broken, {accepted} jobs accepted"
    )


if __name__ == "__main__":
    sys.exit(main())
