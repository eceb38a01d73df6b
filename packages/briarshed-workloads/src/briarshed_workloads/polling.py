"""Polls endpoints for their runs and ends, and detects those that do not respond."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from briarshed import events
from briarshed.exceptions import BriarshedError
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads import telemetry
from briarshed_workloads.engine import Engine
from briarshed_workloads.evidence import SUSPICION_WINDOW_S
from briarshed_workloads.fleet import Endpoint, Run
from briarshed_workloads.interfaces import (
    ConnectionClosedError,
    Endpoints,
    NotExecutedError,
    OutcomeUnknownError,
    Refused,
)
from briarshed_workloads.leadership import LeaderTerm
from briarshed_workloads.options import SiteLimits
from briarshed_workloads.outliers import STARTUP_TIMEOUT_S
from briarshed_workloads.supervision import report_error
from briarshed_workloads.takeover import is_contested

POLL_WAIT_S = 1.2
"""How long a poll waits for an end; less than a third of the run lease."""

MIN_POLL_WAIT_S = 0.05
"""Shortest time that a poll waits for an end, so that a slow clock of an endpoint does
not cause many polls."""

START_UP_POLL_S = 0.3
"""Poll interval while a long-running task starts up. Evictions within an outage budget
wait for it to serve, which a poll that waits for an end reports up to 1.2 s later."""

POLL_PAUSE_S = 0.03
"""Pause after a poll with new ends, so that a poll and a write cover several ends."""

POLL_RETRY_S = 0.25
"""Pause after a poll without a response."""

IDLE_RETRY_S = 0.6
"""The same for an endpoint without runs, which only waits to be used again; polls are
billed."""

RECHECK_S = 0.5
"""Interval of checking whether an endpoint must be polled again; short compared with
the run lease of 4 s."""

CLOSE_DELAY_S = 0.05
"""Time that a process which ends may take to close its connections."""

UNSAVED_POLL_S = 0.4
"""Poll interval of an endpoint whose ends are not durable yet. Such a poll is answered
immediately; ten of them fit into the run lease."""


class EndpointPoller:
    """Polls every endpoint that has runs or is not fenced.

    Parameters
    ----------
    term : LeaderTerm
        Term in which the polls are sent.
    engine : Engine
        State that is updated with the responses.
    endpoints : Endpoints
        Calls to endpoints.
    site_limits : SiteLimits
        Time limits that the site sets.
    spawn : callable
        Runs a coroutine in the background under a name.
    request_save : callable
        Called when there are changes to be written.
    note_changed : callable
        Called when the state of the fleet has changed and must be planned again.
    """

    def __init__(
        self,
        term: LeaderTerm,
        engine: Engine,
        endpoints: Endpoints,
        site_limits: SiteLimits,
        spawn: Callable[[Coroutine[Any, Any, Any], str], asyncio.Task[None]],
        request_save: Callable[[], None],
        note_changed: Callable[[], None],
    ) -> None:
        self._term = term
        self._engine = engine
        self._endpoints = endpoints
        self._site_limits = site_limits
        self._spawn = spawn
        self._request_save = request_save
        self._note_changed = note_changed
        self._poll_loops: dict[Endpoint, asyncio.Task[None]] = {}
        self._wake_events: dict[str, asyncio.Event] = {}
        self._clock_reads: dict[Endpoint, asyncio.Task[None]] = {}
        self._watched: set[Endpoint] = set()

    def start_polling(self) -> None:
        """Start a poll loop for each new endpoint."""
        for name, endpoint in self._engine.endpoints.items():
            if endpoint not in self._poll_loops:
                task = self._spawn(self._poll_loop(endpoint), f"poll {name}")
                self._poll_loops[endpoint] = task
                task.add_done_callback(
                    lambda _, key=endpoint: self._poll_loops.pop(key, None)
                )
        self._request_save()

    def wake(self, name: str) -> None:
        """Make an endpoint's loop check whether to poll it."""
        wake_event = self._wake_events.get(name)
        if wake_event is not None:
            wake_event.set()

    def wake_all(self) -> None:
        """Make all loops check whether to poll their endpoints."""
        for wake_event in self._wake_events.values():
            wake_event.set()

    async def _poll_loop(self, endpoint: Endpoint) -> None:
        """Poll one endpoint whenever needed until it is gone."""
        wake_event = self._wake_events[endpoint.name] = asyncio.Event()
        while self._engine.endpoints.get(endpoint.name) is endpoint:
            if endpoint.is_gone:
                return
            if not self._needs_poll(endpoint):
                wake_event.clear()
                # Authority can be lost and regained, or a fence required, without an
                # event. Nobody would then poll the endpoint again.
                await self._wait(wake_event, RECHECK_S)
                continue
            await self._wait_to_acknowledge(endpoint, wake_event)
            is_polled = False
            try:
                is_polled = await self.poll(endpoint)
            except Exception as error:
                report_error(f"poll of {endpoint.name}", error)
            if is_polled and self._is_contested(endpoint):
                wake_event.clear()
                await self._wait(wake_event, IDLE_RETRY_S)
            if not is_polled:
                await asyncio.sleep(POLL_RETRY_S if endpoint.runs else IDLE_RETRY_S)

    async def _wait(self, wake_event: asyncio.Event, limit: float) -> None:
        """Wait for an event, for at most ``limit`` seconds."""
        try:
            async with asyncio.timeout(limit):
                await wake_event.wait()
        except TimeoutError:
            return

    def _is_contested(self, endpoint: Endpoint) -> bool:
        """Tell whether an earlier leader may start tasks in the endpoint's pool."""
        return is_contested(self._engine, endpoint.registration.pool, clock.now())

    async def _wait_to_acknowledge(
        self, endpoint: Endpoint, wake_event: asyncio.Event
    ) -> None:
        """Wait until ends may be acknowledged, for at most `UNSAVED_POLL_S`.

        They must be durable, and starts have a response. A poll that acknowledges
        nothing is answered with the same ends immediately.
        While the store is slow or unavailable, polls continue nevertheless, since they
        extend the run lease and return new ends.
        """
        until = clock.now() + UNSAVED_POLL_S
        while endpoint.has_unsaved_ends or (
            endpoint.is_acknowledgement_held and endpoint.has_start_on_its_way
        ):
            wake_event.clear()
            left = until - clock.now()
            if left <= 0:
                return
            try:
                async with asyncio.timeout(left):
                    await wake_event.wait()
            except TimeoutError:
                return

    def _needs_poll(self, endpoint: Endpoint) -> bool:
        if not self._term.has_authority() and endpoint.is_fenced:
            return False
        # An unresponsive endpoint gets no new runs until it responds to a poll.
        return bool(not endpoint.is_fenced or endpoint.runs or endpoint.failing_since)

    async def watch_start_up(self, endpoint: Endpoint) -> None:
        """Poll an endpoint until its long-running tasks serve or are overdue."""
        if endpoint in self._watched:
            return
        self._watched.add(endpoint)
        try:
            while _is_starting_up(endpoint, clock.now()):
                await asyncio.sleep(START_UP_POLL_S)
                if endpoint.failing_since or not _is_starting_up(endpoint, clock.now()):
                    return
                await self.poll(endpoint, is_immediate=True)
        finally:
            self._watched.discard(endpoint)

    async def read_clock(self, endpoint: Endpoint) -> bool:
        """Poll an endpoint whose clock was read long ago; return whether it is known.

        An endpoint without runs is not polled, and may have restarted meanwhile. Orders
        that wait for its clock share a poll.
        """
        if endpoint.has_recent_clock(clock.now()):
            return True
        reading = self._clock_reads.get(endpoint)
        if reading is None:
            poll = self.poll(endpoint, is_immediate=True)
            reading = self._spawn(poll, f"clock of {endpoint.name}")
            self._clock_reads[endpoint] = reading
            reading.add_done_callback(lambda _: self._clock_reads.pop(endpoint, None))
        await asyncio.wait([reading])
        return endpoint.has_recent_clock(clock.now())

    async def check_survival(self, run: Run) -> None:
        """Poll the endpoint of a task that was in a crash just after its next start.

        The response, or the lack of one, tells whether the endpoint has survived it.
        """
        await asyncio.sleep(SUSPICION_WINDOW_S)
        if self._engine.is_tracked(run) and not run.endpoint.failing_since:
            await self.poll(run.endpoint, is_immediate=True)

    async def poll(self, endpoint: Endpoint, is_immediate: bool = False) -> bool:
        """Poll an endpoint once and update the engine with the response.

        Parameters
        ----------
        is_immediate : bool
            Whether the endpoint responds immediately instead of at the next end.

        Returns
        -------
        bool
            Whether the endpoint responded, so that it may be polled again at once.
        """
        engine = self._engine
        sent_at = clock.now()
        counter, token = endpoint.counter, endpoint.token
        was_contested = self._is_contested(endpoint)
        acknowledged = 0
        if not was_contested:
            is_partly_listed = endpoint in engine.partly_listed
            acknowledged = endpoint.choose_acknowledged(is_partly_listed)
        endpoint.note_acknowledged(acknowledged)
        # An unresponsive endpoint may execute a call without responding. If its polls
        # carried deadlines, its lease would never be known to have expired.
        is_silent = endpoint.failing_since > 0
        deadline = None
        may_extend = not (is_silent or was_contested) and self._term.has_authority()
        if endpoint.clock_sample_ms and may_extend:
            deadline = endpoint.choose_deadline(sent_at, engine.lease_times.run_lease)
        is_immediate |= is_silent or endpoint.has_unsaved_ends or not endpoint.is_fenced
        stop_grace = self._site_limits.stop_grace
        wait = 0.0 if is_immediate else choose_wait(endpoint, stop_grace, sent_at)
        try:
            response = await self._endpoints.poll(
                endpoint.name,
                endpoint.registration.address,
                token,
                acknowledged,
                deadline,
                wait,
            )
        except (OutcomeUnknownError, NotExecutedError) as error:
            alive_until = _find_alive_until(error, sent_at)
            self.note_unresponsive(endpoint, str(error), alive_until)
            return False
        now = clock.now()
        telemetry.observe_seconds("look", now - sent_at)
        if isinstance(response, Refused):
            return self._note_refused_poll(endpoint, response.reason, counter)
        was_fenced = endpoint.is_fenced
        known = endpoint.last_listed_end
        engine.note_poll(endpoint, response, counter, sent_at, now)
        if was_contested and not self._is_contested(endpoint):
            # The other endpoints wait with their next polls, which extend run leases.
            self.wake_all()
        if endpoint.is_fenced and not was_fenced:
            log_event(
                events.ENDPOINT_FENCED,
                endpoint=endpoint.name,
                runs=len(endpoint.runs),
                ends=len(response.ended),
            )
        is_recorded = endpoint.name in engine.roster
        if endpoint.has_unsaved_ends or engine.unsaved_jobs or not is_recorded:
            self._request_save()
        self._note_changed()
        if endpoint.last_listed_end > known or endpoint.is_acknowledgement_held:
            # Until they are acknowledged, ends are listed again immediately.
            await asyncio.sleep(POLL_PAUSE_S)
        return True

    def _note_refused_poll(self, endpoint: Endpoint, reason: str, counter: int) -> bool:
        if reason == "replaced":
            # It may come from an earlier process that still serves its connections.
            self.note_unresponsive(endpoint, "another endpoint responds")
        elif reason == "fenced" and counter < endpoint.counter:
            # An order with a higher token has overtaken it.
            return True
        elif reason == "fenced":
            self.note_fenced(endpoint, "look")
        return False

    def note_fenced(self, endpoint: Endpoint, what: str) -> None:
        """End the term: an endpoint has seen another leader's token.

        If it has registered again since the call, the token may be one of this leader.
        """
        if self._engine.endpoints.get(endpoint.name) is not endpoint:
            return
        log_event(events.ORDER_FENCED, endpoint=endpoint.name, what=what)
        if not self._term.lost.is_set():
            self._term.note_event("lose", f"fenced at {endpoint.name}")

    def note_unresponsive(
        self, endpoint: Endpoint, reason: str, alive_until: float = 0.0
    ) -> None:
        """Note that an endpoint does not respond.

        Once its run lease has expired, its runs are dropped. If it is not registered
        either, it counts as gone.
        """
        now = clock.now()
        unsaved = set(self._engine.unsaved_jobs)
        self._engine.note_failing(endpoint, reason, now, alive_until)
        if self._engine.unsaved_jobs.keys() - unsaved:
            self._request_save()
        self.wake(endpoint.name)
        self._spawn(
            self._endpoints.discard_connections(endpoint.registration.address),
            "disconnect",
        )
        if self._engine.drop_expired_runs(now):
            self._note_changed()
        is_expired = not endpoint.runs and now > max(
            self._engine.earlier.find_runs_end(endpoint), endpoint.find_lease_expiry()
        )
        is_needed = endpoint.is_listed or self._is_contested(endpoint)
        if is_expired and not is_needed:
            self.note_gone(endpoint, "not responding and not registered")

    def note_gone(self, endpoint: Endpoint, reason: str) -> None:
        """Note that an endpoint and all its runs have ended."""
        if endpoint.is_gone:
            return
        now = clock.now()
        self._engine.note_failing(endpoint, reason, now)
        self._engine.note_replaced(endpoint, reason)
        log_event(events.ENDPOINT_GONE, endpoint=endpoint.name, reason=reason)
        self._request_save()
        self._note_changed()


