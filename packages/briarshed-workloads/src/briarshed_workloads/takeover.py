"""What a new leader takes over from earlier ones besides their jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarshed_workloads.fleet import DOUBTFUL, MS_PER_S, TOKEN_COUNTER_BITS, Run
from briarshed_workloads.jobs import find_need
from briarshed_workloads.leases import CALL_DELAY_S, CLOCK_DOUBT_S
from briarshed_workloads.supervision import report_error

if TYPE_CHECKING:
    from briarshed_workloads.engine import Engine
    from briarshed_workloads.fleet import Endpoint
    from briarshed_workloads.jobs import Job
    from briarshed_workloads.leases import LeaseTimes
    from briarshed_workloads.workloads import TaskId


class EarlierLeaders:
    """What earlier leaders may still do or have running, as a new leader knows it.

    Times are seconds of the boot clock.

    Parameters
    ----------
    lease_times : LeaseTimes
        Run leases, which are the same for all leaders.

    Attributes
    ----------
    term_ended_at : float
        Latest time at which the previous leader's term can have ended.
    runs_until : float
        Time until which runs that they ordered may go on at endpoints that have not
        been polled yet.
    contested_until : float
        Time until which a pool may be contested, see `briarshed_workloads.consent`.
    is_roster_unreadable : bool
        Whether the record of endpoints that may have runs could not be decoded.
    pools_taken_over : set
        Pools that are contested no more.
    """

    def __init__(self, lease_times: LeaseTimes) -> None:
        self._lease_times = lease_times
        self._latest_run = 0.0
        self.term_ended_at = 0.0
        self.runs_until = 0.0
        self.contested_until = 0.0
        self.is_roster_unreadable = False
        self.pools_taken_over: set[str] = set()

    def note_term_end(self, ended_at: float) -> None:
        """Note the latest time at which the previous leader's term can have ended.

        Runs that it ordered may go on at endpoints that have not been polled yet, until
        the longest run lease has expired.
        """
        self.term_ended_at = ended_at
        self.runs_until = ended_at + self._lease_times.longest_granted

    def note_leader(self, until: float) -> None:
        """Note that an earlier leader may have authority until a time."""
        self.contested_until = until + self._lease_times.longest_granted

    def note_recorded(
        self,
        endpoint: Endpoint,
        started_at_ms: int,
        has_restarted: bool,
        unix_now: float,
    ) -> None:
        """Note what the roster tells of an endpoint that earlier leaders have used.

        It may have carried out a late call for its earlier incarnation, with a deadline
        that is far ahead on its clock, and keep runs for the longest lease that it
        accepts. This holds if it has restarted lately. One that is not registered may
        have restarted unseen.
        """
        registered_at_ms = endpoint.registration.started_at_ms
        endpoint.has_restarted |= has_restarted or registered_at_ms != started_at_ms
        if not endpoint.is_listed:
            self._expect_late_runs(endpoint)
        elif endpoint.has_restarted:
            latest_ms = max(registered_at_ms, started_at_ms)
            self.note_restarted(endpoint, unix_now, latest_ms)

    def note_restarted(
        self, endpoint: Endpoint, unix_now: float, started_at_ms: int = 0
    ) -> None:
        """Note an endpoint that has restarted, before or after their term ended.

        Parameters
        ----------
        started_at_ms : int
            Start of its latest incarnation in Unix ms, if it is not the registered one.
        """
        started_at_ms = started_at_ms or endpoint.registration.started_at_ms
        age = unix_now - started_at_ms / MS_PER_S
        if age < self._lease_times.longest_late_deadline + CLOCK_DOUBT_S:
            self._expect_late_runs(endpoint)

    def _expect_late_runs(self, endpoint: Endpoint) -> None:
        until = self._lease_times.find_late_runs_end(self.term_ended_at)
        endpoint.earlier_runs_until = until
        self._latest_run = max(self._latest_run, until)

    def find_runs_end(self, endpoint: Endpoint) -> float:
        """Return until when unknown runs of theirs may go on at an endpoint.

        This holds unless it has answered a poll of this leader. One that has ended has
        none, but its next incarnation may carry out late calls until then.
        """
        if endpoint.has_ended:
            return self.term_ended_at + CALL_DELAY_S
        return max(self.runs_until, endpoint.earlier_runs_until)

    def may_have_runs(self, now: float) -> bool:
        """Return whether unknown runs of theirs may go on anywhere."""
        return now < max(self.runs_until, self._latest_run)


def is_contested(engine: Engine, pool: str, now: float) -> bool:
    """Return whether an earlier leader may start tasks in a pool.

    It cannot any more once all endpoints of the pool have answered a poll or ended.
    """
    earlier = engine.earlier
    if now >= earlier.contested_until or pool in earlier.pools_taken_over:
        return False
    if earlier.is_roster_unreadable or any(
        not endpoint.polled_at
        and not endpoint.is_gone
        and not endpoint.has_ended
        and endpoint.registration.pool in (pool, "")
        for endpoint in engine.endpoints.values()
    ):
        return True
    earlier.pools_taken_over.add(pool)
    engine.report("POOL_TAKEN_OVER", pool=pool, epoch=engine.epoch)
    return False


def may_have_earlier_runs(engine: Engine, pool: str, now: float) -> bool:
    """Return whether an endpoint of a pool may have unknown runs of an earlier leader.

    A waiting task of a restored job may be running there until each endpoint is fenced
    or gone, or its run lease has expired. It may have succeeded at an endpoint that
    responds and has not listed all ends.
    """
    earlier = engine.earlier
    if not earlier.may_have_runs(now) and not engine.partly_listed:
        return False
    if now < earlier.runs_until and earlier.is_roster_unreadable:
        return True
    return any(
        endpoint.fenced_counter == 0
        and not endpoint.is_gone
        and endpoint.registration.pool in (pool, "")
        and (
            now < earlier.find_runs_end(endpoint)
            or _may_list_more_ends(engine, endpoint, now)
        )
        for endpoint in engine.endpoints.values()
    )


def _may_list_more_ends(engine: Engine, endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint has ends to list, which its lease does not void."""
    is_silent = endpoint.failing_since > 0 and now > endpoint.find_lease_expiry()
    return endpoint in engine.partly_listed and not is_silent


