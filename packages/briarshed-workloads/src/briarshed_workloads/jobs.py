"""State of one job: which tasks wait, succeeded or failed, and its durable records."""

from __future__ import annotations

from collections.abc import Iterator

from briarshed.charts import advance, load_chart
from briarshed_workloads.checkpoints import Checkpoints
from briarshed_workloads.configuration import QueueRules
from briarshed_workloads.critical_path import find_critical_path
from briarshed_workloads.evidence import (
    MAX_ISOLATION_WAIT_S,
    UNPROVED,
    is_strongly_suspected,
    is_suspected,
)
from briarshed_workloads.memory import (
    JOB_BYTES,
    TASK_BYTES,
    JobMemory,
    JobPart,
    measure_description,
    measure_occurrence,
)
from briarshed_workloads.occurrences import OpenOccurrences
from briarshed_workloads.records import JobRecord, ProgressRecord, TaskRecord
from briarshed_workloads.waiting_tasks import WaitingTasks
from briarshed_workloads.workloads import (
    Description,
    Resources,
    Step,
    Submission,
    TaskId,
)

PENDING, RUNNING = "pending", "running"
COMPLETED, FAILED, CANCELLED = "completed", "failed", "cancelled"
FINAL_STATES = frozenset({COMPLETED, FAILED, CANCELLED})

MAX_JOB_TASKS = 100_000
"""Most tasks of one occurrence of a job. Its progress, with a number for each task that
has succeeded, then fits into an item of the store."""

EMPTY_DESCRIPTION = Description("", ())
"""Description of ended jobs, whose steps are not recorded."""

MAX_WAITING_TASKS = 20
"""Waiting tasks of a job from which on no further occurrence is opened. A job with many
overdue occurrences then needs little more time than others."""


