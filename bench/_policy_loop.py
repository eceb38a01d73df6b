"""Discrete-event simulation of entries and endpoints with the real policies.

The simulation follows the scheduler of the entry. It models arrivals, latencies, run
times and responses of endpoints; it does not model team limits, keys and the store.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from itertools import count

from _deployments import SHARES, SLOTS
from _policy_parts import (
    DEADLINE_S,
    RUN_TIMES_S,
    Case,
    Entry,
    Job,
    PoolState,
    SingleSampleRandom,
    is_admitted,
    make_endpoints,
    make_entries,
)
from hdrh.histogram import HdrHistogram

from briarshed import admission, retries
from briarshed.health import Ejected
from briarshed.measures import find_entitlements, measure_share_error

BURST_FACTOR = 5.0
LULL_FACTOR = 0.05
BURST_S = (2, 3)
MEAN_LOAD = 0.6
"""Mean demand over slots; in a burst, demand is 3 times the slots of the pool."""

SATURATED_LOAD = 2.0
LOCAL_DELAY_S = 0.00025
REMOTE_DELAY_S = {3: 0.0015, 4: 0.001}
"""One-way delay between data centres by their number (docs/design.md, section 1.3)."""

FAILURE_S = 0.01
"""Response time of a failing endpoint."""

EARLY_REFUSAL_S = 0.05
TICK_INTERVAL_S = 0.1
PING_INTERVAL_S = 1.0
SAMPLE_INTERVAL_S = 0.2
SETTLE_S = 4.0
MAX_REJECTIONS = 3
MICROSECONDS = 1_000_000
SKEWED_PART = 0.75
SATURATED_PART = 0.98
"""Part of all slots in use from which the fleet counts as saturated."""


class PolicySimulation:
    """Simulation of one case."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.now = 0.0
        self.counts: Counter[str] = Counter()
        self.waits = HdrHistogram(1, 60 * MICROSECONDS, 3)
        self.errors: list[float] = []
        self._samples: list[tuple[dict, dict]] = []
        self._events: list[tuple] = []
        self._numbers = count()
        self._arrivals = random.Random(case.seed)
        draw = (
            SingleSampleRandom
            if case.placement in ("random", "marked")
            else random.Random
        )
        self._rng = draw(case.seed + 1)
        self.pool_instances, self.endpoints = make_endpoints(case)
        self.entries = make_entries(case, self.pool_instances)
        third = max(1, case.entries // 3)
        self._preferred_entries = {
            team: self._arrivals.sample(self.entries, third) for team in SHARES
        }

    def run(self) -> PolicySimulation:
        """Run until all jobs have an outcome, or until the last sample."""
        for entry in self.entries:
            offset = PING_INTERVAL_S * (entry.name + 1) / len(self.entries)
            self._schedule_at(offset, self._ping, entry)
        self._schedule_at(0.0, self._tick)
        self._schedule_at(SETTLE_S, self._sample)
        self._start_burst(0)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            if self.case.saturated and self.now >= self.case.seconds:
                # Only the samples are evaluated, and there are none after this time.
                break
            action(*arguments)
        return self

    def find_share_errors(self) -> tuple[float, float, int]:
        """Return the largest and the overall error, and the number of samples."""
        worst = max(self.errors, default=0.0)
        return worst, measure_share_error(self._samples), len(self.errors)

    def find_wait_ms(self, percentile: float) -> float:
        """Return a percentile of the waiting times of started jobs, in ms."""
        return self.waits.get_value_at_percentile(percentile) / 1_000

    def _schedule_at(self, at: float, action, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action, arguments))

    # Arrivals

    def _start_burst(self, turn: int) -> None:
        """Start the burst of the next queue."""
        if self.now >= self.case.seconds:
            return
        until = min(self.case.seconds, self.now + self._arrivals.randint(*BURST_S))
        for pool, pool_instances in enumerate(self.pool_instances):
            factor = (
                BURST_FACTOR if pool == turn % len(self.pool_instances) else LULL_FACTOR
            )
            load = SATURATED_LOAD if self.case.saturated else MEAN_LOAD * factor
            rate = load * len(pool_instances) * SLOTS / RUN_TIMES_S[pool]
            self._schedule_arrival(pool, rate, until)
        self._schedule_at(until, self._start_burst, turn + 1)

    def _schedule_arrival(self, pool: int, rate: float, until: float) -> None:
        at = self.now + self._arrivals.expovariate(rate)
        if at < until:
            self._schedule_at(at, self._arrive, pool, rate, until)

    def _arrive(self, pool: int, rate: float, until: float) -> None:
        rng = self._arrivals
        team = rng.choice(tuple(SHARES))
        run_s = rng.expovariate(1 / RUN_TIMES_S[pool])
        entry = rng.choice(self.entries)
        if self.case.skewed and rng.random() < SKEWED_PART:
            entry = rng.choice(self._preferred_entries[team])
        self._schedule_arrival(pool, rate, until)
        job = Job(next(self._numbers), pool, team, self.now, run_s)
        self.counts["jobs"] += 1
        state = entry.pools[pool]
        if not is_admitted(self.case, entry, job, self.now):
            self._refuse(job)
            return
        self._enqueue(entry, job)
        self._schedule_at(job.deadline, self._expire, entry, job)
        self._dispatch_queued(entry, state)

    def _refuse(self, job: Job) -> None:
        self.counts["refused"] += 1
        self.counts["early"] += self.now - job.at < EARLY_REFUSAL_S

    def _enqueue(self, entry: Entry, job: Job) -> None:
        state = entry.pools[job.pool]
        flow = entry.make_flow(job)
        if state.queue.count_team(flow.team) == 0:
            state.shares += SHARES[job.team]
        state.queue.add(flow, job.key, job, first=job.attempts > 0)
        job.queued = True

    def _note_dequeued(self, entry: Entry, state: PoolState, job: Job) -> None:
        job.queued = False
        if state.queue.count_team(entry.make_flow(job).team) == 0:
            state.shares = max(0.0, state.shares - SHARES[job.team])
        if not state.queue:
            state.shares = 0.0

    def _expire(self, entry: Entry, job: Job) -> None:
        if job.queued:
            state = entry.pools[job.pool]
            state.queue.remove(entry.make_flow(job), job.key)
            self._note_dequeued(entry, state, job)
            self._refuse(job)

    # Starts and ends

    def _dispatch_queued(self, entry: Entry, state: PoolState) -> None:
        skipped = []
        now = self.now
        while state.placement.has_available(now):
            choice = state.queue.choose()
            if choice is None:
                break
            flow, key, job = choice
            avoid = frozenset(job.tried)
            found = state.placement.choose(now, self._rng, avoid)
            if found is None:
                state.queue.remove(flow, key)
                skipped.append(job)
                continue
            state.queue.note_started(flow, key)
            self._note_dequeued(entry, state, job)
            self._send(entry, state, job, found[0])
        for job in reversed(skipped):
            state.queue.add(entry.make_flow(job), job.key, job, first=True)
        due = state.placement.find_next_due()
        if state.queue and due is not None and due - now < TICK_INTERVAL_S:
            due = max(due, now)
            if not now <= state.timer_at <= due:
                state.timer_at = due
                self._schedule_at(due, self._wake, entry, state)

    def _wake(self, entry: Entry, state: PoolState) -> None:
        state.timer_at = float("inf")
        self._dispatch_queued(entry, state)

    def _send(self, entry: Entry, state: PoolState, job: Job, name: str) -> None:
        entry.running[job.team] += 1
        state.placement.note_started(name, self.now)
        if job.attempts == 0:
            state.budget.note_first_attempt()
            self.counts["first attempts"] += 1
        job.attempts += 1
        self.counts["dispatches"] += 1
        self._schedule_at(
            self.now + self._delay(entry, name),
            self._arrive_at_endpoint,
            entry,
            job,
            name,
        )

    def _delay(self, entry: Entry, name: str) -> float:
        if self.endpoints[name].data_centre == entry.data_centre:
            return LOCAL_DELAY_S
        return REMOTE_DELAY_S[self.case.deployment.data_centres]

    def _arrive_at_endpoint(self, entry: Entry, job: Job, name: str) -> None:
        """Start the job at the endpoint, or refuse it if all slots are in use."""
        endpoint = self.endpoints[name]
        responded_at = self.now + self._delay(entry, name)
        if endpoint.running >= SLOTS:
            self.counts["overbooked"] += 1
            result = "refused", endpoint.running, 0.0
            self._schedule_at(responded_at, self._finish, entry, job, name, *result)
            return
        endpoint.running += 1
        if not job.rejections:
            self.waits.record_value(max(1, int((self.now - job.at) * MICROSECONDS)))
        duration = FAILURE_S if endpoint.failing else job.run_s
        result = "failed" if endpoint.failing else "answered"
        left = max(0.0, job.deadline - self.now)
        if duration > left:
            duration, result = left, "stopped"
        self._schedule_at(
            self.now + duration, self._end, entry, job, name, result, duration
        )

    def _end(
        self, entry: Entry, job: Job, name: str, result: str, duration: float
    ) -> None:
        endpoint = self.endpoints[name]
        endpoint.running -= 1
        responded_at = self.now + self._delay(entry, name)
        running = endpoint.running
        self._schedule_at(
            responded_at, self._finish, entry, job, name, result, running, duration
        )

    def _finish(
        self,
        entry: Entry,
        job: Job,
        name: str,
        result: str,
        running: int,
        duration: float,
    ) -> None:
        """Handle a response at the entry: finish, retry or requeue the job."""
        state = entry.pools[job.pool]
        now = self.now
        entry.running[job.team] -= 1
        if result in ("answered", "failed"):
            self._note_result(state, name, result == "failed")
        state.placement.note_ended(name, name, now)
        state.queue.refresh(job.team)
        if self.case.placement in ("two", "marked"):
            state.placement.note_load(name, running, now)
        if result == "refused":
            state.placement.mark_full(name, now)
            self._requeue(entry, job)
        elif result == "failed":
            self._retry(entry, state, job, name)
        else:
            state.run_time = admission.update_run_time(state.run_time, duration)
            in_time = result == "answered" and now <= job.deadline
            self.counts["good" if in_time else "late"] += 1
        self._dispatch_queued(entry, state)

    def _note_result(self, state: PoolState, name: str, failed: bool) -> None:
        state.placement.note_result(name, failed, self.now)
        if not self.case.ejection:
            return
        health = state.health
        actions = (
            health.note_failure(name, self.now) if failed else health.note_success(name)
        )
        for action in actions:
            ejected = isinstance(action, Ejected)
            state.placement.set_probation(action.endpoint, ejected, self.now)
            if ejected:
                state.placement.block(action.endpoint, action.until, self.now)

    def _retry(self, entry: Entry, state: PoolState, job: Job, name: str) -> None:
        job.rejections += 1
        bounded = self.case.retry == "budget"
        if bounded:
            job.tried.add(name)
        rejected = job.rejections >= MAX_REJECTIONS
        if bounded and (rejected or not state.budget.take_token()):
            self.counts["failed"] += 1
        else:
            delay = retries.find_delay(job.rejections - 1, self._rng.random())
            self._schedule_at(self.now + delay, self._requeue, entry, job)

    def _requeue(self, entry: Entry, job: Job) -> None:
        if self.now >= job.deadline:
            self.counts["late"] += 1
            return
        self._enqueue(entry, job)
        self._dispatch_queued(entry, entry.pools[job.pool])

    # Periodic work

    def _tick(self) -> None:
        for entry in self.entries:
            for state in entry.pools:
                if state.queue:
                    self._dispatch_queued(entry, state)
        if self.now < self.case.seconds + DEADLINE_S:
            self._schedule_at(self.now + TICK_INTERVAL_S, self._tick)

    def _ping(self, entry: Entry) -> None:
        """Receive the running counts of the other entries, and reorder the teams."""
        if self.case.order == "fleet":
            others = [one.running for one in self.entries if one is not entry]
            entry.others = sum(others, Counter())
        for state in entry.pools:
            state.queue.refresh_all()
        if self.now < self.case.seconds:
            self._schedule_at(self.now + PING_INTERVAL_S, self._ping, entry)

    def _sample(self) -> None:
        """Compare running with entitled slots while the fleet is saturated."""
        if not self.case.saturated or self.now >= self.case.seconds:
            return
        running = Counter()
        waiting = Counter()
        for entry in self.entries:
            running.update(entry.running)
            for state in entry.pools:
                for team in SHARES:
                    waiting[team] += state.queue.count_team(team)
        busy = sum(endpoint.running for endpoint in self.endpoints.values())
        if busy >= SATURATED_PART * len(self.endpoints) * SLOTS:
            if self.case.order == "first":
                wanted = dict.fromkeys(SHARES, float(len(self.endpoints) * SLOTS))
            else:
                wanted = {team: running[team] + waiting[team] for team in SHARES}
            sample = dict(running), find_entitlements(SHARES, wanted, busy)
            self._samples.append(sample)
            self.errors.append(measure_share_error([sample]))
        self._schedule_at(self.now + SAMPLE_INTERVAL_S, self._sample)
