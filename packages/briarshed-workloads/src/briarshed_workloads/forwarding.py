"""Forwards callers' submissions and queries to the leader, local or remote."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple, Protocol

from msgspec.structs import replace

from briarshed import events
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads import telemetry
from briarshed_workloads.configuration import Configuration
from briarshed_workloads.controller import Controller
from briarshed_workloads.interfaces import NotExecutedError, OutcomeUnknownError, Store
from briarshed_workloads.leadership import LeaderTerm
from briarshed_workloads.records import JOBS, JobRecord, decode
from briarshed_workloads.refusals import number_attempt
from briarshed_workloads.returns import Returns
from briarshed_workloads.transport import (
    JobRequest,
    LeaderHeartbeat,
    PeerTransport,
    PendingReplies,
    RefuseRequest,
    Reply,
    SubmitRequest,
)
from briarshed_workloads.workloads import Submission

QUERY_TIMEOUT_S = 2.0
"""How long an entry waits for the leader's reply to a query."""

ATTEMPT_TIMEOUT_S = 0.7
"""Longest wait for a reply before a submission is sent again; a leader replies within
0.1 s."""

RESEND_PAUSE_S = 0.1

NO_LEADER_TIMEOUT_S = 2.0
"""How long a submission waits for a new leader before it is refused. This covers most
of the time that a change takes once the leader's heartbeats have stopped."""

NO_STORE_TIMEOUT_S = 0.3
"""How long a submission waits for a leader that cannot write. The entry's view of the
leader is up to one heartbeat old."""

STEP_BYTES = 64
"""Bytes of a step in a message, with numbers of middling size."""

RECORD_TIMEOUT_S = 0.3
"""How long a refusal waits for the store to tell whether the job is recorded."""

RETRY_AFTER_S = 1.0
"""Retry delay for callers while there is no leader; a change takes 1 s to 3 s."""

MAX_COUNT_AGE_S = 1.5
"""Age up to which a count of waiting jobs is given to callers, who may get one that is
2 s old."""


class WaitingReport(NamedTuple):
    """A leader's count of waiting jobs.

    Attributes
    ----------
    leader : str
        Name of the entry that counted.
    epoch : int
        Its term.
    counted_at : float
        Time before which it had certainly not counted, in seconds of the boot clock.
    counts : Mapping
        Number of waiting jobs of each queue that has any.
    oldest_at : Mapping
        When the oldest of them was accepted, in Unix seconds.
    """

    leader: str
    epoch: int
    counted_at: float
    counts: Mapping[str, int]
    oldest_at: Mapping[str, float]


class LeaderView(NamedTuple):
    """Last heartbeat of the leader; ``received_at`` is in seconds of the boot clock."""

    address: str
    heartbeat: LeaderHeartbeat
    received_at: float


class EntryState(Protocol):
    """What an entry knows of the leader.

    Attributes
    ----------
    term : LeaderTerm or None
        The term of this entry, if it leads.
    controller : Controller or None
        The controller of this term.
    leader : LeaderView or None
        The last heartbeat of a leader.
    configuration : Configuration or None
        The configuration in force.
    """

    term: LeaderTerm | None
    controller: Controller | None
    leader: LeaderView | None
    configuration: Configuration | None

    def is_leader_alive(self) -> bool:
        """Tell whether a heartbeat of a leader was received recently."""

    def is_cut_off(self) -> bool:
        """Tell whether this entry has contact with neither store nor leader."""


def estimate_size(submission: Submission) -> int:
    """Return about how many bytes a submission has as a message."""
    description = submission.description
    return len(description.spec) + STEP_BYTES * (1 + len(description.steps))


