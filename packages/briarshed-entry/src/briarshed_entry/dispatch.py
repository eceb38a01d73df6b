"""The life of one job: attempts, probe, fence, retry."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from http import HTTPStatus
from typing import Literal, NamedTuple

from briarshed.events import CONNECTION_SILENT
from briarshed.exceptions import AnswerLostError, EndpointUnreachableError
from briarshed.settings import Settings

from briarshed_entry import clock
from briarshed_entry.endpoints import (
    Endpoints,
    NotAllowedError,
    Progress,
    Reply,
    TaskRequest,
    TaskState,
)
from briarshed_entry.logs import log_event

ATTEMPT_BYTES = 16
"""Random bytes of an attempt id; no two attempts of the fleet share one."""

MAX_REJECTIONS = 3
"""Attempts that may fail or be rejected before the job is answered with the reason."""

MAX_FETCHES = 3
"""Tries to fetch a kept answer; an endpoint may cut each of them short."""

REPEAT_S = 0.2
"""Seconds between control calls that fail at once."""

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
    """A job as its caller submitted it.

    Attributes
    ----------
    job_id : str
        The caller's id, or a generated one.
    queue : str
        Queue.
    team : str or None
        Team of the key; None for a job that came without a key to an open queue.
    key_id : str or None
        The key's id.
    idempotent, urgent : bool
        As the headers say.
    deadline : float
        Seconds of the clock.
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
    """What a caller is told; ``code`` is empty for a finished job."""

    status: int
    code: str
    message: str
    body: bytes = b""
    headers: Mapping[str, str] = {}


class Place(NamedTuple):
    """An endpoint that a job may be sent to now, with its address."""

    endpoint: str
    address: str


class Result(NamedTuple):
    """How one attempt ended."""

    kind: ResultKind
    reply: Reply | None = None


class Steps(NamedTuple):
    """What the scheduler provides for the life of one job.

    Attributes
    ----------
    acquire : callable
        Waits in the queue for a place; returns an outcome if the job is refused.
    release : callable
        Gives a place back with the attempt's id and result; keeps it counted while
        the task may still run.
    allow : callable
        The check made right before each start.
    retry : callable
        Takes a token of the retry budget; returns the delay in seconds, or None.
    """

    acquire: Callable[[frozenset[str]], Awaitable[Place | Outcome]]
    release: Callable[[Place, str, Result], None]
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
    job: Job, settings: Settings, endpoints: Endpoints, steps: Steps
) -> Outcome:
    """Run a job to its outcome."""
    tried: set[str] = set()
    rejections = 0
    started = False
    retries = 0
    while True:
        place = await steps.acquire(frozenset(tried))
        if isinstance(place, Outcome):
            return _explain_waiting(place, started)
        attempt = secrets.token_hex(ATTEMPT_BYTES)
        result = Result("abandoned")
        try:
            result = await run_attempt(
                job, attempt, place, settings, endpoints, steps.allow
            )
        finally:
            steps.release(place, attempt, result)
        started = started or result.kind not in NOT_STARTED
        if result.kind == "answered" and result.reply is not None:
            return _answer(result.reply)
        if result.kind in ("refused", "not-allowed"):
            continue
        tried.add(place.endpoint)
        rejections += result.kind in ("impossible", "failed")
        delay = None
        if may_retry(job, result, rejections):
            delay = steps.retry(retries)
        if delay is None or clock.now() + delay >= job.deadline:
            return _give_up(job, result, started)
        retries += 1
        await asyncio.sleep(delay)


def may_retry(job: Job, result: Result, rejections: int) -> bool:
    """Tell whether the job may be sent to another endpoint.

    Parameters
    ----------
    job : Job
        The job.
    result : Result
        How its last attempt ended.
    rejections : int
        Attempts that failed or were rejected as impossible so far. Each was made at
        another endpoint as long as the pool has one.
    """
    if result.kind == "too-large":
        return False
    if result.kind not in NOT_STARTED and not job.idempotent:
        return False
    return rejections < MAX_REJECTIONS and clock.now() < job.deadline


async def run_attempt(
    job: Job,
    attempt: str,
    place: Place,
    settings: Settings,
    endpoints: Endpoints,
    allow: Callable[[], bool],
) -> Result:
    """Send one attempt and follow it until its result is known or lost."""
    remaining_ms = (job.deadline - clock.now()) * 1000 + settings.timing.margin_ms
    lease_ms = min(settings.timing.task_lease_ms, max(1, round(remaining_ms)))
    request = TaskRequest(
        attempt,
        job.job_id,
        job.team,
        job.key_id,
        job.queue,
        job.idempotent,
        lease_ms,
        job.body,
    )
    progress = Progress()
    sending = asyncio.ensure_future(
        endpoints.start_task(place.address, request, progress, allow)
    )
    try:
        return await _follow(
            job, request, place, settings, endpoints, progress, sending
        )
    finally:
        sending.cancel()
        with suppress(asyncio.CancelledError, Exception):
            await sending


