"""Endpoints that use every freedom that the platform's contract leaves them.

Clocks are slow and start anew with each incarnation, leases are shortened to the
longest that an endpoint accepts, and calls are carried out late or without a response.
`find_double_runs` applies the rule that a task runs once at a time and is not started
after a success that was acknowledged.
"""

from __future__ import annotations

import asyncio
import contextlib

from virtual_fleet import LATENCY_S, Endpoints, wait_to_send

from briarshed_entry import clock
from briarshed_workloads.interfaces import (
    Accepted,
    OutcomeUnknownError,
    Refused,
)
from briarshed_workloads.workloads import EndedRun, ListedRun, PollResponse

SLOWEST_RATE = 0.98
MAX_ACCEPTED_LEASE_S = 6.0
START_TIMEOUT_S, STOP_TIMEOUT_S, POLL_SLACK_S, IMMEDIATE_S = 0.4, 1.0, 1.0, 0.5


class Record:
    """One run at one incarnation, as the endpoint saw it."""

    def __init__(self, task, run, endpoint, is_late):
        self.task = task
        self.run = run
        self.endpoint = endpoint
        self.is_late = is_late
        self.started_at = clock.now()
        self.ended_at = None
        self.how = ""
        self.is_void = False
        self.acknowledged_at = None

    def __repr__(self):
        end = f"{self.ended_at:.3f}" if self.ended_at else "-"
        return (
            f"[{self.task.job[-4:]}.{self.task[1:]} run {self.run >> 24}/"
            f"{self.run & 0xFFFFFF} at {self.endpoint} {self.started_at:.3f} to {end}"
            f" {self.how} late {self.is_late} noted {self.acknowledged_at}]"
        )


class ContractEndpoint:
    """One endpoint; its timers end runs and leases at their time."""

    def __init__(self, name, capacity, measure_task, rate=1.0):
        self.name = name
        self.rack = name
        self.capacity = capacity
        self.rate = rate
        self.records = []
        self.max_accepted_lease_s = MAX_ACCEPTED_LEASE_S
        self.started_at_ms = 1
        self.down = ""
        self.changed = asyncio.Event()
        self._measure_task = measure_task
        self._reset()

    def _reset(self):
        self.booted_at = clock.now()
        self.token = 0
        self.deadline_ms = 0
        self.running = {}
        self.ended = []
        self.highest = {}
        self.count = 0

    def read_clock(self):
        """Return the clock of this incarnation in ms."""
        return int((clock.now() - self.booted_at) * self.rate * 1000) + 1

    def restart(self):
        """Lose everything and go on as the next incarnation."""
        self.advance()
        for row in self.running.values():
            row.ended_at, row.how = clock.now(), "crashed"
        for row in self.records:
            row.is_void |= row.acknowledged_at is None and row.ended_at is not None
        self._reset()
        now_ms = int(clock.read_unix_time() * 1000)
        self.started_at_ms = max(self.started_at_ms + 1, now_ms)
        self.changed.set()

    def advance(self):
        """End the runs that are due, in the order of their times."""
        now_ms = self.read_clock()
        lapses_at = self.booted_at + (self.deadline_ms - 1) / 1000 / self.rate
        for row in list(self.running.values()):
            done_at = row.started_at + self._measure_task(row.task)
            if done_at <= clock.now() and done_at <= lapses_at:
                self._end(row, "succeeded", done_at)
        if now_ms > self.deadline_ms:
            for row in list(self.running.values()):
                self._end(row, "lapsed", max(lapses_at, row.started_at))
            for row in self.records:
                is_open = row.acknowledged_at is None and row.ended_at is not None
                row.is_void |= is_open and row.ended_at <= lapses_at

    def _end(self, row, how, at):
        del self.running[row.task, row.run]
        row.ended_at, row.how = at, how
        self._list_end(row.task, row.run, how)

    def _list_end(self, task, run, how):
        self.count += 1
        self.ended.append(EndedRun(self.count, task, run, how, ""))
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.changed.set()

    def accept(self, token):
        """Return whether a token is not too low."""
        self.advance()
        if token < self.token:
            return False
        self.token = token
        return True

    def extend(self, deadline_ms):
        """Extend the lease by at most the longest accepted one."""
        latest = self.read_clock() + int(self.max_accepted_lease_s * 1000)
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms or 0, latest))

    def poll(self, token, acknowledged, deadline_ms):
        """Carry a poll out; return whether its token was accepted."""
        if not self.accept(token):
            return False
        reached = {
            (row.task, row.run) for row in self.ended if row.end_number <= acknowledged
        }
        for row in self.records:
            if (row.task, row.run) in reached and row.acknowledged_at is None:
                row.acknowledged_at = clock.now()
        self.ended = [row for row in self.ended if row.end_number > acknowledged]
        self.extend(deadline_ms)
        return True

    def start(self, order, is_late):
        """Carry a start out; return the reason of a refusal, or an empty string."""
        if not self.accept(order.token):
            return "fenced"
        if (order.task, order.run) in self.running:
            return ""
        if order.run <= self.highest.get(order.task, 0):
            self.extend(order.deadline_ms)
            return "old"
        if self.read_clock() > order.deadline_ms:
            return "late"
        self.extend(order.deadline_ms)
        row = Record(order.task, order.run, self.name, is_late)
        self.records.append(row)
        self.running[order.task, order.run] = row
        self.changed.set()
        return ""

    def stop(self, task, run, token):
        """Carry a stop out; return whether its token was accepted."""
        if not self.accept(token):
            return False
        row = self.running.get((task, run))
        if row is not None:
            self._end(row, "stopped", clock.now())
        self.highest[task] = max(run, self.highest.get(task, 0))
        return True

    def list_response(self):
        """Return the runs and ends."""
        self.advance()
        running = tuple(
            ListedRun(*key, "", self._measure_percent(row), 0)
            for key, row in self.running.items()
        )
        return PollResponse(
            self.read_clock(),
            self.started_at_ms,
            running,
            tuple(self.ended[:500]),
            len(self.ended) > 500,
        )

    def _measure_percent(self, row):
        elapsed = clock.now() - row.started_at
        return int(100 * elapsed / self._measure_task(row.task))

    def next_due(self):
        """Return when the next run ends or the lease lapses."""
        return min(
            (
                row.started_at + self._measure_task(row.task)
                for row in self.running.values()
            ),
            default=clock.now() + 60.0,
        )