def note_ended(engine: Engine, endpoint: Endpoint, state: str) -> None:
    """Note that an endpoint that this leader has never reached has certainly ended.

    Its runs have ended with it, and no leader can start any there. Late calls may still
    be carried out by its next incarnation.
    """
    if endpoint.has_ended or endpoint.polled_at or endpoint.is_gone:
        return
    endpoint.has_ended = True
    instance = endpoint.registration.instance
    engine.report(
        "ENDPOINT_ENDED", endpoint=endpoint.name, instance=instance, state=state
    )


def restore_unsettled(engine: Engine) -> None:
    """Track the recorded starts that no earlier leader has settled.

    Their tasks wait until the endpoint has answered a poll or its run lease has
    expired. An endpoint that is not known any more has certainly ended its runs.
    """
    for jobs in engine.open_jobs.values():
        for job in jobs.values():
            try:
                _restore_starts(engine, job)
            except Exception as error:
                report_error(f"starts of job {job.job_id}", error)


def _restore_starts(engine: Engine, job: Job) -> None:
    for task, starts in list(job.unsettled_starts.items()):
        for number, name in list(starts.items()):
            endpoint = engine.endpoints.get(name)
            if endpoint is None or not job.has_task(task) or job.has_succeeded(task):
                job.settle_start(task, number)
            else:
                _restore_start(engine, job, task, number, endpoint)


def _restore_start(
    engine: Engine, job: Job, task: TaskId, number: int, endpoint: Endpoint
) -> None:
    step = job.find_step(task)
    # It was sent before the earlier term ended; how long before is not recorded.
    sent_at = engine.earlier.term_ended_at
    run = Run(task, number, endpoint, step, find_need(step), job.team, sent_at)
    run.state = DOUBTFUL
    run.unknown_at = sent_at
    run.token = engine.epoch << TOKEN_COUNTER_BITS  # less than any of this term
    run.is_copy = bool(engine.runs.get(task))
    engine.track(run)
    job.note_ordered(task)
    engine.report_run("ORDER_KEPT", run, "not settled by an earlier leader")


def drop_superseded(engine: Engine, found: Run) -> None:
    """Remove starts of a task before one that an endpoint has listed.

    The leader that ordered the listed run had settled those before it, unless the task
    may have several runs.
    """
    if found.step.speculative:
        return
    for run in list(engine.runs.get(found.task, ())):
        if run.state == DOUBTFUL and run.number < found.number:
            engine.drop(run, "the task was started again later")