def choose_wait(endpoint: Endpoint, stop_grace: float, now: float) -> float:
    """Return how long a poll waits for an end, in seconds.

    A new leader evicts tasks within an outage budget once their endpoint, and those of
    the other tasks of their step, have listed their runs a second time.
    """
    has_budget = any(
        run.step.long_running and run.step.outage_budget >= 0
        for run in endpoint.runs.values()
    )
    if not has_budget or endpoint.has_settled_stops(stop_grace):
        return POLL_WAIT_S
    left = endpoint.find_settled_at(stop_grace) - now
    return min(POLL_WAIT_S, max(MIN_POLL_WAIT_S, left))


def _is_starting_up(endpoint: Endpoint, now: float) -> bool:
    """Return whether a long-running task starts up at an endpoint, and is not late."""
    return any(
        run.step.long_running
        and not run.step.best_effort
        and run.is_present
        and not run.is_serving
        and now - run.confirmed_at < STARTUP_TIMEOUT_S
        for run in endpoint.runs.values()
    )


def _find_alive_until(error: BriarshedError, sent_at: float) -> float:
    """Return when the endpoint of a failed poll was certainly running, or 0.

    An endpoint that closes the connection of a poll that has been waiting there was
    running until just before.
    """
    is_closed = isinstance(error, ConnectionClosedError)
    now = clock.now()
    has_waited = now - sent_at > SUSPICION_WINDOW_S
    return now - CLOSE_DELAY_S if is_closed and has_waited else 0.0