async def _follow(
    job: Job,
    request: TaskRequest,
    place: Place,
    settings: Settings,
    endpoints: Endpoints,
    progress: Progress,
    sending: asyncio.Future[Reply],
) -> Result:
    probe_after = settings.endpoints.probe_after_ms / 1000
    timeout = settings.endpoints.probe_timeout_ms / 1000
    margin = settings.timing.margin_ms / 1000
    probed_at = progress.last_byte_at
    fetches_left = MAX_FETCHES

    async def fetch(limit: float) -> Result:
        reply = await endpoints.fetch_answer(
            place.address, request.attempt, progress, limit
        )
        return _read_reply(reply)

    while True:
        if (result := _read_sending(sending)) is not None:
            return result
        now = clock.now()
        if now >= job.deadline:
            return await _end_at_deadline(
                request, place, endpoints, progress, sending, fetch, margin
            )
        quiet_until = max(progress.last_byte_at, probed_at) + probe_after
        if not sending.done() and (not progress.written or now < quiet_until):
            until = quiet_until if progress.written else now + probe_after
            await asyncio.wait({sending}, timeout=min(until, job.deadline) - now)
            continue
        if not sending.done():
            log_event(CONNECTION_SILENT, address=place.address, attempt=request.attempt)
        probed_at = now
        patient = not (sending.done() and job.idempotent)
        probing = asyncio.ensure_future(
            _probe(endpoints, place, request.attempt, timeout, patient)
        )
        try:
            pending = {probing} if sending.done() else {probing, sending}
            await asyncio.wait(
                pending,
                timeout=job.deadline - now,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not probing.done():
                continue
            state = probing.result()
        finally:
            probing.cancel()
        if state is None:
            if progress.last_byte_at > now and not sending.done():
                continue
            return _read_sending(sending) or Result("lost")
        if state == "stopped":
            return _read_sending(sending) or Result("stopped")
        if state == "finished":
            try:
                return await fetch(timeout)
            except AnswerLostError:
                fetches_left -= 1
                if fetches_left == 0:
                    return _read_sending(sending) or Result("lost")
        if state == "never":
            try:
                fenced = await endpoints.fence(place.address, request.attempt, timeout)
            except AnswerLostError:
                return _read_sending(sending) or Result("lost")
            if fenced != "finished":
                return _read_sending(sending) or Result(fenced)
        if state == "running" and sending.done():
            await asyncio.sleep(max(0.0, min(probe_after, job.deadline - now)))


async def _end_at_deadline(
    request: TaskRequest,
    place: Place,
    endpoints: Endpoints,
    progress: Progress,
    sending: asyncio.Future[Reply],
    fetch: Callable[[float], Awaitable[Result]],
    margin: float,
) -> Result:
    if not progress.written:
        sending.cancel()
        await asyncio.wait({sending})
        return _read_sending(sending) or Result("unreachable")
    try:
        state = await endpoints.fence(place.address, request.attempt, margin)
        if state == "finished":
            return _read_sending(sending) or await fetch(margin)
        return _read_sending(sending) or Result(state)
    except AnswerLostError:
        return _read_sending(sending) or Result("lost")


async def _probe(
    endpoints: Endpoints, place: Place, attempt: str, timeout: float, patient: bool
) -> TaskState | None:
    """Return the attempt's state, or None if no answer came within the timeout.

    A call that fails at once is repeated unless the job can go elsewhere.
    """
    end = clock.now() + timeout
    while (left := end - clock.now()) > 0:
        try:
            return await endpoints.find_state(place.address, attempt, left)
        except AnswerLostError:
            if not patient:
                return None
        await asyncio.sleep(REPEAT_S)
    return None


def _read_sending(sending: asyncio.Future[Reply]) -> Result | None:
    """Return the result of the exchange, or None while it is open or was lost."""
    if not sending.done() or sending.cancelled():
        return None
    match sending.exception():
        case None:
            return _read_reply(sending.result())
        case NotAllowedError():
            return Result("not-allowed")
        case EndpointUnreachableError():
            return Result("unreachable")
        case AnswerLostError():
            return None
        case error:
            raise error


def _read_reply(reply: Reply) -> Result:
    return Result(reply.kind, reply)


def _answer(reply: Reply) -> Outcome:
    headers = {"Content-Type": reply.content_type}
    return Outcome(int(HTTPStatus.OK), "", "", reply.body, headers)


def _explain_waiting(outcome: Outcome, started: bool) -> Outcome:
    """Return the refusal of a queued job; unknown if an earlier attempt started."""
    if not started:
        return outcome
    message = f"an attempt may have run; not retried: {outcome.message}"
    return refuse(HTTPStatus.BAD_GATEWAY, outcome.code, message)


def _give_up(job: Job, result: Result, started: bool) -> Outcome:
    late = clock.now() >= job.deadline
    if started:
        status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
        if result.kind in _UNKNOWN:
            return refuse(status, *_UNKNOWN[result.kind])
        return refuse(status, "deadline" if late else "not-retried", _MAY_HAVE_RUN)
    if result.kind == "impossible":
        message = "the endpoints that were asked cannot run this job"
        return refuse(HTTPStatus.SERVICE_UNAVAILABLE, "impossible", message)
    if late:
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


_MAY_HAVE_RUN = "an attempt may have run and cannot be repeated"
_UNKNOWN: dict[ResultKind, tuple[str, str]] = {
    "failed": ("endpoint-failed", "the endpoint started the job and failed"),
    "stopped": ("stopped", "the endpoint started the job and stopped it"),
    "lost": ("answer-lost", "the endpoint stopped answering; the job may have run"),
    "too-large": ("answer-too-large", "the job ran; its answer exceeds the limit"),
}
