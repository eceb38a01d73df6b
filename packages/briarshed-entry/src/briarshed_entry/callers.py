"""HTTP server for callers, who submit jobs."""

from __future__ import annotations

import asyncio
import re
import secrets
import ssl
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from types import TracebackType
from typing import Any, Self

import msgspec
from aiohttp import StreamReader, web

from briarshed.events import CALLER_LEFT, JOB_REFUSED, JOB_UNKNOWN, LOOP_FAILED
from briarshed.exceptions import BodyTooLargeError, BriarshedError, NoRoomError
from briarshed.keys import KeyOwner, find_key
from briarshed.settings import Settings
from briarshed_entry import clock
from briarshed_entry.bounded_protocol import BoundedConnection
from briarshed_entry.connections import Door
from briarshed_entry.dispatch import Job, Outcome, refuse
from briarshed_entry.logs import log_event
from briarshed_entry.request_bodies import check_body, defer_continue, invite_body
from briarshed_entry.tls import TlsHandshake

JOB_ID_BYTES = 12
JOB_ID_PATTERN = re.compile(r"[!-~]{1,128}")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")
EOF_GRACE_S = 0.05
"""Time for which a connection without a request stays open after its caller's EOF."""

UNKNOWN_STATUSES = (HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT)

_HEADERS = (
    "Authorization",
    "Briarshed-Idempotent",
    "Briarshed-Deadline-Ms",
    "Briarshed-Urgent",
    "Briarshed-Job-Id",
)


class RefusedError(BriarshedError):
    """The request was refused before it became a job."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.message)
        self.outcome = outcome


def make_application(
    settings: Settings, replica: Any, coordinator: Any, scheduler: Any
) -> web.Application:
    """Return the application for callers; serve it with ``CallerServer``."""

    async def submit(request: web.Request) -> web.Response:
        job_id = "j-" + secrets.token_hex(JOB_ID_BYTES)
        try:
            job_id = _read_job_id(request) or job_id
            job = await _read_job(
                request, job_id, settings, replica, coordinator, scheduler
            )
            outcome = await scheduler.run(job)
        except RefusedError as error:
            outcome = error.outcome
        except asyncio.CancelledError:
            log_event(CALLER_LEFT, job_id=job_id)
            raise
        except Exception as error:
            log_event(LOOP_FAILED, task=f"job {job_id}", error=repr(error))
            outcome = _report_internal_error()
        finally:
            if isinstance(request.protocol, _CallerConnection):
                request.protocol.is_running = False
        response = _make_response(outcome, job_id)
        if not request.content.is_eof():
            # The rest of the body must not be parsed as the next request.
            response.force_close()
        return response

    async def report_health(request: web.Request) -> web.Response:
        return web.json_response({"state": "live"})

    async def report_readiness(request: web.Request) -> web.Response:
        reason = "stopping" if scheduler.stopping else coordinator.find_readiness()
        if reason:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return web.json_response(
                {"state": "not ready", "reason": reason}, status=status
            )
        return web.json_response({"state": "ready"})

    application = web.Application(
        middlewares=[_refuse_in_json], client_max_size=settings.callers.max_body_bytes
    )
    application.router.add_post(
        "/queues/{queue}/jobs", submit, expect_handler=defer_continue
    )
    application.router.add_get("/healthz", report_health)
    application.router.add_get("/readyz", report_readiness)
    return application


class CallerServer:
    """Server for callers; an asynchronous context manager.

    Attributes
    ----------
    address : str
        Address on which it listens, with the actual port if port 0 was given.
    """

    def __init__(
        self, settings: Settings, application: web.Application, door: Door
    ) -> None:
        self._door = door
        self.address = settings.callers.address
        self._tls = settings.callers.tls
        # A handler is cancelled when its caller disconnects.
        self._runner = web.AppRunner(application, handler_cancellation=True)
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        host = host.strip("[]")
        self._server = await asyncio.get_running_loop().create_server(
            self._choose_factory(), host, int(port), backlog=self._door.backlog
        )
        bound = self._server.sockets[0].getsockname()[1]
        self.address = f"[{host}]:{bound}" if ":" in host else f"{host}:{bound}"
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self._door.connections):
            if connection.phase == "handshake":
                connection.abort("stopping")
        await self._runner.cleanup()

    def _choose_factory(self) -> Callable[[], asyncio.Protocol]:
        if self._tls is None:
            return self._make_protocol
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(self._tls.certificate, self._tls.key)
        return lambda: TlsHandshake(context, self._door, self._make_protocol)

    def _make_protocol(self) -> _CallerConnection:
        assert self._runner.server is not None
        # Bodies are opaque, so they are not decompressed.
        return _CallerConnection(
            self._runner.server,
            self._door,
            loop=asyncio.get_running_loop(),
            auto_decompress=False,
        )


class _CallerConnection(BoundedConnection):
    """Connection of a caller.

    A caller that closes its sending side within a body gets a 400 response; after the
    body, this means that it disconnected.

    Attributes
    ----------
    body : StreamReader or None
        The body that is being read.
    is_running : bool
        Whether a complete request is being handled.
    has_ended : bool
        Whether the caller has closed its sending side.
    is_cut : bool
        Whether it did so before the end of a body.
    """

    def __init__(self, manager: web.Server, door: Door, **options: Any) -> None:
        super().__init__(manager, door, **options)
        self.body: StreamReader | None = None
        self.is_running = False
        self.has_ended = False
        self.is_truncated = False

    def eof_received(self) -> bool:
        """Return whether the connection stays open for a response."""
        self.has_ended = True
        if self.is_running:
            return False
        if self.body is not None:
            self.end_truncated_body(self.body)
            return True
        # The handler of a request that arrived with the EOF has not started yet.
        asyncio.get_running_loop().call_later(EOF_GRACE_S, self._close_if_idle)
        return True

    def end_truncated_body(self, body: StreamReader) -> None:
        """Mark a body as truncated and end it, since no more data will arrive."""
        if not body.is_eof():
            self.is_truncated = True
            body.feed_eof()

    def _close_if_idle(self) -> None:
        if self.body is None and self.transport is not None:
            self.transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a JSON response for invalid HTTP or an internal error."""
        if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            text = (message or "the request is not valid HTTP").splitlines()[0]
            outcome = refuse(HTTPStatus(status), "bad-request", text)
        else:
            log_event(LOOP_FAILED, task="callers", error=repr(exc))
            outcome = _report_internal_error()
        response = _make_response(outcome, "")
        response.force_close()
        return response


