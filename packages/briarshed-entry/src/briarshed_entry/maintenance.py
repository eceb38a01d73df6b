"""Planning of waves and moves, and the health checks that it needs.

In each data centre, the first live entry by name checks the endpoints. For a data
centre without a live entry, the planner uses the platform's list instead. Every entry
records the failures and returns that it has observed. One entry plans for the fleet,
but correctness does not depend on there being only one: each change of the fleet
document is decided on the document that it replaces.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from types import TracebackType
from typing import Any, Self

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from briarshed.commands import Show
from briarshed.documents import FLEET_KEY, Fleet, Instance
from briarshed.events import (
    INSTANCE_FAILED,
    INSTANCE_MOVED,
    LOOP_FAILED,
    MOVE_PLANNED,
    PLATFORM_FAILING,
    WAVE_DONE,
    WAVE_HALTED,
    WAVE_STARTED,
)
from briarshed.exceptions import BriarshedError, PlatformUnavailableError
from briarshed.moves import MoveState, choose_moves, note_cost, note_demand, note_fleet
from briarshed.queries import encode_query
from briarshed.settings import Settings
from briarshed.waves import (
    ChangeInfo,
    Move,
    Observation,
    PlanningContext,
    PlatformCall,
    Step,
    apply_steps,
    decide_steps,
    has_finished_wave,
    list_platform_calls,
)
from briarshed_entry.clock import now
from briarshed_entry.logs import log_event

MS_PER_S = 1_000

CHECK_INTERVAL_S = 1.0
"""Time between health checks of an instance that is not known to be healthy."""

HEALTHY_CHECK_INTERVAL_S = 5.0
"""Time between checks of a serving instance whose last check passed.

Longer than ``CHECK_INTERVAL_S``, since most instances are healthy: with 180 instances
in a data centre, a check of each every second would exceed the share of processor time
of an entry.
"""

CHECK_TIMEOUT_S = 1.0
MAX_CONCURRENT_CHECKS = 32

DEMAND_SAMPLE_INTERVAL_S = 5.0
"""Time between samples of demand, each of which queries all entries."""

MAX_OBSERVATION_AGE_S = 5.0
"""Age above which an observation is ignored.

