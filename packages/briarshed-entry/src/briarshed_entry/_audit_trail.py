"""Reading of the audit trail, from a document and from separate keys."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec

from briarshed.commands import Target
from briarshed.documents import AUDIT_PREFIX, Change

VERSIONS_PER_BLOCK = 100
"""Number of versions in a block.

Their keys share the first 8 of the 10 digits of the version, so that one read by prefix
returns the whole block.
"""

MAX_AUDIT_BLOCKS = 20
"""Most blocks that one query reads, with one store request for each.

The store handles about 2,000 requests a second in total.
"""

ReadPrefix = Callable[[str], Awaitable[Mapping[str, bytes]]]


async def read_changes(
    read_prefix: ReadPrefix | None, target: Target, document: Any, since: float
) -> tuple[list[Change], bool]:
    """Return a document's changes since a Unix time, and whether all were read.

    Changes that were moved out of the document are read in blocks, the newest block
    first. The result is not sorted and may contain changes from before that time.

    Parameters
    ----------
    read_prefix : callable or None
        Reads the keys under a prefix from the store; if None, only the changes in the
        document are returned.
    target : str
        Name of the document.
    document : dict
        Its content.
    since : float
        Unix time in seconds.

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
    ids_in_document = {change["id"] for change in found}
    newest = (found[0]["version"] - 1) // VERSIONS_PER_BLOCK
    for block in range(newest, max(-1, newest - MAX_AUDIT_BLOCKS), -1):
        stored = await read_prefix(f"{AUDIT_PREFIX}{target}/{block:08d}")
        changes = [msgspec.json.decode(data) for data in stored.values()]
        # A change is written to its key before it is removed from the document, so it
        # can be in both.
        found += [change for change in changes if change["id"] not in ids_in_document]
        if block == 0 or any(change["at"] < since for change in changes):
            return found, True
    return found, False
