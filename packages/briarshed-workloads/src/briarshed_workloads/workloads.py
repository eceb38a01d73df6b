"""Types of durable jobs: jobs have steps, steps have tasks, tasks have runs."""

from __future__ import annotations

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of resources: a capacity, a request or a limit.

    Attributes
    ----------
    cpu : int
        Millicores.
    memory_mb : int
        Memory in MB.
    accelerators : int
        Number of accelerators; they are not shared.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0


NO_RESOURCES = Resources()


def add(one: Resources, other: Resources) -> Resources:
    """Return the sum of two amounts."""
    return Resources(
        one.cpu + other.cpu,
        one.memory_mb + other.memory_mb,
        one.accelerators + other.accelerators,
    )


def subtract(one: Resources, other: Resources) -> Resources:
    """Return ``one`` minus ``other``; components may be negative."""
    return Resources(
        one.cpu - other.cpu,
        one.memory_mb - other.memory_mb,
        one.accelerators - other.accelerators,
    )


def fits(need: Resources, free: Resources) -> bool:
    """Return whether ``need`` fits within ``free`` in every component."""
    return (
        need.cpu <= free.cpu
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
    )


class Step(NamedTuple):
    """A group of identical tasks that become ready together.

    Attributes
    ----------
    count : int
        Number of tasks.
    need : Resources
        Resources that each task requests; the CPU of a best-effort task is not counted.
    estimate : float
        Estimated run time of a task in seconds.
    after : tuple of int
        Indices of the steps that must have succeeded first.
    checkpointing : bool
        Whether tasks resume from their last checkpoint.
    gang : bool
        Whether the tasks are scheduled all together or not at all, and end together.
    same_rack : bool
        Whether tasks run slower when they are spread over several racks.
    label : str
        Label that the endpoint must have; empty for any.
    rack : str
        Rack that holds the data; empty for any.
    per_endpoint : int
        Maximum number of tasks of one occurrence on an endpoint; 0 for no limit.
    speculative : bool
        Whether copies of a task may run in parallel.
    long_running : bool
        Whether tasks run until the job is cancelled; they are restarted whenever they
        end.
    image : str
        Image that the tasks run; tasks of one image are assumed to take equally long.
    tail_latency_target : float
        Upper bound in seconds on the tail latency of a long-running task; 0 for none.
    best_effort : bool
        Whether tasks use only processor time that other tasks leave unused.
    outage_budget : int
        Number of long-running tasks that planned disruptions may make unavailable at
        the same time; -1 for no limit.
    """

    count: int
    need: Resources
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    per_endpoint: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    tail_latency_target: float = 0.0
    best_effort: bool = False
    outage_budget: int = -1


class Schedule(NamedTuple):
    """Schedule of a recurring job.

    Occurrence K is due at ``first_due`` + K * ``interval``. ``first_due`` is Unix time
    and ``interval`` a duration, both in seconds.
    """

    first_due: float
    interval: float
    occurrences: int


class Description(NamedTuple):
    """Content of a submitted job: an opaque specification, steps and a schedule."""

    spec: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None


class Submission(NamedTuple):
    """A job as it was submitted.

    ``team`` is empty on an open queue. ``submitted_at`` is the Unix time in seconds at
    which the entry read the request.
    """

    job: str
    queue: str
    pool: str
    team: str
    submitted_at: float
    description: Description


class TaskId(NamedTuple):
    """Identifies a task by job, occurrence, step and index within the step."""

    job: str
    occurrence: int
    step: int
    index: int


class StartRequest(NamedTuple):
    """A request to an endpoint to start a run.

    ``deadline_ms`` is a time of the endpoint's clock. The endpoint stops all its runs
    at the latest of the deadlines that it has received. ``ticket`` is that of a
    recommendation of the platform; recommendations are not used yet, so it is empty.
    """

    task: TaskId
    run: int
    spec: str
    token: int
    deadline_ms: int
    checkpoint: str = ""
    ticket: str = ""


class ListedRun(NamedTuple):
    """A run that an endpoint lists as present.

    ``percent`` is the progress; a long-running task at 100 is serving. ``load`` is
    the tail latency in ms of a serving task, and the CPU usage of any other.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    load: int


class EndedRun(NamedTuple):
    """The end of a run; the endpoint lists it until it is acknowledged.

    ``end_number`` numbers the ends of one incarnation. ``outcome`` is ``succeeded``,
    ``failed``, ``stopped``, ``lapsed`` (the run lease expired), ``broken`` (another
    member of the gang ended) or ``alone`` (the gang was not complete in time).
    """

    end_number: int
    task: TaskId
    run: int
    outcome: str
    checkpoint: str


class PollResponse(NamedTuple):
    """An endpoint's response to a poll: its clock, its runs and the ends of runs.

    ``started_at_ms`` is the Unix time at which this incarnation started.
    ``may_have_more_ends`` is set if ends beyond those in ``ended`` may be listed once
    these are acknowledged.
    """

    clock_ms: int
    started_at_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]
    may_have_more_ends: bool = False


class Registration(NamedTuple):
    """An endpoint as it registered itself.

    Attributes
    ----------
    endpoint : str
        Name of the endpoint.
    started_at_ms : int
        Unix time in ms at which this incarnation started.
    address : str
        ``IP:PORT``.
    pool, data_centre, rack : str
        Its pool and location.
    labels : tuple of str
        Labels that steps can require.
    capacity : Resources
        Total resources for its runs.
    draining : bool
        Whether it shuts down soon and accepts no new runs.
    drain_remaining : float
        Minimum time in seconds until it shuts down.
    instance : str
        Instance that it runs on; empty if it did not report one.
    cold_remaining : float
        Time in seconds for which it is still slow after its start.
    """

    endpoint: str
    started_at_ms: int
    address: str
    pool: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    draining: bool = False
    drain_remaining: float = 0.0
    instance: str = ""
    cold_remaining: float = 0.0


class Instance(NamedTuple):
    """A machine in the platform's list of instances.

    ``state`` is ``up``, ``moving``, ``maintenance`` or ``down``. ``endpoint`` is the
    name of the endpoint that runs on it; empty if there is none.
    """

    instance: str
    pool: str
    state: str
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources
    endpoint: str


class WaveOrder(NamedTuple):
    """An operator's order to put instances into maintenance.

    ``duration`` is the time limit of the wave in seconds, and ``maximum`` the number of
    instances that may be down at the same time.
    """

    wave: int
    instances: tuple[str, ...]
    duration: float
    maximum: int
