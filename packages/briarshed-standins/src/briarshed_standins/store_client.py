"""Reads from the store stand-in for tests and for conditions of the fleet."""

from __future__ import annotations

import base64
from typing import Any

from briarshed_standins.processes import FleetError, call


def encode(text: str | bytes) -> str:
    """Return text in base64, the gateway's encoding of keys and values."""
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


def read_key(url: str, key: str) -> bytes | None:
    """Return the value of a key, or None if it is absent."""
    reply = call("POST", f"{url}/v3/kv/range", {"key": encode(key)})
    if reply.status != 200:
        raise FleetError(f"store returned status {reply.status}: {reply.content}")
    entries: list[dict[str, Any]] = reply.content.get("kvs", [])
    return base64.b64decode(entries[0].get("value", "")) if entries else None
