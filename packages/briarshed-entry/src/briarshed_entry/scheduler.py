"""Queued and running jobs of this entry."""

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
    Job,
    Outcome,
    Place,
    Result,
    Steps,
    find_lease_ms,
    refuse,
    run_job,
)
from briarshed_entry.endpoints import Endpoints
from briarshed_entry.logs import log_event

TICK_S = 0.1
"""Period at which waiting teams are considered again, far below the 4 s for urgent."""

REFRESH_S = 1.0
"""Period at which the order takes new running counts of other entries."""

SETTLE_S = 1.0
"""Seconds between fences of an attempt whose end is unknown."""

LEAVING_S = 1.0
"""How long an endpoint that says it is leaving gets nothing.

By then the fleet document names it as leaving.
"""

MAX_RETRY_AFTER_S = 60.0

NEUTRAL = frozenset({"refused", "impossible", "not-allowed", "abandoned"})
"""Results that tell nothing about the endpoint's health.

A job that can never run must not eject the endpoints that say so.
"""

_NO_TEAM = ""


class _Pool:
    """Queued jobs and endpoints of one pool."""

    def __init__(self, name: str, scheduler: Scheduler, slow_start_s: float) -> None:
        self.name = name
        self.queue: FairQueue[_Life] = FairQueue(scheduler.find_load)
        self.placement = Placement(slow_start_s, self._find_pause)
        self.health = PoolHealth()
        self.budget = RetryBudget()
        self.departures = admission.Departures()
        self.shares = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.refreshed_at = 0.0

    def _find_pause(self) -> float:
        return URGENT_FULL_BACKOFF_S if self.queue.count_urgent() else FULL_BACKOFF_S


class _Life:
    """A job of this entry from its acceptance to its outcome."""

    def __init__(self, job: Job, pool: _Pool) -> None:
        self.job = job
        self.pool = pool
        self.line = Flow(job.team or _NO_TEAM, job.urgent)
        self.since = clock.now()
        self.turn: asyncio.Future[Place | Outcome] | None = None
        self.tried: frozenset[str] = frozenset()
        self.place: Place | None = None
        self.sent_at = 0.0
        self.attempts = 0
        self.caller_left = False


