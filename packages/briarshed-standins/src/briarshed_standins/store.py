"""Stand-in for the store: an in-memory JSON gateway of etcd v3.

``python -m briarshed_standins.store --address 127.0.0.1:0`` prints one JSON line with
its address. As in the gateway, 64-bit integers are encoded as strings and zero values
are omitted.
"""

from __future__ import annotations

import asyncio
import base64
from collections import Counter, deque
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple

import typer
from aiohttp import web

from briarshed_standins.programs import (
    Faults,
    abort_connection,
    make_application,
    now,
    run_program,
    stay_silent,
)

MAX_VALUE_BYTES = 1_048_576
KEPT_SNAPSHOTS = 64
FIRST_LEASE_ID = 7_587_000_000_000_000_001
"""Above 2**53, so that clients that decode ids as floating-point numbers fail."""

FAULTS = {
    "down": "resets every connection",
    "silent": "accepts requests and never responds",
    "slow_ms": "delays each request before it takes effect",
    "lost_answers": "resets the connection after a write has taken effect",
    "stale_reads": "reads return the state as of this many revisions ago",
}


class KeyValue(NamedTuple):
    """A key's value and revisions, which start at 1; lease 0 means no lease."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class Lease(NamedTuple):
    """A lease: its time to live in seconds, and when it expires."""

    ttl: int
    expires_at: float


class StoreError(Exception):
    """A rejected request, with its gRPC code and HTTP status."""

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.content = {"error": message, "code": code, "message": message}


class Store:
    """Keys, leases and revisions; every change creates one revision."""

    def __init__(self) -> None:
        self.revision = 1
        self._key_values: dict[bytes, KeyValue] = {}
        self._leases: dict[int, Lease] = {}
        self._next_lease = FIRST_LEASE_ID
        self._snapshots: deque[dict[bytes, KeyValue]] = deque(maxlen=KEPT_SNAPSHOTS)

    def revoke_expired(self) -> None:
        """Revoke every expired lease, and delete its keys."""
        time = now()
        for lease_id, lease in list(self._leases.items()):
            if lease.expires_at <= time:
                self.revoke(lease_id)

    def grant(self, ttl: int, requested_id: int) -> tuple[int, int]:
        """Create a lease; return its id and its time to live in seconds."""
        if requested_id in self._leases:
            raise StoreError(400, 9, "etcdserver: lease already exists")
        lease_id = requested_id or self._next_lease
        self._next_lease += 1
        self._leases[lease_id] = Lease(ttl, now() + ttl)
        return lease_id, ttl

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease; return its time to live, or 0 if it does not exist."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        self._leases[lease_id] = Lease(lease.ttl, now() + lease.ttl)
        return lease.ttl

    def revoke(self, lease_id: int) -> None:
        """Delete a lease and its keys."""
        if self._leases.pop(lease_id, None) is None:
            raise StoreError(404, 5, "etcdserver: requested lease not found")
        keys = [
            key for key, entry in self._key_values.items() if entry.lease == lease_id
        ]
        if keys:
            self._begin_change()
            for key in keys:
                del self._key_values[key]

    def find(
        self, key: bytes, end: bytes, stale: int = 0
    ) -> list[tuple[bytes, KeyValue]]:
        """Return the values of a key or a range of keys, sorted by key.

        Parameters
        ----------
        key, end : bytes
            The end is exclusive; empty selects the key only, and a single zero byte
            all keys from ``key`` on.
        stale : int
            Number of revisions by which the result lags.
        """
        entries: Mapping[bytes, KeyValue] = self._key_values
        if stale and self._snapshots:
            entries = self._snapshots[-min(stale, len(self._snapshots))]
        if not end:
            return [(key, entries[key])] if key in entries else []
        open_ended = end == b"\0"
        return sorted(
            (found, entry)
            for found, entry in entries.items()
            if key <= found and (open_ended or found < end)
        )

    def apply(self, writes: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Apply puts and deletions as one revision; return their responses."""
        for write in writes:
            self._check_put(write)
        if any(self._has_effect(write) for write in writes):
            self._begin_change()
        return [self._write(write) for write in writes]

    def compare(self, comparison: Mapping[str, Any]) -> bool:
        """Return whether a comparison of a transaction holds."""
        found = self._key_values.get(_decode(comparison.get("key")))
        entry = found or KeyValue(b"", 0, 0, 0, 0)
        match _get_field(comparison, "target", "VERSION"):
            case "MOD":
                actual: Any = entry.mod_revision
                expected: Any = int(_get_field(comparison, "mod_revision", 0))
            case "CREATE":
                actual = entry.create_revision
                expected = int(_get_field(comparison, "create_revision", 0))
            case "VERSION":
                actual = entry.version
                expected = int(_get_field(comparison, "version", 0))
            case "VALUE":
                if found is None:
                    return False
                actual = entry.value
                expected = _decode(comparison.get("value"))
            case target:
                raise StoreError(400, 3, f"unknown comparison target {target}")
        match _get_field(comparison, "result", "EQUAL"):
            case "EQUAL":
                return actual == expected
            case "NOT_EQUAL":
                return actual != expected
            case "GREATER":
                return actual > expected
            case "LESS":
                return actual < expected
            case result:
                raise StoreError(400, 3, f"unknown comparison result {result}")

    def _begin_change(self) -> None:
        self._snapshots.append(dict(self._key_values))
        self.revision += 1

    def _check_put(self, write: dict[str, Any]) -> None:
        put = _get_field(write, "request_put", None)
        if put is None:
            return
        if not put.get("key"):
            raise StoreError(400, 3, "etcdserver: key is not provided")
        if len(_decode(put.get("value"))) > MAX_VALUE_BYTES:
            raise StoreError(400, 3, "etcdserver: request is too large")
        lease_id = int(put.get("lease", 0))
        if lease_id and lease_id not in self._leases:
            raise StoreError(404, 5, "etcdserver: requested lease not found")

    def _has_effect(self, write: dict[str, Any]) -> bool:
        if "request_put" in write or "requestPut" in write:
            return True
        deletion = _get_field(write, "request_delete_range", None)
        return deletion is not None and bool(self._find_deleted(deletion))

    def _find_deleted(
        self, deletion: Mapping[str, Any]
    ) -> list[tuple[bytes, KeyValue]]:
        end = _decode(_get_field(deletion, "range_end", ""))
        return self.find(_decode(deletion.get("key")), end)

    def _write(self, write: dict[str, Any]) -> dict[str, Any]:
        header = {"header": {"revision": str(self.revision)}}
        put = _get_field(write, "request_put", None)
        if put is not None:
            self._put(put)
            return {"response_put": header}
        deletion = _get_field(write, "request_delete_range", None)
        if deletion is not None:
            deleted = self._find_deleted(deletion)
            for key, _ in deleted:
                del self._key_values[key]
            return {
                "response_delete_range": header
                | _format_nonzero("deleted", len(deleted))
            }
        found = self.read_range(_get_field(write, "request_range", {}), 0)
        return {"response_range": header | found}

    def _put(self, put: Mapping[str, Any]) -> None:
        key = _decode(put.get("key"))
        before = self._key_values.get(key)
        self._key_values[key] = KeyValue(
            _decode(put.get("value")),
            before.create_revision if before else self.revision,
            self.revision,
            before.version + 1 if before else 1,
            int(put.get("lease", 0)),
        )

    def read_range(self, request: Mapping[str, Any], stale: int) -> dict[str, Any]:
        """Return the body of a range response."""
        end = _decode(_get_field(request, "range_end", ""))
        found = self.find(_decode(request.get("key")), end, stale)
        answer: dict[str, Any] = _format_nonzero("count", len(found))
        if _get_field(request, "count_only", False) or not found:
            return answer
        limit = int(request.get("limit", 0)) or len(found)
        keys_only = _get_field(request, "keys_only", False)
        answer["kvs"] = [_describe(*pair, keys_only) for pair in found[:limit]]
        if limit < len(found):
            answer["more"] = True
        return answer


