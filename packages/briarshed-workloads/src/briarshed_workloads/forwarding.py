"""Forwards callers' submissions and queries to the leader, local or remote."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briarshed_entry import clock
from briarshed_workloads.interfaces import NotExecutedError, OutcomeUnknownError, Store
from briarshed_workloads.records import JOBS, JobRecord, decode
from briarshed_workloads.transport import (
    JobRequest,
    PeerTransport,
    PendingReplies,
    Reply,
    SubmitRequest,
)
from briarshed_workloads.workloads import Submission

if TYPE_CHECKING:
    from briarshed_workloads.entry import Entry

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

RETRY_AFTER_S = 1.0
"""Retry delay for callers while there is no leader; a change takes 1 s to 3 s."""


class Forwarder:
    """Forwards submissions and queries to the leader and awaits its replies.

    Parameters
    ----------
    entry : Entry
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
        entry: Entry,
        store: Store,
        transport: PeerTransport,
        pending_replies: PendingReplies,
    ) -> None:
        self._entry = entry
        self._store = store
        self._transport = transport
        self._pending_replies = pending_replies

    async def submit_locally(self, id: int, submission: Submission) -> Reply:
        """Submit a job to the controller of this process, if it leads."""
        if self._entry.controller is None:
            return Reply(id, "not leader", RETRY_AFTER_S)
        result = await self._entry.controller.submit(submission)
        return Reply(id, result.outcome, result.retry_after)

    async def query_locally(self, id: int, job: str, cancel: bool) -> Reply:
        """Query or cancel a job at the controller of this process, if it leads."""
        if self._entry.controller is None:
            return Reply(id, "not leader", RETRY_AFTER_S)
        if cancel:
            return Reply(id, await self._entry.controller.cancel(job))
        return Reply(id, self._entry.controller.find_state(job))

    async def submit(self, submission: Submission, timeout: float) -> Reply:
        """Submit a job to the leader and return its reply.

        The job is sent again if the leader does not reply or changes; submitting is
        idempotent. The outcome is ``refused`` only if the job will certainly not run,
        and ``unknown`` if it was sent and no reply came within ``timeout`` seconds.
        """
        started_at = clock.now()
        was_sent = False
        while True:
            left = started_at + timeout - clock.now()
            reply = None
            if self._entry.term is not None or self._entry.is_leader_alive():
                reply = await self._send_submission(
                    submission, min(left, ATTEMPT_TIMEOUT_S)
                )
            if reply is not None and reply.outcome == "accepted":
                return reply
            was_sent = was_sent or (reply is not None and reply.outcome == "unknown")
            waited = clock.now() - started_at
            if was_sent and waited + RESEND_PAUSE_S > timeout:
                return Reply(0, "unknown", RETRY_AFTER_S)
            if not was_sent and waited > min(timeout, self._choose_timeout()):
                return Reply(0, "refused", RETRY_AFTER_S)
            await asyncio.sleep(RESEND_PAUSE_S)

    def _choose_timeout(self) -> float:
        """Return how long, in seconds, a submission may wait for a leader."""
        if self._entry.is_cut_off():
            # Another entry can accept it.
            return 0.0
        if self._entry.is_leader_alive():
            # The leader cannot make a job durable.
            return NO_STORE_TIMEOUT_S
        return NO_LEADER_TIMEOUT_S

    async def _send_submission(self, submission: Submission, timeout: float) -> Reply:
        if self._entry.term is not None:
            return await self._await_reply(self.submit_locally(0, submission), timeout)
        assert self._entry.leader is not None
        id, future = self._pending_replies.open()
        self._transport.send(self._entry.leader.address, SubmitRequest(id, submission))
        reply = await self._await_reply(future, timeout)
        self._pending_replies.close(id)
        return reply

    async def query(self, job: str, cancel: bool, timeout: float) -> Reply:
        """Return a job's state, or cancel it.

        Without a leader the state is read from the store.
        """
        if self._entry.term is not None:
            reply = await self._await_reply(self.query_locally(0, job, cancel), timeout)
        elif self._entry.is_leader_alive():
            id, future = self._pending_replies.open()
            assert self._entry.leader is not None
            self._transport.send(
                self._entry.leader.address, JobRequest(id, job, cancel)
            )
            limit = timeout if cancel else min(timeout, QUERY_TIMEOUT_S)
            reply = await self._await_reply(future, limit)
            self._pending_replies.close(id)
        else:
            reply = Reply(0, "unknown", RETRY_AFTER_S)
        if cancel or reply.outcome not in ("unknown", "not leader"):
            return reply
        return await self._read_state(job)

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

    def count_waiting(self, queue: str) -> int | None:
        """Return the number of the queue's jobs that wait; None without a leader."""
        if self._entry.controller is not None and self._entry.controller.is_loaded:
            return self._entry.controller.engine.count_waiting().get(queue, 0)
        if self._entry.leader is None or not self._entry.is_leader_alive():
            return None
        return self._entry.leader.heartbeat.waiting.get(queue, 0)