class JobRow(NamedTuple):
    """A job as an operator's query shows it; ``age`` is in seconds."""

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
        Jobs by outcome code, attempts, retries and unsettled attempts.
    stopping : bool
        Whether a planned stop was announced; jobs are still accepted until ``drain``.
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
        self._lives: dict[int, _Life] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._queued: Counter[str] = Counter()
        self._held_bytes: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()
        self._parked_in: defaultdict[str, set[str]] = defaultdict(set)
        self._open_running = 0
        self._run_times: dict[str, float] = {}
        self._idle = asyncio.Event()
        self._tick: asyncio.TimerHandle | None = None
        self._update_pools()
        replica.updates.subscribe(self._note_update)

    async def run(self, job: Job) -> Outcome:
        """Run a job to its outcome.

        If the calling task is cancelled because the caller left, a queued job is
        dropped at once, a running idempotent one is fenced, and another one runs to
        its end.
        """
        admitted = self._admit(job)
        if isinstance(admitted, Outcome):
            self.counts[admitted.code] += 1
            return admitted
        life = admitted
        self._lives[id(life)] = life
        # Queued before anything else runs, so that a burst cannot pass the bounds.
        self._enqueue(life)
        task = asyncio.get_running_loop().create_task(self._live(life))
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._forget(life, task))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            life.caller_left = True
            if life.place is None or job.idempotent:
                task.cancel()
            raise

    def check_early(self, name: str, size: int) -> Outcome | None:
        """Return why a job would be refused now, before its body is read.

        Parameters
        ----------
        name : str
            Queue.
        size : int
            Declared bytes of the body; 0 if it declares none.
        """
        if self.draining:
            message = "this entry is stopping"
            return refuse(HTTPStatus.SERVICE_UNAVAILABLE, "stopping", message)
        queue = self._replica.configuration["queues"].get(name)
        if queue is None:
            return refuse(HTTPStatus.NOT_FOUND, "no-such-queue", "no such queue")
        bound = admission.find_exceeded_bound(
            queue, self._queued[name], self._held_bytes[name], size
        )
        if bound:
            wait = self._run_times.get(name, 0.0)
            status = HTTPStatus.TOO_MANY_REQUESTS
            return refuse(status, "queue-full", bound, min(MAX_RETRY_AFTER_S, wait))
        return None

    def list_jobs(self) -> list[JobRow]:
        """Return a row for every queued and running job."""
        now = clock.now()
        return [_make_row(life, now) for life in self._lives.values()]

    def seed(self, number: int) -> None:
        """Make the random choices of endpoints and delays repeatable."""
        self._random.seed(number)

    def count_running_here(self) -> int:
        """Return how many attempts of this entry run or may still run."""
        return sum(pool.placement.count_own() for pool in self._pools.values())

    def announce_stop(self) -> None:
        """Make the entry unready while it still accepts jobs."""
        self.stopping = True

    async def drain(self) -> None:
        """Refuse new jobs, and return when no job and no attempt is left."""
        self.stopping = True
        self.draining = True
        while self._tasks:
            await asyncio.wait(self._tasks)

    def find_load(self, team: str) -> float:
        """Return a team's running jobs over its share."""
        if team == _NO_TEAM:
            return float(self._open_running)
        return self._coordinator.count_running(team) / self._find_share(team)

    # Admission

    def _admit(self, job: Job) -> _Life | Outcome:
        # The callers' port has checked the authority; every start checks it again.
        refusal = self.check_early(job.queue, len(job.body)) or self._check_key(job)
        if refusal is not None:
            return refusal
        queue = self._replica.configuration["queues"][job.queue]
        pool = self._find_pool(queue["pool"])
        wait = self._expect_wait(job, pool)
        left = job.deadline - clock.now()
        run_time = self._run_times.get(job.queue)
        if wait > 0 and wait + (run_time or 0.0) > left:
            message = f"the expected wait of {wait:.1f} s exceeds the deadline"
            status = HTTPStatus.TOO_MANY_REQUESTS
            retry_after = min(MAX_RETRY_AFTER_S, wait)
            return refuse(status, "wait-too-long", message, retry_after)
        return _Life(job, pool)

    def _expect_wait(self, job: Job, pool: _Pool) -> float:
        is_free = pool.placement.has_available(clock.now())
        if is_free and not pool.queue:
            return 0.0
        line = Flow(job.team or _NO_TEAM, job.urgent)
        share = self._find_share(line.team)
        ahead = admission.count_ahead(
            len(pool.queue),
            pool.queue.count_team(line.team),
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

    def _check_right(self, job: Job) -> Outcome | None:
        """Return why the job's key gives no right to start it now, if so."""
        if job.team is None:
            return None
        if not self._coordinator.find_authority().granted:
            return _refuse_without_authority()
        return self._check_key(job)

    def _check_key(self, job: Job) -> Outcome | None:
        """Return why the held configuration gives the job's key no right, if so."""
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

    # Life of a job

    async def _live(self, life: _Life) -> Outcome:
        steps = Steps(
            lambda tried: self._acquire(life, tried),
            lambda place, attempt, result: self._release(life, place, attempt, result),
            lambda: self._may_start_now(life),
            lambda count: self._take_retry(life, count),
        )
        outcome = await run_job(life.job, self._settings, self._endpoints, steps)
        self.counts[outcome.code or "finished"] += 1
        return outcome

    def _forget(self, life: _Life, task: asyncio.Task[Outcome]) -> None:
        # The task may have been cancelled before its first step.
        self._leave_queue(life)
        self._tasks.discard(task)
        del self._lives[id(life)]

    async def _acquire(self, life: _Life, tried: frozenset[str]) -> Place | Outcome:
        life.tried = tried
        if life.turn is None:
            self._enqueue(life)
        assert life.turn is not None
        try:
            refusal = self._check_waiting(life)
            if refusal is not None:
                return refusal
            self._pump(life.pool)
            if not life.turn.done():
                left = life.job.deadline - clock.now()
                await asyncio.wait({life.turn}, timeout=max(0.0, left))
            if not life.turn.done():
                return self._explain_deadline(life)
            found = life.turn.result()
            life.turn = None
            return found
        finally:
            self._leave_queue(life)

    def _check_waiting(self, life: _Life) -> Outcome | None:
        """Return why a job may not wait in the queue, if so."""
        if life.caller_left:
            message = "the caller disconnected"
            return refuse(HTTPStatus.SERVICE_UNAVAILABLE, "caller-left", message)
        if clock.now() >= life.job.deadline:
            return self._explain_deadline(life)
        # Authority is checked at the start, which is the next step for a job that
        # need not wait.
        return self._check_key(life.job)

    def _leave_queue(self, life: _Life) -> None:
        """End the wait of a job that did not use its turn."""
        turn, life.turn = life.turn, None
        if turn is None:
            return
        if turn.done() and isinstance(place := turn.result(), Place):
            life.place = None
            self._free(life.pool, place, life.job.team)
            self._pump(life.pool)
        else:
            self._dequeue(life)

    def _enqueue(self, life: _Life) -> None:
        pool, job, team = life.pool, life.job, life.line.team
        life.turn = asyncio.get_running_loop().create_future()
        if pool.queue.count_team(team) == 0:
            pool.shares += self._find_share(team)
        pool.queue.add(life.line, _job_key(life), life, first=life.attempts > 0)
        self._queued[job.queue] += 1
        self._held_bytes[job.queue] += len(job.body)
        self._note_waiting(team, 1)
        if self._tick is None:
            loop = asyncio.get_running_loop()
            self._tick = loop.call_later(TICK_S, self._run_tick)

    def _dequeue(self, life: _Life) -> None:
        """Take a job out of the queue's accounts, if it is still queued."""
        if life.pool.queue.remove(life.line, _job_key(life)):
            self._note_left_queue(life)

    def _note_left_queue(self, life: _Life) -> None:
        pool, job, team = life.pool, life.job, life.line.team
        if pool.queue.count_team(team) == 0:
            pool.shares = max(0.0, pool.shares - self._find_share(team))
        if len(pool.queue) == 0:
            pool.shares = 0.0
        self._queued[job.queue] -= 1
        self._held_bytes[job.queue] -= len(job.body)
        self._note_waiting(team, -1)

    def _note_waiting(self, team: str, change: int) -> None:
        self._waiting[team] += change
        if team != _NO_TEAM:
            self._coordinator.set_waiting(team, self._waiting[team])

    def _explain_deadline(self, life: _Life) -> Outcome:
        refusal = self._check_right(life.job)
        if refusal is not None:
            return refusal
        if life.pool.queue.is_suspended(life.line.team):
            message = f"team {life.job.team} is at its upper limit"
            status = HTTPStatus.TOO_MANY_REQUESTS
            return refuse(status, "team-limit", message, 1.0)
        message = "no endpoint was free before the deadline"
        return refuse(HTTPStatus.SERVICE_UNAVAILABLE, "no-endpoint-in-time", message)

    def _may_start_now(self, life: _Life) -> bool:
        """Check again right before the first byte, since connecting took time."""
        place = life.place
        return (
            clock.now() < life.job.deadline
            and not life.caller_left
            and place is not None
            and life.pool.placement.has_endpoint(place.endpoint, place.address)
            and self._check_right(life.job) is None
        )

    def _take_retry(self, life: _Life, count: int) -> float | None:
        if life.caller_left or not life.pool.budget.take_token():
            return None
        self.counts["retries"] += 1
        return retries.find_delay(count, self._random.random())

    # Starts and ends

    def _pump(self, pool: _Pool) -> None:
        """Start queued jobs of a pool as long as one can start."""
        set_aside: list[_Life] = []
        now = clock.now()
        while pool.placement.has_available(now):
            choice = pool.queue.choose()
            if choice is None:
                break
            line, key, life = choice
            obstacle = self._coordinator.may_start(life.job.team)
            refusal = self._check_key(life.job)
            if obstacle == "authority":
                refusal = _refuse_without_authority()
            if refusal is None and not obstacle:
                refusal = self._check_time(life, now)
            if refusal is not None:
                self._resolve(life, refusal)
                continue
            if obstacle:
                pool.queue.suspend(line.team)
                self._parked_in[line.team].add(pool.name)
                continue
            found = pool.placement.choose(now, self._random, life.tried)
            if found is None:
                # Only endpoints that this job has tried are free.
                pool.queue.remove(line, key)
                set_aside.append(life)
                continue
            self._start(life, Place(*found), now)
        for life in reversed(set_aside):
            pool.queue.add(life.line, _job_key(life), life, first=True)
        if pool.queue:
            self._set_timer(pool, now)

    def _check_time(self, life: _Life, now: float) -> Outcome | None:
        left = life.job.deadline - now
        run_time = self._run_times.get(life.job.queue)
        if not admission.is_too_late(left, run_time, len(life.pool.queue) - 1):
            return None
        return refuse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "no-endpoint-in-time",
            "a slot became free too late for the usual run time of this queue",
        )

    def _resolve(self, life: _Life, outcome: Outcome) -> None:
        self._dequeue(life)
        assert life.turn is not None
        life.turn.set_result(outcome)

    def _start(self, life: _Life, place: Place, now: float) -> None:
        pool = life.pool
        pool.queue.note_started(life.line, _job_key(life))
        self._note_left_queue(life)
        if life.job.team is None:
            self._open_running += 1
        else:
            self._coordinator.note_started(life.job.team)
        pool.placement.note_started(place.endpoint, now)
        if life.attempts == 0:
            pool.budget.note_first_attempt()
        life.attempts += 1
        life.place = place
        life.sent_at = now
        self.counts["attempts"] += 1
        assert life.turn is not None
        life.turn.set_result(place)

    def _release(self, life: _Life, place: Place, attempt: str, result: Result) -> None:
        now = clock.now()
        life.place = None
        pool = life.pool
        self._judge(life, place, result, now)
        if result.kind in ("lost", "abandoned"):
            # Its bytes may have arrived at any moment until now.
            end = now + find_lease_ms(life.job, self._settings, life.sent_at) / 1000
            self.counts["unsettled"] += 1
            self._spawn(self._settle(pool, place, life.job.team, attempt, end))
        else:
            self._free(pool, place, life.job.team)
        reply = result.reply
        if reply is not None and reply.load is not None:
            pool.placement.note_load(place.endpoint, reply.load.running, now)
        if result.kind == "refused":
            if reply is not None and reply.code == "leaving":
                pool.placement.block(place.endpoint, now + LEAVING_S, now)
            pool.placement.mark_full(place.endpoint, now)
        if result.kind in ("answered", "stopped"):
            # A task that was stopped at its deadline would have run longer still.
            queue = life.job.queue
            average = self._run_times.get(queue)
            taken = now - life.sent_at
            self._run_times[queue] = admission.update_run_time(average, taken)
            pool.departures.note_end(bool(pool.queue), now)
        self._pump(pool)

    def _free(self, pool: _Pool, place: Place, team: str | None) -> None:
        """Count an attempt as ended."""
        pool.placement.note_ended(place.endpoint, place.address, clock.now())
        if team is None:
            self._open_running -= 1
        else:
            self._coordinator.note_ended(team)
        self._reconsider(team or _NO_TEAM)
        pool.queue.refresh(team or _NO_TEAM)

    async def _settle(
        self, pool: _Pool, place: Place, team: str | None, attempt: str, end: float
    ) -> None:
        """Keep an attempt counted until its lease ended or its endpoint says so."""
        timeout = self._settings.endpoints.probe_timeout_ms / 1000
        try:
            while (left := end - clock.now()) > 0:
                try:
                    await self._endpoints.fence(
                        place.address, attempt, min(left, timeout)
                    )
                    return
                except ResponseLostError:
                    await asyncio.sleep(min(SETTLE_S, max(0.0, end - clock.now())))
        finally:
            self.counts["unsettled"] -= 1
            self._free(pool, place, team)
            self._pump(pool)

    def _judge(self, life: _Life, place: Place, result: Result, now: float) -> None:
        """Take a result into account for the endpoint's health."""
        if result.kind in NEUTRAL:
            return
        late = now >= life.job.deadline
        if late and result.kind in ("stopped", "never"):
            # This entry ended a slow task at the deadline.
            return
        if result.kind == "never" and result.reused:
            # The kept connection was broken; the endpoint answered on a new one.
            return
        health = life.pool.health
        failed = result.kind not in ("answered", "too-large")
        life.pool.placement.note_result(place.endpoint, failed, now)
        if failed:
            actions = health.note_failure(place.endpoint, now)
        else:
            actions = health.note_success(place.endpoint)
        self._apply(life.pool, actions, now)

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

    # Wake-ups

    def _run_tick(self) -> None:
        """Consider waiting teams again: a grant or the authority may have come."""
        self._tick = None
        now = clock.now()
        for pool in self._pools.values():
            if not pool.queue:
                continue
            if now - pool.refreshed_at >= REFRESH_S:
                pool.refreshed_at = now
                pool.queue.refresh_all()
            for team in pool.queue.list_suspended():
                pool.queue.resume(team)
            self._pump(pool)
        if any(pool.queue for pool in self._pools.values()):
            loop = asyncio.get_running_loop()
            self._tick = loop.call_later(TICK_S, self._run_tick)

    def _reconsider(self, team: str) -> None:
        for name in self._parked_in.pop(team, ()):
            pool = self._pools.get(name)
            if pool is not None:
                pool.queue.resume(team)
                asyncio.get_running_loop().call_soon(self._pump, pool)

    def _set_timer(self, pool: _Pool, now: float) -> None:
        due = pool.placement.find_next_due()
        if due is None or due - now >= TICK_S:
            return
        if pool.timer is not None:
            pool.timer.cancel()
        loop = asyncio.get_running_loop()
        pool.timer = loop.call_later(max(0.0, due - now), self._pump, pool)

    def _spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
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
                    self._pump(pool)

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
        sites: defaultdict[str, dict[str, EndpointInfo]] = defaultdict(dict)
        for name, instance in self._replica.fleet["instances"].items():
            pool = pools.get(instance["pool"])
            if pool is not None and instance["state"] in ("serving", "returning"):
                site = self._make_site(instance, pool)
                sites[instance["pool"]][name] = site
        for name in set(self._pools) | set(pools):
            pool_state = self._find_pool(name)
            pool_state.placement.update(sites[name], now)
            self._apply(
                pool_state, pool_state.health.set_serving(sites[name], now), now
            )

    def _make_site(self, instance: Instance, pool: Pool) -> EndpointInfo:
        address = instance["address"]
        if ":" not in address.rpartition("]")[2]:
            address = f"{address}:{pool['port']}"
        # One connection is kept for probes and fences.
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


def _job_key(life: _Life) -> str:
    # A caller may submit two jobs with the same id.
    return str(id(life))


def _has_expired(expires_at: float | None) -> bool:
    return expires_at is not None and time.time() >= expires_at


def _make_row(life: _Life, now: float) -> JobRow:
    job = life.job
    queued = life.turn is not None and not life.turn.done()
    state = "queued" if queued else "running" if life.place else "waiting to retry"
    endpoint = life.place.endpoint if life.place else None
    return JobRow(
        job.job_id,
        job.queue,
        job.team,
        job.urgent,
        state,
        endpoint,
        life.attempts,
        now - life.since,
    )
