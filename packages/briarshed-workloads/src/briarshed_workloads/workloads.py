"""Types of durable jobs: a job has steps, a step has tasks, a task has runs."""

from __future__ import annotations

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of an instance's capacity, or a limit on it.

    Attributes
    ----------
    cpu : int
        Thousandths of a core.
    memory_mb : int
        Memory in MB.
    accelerators : int
        Whole accelerators.
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
    """Return what is left of ``one``; parts may be negative."""
    return Resources(
        one.cpu - other.cpu,
        one.memory_mb - other.memory_mb,
        one.accelerators - other.accelerators,
    )


def fits(need: Resources, free: Resources) -> bool:
    """Tell whether ``need`` lies within ``free`` in every part."""
    return (
        need.cpu <= free.cpu
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
    )


class Step(NamedTuple):
    """A set of equal tasks that become ready together.

    Attributes
    ----------
    count : int
        Number of tasks.
    need : Resources
        What each task occupies; for a filler the processor part is not counted.
    estimate : float
        Rough run time of a task in seconds.
    after : tuple of int
        Steps whose tasks must all have succeeded first.
    checkpointing : bool
        Tasks resume from their last checkpoint.
    gang : bool
        Tasks run only together and end together.
    same_rack : bool
        Tasks are slower when they run on several racks.
    label : str
        Label that the endpoint must have; empty for any.
    rack : str
        Rack that holds the data; empty for any.
    per_endpoint : int
        Most tasks of one occurrence on one endpoint; 0 for no limit.
    speculative : bool
        Copies of a task may run in parallel.
    long_running : bool
        Tasks run until the job is cancelled and are restarted however they end.
    image : str
        What the tasks run; tasks of one image behave alike.
    tail_target : float
        Bound in seconds on the tail latency that a long-running task serves; 0: none.
    filler : bool
        Tasks use the processor time that others leave unused.
    outage_budget : int
        Long-running tasks that planned actions may make unavailable at once;
        -1 if there is no budget.
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
    """When the steps of a repeated job run.

    ``first_due`` is Unix time in seconds; occurrence K is due K intervals later.
    """

    first_due: float
    interval: float
    occurrences: int


class Description(NamedTuple):
    """What a caller asks for: an opaque specification and its steps."""

    spec: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None


class Submission(NamedTuple):
    """A job as it is handed in.

    ``team`` is empty on a queue that is open to all. ``submitted_at`` is Unix time in
    seconds at which the entry read the request.
    """

    job: str
    queue: str
    pool: str
    team: str
    submitted_at: float
    description: Description


class TaskId(NamedTuple):
    """Names a task: job, occurrence, step and index within the step."""

    job: str
    occurrence: int
    step: int
    index: int


class StartRequest(NamedTuple):
    """An order to an endpoint to start a run.

    ``deadline_ms`` is on the endpoint's clock; everything there ends at the latest
    of the deadlines it was given.
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

    ``percent`` is progress, or 100 for a long-running task that serves. ``load`` is
    the tail latency in ms of a serving task, and processor use for any other.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    load: int


class EndedRun(NamedTuple):
    """The end of a run as an endpoint lists it, until it is acknowledged.

    ``how`` is ``succeeded``, ``failed``, ``stopped``, ``lapsed``, ``broken`` (another
    member of the gang ended) or ``alone`` (the gang was not complete in time).
    """

    number: int
    task: TaskId
    run: int
    outcome: str
    checkpoint: str


class PollResponse(NamedTuple):
    """An endpoint's answer to a look: its clock and what runs and has ended there.

    ``born`` is the Unix time in ms at which this incarnation started.
    """

    clock_ms: int
    started_at_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]


class Registration(NamedTuple):
    """An endpoint as it registered itself.

    Attributes
    ----------
    endpoint, born
        Name and start (Unix ms) of the incarnation.
    address : str
        ``IP:PORT``.
    pool, data_centre, rack : str
        Where it stands.
    labels : tuple of str
        All its labels.
    capacity : Resources
        What its runs may occupy together.
    draining : bool
        It is about to leave and takes no new work.
    drain_remaining : float
        Least time in seconds until it leaves.
    instance : str
        The machine it lives on, or empty if it did not say.
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


class Instance(NamedTuple):
    """A machine in the platform's list; ``endpoint`` is its present life, if any.

    ``state`` is ``up``, ``moving``, ``maintenance`` or ``down``.
    """

    instance: str
    pool: str
    state: str
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources
    endpoint: str


class WaveOrder(NamedTuple):
    """The operator's order to maintain instances; times in seconds."""

    wave: int
    instances: tuple[str, ...]
    duration: float
    maximum: int