class Forwarder:
    """Forwards submissions and queries to the leader and awaits its replies.

    Parameters
    ----------
    entry : EntryState
        Provides the current leader, and the controller if this process leads.
    store : Store
        Source of a job's state while there is no leader.
    transport : PeerTransport
        Sends messages to the leader.
    pending_replies : PendingReplies
        Replies that are awaited.
    """

    def __init__(
        self,
        entry: EntryState,
        store: Store,
        transport: PeerTransport,
        pending_replies: PendingReplies,
    ) -> None:
        self._entry = entry
        self._store = store
        self._transport = transport
        self._pending_replies = pending_replies
        self._waiting_report: WaitingReport | None = None
        self._receiver = ""
        self._returns = Returns()

    async def submit_locally(self, request: SubmitRequest) -> Reply:
        """Submit a job to the controller of this process, if it leads.

        A request that is meant for the leader of another epoch may have been held up
        until this one has answered the caller otherwise.
        """
        controller = self._entry.controller
        if controller is None or request.epoch not in (0, controller.term.epoch):
            return Reply(request.id, "not leader", RETRY_AFTER_S)
        result = await controller.submit(request.submission, request.attempt)
        return Reply(request.id, result.outcome, result.retry_after)

    def refuse_locally(self, request: RefuseRequest) -> Reply:
        """Refuse an unread job at the controller of this process, if it leads."""
        controller = self._entry.controller
        if controller is None or request.epoch not in (0, controller.term.epoch):
            return Reply(request.id, "not leader", RETRY_AFTER_S)
        result = controller.refuse_unread(request.job)
        return Reply(request.id, result.outcome, result.retry_after)

    async def query_locally(self, id: int, job: str, cancel: bool) -> Reply:
        """Query or cancel a job at the controller of this process, if it leads."""
        if self._entry.controller is None:
            return Reply(id, "not leader", RETRY_AFTER_S)
        if cancel:
            return Reply(id, await self._entry.controller.cancel(job))
        return Reply(id, self._entry.controller.find_state(job))

    async def submit(
        self, submission: Submission, timeout: float, received_at: float | None = None
    ) -> Reply:
        """Submit a job to the leader and return its reply.

        The job is sent again if the leader does not reply or changes; submitting is
        idempotent, and a leader that has refused it refuses what was sent before, too.
        The outcome is ``refused`` only if this submission will certainly not run, and
        none before it is recorded as far as the store responds. It is
        ``unknown`` if the job was sent and no reply came within ``timeout`` seconds.

        Parameters
        ----------
        timeout : float
            Time from now in seconds.
        received_at : float, optional
            When the head of the caller's request arrived, in seconds of the boot
            clock; now by default. It orders the requests for a job: the body of an
            earlier one may arrive after a later one has been refused.
        """
        started_at = clock.now()
        if received_at is None:
            received_at = started_at
        was_sent = False
        last_epoch = 0
        while True:
            left = started_at + timeout - clock.now()
            reply = None
            request = self._make_request(submission, received_at)
            if request is not None:
                reply = await self._send_submission(
                    request, min(left, ATTEMPT_TIMEOUT_S)
                )
            if reply is not None and reply.outcome == "accepted":
                self._returns.note_accepted(clock.now())
                return reply
            if reply is not None and reply.outcome == "withdrawn":
                return Reply(0, "refused", reply.retry_after)
            is_full = reply is not None and reply.outcome == "full"
            if is_full and request.epoch >= last_epoch:
                # What was sent to this leader or an earlier one is refused too.
                return Reply(0, "refused", reply.retry_after)
            if reply is not None and reply.outcome == "unknown":
                was_sent = True
                last_epoch = max(last_epoch, request.epoch)
            waited = clock.now() - started_at
            if was_sent and waited + RESEND_PAUSE_S > timeout:
                return Reply(0, "unknown", RETRY_AFTER_S)
            if not was_sent and waited > min(timeout, self._choose_timeout()):
                if await self._is_recorded(submission.job):
                    return Reply(0, "accepted")
                return Reply(0, "refused", self._choose_return(submission.queue))
            await asyncio.sleep(RESEND_PAUSE_S)

    def _choose_return(self, queue: str) -> float:
        """Return in how many seconds a caller that is refused in an outage returns."""
        if self._entry.is_cut_off() or self._entry.configuration is None:
            # Another entry can accept the job.
            return RETRY_AFTER_S
        rules = self._entry.configuration.queues.get(queue)
        priority = rules.priority if rules is not None else 0
        return self._returns.find_delay(priority, clock.now())

    async def _is_recorded(self, job: str) -> bool:
        """Return whether an earlier submission of a job is known to have been accepted.

        Its caller may have got no response to that one.
        """
        if self._entry.is_cut_off():
            return False
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                return await self._store.read(JOBS + job) is not None
        except (NotExecutedError, OutcomeUnknownError, TimeoutError):
            # Logged by the store client; callers are not kept waiting for the store.
            return False

    def _choose_timeout(self) -> float:
        """Return how long, in seconds, a submission may wait for a leader."""
        if self._entry.is_cut_off():
            # Another entry can accept it.
            return 0.0
        if self._entry.is_leader_alive():
            # The leader cannot make a job durable.
            return NO_STORE_TIMEOUT_S
        return NO_LEADER_TIMEOUT_S

    def _make_request(
        self, submission: Submission, read_at: float
    ) -> SubmitRequest | None:
        """Return a request to the present leader, or None if there is none."""
        term, view = self._entry.term, self._entry.leader
        if term is not None:
            attempt = number_attempt(read_at, read_at, read_at)
            return SubmitRequest(0, submission, attempt, term.epoch)
        if view is None or not self._entry.is_leader_alive():
            return None
        heartbeat = view.heartbeat
        attempt = number_attempt(read_at, heartbeat.sent_at, view.received_at)
        return SubmitRequest(0, submission, attempt, heartbeat.epoch)

    async def _send_submission(
        self, request: SubmitRequest, timeout: float
    ) -> Reply | None:
        """Return the leader's reply; None if nothing was sent for lack of room."""
        if self._entry.term is not None:
            return await self._await_reply(self.submit_locally(request), timeout)
        assert self._entry.leader is not None
        if self._entry.leader.address != self._receiver:
            self._receiver = self._entry.leader.address
            self._pending_replies.forget_unread()
        size = estimate_size(request.submission)
        if not self._pending_replies.has_room(size):
            telemetry.count("submission not sent", "leader reads too slowly")
            return None
        id, future = self._pending_replies.open(size)
        try:
            self._transport.send(self._entry.leader.address, replace(request, id=id))
            return await self._await_reply(future, timeout)
        finally:
            self._pending_replies.close(id)

    async def query(self, job: str, cancel: bool, timeout: float) -> Reply:
        """Return a job's state, or cancel it.

        Without a leader the state is read from the store.
        """
        limit = timeout if cancel else min(timeout, QUERY_TIMEOUT_S)
        reply = await self._ask_leader(job, cancel, limit)
        if cancel or reply.outcome not in ("unknown", "not leader"):
            return reply
        return await self._read_state(job)

    async def refuse_unread(self, job: str, timeout: float) -> Reply:
        """Refuse a job whose description this entry has not read.

        Only the leader can: an earlier request for the job may be on its way to it. The
        outcome is ``refused`` only if that one will not run either, else ``unknown``.
        """
        term, view = self._entry.term, self._entry.leader
        if term is not None:
            reply = self.refuse_locally(RefuseRequest(0, job, term.epoch))
        elif view is not None:
            request = RefuseRequest(0, job, view.heartbeat.epoch)
            reply = await self._ask(request, min(timeout, QUERY_TIMEOUT_S))
        else:
            reply = Reply(0, "unknown", RETRY_AFTER_S)
        is_refused = reply.outcome in ("full", "withdrawn")
        return Reply(0, "refused" if is_refused else "unknown", reply.retry_after)

    async def _ask_leader(self, job: str, cancel: bool, timeout: float) -> Reply:
        """Return what the leader answers about a job; ``unknown`` if it does not.

        Only it knows of submissions that are not recorded yet.
        """
        if self._entry.term is not None:
            return await self._await_reply(self.query_locally(0, job, cancel), timeout)
        return await self._ask(JobRequest(0, job, cancel), timeout)

    async def _ask(self, request: JobRequest | RefuseRequest, timeout: float) -> Reply:
        """Return the reply of another entry that leads; ``unknown`` if none comes."""
        if not self._entry.is_leader_alive():
            return Reply(0, "unknown", RETRY_AFTER_S)
        assert self._entry.leader is not None
        address = self._entry.leader.address
        id, future = self._pending_replies.open()
        try:
            self._transport.send(address, replace(request, id=id))
            return await self._await_reply(future, timeout)
        finally:
            self._pending_replies.close(id)

    async def _await_reply(self, reply: object, timeout: float) -> Reply:
        try:
            async with asyncio.timeout(timeout):
                return await reply  # type: ignore[misc]
        except TimeoutError:
            return Reply(0, "unknown", RETRY_AFTER_S)

    async def _read_state(self, job: str) -> Reply:
        try:
            item = await self._store.read(JOBS + job)
        except (NotExecutedError, OutcomeUnknownError):
            return Reply(0, "unknown", RETRY_AFTER_S)
        if item is None:
            return Reply(0, "missing")
        return Reply(0, decode(item.value, JobRecord).outcome or "pending")

    def note_leader_heartbeat(
        self, heartbeat: LeaderHeartbeat, counted_at: float
    ) -> None:
        """Keep the leader's count of waiting jobs, unless it may leave some out.

        A leader that has not read the records does not know all jobs, and without
        authority there may be a later leader that has accepted others.

        Parameters
        ----------
        counted_at : float
            Time before which it had certainly not counted, in seconds of the boot
            clock. The heartbeat may have been held up on its way.
        """
        if heartbeat.is_loaded and heartbeat.has_authority:
            self._waiting_report = WaitingReport(
                heartbeat.leader,
                heartbeat.epoch,
                counted_at,
                heartbeat.waiting,
                heartbeat.oldest_waiting_at,
            )

    def count_waiting(self, queue: str) -> int | None:
        """Return the number of the queue's jobs that wait; None if it is not known.

        While the next leader reads the records, that is the last leader's count.
        """
        report = self._waiting_report
        if report is None:
            return None
        age = clock.now() - report.counted_at
        if not 0 <= age <= MAX_COUNT_AGE_S:
            return None
        count = report.counts.get(queue, 0)
        oldest_at = report.oldest_at.get(queue)
        telemetry.observe_seconds("waiting count age", age)
        log_event(
            events.WAITING_JOBS_ANSWERED,
            queue=queue,
            count=count,
            leader=report.leader,
            epoch=report.epoch,
            age=round(age, 3),
            oldest=None
            if oldest_at is None
            else round(clock.read_unix_time() - oldest_at, 2),
        )
        return count
