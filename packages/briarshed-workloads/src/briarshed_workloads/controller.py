"""The leader's loops: observe endpoints, plan orders, and write records."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Coroutine
from types import TracebackType
from typing import Any, NamedTuple, Self

from briarshed import events
from briarshed.exceptions import BriarshedError
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads import telemetry
from briarshed_workloads.admission import find_retry_delay
from briarshed_workloads.configuration import Configuration
from briarshed_workloads.copies import plan_copies
from briarshed_workloads.disruption import list_evictions, list_pacing
from briarshed_workloads.engine import Engine
from briarshed_workloads.evacuation import count_runs, find_confined_step
from briarshed_workloads.fenced_writer import LeadershipLostError
from briarshed_workloads.fleet import StopOrder
from briarshed_workloads.interfaces import (
    Directory,
    Endpoints,
    Instances,
    NotExecutedError,
    OutcomeUnknownError,
    Store,
)
from briarshed_workloads.jobs import FINAL_STATES, make_job
from briarshed_workloads.leadership import LeaderTerm
from briarshed_workloads.leases import LeaseTimes
from briarshed_workloads.maintenance import Maintenance
from briarshed_workloads.options import EntryOptions
from briarshed_workloads.orders import OrderSender
from briarshed_workloads.outliers import list_stalled_runs
from briarshed_workloads.persistence import Persistence
from briarshed_workloads.planning import MAX_STARTS_PER_PLAN, plan_starts
from briarshed_workloads.polling import EndpointPoller
from briarshed_workloads.reconciliation import correct_state
from briarshed_workloads.refusals import Refusals
from briarshed_workloads.retention import retire_ended
from briarshed_workloads.shares import restore_shares
from briarshed_workloads.shortage import list_shortages
from briarshed_workloads.slices import WorkSlice
from briarshed_workloads.start_permit import StartPermit
from briarshed_workloads.supervision import (
    RESTART_PAUSE_S,
    FailureCounter,
    LoopSupervisor,
    contain_errors,
)
from briarshed_workloads.takeover import restore_unsettled
from briarshed_workloads.waiting import list_waiting
from briarshed_workloads.workloads import Submission

RUN_LEASE_S = 4.0
"""How long endpoints keep runs without a poll. A change of the leader takes up to 2.5 s
and starts at most one poll interval after the last poll."""

ENDPOINT_REFRESH_S = 0.6
"""Interval of reading the registrations; an endpoint that drains must receive no work
after 2 s."""

PLAN_INTERVAL_S = 0.25
"""Longest time between two plans; covers changes caused by time alone."""

PLAN_PAUSE_S = 0.008
"""Pause between two plans, so that a plan covers several events."""

RECONCILE_INTERVAL_S = 1.0
"""Interval of correcting contradictions in the state; a task that nothing runs must not
wait for 3 s."""

WAITING_REPORT_INTERVAL_S = 1.0

MAX_FAILURES, FAILURE_PERIOD_S = 10, 3.0
"""Number of unexpected errors of one loop within this time after which another entry
should lead."""

FULL_RETRY_AFTER_S = 10.0
"""Retry delay for callers whose job is refused because too much work is open."""

EVACUATED_RETRY_AFTER_S = 5.0
"""Retry delay for callers whose job only evacuated data centres could run; it is up to
an operator when they return."""

RETRY_AFTER_S = 1.0
"""Retry delay for callers whose job cannot be accepted now; the store is retried more
often."""


MAX_WITHDRAWN = 10_000
"""Ids cancelled without a job that are kept; each costs a record in the store."""

OUTAGE_CHECK_S = 0.05
"""Interval of checking whether submissions wait although the store is unavailable."""

DURABILITY_CHECK_S = 0.02
"""Interval of checking whether a change is durable; a write takes 4 ms and more."""


class SubmitResult(NamedTuple):
    """Outcome of a submission; ``retry_after`` is in seconds."""

    outcome: str
    retry_after: float = 0.0


class Controller:
    """Controls the fleet for one term; a context manager that owns the loops.

    Parameters
    ----------
    options : EntryOptions
        Settings of this entry.
    term : LeaderTerm
        Term in which this controller acts.
    store, endpoints, instances, directory
        Adapters of the external systems.
    """

    def __init__(
        self,
        options: EntryOptions,
        term: LeaderTerm,
        store: Store,
        endpoints: Endpoints,
        instances: Instances,
        directory: Directory,
    ) -> None:
        run_lease = min(RUN_LEASE_S, options.site_limits.max_run_lease)
        self.options = options
        self.term = term
        self.is_loaded = False
        self.engine = Engine(
            term.epoch,
            LeaseTimes(run_lease, run_lease, options.site_limits.max_run_lease),
            telemetry.report,
        )
        self.engine.run_times.spread_factor = options.site_limits.spread_factor
        self._store = store
        self._directory = directory
        self._tasks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self._failures: dict[str, FailureCounter] = {}
        self._relocation_retry_at: dict[str, float] = {}
        self.refusals = Refusals()
        self._loops = LoopSupervisor(
            RESTART_PAUSE_S, self._note_error, self._note_failure
        )
        self.persistence = Persistence(
            term,
            self.engine,
            store,
            directory,
            options.site_limits.status_retention,
            self._note_saved,
        )
        self.poller = EndpointPoller(
            term,
            self.engine,
            endpoints,
            options.site_limits,
            self.spawn,
            self.persistence.request_save,
            self._changed.set,
        )
        self.start_permit = StartPermit(
            term, self.engine, options.site_limits.evacuation
        )
        self.orders = OrderSender(
            term,
            self.engine,
            endpoints,
            self.poller,
            self.start_permit.is_valid,
            self.spawn,
            self.persistence.request_save,
            self._changed.set,
        )
        self.maintenance = Maintenance(
            options,
            term,
            self.engine,
            instances,
            self.persistence.save_wave,
            self.persistence.note_sizes,
            self.persistence.save_sizes,
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._loops.__aexit__(kind, error, trace)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.persistence.fail_pending_acceptances()
        telemetry.set_evacuated_runs({})
        telemetry.set_job_bytes({})

    def spawn(
        self, coroutine: Coroutine[Any, Any, Any], name: str
    ) -> asyncio.Task[None]:
        """Run a coroutine in the background and log its failure."""
        task = asyncio.create_task(self._guard(coroutine, name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _guard(self, coroutine: Awaitable[None], name: str) -> None:
        try:
            with contain_errors(name):
                await coroutine
        except BriarshedError as error:
            self._note_error(name, error)

    def _note_error(self, task: str, error: BriarshedError) -> None:
        if not isinstance(error, LeadershipLostError):
            log_event(events.LOOP_FAILED, task=task, error=str(error))
        elif not self.term.lost.is_set():
            self.term.note_event("lose", str(error))

    def _note_failure(self, task: str) -> None:
        """Count an unexpected error of a loop; after too many another entry leads."""
        counter = self._failures.setdefault(
            task, FailureCounter(MAX_FAILURES, FAILURE_PERIOD_S)
        )
        if counter.add(clock.now()):
            self.spawn(self.term.yield_leadership(f"{task} fails repeatedly"), "yield")

    async def _report_waiting(self) -> None:
        """Log at intervals why tasks wait."""
        while True:
            await asyncio.sleep(WAITING_REPORT_INTERVAL_S)
            for row in list_waiting(self.engine, clock.now()):
                log_event(events.TASKS_WAITING, **row._asdict())
            left = count_runs(self.engine)
            telemetry.set_evacuated_runs(left)
            for data_centre, runs in left.items():
                log_event(
                    events.EVACUATION_PROGRESS, data_centre=data_centre, runs=runs
                )
            for fields in list_shortages(self.engine):
                log_event(events.JOBS_GIVE_WAY, **fields)

    async def _reconcile(self) -> None:
        """Correct contradictions in the state at intervals."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            started_at = time.perf_counter()
            pending = self.persistence.pending_acceptances
            retire_ended(self.engine, pending)
            work = WorkSlice()
            for _ in correct_state(self.engine, pending, clock.now()):
                await work.end_if_due()
            telemetry.set_job_bytes(self.engine.job_memory.list_parts())
            self.persistence.request_save()
            self._changed.set()
            telemetry.observe_seconds("reconcile", time.perf_counter() - started_at)

    # Loading

    async def load(self, configuration: Configuration) -> None:
        """Load the records of earlier leaders and start the loops."""
        now = clock.now()
        engine = self.engine
        engine.configuration = configuration
        engine.unix_offset = clock.read_unix_time() - now
        await self.persistence.load_jobs()
        restore_shares(engine.shares, engine.jobs.values(), configuration)
        await self.persistence.load_withdrawn()
        engine.earlier.note_term_end(self.term.vacant_at)
        engine.note_registrations(await self._directory.read_endpoints(), clock.now())
        await self.persistence.load_roster()
        restore_unsettled(engine)
        await self.persistence.load_waves(self.maintenance)
        engine.earlier.note_leader(self.term.earlier_leader_until)
        self.is_loaded = True
        log_event(
            events.TERM_LOADED,
            epoch=engine.epoch,
            jobs=len(engine.jobs),
            endpoints=len(engine.endpoints),
            earlier_leader_s=round(max(0.0, self.term.earlier_leader_until - now), 1),
            seconds=round(clock.now() - now, 3),
        )
        self.poller.start_polling()
        loops = {
            "observe": self._refresh_endpoints,
            "plan": self._plan,
            "save": self.persistence.save,
            "clean": self.persistence.clean,
            "maintain": self.maintenance.run,
            "reconcile": self._reconcile,
            "report": self._report_waiting,
            "refuse": self._refuse_unsent,
        }
        for name, loop in loops.items():
            self._loops.start(loop, name)

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self.engine.configuration = configuration
        for jobs in self.engine.open_jobs.values():
            for job in jobs.values():
                queue = configuration.queues.get(job.queue)
                if queue is not None:
                    job.max_attempts = queue.max_attempts
        self._changed.set()

    # Callers

    async def submit(self, submission: Submission, attempt: int = 0) -> SubmitResult:
        """Accept a job durably.

        Parameters
        ----------
        attempt : int
            Number of the caller's request, see `briarshed_workloads.refusals`.

        Returns
        -------
        SubmitResult
            ``accepted``, ``refused``, ``full`` or ``withdrawn`` (the job will certainly
            not run; the last two are not worth another attempt now) or ``unknown``.
        """
        if submission.job in self.engine.withdrawn:
            is_recorded = await self._wait_for_withdrawal(submission.job)
            retry_after = self.options.site_limits.status_retention
            return SubmitResult("withdrawn" if is_recorded else "unknown", retry_after)
        waiting = self.persistence.pending_acceptances.get(submission.job)
        if waiting is None:
            if submission.job in self.engine.jobs:
                return SubmitResult("accepted")
            if not self.can_accept() or self.refusals.is_outdated(attempt, clock.now()):
                return SubmitResult("refused", RETRY_AFTER_S)
            now = clock.now()
            waited = now - self.refusals.find_first(submission.job, now)
            refusal = self._find_refusal(submission, attempt, waited)
            if refusal is not None:
                return refusal
            # The caller has waited since it was refused first.
            submitted_at = submission.submitted_at - waited
            submission = submission._replace(submitted_at=submitted_at)
            job = self.engine.accept(submission, clock.read_unix_time())
            self.maintenance.note_submitted_work(job.pool, job.core_seconds)
            waiting = asyncio.get_running_loop().create_future()
            self.persistence.pending_acceptances[job.job_id] = waiting
            self.persistence.request_save()
        outcome = await asyncio.shield(waiting)
        retry_after = RETRY_AFTER_S if outcome == "refused" else 0.0
        return SubmitResult(outcome, retry_after)

    def refuse_unread(self, job_id: str) -> SubmitResult:
        """Refuse a job that an entry cannot read, unless it may have been accepted.

        The refusal also holds for requests for the job that were made before, and
        arrive later.

        Returns
        -------
        SubmitResult
            ``full`` (the job will certainly not run), ``withdrawn`` (the same, for
            longer) or ``unknown``.
        """
        if job_id in self.engine.withdrawn:
            retry_after = self.options.site_limits.status_retention
            is_recorded = self.persistence.is_withdrawal_recorded(job_id)
            return SubmitResult("withdrawn" if is_recorded else "unknown", retry_after)
        if self.find_state(job_id) != "missing":
            return SubmitResult("unknown", RETRY_AFTER_S)
        is_kept = self.refusals.note(job_id, clock.now())
        return SubmitResult("full" if is_kept else "unknown", RETRY_AFTER_S)

    async def _refuse_unsent(self) -> None:
        """Refuse waiting submissions at once while nothing can be made durable."""
        while True:
            await asyncio.sleep(OUTAGE_CHECK_S)
            if self.persistence.pending_acceptances and not self.can_accept():
                refused = self.persistence.refuse_unsent()
                if refused:
                    log_event(events.SUBMISSIONS_REFUSED, count=len(refused))

    def _is_confined(self, submission: Submission) -> bool:
        """Return whether only endpoints in evacuated data centres could run a step."""
        step = find_confined_step(
            self.engine,
            submission.description,
            submission.pool,
            self.maintenance.instances,
        )
        if step is not None:
            log_event(
                events.SUBMISSION_CONFINED,
                job_id=submission.job,
                pool=submission.pool,
                label=step.label,
            )
        return step is not None

    def _refuse(self, submission: Submission, retry_after: float) -> SubmitResult:
        """Return a refusal, which is final only if it can be kept."""
        is_kept = self.refusals.note(submission.job, clock.now())
        return SubmitResult("full" if is_kept else "refused", retry_after)

    def _find_refusal(
        self, submission: Submission, attempt: int, waited: float
    ) -> SubmitResult | None:
        """Return why a job is not accepted now; None to accept it.

        A refusal is kept, so that it also holds for the same attempt if it was sent
        twice, and for earlier attempts that arrive later.

        Parameters
        ----------
        waited : float
            Seconds since its caller was first refused.
        """
        now = clock.now()
        if self.refusals.covers(submission.job, attempt, now):
            return SubmitResult("full", RETRY_AFTER_S)
        queue = self.engine.configuration.queues.get(submission.queue)
        job = make_job(submission, queue)
        if not self.engine.job_memory.has_room(job.size):
            log_event(
                events.WORK_LIMIT_REACHED,
                job_id=job.job_id,
                size=job.size,
                held=self.engine.job_memory.open_size,
            )
            return self._refuse(submission, FULL_RETRY_AFTER_S)
        if self._is_confined(submission):
            return self._refuse(submission, EVACUATED_RETRY_AFTER_S)
        unix_now = self.engine.to_unix_time(now)
        retry_after = find_retry_delay(self.engine, job, unix_now - waited, unix_now)
        if retry_after is None:
            return None
        if not self.refusals.note(submission.job, now):
            return None
        telemetry.count("refused jobs", job.pool)
        log_event(
            events.SHORTAGE_REFUSED,
            job_id=job.job_id,
            pool=job.pool,
            team=job.team,
            retry_after=round(retry_after, 2),
        )
        return SubmitResult("full", retry_after)

    def can_accept(self) -> bool:
        """Tell whether a new job can be made durable now."""
        fenced_writer = self.term.fenced_writer
        # A single lost response is no outage: the job waits for the next write.
        is_store_unavailable = self.term.is_store_failing and fenced_writer.is_failing
        is_store_unavailable = (
            is_store_unavailable or fenced_writer.is_store_unavailable(clock.now())
        )
        return self.is_loaded and self.term.has_authority() and not is_store_unavailable

    def find_state(self, job_id: str) -> str:
        """Return the state to report to callers; ``missing`` for an unknown job."""
        job = self.engine.jobs.get(job_id)
        if not self.is_loaded:
            return "unknown"
        if job is None:
            return self._find_state_of_unknown(job_id)
        if job_id in self.persistence.pending_acceptances:
            return "pending"
        if job.state in FINAL_STATES:
            # An outcome is reported only once it is durable.
            return self.persistence.outcomes.get(job_id, "running")
        return job.state

    def _find_state_of_unknown(self, job_id: str) -> str:
        if job_id in self.persistence.unreadable_jobs:
            return "unknown"
        return "missing" if self.term.has_authority() else "unknown"

    async def cancel(self, job_id: str) -> str:
        """Cancel a job durably; return ``cancelled``, ``missing`` or ``unknown``."""
        if not self.is_loaded:
            return "unknown"
        job = self.engine.jobs.get(job_id)
        if job is None:
            return await self._cancel_unknown(job_id)
        if job.is_open:
            self.engine.cancel(job, clock.read_unix_time())
            self._changed.set()
            self.persistence.request_save()
        while job_id not in self.persistence.outcomes:
            if self.term.lost.is_set():
                return "unknown"
            if self.engine.jobs.get(job_id) is not job:
                # Its submission was refused meanwhile.
                return await self._cancel_unknown(job_id)
            await asyncio.sleep(DURABILITY_CHECK_S)
        return "cancelled"

    async def _cancel_unknown(self, job_id: str) -> str:
        """Return ``missing`` once no later submission of an id can be accepted.

        The submission may be on its way, at an entry that is paused for example.
        """
        state = self._find_state_of_unknown(job_id)
        if state != "missing":
            return state
        if job_id not in self.engine.withdrawn:
            if len(self.engine.withdrawn) >= MAX_WITHDRAWN:
                log_event(events.WITHDRAWAL_LIMIT_REACHED, job_id=job_id)
                return "unknown"
            self.persistence.withdraw(job_id)
        return "missing" if await self._wait_for_withdrawal(job_id) else "unknown"

    async def _wait_for_withdrawal(self, job_id: str) -> bool:
        """Wait until a withdrawal is durable.

        Returns False if the term ends before, or the retention of the withdrawal.
        """
        while not self.persistence.is_withdrawal_recorded(job_id):
            if self.term.lost.is_set() or job_id not in self.engine.withdrawn:
                return False
            await asyncio.sleep(DURABILITY_CHECK_S)
        return True

    # Endpoints

    async def _refresh_endpoints(self) -> None:
        while True:
            await asyncio.sleep(ENDPOINT_REFRESH_S)
            self.engine.unix_offset = clock.read_unix_time() - clock.now()
            try:
                listing = await self._directory.read_endpoints()
            except (NotExecutedError, OutcomeUnknownError):
                # Logged by the store client; the last listing remains in use.
                continue
            self.engine.note_registrations(listing, clock.now())
            self.poller.start_polling()
            self._changed.set()

    def _note_saved(self, name: str) -> None:
        if name:
            self.poller.wake(name)
        else:
            self._changed.set()

    # Orders

    async def _plan(self) -> None:
        has_authority = True
        while True:
            try:
                async with asyncio.timeout(PLAN_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            had_authority, has_authority = has_authority, self.term.has_authority()
            if has_authority:
                if not had_authority:
                    self.start_permit.note_authority()
                    self.poller.wake_all()
                self._issue_orders(clock.now())
            await asyncio.sleep(PLAN_PAUSE_S)

    def _issue_orders(self, now: float) -> None:
        engine = self.engine
        started_at = time.perf_counter()
        unix_now = engine.to_unix_time(now)
        unsaved = set(engine.unsaved_jobs)
        engine.drop_expired_runs(now)
        for jobs in engine.open_jobs.values():
            for job in jobs.values():
                if job.description.schedule:
                    job.open_due(unix_now)
        # Errors are contained for each kind of order, so that one kind cannot prevent
        # the others.
        with contain_errors("stop orders", self._note_failure):
            self._issue_stops(now)
        with contain_errors("pace orders", self._note_failure):
            for pace in list_pacing(engine, now):
                pace.run.paced_at = now
                self.spawn(self.orders.send_pace(pace), "pace")
        plans = (plan_starts, plan_copies) if self.start_permit.check(now) else ()
        for plan in plans:
            with contain_errors(plan.__name__, self._note_failure):
                orders = plan(engine, now)
                for order in orders:
                    self.orders.order_start(order)
                if len(orders) >= MAX_STARTS_PER_PLAN:
                    # Further tasks may be left for the next plan.
                    self._changed.set()
        if engine.unsaved_jobs.keys() - unsaved:
            self.persistence.request_save()
        telemetry.observe_seconds("plan", time.perf_counter() - started_at)

    def _issue_stops(self, now: float) -> None:
        engine = self.engine
        stops = engine.list_due_stop_orders(now)
        stops += list_evictions(
            engine,
            now,
            self.maintenance.is_urgent,
            self.options.site_limits.stop_grace,
            self._relocation_retry_at,
        )
        for stall in list_stalled_runs(engine.endpoints.values(), now):
            run = stall.run
            if not self.orders.may_order_stop(run):
                continue
            engine.note_task_failure(run.endpoint, run.step.image or run.task.job, now)
            reason = f"no progress for {stall.seconds:.1f} s"
            stops.append(StopOrder(run, reason))
        for stop in stops:
            if self.orders.may_order_stop(stop.run):
                self.orders.order_stop(stop, now)
