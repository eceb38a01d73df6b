"""Client of the store; the only module that knows the etcd v3 JSON gateway.

Each call has a timeout. Reads are linearizable, which is the gateway's default.
"""

from __future__ import annotations

import base64
from collections.abc import Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from http import HTTPStatus
from types import TracebackType
from typing import Any, Literal, NamedTuple

import aiohttp
import msgspec

from briarshed.decoding import DECODING_ERRORS
from briarshed.documents import (
    ALIVE_PREFIX,
    DOCUMENT_KEYS,
    Stored,
    decode_document,
    encode_document,
    make_empty,
)
from briarshed.exceptions import DocumentError, StoreUnavailableError
from briarshed.settings import StoreSettings

CompareAndSwapResult = Literal["swapped", "conflict", "unknown"]

PREFIX_LIMIT = 10_000
"""Maximum number of keys that a read of a prefix returns."""

MAX_ERROR_BYTES = 200
"""Length at which the text of an error response is cut off."""

_MS_PER_TTL_UNIT = 1_000


class Poll(NamedTuple):
    """Result of a poll.

    Attributes
    ----------
    revisions : dict
        Revision of each document key; 0 for an absent key.
    live : int
        Number of liveness keys.
    """

    revisions: dict[str, int]
    live: int


class StoreClient:
    """A client of the store; owns its connections."""

    def __init__(self, settings: StoreSettings) -> None:
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None
        self._leases: dict[str, tuple[str, bytes]] = {}

    async def __aenter__(self) -> StoreClient:
        timeout = aiohttp.ClientTimeout(total=self._settings.timeout_ms / 1_000)
        # These headers would be a third of the bytes of a poll.
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            skip_auto_headers=(
                "Accept",
                "Accept-Encoding",
                "Content-Type",
                "User-Agent",
            ),
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

    async def poll(self) -> Poll:
        """Read the document revisions and count the live members, in one call.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond in time or responds with an error.
        """
        first, last = min(DOCUMENT_KEYS), max(DOCUMENT_KEYS) + "\0"
        live_keys = _make_range(ALIVE_PREFIX, _end_prefix(ALIVE_PREFIX))
        counted = {**live_keys, "count_only": True}
        listed = {**_make_range(first, last), "keys_only": True}
        found = await self._run_ranges([listed, counted])
        with _checking_response():
            key_values = found[0].get("kvs", [])
            revisions = {_read_key(item): _read_revision(item) for item in key_values}
        revisions = {key: revisions.get(key, 0) for key in DOCUMENT_KEYS}
        return Poll(revisions, _read_count(found[1]))

    async def read_alive(self) -> dict[str, str]:
        """Return the name of each live member and the incarnation that it wrote.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond in time or responds with an error.
        """
        found = await self.read_prefix(ALIVE_PREFIX)
        with _checking_response():
            return {
                key.removeprefix(ALIVE_PREFIX): value.decode()
                for key, value in found.items()
            }

    async def read_revisions(self) -> dict[str, int]:
        """Return the revision of each document key; 0 for an absent key.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond in time or responds with an error.
        """
        return (await self.poll()).revisions

    async def read(self, keys: Iterable[str]) -> dict[str, Stored]:
        """Return documents read in one transaction, so that they are consistent.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond in time, responds with an error, or holds
            a document that cannot be decoded.
        """
        wanted = list(keys)
        response = await self._run_ranges([_make_range(key) for key in wanted])
        with _checking_response():
            return {
                key: _read_document(key, found.get("kvs", []))
                for key, found in zip(wanted, response, strict=True)
            }

    async def read_prefix(self, prefix: str) -> dict[str, bytes]:
        """Return the keys and values under a prefix, at most ``PREFIX_LIMIT``.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond in time or responds with an error.
        """
        body = {**_make_range(prefix, _end_prefix(prefix)), "limit": PREFIX_LIMIT}
        response = await self._call("kv/range", body)
        with _checking_response():
            return {
                _read_key(item): _read_value(item) for item in response.get("kvs", [])
            }

    async def compare_and_swap(
        self,
        key: str,
        revision: int,
        document: Any,
        guards: Mapping[str, int] | None = None,
    ) -> CompareAndSwapResult:
        """Replace a document if its revision is still the given one.

        Parameters
        ----------
        key : str
            Key of the document.
        revision : int
            Revision that the key must have; 0 if it must be absent.
        document : dict
            The new document.
        guards : mapping, optional
            Other keys and the revisions that they must have at the same time.

        Returns
        -------
        str
            "unknown" if no response arrived; the write may still take effect until
            one of the compared keys has another revision.

        Raises
        ------
        StoreUnavailableError
            If the connection failed or the store rejected the request as invalid, so
            that nothing was changed.
        """
        compared = {key: revision, **(guards or {})}
        put = {"key": _encode(key), "value": _encode(encode_document(document))}
        body = {
            "compare": [_compare(name, value) for name, value in compared.items()],
            "success": [{"request_put": put}],
        }
        try:
            response = await self._call("kv/txn", body)
        except StoreUnavailableError as error:
            if _had_no_effect(error):
                raise
            return "unknown"
        if "header" not in response:
            return "unknown"
        return "swapped" if response.get("succeeded") is True else "conflict"

    async def put(self, key: str, data: bytes) -> None:
        """Write a key that is not a document.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond in time or responds with an error.
        """
        body = {"key": _encode(key), "value": _encode(data)}
        await self._call("kv/put", body)

    async def keep_alive(self, name: str, data: bytes) -> None:
        """Renew the lease of a member's liveness key, or write the key again.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond in time or responds with an error.
        """
        lease, held = self._leases.get(name, ("", b""))
        if lease and held == data:
            response = await self._call("lease/keepalive", {"ID": lease})
            with _checking_response():
                if int(response.get("result", response).get("TTL", 0)) > 0:
                    return
        self._leases.pop(name, None)
        ttl = -(-self._settings.lease_ms // _MS_PER_TTL_UNIT)
        granted = await self._call("lease/grant", {"TTL": ttl, "ID": 0})
        with _checking_response():
            lease = str(granted["ID"])
        key = _encode(ALIVE_PREFIX + name)
        body = {"key": key, "value": _encode(data), "lease": lease}
        await self._call("kv/put", body)
        self._leases[name] = (lease, data)

    async def release(self, name: str) -> None:
        """Revoke the lease of a liveness key, which removes the key.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond in time or responds with an error.
        """
        lease, _data = self._leases.pop(name, ("", b""))
        if lease:
            await self._call("lease/revoke", {"ID": lease})

    async def _run_ranges(self, ranges: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Run several reads in one transaction, which the store counts as one call."""
        body = {"success": [{"request_range": item} for item in ranges]}
        response = await self._call("kv/txn", body)
        responses = response.get("responses", [])
        if len(responses) != len(ranges):
            raise StoreUnavailableError("the store's response to a read is incomplete")
        with _checking_response():
            return [item["response_range"] for item in responses]

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        assert self._session is not None, "the client is not open"
        url = f"{self._settings.url}/v3/{path}"
        try:
            async with self._session.post(
                url, data=msgspec.json.encode(body)
            ) as http_response:
                data = await http_response.read()
                if http_response.status != HTTPStatus.OK:
                    text = data[:MAX_ERROR_BYTES].decode(errors="replace")
                    message = f"the store answered {http_response.status}: {text}"
                    cause = aiohttp.ClientResponseError(
                        http_response.request_info,
                        http_response.history,
                        status=http_response.status,
                    )
                    raise StoreUnavailableError(message) from cause
                response = msgspec.json.decode(data)
        except TimeoutError as error:
            timeout = self._settings.timeout_ms
            raise StoreUnavailableError(
                f"the store did not answer in {timeout} ms"
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise StoreUnavailableError(f"no connection: {error}") from error
        except DECODING_ERRORS as error:
            raise StoreUnavailableError(f"response is not JSON: {error}") from error
        if not isinstance(response, dict):
            raise StoreUnavailableError("the store's response is not a JSON object")
        return response


@contextmanager
def _checking_response() -> Iterator[None]:
    """Raise StoreUnavailableError for a malformed response."""
    try:
        yield
    except DocumentError as error:
        raise StoreUnavailableError(error.message) from error
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        reason = f"the store's response is not understood: {error!r}"
        raise StoreUnavailableError(reason) from error


def _had_no_effect(error: StoreUnavailableError) -> bool:
    """Return whether a failed call is known to have changed nothing."""
    cause = error.__cause__
    if isinstance(cause, aiohttp.ClientResponseError):
        return HTTPStatus.BAD_REQUEST <= cause.status < HTTPStatus.INTERNAL_SERVER_ERROR
    return isinstance(cause, aiohttp.ClientConnectorError)


def _encode(data: str | bytes) -> str:
    raw = data.encode() if isinstance(data, str) else data
    return base64.b64encode(raw).decode()


def _end_prefix(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _make_range(key: str, end: str = "") -> dict[str, Any]:
    last = {"range_end": _encode(end)} if end else {}
    return {"key": _encode(key), **last}


def _compare(key: str, revision: int) -> dict[str, Any]:
    return {
        "key": _encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(revision),
    }


def _read_key(item: Mapping[str, Any]) -> str:
    return base64.b64decode(item["key"]).decode()


def _read_value(item: Mapping[str, Any]) -> bytes:
    return base64.b64decode(item.get("value", ""))


def _read_document(key: str, items: Sequence[Mapping[str, Any]]) -> Stored:
    if not items:
        return Stored(make_empty(key), 0)
    document = decode_document(key, _read_value(items[0]))
    return Stored(document, _read_revision(items[0]))


def _read_count(found: Mapping[str, Any]) -> int:
    with _checking_response():
        return int(found.get("count", 0))


def _read_revision(item: Mapping[str, Any]) -> int:
    return int(item["mod_revision"])
