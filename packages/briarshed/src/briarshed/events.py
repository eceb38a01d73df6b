"""Catalogue of log events; docs/events.md documents the same events."""

from __future__ import annotations

from typing import Literal, NamedTuple

Level = Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class Event(NamedTuple):
    """A type of log event.

    Attributes
    ----------
    number : int
        Stable number: 1xx process, 2xx callers and jobs, 3xx endpoints, 4xx store
        and configuration, 5xx members and grants, 6xx operators, 7xx maintenance,
        8xx durable jobs.
    level : str
        Log level.
    text : str
        Message with field names in braces.
    """

    number: int
    level: Level
    text: str


ENTRY_STARTED = Event(101, "INFO", "entry {name} started in {data_centre}")
ENTRY_READY = Event(102, "INFO", "entry {name} is ready for callers")
ENTRY_STOPPING = Event(103, "INFO", "entry {name} is stopping: {reason}")
ENTRY_STOPPED = Event(104, "INFO", "entry {name} stopped with {jobs} unfinished jobs")
ENTRY_NOT_READY = Event(105, "WARNING", "entry {name} is not ready: {reason}")
LOOP_FAILED = Event(106, "ERROR", "background task {task} failed: {error}")
LOG_LINES_DROPPED = Event(107, "WARNING", "{count} log lines were dropped")
UNEXPECTED_ERROR = Event(108, "ERROR", "{task} failed at {place}: {error}")

JOB_REFUSED = Event(201, "DEBUG", "job {job_id} refused: {code}")
JOB_UNKNOWN = Event(202, "WARNING", "outcome of job {job_id} is unknown: {code}")
CALLER_LEFT = Event(203, "DEBUG", "caller of job {job_id} disconnected")

ANSWER_DROPPED = Event(
    301, "WARNING", "endpoint {address} answered attempt {got} instead of {expected}"
)
CONNECTION_SILENT = Event(
    302, "WARNING", "endpoint {address} does not respond; probing attempt {attempt}"
)
ENDPOINT_EJECTED = Event(303, "WARNING", "endpoint {address} ejected for {seconds} s")
ENDPOINT_READMITTED = Event(304, "INFO", "endpoint {address} readmitted")

STORE_FAILING = Event(401, "WARNING", "store reads fail: {error}")
STORE_RECOVERED = Event(402, "INFO", "store reads succeed again")
DOCUMENT_UPDATED = Event(403, "INFO", "document {key} is now at version {version}")
DOCUMENT_STALE = Event(
    404, "WARNING", "ignored version {offered} of {key}; the current version is {held}"
)
AUTHORITY_LOST = Event(
    405, "WARNING", "no authority to start jobs with API keys: {reason}"
)
AUTHORITY_GAINED = Event(406, "INFO", "authority to start jobs with API keys: {reason}")

MEMBER_REGISTERED = Event(501, "INFO", "registered as {name}/{incarnation}")
MEMBER_ESTABLISHED = Event(502, "INFO", "every registered member knows this entry")
MEMBER_REMOVED = Event(503, "INFO", "removed member {name}/{incarnation}: {reason}")
PEER_REJECTED = Event(504, "WARNING", "dropped a message from a peer: {reason}")
GRANTS_SWAPPED = Event(505, "DEBUG", "grants are at version {version}")
GRANTS_FREED = Event(506, "INFO", "freed the grants of {owner}")

CHANGE_ACCEPTED = Event(
    601, "INFO", "{who} changed {document} to version {version}: {what}"
)
CHANGE_REFUSED = Event(602, "WARNING", "command of {who} refused: {reason}")
CHANGE_IN_FORCE = Event(603, "INFO", "version {version} of {document} is in force")
CHANGE_PENDING = Event(
    604, "WARNING", "version {version} of {document} is not in force at {members}"
)
OPERATOR_REJECTED = Event(605, "WARNING", "an operator's key was not recognized")

INSTANCE_MOVED = Event(701, "INFO", "instance {instance}: {before} to {after}")
WAVE_STARTED = Event(702, "INFO", "wave {wave} started over {count} instances")
WAVE_HALTED = Event(703, "WARNING", "wave {wave} halted: {reason}")
WAVE_DONE = Event(704, "INFO", "wave {wave} is done")
PLATFORM_FAILING = Event(705, "WARNING", "platform calls fail: {error}")
INSTANCE_FAILED = Event(706, "WARNING", "instance {instance} failed: {reason}")
MOVE_PLANNED = Event(
    707, "INFO", "instance {instance} moves from pool {before} to {after}"
)

