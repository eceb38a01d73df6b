"""Entries and endpoints in virtual time that drive the real decision modules.

The loop follows the scheduler of the entry. Only arrivals, latencies, run times and
endpoint answers are modelled; team limits, keys and the store are not.
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
    OneRandom,
    PoolState,
    admits,
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
"""Mean demand over slots; a burst then asks for 3 times what the pool holds."""

FULL_LOAD = 2.0
NEAR_S = 0.00025
FAR_S = {3: 0.0015, 4: 0.001}
"""One-way delay between data centres, by their number (section 1.3)."""

FAILURE_S = 0.01
"""Time after which a failing endpoint answers."""

EARLY_S = 0.05
TICK_S = 0.1
PING_S = 1.0
SAMPLE_S = 0.2
SETTLE_S = 4.0
MAX_REJECTIONS = 3
MICROSECONDS = 1_000_000
KEPT_PART = 0.75
FULL_PART = 0.98
"""Part of all slots in use from which everything counts as full."""


class Loop:
    """One run of a case."""

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
        draw = OneRandom if case.placement in ("random", "marked") else random.Random
        self._chance = draw(case.seed + 1)
        self.sites, self.endpoints = make_endpoints(case)
        self.entries = make_entries(case, self.sites)
        third = max(1, case.entries // 3)
        self._homes = {
            team: self._arrivals.sample(self.entries, third) for team in SHARES
        }

    def run(self) -> Loop:
        """Run until the last job has its outcome, or the last sample is taken."""
        for entry in self.entries:
            offset = PING_S * (entry.name + 1) / len(self.entries)
            self._at(offset, self._ping, entry)
        self._at(0.0, self._tick)
        self._at(SETTLE_S, self._sample)
        self._turn(0)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            if self.case.full and self.now >= self.case.seconds:
                # Only samples matter, and they end here.
                break
            action(*arguments)
        return self

    def find_share_errors(self) -> tuple[float, float, int]:
        """Return the worst error of a sample, that of all, and the samples."""
        worst = max(self.errors, default=0.0)
        return worst, measure_share_error(self._samples), len(self.errors)

    def find_wait_ms(self, percentile: float) -> float:
        """Return a percentile of the waits of jobs that started, in ms."""
        return self.waits.get_value_at_percentile(percentile) / 1_000

    def _at(self, at: float, action, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action, arguments))

    # Arrivals

    def _turn(self, turn: int) -> None:
        """Start the next queue's burst."""
        if self.now >= self.case.seconds:
            return
        until = min(self.case.seconds, self.now + self._arrivals.randint(*BURST_S))
        for pool, sites in enumerate(self.sites):
            factor = BURST_FACTOR if pool == turn % len(self.sites) else LULL_FACTOR
            load = FULL_LOAD if self.case.full else MEAN_LOAD * factor
            rate = load * len(sites) * SLOTS / RUN_TIMES_S[pool]
            self._schedule(pool, rate, until)
        self._at(until, self._turn, turn + 1)

    def _schedule(self, pool: int, rate: float, until: float) -> None:
        at = self.now + self._arrivals.expovariate(rate)
        if at < until:
            self._at(at, self._arrive, pool, rate, until)

    def _arrive(self, pool: int, rate: float, until: float) -> None:
        chance = self._arrivals
        team = chance.choice(tuple(SHARES))
        run_s = chance.expovariate(1 / RUN_TIMES_S[pool])
        entry = chance.choice(self.entries)
        if self.case.kept and chance.random() < KEPT_PART:
            entry = chance.choice(self._homes[team])
        self._schedule(pool, rate, until)
        job = Job(next(self._numbers), pool, team, self.now, run_s)
        self.counts["jobs"] += 1
        state = entry.pools[pool]
        if not admits(self.case, entry, job, self.now):
            self._refuse(job)
            return
        self._enqueue(entry, job)
        self._at(job.deadline, self._expire, entry, job)
        self._pump(entry, state)

    def _refuse(self, job: Job) -> None:
        self.counts["refused"] += 1
        self.counts["early"] += self.now - job.at < EARLY_S

    def _enqueue(self, entry: Entry, job: Job) -> None:
        state = entry.pools[job.pool]
        line = entry.make_line(job)
        if state.queue.count_team(line.team) == 0:
            state.shares += SHARES[job.team]
        state.queue.add(line, job.key, job, first=job.attempts > 0)
        job.queued = True

    def _note_left(self, entry: Entry, state: PoolState, job: Job) -> None:
        job.queued = False
        if state.queue.count_team(entry.make_line(job).team) == 0:
            state.shares = max(0.0, state.shares - SHARES[job.team])
        if not state.queue:
            state.shares = 0.0

    def _expire(self, entry: Entry, job: Job) -> None:
        if job.queued:
            state = entry.pools[job.pool]
            state.queue.remove(entry.make_line(job), job.key)
            self._note_left(entry, state, job)
            self._refuse(job)

    # Starts and ends

    def _pump(self, entry: Entry, state: PoolState) -> None:
        aside = []
        now = self.now
        while state.placement.has_available(now):
            choice = state.queue.choose()
            if choice is None:
                break
            line, key, job = choice
            avoid = frozenset(job.tried)
            found = state.placement.choose(now, self._chance, avoid)
            if found is None:
                state.queue.remove(line, key)
                aside.append(job)
                continue
            state.queue.note_started(line, key)
            self._note_left(entry, state, job)
            self._send(entry, state, job, found[0])
        for job in reversed(aside):
            state.queue.add(entry.make_line(job), job.key, job, first=True)
        due = state.placement.find_next_due()
        if state.queue and due is not None and due - now < TICK_S:
            due = max(due, now)
            if not now <= state.timer_at <= due:
                state.timer_at = due
                self._at(due, self._wake, entry, state)

    def _wake(self, entry: Entry, state: PoolState) -> None:
        state.timer_at = float("inf")
        self._pump(entry, state)

    def _send(self, entry: Entry, state: PoolState, job: Job, name: str) -> None:
        entry.running[job.team] += 1
        state.placement.note_started(name, self.now)
        if job.attempts == 0:
            state.budget.note_first_attempt()
            self.counts["first attempts"] += 1
        job.attempts += 1
        self.counts["dispatches"] += 1
        self._at(self.now + self._delay(entry, name), self._reach, entry, job, name)

    def _delay(self, entry: Entry, name: str) -> float:
        if self.endpoints[name].data_centre == entry.data_centre:
            return NEAR_S
        return FAR_S[self.case.deployment.data_centres]

    def _reach(self, entry: Entry, job: Job, name: str) -> None:
        """Let the endpoint take or refuse the job."""
        endpoint = self.endpoints[name]
        back = self.now + self._delay(entry, name)
        if endpoint.running >= SLOTS:
            self.counts["overbooked"] += 1
            result = "refused", endpoint.running, 0.0
            self._at(back, self._finish, entry, job, name, *result)
            return
        endpoint.running += 1
        if not job.rejections:
            self.waits.record_value(max(1, int((self.now - job.at) * MICROSECONDS)))
        taken = FAILURE_S if endpoint.failing else job.run_s
        result = "failed" if endpoint.failing else "answered"
        left = max(0.0, job.deadline - self.now)
        if taken > left:
            taken, result = left, "stopped"
        self._at(self.now + taken, self._end, entry, job, name, result, taken)

    def _end(
        self, entry: Entry, job: Job, name: str, result: str, taken: float
    ) -> None:
        endpoint = self.endpoints[name]
        endpoint.running -= 1
        back = self.now + self._delay(entry, name)
        running = endpoint.running
        self._at(back, self._finish, entry, job, name, result, running, taken)

    def _finish(
        self, entry: Entry, job: Job, name: str, result: str, running: int, taken: float
    ) -> None:
        """Note an answer at the entry and decide what becomes of the job."""
        state = entry.pools[job.pool]
        now = self.now
        entry.running[job.team] -= 1
        if result in ("answered", "failed"):
            self._judge(state, name, result == "failed")
        state.placement.note_ended(name, name, now)
        state.queue.refresh(job.team)
        if self.case.placement in ("two", "marked"):
            state.placement.note_load(name, running, now)
        if result == "refused":
            state.placement.mark_full(name, now)
            self._again(entry, job)
        elif result == "failed":
            self._retry(entry, state, job, name)
        else:
            state.run_time = admission.update_run_time(state.run_time, taken)
            in_time = result == "answered" and now <= job.deadline
            self.counts["good" if in_time else "late"] += 1
        self._pump(entry, state)

    def _judge(self, state: PoolState, name: str, failed: bool) -> None:
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
            delay = retries.find_delay(job.rejections - 1, self._chance.random())
            self._at(self.now + delay, self._again, entry, job)

    def _again(self, entry: Entry, job: Job) -> None:
        if self.now >= job.deadline:
            self.counts["late"] += 1
            return
        self._enqueue(entry, job)
        self._pump(entry, entry.pools[job.pool])

    # Periodic work

    def _tick(self) -> None:
        for entry in self.entries:
            for state in entry.pools:
                if state.queue:
                    self._pump(entry, state)
        if self.now < self.case.seconds + DEADLINE_S:
            self._at(self.now + TICK_S, self._tick)

    def _ping(self, entry: Entry) -> None:
        """Take the running counts of all others, and order the teams again."""
        if self.case.order == "fleet":
            others = [one.running for one in self.entries if one is not entry]
            entry.others = sum(others, Counter())
        for state in entry.pools:
            state.queue.refresh_all()
        if self.now < self.case.seconds:
            self._at(self.now + PING_S, self._ping, entry)

    def _sample(self) -> None:
        """Compare running with entitled slots while every slot is taken."""
        if not self.case.full or self.now >= self.case.seconds:
            return
        running = Counter()
        waiting = Counter()
        for entry in self.entries:
            running.update(entry.running)
            for state in entry.pools:
                for team in SHARES:
                    waiting[team] += state.queue.count_team(team)
        busy = sum(endpoint.running for endpoint in self.endpoints.values())
        if busy >= FULL_PART * len(self.endpoints) * SLOTS:
            if self.case.order == "first":
                wanted = dict.fromkeys(SHARES, float(len(self.endpoints) * SLOTS))
            else:
                wanted = {team: running[team] + waiting[team] for team in SHARES}
            sample = dict(running), find_entitlements(SHARES, wanted, busy)
            self._samples.append(sample)
            self.errors.append(measure_share_error([sample]))
        self._at(self.now + SAMPLE_S, self._sample)
