"""Queueing, starting and accounting of this entry's jobs."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, defaultdict
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

from briarshed import admission, retries
from briarshed.documents import (
    CONFIGURATION_KEY,
    FLEET_KEY,
    GRANTS_KEY,
    Configuration,
    Instance,
    Pool,
)
from briarshed.evacuations import is_evacuated
from briarshed.events import ENDPOINT_EJECTED, ENDPOINT_READMITTED
from briarshed.exceptions import ResponseLostError
from briarshed.fairness import FairQueue, Flow
from briarshed.health import Action, Ejected, PoolHealth
from briarshed.placement import (
    FULL_BACKOFF_S,
    URGENT_FULL_BACKOFF_S,
    EndpointInfo,
    Placement,
)
from briarshed.retries import RetryBudget
from briarshed.settings import Settings
from briarshed_entry import clock
from briarshed_entry.dispatch import (
    Assignment,
    Job,
    Outcome,
    Result,
    SchedulerHooks,
    find_lease_ms,
    refuse,
    run_job,
)
from briarshed_entry.endpoints import Endpoints
from briarshed_entry.logs import log_event

TICK_S = 0.1
"""Period of the check of suspended teams; urgent jobs must start within 4 s."""

LOAD_REFRESH_INTERVAL_S = 1.0
"""Period at which the fair queues use new running counts of other entries."""

FENCE_RETRY_INTERVAL_S = 1.0
"""Time between attempts to fence a task whose state is unknown."""

LEAVING_BLOCK_S = 1.0
"""Time for which an endpoint that reports that it is leaving gets no jobs.

By the end of it, the fleet document has the endpoint as leaving.
"""

MAX_RETRY_AFTER_S = 60.0

NEUTRAL_RESULTS = frozenset({"refused", "impossible", "not-allowed", "abandoned"})
"""Results that do not affect the endpoint's health.

