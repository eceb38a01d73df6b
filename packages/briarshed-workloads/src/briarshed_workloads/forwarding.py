"""Callers' submissions and questions, carried to the leader wherever it is."""

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
"""How long an entry waits for the leader's answer to a question of a caller."""

ATTEMPT_TIMEOUT_S = 0.7
"""Longest wait for one answer to a submission; a leader answers within 0.1 s."""

RESEND_PAUSE_S = 0.1

NO_LEADER_TIMEOUT_S = 2.0
"""How long a submission waits while the leader changes, before it is refused; most of
the time that a change takes after the leader has fallen silent."""

NO_STORE_TIMEOUT_S = 0.3
"""How long it waits for a leader that cannot write, whose view is one beacon old."""

RETRY_AFTER_S = 1.0
"""Told to callers while there is no leader: a change takes between 1 s and 3 s."""


class Forwarder:
    """Hands submissions and questions to the leader and waits for its answers.

    Parameters
    ----------
    entry : Entry
        Knows who leads and whether it is this process.
    store : Store
        Where the state of a job is read while there is no leader.
    links : Links
        Messages to the leader.
    calls : Calls
        Answers that are waited for.
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
        """Hand a job to the conductor of this process, if it leads."""
        if self._entry.controller is None:
            return Reply(id, "not leader", RETRY_AFTER_S)
        verdict = await self._entry.controller.submit(submission)
        return Reply(id, verdict.outcome, verdict.retry_after)

    async def query_locally(self, id: int, job: str, cancel: bool) -> Reply:
        """Ask the conductor of this process for a job, if it leads."""
        if self._entry.controller is None:
            return Reply(id, "not leader", RETRY_AFTER_S)
        if cancel:
            return Reply(id, await self._entry.controller.cancel(job))
        return Reply(id, self._entry.controller.find_state(job))

    async def submit(self, submission: Submission, timeout: float) -> Reply:
        """Hand a job to the leader and return its answer.

        A job is handed in again where the leader fell silent or changed: it stays one
        job. The outcome is ``refused`` only if it certainly never runs, ``unknown`` if
        it was handed in and no answer came within ``timeout`` seconds.
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
        """Return the seconds that a submission may wait if no leader takes it now."""
        if self._entry.is_cut_off():
            # Another entry can serve it.
            return 0.0
        if self._entry.is_leader_alive():
            # It cannot make a job durable.
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
        """Ask for a job's state, or cancel it.

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

    async def _await_reply(self, answer: object, timeout: float) -> Reply:
        try:
            async with asyncio.timeout(timeout):
                return await answer  # type: ignore[misc]
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
        """Return the queue's jobs that have not started; None without a leader."""
        if self._entry.controller is not None and self._entry.controller.is_loaded:
            return self._entry.controller.engine.count_waiting().get(queue, 0)
        if self._entry.leader is None or not self._entry.is_leader_alive():
            return None
        return self._entry.leader.heartbeat.waiting.get(queue, 0)
