"""Sends the leader's orders to endpoints: starts, stops and paces of runs."""

from __future__ import annotations

import functools
from collections.abc import Callable, Coroutine
from typing import Any

from briarshed import events
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads import telemetry
from briarshed_workloads.engine import Engine
from briarshed_workloads.evacuation import is_evacuated
from briarshed_workloads.fleet import (
    STOPPING,
    Endpoint,
    PaceOrder,
    Run,
    StartOrder,
    StopOrder,
)
from briarshed_workloads.gangs import is_whole, stop_others
from briarshed_workloads.interfaces import (
    Accepted,
    Endpoints,
    NotExecutedError,
    OutcomeUnknownError,
    PermitExpiredError,
    Refused,
)
from briarshed_workloads.leadership import LeaderTerm
from briarshed_workloads.order_slots import OrderSlots
from briarshed_workloads.polling import EndpointPoller
from briarshed_workloads.workloads import StartRequest

START_LEASE_MARGIN_S = 0.5
"""Added to the remaining authority in the lease of a start: clocks of endpoints are
known to a fraction of this, and the poll that extends the lease needs some time."""

REFUSED_PAUSE_S = 0.3
"""Time without new starts at an endpoint that refused one for lack of capacity."""
Spawn = Callable[[Coroutine[Any, Any, Any], str], Any]
"""Runs a coroutine in the background under a name."""


