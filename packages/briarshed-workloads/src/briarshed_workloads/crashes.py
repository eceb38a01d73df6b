"""Crashes of endpoints: what was lost in them, and the verdict on its tasks."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from briarshed_workloads.evidence import (
    AT_START,
    NO_EVIDENCE,
    RECENT_CRASH_S,
    SETTLE_S,
    SOLE_SUSPECT,
    SUSPECT,
    UNPROVED,
    Crash,
    CrashTime,
    LostRun,
    Outage,
    choose_start_delay,
    has_followed_start,
    is_given_up,
    is_rack_lost,
    is_shared,
    is_unusual,
    weigh_runs,
)
from briarshed_workloads.fleet import MS_PER_S

if TYPE_CHECKING:
    from briarshed_workloads.engine import Engine
    from briarshed_workloads.fleet import Endpoint
    from briarshed_workloads.jobs import Job
    from briarshed_workloads.workloads import TaskId

MIN_UPTIME_S = 0.5
"""Time for which a process must have run for its crash to be evidence. One that ends
soon after its own start, whatever it runs, has always just started some run. A task
that was in a crash starts at no younger one."""


def note_crash(engine: Engine, endpoint: Endpoint, now: float) -> None:
    """Note that an endpoint's process has provably ended, before its runs are dropped.

    An end that was ordered or announced is no evidence against a task.
    """
    is_expected = endpoint.is_end_ordered or endpoint.evicting
    is_noted = endpoint.is_gone and not endpoint.lost_runs
    if is_noted:
        return
    if is_expected or endpoint.registration.draining:
        withdraw_evidence(engine, endpoint)
        return
    crash = _make_crash(engine, endpoint, now)
    evidence = list(_weigh(engine, crash))
    suspects = [
        run for run, weight in evidence if weight in (SUSPECT, SOLE_SUSPECT, AT_START)
    ]
    if endpoint.fenced_counter:
        # Otherwise it is not known what an earlier leader had started there.
        engine.crashes.append(crash)
    engine.report(
        "ENDPOINT_CRASHED",
        endpoint=endpoint.name,
        runs=len(endpoint.runs) + len(endpoint.lost_runs),
        is_shared=crash.is_shared,
        weighed=sum(weight not in NO_EVIDENCE for _, weight in evidence),
        suspects=[f"{run.task.job} {list(run.task[1:])}" for run in suspects],
    )
    endpoint.lost_runs.clear()
    for run, weight in evidence:
        _note_evidence(engine, run, weight, now)


def note_silence(engine: Engine, endpoint: Endpoint) -> None:
    """Note which runs had just started when an endpoint stopped responding."""
    time = CrashTime(endpoint.alive_until, endpoint.failing_since)
    for run in _list_runs_at_work(endpoint):
        job = _find_open_job(engine, run.task)
        if job is not None and has_followed_start(run, time):
            job.note_crash(run.task, run.number, UNPROVED)
            engine.unsaved_jobs[job.job_id] = None


def withdraw_evidence(engine: Engine, endpoint: Endpoint) -> None:
    """Withdraw what `note_silence` has noted: the endpoint has not crashed."""
    for run in (*endpoint.runs.values(), *endpoint.lost_runs):
        job = engine.jobs.get(run.task.job)
        if job is not None and job.withdraw_crash(run.task, run.number):
            engine.unsaved_jobs[job.job_id] = None


def _make_crash(engine: Engine, endpoint: Endpoint, now: float) -> Crash:
    outage = _find_outage(endpoint, now)
    others = _list_outages(engine, now)
    return Crash(
        outage=outage,
        noted_at=now,
        runs=tuple(_list_runs_at_work(endpoint)),
        is_new=is_new(engine, endpoint, outage.time.earliest),
        is_shared=is_shared(outage, others),
        is_rack_lost=is_rack_lost(outage, others),
    )


def _list_runs_at_work(endpoint: Endpoint) -> list[LostRun]:
    return [
        LostRun(run.task, run.number, run.started_at, run.is_adopted)
        for run in (*endpoint.runs.values(), *endpoint.lost_runs)
        if run.is_at_work
    ]


def _find_outage(endpoint: Endpoint, now: float) -> Outage:
    """Return when an endpoint that does not respond, or has crashed, stopped to."""
    time = CrashTime(endpoint.answered_at, now)
    if endpoint.failing_since:
        time = CrashTime(endpoint.alive_until, endpoint.failing_since)
    registration = endpoint.registration
    # Data centres may name their racks alike.
    rack = f"{registration.data_centre} {registration.rack}"
    return Outage(endpoint.place, rack, time)


def _list_outages(engine: Engine, now: float) -> list[Outage]:
    """Return the recent crashes, and the outages of endpoints that do not respond.

    The proof that an endpoint has crashed follows later. What an earlier leader had
    started at an endpoint that has not been polled is not known, so that it is left
    out.
    """
    outages = [crash.outage for crash in _list_recent(engine, now)]
    return outages + [
        _find_outage(endpoint, now)
        for endpoint in engine.endpoints.values()
        if endpoint.failing_since and endpoint.fenced_counter
    ]


def _weigh(engine: Engine, crash: Crash) -> Iterator[tuple[LostRun, int]]:
    """Yield the runs that were lost in a crash, and the evidence against each.

    Crashes count if they were noted within `RECENT_CRASH_S` before it or since.
    """
    recent = [row for row in _list_recent(engine, crash.noted_at) if row is not crash]
    count = len(engine.endpoints)
    return weigh_runs(crash, lambda task: is_unusual(crash, task, recent, count))


def settle_evidence(engine: Engine, now: float) -> None:
    """Weigh crashes again once all that came with them is known."""
    for index in reversed(range(len(engine.crashes))):
        crash = engine.crashes[index]
        if crash.is_settled:
            return
        if now - crash.noted_at < SETTLE_S:
            continue
        others = _list_outages(engine, now)
        settled = crash._replace(
            is_shared=is_shared(crash.outage, others),
            is_rack_lost=is_rack_lost(crash.outage, others),
            is_settled=True,
        )
        engine.crashes[index] = settled
        for run, weight in _weigh(engine, settled):
            job = _find_open_job(engine, run.task)
            known = job.crashes.get(run.task, {}) if job else {}
            if known.get(run.number, weight) != weight:
                known[run.number] = weight
                engine.unsaved_jobs[run.task.job] = None


def _note_evidence(engine: Engine, run: LostRun, weight: int, now: float) -> None:
    job = _find_open_job(engine, run.task)
    if job is None:
        return
    engine.unsaved_jobs[job.job_id] = None
    job.note_crash(run.task, run.number, weight)
    delay = choose_start_delay(job.crashes[run.task], run)
    if delay:
        job.held_until[run.task] = now + delay


def _find_open_job(engine: Engine, task: TaskId) -> Job | None:
    """Return the open job of a task that has not succeeded, or None."""
    job = engine.jobs.get(task.job)
    if job is None or not job.is_open or not job.has_task(task):
        return None
    return None if job.has_succeeded(task) else job


def give_up_tasks(engine: Engine, job: Job, now: float) -> None:
    """Fail a job one of whose waiting tasks has crashed too many endpoints.

    The evidence is settled by the time at which the task may start again.
    """
    for task, evidence in job.crashes.items():
        is_due = task in job.waiting and not job.is_held(task, now)
        if not is_due or not is_given_up(evidence):
            continue
        job.give_up(engine.to_unix_time(now))
        engine.unsaved_jobs[job.job_id] = None
        engine.add_stop_candidates(job)
        for index, crash in enumerate(engine.crashes):
            if crash.has_task(task):
                engine.crashes[index] = crash._replace(is_culprit_known=True)
        engine.report(
            "JOB_GIVEN_UP",
            job_id=job.job_id,
            queue=job.queue,
            task=task,
            crashes=len(evidence),
            evidence=list(evidence.values()),
        )
        return


def has_crashed_recently(engine: Engine, endpoint: Endpoint, now: float) -> bool:
    """Return whether an earlier incarnation on the endpoint's instance has crashed."""
    return any(
        crash.outage.instance == endpoint.place for crash in _list_recent(engine, now)
    )


def is_new(engine: Engine, endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint's process had just started at a time.

    One that has been known for longer had not, whatever its Unix clock says. ``now`` is
    in seconds of the boot clock.
    """
    if now - endpoint.known_since >= MIN_UPTIME_S:
        return False
    started_at = endpoint.registration.started_at_ms / MS_PER_S
    return engine.to_unix_time(now) - started_at < MIN_UPTIME_S


def _list_recent(engine: Engine, now: float) -> list[Crash]:
    return [row for row in engine.crashes if now - row.noted_at < RECENT_CRASH_S]