async def _read_job(
    request: web.Request,
    job_id: str,
    settings: Settings,
    replica: Any,
    coordinator: Any,
    scheduler: Any,
) -> Job:
    arrived = clock.now()
    _check_repeated(request)
    idempotent = _read_flag(request, "Briarshed-Idempotent")
    urgent = _read_flag(request, "Briarshed-Urgent")
    deadline_ms = _read_deadline(request, settings)
    owner = _find_owner(request, replica, coordinator)
    # These checks refuse a job before its body uses bandwidth and memory.
    declared = request.content_length or 0
    if declared > settings.callers.max_body_bytes:
        raise _make_too_large(settings.callers.max_body_bytes)
    name = request.match_info["queue"]
    refusal = scheduler.check_early(name, declared)
    if refusal is not None:
        raise RefusedError(refusal)
    body = await _read_body(request, settings)
    return Job(
        job_id,
        name,
        owner.team if owner else None,
        owner.key_id if owner else None,
        idempotent,
        urgent,
        arrived + deadline_ms / 1000,
        body,
    )


def _find_owner(
    request: web.Request, replica: Any, coordinator: Any
) -> KeyOwner | None:
    """Return the owner of the key; None for an open queue without a key."""
    name = request.match_info["queue"]
    queue = replica.configuration["queues"].get(name)
    text = request.headers.get("Authorization")
    if queue is not None and queue["open"] and text is None:
        return None
    # An unknown key or queue may be new: only a current configuration shows that it
    # does not exist.
    if not coordinator.find_authority().granted:
        raise _make_refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "configuration-not-fresh",
            "this entry cannot confirm that its configuration is current",
        )
    if queue is None:
        raise _make_refusal(
            HTTPStatus.NOT_FOUND, "no-such-queue", f"there is no queue {name[:80]!r}"
        )
    if text is None:
        raise _make_refusal(
            HTTPStatus.UNAUTHORIZED, "key-missing", "header 'Authorization' is missing"
        )
    scheme, _, key = text.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise _make_refusal(
            HTTPStatus.UNAUTHORIZED,
            "key-missing",
            "header 'Authorization' must be 'Bearer KEY'",
        )
    owner = find_key(replica.configuration, key.strip(), time.time())
    if owner is None:
        raise _make_refusal(
            HTTPStatus.UNAUTHORIZED, "key-not-valid", "the key is not valid"
        )
    if queue["teams"] and owner.team not in queue["teams"]:
        raise _make_refusal(
            HTTPStatus.FORBIDDEN,
            "team-not-allowed",
            f"team {owner.team} may not use queue {name}",
        )
    return owner


def _check_repeated(request: web.Request) -> None:
    for name in _HEADERS:
        if len(request.headers.getall(name, ())) > 1:
            raise _make_bad_header(name, "is given more than once")


def _read_job_id(request: web.Request) -> str | None:
    text = request.headers.get("Briarshed-Job-Id")
    if text is not None and not JOB_ID_PATTERN.fullmatch(text):
        raise _make_bad_header(
            "Briarshed-Job-Id", "must be 1 to 128 visible ASCII characters"
        )
    return text


