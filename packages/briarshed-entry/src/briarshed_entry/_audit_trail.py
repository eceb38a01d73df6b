"""Reading of the audit trail, from a document and from separate keys."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec

from briarshed.commands import Target
from briarshed.documents import AUDIT_PREFIX, Change

AUDIT_BLOCK = 100
"""Versions whose keys share the first 8 of the 10 digits of the version."""

MAX_AUDIT_BLOCKS = 20
"""Limit of the reads of one query; the store handles about 2,000 a second in total."""

ReadPrefix = Callable[[str], Awaitable[Mapping[str, bytes]]]


async def read_changes(
    read_prefix: ReadPrefix | None, target: Target, document: Any, since: float
) -> tuple[list[Change], bool]:
    """Return a document's changes since a Unix time, and whether all were read.

    Changes that were moved out of the document are read in blocks, newest first. The
    result may contain changes from before that time.

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
        stored = await read_prefix(f"{AUDIT_PREFIX}{target}/{block:08d}")
        changes = [msgspec.json.decode(data) for data in stored.values()]
        # A change is written to its key before it is removed from the document.
        found += [change for change in changes if change["id"] not in held]
        if block == 0 or any(change["at"] < since for change in changes):
            return found, True
    return found, False
