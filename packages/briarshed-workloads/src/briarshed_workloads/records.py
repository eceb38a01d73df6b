"""Durable records of jobs and their encoding in the store."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from briarshed.decoding import DECODING_ERRORS
from briarshed.exceptions import DocumentError
from briarshed_workloads.workloads import Description

JOBS = "briarshed/jobs/"
PROGRESS = "briarshed/progress/"
WITHDRAWN = "briarshed/withdrawn/"
ENTRIES = "briarshed/entries/"
TERM = "briarshed/term"
LEADER = "briarshed/leader"
MEMBERS = "briarshed/members"
ROSTER = "briarshed/roster"
WAVES = "briarshed/waves/"
SIZES = "briarshed/sizes"

T = TypeVar("T")


class JobRecord(msgspec.Struct, array_like=True, frozen=True):
    """An accepted job; the record of an ended job keeps only the outcome.

    ``outcome`` is empty while the job is open. Times are Unix seconds. ``max_attempts``
    is that of the queue when the job was accepted, in case the queue is removed.
    Records of earlier versions have none.
    """

    queue: str
    pool: str
    team: str
    accepted_at: float
    outcome: str
    ended_at: float
    description: Description | None
    max_attempts: int = 1


class TaskRecord(msgspec.Struct, array_like=True, frozen=True):
    """State of a task that has not succeeded.

    ``failed_runs`` lists the numbers of failed runs, so that an end that is listed
    again after a change of leader is counted once. ``crashes`` holds rows of the number
    of a run whose endpoint has crashed, and the evidence against the run.
    ``unsettled`` holds rows of the number of a run and its endpoint, for starts of
    which it was not known whether, or in which incarnation, the endpoint runs them;
    some may be settled since. Records of earlier versions have none.
    """

    occurrence: int
    step: int
    index: int
    failed_runs: tuple[int, ...]
    checkpoint: str
    crashes: tuple[tuple[int, int], ...] = ()
    unsettled: tuple[tuple[int, str], ...] = ()


class ProgressRecord(msgspec.Struct, array_like=True, frozen=True):
    """Progress of an open job.

    ``succeeded`` holds rows of occurrence, step and the indices of succeeded tasks.
    ``cancelled`` is set once the job is cancelled. Of the occurrences before
    ``next_occurrence``, all are completed but those in ``open_occurrences``, and the
    completed ones have no rows. Records of earlier versions have rows of all.
    """

    cancelled: bool
    succeeded: tuple[tuple[int, int, tuple[int, ...]], ...]
    tasks: tuple[TaskRecord, ...]
    next_occurrence: int = 0
    open_occurrences: tuple[int, ...] = ()


class WithdrawnRecord(msgspec.Struct, array_like=True, frozen=True):
    """An id that was cancelled although no job had it; the time is in Unix seconds."""

    withdrawn_at: float


class TermRecord(msgspec.Struct, array_like=True, frozen=True):
    """The term of a leader; all its writes are conditional on this item.

    ``attempt`` is unique to the attempt to begin the term: an earlier one by the same
    entry, with another lease, may be executed late. Records of earlier versions have
    none.
    """

    epoch: int
    leader: str
    writes: int
    attempt: str = ""


class EntryRecord(msgspec.Struct, array_like=True, frozen=True):
    """An entry process and the address at which other entries reach it."""

    name: str
    incarnation: str
    address: str


class MembersRecord(msgspec.Struct, array_like=True, frozen=True):
    """Names of the entries that may take a vacant leadership at once.

    All may as long as there is no such record.
    """

    names: tuple[str, ...]


class RosterRecord(msgspec.Struct, array_like=True, frozen=True):
    """Endpoints that may have runs.

    Rows of endpoint, start time in Unix ms, address, instance and pool. ``restarted``
    names those that had another incarnation before; records of earlier versions have
    none.
    """

    rows: tuple[tuple[str, int, str, str, str], ...]
    restarted: tuple[str, ...] = ()


class SizesRecord(msgspec.Struct, array_like=True, frozen=True):
    """Number of instances that each pool had before the first move.

    ``moved`` names the instances whose moves were decided within the last lease time.
    ``spells`` holds rows of start and end of the last spells of demand of each pool, in
    Unix seconds, the end None while a spell lasts. Records of earlier versions have
    none.
    """

    sizes: dict[str, int]
    moved: tuple[str, ...] = ()
    spells: dict[str, tuple[tuple[float, float | None], ...]] = {}


class WaveRecord(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a wave.

    ``begun`` names the instances whose maintenance has begun, and ``ordered`` those
    that were about to be ordered, so that it may have begun. ``seen_at`` is the Unix
    time in seconds at which a leader first read the wave.
    """

    begun: tuple[str, ...]
    is_completed: bool
    ordered: tuple[str, ...] = ()
    seen_at: float = 0.0


def encode(record: msgspec.Struct) -> bytes:
    """Return the encoding of a record as it is stored."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes, kind: type[T]) -> T:
    """Return the decoded record.

    Raises
    ------
    DocumentError
        If the bytes do not encode a record of this kind.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except DECODING_ERRORS as error:
        raise DocumentError(
            f"stored bytes are no valid {kind.__name__}: {error}"
        ) from error