def _describe(key: bytes, entry: KeyValue, keys_only: bool) -> dict[str, Any]:
    content = {
        "key": _encode(key),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
    }
    if entry.value and not keys_only:
        content["value"] = _encode(entry.value)
    return content | _format_nonzero("lease", entry.lease)


def _format_nonzero(name: str, value: int) -> dict[str, Any]:
    return {name: str(value)} if value else {}


def _get_field(content: Mapping[str, Any], name: str, default: Any) -> Any:
    # The gateway accepts field names in snake_case and camelCase.
    first, *rest = name.split("_")
    camel = first + "".join(part.capitalize() for part in rest)
    return content.get(name, content.get(camel, default))


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode(text: str | None) -> bytes:
    try:
        return base64.b64decode(text or "", validate=True)
    except ValueError as error:
        raise StoreError(400, 3, f"invalid base64: {text}") from error


def make_store() -> web.Application:
    """Return an application that serves the store, its faults and its call counts."""
    store = Store()
    faults = Faults(FAULTS)
    counts: Counter[str] = Counter()

    async def guard(request: web.Request) -> web.StreamResponse | None:
        counts[request.path] += 1
        await request.read()
        await asyncio.sleep(faults.read("slow_ms", 0) / 1000)
        if faults.take("down"):
            return abort_connection(request)
        if faults.take("silent"):
            return await stay_silent(request)
        store.revoke_expired()
        return None

    async def answer(request: web.Request) -> web.Response:
        try:
            content = await request.json()
            handler = handlers[request.path]
            answered, wrote = handler(content)
        except StoreError as error:
            return web.json_response(error.content, status=error.status)
        except ValueError as error:
            content = {"error": str(error), "code": 3, "message": str(error)}
            return web.json_response(content, status=400)
        if wrote and faults.take("lost_answers"):
            return abort_connection(request)
        header = {
            "cluster_id": "1",
            "member_id": "1",
            "revision": str(store.revision),
            "raft_term": "2",
        }
        if "result" in answered:
            answered["result"]["header"] = header
            return web.json_response(answered)
        return web.json_response({"header": header} | answered)

    def handle_range(content: dict[str, Any]) -> tuple[dict[str, Any], bool]:
        return store.read_range(content, faults.read("stale_reads", 0)), False

    def handle_put(content: dict[str, Any]) -> tuple[dict[str, Any], bool]:
        store.apply([{"request_put": content}])
        return {}, True

    def handle_deletion(content: dict[str, Any]) -> tuple[dict[str, Any], bool]:
        (response,) = store.apply([{"request_delete_range": content}])
        return _get_deleted_count(response), True

    def handle_transaction(content: dict[str, Any]) -> tuple[dict[str, Any], bool]:
        holds = all(store.compare(one) for one in content.get("compare", []))
        operations = content.get("success" if holds else "failure", [])
        answered: dict[str, Any] = {"succeeded": True} if holds else {}
        reads = [_get_field(one, "request_range", None) for one in operations]
        if all(read is not None for read in reads):
            stale = 0 if content.get("compare") else faults.read("stale_reads", 0)
            header = {"header": {"revision": str(store.revision)}}
            responses = [
                {"response_range": header | store.read_range(read, stale)}
                for read in reads
            ]
            return answered | {"responses": responses}, bool(content.get("compare"))
        return answered | {"responses": store.apply(operations)}, True

    def handle_grant(content: dict[str, Any]) -> tuple[dict[str, Any], bool]:
        lease_id, ttl = store.grant(int(content["TTL"]), int(content.get("ID", 0)))
        return {"ID": str(lease_id), "TTL": str(ttl)}, True

    def answer_keep_alive(content: dict[str, Any]) -> tuple[dict[str, Any], bool]:
        lease_id = int(content["ID"])
        ttl = store.keep_alive(lease_id)
        return {"result": {"ID": str(lease_id)} | _format_nonzero("TTL", ttl)}, False

    def handle_revocation(content: dict[str, Any]) -> tuple[dict[str, Any], bool]:
        store.revoke(int(content["ID"]))
        return {}, True

    async def handle_get_counts(_request: web.Request) -> web.Response:
        return web.json_response(dict(counts))

    handlers = {
        "/v3/kv/range": handle_range,
        "/v3/kv/put": handle_put,
        "/v3/kv/deleterange": handle_deletion,
        "/v3/kv/txn": handle_transaction,
        "/v3/lease/grant": handle_grant,
        "/v3/lease/keepalive": answer_keep_alive,
        "/v3/lease/revoke": handle_revocation,
        "/v3/kv/lease/revoke": handle_revocation,
    }
    application = make_application(guard)
    for path in handlers:
        application.router.add_post(path, answer)
    application.router.add_get("/_counts", handle_get_counts)
    faults.add_routes(application)
    return application


def _get_deleted_count(response: dict[str, Any]) -> dict[str, Any]:
    deleted = response["response_delete_range"].get("deleted")
    return {"deleted": deleted} if deleted else {}


def main(address: Annotated[str, typer.Option()] = "127.0.0.1:0") -> None:
    """Serve an empty store until a signal arrives."""
    run_program(lambda: [make_store()], [address])


if __name__ == "__main__":
    typer.run(main)