class Job:
    """An accepted job and the progress of its tasks.

    Parameters
    ----------
    job_id, queue, pool, team : str
        Identifiers; the team is empty on an open queue.
    accepted_at : float
        Unix time in seconds.
    description : Description
        Steps of the job.
    max_attempts : int
        Number of failed runs after which a task, and so the job, fails.
    memory : JobMemory or None
        Memory that the jobs of a leader share; None for that of a job alone.

    Attributes
    ----------
    critical_path : float
        Estimated length of the critical path of the steps in seconds.
    is_long_running : bool
        Whether a step runs until the job is cancelled.
    is_speculative : bool
        Whether tasks of a step may have several runs.
    size : int
        Estimated memory of the job with one occurrence, in bytes, and for a schedule of
        the tasks of further ones that may wait.
    occurrences : OpenOccurrences
        The occurrences that have been opened and are not completed.
    waits_since : dict
        By occurrence and step, since when tasks wait for a better endpoint although
        there is room at another one, in seconds of the boot clock.
    """

    __slots__ = (
        "accepted_at",
        "cached_remaining",
        "cached_work",
        "cancelled",
        "checkpoints",
        "core_seconds",
        "crashes",
        "critical_path",
        "description",
        "ended_at",
        "failed_endpoints",
        "failed_runs",
        "held_until",
        "is_long_running",
        "is_restored",
        "is_speculative",
        "is_within_share",
        "job_id",
        "max_attempts",
        "occurrences",
        "opened_steps",
        "pool",
        "queue",
        "size",
        "state",
        "succeeded",
        "suspected_at",
        "team",
        "unsettled_starts",
        "waiting",
        "waits_since",
    )

    def __init__(
        self,
        job_id: str,
        queue: str,
        pool: str,
        team: str,
        accepted_at: float,
        description: Description,
        max_attempts: int,
        memory: JobMemory | None = None,
    ) -> None:
        self.job_id = job_id
        self.queue = queue
        self.pool = pool
        self.team = team
        self.accepted_at = accepted_at
        self.description = description
        self.max_attempts = max_attempts
        self.state = load_chart("job").initial
        self.cancelled = False
        self.ended_at = 0.0
        self.is_restored = False
        self.is_within_share = True
        self.failed_endpoints: dict[TaskId, set[str]] = {}
        self.cached_remaining: tuple[float, float] | None = None
        self.cached_work: tuple[float, tuple] | None = None
        self.succeeded: dict[tuple[int, int], set[int]] = {}
        self.failed_runs: dict[TaskId, set[int]] = {}
        self.crashes: dict[TaskId, dict[int, int]] = {}
        self.suspected_at: dict[TaskId, float] = {}
        self.held_until: dict[TaskId, float] = {}
        self.unsettled_starts: dict[TaskId, dict[int, str]] = {}
        memory = memory or JobMemory()
        self.checkpoints = Checkpoints(memory.checkpoints)
        self.waiting = WaitingTasks()
        self.waits_since: dict[tuple[int, int], float] = {}
        self.opened_steps: set[tuple[int, int]] = set()
        occurrence_size = measure_occurrence(description)
        self.occurrences = OpenOccurrences(job_id, occurrence_size, memory.occurrences)
        self.size = JOB_BYTES + measure_description(description) + occurrence_size
        if description.schedule:
            self.size += MAX_WAITING_TASKS * TASK_BYTES
        self.is_long_running = any(step.long_running for step in description.steps)
        self.is_speculative = any(step.speculative for step in description.steps)
        self.critical_path = find_critical_path(description)
        self.core_seconds = sum(
            step.count * step.need.cpu / 1000 * step.estimate
            for step in description.steps
            if not step.long_running
        )

    @property
    def is_open(self) -> bool:
        """Whether the job has not ended."""
        return self.state not in FINAL_STATES

    def find_step(self, task: TaskId) -> Step:
        """Return the step of a task."""
        return self.description.steps[task.step]

    def has_task(self, task: TaskId) -> bool:
        """Return whether the task belongs to the job."""
        steps = self.description.steps
        return (
            0 <= task.step < len(steps)
            and 0 <= task.index < steps[task.step].count
            and 0 <= task.occurrence < self.count_occurrences()
        )

    def has_succeeded(self, task: TaskId) -> bool:
        """Return whether a run of the task has succeeded."""
        return self.occurrences.is_completed(task.occurrence) or (
            task.index in self.succeeded.get((task.occurrence, task.step), ())
        )

    def count_occurrences(self) -> int:
        """Return the number of occurrences in the schedule."""
        schedule = self.description.schedule
        return schedule.occurrences if schedule else 1

    def find_due(self, occurrence: int) -> float:
        """Return when an occurrence is due, in Unix seconds."""
        schedule = self.description.schedule
        if schedule is None:
            return self.accepted_at
        return schedule.first_due + occurrence * schedule.interval

    def open_due(self, unix_now: float) -> None:
        """Open the occurrences that became due, as far as there is room for them.

        Those that an earlier leader has opened become active first.
        """
        if not self.is_open or self.cancelled:
            return
        while (occurrence := self.occurrences.find_inactive()) is not None:
            self._activate(occurrence)
        schedule = self.description.schedule
        while self.occurrences.next < self.count_occurrences() and self._has_room():
            if schedule and unix_now < self.find_due(self.occurrences.next):
                break
            self._activate(self.occurrences.open_next())

    def _activate(self, occurrence: int) -> None:
        self.occurrences.activate(occurrence)
        self.open_ready_steps(occurrence)

    def _has_room(self) -> bool:
        """Return whether a further occurrence may be opened."""
        return len(self.waiting) < MAX_WAITING_TASKS and self.occurrences.has_room()

    def open_ready_steps(self, occurrence: int) -> None:
        """Open the steps of an active occurrence that became ready.

        An open occurrence whose steps are all done is closed, active or not.
        """
        if self._are_steps_done(occurrence):
            self._close_occurrence(occurrence)
        elif (
            self.occurrences.is_active(occurrence)
            and self.is_open
            and not self.cancelled
        ):
            self._open_steps(occurrence)

    def _open_steps(self, occurrence: int) -> None:
        for number, step in enumerate(self.description.steps):
            key = occurrence, number
            if key in self.opened_steps or not self._dependencies_succeeded(
                occurrence, step
            ):
                continue
            self.opened_steps.add(key)
            for index in range(step.count):
                task = TaskId(self.job_id, occurrence, number, index)
                if not self.has_succeeded(task):
                    self.waiting.add(task)

    def _dependencies_succeeded(self, occurrence: int, step: Step) -> bool:
        return all(self._is_step_done(occurrence, number) for number in step.after)

    def _are_steps_done(self, occurrence: int) -> bool:
        steps = range(len(self.description.steps))
        return all(self._is_step_done(occurrence, number) for number in steps)

    def _is_step_done(self, occurrence: int, number: int) -> bool:
        done = self.succeeded.get((occurrence, number), ())
        return len(done) >= self.description.steps[number].count

    def list_unfinished_steps(self) -> Iterator[Step]:
        """Yield the steps that are ready and not done, once for each occurrence."""
        for occurrence, number in self.opened_steps:
            if not self._is_step_done(occurrence, number):
                yield self.description.steps[number]

    def count_remaining_tasks(self) -> list[int]:
        """Return the number of tasks left in active occurrences for each step."""
        occurrences = len(self.occurrences.active)
        counts = [occurrences * step.count for step in self.description.steps]
        for (occurrence, number), done in self.succeeded.items():
            if self.occurrences.is_active(occurrence):
                counts[number] -= len(done)
        return counts

    def list_tasks(self) -> Iterator[TaskId]:
        """Yield the tasks of the open occurrences' steps that are ready or done.

        Steps that are opened meanwhile may be left out.
        """
        for occurrence, number in list(self.opened_steps):
            for index in range(self.description.steps[number].count):
                yield TaskId(self.job_id, occurrence, number, index)

    def finish_if_done(self, unix_now: float) -> bool:
        """Complete an open job whose tasks have all succeeded; return whether it was.

        This is only necessary if the last success was noted incompletely.
        """
        for occurrence in list(self.occurrences.open):
            self.open_ready_steps(occurrence)
        self.open_due(unix_now)
        if not self.is_open or not self._are_occurrences_completed():
            return False
        self._finish("complete", unix_now)
        return True

    def _are_occurrences_completed(self) -> bool:
        is_each_opened = self.occurrences.next >= self.count_occurrences()
        return is_each_opened and not self.occurrences.open

    def note_ordered(self, task: TaskId) -> None:
        """Remove a task from the waiting tasks after a run of it was ordered."""
        self.waiting.discard(task)

    def note_begun(self) -> None:
        """Note that an endpoint has started a task of the job.

        An order alone does not tell that: it may be refused or lost.
        """
        if self.state == PENDING:
            self.state = advance(load_chart("job"), self.state, "start")

    def requeue(self, task: TaskId) -> None:
        """Add a task to the waiting tasks again after a run that did not succeed."""
        if self.is_open and not self.cancelled and not self.has_succeeded(task):
            self.waiting.add(task)

    def note_succeeded(self, task: TaskId, unix_now: float) -> bool:
        """Record a success; return whether it is the first one of the task."""
        if self.occurrences.is_completed(task.occurrence):
            return False
        done = self.succeeded.setdefault((task.occurrence, task.step), set())
        step = self.description.steps[task.step]
        is_first = task.index not in done
        if step.gang:
            # Members of a gang end together: a success of one is a success of all.
            done.update(range(step.count))
        done.add(task.index)
        tasks = self._list_sharing(task)
        for member in tasks:
            self.waiting.discard(member)
        self.checkpoints.discard(tasks)
        if is_first and len(done) >= step.count:
            self._close_step(task.occurrence, unix_now)
        return is_first

    def _list_sharing(self, task: TaskId) -> list[TaskId]:
        """Return the members of the task's gang, or the task alone."""
        step = self.description.steps[task.step]
        if not step.gang:
            return [task]
        return [task._replace(index=index) for index in range(step.count)]

    def note_checkpoint(self, task: TaskId, checkpoint: str) -> bool:
        """Keep the checkpoint of a task, or of its gang; return whether it is kept."""
        return self.checkpoints.keep(self._list_sharing(task), checkpoint)

    def _close_step(self, occurrence: int, unix_now: float) -> None:
        self.cached_remaining = None
        self.cached_work = None
        if occurrence not in self.occurrences.open:
            # It was started under an earlier leader whose clock was ahead.
            return
        self.open_ready_steps(occurrence)
        self.open_due(unix_now)
        if self._are_occurrences_completed():
            self._finish("complete", unix_now)

    def _close_occurrence(self, occurrence: int) -> None:
        """Remove the state of an occurrence whose tasks have all succeeded."""
        self.occurrences.close(occurrence)
        for number in range(len(self.description.steps)):
            self.opened_steps.discard((occurrence, number))
            self.succeeded.pop((occurrence, number), None)
        for state in self._list_task_states():
            for task in [row for row in state if row.occurrence == occurrence]:
                del state[task]
        self.checkpoints.discard(
            [task for task in self.checkpoints if task.occurrence == occurrence]
        )
        self.waiting.discard_occurrence(occurrence)

    def note_failed(self, task: TaskId, run: int, unix_now: float) -> bool:
        """Record a failed run; return whether the job fails because of it."""
        runs = self.failed_runs.setdefault(task, set())
        runs.add(run)
        if self.description.steps[task.step].long_running:
            return False
        if self.is_open and not self.cancelled and self.has_used_all_attempts(task):
            self._finish("fail", unix_now)
            return True
        return False

    def has_used_all_attempts(self, task: TaskId) -> bool:
        """Return whether the task, or its gang, has used all its attempts."""
        if self.find_step(task).long_running:
            return False
        runs: set[int] = set()
        for member in self._list_sharing(task):
            runs |= self.failed_runs.get(member, set())
        return len(runs) >= self.max_attempts

    def note_crash(self, task: TaskId, run: int, evidence: int) -> None:
        """Record that the endpoint of a run has crashed.

        Parameters
        ----------
        evidence : int
            Evidence against the run, see `briarshed_workloads.evidence`.
        """
        self.crashes.setdefault(task, {})[run] = evidence
        self.suspected_at.pop(task, None)

    def withdraw_crash(self, task: TaskId, run: int) -> bool:
        """Remove the evidence of a crash that is not proved; return whether it was."""
        evidence = self.crashes.get(task, {})
        if evidence.get(run) != UNPROVED:
            return False
        del evidence[run]
        if not evidence:
            del self.crashes[task]
        return True

    def note_unsettled(self, task: TaskId, run: int, endpoint: str) -> None:
        """Note that the next incarnation of an endpoint may run a start unseen."""
        self.unsettled_starts.setdefault(task, {})[run] = endpoint

    def settle_start(self, task: TaskId, run: int) -> None:
        """Note that a poll or the end of its endpoint has settled a start."""
        starts = self.unsettled_starts.get(task, {})
        starts.pop(run, None)
        if not starts:
            self.unsettled_starts.pop(task, None)

    def give_up(self, unix_now: float) -> None:
        """Fail the job, one of whose tasks crashes the endpoints that start it."""
        self._finish("fail", unix_now)

    def is_held(self, task: TaskId, now: float) -> bool:
        """Return whether a waiting task, or a member of its gang, may not start yet."""
        if not self.held_until:
            return False
        members = self._list_sharing(task)
        return any(now < self.held_until.get(member, 0.0) for member in members)

    def must_isolate(self, task: TaskId, now: float) -> bool:
        """Return whether a waiting task should start in isolation now.

        Without much evidence a task waits for that for a limited time only. The members
        of a gang start together.
        """
        crashes = self.crashes.get(task)
        if not crashes or not is_suspected(crashes) or self.find_step(task).gang:
            return False
        waited = now - self.suspected_at.setdefault(task, now)
        return is_strongly_suspected(crashes) or waited < MAX_ISOLATION_WAIT_S

    def cancel(self, unix_now: float) -> None:
        """Cancel the job at the caller's request."""
        if self.is_open:
            self.cancelled = True
            self._finish("cancel", unix_now)

    def _finish(self, event: str, unix_now: float) -> None:
        if event != "cancel":
            self.note_begun()
        # The state changes last: a job with an incomplete end is still open, so that it
        # is corrected, and one that has ended is recorded by the caller.
        self.waiting.clear()
        self.release()
        self.ended_at = unix_now
        self.state = advance(load_chart("job"), self.state, event)

    def release(self) -> None:
        """Release the memory that is shared with other jobs."""
        self.occurrences.release()
        self.checkpoints.clear()

    def retire(self) -> None:
        """Forget the steps and tasks of an ended job without runs."""
        self.description = EMPTY_DESCRIPTION
        self.opened_steps.clear()
        self.occurrences.open.clear()
        for state in (*self._list_task_states(), self.succeeded, self.waits_since):
            state.clear()

    def _list_task_states(self) -> tuple[dict, ...]:
        runs = self.failed_endpoints, self.failed_runs, self.unsettled_starts
        return (*runs, self.crashes, self.suspected_at, self.held_until)

    def measure(self) -> JobPart:
        """Return what the job takes of the memory of all jobs."""
        further, kept = self.occurrences.further_bytes, self.checkpoints.held
        return JobPart(self.job_id, self.size, further, kept)

    def encode_job(self) -> JobRecord:
        """Return the durable record; that of an ended job has no description."""
        final = not self.is_open
        return JobRecord(
            self.queue,
            self.pool,
            self.team,
            self.accepted_at,
            self.state if final else "",
            self.ended_at,
            None if final else self.description,
            self.max_attempts,
        )

    def encode_progress(self) -> ProgressRecord:
        """Return the durable progress of an open job."""
        rows = tuple(
            (occurrence, step, tuple(sorted(done)))
            for (occurrence, step), done in self.succeeded.items()
        )
        checkpoints = self.checkpoints.choose_recorded()
        names = [
            task
            for task in {
                *self.failed_runs,
                *checkpoints,
                *self.crashes,
                *self.unsettled_starts,
            }
            if not self.has_succeeded(task)
        ]
        tasks = tuple(
            TaskRecord(
                task.occurrence,
                task.step,
                task.index,
                tuple(sorted(self.failed_runs.get(task, ()))),
                checkpoints.get(task, ""),
                tuple(self.crashes.get(task, {}).items()),
                tuple(self.unsettled_starts.get(task, {}).items()),
            )
            for task in names
        )
        return ProgressRecord(
            self.cancelled,
            rows,
            tasks,
            self.occurrences.next,
            tuple(self.occurrences.open),
        )

    def restore(self, progress: ProgressRecord | None, unix_now: float) -> None:
        """Restore durable progress and open the steps that are ready."""
        self.is_restored = True
        if progress is not None:
            for occurrence, step, indices in progress.succeeded:
                self.succeeded[occurrence, step] = set(indices)
            for row in progress.tasks:
                task = TaskId(self.job_id, row.occurrence, row.step, row.index)
                if row.failed_runs:
                    self.failed_runs[task] = set(row.failed_runs)
                if row.checkpoint:
                    self.checkpoints.keep((task,), row.checkpoint)
                if row.crashes:
                    self.crashes[task] = dict(row.crashes)
                if row.unsettled:
                    self.unsettled_starts[task] = dict(row.unsettled)
            self.occurrences.restore(
                progress.next_occurrence, progress.open_occurrences
            )
            has_completed = self.occurrences.next > len(self.occurrences.open)
            has_begun = self.failed_runs or self.checkpoints or self.crashes
            if progress.succeeded or has_begun or has_completed:
                self.note_begun()
        for occurrence in list(self.occurrences.open):
            self.open_ready_steps(occurrence)
        self.open_due(unix_now)


def make_job(
    submission: Submission,
    queue: QueueRules | None,
    memory: JobMemory | None = None,
) -> Job:
    """Return the job of a submission; it is not accepted by that."""
    return Job(
        submission.job,
        submission.queue,
        submission.pool,
        submission.team,
        submission.submitted_at,
        submission.description,
        queue.max_attempts if queue else 1,
        memory,
    )


def find_objective(job: Job, queue: QueueRules | None) -> float:
    """Return the time in seconds after which the job loses value: its objective."""
    if queue is None:
        return job.critical_path
    return queue.stretch * job.critical_path + queue.objective


def find_need(step: Step) -> Resources:
    """Return the resources that a task of the step reserves at an endpoint."""
    return step.need._replace(cpu=0) if step.best_effort else step.need
