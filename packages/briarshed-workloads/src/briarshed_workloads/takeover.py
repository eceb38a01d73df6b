"""What a new leader takes over from earlier ones besides their jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarshed_workloads.fleet import DOUBTFUL, TOKEN_COUNTER_BITS, Run
from briarshed_workloads.jobs import find_need
from briarshed_workloads.supervision import report_error

if TYPE_CHECKING:
    from briarshed_workloads.engine import Engine
    from briarshed_workloads.fleet import Endpoint
    from briarshed_workloads.jobs import Job
    from briarshed_workloads.workloads import TaskId


def restore_unanswered(engine: Engine) -> None:
    """Track the recorded starts whose outcome no earlier leader has learned.

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
    for task, starts in list(job.unanswered.items()):
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
    sent_at = engine.earlier_term_ended_at
    run = Run(task, number, endpoint, step, find_need(step), job.team, sent_at)
    run.state = DOUBTFUL
    run.unknown_at = sent_at
    run.token = engine.epoch << TOKEN_COUNTER_BITS  # less than any of this term
    run.is_copy = bool(engine.runs.get(task))
    engine.track(run)
    job.note_ordered(task)
    engine.report_run("ORDER_KEPT", run, "no response to an earlier leader")


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
