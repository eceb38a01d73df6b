"""Durable records of jobs and their encoding in the store."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from briarshed.exceptions import DocumentError
from briarshed_workloads.workloads import Description

JOBS = "briarshed/jobs/"
PROGRESS = "briarshed/progress/"
ENTRIES = "briarshed/entries/"
TERM = "briarshed/term"
LEADER = "briarshed/leader"
ROSTER = "briarshed/roster"
WAVES = "briarshed/waves/"
SIZES = "briarshed/sizes"

T = TypeVar("T")


class JobRecord(msgspec.Struct, array_like=True, frozen=True):
    """A job as it was accepted; of a job that has ended only the outcome is kept.

    ``outcome`` is empty while the job is open. Times are Unix seconds.
    """

    queue: str
    pool: str
    team: str
    accepted_at: float
    outcome: str
    ended_at: float
    description: Description | None


class TaskRecord(msgspec.Struct, array_like=True, frozen=True):
    """What is known of a task that has not succeeded.

    ``failed_runs`` lists the runs that failed, so that an end that is listed again
    after a change of the leader is counted once.
    """

    occurrence: int
    step: int
    index: int
    failed_runs: tuple[int, ...]
    checkpoint: str


class ProgressRecord(msgspec.Struct, array_like=True, frozen=True):
    """Progress of an open job.

    ``succeeded`` holds rows of occurrence, step and the indices of the tasks that
    have succeeded; ``cancelled`` tells that the cancellation is confirmed.
    """

    cancelled: bool
    succeeded: tuple[tuple[int, int, tuple[int, ...]], ...]
    tasks: tuple[TaskRecord, ...]


class TermRecord(msgspec.Struct, array_like=True, frozen=True):
    """The term of a leader: every write of a leader is conditional on this item."""

    epoch: int
    leader: str
    writes: int


class EntryRecord(msgspec.Struct, array_like=True, frozen=True):
    """An entry process and the address at which its peers reach it."""

    name: str
    incarnation: str
    address: str


class RosterRecord(msgspec.Struct, array_like=True, frozen=True):
    """Endpoints that may hold runs.

    Rows of endpoint, start in Unix ms, address, instance and pool.
    """

    rows: tuple[tuple[str, int, str, str, str], ...]


class SizesRecord(msgspec.Struct, array_like=True, frozen=True):
    """Instances that each pool had before the first move.

    ``moved`` names those that were about to be moved within the last lease time.
    """

    sizes: dict[str, int]
    moved: tuple[str, ...] = ()


class WaveRecord(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a wave.

    ``begun`` names the instances whose maintenance has begun, ``ordered`` those that
    were about to be ordered and may have begun. ``seen_at`` is the Unix time in seconds
    at which a leader first saw the wave.
    """

    begun: tuple[str, ...]
    is_completed: bool
    ordered: tuple[str, ...] = ()
    seen_at: float = 0.0


def encode(record: msgspec.Struct) -> bytes:
    """Return the bytes that are stored for a record."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes, kind: type[T]) -> T:
    """Return the record that the bytes hold.

    Raises
    ------
    DocumentError
        If the bytes are not a record of this kind.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, ValueError) as error:
        raise DocumentError(f"not a {kind.__name__}: {error}") from error