MAINTENANCE_ORDERED = Event(
    708, "INFO", "wave {wave}: maintenance of {instance} ordered: {outcome}"
)

LEADERSHIP_CHANGED = Event(
    801, "WARNING", "leadership: {before} to {after} in epoch {epoch}: {reason}"
)
TERM_LOADED = Event(
    802, "INFO", "epoch {epoch}: took over {jobs} jobs and {endpoints} endpoints"
)
POOL_TAKEN_OVER = Event(
    814, "INFO", "pool {pool}: no earlier leader than epoch {epoch} can start tasks"
)
LEADER_HEARD = Event(803, "INFO", "leader is {leader} in epoch {epoch}")
LEADER_SILENT = Event(804, "WARNING", "no heartbeat from leader {leader} for {age} s")
STORE_ANSWER_LOST = Event(805, "WARNING", "no response to write {writes}: {error}")
RECORD_UNREADABLE = Event(806, "ERROR", "record {key} is unreadable: {error}")
CONFIGURATION_APPLIED = Event(807, "INFO", "configuration {version} from {source}")
CONFIGURATION_REJECTED = Event(808, "WARNING", "configuration rejected: {error}")
SETTINGS_RELOADED = Event(809, "INFO", "settings reloaded: {outcome}")
DEPENDENCY_LOST = Event(810, "WARNING", "{name} does not respond: {error}")
DEPENDENCY_REGAINED = Event(811, "INFO", "{name} responds again after {seconds} s")
MEMBERS_CHANGED = Event(812, "INFO", "entries that may lead at once: {members}")
AUTHORITY_CHANGED = Event(
    813,
    "WARNING",
    "authority in epoch {epoch} by {after}, before by {before}; the lease was last"
    " renewed {renewed_ago} s ago",
)

JOB_ACCEPTED = Event(821, "INFO", "job {job_id} of queue {queue} is durable")
JOB_COMPLETED = Event(822, "INFO", "job {job_id} completed")
JOB_FAILED = Event(823, "INFO", "job {job_id} failed: {task} {attempts} times")
CALL_ANSWERED = Event(824, "INFO", "{what} {job_id}: {status} {reason}")
CALL_MALFORMED = Event(825, "INFO", "{what} {job_id} malformed: {reason}")

TASKS_WAITING = Event(
    826,
    "INFO",
    "pool {pool}: tasks wait for {tasks}; {free} cores free, endpoints {endpoints}",
)

JOB_GIVEN_UP = Event(
    828,
    "WARNING",
    "job {job_id} failed: {crashes} endpoints crashed while {task} was running",
)
WAITING_JOBS_ANSWERED = Event(
    827,
    "INFO",
    "queue {queue}: {count} jobs wait, the oldest for {oldest} s, as counted {age} s"
    " ago by {leader} in epoch {epoch}",
)

RUN_ORDERED = Event(841, "INFO", "start {job_id} {task} at {endpoint}: {outcome}")
RUN_STOPPED = Event(842, "INFO", "stop {job_id} {task} at {endpoint}: {reason}")
RUN_DROPPED = Event(843, "INFO", "run {job_id} {task} at {endpoint} ended: {reason}")
RUN_ADOPTED = Event(844, "INFO", "found run {job_id} {task} at {endpoint}: {wanted}")
RUN_PACED = Event(845, "INFO", "pace {job_id} at {endpoint}: {before} to {after}")
ORDER_FENCED = Event(
    846, "WARNING", "{what} at {endpoint} rejected: it has seen a higher fencing token"
)
STATE_CORRECTED = Event(
    847, "WARNING", "inconsistent {what} of {subject} corrected: {before} to {after}"
)
ORDER_KEPT = Event(
    848,
    "INFO",
    "start {job_id} {task} at {endpoint} may still be carried out: {reason}",
)