def _read_flag(request: web.Request, name: str) -> bool:
    text = request.headers.get(name, "false")
    if text not in ("true", "false"):
        raise _make_bad_header(name, f"must be 'true' or 'false', not {text[:40]!r}")
    return text == "true"


def _read_deadline(request: web.Request, settings: Settings) -> int:
    name = "Briarshed-Deadline-Ms"
    text = request.headers.get(name)
    if text is None:
        return settings.callers.default_deadline_ms
    highest = settings.callers.max_deadline_ms
    if not DEADLINE_PATTERN.fullmatch(text) or not 0 < int(text) <= highest:
        raise _make_bad_header(
            name, f"must be a whole number from 1 to {highest}, not {text[:40]!r}"
        )
    return int(text)


async def _read_body(request: web.Request, settings: Settings) -> bytes:
    limit = settings.callers.max_body_bytes
    declared = request.content_length
    body = bytearray()
    connection = request.protocol
    assert isinstance(connection, _CallerConnection)
    try:
        connection.body = request.content
        if connection.has_ended:
            connection.end_truncated_body(request.content)
        if request.content.is_eof():
            # A short body has arrived with its headers; a timer would cost more.
            body += request.content.read_nowait()
            check_body(request, body, len(body), limit)
        else:
            invite_body(request)
            async with asyncio.timeout(settings.callers.body_timeout_ms / 1000):
                async for part in request.content.iter_any():
                    body += part
                    check_body(request, part, len(body), limit)
    except BodyTooLargeError as error:
        raise _make_too_large(limit) from error
    except NoRoomError as error:
        raise _make_refusal(
            HTTPStatus.SERVICE_UNAVAILABLE, "overloaded", str(error)
        ) from error
    except TimeoutError as error:
        raise _make_refusal(
            HTTPStatus.REQUEST_TIMEOUT,
            "slow-sender",
            f"the body did not arrive within {settings.callers.body_timeout_ms} ms",
        ) from error
    except (web.RequestPayloadError, ConnectionError) as error:
        raise _make_truncated(len(body), declared) from error
    finally:
        connection.body = None
        connection.is_running = True
    if connection.is_truncated:
        raise _make_truncated(len(body), declared)
    if connection.has_ended and request.transport is not None:
        # The caller disconnected after its request; closing cancels this handler.
        request.transport.close()
        await asyncio.sleep(EOF_GRACE_S)
    return bytes(body)


def _make_truncated(size: int, declared: int | None) -> RefusedError:
    expected = f"{declared} were declared" if declared else "its end is missing"
    return _make_refusal(
        HTTPStatus.BAD_REQUEST, "short-body", f"the body has {size} bytes; {expected}"
    )


def _make_too_large(limit: int) -> RefusedError:
    return _make_refusal(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        "body-too-large",
        f"the body exceeds {limit} bytes",
    )


def _make_bad_header(name: str, problem: str) -> RefusedError:
    return _make_refusal(
        HTTPStatus.BAD_REQUEST, "bad-header", f"header '{name}' {problem}"
    )


def _make_refusal(status: HTTPStatus, code: str, message: str) -> RefusedError:
    return RefusedError(refuse(status, code, message))


def _report_internal_error() -> Outcome:
    message = "an internal error occurred; the job may have run"
    return refuse(HTTPStatus.BAD_GATEWAY, "internal-error", message)


def _make_response(outcome: Outcome, job_id: str) -> web.Response:
    headers = {**outcome.headers, "Briarshed-Job-Id": job_id}
    if outcome.status == HTTPStatus.UNAUTHORIZED:
        headers["WWW-Authenticate"] = "Bearer"
    if outcome.status == HTTPStatus.OK:
        return web.Response(body=outcome.body, headers=headers)
    unknown = outcome.status in UNKNOWN_STATUSES
    log_event(JOB_UNKNOWN if unknown else JOB_REFUSED, job_id=job_id, code=outcome.code)
    content = {
        "outcome": "unknown" if unknown else "not run",
        "code": outcome.code,
        "message": outcome.message,
        "job_id": job_id,
    }
    return web.Response(
        status=outcome.status,
        body=msgspec.json.encode(content),
        headers={**headers, "Content-Type": "application/json"},
    )


@web.middleware
async def _refuse_in_json(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Return errors of the router as JSON, too."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        if error.status < HTTPStatus.BAD_REQUEST:
            raise
        code = error.reason.lower().replace(" ", "-")
        response = _make_response(
            refuse(HTTPStatus(error.status), code, error.reason), ""
        )
        if "Allow" in error.headers:
            response.headers["Allow"] = error.headers["Allow"]
        return response