A job that no endpoint can run must not eject the endpoints that reject it.
"""

_NO_TEAM = ""


class _Pool:
    """Queued jobs and endpoints of one pool."""

    def __init__(self, name: str, scheduler: Scheduler, slow_start_s: float) -> None:
        self.name = name
        self.queue: FairQueue[_ActiveJob] = FairQueue(scheduler.find_load)
        self.placement = Placement(slow_start_s, self._find_backoff)
        self.health = PoolHealth()
        self.budget = RetryBudget()
        self.departures = admission.Departures()
        self.shares = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.refreshed_at = 0.0

    def _find_backoff(self) -> float:
        return URGENT_FULL_BACKOFF_S if self.queue.count_urgent() else FULL_BACKOFF_S


class _ActiveJob:
    """A job of this entry, from acceptance to outcome."""

    def __init__(self, job: Job, pool: _Pool) -> None:
        self.job = job
        self.pool = pool
        self.flow = Flow(job.team or _NO_TEAM, job.urgent)
        self.accepted_at = clock.now()
        self.decision: asyncio.Future[Assignment | Outcome] | None = None
        self.tried: frozenset[str] = frozenset()
        self.assignment: Assignment | None = None
        self.sent_at = 0.0
        self.attempts = 0
        self.caller_disconnected = False


class JobRow(NamedTuple):
    """A job as shown to operators; ``age`` is in seconds."""

    job_id: str
    queue: str
    team: str | None
    urgent: bool
    state: str
    endpoint: str | None
    attempts: int
    age: float


class Scheduler:
    """Runs the jobs of this entry.

    Attributes
    ----------
    counts : Counter
        Number of jobs by outcome code, and of attempts, retries and unsettled
        attempts.
    stopping : bool
        Whether a planned stop was announced; jobs are accepted until ``drain``.
    draining : bool
        Whether new jobs are refused.
    """

    def __init__(
        self, settings: Settings, replica: Any, coordinator: Any, endpoints: Endpoints
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.stopping = False
        self.draining = False
        self._settings = settings
        self._replica = replica
        self._coordinator = coordinator
        self._endpoints = endpoints
        self._random = random.Random()
        self._pools: dict[str, _Pool] = {}
        self._active_jobs: dict[int, _ActiveJob] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._queued: Counter[str] = Counter()
        self._queued_bytes: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()
        self._suspended_in: defaultdict[str, set[str]] = defaultdict(set)
        self._open_running = 0
        self._run_times: dict[str, float] = {}
        self._idle = asyncio.Event()
        self._tick: asyncio.TimerHandle | None = None
        self._update_pools()
        replica.updates.subscribe(self._note_update)

    async def run(self, job: Job) -> Outcome:
        """Run a job to its outcome.

        If the calling task is cancelled because the caller disconnected, a queued job
        is dropped at once, a running idempotent job is fenced, and any other running
        job continues.
        """
        admitted = self._admit(job)
        if isinstance(admitted, Outcome):
            self.counts[admitted.code] += 1
            return admitted
        active = admitted
        self._active_jobs[id(active)] = active
        # Queued without a yield to other tasks, so that a burst cannot exceed the
        # bounds of the queue.
        self._enqueue(active)
        task = asyncio.get_running_loop().create_task(self._run_to_outcome(active))
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._remove_job(active, task))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            active.caller_disconnected = True
            if active.assignment is None or job.idempotent:
                task.cancel()
            raise

    def check_early(self, name: str, size: int) -> Outcome | None:
        """Return the refusal of a job before its body is read, if it is refused.

        Parameters
        ----------
        name : str
            Queue.
        size : int
            Declared bytes of the body; 0 if the length is not declared.
        """
        if self.draining:
            message = "this entry is stopping"
            return refuse(HTTPStatus.SERVICE_UNAVAILABLE, "stopping", message)
        queue = self._replica.configuration["queues"].get(name)
        if queue is None:
            return refuse(HTTPStatus.NOT_FOUND, "no-such-queue", "no such queue")
        bound = admission.find_exceeded_bound(
            queue, self._queued[name], self._queued_bytes[name], size
        )
        if bound:
            wait = self._run_times.get(name, 0.0)
            status = HTTPStatus.TOO_MANY_REQUESTS
            return refuse(status, "queue-full", bound, min(MAX_RETRY_AFTER_S, wait))
        return None

    def list_jobs(self) -> list[JobRow]:
        """Return a row for each queued and running job."""
        now = clock.now()
        return [_make_row(active, now) for active in self._active_jobs.values()]

    def seed(self, number: int) -> None:
        """Seed the random choices of endpoints and delays."""
        self._random.seed(number)

    def count_running_here(self) -> int:
        """Return how many attempts of this entry run or may still run."""
        return sum(pool.placement.count_own() for pool in self._pools.values())

    def announce_stop(self) -> None:
        """Report the entry as not ready while it still accepts jobs."""
        self.stopping = True

    async def drain(self) -> None:
        """Refuse new jobs, and wait until all jobs and attempts have ended."""
        self.stopping = True
        self.draining = True
        while self._tasks:
            await asyncio.wait(self._tasks)

    def find_load(self, team: str) -> float:
        """Return a team's running jobs divided by its share."""
        if team == _NO_TEAM:
            return float(self._open_running)
        return self._coordinator.count_running(team) / self._find_share(team)

    # Admission

    def _admit(self, job: Job) -> _ActiveJob | Outcome:
        # The request handler has checked the authority; each start checks it again.
        refusal = self.check_early(job.queue, len(job.body)) or self._check_key(job)
        if refusal is not None:
            return refusal
        queue = self._replica.configuration["queues"][job.queue]
        pool = self._find_pool(queue["pool"])
        wait = self._estimate_wait(job, pool)
        left = job.deadline - clock.now()
        run_time = self._run_times.get(job.queue)
        if wait > 0 and wait + (run_time or 0.0) > left:
            message = f"the expected wait of {wait:.1f} s exceeds the deadline"
            status = HTTPStatus.TOO_MANY_REQUESTS
            retry_after = min(MAX_RETRY_AFTER_S, wait)
            return refuse(status, "wait-too-long", message, retry_after)
        return _ActiveJob(job, pool)

    def _estimate_wait(self, job: Job, pool: _Pool) -> float:
        is_free = pool.placement.has_available(clock.now())
        if is_free and not pool.queue:
            return 0.0
        flow = Flow(job.team or _NO_TEAM, job.urgent)
        share = self._find_share(flow.team)
        ahead = admission.count_ahead(
            len(pool.queue),
            pool.queue.count_team(flow.team),
            share,
            pool.shares + share,
        )
        if job.urgent:
            urgent = pool.queue.count_urgent() * admission.URGENT_WAIT_FACTOR
            ahead = min(ahead, urgent)
        entries = max(1, len(self._replica.members["members"]))
        slots = pool.placement.count_slots()
        own = pool.placement.count_own()
        return admission.estimate_wait(
            ahead,
            self._run_times.get(job.queue),
            max(slots / entries, own),
            pool.departures.interval,
        )

    def _check_authorization(self, job: Job) -> Outcome | None:
        """Return the refusal if this entry may not start the job now."""
        if job.team is None:
            return None
        if not self._coordinator.find_authority().granted:
            return _refuse_without_authority()
        return self._check_key(job)

    def _check_key(self, job: Job) -> Outcome | None:
        """Return the refusal if the configuration does not allow the job's key."""
        if job.team is None:
            return None
        configuration: Configuration = self._replica.configuration
        key = configuration["keys"].get(job.key_id or "")
        if key is None or key["team"] != job.team or _has_expired(key["expires_at"]):
            return refuse(
                HTTPStatus.UNAUTHORIZED, "key-not-valid", "the key is not valid"
            )
        queue = configuration["queues"].get(job.queue)
        if queue is None:
            return refuse(HTTPStatus.NOT_FOUND, "no-such-queue", "no such queue")
        if queue["teams"] and job.team not in queue["teams"]:
            message = f"team {job.team} may not use queue {job.queue}"
            return refuse(HTTPStatus.FORBIDDEN, "team-not-allowed", message)
        return None

    # Run of a job

    async def _run_to_outcome(self, active: _ActiveJob) -> Outcome:
        hooks = SchedulerHooks(
            lambda tried: self._acquire(active, tried),
            lambda assignment, attempt, result: self._release(
                active, assignment, attempt, result
            ),
            lambda: self._may_start_now(active),
            lambda count: self._take_retry(active, count),
        )
        outcome = await run_job(active.job, self._settings, self._endpoints, hooks)
        self.counts[outcome.code or "finished"] += 1
        return outcome

    def _remove_job(self, active: _ActiveJob, task: asyncio.Task[Outcome]) -> None:
        # The task may have been cancelled before its first step.
        self._leave_queue(active)
        self._tasks.discard(task)
        del self._active_jobs[id(active)]

    async def _acquire(
        self, active: _ActiveJob, tried: frozenset[str]
    ) -> Assignment | Outcome:
        active.tried = tried
        if active.decision is None:
            self._enqueue(active)
        assert active.decision is not None
        try:
            refusal = self._check_waiting(active)
            if refusal is not None:
                return refusal
            self._dispatch_queued(active.pool)
            if not active.decision.done():
                left = active.job.deadline - clock.now()
                await asyncio.wait({active.decision}, timeout=max(0.0, left))
            if not active.decision.done():
                return self._refuse_at_deadline(active)
            found = active.decision.result()
            active.decision = None
            return found
        finally:
            self._leave_queue(active)

    def _check_waiting(self, active: _ActiveJob) -> Outcome | None:
        """Return the refusal of a job that may not wait in the queue."""
        if active.caller_disconnected:
            message = "the caller disconnected"
            return refuse(HTTPStatus.SERVICE_UNAVAILABLE, "caller-left", message)
        if clock.now() >= active.job.deadline:
            return self._refuse_at_deadline(active)
        # Authority is checked at the start, which follows at once for a job that
        # does not have to wait.
        return self._check_key(active.job)

    def _leave_queue(self, active: _ActiveJob) -> None:
        """Remove a job from the queue, or return its unused assignment."""
        decision, active.decision = active.decision, None
        if decision is None:
            return
        if decision.done() and isinstance(assignment := decision.result(), Assignment):
            active.assignment = None
            self._note_attempt_ended(active.pool, assignment, active.job.team)
            self._dispatch_queued(active.pool)
        else:
            self._dequeue(active)

    def _enqueue(self, active: _ActiveJob) -> None:
        pool, job, team = active.pool, active.job, active.flow.team
        active.decision = asyncio.get_running_loop().create_future()
        if pool.queue.count_team(team) == 0:
            pool.shares += self._find_share(team)
        pool.queue.add(active.flow, _job_key(active), active, first=active.attempts > 0)
        self._queued[job.queue] += 1
        self._queued_bytes[job.queue] += len(job.body)
        self._note_waiting(team, 1)
        if self._tick is None:
            loop = asyncio.get_running_loop()
            self._tick = loop.call_later(TICK_S, self._run_tick)

    def _dequeue(self, active: _ActiveJob) -> None:
        """Remove a job from the queue and its counts, if it is still queued."""
        if active.pool.queue.remove(active.flow, _job_key(active)):
            self._note_left_queue(active)

    def _note_left_queue(self, active: _ActiveJob) -> None:
        pool, job, team = active.pool, active.job, active.flow.team
        if pool.queue.count_team(team) == 0:
            pool.shares = max(0.0, pool.shares - self._find_share(team))
        if len(pool.queue) == 0:
            pool.shares = 0.0
        self._queued[job.queue] -= 1
        self._queued_bytes[job.queue] -= len(job.body)
        self._note_waiting(team, -1)

    def _note_waiting(self, team: str, change: int) -> None:
        self._waiting[team] += change
        if team != _NO_TEAM:
            self._coordinator.set_waiting(team, self._waiting[team])

    def _refuse_at_deadline(self, active: _ActiveJob) -> Outcome:
        refusal = self._check_authorization(active.job)
        if refusal is not None:
            return refusal
        if active.pool.queue.is_suspended(active.flow.team):
            message = f"team {active.job.team} is at its upper limit"
            status = HTTPStatus.TOO_MANY_REQUESTS
            return refuse(status, "team-limit", message, 1.0)
        message = "no endpoint was free before the deadline"
        return refuse(HTTPStatus.SERVICE_UNAVAILABLE, "no-endpoint-in-time", message)

    def _may_start_now(self, active: _ActiveJob) -> bool:
        """Return whether the attempt may still start, just before its first byte.

        Connecting may have taken long.
        """
        assignment = active.assignment
        return (
            clock.now() < active.job.deadline
            and not active.caller_disconnected
            and assignment is not None
            and active.pool.placement.has_endpoint(
                assignment.endpoint, assignment.address
            )
            and self._check_authorization(active.job) is None
        )

    def _take_retry(self, active: _ActiveJob, count: int) -> float | None:
        if active.caller_disconnected or not active.pool.budget.take_token():
            return None
        self.counts["retries"] += 1
        return retries.find_delay(count, self._random.random())

    # Starts and ends

    def _dispatch_queued(self, pool: _Pool) -> None:
        """Start queued jobs of a pool while one can start."""
        deferred: list[_ActiveJob] = []
        now = clock.now()
        while pool.placement.has_available(now):
            choice = pool.queue.choose()
            if choice is None:
                break
            flow, key, active = choice
            blocked_by = self._coordinator.may_start(active.job.team)
            refusal = self._check_key(active.job)
            if blocked_by == "authority":
                refusal = _refuse_without_authority()
            if refusal is None and not blocked_by:
                refusal = self._check_remaining_time(active, now)
            if refusal is not None:
                self._resolve(active, refusal)
                continue
            if blocked_by:
                pool.queue.suspend(flow.team)
                self._suspended_in[flow.team].add(pool.name)
                continue
            found = pool.placement.choose(now, self._random, active.tried)
            if found is None:
                # Only endpoints that this job has already tried are free.
                pool.queue.remove(flow, key)
                deferred.append(active)
                continue
            self._start(active, Assignment(*found), now)
        for active in reversed(deferred):
            pool.queue.add(active.flow, _job_key(active), active, first=True)
        if pool.queue:
            self._set_timer(pool, now)

    def _check_remaining_time(self, active: _ActiveJob, now: float) -> Outcome | None:
        left = active.job.deadline - now
        run_time = self._run_times.get(active.job.queue)
        if not admission.is_too_late(left, run_time, len(active.pool.queue) - 1):
            return None
        return refuse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "no-endpoint-in-time",
            "a slot became free too late for the usual run time of this queue",
        )

    def _resolve(self, active: _ActiveJob, outcome: Outcome) -> None:
        self._dequeue(active)
        assert active.decision is not None
        active.decision.set_result(outcome)

    def _start(self, active: _ActiveJob, assignment: Assignment, now: float) -> None:
        pool = active.pool
        pool.queue.note_started(active.flow, _job_key(active))
        self._note_left_queue(active)
        if active.job.team is None:
            self._open_running += 1
        else:
            self._coordinator.note_started(active.job.team)
        pool.placement.note_started(assignment.endpoint, now)
        if active.attempts == 0:
            pool.budget.note_first_attempt()
        active.attempts += 1
        active.assignment = assignment
        active.sent_at = now
        self.counts["attempts"] += 1
        assert active.decision is not None
        active.decision.set_result(assignment)

    def _release(
        self, active: _ActiveJob, assignment: Assignment, attempt: str, result: Result
    ) -> None:
        now = clock.now()
        active.assignment = None
        pool = active.pool
        self._update_health(active, assignment, result, now)
        if result.kind in ("lost", "abandoned"):
            # The request may have arrived at any time until now, and its lease
            # starts then.
            end = now + find_lease_ms(active.job, self._settings, active.sent_at) / 1000
            self.counts["unsettled"] += 1
            self._spawn(
                self._fence_until_settled(
                    pool, assignment, active.job.team, attempt, end
                )
            )
        else:
            self._note_attempt_ended(pool, assignment, active.job.team)
        reply = result.reply
        if reply is not None and reply.load is not None:
            pool.placement.note_load(assignment.endpoint, reply.load.running, now)
        if result.kind == "refused":
            if reply is not None and reply.code == "leaving":
                pool.placement.block(assignment.endpoint, now + LEAVING_BLOCK_S, now)
            pool.placement.mark_full(assignment.endpoint, now)
        if result.kind in ("answered", "stopped"):
            # A task that was stopped at its deadline counts too: it would have run
            # even longer.
            queue = active.job.queue
            average = self._run_times.get(queue)
            duration = now - active.sent_at
            self._run_times[queue] = admission.update_run_time(average, duration)
            pool.departures.note_end(bool(pool.queue), now)
        self._dispatch_queued(pool)

    def _note_attempt_ended(
        self, pool: _Pool, assignment: Assignment, team: str | None
    ) -> None:
        """Count an attempt as ended."""
        pool.placement.note_ended(assignment.endpoint, assignment.address, clock.now())
        if team is None:
            self._open_running -= 1
        else:
            self._coordinator.note_ended(team)
        self._resume_team(team or _NO_TEAM)
        pool.queue.refresh(team or _NO_TEAM)

    async def _fence_until_settled(
        self,
        pool: _Pool,
        assignment: Assignment,
        team: str | None,
        attempt: str,
        end: float,
    ) -> None:
        """Count an attempt as running until it is fenced or its lease has expired."""
        timeout = self._settings.endpoints.probe_timeout_ms / 1000
        try:
            while (left := end - clock.now()) > 0:
                try:
                    await self._endpoints.fence(
                        assignment.address, attempt, min(left, timeout)
                    )
                    return
                except ResponseLostError:
                    await asyncio.sleep(
                        min(FENCE_RETRY_INTERVAL_S, max(0.0, end - clock.now()))
                    )
        finally:
            self.counts["unsettled"] -= 1
            self._note_attempt_ended(pool, assignment, team)
            self._dispatch_queued(pool)

    def _update_health(
        self, active: _ActiveJob, assignment: Assignment, result: Result, now: float
    ) -> None:
        """Record a result for outlier ejection of the endpoint."""
        if result.kind in NEUTRAL_RESULTS:
            return
        late = now >= active.job.deadline
        if late and result.kind in ("stopped", "never"):
            # This entry fenced a slow task at the deadline.
            return
        if result.kind == "never" and result.reused:
            # A reused connection was broken; the endpoint answered on a new one.
            return
        health = active.pool.health
        failed = result.kind not in ("answered", "too-large")
        active.pool.placement.note_result(assignment.endpoint, failed, now)
        if failed:
            actions = health.note_failure(assignment.endpoint, now)
        else:
            actions = health.note_success(assignment.endpoint)
        self._apply(active.pool, actions, now)

    def _apply(self, pool: _Pool, actions: list[Action], now: float) -> None:
        for action in actions:
            address = pool.placement.find_address(action.endpoint)
            if isinstance(action, Ejected):
                pool.placement.set_probation(action.endpoint, True, now)
                pool.placement.block(action.endpoint, action.until, now)
                log_event(ENDPOINT_EJECTED, address=address, seconds=action.seconds)
            else:
                pool.placement.set_probation(action.endpoint, False, now)
                log_event(ENDPOINT_READMITTED, address=address)

    # Timers

    def _run_tick(self) -> None:
        """Resume suspended teams, in case a grant or the authority was gained."""
        self._tick = None
        now = clock.now()
        for pool in self._pools.values():
            if not pool.queue:
                continue
            if now - pool.refreshed_at >= LOAD_REFRESH_INTERVAL_S:
                pool.refreshed_at = now
                pool.queue.refresh_all()
            for team in pool.queue.list_suspended():
                pool.queue.resume(team)
            self._dispatch_queued(pool)
        if any(pool.queue for pool in self._pools.values()):
            loop = asyncio.get_running_loop()
            self._tick = loop.call_later(TICK_S, self._run_tick)

    def _resume_team(self, team: str) -> None:
        for name in self._suspended_in.pop(team, ()):
            pool = self._pools.get(name)
            if pool is not None:
                pool.queue.resume(team)
                asyncio.get_running_loop().call_soon(self._dispatch_queued, pool)

    def _set_timer(self, pool: _Pool, now: float) -> None:
        due = pool.placement.find_next_due()
        if due is None or due - now >= TICK_S:
            return
        if pool.timer is not None:
            pool.timer.cancel()
        loop = asyncio.get_running_loop()
        pool.timer = loop.call_later(max(0.0, due - now), self._dispatch_queued, pool)

    def _spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Documents

    def _note_update(self, key: str) -> None:
        if key in (CONFIGURATION_KEY, FLEET_KEY):
            self._update_pools()
        if key in (CONFIGURATION_KEY, FLEET_KEY, GRANTS_KEY):
            for pool in list(self._pools.values()):
                for team in pool.queue.list_suspended():
                    pool.queue.resume(team)
                if pool.queue:
                    self._dispatch_queued(pool)

    def _find_pool(self, name: str) -> _Pool:
        pool = self._pools.get(name)
        if pool is None:
            slow_start_s = self._settings.timing.slow_start_ms / 1000
            pool = self._pools[name] = _Pool(name, self, slow_start_s)
        return pool

    def _find_share(self, team: str) -> float:
        found = self._replica.configuration["teams"].get(team)
        return found["share"] if found is not None and found["share"] > 0 else 1.0

    def _update_pools(self) -> None:
        now = clock.now()
        pools: Mapping[str, Pool] = self._replica.configuration["pools"]
        infos: defaultdict[str, dict[str, EndpointInfo]] = defaultdict(dict)
        for name, instance in self._replica.fleet["instances"].items():
            pool = pools.get(instance["pool"])
            if is_evacuated(self._replica.fleet, instance):
                continue
            if pool is not None and instance["state"] in ("serving", "returning"):
                info = self._make_endpoint_info(instance, pool)
                infos[instance["pool"]][name] = info
        for name in set(self._pools) | set(pools):
            pool_state = self._find_pool(name)
            pool_state.placement.update(infos[name], now)
            self._apply(
                pool_state, pool_state.health.set_serving(infos[name], now), now
            )

    def _make_endpoint_info(self, instance: Instance, pool: Pool) -> EndpointInfo:
        address = instance["address"]
        if ":" not in address.rpartition("]")[2]:
            address = f"{address}:{pool['port']}"
        # One connection is reserved for probes and fences.
        limit = max(1, self._settings.endpoints.connections - 1)
        return EndpointInfo(
            address,
            instance["data_centre"] == self._settings.data_centre,
            pool["slots"],
            limit,
            instance["state"] == "returning",
        )


def _refuse_without_authority() -> Outcome:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "configuration-not-fresh",
        "this entry cannot confirm that its configuration is current",
    )


def _job_key(active: _ActiveJob) -> str:
    # Callers may submit two jobs with the same id.
    return str(id(active))


def _has_expired(expires_at: float | None) -> bool:
    return expires_at is not None and time.time() >= expires_at


def _make_row(active: _ActiveJob, now: float) -> JobRow:
    job = active.job
    queued = active.decision is not None and not active.decision.done()
    state = (
        "queued" if queued else "running" if active.assignment else "waiting to retry"
    )
    endpoint = active.assignment.endpoint if active.assignment else None
    return JobRow(
        job.job_id,
        job.queue,
        job.team,
        job.urgent,
        state,
        endpoint,
        active.attempts,
        now - active.accepted_at,
    )