class OrderSender:
    """Sends orders in the background, a few at a time to each endpoint.

    Parameters
    ----------
    term : LeaderTerm
        Term in which the orders are sent.
    engine : Engine
        State that is updated with the responses.
    endpoints : Endpoints
        Calls to endpoints.
    poller : EndpointPoller
        Polls an endpoint whose response to an order is lost.
    may_start : callable
        Tells whether tasks may start at a time of the boot clock, see `StartPermit`.
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
        poller: EndpointPoller,
        may_start: Callable[[float], bool],
        spawn: Spawn,
        request_save: Callable[[], None],
        note_changed: Callable[[], None],
    ) -> None:
        self._term = term
        self._engine = engine
        self._endpoints = endpoints
        self._poller = poller
        self._may_start = may_start
        self._spawn = spawn
        self._request_save = request_save
        self._note_changed = note_changed
        self._starts = OrderSlots(note_changed)
        self._stops = OrderSlots(note_changed)

    def order_start(self, order: StartOrder) -> None:
        """Send a start in the background."""
        name = order.run.endpoint.name
        send = functools.partial(self.send_start, order)
        self._spawn(self._starts.queue(name, send), "start")
        self._poller.wake(name)

    def may_order_stop(self, run: Run) -> bool:
        """Return whether a run may be stopped now: its endpoint has few such orders."""
        return not self._stops.is_full(run.endpoint.name)

    async def send_start(self, order: StartOrder) -> None:
        """Send a start, and note what has become of it."""
        run = order.run
        # The run may be handed over to the endpoint's next incarnation meanwhile.
        endpoint = run.endpoint
        is_silent = endpoint.failing_since > 0
        if is_silent or not await self._poller.read_clock(endpoint):
            self._log_start(order, "not sent: no recent response")
            self._engine.drop(run, "not sent")
            self._note_changed()
            return
        endpoint = run.endpoint
        now = clock.now()
        run.token = endpoint.token
        start = StartRequest(
            run.task,
            run.number,
            order.spec,
            run.token,
            endpoint.choose_deadline(now, self._choose_start_lease()),
            order.checkpoint,
        )
        try:
            response = await self._endpoints.start(
                endpoint.name,
                endpoint.registration.address,
                start,
                lambda: self._may_send(run),
            )
        except OutcomeUnknownError as error:
            self._engine.note_outcome_unknown(run, clock.now())
            self._request_save()
            self._log_start(order, f"no answer: {error}")
            # The poll that is waiting for an end was sent with a lower token, so that
            # its response cannot show whether the start took effect.
            if not run.endpoint.is_gone:
                await self._poller.poll(run.endpoint)
            return
        except PermitExpiredError as error:
            self._log_start(order, f"not sent: {error}")
            self._engine.drop(run, "not sent")
            stop_others(self._engine, run, "its gang is incomplete")
            return
        except NotExecutedError as error:
            self._log_start(order, f"not sent: {error}")
            self._engine.drop(run, "not sent")
            self._poller.note_unresponsive(endpoint, str(error))
            return
        answered_at = clock.now()
        telemetry.observe_seconds("start", answered_at - now)
        if isinstance(response, Accepted):
            self._engine.note_started(run, response.clock_ms, answered_at)
            if self._engine.unsaved_jobs:
                self._request_save()
            self._poller.wake(endpoint.name)
            self._log_start(order, "started")
            self.watch_start(run)
            return
        self._log_start(order, response.reason)
        self._note_refused_start(run, endpoint, response.reason)
        self._note_changed()

    def _may_send(self, run: Run) -> bool:
        """Return whether a start that was planned earlier may still be sent."""
        return (
            self._term.has_authority()
            and self._engine.is_wanted(run)
            and is_whole(self._engine, run)
            and not is_evacuated(self._engine, run.endpoint)
            and self._may_start(clock.now())
        )

    def watch_start(self, run: Run) -> None:
        """Poll the endpoint of an accepted start sooner where its fate matters."""
        if self._engine.was_in_crash(run.task):
            self._spawn(self._poller.check_survival(run), "survival")
        if run.step.long_running and not run.step.best_effort:
            self._spawn(self._poller.watch_start_up(run.endpoint), "start-up")

    def _choose_start_lease(self) -> float:
        """Return the run lease of a start order, in seconds.

        The endpoint refuses an order that arrives after it. A leader that is paused
        before the order is sent may have lost its authority by then. The poll that
        follows extends the lease.
        """
        authority_left = self._term.measure_authority() + START_LEASE_MARGIN_S
        return min(self._engine.lease_times.run_lease, authority_left)

    def _log_start(self, order: StartOrder, outcome: str) -> None:
        run = order.run
        telemetry.count("starts", outcome.partition(":")[0])
        log_event(
            events.RUN_ORDERED,
            job_id=run.task.job,
            task=run.task[1:],
            run=run.number,
            epoch=self._term.epoch,
            endpoint=run.endpoint.name,
            data_centre=run.endpoint.registration.data_centre,
            free_cpu=run.endpoint.find_free().cpu,
            looked_ago=round(clock.now() - run.endpoint.answered_at, 3),
            ordered_at=round(run.ordered_at, 3),
            is_tracked=self._engine.is_tracked(run),
            outcome=outcome,
        )

    def _note_refused_start(self, run: Run, endpoint: Endpoint, reason: str) -> None:
        now = clock.now()
        self._engine.drop(run, f"refused: {reason}")
        if reason == "replaced":
            self._poller.note_unresponsive(endpoint, "another endpoint responds")
        elif reason == "fenced" and run.token >= run.endpoint.token:
            self._poller.note_fenced(run.endpoint, "start")
        elif reason != "old":
            endpoint.full_until = now + REFUSED_PAUSE_S

    def order_stop(self, stop: StopOrder, now: float) -> None:
        """Send a stop in the background; `may_order_stop` must hold."""
        stop.run.stop_requested_at = now
        stop.run.state = STOPPING
        self._engine.add_stop_candidate(stop.run)
        send = functools.partial(self._send_stop, stop)
        self._spawn(self._stops.queue(stop.run.endpoint.name, send), "stop")

    async def _send_stop(self, stop: StopOrder) -> None:
        run, endpoint = stop.run, stop.run.endpoint
        outcome = "asked"
        try:
            response = await self._endpoints.stop(
                endpoint.name,
                endpoint.registration.address,
                run.task,
                run.number,
                endpoint.token,
                self._term.has_authority,
            )
            if isinstance(response, Refused):
                outcome = response.reason
        except (OutcomeUnknownError, NotExecutedError) as error:
            outcome = f"no answer: {error}"
        log_event(
            events.RUN_STOPPED,
            job_id=run.task.job,
            task=run.task[1:],
            run=run.number,
            epoch=self._term.epoch,
            endpoint=endpoint.name,
            reason=stop.reason,
            outcome=outcome,
        )
        self._poller.wake(endpoint.name)

    async def send_pace(self, order: PaceOrder) -> None:
        """Send a pace, and note the response."""
        run, endpoint = order.run, order.run.endpoint
        try:
            response = await self._endpoints.pace(
                endpoint.name,
                endpoint.registration.address,
                run.task,
                run.number,
                order.percent,
                endpoint.token,
                self._term.has_authority,
            )
        except (OutcomeUnknownError, NotExecutedError) as error:
            if isinstance(error, OutcomeUnknownError):
                # After the next order, which has a higher token, it is refused.
                run.is_pace_unknown = True
                endpoint.raise_token()
            log_event(
                events.RUN_PACED,
                job_id=run.task.job,
                endpoint=endpoint.name,
                before=run.pace,
                after=order.percent,
                outcome=str(error),
            )
            return
        if isinstance(response, Accepted):
            log_event(
                events.RUN_PACED,
                job_id=run.task.job,
                endpoint=endpoint.name,
                before=run.pace,
                after=order.percent,
                outcome="done",
            )
            run.pace = order.percent
            run.is_pace_unknown = False