This entry may have been suspended since it made the observation.
"""

CHECKED_STATES = frozenset({"serving", "leaving", "returning", "failed"})
POLLED_STATES = frozenset({"draining", "rebooting"})
"""States in which the planner asks the platform for the state of an instance."""

HealthCheck = Callable[[str], Awaitable[bool]]

_JOBS_BY_POOL = encode_query(Show("jobs", group=("pool",)))


class _InstanceMonitor:
    """Observations of an instance since it was first seen in its present state."""

    def __init__(self, instance: Instance, at: float) -> None:
        self.state = instance["state"]
        self.since = instance["since"]
        self.first_seen = at
        self.next_check = at
        self.platform_state = ""
        self.passes = 0
        self.failures = 0
        self.confirmed = False
        self.confirmation_started = False

    def matches(self, instance: Instance) -> bool:
        return (self.state, self.since) == (instance["state"], instance["since"])

    def note_health(self, healthy: bool) -> None:
        self.passes = self.passes + 1 if healthy else 0
        self.failures = 0 if healthy else self.failures + 1

    def observe(self, at: float) -> Observation:
        return Observation(
            self.state,
            self.since,
            at - self.first_seen,
            self.platform_state,
            self.passes,
            self.failures,
            self.confirmed,
        )


class Maintenance:
    """Runs waves, moves and health checks; an asynchronous context manager.

    Parameters
    ----------
    settings : Settings
    replica : Replica
    coordinator : Coordinator
    platform : PlatformClient
    check : callable
        ``async check(address) -> bool``; returns whether an endpoint is healthy.
    """

    def __init__(
        self,
        settings: Settings,
        replica: Any,
        coordinator: Any,
        platform: Any,
        check: HealthCheck,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._coordinator = coordinator
        self._platform = platform
        self._check = check
        self._monitors: dict[str, _InstanceMonitor] = {}
        self._last_fleet: Fleet | None = None
        self._moves = MoveState()
        self._drain_started_at: dict[str, float] = {}
        self._platform_failed = False
        self._listed_at: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._due = asyncio.Event()
        self._subscription: Any = None

    async def __aenter__(self) -> Self:
        self._subscription = self._replica.updates.subscribe(self._note_update)
        plan_s = self._settings.timing.plan_ms / MS_PER_S
        self._start(
            self._repeat("health checks", self.check_instances, CHECK_INTERVAL_S)
        )
        self._start(self._repeat("planner", self.plan_once, plan_s, self._due))
        self._start(
            self._repeat("demand", self.sample_demand, DEMAND_SAMPLE_INTERVAL_S)
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._subscription is not None:
            self._subscription.dispose()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _note_update(self, key: str) -> None:
        if key == FLEET_KEY:
            self._due.set()

    async def _repeat(
        self,
        name: str,
        function: Callable[[], Awaitable[Any]],
        pause_s: float,
        due: asyncio.Event | None = None,
    ) -> None:
        """Run a function periodically; setting the event ends a pause early."""
        due = due or asyncio.Event()
        while True:
            due.clear()
            try:
                await function()
            except Exception as error:
                # An error in one round must not stop maintenance.
                log_event(LOOP_FAILED, task=name, error=repr(error))
                await asyncio.sleep(pause_s)
            with suppress(TimeoutError):
                await asyncio.wait_for(due.wait(), pause_s)

    # Health checks

    async def check_instances(self) -> None:
        """Check the endpoints that are due, if this entry checks its data centre."""
        self._apply_fleet_update()
        at = now()
        own_instances = [
            (self._monitors[name], instance)
            for name, instance in self._replica.fleet["instances"].items()
            if instance["data_centre"] == self._settings.data_centre
        ]
        if not self._is_checker(self._settings.data_centre):
            # Another entry checks this data centre now. If this entry takes over again,
            # its old counts must not be used.
            for monitor, _ in own_instances:
                monitor.passes = monitor.failures = 0
            return
        due = [
            (monitor, instance["address"])
            for monitor, instance in own_instances
            if monitor.state in CHECKED_STATES and monitor.next_check <= at
        ]
        limit = asyncio.Semaphore(MAX_CONCURRENT_CHECKS)
        await asyncio.gather(*(self._check_one(*item, limit) for item in due))

    async def _check_one(
        self, monitor: _InstanceMonitor, address: str, limit: asyncio.Semaphore
    ) -> None:
        async with limit:
            try:
                async with asyncio.timeout(CHECK_TIMEOUT_S):
                    healthy = await self._check(address)
            except (BriarshedError, OSError, TimeoutError):
                healthy = False
        monitor.note_health(healthy)
        is_stable = healthy and monitor.state == "serving"
        monitor.next_check = now() + (HEALTHY_CHECK_INTERVAL_S if is_stable else 0.0)

    def _is_checker(self, data_centre: str) -> bool:
        """Return whether this entry is the first live one of a data centre by name."""
        return self._list_live_entries(data_centre)[:1] == [self._settings.name]

    def _list_live_entries(self, data_centre: str) -> list[str]:
        unreached = {
            name.split("/")[0] for name in self._coordinator.list_unreachable()
        }
        members = self._replica.members["members"]
        return sorted(
            name
            for name, member in members.items()
            if member["data_centre"] == data_centre and name not in unreached
        )

    # Planning

    async def plan_once(self) -> bool:
        """Run one planning round; return whether the fleet document changed.

        An entry that is not the planner only records failures and returns.
        """
        self._apply_fleet_update()
        is_planner = self._coordinator.is_planner()
        if is_planner:
            await self._poll_platform()
        moves = self._choose_moves() if is_planner else []
        changed = await self._change_fleet(is_planner, moves)
        if is_planner:
            self._start_confirmations()
            await self._call_platform()
        return changed

    def _apply_fleet_update(self) -> None:
        fleet = self._replica.fleet
        if fleet is self._last_fleet:
            return
        at = now()
        instances = fleet["instances"]
        for name, instance in instances.items():
            monitor = self._monitors.get(name)
            if monitor is None or not monitor.matches(instance):
                self._monitors[name] = _InstanceMonitor(instance, at)
                self._record_stop_duration(name, instance, at)
        for name in set(self._monitors) - set(instances):
            del self._monitors[name]
        if self._last_fleet is not None:
            self._moves = note_fleet(self._moves, self._last_fleet, fleet, at)
            if self._coordinator.is_planner():
                self._log_waves(self._last_fleet, fleet)
        self._last_fleet = fleet

    def _record_stop_duration(self, name: str, instance: Instance, at: float) -> None:
        if instance["state"] == "draining":
            self._drain_started_at[name] = at
            return
        started = self._drain_started_at.get(name)
        if started is not None and instance["state"] == "returning":
            self._moves = note_cost(self._moves, at - started)
        if instance["state"] != "rebooting":
            self._drain_started_at.pop(name, None)

    async def _poll_platform(self) -> None:
        fleet = self._replica.fleet
        names = [
            name
            for name, instance in fleet["instances"].items()
            if instance["state"] in POLLED_STATES
            or (instance["state"] == "failed" and instance["operation"] is not None)
        ]
        await asyncio.gather(*(self._poll_one(name) for name in names))
        await self._check_by_list(fleet)

    async def _poll_one(self, name: str) -> None:
        monitor = self._monitors[name]
        try:
            monitor.platform_state = await self._platform.find_state(name)
        except PlatformUnavailableError as error:
            monitor.platform_state = ""
            self._note_platform_result(error)
        else:
            self._note_platform_result(None)

    async def _check_by_list(self, fleet: Fleet) -> None:
        """Use the platform's list for data centres without a live entry."""
        data_centres = {item["data_centre"] for item in fleet["instances"].values()}
        unmonitored = {
            data_centre
            for data_centre in data_centres
            if not self._list_live_entries(data_centre)
        }
        self._reset_counts(fleet, unmonitored)
        poll_s = self._settings.platform.poll_ms / MS_PER_S
        recent = self._listed_at is not None and now() - self._listed_at < poll_s
        if not unmonitored or recent:
            return
        self._listed_at = now()
        try:
            listing = await self._platform.list_instances()
        except PlatformUnavailableError as error:
            self._note_platform_result(error)
            return
        for name, instance in fleet["instances"].items():
            monitor = self._monitors.get(name)
            if monitor is None or instance["data_centre"] not in unmonitored:
                continue
            if name not in listing.instances:
                # The list may omit a live instance; the state query does not lag.
                await self._poll_one(name)
            if name in listing.instances or monitor.platform_state == "live":
                monitor.note_health(True)
            elif monitor.platform_state == "missing":
                monitor.note_health(False)

    def _reset_counts(self, fleet: Fleet, unmonitored: set[str]) -> None:
        """Reset the counts of data centres that have a live entry again."""
        own = self._settings.data_centre
        for name, instance in fleet["instances"].items():
            monitor = self._monitors.get(name)
            if monitor is not None and instance["data_centre"] not in (
                own,
                *unmonitored,
            ):
                monitor.passes = monitor.failures = 0

    def _note_platform_result(self, error: PlatformUnavailableError | None) -> None:
        if error is not None and not self._platform_failed:
            log_event(PLATFORM_FAILING, error=error.format_message())
        self._platform_failed = error is not None

    async def sample_demand(self) -> None:
        """Record the demand of each pool; only the planner needs it."""
        if not self._coordinator.is_planner():
            return
        demand = await self._gather_demand()
        if demand is None:
            return
        configuration, fleet = self._replica.configuration, self._replica.fleet
        self._moves = note_demand(self._moves, configuration, fleet, demand, now())

    async def _gather_demand(self) -> Mapping[str, float] | None:
        """Return the running and waiting jobs of each pool, at all entries.

        If an entry does not respond, there is no sample: its missing jobs would look
        like idle slots.
        """
        replies = await self._coordinator.gather(_JOBS_BY_POOL)
        responded = {reply.entry for reply in replies}
        if not responded.issuperset(self._replica.members["members"]):
            return None
        demand: dict[str, float] = {}
        for reply in replies:
            for row in reply.rows:
                if row.get("pool") is not None:
                    demand[row["pool"]] = demand.get(row["pool"], 0.0) + row["count"]
        return demand

    def _choose_moves(self) -> list[Move]:
        return choose_moves(
            self._replica.configuration,
            self._replica.fleet,
            self._moves,
            self._settings.weights,
            now(),
        )

    async def _change_fleet(self, is_planner: bool, moves: list[Move]) -> bool:
        observed_at = now()
        observations = self._observe(observed_at)
        applied: list[Step] = []

        def make_context() -> PlanningContext:
            may_stop = is_planner and self._coordinator.find_authority().granted
            slow_start_s = self._settings.timing.slow_start_ms / MS_PER_S
            return PlanningContext(is_planner, may_stop, slow_start_s)

        info = ChangeInfo(
            f"{self._settings.name}-{uuid.uuid4().hex[:12]}",
            time.time(),
            self._settings.name,
        )

        def apply(fleet: Fleet) -> Result[Fleet, str]:
            if now() - observed_at > MAX_OBSERVATION_AGE_S:
                return Failure("the observations are too old")
            configuration = self._replica.configuration
            steps = decide_steps(
                configuration, fleet, observations, make_context(), moves
            )
            if not steps and not (is_planner and has_finished_wave(fleet)):
                return Failure("nothing is due")
            applied[:] = steps
            return Success(apply_steps(fleet, steps, info))

        if not is_successful(apply(self._replica.fleet)):
            # Nothing is due according to the local copy, so the store is not called.
            return False
        try:
            result = await self._replica.change(FLEET_KEY, apply, info.id)
        except BriarshedError:
            # The replica logs the store failure, and the next round retries.
            return False
        if not is_successful(result):
            return False
        self._log_steps(applied)
        self._apply_fleet_update()
        return True

    def _observe(self, at: float) -> dict[str, Observation]:
        return {name: monitor.observe(at) for name, monitor in self._monitors.items()}

    # Confirmation that all members know which instances are leaving

    def _start_confirmations(self) -> None:
        monitors = [
            monitor
            for monitor in self._monitors.values()
            if monitor.state == "leaving" and not monitor.confirmation_started
        ]
        if monitors:
            for monitor in monitors:
                monitor.confirmation_started = True
            self._start(self._confirm(monitors, self._replica.fleet["version"]))

    async def _confirm(self, monitors: list[_InstanceMonitor], version: int) -> None:
        timeout_s = self._settings.timing.in_force_timeout_ms / MS_PER_S
        # Not empty, so that an error leaves the instances unconfirmed.
        waiting: list[str] = ["no member has been asked"]
        try:
            waiting = await self._coordinator.wait_in_force(
                FLEET_KEY, version, timeout_s
            )
        except BriarshedError as error:
            log_event(LOOP_FAILED, task="confirmation", error=error.format_message())
        finally:
            for monitor in monitors:
                monitor.confirmed = not waiting
                # The planner retries a confirmation that failed.
                monitor.confirmation_started = not waiting
            self._due.set()

    # Platform calls

    async def _call_platform(self) -> None:
        observed_at = now()
        calls = list_platform_calls(self._replica.fleet, self._observe(observed_at))
        await asyncio.gather(*(self._call_one(call, observed_at) for call in calls))

    async def _call_one(self, call: PlatformCall, observed_at: float) -> None:
        if now() - observed_at > MAX_OBSERVATION_AGE_S:
            return
        function = self._platform.drain if call.kind == "drain" else None
        try:
            await (function or self._platform.reboot)(call.instance, call.operation)
        except PlatformUnavailableError as error:
            self._note_platform_result(error)

    # Log events

    def _log_steps(self, steps: list[Step]) -> None:
        instances = self._replica.fleet["instances"]
        for step in steps:
            name, after = step.instance, instances.get(step.instance)
            if after is None:
                continue
            if step.event == "fail":
                log_event(INSTANCE_FAILED, instance=name, reason=step.reason)
            elif step.target_pool is not None:
                log_event(
                    MOVE_PLANNED,
                    instance=name,
                    before=after["pool"],
                    after=step.target_pool,
                )
            else:
                log_event(
                    INSTANCE_MOVED,
                    instance=name,
                    before=step.state_before,
                    after=after["state"],
                )

    def _log_waves(self, before: Fleet, after: Fleet) -> None:
        for name, wave in after["waves"].items():
            old = before["waves"].get(name)
            if old is not None and old["state"] == wave["state"]:
                continue
            match wave["state"]:
                case "running":
                    log_event(WAVE_STARTED, wave=name, count=len(wave["pending"]))
                case "halted":
                    log_event(WAVE_HALTED, wave=name, reason=wave["reason"])
                case "done":
                    log_event(WAVE_DONE, wave=name)
