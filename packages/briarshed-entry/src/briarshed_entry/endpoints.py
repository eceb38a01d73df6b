"""HTTP client of the endpoints; the only module that knows their protocol.

Attempts use persistent connections, since a new connection for each attempt costs
throughput. A late or repeated response to an earlier attempt is recognised by its
attempt id. A refusal has no attempt id, so on a reused connection it may belong to an
earlier attempt. It counts only after the endpoint has confirmed over a new connection
that this attempt never started. If the endpoint closes a persistent connection while an
attempt is written, or the connection goes silent, the outcome is unknown until a probe
and a fence over a new connection have determined it.
"""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from contextlib import suppress
from types import SimpleNamespace, TracebackType
from typing import Any, Literal, NamedTuple, Self

import aiohttp
import msgspec

from briarshed.decoding import DECODING_ERRORS
from briarshed.events import ANSWER_DROPPED
from briarshed.exceptions import EndpointUnreachableError, ResponseLostError
from briarshed.settings import Settings
from briarshed_entry import clock
from briarshed_entry.logs import log_event

KEEPALIVE_S = 15.0
"""Keep-alive time of idle connections.

It is below the usual 60 s of servers, so that an endpoint rarely closes a connection
while an attempt is written to it.
"""

MAX_CONTROL_BYTES = 65_536
"""Maximum size of a control response."""

MAX_CODE_LENGTH = 64
"""Length at which text from an endpoint is cut off in messages."""

TaskState = Literal["running", "finished", "stopped", "never"]
FenceState = Literal["never", "stopped", "finished"]
ReplyKind = Literal["answered", "refused", "failed", "impossible", "too-large"]

_FAILURES = (aiohttp.ClientError, OSError, TimeoutError, EndpointUnreachableError)

_LENGTH_HEADERS = {"Content-Length", "Transfer-Encoding"}


class Load(NamedTuple):
    """Running tasks and slots as reported by an endpoint."""

    running: int
    slots: int


class Reply(NamedTuple):
    """Complete response of an endpoint to an attempt.

    Attributes
    ----------
    kind : str
        ``answered`` comes with a body; ``refused`` and ``impossible`` mean that the
        task did not start, ``failed`` and ``too-large`` that it started.
    code : str
        The endpoint's reason for a refusal.
    body : bytes
        Body of the response.
    content_type : str
        Content type of the body.
    load : Load or None
        Load that was reported with the response.
    has_attempt_id : bool
        Whether the response contained the id of its attempt.
    """

    kind: ReplyKind
    code: str = ""
    body: bytes = b""
    content_type: str = "application/octet-stream"
    load: Load | None = None
    has_attempt_id: bool = False


class TaskRequest(NamedTuple):
    """An attempt as sent; ``lease_ms`` limits how long the task may run."""

    attempt: str
    job_id: str
    team: str | None
    key_id: str | None
    queue: str
    idempotent: bool
    lease_ms: int
    body: bytes


class Health(NamedTuple):
    """Result of an endpoint's health check."""

    state: str
    running: int
    slots: int


class Progress:
    """Progress of an exchange.

    Attributes
    ----------
    written : bool
        Whether a byte of the request may have been written.
    last_byte_at : float
        Time, in seconds, of the last byte of the response, or of the start.
    reused : bool
        Whether the connection was used for other attempts before.
    """

    def __init__(self) -> None:
        self.written = False
        self.reused = False
        self.last_byte_at = clock.now()


class NotAllowedError(EndpointUnreachableError):
    """The start was no longer allowed just before the first byte."""


