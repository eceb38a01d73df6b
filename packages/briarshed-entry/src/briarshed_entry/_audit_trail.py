"""Reading of the audit trail: in a document, and in keys of their own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec

from briarshed.commands import Target
from briarshed.documents import AUDIT_PREFIX, Change

AUDIT_BLOCK = 100
"""Versions that share the first 8 of the 10 digits in the keys of old changes."""

MAX_AUDIT_BLOCKS = 20
"""Bounds the reads of one question; the store takes about 2,000 a second in all."""

ReadPrefix = Callable[[str], Awaitable[Mapping[str, bytes]]]


async def read_changes(
    read_prefix: ReadPrefix | None, target: Target, document: Any, since: float
) -> tuple[list[Change], bool]:
    """Return a document's changes since a Unix time, and whether all were read.

    Changes that were moved out of the document are read in blocks, from the newest
    to the oldest. Changes before the time may be among the result.

    Raises
    ------
    StoreUnavailableError
        If older changes are needed and cannot be read.
    """
    found = list(document["changes"])
    if not found or found[0]["at"] < since or found[0]["version"] <= 1:
        return found, True
    if read_prefix is None:
        return found, False
    held = {change["id"] for change in found}
    newest = (found[0]["version"] - 1) // AUDIT_BLOCK
    for block in range(newest, max(-1, newest - MAX_AUDIT_BLOCKS), -1):
        kept = await read_prefix(f"{AUDIT_PREFIX}{target}/{block:08d}")
        changes = [msgspec.json.decode(data) for data in kept.values()]
        # A change is written to its key before it leaves the document.
        found += [change for change in changes if change["id"] not in held]
        if block == 0 or any(change["at"] < since for change in changes):
            return found, True
    return found, False
