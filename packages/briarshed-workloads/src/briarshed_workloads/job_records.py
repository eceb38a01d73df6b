"""Records of jobs as they are written, within the limits of the store."""

from __future__ import annotations

import msgspec

from briarshed.exceptions import DocumentError
from briarshed_workloads.jobs import Job
from briarshed_workloads.records import encode
from briarshed_workloads.supervision import report_error

MAX_RECORD_BYTES = 1_000_000
"""Largest record; an item of the store holds a megabyte."""


def _encode_bounded(record: msgspec.Struct) -> bytes:
    """Return the encoding of a record.

    Raises
    ------
    DocumentError
        If it is too large for an item of the store. The store would refuse each attempt
        to write it, and no other write could follow.
    """
    data = encode(record)
    if len(data) > MAX_RECORD_BYTES:
        kind = type(record).__name__
        raise DocumentError(f"{kind} of {len(data)} bytes exceeds {MAX_RECORD_BYTES}")
    return data


def encode_job(job: Job) -> bytes:
    """Return the record of a job.

    Raises
    ------
    DocumentError
        If it is too large for an item of the store.
    """
    return _encode_bounded(job.encode_job())


def encode_progress(job: Job) -> bytes:
    """Return the progress of a job, without checkpoints if they make it too large.

    Tasks without a checkpoint start from the beginning.

    Raises
    ------
    DocumentError
        If it is too large without checkpoints too.
    """
    progress = job.encode_progress()
    try:
        return _encode_bounded(progress)
    except DocumentError as error:
        report_error(f"checkpoints of job {job.job_id}", error)
    tasks = tuple(
        msgspec.structs.replace(row, checkpoint="")
        for row in progress.tasks
        if row.failed_runs or row.crashes or row.unsettled
    )
    return _encode_bounded(msgspec.structs.replace(progress, tasks=tasks))
