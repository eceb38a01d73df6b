"""Client of the platform; the only module that knows its protocol."""

from __future__ import annotations

from types import TracebackType
from typing import Any, Literal, NamedTuple, Self
from urllib.parse import quote

import aiohttp
import msgspec

from briarshed.decoding import DECODING_ERRORS
from briarshed.exceptions import PlatformUnavailableError
from briarshed.settings import PlatformSettings

MS_PER_S = 1_000
HTTP_NOT_FOUND = 404
HTTP_SUCCESS_CLASS = 2
MAX_CONNECTIONS = 8
"""Maximum number of concurrent calls, so that the loss of a data centre does not
overload the platform.
"""


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance in the platform's list, which lags."""

    id: str
    data_centre: str
    rack: str
    address: str
    state: Literal["live", "leaving"]
    accelerators: int = 0


class _ListResponse(msgspec.Struct, frozen=True):
    as_of: float
    instances: list[ListedInstance]


class _StateResponse(msgspec.Struct, frozen=True):
    state: Literal["live", "draining", "drained", "rebooting"]


class InstanceList(NamedTuple):
    """The platform's list of instances.

    Attributes
    ----------
    as_of : float
        Time of the list on the platform's clock.
    instances : dict
        Instances by id.
    """

    as_of: float
    instances: dict[str, ListedInstance]


class PlatformClient:
    """Calls the platform, with a timeout for each call."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._url = settings.url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(settings.timeout_ms / MS_PER_S)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
        self._session = aiohttp.ClientSession(
            timeout=self._timeout, connector=connector
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def list_instances(self) -> InstanceList:
        """Return the list of instances, which lags.

        Raises
        ------
        PlatformUnavailableError
            If the platform does not respond or its response is malformed.
        """
        body = await self._call("GET", "/instances")
        content = _decode(body, _ListResponse)
        return InstanceList(
            content.as_of, {item.id: item for item in content.instances}
        )

    async def find_state(self, instance: str) -> str:
        """Return the current state: live, draining, drained, rebooting or missing.

        Raises
        ------
        PlatformUnavailableError
            If the platform does not respond or its response is malformed.
        """
        status, body = await self._request("GET", _make_path(instance))
        if status == HTTP_NOT_FOUND:
            return "missing"
        _check_status(status, f"state of {instance}")
        return _decode(body, _StateResponse).state

    async def drain(self, instance: str, operation: str) -> None:
        """Ask the platform to drain an instance; repeats of an operation are safe."""
        await self._call("POST", _make_path(instance, "/drain"), operation)

    async def reboot(self, instance: str, operation: str) -> None:
        """Ask the platform to reboot an instance; repeats of an operation are safe."""
        await self._call("POST", _make_path(instance, "/reboot"), operation)

    async def _call(
        self, method: str, path: str, operation: str | None = None
    ) -> bytes:
        status, body = await self._request(method, path, operation)
        _check_status(status, f"{method} {path}")
        return body

    async def _request(
        self, method: str, path: str, operation: str | None = None
    ) -> tuple[int, bytes]:
        if self._session is None:
            raise PlatformUnavailableError("the platform client is not open")
        content = None if operation is None else {"operation": operation}
        url = self._url + path
        try:
            async with self._session.request(method, url, json=content) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformUnavailableError(f"{method} {path}: {reason}") from error


def _check_status(status: int, what: str) -> None:
    if status // 100 != HTTP_SUCCESS_CLASS:
        raise PlatformUnavailableError(f"{what}: status {status}")


def _make_path(instance: str, action: str = "") -> str:
    return f"/instances/{quote(instance, safe='')}{action}"


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODING_ERRORS as error:
        raise PlatformUnavailableError(f"response not understood: {error}") from error
