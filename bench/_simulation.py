"""In-memory simulation of a fleet: store, members, platform and endpoints.

The benchmarks and the maintenance features run the entry's planner on it, in simulated
time.
"""

from __future__ import annotations

import asyncio
import copy
import functools
import random
from types import SimpleNamespace

from returns.pipeline import is_successful
from returns.result import Failure, Success

import briarshed_entry.maintenance as maintenance
from briarshed.charts import load_chart
from briarshed.documents import (
    CONFIGURATION_KEY,
    FLEET_KEY,
    KEPT_CHANGES,
    MEMBERS_KEY,
    make_empty,
)
from briarshed.exceptions import PlatformUnavailableError, StoreUnavailableError
from briarshed.settings import PlatformSettings, TimingSettings, WeightsSettings

STOPPED = ("leaving", "draining", "rebooting", "returning")
OUT = (*STOPPED, "failed")


class KilledError(Exception):
    """The process of the entry was killed at this point."""


def list_violations(configuration, before, after):
    """Return the invariants of the fleet that a change violates."""
    chart = load_chart("lifecycle")
    steps = {(a, b) for moves in chart.transitions.values() for a, b in moves.items()}
    found = []
    if set(before["instances"]) != set(after["instances"]):
        found.append("an instance was added or removed")
    for name, new in after["instances"].items():
        old = before["instances"][name]
        edge = (old["state"], new["state"])
        if edge[0] != edge[1] and edge not in steps:
            found.append(f"{name}: invalid transition {edge}")
        if old["pool"] != new["pool"] and edge != ("rebooting", "returning"):
            found.append(f"{name}: pool changed in transition {edge}")
        if new["pool"] not in configuration["pools"]:
            found.append(f"{name}: unknown pool {new['pool']}")
        if edge == ("serving", "leaving"):
            found += _check_stop(configuration, after, name)
    if after["changes"][-1]["version"] != after["version"]:
        found.append("the change is not in the audit trail")
    return found


def _check_stop(configuration, fleet, name):
    mine = fleet["instances"][name]
    found = []
    for pool in {mine["pool"], mine["target_pool"]} - {None}:
        out = [
            other
            for other in fleet["instances"].values()
            if other["state"] in OUT and pool in (other["pool"], other["target_pool"])
        ]
        if len(out) > configuration["pools"][pool]["budget"]:
            found.append(f"{name}: stop exceeds the budget of {pool}")
    racks = {
        other["rack"]
        for other in fleet["instances"].values()
        if other["pool"] == mine["pool"] and other["wave"] and other["state"] in STOPPED
    }
    if mine["wave"] and len(racks) > 1:
        found.append(f"{name}: a wave has several racks out of service: {racks}")
    return found


class World:
    """Shared state of the fakes; ``tick`` advances the time."""

    drain_s = 3.0
    reboot_s = 5.0
    confirm_s = 0.0

    def __init__(self, pools, instances, waves=None, seed=0):
        self.at = 1000.0
        self.random = random.Random(seed)
        self.configuration = {**make_empty(CONFIGURATION_KEY), "pools": pools}
        self.fleet = {
            **make_empty(FLEET_KEY),
            "instances": instances,
            "waves": waves or {},
        }
        self.members = make_empty(MEMBERS_KEY)
        self.entries = {}
        self.dead = set()
        self.violations = []
        self.swaps = self.store_calls = 0
        self.store_down = False
        self.lost_write_responses = 0
        self.down, self.disconnected = set(), set()
        self.broken_after_reboot = set()
        self.unconfirmed, self.jobs = [], {}
        self.confirmations = []
        self.hook = None
        self.states = dict.fromkeys(instances, "live")
        self.ready_at = {}
        self.operations = set()
        self.drains, self.reboots = [], []
        self.omitted, self.hidden, self.platform_down = set(), set(), False
        maintenance.now = lambda: self.at

    def add_entry(self, name, data_centre="dc1", planner=True):
        """Start the maintenance of an entry."""
        settings = SimpleNamespace(
            name=name,
            data_centre=data_centre,
            timing=TimingSettings(),
            weights=WeightsSettings(),
            platform=PlatformSettings("http://fake"),
        )
        member = {"data_centre": data_centre, "incarnation": "1", "address": ""}
        self.members["members"][name] = {**member, "operators": ""}
        entry = maintenance.Maintenance(
            settings,
            FakeReplica(self, name),
            FakeCoordinator(self, planner),
            FakePlatform(self, name),
            functools.partial(self.check, name),
        )
        self.entries[name] = entry
        return entry

    async def check(self, entry, address):
        """Return the result of a health check."""
        return address not in self.down and entry not in self.disconnected

    async def call_hook(self, name, point, detail=""):
        """Call the scenario's hook, which may kill or suspend the entry here."""
        if self.hook is not None:
            await self.hook(name, point, detail)

    async def tick(self, only=None):
        """Advance by 1 s and run one round of each running entry."""
        self.at += 1.0
        self._advance_platform()
        for at, known in self.confirmations:
            if at <= self.at:
                known.set()
        for name, entry in list(self.entries.items()):
            if name in self.dead or (only and name != only):
                continue
            try:
                await entry.check_instances()
                await entry.sample_demand()
                await entry.plan_once()
            except KilledError:
                self.dead.add(name)
        for _ in range(6):
            await asyncio.sleep(0)

    def _advance_platform(self):
        for name, at in list(self.ready_at.items()):
            if at > self.at:
                continue
            del self.ready_at[name]
            after = {"draining": "drained", "rebooting": "live"}[self.states[name]]
            self.states[name] = after
            address = self.fleet["instances"][name]["address"]
            if after == "drained":
                self.down.add(address)
            elif name not in self.broken_after_reboot:
                self.down.discard(address)

    async def run(self, ticks, until=None):
        """Run rounds until a condition holds; return whether it was met."""
        for _ in range(ticks):
            await self.tick()
            if until is not None and until():
                return True
        return until is None


