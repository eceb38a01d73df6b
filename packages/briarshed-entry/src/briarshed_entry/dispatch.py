"""Run of a single job: attempts, probes, fences and retries."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from http import HTTPStatus
from typing import Literal, NamedTuple

from briarshed.events import CONNECTION_SILENT
from briarshed.exceptions import EndpointUnreachableError, ResponseLostError
from briarshed.settings import Settings
from briarshed_entry import clock
from briarshed_entry.endpoints import (
    Endpoints,
    FenceState,
    NotAllowedError,
    Progress,
    Reply,
    TaskRequest,
    TaskState,
)
from briarshed_entry.logs import log_event

ATTEMPT_BYTES = 16
"""Random bytes of an attempt id, which is unique in the fleet."""

MAX_REJECTIONS = 3
"""Attempts that may fail or be rejected before the job fails."""

MAX_FETCH_ATTEMPTS = 3
"""Attempts to fetch a stored response; each may be truncated by the endpoint."""

CONTROL_RETRY_INTERVAL_S = 0.2
"""Time between retries of control calls that fail immediately."""

ResultKind = Literal[
    "answered",
    "refused",
    "impossible",
    "unreachable",
    "not-allowed",
    "never",
    "failed",
    "stopped",
    "too-large",
    "lost",
    "abandoned",
]

NOT_STARTED: frozenset[ResultKind] = frozenset(
    {"refused", "impossible", "unreachable", "not-allowed", "never"}
)
"""Results after which no endpoint can have started the attempt."""


class Job(NamedTuple):
    """A job as submitted by a caller.

    Attributes
    ----------
    job_id : str
        The caller's id, or a generated one.
    queue : str
        Queue.
    team : str or None
        Team of the key; None for a job submitted to an open queue without a key.
    key_id : str or None
        The key's id.
    idempotent, urgent : bool
        Values of the headers.
    deadline : float
        Deadline on the clock of ``clock.now``, in seconds.
    body : bytes
        Opaque body.
    """

    job_id: str
    queue: str
    team: str | None
    key_id: str | None
    idempotent: bool
    urgent: bool
    deadline: float
    body: bytes


class Outcome(NamedTuple):
    """Response to the caller; ``code`` is empty for a finished job."""

    status: int
    code: str
    message: str
    body: bytes = b""
    headers: Mapping[str, str] = {}


class Assignment(NamedTuple):
    """The endpoint to which a job is to be sent now."""

    endpoint: str
    address: str


class Result(NamedTuple):
    """Result of an attempt; ``reused`` is true if its connection was reused."""

    kind: ResultKind
    reply: Reply | None = None
    reused: bool = False


class SchedulerHooks(NamedTuple):
    """Functions of the scheduler that the run of a job calls.

    Attributes
    ----------
    acquire : callable
        Waits in the queue for an endpoint; returns an outcome if the job is refused.
    release : callable
        Releases the endpoint with the attempt's id and result; the attempt stays
        counted while the task may still run.
    allow : callable
        Returns whether the attempt may start; called just before each start.
    retry : callable
        Takes a token of the retry budget; returns the delay in seconds, or None.
    """

    acquire: Callable[[frozenset[str]], Awaitable[Assignment | Outcome]]
    release: Callable[[Assignment, str, Result], None]
    allow: Callable[[], bool]
    retry: Callable[[int], float | None]


def refuse(
    status: HTTPStatus, code: str, message: str, retry_after: float | None = None
) -> Outcome:
    """Return a refusal; ``retry_after`` is in seconds."""
    headers = {}
    if retry_after is not None:
        headers["Retry-After"] = str(max(1, round(retry_after)))
    return Outcome(int(status), code, message, b"", headers)


async def run_job(
    job: Job, settings: Settings, endpoints: Endpoints, hooks: SchedulerHooks
) -> Outcome:
    """Run a job to its outcome."""
    tried: set[str] = set()
    rejections = 0
    started = False
    retries = 0
    while True:
        assignment = await hooks.acquire(frozenset(tried))
        if isinstance(assignment, Outcome):
            return _refuse_while_queued(
                assignment, started, clock.now() >= job.deadline
            )
        attempt = secrets.token_hex(ATTEMPT_BYTES)
        result = Result("abandoned")
        progress = Progress()
        try:
            result = await run_attempt(
                job, attempt, assignment, settings, endpoints, hooks.allow, progress
            )
        except asyncio.CancelledError:
            if not progress.written:
                result = Result("not-allowed")
            raise
        finally:
            result = result._replace(reused=progress.reused)
            hooks.release(assignment, attempt, result)
        started = started or result.kind not in NOT_STARTED
        if result.kind == "answered" and result.reply is not None:
            return _make_outcome(result.reply)
        if result.kind in ("refused", "not-allowed"):
            continue
        tried.add(assignment.endpoint)
        rejections += result.kind in ("impossible", "failed")
        delay = None
        if may_retry(job, result, rejections):
            delay = hooks.retry(retries)
        is_late = clock.now() + (delay or 0.0) >= job.deadline
        if delay is None or is_late:
            return _refuse_after_attempt(result, started, is_late)
        retries += 1
        await asyncio.sleep(delay)


def may_retry(job: Job, result: Result, rejections: int) -> bool:
    """Return whether the job may be sent to another endpoint.

    Parameters
    ----------
    job : Job
        The job.
    result : Result
        Result of its last attempt.
    rejections : int
        Attempts so far that failed or were rejected as impossible. Each was sent to
        a different endpoint while the pool had one.
    """
    if result.kind == "too-large":
        return False
    if result.kind not in NOT_STARTED and not job.idempotent:
        return False
    return rejections < MAX_REJECTIONS and clock.now() < job.deadline


def find_lease_ms(job: Job, settings: Settings, now: float) -> int:
    """Return the lease, in milliseconds, of a task that is sent now.

    It expires shortly after the job's deadline, at which the entry fences the task.
    """
    left_ms = round((job.deadline - now) * 1000) + settings.timing.margin_ms
    return min(settings.timing.task_lease_ms, max(1, left_ms))


async def run_attempt(
    job: Job,
    attempt: str,
    assignment: Assignment,
    settings: Settings,
    endpoints: Endpoints,
    allow: Callable[[], bool],
    progress: Progress,
) -> Result:
    """Send an attempt and track it until its result is known or lost."""
    request = TaskRequest(
        attempt,
        job.job_id,
        job.team,
        job.key_id,
        job.queue,
        job.idempotent,
        find_lease_ms(job, settings, clock.now()),
        job.body,
    )
    exchange = asyncio.ensure_future(
        endpoints.start_task(assignment.address, request, progress, allow)
    )
    tracker = _AttemptTracker(
        job, attempt, assignment, settings, endpoints, progress, exchange
    )
    try:
        return await tracker.track()
    finally:
        exchange.cancel()
        with suppress(asyncio.CancelledError, Exception):
            await exchange


class _AttemptTracker:
    """Tracks an attempt that was sent until its result is known."""

    def __init__(
        self,
        job: Job,
        attempt: str,
        assignment: Assignment,
        settings: Settings,
        endpoints: Endpoints,
        progress: Progress,
        exchange: asyncio.Future[Reply],
    ) -> None:
        self._job = job
        self._attempt = attempt
        self._address = assignment.address
        self._endpoints = endpoints
        self._progress = progress
        self._exchange = exchange
        self._probe_after = settings.endpoints.probe_after_ms / 1000
        self._probe_timeout = settings.endpoints.probe_timeout_ms / 1000
        self._margin = settings.timing.margin_ms / 1000
        self._probed_at = progress.last_byte_at
        self._fetches_left = MAX_FETCH_ATTEMPTS

    async def track(self) -> Result:
        """Wait for the response, and probe the endpoint while none arrives."""
        while True:
            if (result := _read_exchange(self._exchange)) is not None:
                return result
            now = clock.now()
            if now >= self._job.deadline:
                return await self._end_at_deadline()
            if (due := self._find_probe_time(now)) > now:
                due = min(due, self._job.deadline)
                await self._wait_for_response(due - now)
            elif (result := await self._probe(now)) is not None:
                # The response may have arrived during the probe.
                return _read_exchange(self._exchange) or result

    def _find_probe_time(self, now: float) -> float:
        if self._exchange.done():
            return self._probed_at
        if not self._progress.written:
            return now + self._probe_after
        return max(self._progress.last_byte_at, self._probed_at) + self._probe_after

    async def _wait_for_response(self, timeout: float) -> None:
        if self._exchange.done():
            await asyncio.sleep(timeout)
        else:
            await asyncio.wait({self._exchange}, timeout=timeout)

    async def _probe(self, now: float) -> Result | None:
        """Return the attempt's result, or None if it is still pending."""
        self._probed_at = now
        state = await self._find_state(now)
        is_open = not self._exchange.done()
        if is_open and self._progress.last_byte_at > now:
            # The response has begun to arrive.
            return None
        if state == "running":
            # Without a connection, only the next probe can show the end of the task.
            self._probed_at = now if is_open else clock.now() + self._probe_after
            return None
        if state == "unasked":
            return None
        if is_open:
            log_event(CONNECTION_SILENT, address=self._address, attempt=self._attempt)
        if state == "never":
            state = await self._fence(self._probe_timeout)
        if state == "finished":
            return await self._fetch(self._probe_timeout)
        return Result("lost" if state is None else state)

    async def _find_state(self, now: float) -> TaskState | Literal["unasked"] | None:
        """Return the attempt's state, or None if the endpoint did not respond.

        The state is ``unasked`` if the attempt's response or the deadline came first.
        """
        probing = asyncio.ensure_future(self._query_state(now + self._probe_timeout))
        awaited: set[asyncio.Future[object]] = {probing}
        if not self._exchange.done():
            awaited.add(self._exchange)
        try:
            await asyncio.wait(
                awaited,
                timeout=self._job.deadline - now,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return probing.result() if probing.done() else "unasked"
        finally:
            probing.cancel()

    async def _query_state(self, end: float) -> TaskState | None:
        # A call that fails immediately is retried unless the job can be sent to
        # another endpoint.
        retries_errors = not (self._exchange.done() and self._job.idempotent)
        while (left := end - clock.now()) > 0:
            with suppress(ResponseLostError):
                return await self._endpoints.find_state(
                    self._address, self._attempt, left
                )
            if not retries_errors:
                return None
            await asyncio.sleep(CONTROL_RETRY_INTERVAL_S)
        return None

    async def _fence(self, timeout: float) -> FenceState | None:
        with suppress(ResponseLostError):
            return await self._endpoints.fence(self._address, self._attempt, timeout)
        return None

    async def _fetch(self, timeout: float) -> Result | None:
        with suppress(ResponseLostError):
            reply = await self._endpoints.fetch_response(
                self._address, self._attempt, self._progress, timeout
            )
            return _read_reply(reply)
        self._fetches_left -= 1
        return None if self._fetches_left else Result("lost")

    async def _end_at_deadline(self) -> Result:
        if not self._progress.written:
            self._exchange.cancel()
            await asyncio.wait({self._exchange})
            return _read_exchange(self._exchange) or Result("unreachable")
        state = await self._fence(self._margin)
        result = Result("lost" if state in (None, "finished") else state)
        if state == "finished" and _read_exchange(self._exchange) is None:
            result = await self._fetch(self._margin) or result
        return _read_exchange(self._exchange) or result


def _read_exchange(exchange: asyncio.Future[Reply]) -> Result | None:
    """Return the result of the exchange; None if it is open or its response is lost."""
    if not exchange.done() or exchange.cancelled():
        return None
    match exchange.exception():
        case None:
            return _read_reply(exchange.result())
        case NotAllowedError():
            return Result("not-allowed")
        case EndpointUnreachableError():
            return Result("unreachable")
        case ResponseLostError():
            return None
        case error:
            raise error


def _read_reply(reply: Reply) -> Result:
    return Result(reply.kind, reply)


def _make_outcome(reply: Reply) -> Outcome:
    headers = {"Content-Type": reply.content_type}
    return Outcome(int(HTTPStatus.OK), "", "", reply.body, headers)


def _refuse_while_queued(outcome: Outcome, started: bool, is_late: bool) -> Outcome:
    """Return the refusal of a queued job.

    Its outcome is unknown if an earlier attempt may have started.
    """
    if not started:
        return outcome
    message = f"an attempt may have run; not retried: {outcome.message}"
    return refuse(_find_unknown_status(is_late), outcome.code, message)


def _find_unknown_status(is_late: bool) -> HTTPStatus:
    return HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY


def _refuse_after_attempt(result: Result, started: bool, is_late: bool) -> Outcome:
    if started:
        code, message = _UNKNOWN.get(result.kind, _NOT_RETRIED)
        return refuse(_find_unknown_status(is_late), code, message)
    if result.kind == "impossible":
        message = "the endpoints that were asked cannot run this job"
        return refuse(HTTPStatus.SERVICE_UNAVAILABLE, "impossible", message)
    if is_late:
        return refuse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "no-endpoint-in-time",
            "no endpoint started the job before its deadline",
        )
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "endpoints-failing",
        "no endpoint started the job, and the retry budget of its pool is used up",
    )


_NOT_RETRIED = ("not-retried", "an attempt may have run; no other one could start")
_UNKNOWN: dict[ResultKind, tuple[str, str]] = {
    "failed": ("endpoint-failed", "the endpoint started the job and failed"),
    "stopped": ("stopped", "the endpoint started the job and stopped it"),
    "lost": ("answer-lost", "the endpoint stopped answering; the job may have run"),
    "too-large": ("answer-too-large", "the job ran; its answer exceeds the limit"),
}