class ContractEndpoints(Endpoints):
    """All endpoints; ``choose_fate`` returns what becomes of a call.

    A fate is one of ``("", seconds)`` (carried out after that time and answered),
    ``("late", seconds)`` (carried out then, without a response), ``("lost", 0)`` or
    ``("mute", 0)`` (carried out at once, without a response), with a name of the call.
    """

    def __init__(self, names, measure_task, rates, capacity, choose_fate):
        super().__init__(())
        self.by_name = {
            name: ContractEndpoint(name, capacity, measure_task, rates(name))
            for name in names
        }
        self.choose_fate = choose_fate
        self.note_poll = lambda acknowledged: None
        self.late_tasks = set()

    async def _carry_out(self, name, kind, timeout, work):
        """Return the result of a call, or raise an error after the time-out."""
        row = self.by_name[name]
        fate, seconds = self.choose_fate(name, kind)
        if row.down:
            fate, seconds = "lost", 0.0
        incarnation = row.started_at_ms
        await asyncio.sleep(LATENCY_S)
        if fate == "late":
            task = asyncio.get_running_loop().call_later(
                seconds, self._carry_out_late, row, work, incarnation
            )
            self.late_tasks.add(task)
        elif fate == "mute":
            if not row.down:
                work(row, False)
        elif not fate:
            sent_at = clock.now()
            if seconds:
                await asyncio.sleep(min(seconds, timeout))
            if not row.down:
                result = work(row, False)
                await asyncio.sleep(LATENCY_S)
                if clock.now() - sent_at < timeout:
                    return result
        await asyncio.sleep(timeout)
        raise OutcomeUnknownError("no response")

    def _carry_out_late(self, row, work, incarnation):
        if not row.down:
            work(row, row.started_at_ms != incarnation)

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """Poll an endpoint."""
        self.note_poll(acknowledged)
        timeout = wait + POLL_SLACK_S if wait else IMMEDIATE_S
        row = self.by_name[name]
        is_accepted = await self._carry_out(
            name,
            "poll",
            timeout,
            lambda row, _: row.poll(token, acknowledged, deadline_ms),
        )
        if not is_accepted:
            return Refused("fenced")
        incarnation = row.started_at_ms
        until = clock.now() + wait
        while wait and not row.ended and clock.now() < until:
            row.changed.clear()
            left = max(0.001, min(until, row.next_due()) - clock.now())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await row.changed.wait()
            if row.started_at_ms != incarnation or row.down:
                raise OutcomeUnknownError("closed")
            row.advance()
        response = row.list_response()
        fate, seconds = self.choose_fate(name, "response")
        if fate:
            await asyncio.sleep(POLL_SLACK_S)
            raise OutcomeUnknownError("no response")
        await asyncio.sleep(LATENCY_S + seconds)
        return response

    async def start(self, name, address, order, permit):
        """Start a run."""
        await wait_to_send(permit, self.before_send)
        reason = await self._carry_out(
            name, "start", START_TIMEOUT_S, lambda row, late: row.start(order, late)
        )
        if reason:
            return Refused(reason)
        return Accepted(self.by_name[name].read_clock())

    async def stop(self, name, address, task, run, token, permit):
        """Stop a run."""
        await wait_to_send(permit, self.before_send)
        is_accepted = await self._carry_out(
            name, "stop", STOP_TIMEOUT_S, lambda row, _: row.stop(task, run, token)
        )
        if not is_accepted:
            return Refused("fenced")
        return Accepted(self.by_name[name].read_clock())

    def list_records(self):
        """Return the records of all runs."""
        for row in self.by_name.values():
            row.advance()
            yield from row.records


def find_double_runs(records, *, with_late=False):
    """Return the pairs of runs that break the rule, earlier one first.

    A run that a later incarnation has begun on an order for the one before it is left
    out unless ``with_late`` is set: an order cannot name an incarnation.
    """
    by_task = {}
    for row in sorted(records, key=lambda row: row.started_at):
        by_task.setdefault(row.task, []).append(row)
    found = []
    for rows in by_task.values():
        for number, later in enumerate(rows):
            for earlier in rows[:number]:
                if not with_late and (later.is_late or earlier.is_late):
                    continue
                is_running = (
                    earlier.ended_at is None or later.started_at < earlier.ended_at
                )
                is_done = (
                    earlier.how == "succeeded"
                    and earlier.acknowledged_at is not None
                    and not earlier.is_void
                )
                if is_running or is_done:
                    found.append((earlier, later))
    return found