class FakeReplica:
    """Replica that writes the simulated fleet document by compare-and-swap."""

    def __init__(self, world, name):
        self._world, self._name = world, name
        self.fleet = copy.deepcopy(world.fleet)

    @property
    def configuration(self):
        """Return the configuration."""
        return self._world.configuration

    @property
    def members(self):
        """Return the registered members."""
        return self._world.members

    async def refresh(self):
        """Read the fleet document if it has changed."""
        if self.fleet["version"] != self._world.fleet["version"]:
            self.fleet = copy.deepcopy(self._world.fleet)

    async def change(self, _key, apply, _change_id):
        """Write a change; retry after a conflict, fail if the response is lost."""
        world = self._world
        while True:
            world.store_calls += 2
            if world.store_down:
                raise StoreUnavailableError("down")
            read = copy.deepcopy(world.fleet)
            result = apply(copy.deepcopy(read))
            if not is_successful(result):
                self.fleet = read
                return result
            await world.call_hook(self._name, "before swap", _describe(result))
            if world.fleet["version"] != read["version"]:
                continue
            after = result.unwrap()
            after["changes"] = after["changes"][-KEPT_CHANGES:]
            world.violations += list_violations(world.configuration, read, after)
            world.fleet = after
            world.swaps += 1
            await world.call_hook(self._name, "after swap", _describe(result))
            if world.lost_write_responses:
                world.lost_write_responses -= 1
                return Failure(
                    "response to the write was lost, and the read-back failed"
                )
            self.fleet = copy.deepcopy(after)
            return Success(self.fleet)


def _describe(result):
    return result.unwrap()["changes"][-1]["what"]


class FakeCoordinator:
    """Coordinator with results set by the scenario."""

    def __init__(self, world, planner):
        self._world, self.planner, self.granted = world, planner, True
        self.lost = []

    def is_planner(self):
        """Return whether this entry plans."""
        return self.planner

    def find_authority(self):
        """Return the authority set by the scenario."""
        return SimpleNamespace(granted=self.granted, reason="")

    async def gather(self, _question):
        """Return the jobs by pool that the scenario set for each entry."""
        return [
            SimpleNamespace(entry=entry, rows=rows)
            for entry, rows in self._world.jobs.items()
        ]

    def list_unreachable(self):
        """Return the unreachable members."""
        return [*self._world.dead, *self.lost]

    async def wait_in_force(self, _key, _version, _timeout):
        """Return the members that do not confirm, as set by the scenario."""
        if self._world.confirm_s:
            known = asyncio.Event()
            at = self._world.at + self._world.confirm_s
            self._world.confirmations.append((at, known))
            await known.wait()
        return list(self._world.unconfirmed)


class FakePlatform:
    """Platform with fixed durations of drains and reboots."""

    def __init__(self, world, name):
        self._world, self._name = world, name

    async def find_state(self, instance):
        """Return the current state of an instance."""
        self._require_up()
        if instance in self._world.hidden:
            raise PlatformUnavailableError("no response for this instance")
        return self._world.states.get(instance, "missing")

    async def list_instances(self):
        """Return the list, without omitted instances."""
        self._require_up()
        names = set(self._world.states) - self._world.omitted
        return SimpleNamespace(instances=dict.fromkeys(names))

    async def drain(self, instance, operation):
        """Drain an instance, once per operation id."""
        await self._call("drain", instance, operation, self._world.drains)

    async def reboot(self, instance, operation):
        """Reboot an instance, once per operation id."""
        await self._call("reboot", instance, operation, self._world.reboots)

    def _require_up(self):
        if self._world.platform_down:
            raise PlatformUnavailableError("down")

    async def _call(self, kind, instance, operation, effects):
        world = self._world
        await world.call_hook(self._name, f"before {kind} call", instance)
        self._require_up()
        if operation not in world.operations:
            world.operations.add(operation)
            recorded = world.fleet["instances"][instance]["state"]
            if recorded not in ("draining", "rebooting", "failed"):
                world.violations.append(f"{kind} of {instance} while {recorded}")
            if kind == "reboot" and world.states[instance] != "drained":
                world.violations.append(f"reboot of {instance} before it was drained")
            effects.append(instance)
            world.states[instance] = "draining" if kind == "drain" else "rebooting"
            duration_s = world.drain_s if kind == "drain" else world.reboot_s
            world.ready_at[instance] = world.at + duration_s
        await world.call_hook(self._name, f"after {kind} call", instance)
