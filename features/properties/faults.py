"""Faults that the proofs inject while jobs arrive: what is done, and when.

A fault is a list of steps, each with its time in seconds from the start of the load.
Faults end before the load does, so that recovery is part of every proof.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple

from briarshed_standins.fleet import Fleet

LINKS = ("store", "platform", "peers", "endpoints")
SECOND_CENTRE = "dc2"


class Step(NamedTuple):
    """One action on the fleet, ``at_s`` seconds after the load began."""

    at_s: float
    act: Callable[[Fleet], object]


def kill(role: str, at_s: float = 2.0) -> list[Step]:
    """Kill an entry or the process of an endpoint."""
    return [Step(at_s, lambda fleet: fleet.kill(find_role(fleet, role)))]


def find_role(fleet: Fleet, name: str) -> str:
    """Return the role of the process of an entry or an instance."""
    return fleet.instances[name].role if name in fleet.instances else name


def pause(role: str, at_s: float = 2.0, until_s: float = 7.0) -> list[Step]:
    """Pause a process beyond the freshness of its configuration."""
    return [
        Step(at_s, lambda fleet: fleet.stop(find_role(fleet, role))),
        Step(until_s, lambda fleet: fleet.resume(find_role(fleet, role))),
    ]


def spoil(target: str, at_s: float = 2.0, until_s: float = 7.0, **faults) -> list[Step]:
    """Set faults of the store, the platform or an endpoint for a time."""
    return [
        Step(at_s, lambda fleet: fleet.set_faults(target, **faults)),
        Step(until_s, lambda fleet: fleet.set_faults(target)),
    ]


def cut(*patterns: str, at_s: float = 2.0, until_s: float = 7.0) -> list[Step]:
    """Cut links for a time."""
    return [
        Step(at_s, lambda fleet: fleet.cut(*patterns)),
        Step(until_s, Fleet.heal),
    ]


def partition(at_s: float = 2.0, until_s: float = 7.0) -> list[Step]:
    """Cut a data centre off from the others, the store and the platform."""
    return [
        Step(at_s, lambda fleet: fleet.partition(SECOND_CENTRE)),
        Step(until_s, Fleet.heal),
    ]


FAULTS: dict[str, list[Step]] = {
    "nothing fails": [],
    "an entry is killed": kill("entry-2"),
    "an endpoint is killed": kill("i-2"),
    "an entry and an endpoint are killed": [*kill("entry-2"), *kill("i-2", 3.0)],
    "an entry is paused": pause("entry-2"),
    "an endpoint is paused": pause("i-2"),
    "the store is down": spoil("store", down=True),
    "the store is silent": spoil("store", silent=True),
    "the store is slow": spoil("store", slow_ms=400),
    "the store loses answers": spoil("store", lost_answers=3),
    "the store reads stale": spoil("store", stale_reads=2),
    "a data centre is cut off": partition(),
    "a data centre loses the store": cut("entry-2>store"),
    "the store is down for a minute": spoil("store", until_s=63.0, down=True),
    "the store and an entry are lost": [*spoil("store", down=True), *kill("entry-2")],
    "connections go silent": spoil("i-1", silent=3),
    "requests vanish": spoil("i-1", silent_unstarted=3),
    "answers are lost": spoil("i-1", lost=5),
    "answers are truncated": spoil("i-1", truncated=5),
    "answers name another attempt": spoil("i-1", wrong_attempt=5),
    "answers are repeated": spoil("i-1", repeated=5),
    "answers are late": spoil("i-1", late_ms=700),
    "an endpoint fails everything": spoil("i-1", fail=True),
    "half of the endpoints fail everything": [
        *spoil("i-1", fail=True),
        *spoil("i-2", fail=True),
        *spoil("i-5", fail=True),
    ],
    "endpoint links are cut": cut("*>i-1", until_s=5.0),
}


def start_wave(fleet: Fleet) -> None:
    """Start a wave over the pool that most jobs use."""
    reply = fleet.command("start wave w-1 pools proofs")
    if reply.status != 200:
        raise AssertionError(reply)


def terminate(name: str, at_s: float) -> list[Step]:
    """Ask an entry to stop, as before its instance is replaced."""
    return [Step(at_s, lambda fleet: fleet.terminate(name))]


PLANNED_STOPS: dict[str, list[Step]] = {
    "an entry is stopped": terminate("entry-2", 3.0),
    "a wave reboots a pool": [Step(1.0, start_wave)],
    "an entry is stopped during a wave": [
        Step(1.0, start_wave),
        *terminate("entry-1", 4.0),
    ],
}


async def inject(fleet: Fleet, steps: Sequence[Step]) -> None:
    """Take the steps at their times."""
    started_at = asyncio.get_running_loop().time()
    for step in sorted(steps, key=lambda step: step.at_s):
        left = started_at + step.at_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, left))
        await asyncio.to_thread(step.act, fleet)


class Sampler:
    """Calls a function repeatedly in a thread and keeps what it returns."""

    def __init__(self, read: Callable[[], object], interval_s: float) -> None:
        self.samples: list[object] = []
        self._read = read
        self._interval_s = interval_s
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._repeat, daemon=True)

    def __enter__(self) -> Sampler:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join()

    def _repeat(self) -> None:
        while not self._ended.wait(self._interval_s):
            self.samples.append(self._read())
