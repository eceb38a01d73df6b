"""Faults that the end-to-end tests inject under load.

A fault is a list of steps, each with its time in seconds from the start of the load.
Faults end before the load does, so that every test covers the recovery.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple

from briarshed_standins.fleet import Fleet

LINKS = ("store", "platform", "peers", "endpoints")
PARTITIONED_DATA_CENTRE = "dc2"


class Step(NamedTuple):
    """One action on the fleet, ``at_s`` seconds after the start of the load."""

    at_s: float
    action: Callable[[Fleet], object]


def kill(role: str, at_s: float = 2.0) -> list[Step]:
    """Kill the process of an entry or an endpoint."""
    return [Step(at_s, lambda fleet: fleet.kill(find_role(fleet, role)))]


def find_role(fleet: Fleet, name: str) -> str:
    """Return the role of the process of an entry or an instance."""
    return fleet.instances[name].role if name in fleet.instances else name


def pause(role: str, at_s: float = 2.0, until_s: float = 7.0) -> list[Step]:
    """Pause a process for longer than its configuration is fresh."""
    return [
        Step(at_s, lambda fleet: fleet.stop(find_role(fleet, role))),
        Step(until_s, lambda fleet: fleet.resume(find_role(fleet, role))),
    ]


def set_temporary_faults(
    target: str, at_s: float = 2.0, until_s: float = 7.0, **faults
) -> list[Step]:
    """Set faults of the store, the platform or an endpoint temporarily."""
    return [
        Step(at_s, lambda fleet: fleet.set_faults(target, **faults)),
        Step(until_s, lambda fleet: fleet.set_faults(target)),
    ]


def cut(*patterns: str, at_s: float = 2.0, until_s: float = 7.0) -> list[Step]:
    """Cut links temporarily."""
    return [
        Step(at_s, lambda fleet: fleet.cut(*patterns)),
        Step(until_s, Fleet.heal),
    ]


def partition(at_s: float = 2.0, until_s: float = 7.0) -> list[Step]:
    """Partition a data centre from the others, the store and the platform."""
    return [
        Step(at_s, lambda fleet: fleet.partition(PARTITIONED_DATA_CENTRE)),
        Step(until_s, Fleet.heal),
    ]


FAULTS: dict[str, list[Step]] = {
    "nothing fails": [],
    "an entry is killed": kill("entry-2"),
    "an endpoint is killed": kill("i-2"),
    "an entry and an endpoint are killed": [*kill("entry-2"), *kill("i-2", 3.0)],
    "an entry is paused": pause("entry-2"),
    "an endpoint is paused": pause("i-2"),
    "the store is down": set_temporary_faults("store", down=True),
    "the store does not respond": set_temporary_faults("store", silent=True),
    "the store is slow": set_temporary_faults("store", slow_ms=400),
    "the store loses responses": set_temporary_faults("store", lost_answers=3),
    "the store returns stale reads": set_temporary_faults("store", stale_reads=2),
    "a data centre is partitioned": partition(),
    "a data centre is partitioned from the store": cut("entry-2>store"),
    "the store is down for a minute": set_temporary_faults(
        "store", until_s=63.0, down=True
    ),
    "the store is down and an entry is killed": [
        *set_temporary_faults("store", down=True),
        *kill("entry-2"),
    ],
    "connections hang": set_temporary_faults("i-1", silent=3),
    "requests are lost": set_temporary_faults("i-1", silent_unstarted=3),
    "responses are lost": set_temporary_faults("i-1", lost=5),
    "responses are truncated": set_temporary_faults("i-1", truncated=5),
    "responses name another attempt": set_temporary_faults("i-1", wrong_attempt=5),
    "responses are repeated": set_temporary_faults("i-1", repeated=5),
    "responses are late": set_temporary_faults("i-1", late_ms=700),
    "an endpoint fails every job": set_temporary_faults("i-1", fail=True),
    "half of the endpoints fail every job": [
        *set_temporary_faults("i-1", fail=True),
        *set_temporary_faults("i-2", fail=True),
        *set_temporary_faults("i-5", fail=True),
    ],
    "endpoint links are cut": cut("*>i-1", until_s=5.0),
}


def start_wave(fleet: Fleet) -> None:
    """Start a wave over the pool that runs most jobs."""
    reply = fleet.command("start wave w-1 pools proofs")
    if reply.status != 200:
        raise AssertionError(reply)


def terminate(name: str, at_s: float) -> list[Step]:
    """Ask an entry to stop, as before a replacement of its instance."""
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
    """Run the steps at their times."""
    started_at = asyncio.get_running_loop().time()
    for step in sorted(steps, key=lambda step: step.at_s):
        left = started_at + step.at_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, left))
        await asyncio.to_thread(step.action, fleet)


class Sampler:
    """Calls a function periodically in a thread and records the results."""

    def __init__(self, read: Callable[[], object], interval_s: float) -> None:
        self.samples: list[object] = []
        self._read = read
        self._interval_s = interval_s
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._repeat, daemon=True)

    def __enter__(self) -> Sampler:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop_requested.set()
        self._thread.join()

    def _repeat(self) -> None:
        while not self._stop_requested.wait(self._interval_s):
            self.samples.append(self._read())
