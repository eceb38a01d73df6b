"""Reads the durable records at the start of a term and writes changes to them.

Changes are written in batches. An end is acknowledged, an outcome reported and an
endpoint used only after the write that records it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

from briarshed import events
from briarshed.exceptions import DocumentError
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads.engine import Engine
from briarshed_workloads.fenced_writer import MAX_TRANSACTION_WRITES
from briarshed_workloads.fleet import Endpoint
from briarshed_workloads.interfaces import Directory, Item, Put, Store
from briarshed_workloads.job_records import encode_job, encode_progress
from briarshed_workloads.jobs import Job
from briarshed_workloads.leadership import LeaderTerm
from briarshed_workloads.maintenance import Maintenance
from briarshed_workloads.records import (
    JOBS,
    PROGRESS,
    ROSTER,
    SIZES,
    WAVES,
    WITHDRAWN,
    JobRecord,
    ProgressRecord,
    RosterRecord,
    SizesRecord,
    WaveRecord,
    WithdrawnRecord,
    decode,
    encode,
)
from briarshed_workloads.retention import forget_ended, forget_withdrawn
from briarshed_workloads.slices import WorkSlice
from briarshed_workloads.supervision import report_error
from briarshed_workloads.workloads import NO_RESOURCES, Registration

FLUSH_PAUSE_S = 0.04
"""Pause between two writes of progress, so that a write covers several ends."""

T = TypeVar("T")

MAX_TRANSACTION_BYTES = 262_144
"""Bytes of records of jobs in a transaction, unless it has only one. Over a link of
5 Mbit/s it is written within its time-outs, so that the store does not seem lost."""

MAX_RECORD_ATTEMPTS = 3
"""Attempts to encode the records of a job; meanwhile no end is acknowledged."""

CLEANUP_INTERVAL_S = 10.0
"""Interval of removing records that have outlived their retention period."""


class Persistence:
    """Reads and writes the durable records of one term.

    Parameters
    ----------
    term : LeaderTerm
        Term in which the records are written.
    engine : Engine
        State that is recorded.
    store, directory
        Store of the records, and encoder of the operator's status items.
    status_retention : float
        Seconds for which the outcome of an ended job is reported.
    note_saved : callable
        Called with the name of an endpoint whose ends may be acknowledged, or with an
        empty name when jobs may start.

    Attributes
    ----------
    pending_acceptances : dict
        Futures of submissions that are not durable yet, by job: ``accepted``,
        ``refused`` (nothing of the job was sent to the store) or ``unknown``.
    outcomes : dict
        Durable outcomes of ended jobs.
    unreadable_jobs : set
        Ids of recorded jobs whose records cannot be decoded or replaced. They exist,
        but neither run nor have a known state.
    """

    def __init__(
        self,
        term: LeaderTerm,
        engine: Engine,
        store: Store,
        directory: Directory,
        status_retention: float,
        note_saved: Callable[[str], None],
    ) -> None:
        self.pending_acceptances: dict[str, asyncio.Future[str]] = {}
        self._sent_jobs: set[str] = set()
        self.outcomes: dict[str, str] = {}
        self.unreadable_jobs: set[str] = set()
        self._unsaved_withdrawn: dict[str, None] = {}
        self._recorded_starts: dict[str, int] = {}
        self._failed_jobs: set[str] = set()
        self._failed_endpoints: dict[str, Registration] = {}
        self._failed_attempts: dict[str, int] = {}
        self._term = term
        self._engine = engine
        self._store = store
        self._directory = directory
        self._status_retention = status_retention
        self._note_saved = note_saved
        self._unsaved = asyncio.Event()
        self._sizes: SizesRecord | None = None

    def request_save(self) -> None:
        """Request a write of the pending changes."""
        self._unsaved.set()

    def fail_pending_acceptances(self) -> None:
        """Resolve all pending acceptances when the term ends.

        The outcome of those that were sent to the store is unknown.
        """
        self.refuse_unsent()
        for future in self.pending_acceptances.values():
            if not future.done():
                future.set_result("unknown")

    def refuse_unsent(self) -> list[str]:
        """Refuse the new jobs of which nothing was sent to the store.

        They are removed, so that no later write holds them.

        Returns
        -------
        list of str
            Ids of these jobs.
        """
        refused = [
            job_id
            for job_id in self.pending_acceptances
            if job_id not in self._sent_jobs
        ]
        for job_id in refused:
            self._engine.remove_unrecorded(job_id)
            waiting = self.pending_acceptances.pop(job_id)
            if not waiting.done():
                waiting.set_result("refused")
        return refused

    async def load_jobs(self) -> None:
        """Load all recorded jobs into the engine."""
        jobs = await self._store.read_all(JOBS)
        progress = await self._store.read_all(PROGRESS)
        rows = {item.key.removeprefix(PROGRESS): item for item in progress.items}
        work = WorkSlice()
        for item in jobs.items:
            self._restore_job(item.key.removeprefix(JOBS), item.value, rows)
            await work.end_if_due()

    async def load_withdrawn(self) -> None:
        """Load the ids that earlier leaders have withdrawn."""
        for item in (await self._store.read_all(WITHDRAWN)).items:
            record = _decode_or_report(item, WithdrawnRecord)
            # Without a time it is kept as long as one that is withdrawn now.
            at = clock.read_unix_time() if record is None else record.withdrawn_at
            self._engine.withdrawn[item.key.removeprefix(WITHDRAWN)] = at

    def withdraw(self, job_id: str) -> None:
        """Withdraw an id that no job has, and request the write that records it."""
        self._engine.withdrawn[job_id] = clock.read_unix_time()
        self._unsaved_withdrawn[job_id] = None
        self.request_save()

    def is_withdrawal_recorded(self, job_id: str) -> bool:
        """Return whether an id is withdrawn, also for the next leader."""
        is_saved = job_id not in self._unsaved_withdrawn
        return job_id in self._engine.withdrawn and is_saved

    def _restore_job(self, job_id: str, value: bytes, rows: Mapping[str, Item]) -> None:
        try:
            record = decode(value, JobRecord)
            row = rows.get(job_id)
            progress = decode(row.value, ProgressRecord) if row else None
            self._engine.restore(job_id, record, progress, clock.read_unix_time())
        except DocumentError as error:
            log_event(events.RECORD_UNREADABLE, key=JOBS + job_id, error=str(error))
            self._set_aside(job_id)
            return
        except Exception as error:
            report_error(f"record of job {job_id}", error)
            self._set_aside(job_id)
            return
        if record.outcome:
            self.outcomes[job_id] = record.outcome

    def _set_aside(self, job_id: str) -> None:
        """Let a recorded job that cannot be handled exist without running."""
        self.unreadable_jobs.add(job_id)
        job = self._engine.jobs.pop(job_id, None)
        if job is not None:
            self._engine.open_jobs.get(job.pool, {}).pop(job_id, None)
            job.release()

    async def load_roster(self) -> None:
        """Load the endpoints that may hold runs but are no longer registered."""
        item = await self._store.read(ROSTER)
        if item is None:
            return
        record = _decode_or_report(item, RosterRecord)
        if record is None:
            # Any endpoint may have runs: restored jobs wait until those have expired.
            self._engine.earlier.is_roster_unreadable = True
            return
        for name, started_at_ms, address, instance, pool in record.rows:
            if name not in self._engine.endpoints:
                lost = Registration(
                    name,
                    started_at_ms,
                    address,
                    pool,
                    "",
                    "",
                    (),
                    NO_RESOURCES,
                    instance=instance,
                )
                self._engine.add_endpoint(lost).is_listed = False
            has_restarted = name in record.restarted
            self._engine.earlier.note_recorded(
                self._engine.endpoints[name],
                started_at_ms,
                has_restarted,
                clock.read_unix_time(),
            )

    async def load_waves(self, maintenance: Maintenance) -> None:
        """Load the progress of waves and the sizes of pools."""
        for item in (await self._store.read_all(WAVES)).items:
            number = item.key.removeprefix(WAVES)
            record = _decode_or_report(item, WaveRecord)
            if record is None:
                maintenance.note_unreadable_orders()
            elif number.isdigit():
                maintenance.restore(int(number), record)
        item = await self._store.read(SIZES)
        if item is None:
            return
        sizes = _decode_or_report(item, SizesRecord)
        if sizes is None:
            maintenance.note_unreadable_orders()
        else:
            maintenance.restore_sizes(sizes)

    async def save(self) -> None:
        """Write changes whenever a write is requested; runs until cancelled."""
        while True:
            await self._unsaved.wait()
            self._unsaved.clear()
            if not (self.pending_acceptances or self._unsaved_withdrawn):
                await asyncio.sleep(FLUSH_PAUSE_S)
            try:
                await self._save_once()
            except BaseException:
                self._unsaved.set()
                raise

    async def _save_once(self) -> None:
        engine = self._engine
        seen = [
            (row, row.registration.started_at_ms, row.last_listed_end)
            for row in engine.endpoints.values()
        ]
        await self._save_roster()
        await self._save_withdrawn()
        unsaved = dict(engine.unsaved_jobs)
        engine.unsaved_jobs.clear()
        self._failed_jobs.clear()
        try:
            while unsaved or self._sizes is not None:
                # New jobs come first, including those submitted during the last write,
                # because their callers are waiting.
                for job_id in self.pending_acceptances:
                    if job_id in engine.unsaved_jobs:
                        del engine.unsaved_jobs[job_id]
                        unsaved[job_id] = None
                batch = self._choose_batch(unsaved)
                for job_id in await self._save_jobs(batch):
                    unsaved.pop(job_id, None)
        finally:
            # The next write covers what an error has left unsaved.
            engine.unsaved_jobs.update(dict.fromkeys([*unsaved, *self._failed_jobs]))
        if self._failed_jobs:
            # Ends of these jobs are not durable, and it is not known where they are.
            return
        for endpoint, started_at_ms, number in seen:
            # A later incarnation with the same name numbers its ends from 1 again.
            is_same = endpoint.registration.started_at_ms == started_at_ms
            if is_same and number > endpoint.acknowledged:
                endpoint.acknowledged = number
                self._note_saved(endpoint.name)

    async def _save_withdrawn(self) -> None:
        """Record withdrawn ids, whose callers are waiting."""
        while self._unsaved_withdrawn:
            batch = list(self._unsaved_withdrawn)[:MAX_TRANSACTION_WRITES]
            await self._term.fenced_writer.commit(
                [
                    Put(
                        WITHDRAWN + job_id,
                        encode(WithdrawnRecord(self._engine.withdrawn[job_id])),
                    )
                    for job_id in batch
                ]
            )
            for job_id in batch:
                self._unsaved_withdrawn.pop(job_id, None)

    def _choose_batch(self, job_ids: Iterable[str]) -> list[str]:
        """Return the jobs of the next write, those with pending acceptance first."""
        batch: list[str] = []
        entries = 0 if self._sizes is None else 1
        for job_id in sorted(
            job_ids, key=lambda row: row not in self.pending_acceptances
        ):
            job = self._engine.jobs.get(job_id)
            # Recording an outcome also removes the job's progress record.
            entries += 1 if job is None or job.is_open else 2
            if entries > MAX_TRANSACTION_WRITES:
                break
            batch.append(job_id)
        return batch

    async def _save_jobs(self, job_ids: list[str]) -> list[str]:
        """Write the records of the first jobs that fit into a transaction.

        Returns
        -------
        list of str
            The jobs that need no further write: those written, set aside or unknown.
        """
        puts: list[Put] = []
        size = 0
        handled: list[str] = []
        removals: list[str] = []
        states: dict[str, str] = {}
        new_jobs: list[Job] = []
        for job_id in job_ids:
            job = self._engine.jobs.get(job_id)
            if job is None:
                handled.append(job_id)
                continue
            try:
                records = self._encode_records(job)
            except Exception as error:
                report_error(f"record of job {job_id}", error)
                self._note_failed_record(job_id)
                handled.append(job_id)
                continue
            size += sum(len(put.value) for put in records)
            if puts and size > MAX_TRANSACTION_BYTES:
                break
            handled.append(job_id)
            puts += records
            if job_id in self.pending_acceptances:
                new_jobs.append(job)
            if not job.is_open:
                removals.append(PROGRESS + job_id)
                states[job_id] = job.state
        sizes, self._sizes = self._sizes, None
        if sizes is not None:
            puts.append(Put(SIZES, encode(sizes)))
        if puts:
            self._sent_jobs.update(job.job_id for job in new_jobs)
            try:
                await self._term.fenced_writer.commit(puts, removals)
            except BaseException:
                self._sizes = self._sizes or sizes
                raise
        self.outcomes.update(states)
        for job in new_jobs:
            self._confirm_acceptance(job)
        return handled

    def _encode_records(self, job: Job) -> list[Put]:
        """Return the records that a change of a job replaces."""
        puts: list[Put] = []
        is_new = job.job_id in self.pending_acceptances
        if is_new or not job.is_open:
            puts.append(Put(JOBS + job.job_id, encode_job(job)))
        if job.is_open and not is_new:
            puts.append(Put(PROGRESS + job.job_id, encode_progress(job)))
        return puts

    def _note_failed_record(self, job_id: str) -> None:
        """Let a job that cannot be recorded be recorded later, or set it aside.

        The caller of a new job may submit it again.
        """
        waiting = self.pending_acceptances.pop(job_id, None)
        if waiting is not None:
            self._engine.remove_unrecorded(job_id)
            if not waiting.done():
                is_sent = job_id in self._sent_jobs
                waiting.set_result("unknown" if is_sent else "refused")
            return
        attempts = self._failed_attempts.get(job_id, 0) + 1
        self._failed_attempts[job_id] = attempts
        if attempts < MAX_RECORD_ATTEMPTS:
            self._failed_jobs.add(job_id)
        else:
            self._set_aside(job_id)

    def _confirm_acceptance(self, job: Job) -> None:
        """Note that a new job is recorded, unless it was set aside meanwhile."""
        job_id = job.job_id
        self._sent_jobs.discard(job_id)
        if self._engine.jobs.get(job_id) is not job:
            return
        waiting = self.pending_acceptances.pop(job_id, None)
        if waiting is None:
            return
        if not waiting.done():
            waiting.set_result("accepted")
        if job.is_open:
            self._engine.activate(job, clock.read_unix_time())
        log_event(
            events.JOB_ACCEPTED,
            job_id=job_id,
            queue=job.queue,
            team=job.team,
            tasks=sum(step.count for step in job.description.steps),
            epoch=self._engine.epoch,
            commit=self._term.fenced_writer.commit_count,
        )
        self._note_saved("")

    async def _save_roster(self) -> None:
        """Record new incarnations of endpoints before the first order to them.

        Endpoints that are gone are left out, so that the next leader does not wait for
        them.
        """
        engine = self._engine
        rows = {
            name: row
            for name, row in engine.endpoints.items()
            if not row.is_gone and (row.is_listed or row.runs or not row.fenced_counter)
        }
        if self._is_recorded(rows):
            return
        rows = {
            name: row
            for name, row in rows.items()
            if self._can_record_endpoint(row.registration)
        }
        if self._is_recorded(rows):
            return
        starts = _list_starts(rows.values())
        incarnations = {
            name: row.registration.started_at_ms for name, row in rows.items()
        }
        record = _make_roster(rows.values())
        # The write may be done at any time from now on, whatever its outcome.
        engine.roster &= rows.keys()
        await self._term.fenced_writer.commit([Put(ROSTER, encode(record))])
        # An endpoint that has restarted since the write began is not recorded yet.
        engine.roster = {
            name
            for name, started_at_ms in incarnations.items()
            if name not in engine.endpoints
            or engine.endpoints[name].registration.started_at_ms == started_at_ms
        }
        self._recorded_starts = starts
        self._note_saved("")

    def _is_recorded(self, endpoints: Mapping[str, Endpoint]) -> bool:
        """Return whether the roster names these endpoints and their incarnations."""
        starts = _list_starts(endpoints.values())
        return endpoints.keys() == self._engine.roster and (
            starts == self._recorded_starts
        )

    def _can_record_endpoint(self, registration: Registration) -> bool:
        """Return whether an endpoint can be recorded; report one that cannot.

        It gets no runs, and the others are recorded without it.
        """
        name = registration.endpoint
        if self._failed_endpoints.get(name) == registration:
            return False
        try:
            encode(_make_roster([Endpoint(registration, 0)]))
        except Exception as error:
            self._failed_endpoints[name] = registration
            report_error(f"record of endpoint {name}", error)
            return False
        return True

    async def clean(self) -> None:
        """Remove expired records at intervals; runs until cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            old = forget_ended(self._engine, clock.read_unix_time(), self._kept_s)
            for job_id in old:
                self.outcomes.pop(job_id, None)
            keys = [JOBS + job_id for job_id in old]
            keys += self.forget_withdrawn(clock.read_unix_time())
            for start in range(0, len(keys), MAX_TRANSACTION_WRITES):
                part = keys[start : start + MAX_TRANSACTION_WRITES]
                await self._term.fenced_writer.commit([], part)

    @property
    def _kept_s(self) -> float:
        """Seconds for which outcomes and withdrawals are kept."""
        return self._status_retention + CLEANUP_INTERVAL_S

    def forget_withdrawn(self, unix_now: float) -> list[str]:
        """Forget the withdrawals that have outlived their retention period.

        Returns
        -------
        list of str
            Keys of their records.
        """
        old = forget_withdrawn(self._engine, unix_now, self._kept_s)
        for job_id in old:
            self._unsaved_withdrawn.pop(job_id, None)
        return [WITHDRAWN + job_id for job_id in old]

    def note_sizes(self, record: SizesRecord) -> None:
        """Record the pool sizes and the latest moves with the next write."""
        self._sizes = record
        self.request_save()

    async def save_sizes(self, record: SizesRecord) -> None:
        """Record the pool sizes and the latest moves now."""
        self._sizes = None
        await self._term.fenced_writer.commit([Put(SIZES, encode(record))])

    async def save_wave(self, wave: int, record: WaveRecord) -> None:
        """Record the progress of a wave and report it to the operator."""
        status = self._directory.encode_wave_status(wave, record.is_completed)
        await self._term.fenced_writer.commit(
            [status, Put(f"{WAVES}{wave}", encode(record))]
        )


def _make_roster(endpoints: Iterable[Endpoint]) -> RosterRecord:
    """Return the record of endpoints that may have runs."""
    rows = list(endpoints)
    registrations = [row.registration for row in rows]
    return RosterRecord(
        tuple(
            (row.endpoint, row.started_at_ms, row.address, row.instance, row.pool)
            for row in registrations
        ),
        tuple(row.name for row in rows if row.has_restarted),
    )


def _list_starts(endpoints: Iterable[Endpoint]) -> dict[str, int]:
    """Return the start times in Unix ms of endpoints that have restarted."""
    return {
        row.name: row.registration.started_at_ms
        for row in endpoints
        if row.has_restarted
    }


def _decode_or_report(item: Item, kind: type[T]) -> T | None:
    """Return the decoded record, or report it and return None if it is unreadable."""
    try:
        return decode(item.value, kind)
    except DocumentError as error:
        log_event(events.RECORD_UNREADABLE, key=item.key, error=str(error))
        return None
