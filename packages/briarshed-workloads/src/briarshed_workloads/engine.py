"""The leader's state of jobs, runs and endpoints, without I/O: time is an input."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from briarshed_workloads.checkpoints import measure_checkpoint
from briarshed_workloads.configuration import (
    UNLIMITED_TEAM,
    Configuration,
    QueueRules,
    find_weight,
)
from briarshed_workloads.crashes import (
    note_crash,
    note_silence,
    withdraw_evidence,
)
from briarshed_workloads.evacuation import Evacuations
from briarshed_workloads.evidence import Crash
from briarshed_workloads.fleet import (
    DOUBTFUL,
    MS_PER_S,
    ORDERED,
    PRESENT,
    STOPPING,
    Endpoint,
    Run,
    StopOrder,
    Usage,
    read_counter,
)
from briarshed_workloads.jobs import (
    COMPLETED,
    EMPTY_DESCRIPTION,
    Job,
    find_need,
    make_job,
)
from briarshed_workloads.leases import LeaseTimes
from briarshed_workloads.memory import JobMemory
from briarshed_workloads.outliers import list_projected, note_run_time
from briarshed_workloads.records import JobRecord, ProgressRecord
from briarshed_workloads.run_times import RunTimes
from briarshed_workloads.shares import Shares
from briarshed_workloads.supervision import report_error
from briarshed_workloads.takeover import EarlierLeaders, drop_superseded
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    EndedRun,
    ListedRun,
    PollResponse,
    Registration,
    Resources,
    Step,
    Submission,
    TaskId,
)

if TYPE_CHECKING:
    from briarshed_workloads.shortage import PoolOutlook

RUN_SEQUENCE_BITS = 24
"""Low bits of a run number: counter of one leader; the high bits are its epoch."""

ORDER_TIMEOUT_S = 3.0
"""Time after which an order whose outcome was not noted counts as without a response;
a start has timed out before."""

MAX_KNOWN_CRASHES = 1_000
"""Crashes that are kept; more than a fleet has within `RECENT_CRASH_S`."""

STOP_AGAIN_S = 0.6
"""Time after which a stop order that had no effect is repeated."""


StepKey = tuple[str, int, int]
"""Job, occurrence and step: the first three fields of a `TaskId`."""


class Engine:
    """State of the jobs, endpoints, runs and team usage of one leader.

    Parameters
    ----------
    epoch : int
        Number of the leader's term; it fences the orders of earlier leaders.
    lease_times : LeaseTimes
        Run leases.
    report : callable
        Called with the name and fields of each log event.

    Attributes
    ----------
    unsaved_jobs : dict
        Ids of the jobs whose records must be written.
    withdrawn : dict
        Ids that callers have cancelled although no job had them, and when, in Unix
        seconds. A submission that arrives later must not be accepted.
    job_memory : JobMemory
        Memory that the open jobs take.
    roster : set
        Endpoints whose present incarnation is recorded, so that they may get runs: the
        next leader must know of each that may have some.
    step_runs : dict
        Runs by the first three fields of their task: job, occurrence and step.
    partly_listed : set
        Endpoints that may have ends besides those in their last response, since they
        list a limited number at a time.
    crashes : deque
        Crashes of endpoints, in the order in which they became known.
    run_times : RunTimes
        Expected run times of tasks.
    outlooks : dict
        What the last plan of each pool expects, see `briarshed_workloads.shortage`.
    incoming : dict
        Capacity of the instances that move into each pool.
    earlier : EarlierLeaders
        What earlier leaders may still do or have running.
    evacuated : Evacuations
        The evacuated data centres; the entry replaces it by what it knows.
    """

    def __init__(
        self, epoch: int, lease_times: LeaseTimes, report: Callable[..., None]
    ) -> None:
        self.epoch = epoch
        self.lease_times = lease_times
        self.report = report
        self.configuration: Configuration | None = None
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, dict[str, Job]] = {}
        self.withdrawn: dict[str, float] = {}
        self.job_memory = JobMemory()
        self.endpoints: dict[str, Endpoint] = {}
        self.runs: dict[TaskId, list[Run]] = {}
        self.step_runs: dict[StepKey, dict[Run, None]] = {}
        self.usage = Usage()
        self.unsaved_jobs: dict[str, None] = {}
        self.earlier = EarlierLeaders(lease_times)
        self.roster: set[str] = set()
        self.partly_listed: set[Endpoint] = set()
        self.run_times = RunTimes()
        self.crashes: deque[Crash] = deque(maxlen=MAX_KNOWN_CRASHES)
        self.shares = Shares()
        self.evacuated = Evacuations()
        self.outlooks: dict[str, PoolOutlook] = {}
        self.incoming: dict[str, Resources] = {}
        self._sequence = 0
        self._last_counters: dict[str, int] = {}
        # Endpoints, by place, that were removed without a proof that they have crashed.
        self._unproved: dict[str, Endpoint] = {}
        self._stop_candidates: dict[Run, None] = {}

    # Jobs

    def find_queue(self, job: Job) -> QueueRules | None:
        """Return the current rules of the job's queue, or None if it was removed."""
        return self.configuration.queues.get(job.queue) if self.configuration else None

    def find_team_limit(self, team: str) -> Resources:
        """Return the team's limit; removed teams are unlimited.

        Jobs of open queues have the team ``""``, which is unlimited too.
        """
        if not team or self.configuration is None:
            return NO_RESOURCES
        return self.configuration.teams.get(team, UNLIMITED_TEAM).maximum

    def accept(self, submission: Submission, unix_now: float) -> Job:
        """Add a job, or return the existing job with the same id."""
        known = self.jobs.get(submission.job)
        if known is not None:
            return known
        queue = self.configuration.queues.get(submission.queue)
        job = make_job(submission, queue, self.job_memory)
        weight = find_weight(self.configuration, job.team)
        job.is_within_share = self.shares.take(job.job_id, job.team, weight, unix_now)
        self.jobs[job.job_id] = job
        self.job_memory.add(job.size)
        self.unsaved_jobs[job.job_id] = None
        return job

    def remove_unrecorded(self, job_id: str) -> None:
        """Remove a job that was accepted and never recorded nor activated."""
        self.unsaved_jobs.pop(job_id, None)
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self.job_memory.remove(job.size)

    def activate(self, job: Job, unix_now: float) -> None:
        """Make an accepted job's tasks ready to start.

        This is called when the job's record is durable.
        """
        job.open_due(unix_now)
        self.open_jobs.setdefault(job.pool, {})[job.job_id] = job

    def restore(
        self,
        job_id: str,
        record: JobRecord,
        progress: ProgressRecord | None,
        unix_now: float,
    ) -> None:
        """Restore a job from its durable records."""
        queue = self.configuration.queues.get(record.queue)
        description = record.description
        job = Job(
            job_id,
            record.queue,
            record.pool,
            record.team,
            record.accepted_at,
            description if description is not None else EMPTY_DESCRIPTION,
            queue.max_attempts if queue else record.max_attempts,
            self.job_memory,
        )
        self.jobs[job_id] = job
        if record.outcome:
            job.state = record.outcome
            job.ended_at = record.ended_at
            return
        job.restore(progress, unix_now)
        if job.is_open:
            self.job_memory.add(job.size)
            self.open_jobs.setdefault(job.pool, {})[job_id] = job

    def cancel(self, job: Job, unix_now: float) -> None:
        """Cancel a job; the next plan stops its runs."""
        job.cancel(unix_now)
        self.unsaved_jobs[job.job_id] = None
        self.add_stop_candidates(job)

    def list_open(self, pool: str) -> dict[str, Job]:
        """Return the open jobs of a pool, after removing those that have ended."""
        jobs = self.open_jobs.setdefault(pool, {})
        for job_id in [key for key, job in jobs.items() if not job.is_open]:
            del jobs[job_id]
        return jobs

    # Runs

    def reserve(
        self, task: TaskId, endpoint: Endpoint, step: Step, team: str, now: float
    ) -> Run:
        """Create a run and reserve its resources at the endpoint and for the team."""
        self._sequence += 1
        number = (self.epoch << RUN_SEQUENCE_BITS) | self._sequence
        run = Run(task, number, endpoint, step, find_need(step), team, now)
        run.is_copy = bool(self.runs.get(task))
        self.track(run)
        endpoint.last_ordered_at = now
        self.jobs[task.job].note_ordered(task)
        return run

    def track(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        run.endpoint.add_run(run)
        self.index_run(run)
        self.usage.charge(run.team, run.need)

    def index_run(self, run: Run) -> None:
        """Add a run to those of its task and of its step."""
        self.runs.setdefault(run.task, []).append(run)
        self.step_runs.setdefault(run.task[:3], {})[run] = None

    def unindex_run(self, run: Run) -> None:
        """Remove a run from those of its task and of its step."""
        rest = [other for other in self.runs.get(run.task, ()) if other is not run]
        if rest:
            self.runs[run.task] = rest
        else:
            self.runs.pop(run.task, None)
        others = self.step_runs.get(run.task[:3], {})
        others.pop(run, None)
        if not others:
            self.step_runs.pop(run.task[:3], None)

    def is_tracked(self, run: Run) -> bool:
        """Return whether a run has not been removed."""
        return run.endpoint.runs.get((run.task, run.number)) is run

    def is_wanted(self, run: Run) -> bool:
        """Return whether a run is tracked and its task is still to be done."""
        job = self.jobs.get(run.task.job)
        is_open = job is not None and job.is_open
        return is_open and self.is_tracked(run) and not job.has_succeeded(run.task)

    def was_in_crash(self, task: TaskId) -> bool:
        """Return whether an endpoint has crashed while it ran the task."""
        job = self.jobs.get(task.job)
        return job is not None and bool(job.crashes.get(task))

    def renumber(self, run: Run, number: int) -> None:
        """Give a run the run number of its gang before its start order is sent."""
        del run.endpoint.runs[run.task, run.number]
        run.number = number
        run.endpoint.runs[run.task, number] = run

    def drop(self, run: Run, reason: str) -> None:
        """Remove a run that has certainly ended or never started."""
        if not run.endpoint.remove_run(run):
            return
        self._stop_candidates.pop(run, None)
        self.usage.refund(run.team, run.need)
        self.unindex_run(run)
        job = self.jobs.get(run.task.job)
        if job is not None:
            job.settle_start(run.task, run.number)
            if run.checkpoint:
                self._note_checkpoint(job, run.task, run.checkpoint)
            if run.task not in self.runs:
                job.requeue(run.task)
        self.report_run("RUN_DROPPED", run, reason)

    def _record_start(self, run: Run) -> None:
        """Record that the next incarnation of an endpoint may run a start unseen.

        The next leader must know of it: if the endpoint has restarted and is cut off,
        it may keep the run for the longest lease that it accepts.
        """
        job = self.jobs.get(run.task.job)
        if job is not None and job.is_open and run.token:
            job.note_unsettled(run.task, run.number, run.endpoint.name)
            self.unsaved_jobs[job.job_id] = None

    def _note_checkpoint(self, job: Job, task: TaskId, checkpoint: str) -> bool:
        """Return whether a checkpoint is kept, or is of no use any more."""
        if not job.is_open or not job.has_task(task) or job.has_succeeded(task):
            return True
        if job.note_checkpoint(task, checkpoint):
            return True
        self.report(
            "CHECKPOINT_NOT_KEPT",
            job_id=job.job_id,
            task=task,
            size=measure_checkpoint(checkpoint),
        )
        return False

    def note_started(self, run: Run, clock_ms: int, now: float) -> None:
        """Note that the endpoint has confirmed the start of a run."""
        if run.endpoint.is_gone:
            # The response does not tell whether it is from a later incarnation.
            self.note_outcome_unknown(run, now)
            return
        if run.is_unsettled:
            run.state = PRESENT
        run.confirmed_at = now
        run.progressed_at = now
        run.is_start_confirmed = run.endpoint.has_clock(clock_ms, run.ordered_at, now)
        if not run.is_start_confirmed:
            self._record_start(run)
        job = self.jobs.get(run.task.job)
        if job is not None:
            job.note_begun()
        fenced_counter = run.endpoint.fenced_counter
        if 0 < fenced_counter <= read_counter(run.token):
            # Otherwise an earlier incarnation may have responded, with another clock.
            self._note_response(run.endpoint, clock_ms, now)

    def note_outcome_unknown(self, run: Run, now: float) -> None:
        """Note that a start got no response.

        A poll with a higher token, sent from now on, decides whether it was executed.
        """
        run.state = DOUBTFUL
        run.unknown_at = now
        self._record_start(run)
        endpoint = run.endpoint
        if endpoint.token <= run.token or not endpoint.needs_fence:
            endpoint.require_fence()

    # Endpoints

    def note_registrations(self, listing: Iterable[Registration], now: float) -> None:
        """Apply a new list of registered endpoints."""
        registered: set[str] = set()
        for registration in listing:
            registered.add(registration.endpoint)
            try:
                self._note_registration(registration, now)
            except Exception as error:
                report_error(f"registration of {registration.endpoint}", error)
        self._note_earlier_incarnations(now)
        for name, endpoint in list(self.endpoints.items()):
            if name not in registered:
                if endpoint.is_listed:
                    self._report_endpoint("ENDPOINT_UNLISTED", endpoint.registration)
                endpoint.is_listed = False
                if not endpoint.runs and (endpoint.is_fenced or endpoint.is_gone):
                    self._last_counters[name] = endpoint.counter
                    if endpoint.lost_runs:
                        self._unproved[endpoint.place] = endpoint
                    del self.endpoints[name]

    def _note_registration(self, registration: Registration, now: float) -> None:
        known = self.endpoints.get(registration.endpoint)
        if known is None and not self._has_pool(registration):
            # It may be of another writer, in place of that of a recorded endpoint.
            return
        if known is None:
            added = self.add_endpoint(registration)
            added.known_since = now
            self._note_return(added, now)
            self._report_endpoint("ENDPOINT_ADDED", registration)
        elif not self._has_pool(registration):
            # Another writer has overwritten the registration.
            known.is_listed = True
        elif registration.started_at_ms in known.earlier_starts:
            # The endpoint has restarted and has not registered again yet.
            known.is_listed = True
        elif registration.started_at_ms > known.registration.started_at_ms:
            note_crash(self, known, now)
            known.is_gone = True
            self._drop_ended_runs(known, "registered again", now)
            added = self.add_endpoint(registration)
            added.known_since = now
            self._report_endpoint("ENDPOINT_ADDED", registration)
            self._hand_over(known, added)
            if not known.polled_at:
                # Earlier leaders may have started tasks at either incarnation.
                self.earlier.note_restarted(added, self.to_unix_time(now))
        else:
            known.is_listed = True
            if registration.started_at_ms < known.registration.started_at_ms:
                # The endpoint has restarted and has not registered again yet.
                return
            if registration.draining != known.registration.draining:
                self._report_endpoint("ENDPOINT_CHANGED", registration)
            known.registration = registration

    def _has_pool(self, registration: Registration) -> bool:
        """Return whether the configuration names the pool of a registration."""
        return (
            self.configuration is None or registration.pool in self.configuration.pools
        )

    def _note_return(self, added: Endpoint, now: float) -> None:
        """Note the crash that a later incarnation proves of one no longer registered.

        The same incarnation may also be back; then its runs have only lapsed.
        """
        earlier = self._unproved.pop(added.place, None)
        if earlier is None:
            return
        if added.registration.started_at_ms > earlier.registration.started_at_ms:
            note_crash(self, earlier, now)

    def add_endpoint(self, registration: Registration) -> Endpoint:
        """Add an endpoint, or replace its earlier incarnation.

        Its counter continues where the last one of its name ended. An endpoint that was
        not registered for a while has seen that one, and rejects lower ones.
        """
        name = registration.endpoint
        known = self.endpoints.get(name)
        last = known.counter if known is not None else self._last_counters.pop(name, 0)
        endpoint = Endpoint(registration, self.epoch)
        endpoint.counter = last + 1
        endpoint.has_restarted = last > 0
        self.endpoints[name] = endpoint
        self.roster.discard(name)
        return endpoint

    def _note_earlier_incarnations(self, now: float) -> None:
        """Note that endpoints were replaced by a later one on their instance.

        A registration of a pool that the configuration does not name is no evidence: it
        comes from another writer.
        """
        latest: dict[str, int] = {}
        for endpoint in self.endpoints.values():
            registration = endpoint.registration
            if registration.instance and self._has_pool(registration):
                started_at_ms = max(
                    latest.get(registration.instance, 0), registration.started_at_ms
                )
                latest[registration.instance] = started_at_ms
        for endpoint in self.endpoints.values():
            registration = endpoint.registration
            is_earlier = registration.started_at_ms < latest.get(
                registration.instance, registration.started_at_ms
            )
            is_settled = endpoint.is_gone and not endpoint.runs
            if is_earlier and (not is_settled or endpoint.lost_runs):
                note_crash(self, endpoint, now)
                self.note_replaced(endpoint, "a later incarnation runs on its instance")

    def _report_endpoint(self, event: str, registration: Registration) -> None:
        self.report(
            event,
            endpoint=registration.endpoint,
            pool=registration.pool,
            instance=registration.instance,
            address=registration.address,
            started_at_ms=registration.started_at_ms,
            draining=registration.draining,
        )

    def note_replaced(self, endpoint: Endpoint, reason: str) -> None:
        """Note that an incarnation and all its runs have certainly ended."""
        endpoint.is_gone = True
        self.drop_runs(endpoint, reason)

    def _drop_ended_runs(self, endpoint: Endpoint, reason: str, now: float) -> None:
        """Remove the runs of an incarnation that has been replaced by the next one.

        An order names the endpoint but not its incarnation, and neither does the
        response to it, so that the next incarnation may have carried it out before it
        became known, or may still do so. Runs that only an order tells of are settled
        by a poll with a higher token.
        """
        self._note_earlier_deadlines(endpoint, now)
        for run in list(endpoint.runs.values()):
            if run.is_listed or not run.token:
                self.drop(run, reason)
                continue
            if run.state != ORDERED:
                run.state = DOUBTFUL
                run.unknown_at = now
            # It is not known whether the next incarnation runs it.
            run.is_start_confirmed = False
            self.report_run("ORDER_KEPT", run, reason)

    def _note_earlier_deadlines(self, endpoint: Endpoint, now: float) -> None:
        """Note that calls for an endpoint's earlier incarnation may reach the next one.

        Their deadlines are far ahead on its new clock.
        """
        endpoint.earlier_deadlines_until = self.lease_times.find_late_runs_end(now)

    def report_run(self, event: str, run: Run, reason: str) -> None:
        """Report an event of a run."""
        self.report(
            event,
            job_id=run.task.job,
            task=run.task,
            run=run.number,
            epoch=self.epoch,
            endpoint=run.endpoint.name,
            started_at_ms=run.endpoint.registration.started_at_ms,
            state=run.state,
            ordered_at=round(run.ordered_at, 3),
            reason=reason,
        )

    def _hand_over(self, earlier: Endpoint, later: Endpoint) -> None:
        """Let the next incarnation of an endpoint settle the orders of the earlier one.

        At another address it cannot receive them.
        """
        start = earlier.registration.started_at_ms
        later.earlier_starts = earlier.earlier_starts | {start}
        later.earlier_deadlines_until = earlier.earlier_deadlines_until
        later.earlier_runs_until = earlier.earlier_runs_until
        if later.registration.address != earlier.registration.address:
            self.drop_runs(earlier, "registered again at another address")
            return
        for run in list(earlier.runs.values()):
            earlier.remove_run(run)
            run.endpoint = later
            later.add_run(run)

    def drop_runs(self, endpoint: Endpoint, reason: str) -> None:
        """Remove all runs of an endpoint."""
        for run in list(endpoint.runs.values()):
            self.drop(run, reason)

    def drop_expired_runs(self, now: float) -> int:
        """Remove the runs of unresponsive endpoints whose run lease has expired.

        Returns
        -------
        int
            Number of endpoints whose runs were removed.
        """
        count = 0
        for endpoint in self.endpoints.values():
            if not (endpoint.failing_since or endpoint.is_gone):
                continue
            expired = [
                run
                for run in endpoint.runs.values()
                if now > self._find_run_expiry(run)
            ]
            endpoint.lost_runs += expired
            for run in expired:
                self.drop(run, "lapsed unseen")
            count += bool(expired)
        return count

    def _find_run_expiry(self, run: Run) -> float:
        """Return when a run has ended at the latest if no further call arrives.

        If the endpoint has restarted unseen, it may have carried calls out seconds
        later, and the deadlines that were chosen by its earlier clock may be far ahead
        on the new one.
        """
        endpoint = run.endpoint
        expiry = endpoint.find_lease_expiry()
        if run.may_be_at_next_incarnation:
            sent_at = max(endpoint.deadline_sent_at, run.ordered_at)
            expiry = max(expiry, self.lease_times.find_late_runs_end(sent_at))
        return expiry

    def _note_response(self, endpoint: Endpoint, clock_ms: int, now: float) -> None:
        if endpoint.failing_since:
            withdraw_evidence(self, endpoint)
        endpoint.answered_at = now
        endpoint.failing_since = 0.0
        endpoint.lost_runs.clear()
        if clock_ms >= endpoint.clock_sample_ms:
            endpoint.clock_sample_ms = clock_ms
            endpoint.clock_sampled_at = now

    def note_failing(
        self, endpoint: Endpoint, reason: str, now: float, alive_until: float = 0.0
    ) -> None:
        """Note that an endpoint did not respond.

        ``alive_until`` is a time at which it was certainly running, if that is later
        than its last response.
        """
        if not endpoint.failing_since:
            endpoint.failing_since = now
            endpoint.alive_until = max(alive_until, endpoint.answered_at)
            note_silence(self, endpoint)
            self.report(
                "ENDPOINT_SILENT",
                endpoint=endpoint.name,
                runs=len(endpoint.runs),
                lapse_in=round(endpoint.find_lease_expiry() - now, 2),
                reason=reason,
            )

    def note_poll(
        self,
        endpoint: Endpoint,
        response: PollResponse,
        counter: int,
        sent_at: float,
        now: float,
    ) -> None:
        """Apply an endpoint's response to a poll.

        Parameters
        ----------
        counter : int
            Counter of the fencing token that the poll carried.
        sent_at : float
            When the poll was sent, in seconds of the boot clock.
        """
        if endpoint.is_gone:
            # The response is from a later incarnation, or overtaken by the end.
            return
        if (
            response.started_at_ms != endpoint.registration.started_at_ms
            and response.started_at_ms
        ):
            # Otherwise the response may be of an earlier incarnation, and overtaken.
            if sent_at >= endpoint.seen_at:
                self._note_restart(endpoint, response.started_at_ms, now)
            return
        endpoint.seen_at = now
        self._note_response(endpoint, response.clock_ms, now)
        endpoint.polled_at = now
        endpoint.has_ended = False
        longest_until = now + self.lease_times.longest_accepted
        if not endpoint.fenced_counter:
            endpoint.note_earlier_deadline(self.lease_times.max_run_lease)
            if self._may_have_late_deadline(endpoint, response.clock_ms):
                endpoint.earlier_deadlines_until = max(
                    endpoint.earlier_deadlines_until, longest_until
                )
        if response.may_have_more_ends:
            self.partly_listed.add(endpoint)
        else:
            self.partly_listed.discard(endpoint)
            endpoint.note_listed(response.clock_ms)
            # Until all ends are listed, a task of an earlier leader's run that is not
            # listed may have succeeded, so that it must not start again.
            if counter >= endpoint.fence_counter:
                endpoint.needs_fence = False
                # Earlier calls, with their deadlines, are rejected from now on.
                endpoint.earlier_deadlines_until = min(
                    endpoint.earlier_deadlines_until, longest_until
                )
            endpoint.fenced_counter = max(endpoint.fenced_counter, counter)
        for ended in response.ended:
            endpoint.note_listed_end(ended.end_number)
            if ended.end_number > endpoint.last_listed_end:
                # An end that could not be noted must not be acknowledged.
                self._note_end(endpoint, ended, now)
                endpoint.last_listed_end = ended.end_number
        listed_runs = {(row.task, row.run) for row in response.running}
        for row in response.running:
            self._note_running(endpoint, row, now)
        endpoint.reputation.note_projected(
            list_projected(endpoint, self.run_times, now)
        )
        if not response.may_have_more_ends:
            self._drop_missing(endpoint, listed_runs, counter, sent_at)

    def _may_have_late_deadline(self, endpoint: Endpoint, clock_ms: int) -> bool:
        """Return whether a call for an earlier incarnation may have set a deadline.

        The clock of an incarnation starts anew.
        """
        longest = self.lease_times.longest_late_deadline
        return endpoint.has_restarted and clock_ms < longest * MS_PER_S

    def _note_restart(self, endpoint: Endpoint, started_at_ms: int, now: float) -> None:
        """Reset the state of an endpoint that restarted under the same name."""
        note_crash(self, endpoint, now)
        self._drop_ended_runs(endpoint, "endpoint restarted", now)
        endpoint.seen_at = now
        endpoint.known_since = now
        endpoint.earlier_starts |= {endpoint.registration.started_at_ms}
        endpoint.earlier_starts -= {started_at_ms}
        endpoint.registration = endpoint.registration._replace(
            started_at_ms=started_at_ms
        )
        endpoint.has_restarted = True
        self.roster.discard(endpoint.name)
        self._report_endpoint("ENDPOINT_RESTARTED", endpoint.registration)
        endpoint.reset_incarnation()
        self.partly_listed.discard(endpoint)

    def _drop_missing(
        self,
        endpoint: Endpoint,
        listed_runs: set[tuple[TaskId, int]],
        counter: int,
        sent_at: float,
    ) -> None:
        for key, run in list(endpoint.runs.items()):
            if key in listed_runs:
                continue
            settled = (
                run.state == DOUBTFUL
                and counter > read_counter(run.token)
                and sent_at >= run.unknown_at
            )
            confirmed = run.confirmed_at and run.confirmed_at < sent_at
            if settled or (confirmed and run.state in (PRESENT, STOPPING)):
                self.drop(
                    run,
                    "no response to the order, and not listed by a later poll"
                    if settled
                    else "no longer listed by the endpoint",
                )

    def _note_running(self, endpoint: Endpoint, row: ListedRun, now: float) -> None:
        run = endpoint.runs.get((row.task, row.run))
        if run is None:
            run = self._adopt(endpoint, row, now)
            if run is None:
                return
        if run.is_unsettled:
            run.state = STOPPING if run.stop_requested_at else PRESENT
            run.confirmed_at = now
        run.is_listed = True
        if row.percent != run.percent:
            run.progressed_at = now
        run.percent = row.percent
        run.load = row.load
        job = self.jobs.get(row.task.job)
        if job is None:
            return
        job.note_begun()
        job.settle_start(row.task, row.run)
        if job.withdraw_crash(row.task, row.run):
            self.unsaved_jobs[job.job_id] = None
        is_settled = run.step.long_running and run.is_serving
        if is_settled and job.crashes.pop(row.task, None):
            self.unsaved_jobs[job.job_id] = None
        is_new = row.checkpoint and row.checkpoint != run.checkpoint
        if is_new and self._note_checkpoint(job, row.task, row.checkpoint):
            run.checkpoint = row.checkpoint

    def _adopt(self, endpoint: Endpoint, row: ListedRun, now: float) -> Run | None:
        """Track a listed run that this leader did not order or had removed."""
        job = self.jobs.get(row.task.job)
        is_known = job is not None and job.has_task(row.task)
        step, team = Step(1, NO_RESOURCES), ""
        if is_known:
            step, team = job.find_step(row.task), job.team
        run = Run(row.task, row.run, endpoint, step, find_need(step), team, now)
        run.confirmed_at = now
        run.is_adopted = True
        run.has_unknown_need = not is_known
        drop_superseded(self, run)
        wanted = (
            job is not None
            and job.is_open
            and job.has_task(row.task)
            and not job.has_succeeded(row.task)
            and not self.runs.get(row.task)
        )
        self.track(run)
        if wanted:
            run.state = PRESENT
            job.note_ordered(row.task)
        else:
            run.state = STOPPING
            self._stop_candidates[run] = None
        self.report(
            "RUN_ADOPTED",
            job_id=row.task.job,
            task=row.task,
            run=row.run,
            epoch=self.epoch,
            endpoint=endpoint.name,
            started_at_ms=endpoint.registration.started_at_ms,
            wanted=wanted,
        )
        return run

    def _note_end(self, endpoint: Endpoint, ended: EndedRun, now: float) -> None:
        run = endpoint.runs.get((ended.task, ended.run))
        job = self.jobs.get(ended.task.job)
        if job is None or not job.has_task(ended.task):
            if run is not None:
                self.drop(run, ended.outcome)
            return
        job.note_begun()
        is_kept = ended.checkpoint and self._note_checkpoint(
            job, ended.task, ended.checkpoint
        )
        if is_kept and run is not None:
            run.checkpoint = ended.checkpoint
        if ended.outcome == "succeeded":
            self._note_success(endpoint, job, ended, run, now)
        elif ended.outcome == "failed":
            self._note_failure(endpoint, job, ended, now)
        elif ended.checkpoint:
            self.unsaved_jobs[job.job_id] = None
        if run is not None:
            self.drop(run, ended.outcome)

    def _note_success(
        self,
        endpoint: Endpoint,
        job: Job,
        ended: EndedRun,
        run: Run | None,
        now: float,
    ) -> None:
        if not job.is_open:
            return
        endpoint.reputation.note_success()
        if run is not None and run.confirmed_at and not run.checkpoint:
            note_run_time(endpoint, run, self.run_times, now)
        was_open = job.is_open
        if job.note_succeeded(ended.task, self.to_unix_time(now)):
            self.unsaved_jobs[job.job_id] = None
        for other in self.runs.get(ended.task, ()):
            self._stop_candidates[other] = None
        if not job.is_open:
            self.add_stop_candidates(job)
        if was_open and job.state == COMPLETED:
            self.report("JOB_COMPLETED", job_id=job.job_id, queue=job.queue)

    def note_task_failure(self, endpoint: Endpoint, source: str, now: float) -> None:
        """Note a failed or stalled task, and eject the endpoint after too many.

        ``source`` is the image of the task, or its job if it has none.
        """
        seconds = endpoint.reputation.note_failure(source, now)
        if seconds:
            self.report("ENDPOINT_AVOIDED", endpoint=endpoint.name, seconds=seconds)

    def _note_failure(
        self, endpoint: Endpoint, job: Job, ended: EndedRun, now: float
    ) -> None:
        if not job.is_open or job.has_succeeded(ended.task):
            return
        step = job.find_step(ended.task)
        self.unsaved_jobs[job.job_id] = None
        job.failed_endpoints.setdefault(ended.task, set()).add(endpoint.name)
        self.note_task_failure(endpoint, step.image or job.job_id, now)
        if job.note_failed(ended.task, ended.run, self.to_unix_time(now)):
            self.add_stop_candidates(job)
            self.report(
                "JOB_FAILED",
                job_id=job.job_id,
                queue=job.queue,
                task=ended.task,
                attempts=job.max_attempts,
            )

    unix_offset = 0.0
    """Unix time minus the boot clock, in seconds; the controller updates it."""

    def to_unix_time(self, now: float) -> float:
        """Convert a time of the boot clock to Unix time; both in seconds."""
        return now + self.unix_offset

    def list_due_stop_orders(self, now: float) -> list[StopOrder]:
        """Return the stop orders that are due, for runs that are no longer wanted.

        These are runs of ended or unknown jobs, of succeeded tasks, and runs that are
        already to be stopped. An order is repeated every `STOP_AGAIN_S` while the run
        is listed.
        """
        orders = []
        for run in self._stop_candidates:
            reason = self._find_stop_reason(run)
            if reason and now - run.stop_requested_at >= STOP_AGAIN_S:
                orders.append(StopOrder(run, reason))
        return orders

    def add_stop_candidates(self, job: Job) -> None:
        """Let the next `list_due_stop_orders` check all runs of a job."""
        for key, runs in self.step_runs.items():
            if key[0] == job.job_id:
                self._stop_candidates.update(runs)

    def add_stop_candidate(self, run: Run) -> None:
        """Let `list_due_stop_orders` check a stopping run until it has ended."""
        self._stop_candidates[run] = None

    def _find_stop_reason(self, run: Run) -> str:
        if run.is_unsettled:
            return ""
        job = self.jobs.get(run.task.job)
        if job is None or not job.has_task(run.task):
            return "unknown job"
        if not job.is_open:
            return job.state
        if job.has_succeeded(run.task):
            return "task has succeeded"
        return "already to be stopped" if run.state == STOPPING else run.stop_reason