WORK_LIMIT_REACHED = Event(
    849, "WARNING", "job {job_id} of {size} bytes refused: open jobs hold {held} bytes"
)
WITHDRAWAL_LIMIT_REACHED = Event(
    850, "WARNING", "cancel of {job_id}, which no job has, is not recorded: too many"
)
ENDPOINT_ADDED = Event(861, "INFO", "endpoint {endpoint} joined pool {pool}")
ENDPOINT_CHANGED = Event(862, "INFO", "endpoint {endpoint}: draining {draining}")
ENDPOINT_UNLISTED = Event(863, "INFO", "endpoint {endpoint} is not registered")
ENDPOINT_RESTARTED = Event(864, "WARNING", "endpoint {endpoint} has restarted")
ENDPOINT_SILENT = Event(
    865, "WARNING", "endpoint {endpoint} with {runs} runs does not respond: {reason}"
)
ENDPOINT_GONE = Event(866, "WARNING", "endpoint {endpoint} is gone: {reason}")
ENDPOINT_FENCED = Event(867, "INFO", "endpoint {endpoint} fenced: {runs} runs")
ENDPOINT_AVOIDED = Event(
    868, "WARNING", "endpoint {endpoint} ejected; no new tasks for {seconds} s"
)
ENDPOINT_CRASHED = Event(
    870, "WARNING", "endpoint {endpoint} crashed with {runs} runs; suspects {suspects}"
)
ENDPOINT_ENDED = Event(
    871, "INFO", "endpoint {endpoint} has ended: its instance {instance} is {state}"
)
ENDPOINT_SPEED_CHANGED = Event(
    930,
    "INFO",
    "endpoint {endpoint} takes {factor} times as long as others of its pool",
)
TASK_WAITS = Event(
    931,
    "INFO",
    "step {step} of job {job_id} waits for a better endpoint than {endpoint}",
)
SUBMISSIONS_REFUSED = Event(
    920, "WARNING", "{count} waiting submissions refused: they cannot be recorded now"
)
CLIENTS_LIMITED = Event(
    890,
    "WARNING",
    "limits of clients applied: {closed}; {connections} connections are open, and"
    " {held} of {size} bytes are held for requests",
)
ENTRY_UNREADABLE = Event(869, "WARNING", "store key {key} is unreadable: {error}")
DATA_CENTRE_EVACUATED = Event(
    880, "WARNING", "data centre {data_centre} is evacuated, says the {source}"
)
DATA_CENTRE_RETURNED = Event(
    881, "WARNING", "data centre {data_centre} is in use again, says the {source}"
)
EVACUATION_UNKNOWN = Event(
    882,
    "WARNING",
    "evacuated data centre {data_centre} is not in the settings, which name {known}",
)
EVERYTHING_EVACUATED = Event(
    883, "ERROR", "all {count} data centres are evacuated: no task starts"
)
EVACUATION_PROGRESS = Event(
    884, "INFO", "evacuated data centre {data_centre} has {runs} runs left"
)
SUBMISSION_CONFINED = Event(
    885,
    "WARNING",
    "job {job_id} is refused: only evacuated endpoints of pool {pool} could run a step "
    "that requires label '{label}'",
)
STARTS_WITHHELD = Event(
    886,
    "WARNING",
    "no task starts: evacuations could not be read for {seconds} s, while the store "
    "answers",
)
STARTS_RESUMED = Event(
    887, "INFO", "tasks start again after {seconds} s: evacuations have been read"
)
CHECKPOINT_NOT_KEPT = Event(
    888,
    "WARNING",
    "checkpoint of {size} bytes of task {task} of job {job_id} is not kept",
)
CHECKPOINTS_SKIPPED = Event(
    889, "WARNING", "{count} checkpoints in a response of endpoint {endpoint} skipped"
)
INSTANCES_RELEASED = Event(
    910,
    "INFO",
    "pool {pool} needs {floor} of its {size} instances; the others may leave",
)
INSTANCES_RECALLED = Event(
    911, "INFO", "pool {pool} gets its {size} instances back as far as they are free"
)
SPELLS_RESTORED = Event(
    912, "INFO", "spells of demand of {pools} pools are known from an earlier leader"
)
SHORTAGE_REFUSED = Event(
    900,
    "INFO",
    "job {job_id} refused: no room in pool {pool}; again in {retry_after} s",
)
JOBS_GIVE_WAY = Event(
    901,
    "WARNING",
    "pool {pool}: {in_time} jobs in time for {work} s, {late} late, {expired} too late",
)


def list_events() -> dict[str, Event]:
    """Return all events of the catalogue by name."""
    return {name: value for name, value in globals().items() if _is_event(value)}


def _is_event(value: object) -> bool:
    return isinstance(value, Event)
