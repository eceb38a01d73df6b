"""A fake of the store's HTTP gateway with fault injection."""

from __future__ import annotations

import asyncio
import base64
import json
from collections import Counter
from collections.abc import Callable

from aiohttp import web


class FakeGateway:
    """Keys with revisions and leases; ``fault`` selects the injected fault.

    Faults: "" none, "down" closes connections, "slow" responds after ``delay_s``,
    "lost" applies the next write transaction and closes the connection, "dropped"
    closes it without applying it, "late" closes it and applies it after ``delay_s``,
    "error" responds 503 to every request, "refusing" 400, "garbled" unexpected JSON.
    "lost, then down" is "lost" and then "down". ``after_call`` is called once after the
    next call.
    """

    def __init__(self) -> None:
        self.stored: dict[str, tuple[bytes, int, str]] = {}
        self.leases: set[str] = set()
        self.revision = 1
        self.fault = ""
        self.delay_s = 1.0
        self.calls: Counter[str] = Counter()
        self.bytes = 0
        self.url = ""
        self.late = False
        self.after_call: Callable[[], None] | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        application = web.Application()
        application.router.add_post("/v3/{path:.*}", self._answer)
        self._runner = web.AppRunner(application)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.url = f"http://127.0.0.1:{port}"

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.cleanup()

    def write(self, key: str, value: bytes, lease: str = "") -> None:
        """Set a key at the next revision."""
        self.revision += 1
        self.stored[key] = (value, self.revision, lease)

    def expire(self, key: str) -> None:
        """Remove a key as the end of its lease would."""
        self.stored.pop(key, None)

    def read_document(self, key: str) -> dict:
        """Return a stored document."""
        return json.loads(self.stored[key][0])

    async def _answer(self, request: web.Request) -> web.Response:
        body = json.loads(await request.text())
        path = request.match_info["path"]
        writes = any("request_put" in item for item in body.get("success", []))
        self.calls["write" if writes else path] += 1
        if self.fault == "down":
            request.transport.abort()
        if self.fault == "error":
            return web.Response(status=503)
        if self.fault == "refusing":
            return web.Response(status=400)
        if self.fault == "slow":
            await asyncio.sleep(self.delay_s)
        if writes and self.fault in ("lost", "dropped", "late", "lost, then down"):
            fault, self.fault = self.fault, ""
            if fault.startswith("lost"):
                self._run(path, body)
            if fault == "lost, then down":
                self.fault = "down"
            if fault == "late":
                self.late = True
                later = asyncio.get_running_loop().call_later
                later(self.delay_s, self._run, path, body)
            request.transport.abort()
            return web.Response()
        answer = self._run(path, body)
        if self.fault == "garbled":
            answer = {"responses": [5 for _ in body.get("success", [])], "kvs": [5]}
        text = json.dumps(answer)
        if self.after_call is not None:
            after_call, self.after_call = self.after_call, None
            after_call()
        self.bytes += len(text) + request.content_length
        return web.Response(text=text, content_type="application/json")

    def _run(self, path: str, body: dict) -> dict:
        match path:
            case "kv/range":
                return self._range(body)
            case "kv/put":
                return self._put(body)
            case "kv/txn":
                equal = all(self._compare(item) for item in body.get("compare", []))
                steps = body["success"] if equal else []
                responses = [self._step(step) for step in steps]
                # The real gateway omits fields that are false or empty.
                answer = {"succeeded": True, "responses": responses} if equal else {}
                return {"header": {"revision": str(self.revision)}, **answer}
            case "lease/grant":
                self.revision += 1
                self.leases.add(str(self.revision))
                return {"ID": str(self.revision), "TTL": str(body["TTL"])}
            case "lease/keepalive":
                ttl = {"TTL": "10"} if body["ID"] in self.leases else {}
                return {"result": {"ID": body["ID"], **ttl}}
            case "lease/revoke":
                self.leases.discard(body["ID"])
                self.stored = {
                    k: v for k, v in self.stored.items() if v[2] != body["ID"]
                }
                return {}
        raise web.HTTPNotFound

    def _compare(self, item: dict) -> bool:
        _value, revision, _lease = self.stored.get(_decode(item["key"]), (b"", 0, ""))
        return revision == int(item["mod_revision"])

    def _step(self, step: dict) -> dict:
        if "request_put" in step:
            return {"response_put": self._put(step["request_put"])}
        return {"response_range": self._range(step["request_range"])}

    def _put(self, body: dict) -> dict:
        value = base64.b64decode(body["value"])
        self.write(_decode(body["key"]), value, str(body.get("lease", "")))
        return {}

    def _range(self, body: dict) -> dict:
        first = _decode(body["key"])
        last = _decode(body["range_end"]) if "range_end" in body else first + "\0"
        items = []
        for key in sorted(key for key in self.stored if first <= key < last):
            value, revision, _lease = self.stored[key]
            item = {"key": _encode(key.encode()), "mod_revision": str(revision)}
            if not body.get("keys_only"):
                item["value"] = _encode(value)
            items.append(item)
        stored = {} if body.get("count_only") else {"kvs": items}
        return {**stored, "count": str(len(items))}


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()