class Endpoints:
    """Connections to the endpoints; an asynchronous context manager.

    Attributes
    ----------
    counts : Counter
        Number of dropped responses by reason.
    """

    def __init__(self, settings: Settings) -> None:
        self.counts: Counter[str] = Counter()
        self._settings = settings.endpoints
        # Idle connections count towards the limit, of which one connection is
        # reserved for control calls.
        self._permits: defaultdict[str, asyncio.Semaphore] = defaultdict(
            lambda: asyncio.Semaphore(max(1, self._settings.connections - 1))
        )
        self._control_permits: defaultdict[str, asyncio.Semaphore] = defaultdict(
            lambda: asyncio.Semaphore(1)
        )
        self._attempt_session: aiohttp.ClientSession | None = None
        self._control_session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_allow_writing)
        trace.on_connection_reuseconn.append(_note_reused)
        keepalive_connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=KEEPALIVE_S
        )
        self._attempt_session = self._make_session(keepalive_connector, [trace])
        closing_connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._control_session = self._make_session(closing_connector, [])
        return self

    def _make_session(
        self, connector: aiohttp.TCPConnector, traces: list[aiohttp.TraceConfig]
    ) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._settings.connect_timeout_ms / 1000
            ),
            trace_configs=traces,
        )

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for session in (self._attempt_session, self._control_session):
            if session is not None:
                await session.close()

    async def start_task(
        self,
        address: str,
        request: TaskRequest,
        progress: Progress,
        allow: Callable[[], bool],
    ) -> Reply:
        """Send an attempt and read its complete response.

        Parameters
        ----------
        address : str
            Registered address of the endpoint.
        request : TaskRequest
            The attempt.
        progress : Progress
            Updated while bytes are sent and received.
        allow : callable
            Called once the connection is established, just before the first byte.

        Raises
        ------
        NotAllowedError
            If ``allow`` returned false; nothing was written.
        EndpointUnreachableError
            If nothing was written.
        ResponseLostError
            If the request may have arrived but its complete response did not.
        """
        headers = {
            "Briarshed-Job-Id": request.job_id,
            "Briarshed-Team": request.team or "",
            "Briarshed-Key-Id": request.key_id or "",
            "Briarshed-Queue": request.queue,
            "Briarshed-Lease-Ms": str(request.lease_ms),
            "Briarshed-Idempotent": "true" if request.idempotent else "false",
            "Content-Type": "application/octet-stream",
        }
        path = f"/tasks/{request.attempt}"
        context = SimpleNamespace(progress=progress, allow=allow)
        try:
            async with self._permits[address]:
                # A reused connection is written at once, and aiohttp leaks it if its
                # trace hook raises, so the check comes first.
                _check_allowed(allow)
                call = self._call("POST", address, path, context, headers, request.body)
                async with call as response:
                    reply = await self._read_reply(
                        address, request.attempt, response, progress
                    )
            await self._confirm(address, request.attempt, reply, progress)
            progress.last_byte_at = clock.now()
            return reply
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if not progress.written:
                message = f"endpoint {address} cannot be reached: {error!r}"
                raise EndpointUnreachableError(message) from error
            raise ResponseLostError(f"endpoint {address}: {error!r}") from error

    async def _confirm(
        self, address: str, attempt: str, reply: Reply, progress: Progress
    ) -> None:
        """Confirm that a response without an attempt id belongs to this attempt."""
        if reply.has_attempt_id or not progress.reused:
            return
        timeout = self._settings.probe_timeout_ms / 1000
        if reply.kind in ("refused", "impossible"):
            state = await self.find_state(address, attempt, timeout)
            if state == "never":
                state = await self.fence(address, attempt, timeout)
            if state == "never":
                return
        self.counts["not-confirmed"] += 1
        raise ResponseLostError(f"endpoint {address} did not confirm its response")

    async def find_state(self, address: str, attempt: str, timeout: float) -> TaskState:
        """Return the state of an attempt, queried over a new connection.

        Raises
        ------
        ResponseLostError
            If no valid response came within ``timeout`` seconds.
        """
        path = f"/tasks/{attempt}"
        content = await self._control("GET", address, path, timeout)
        return _check_state(content, ("running", "finished", "stopped", "never"))

    async def fence(self, address: str, attempt: str, timeout: float) -> FenceState:
        """Stop an attempt or prevent its start, over a new connection.

        Raises
        ------
        ResponseLostError
            If no valid response came within ``timeout`` seconds.
        """
        path = f"/tasks/{attempt}"
        content = await self._control("DELETE", address, path, timeout)
        return _check_state(content, ("never", "stopped", "finished"))

    async def fetch_response(
        self, address: str, attempt: str, progress: Progress, timeout: float
    ) -> Reply:
        """Return the stored response of a finished attempt.

        Raises
        ------
        ResponseLostError
            If it was not received completely within ``timeout`` seconds.
        """
        path = f"/tasks/{attempt}/answer"
        try:
            async with (
                asyncio.timeout(timeout),
                self._control_permits[address],
                self._call("GET", address, path) as response,
            ):
                return await self._read_reply(
                    address, attempt, response, progress, True
                )
        except _FAILURES as error:
            raise ResponseLostError(f"endpoint {address}: {error!r}") from error

    async def check_health(self, address: str, timeout: float) -> Health | None:
        """Return an endpoint's health, or None if it does not respond."""
        try:
            content = await self._control("GET", address, "/healthz", timeout)
            return Health(
                str(content["state"]), int(content["running"]), int(content["slots"])
            )
        except (ResponseLostError, KeyError, TypeError, ValueError):
            return None

    def _call(
        self,
        method: str,
        address: str,
        path: str,
        context: Any = None,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> Any:
        session = self._control_session if context is None else self._attempt_session
        if session is None or session.closed:
            raise EndpointUnreachableError("the connections to endpoints are closed")
        target = self._settings.routes.get(address, address)
        return session.request(
            method,
            f"http://{target}{path}",
            data=body,
            headers=headers,
            allow_redirects=False,
            trace_request_ctx=context,
        )

    async def _control(
        self, method: str, address: str, path: str, timeout: float
    ) -> Mapping[str, Any]:
        # The timeout includes the wait for a permit: calls to an endpoint that
        # responds release theirs within milliseconds.
        try:
            async with (
                asyncio.timeout(timeout),
                self._control_permits[address],
                self._call(method, address, path) as response,
            ):
                body = await _read_body(response, MAX_CONTROL_BYTES, None)
                if response.status != 200 or body is None:
                    raise ResponseLostError(
                        f"endpoint {address}: status {response.status}"
                    )
                return msgspec.json.decode(body, type=dict)
        except _FAILURES as error:
            raise ResponseLostError(f"endpoint {address}: {error!r}") from error
        except DECODING_ERRORS as error:
            raise ResponseLostError(f"endpoint {address}: {error}") from error

    async def _read_reply(
        self,
        address: str,
        attempt: str,
        response: aiohttp.ClientResponse,
        progress: Progress,
        attempt_in_path: bool = False,
    ) -> Reply:
        progress.last_byte_at = clock.now()
        attempt_ids = response.headers.getall("Briarshed-Attempt", [])
        needed = response.status == 200 and not attempt_in_path
        if (needed and not attempt_ids) or any(name != attempt for name in attempt_ids):
            self.counts["wrong-attempt"] += 1
            got_attempt = attempt_ids[0][:MAX_CODE_LENGTH] if attempt_ids else "none"
            log_event(
                ANSWER_DROPPED, address=address, got=got_attempt, expected=attempt
            )
            raise ResponseLostError(f"endpoint {address} responded to another attempt")
        if not _LENGTH_HEADERS & {name.title() for name in response.headers}:
            # A truncated body without a declared length would look complete.
            self.counts["no-length"] += 1
            raise ResponseLostError(f"endpoint {address} sent no content length")
        body = await _read_body(response, self._settings.max_answer_bytes, progress)
        load = _parse_load(response.headers.get("Briarshed-Load", ""))
        return _make_reply(address, response, body, load)._replace(
            has_attempt_id=bool(attempt_ids)
        )


async def _allow_writing(session: Any, context: Any, parameters: Any) -> None:
    request = context.trace_request_ctx
    if request is None:
        return
    _check_allowed(request.allow)
    request.progress.written = True


def _check_allowed(allow: Callable[[], bool]) -> None:
    if not allow():
        raise NotAllowedError("the start is no longer allowed")


async def _note_reused(session: Any, context: Any, parameters: Any) -> None:
    context.trace_request_ctx.progress.written = True
    context.trace_request_ctx.progress.reused = True


async def _read_body(
    response: aiohttp.ClientResponse, limit: int, progress: Progress | None
) -> bytes | None:
    parts: list[bytes] = []
    size = 0
    async for part in response.content.iter_any():
        if progress is not None:
            progress.last_byte_at = clock.now()
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return b"".join(parts)


def _make_reply(
    address: str,
    response: aiohttp.ClientResponse,
    body: bytes | None,
    load: Load | None,
) -> Reply:
    match response.status:
        case 200 if body is None:
            return Reply("too-large", load=load)
        case 200:
            content_type = response.headers.get(
                "Content-Type", "application/octet-stream"
            )
            return Reply("answered", "", body, content_type, load)
        case 500:
            return Reply("failed", load=load)
        case 422:
            return Reply("impossible", load=load)
        case 503 if body is not None and (code := _find_refusal(body)):
            return Reply("refused", code, load=load)
    raise ResponseLostError(f"endpoint {address}: unexpected status {response.status}")


def _find_refusal(body: bytes) -> str:
    with suppress(*DECODING_ERRORS):
        content = msgspec.json.decode(body)
        if isinstance(content, dict) and content.get("outcome") == "not run":
            return str(content.get("code") or "refused")[:MAX_CODE_LENGTH]
    return ""


def _parse_load(text: str) -> Load | None:
    running, _, slots = text.partition("/")
    if running.isdecimal() and slots.isdecimal():
        return Load(int(running), int(slots))
    return None


def _check_state(content: Mapping[str, Any], allowed: tuple[str, ...]) -> Any:
    state = content.get("state")
    if state not in allowed:
        raise ResponseLostError(f"unknown task state {str(state)[:MAX_CODE_LENGTH]!r}")
    return state
