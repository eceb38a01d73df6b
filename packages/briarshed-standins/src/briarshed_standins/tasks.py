"""Request bodies of tasks for the endpoint stand-in, and the answers to them.

A body may begin with a line such as ``task ms=250 answer_bytes=4096 outcome=500``;
the rest of the body is opaque. The answer is derived from the whole body, so that an
answer to another request can be detected.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

MARKER = b"task"


class TaskOptions(NamedTuple):
    """Options in the first line of a body.

    Attributes
    ----------
    ms : int or None
        Duration in milliseconds; None means the endpoint's default.
    answer_bytes : int or None
        Length of the answer; None means the length of one digest.
    outcome : int
        200 finishes, 500 fails after the duration, 422 is rejected without a start.
    """

    ms: int | None = None
    answer_bytes: int | None = None
    outcome: int = 200


def make_body(text: str, **task_options: int) -> bytes:
    """Return a body with options in its first line."""
    line = " ".join(
        ["task", *(f"{name}={value}" for name, value in task_options.items())]
    )
    return f"{line}\n{text}".encode()


def parse_task_options(body: bytes) -> TaskOptions:
    """Parse the options of a body; an opaque body has none."""
    words = body.partition(b"\n")[0].split(b" ")
    if words[0] != MARKER:
        return TaskOptions()
    pairs = [word.decode(errors="replace").partition("=") for word in words[1:]]
    values = {
        name: int(value)
        for name, _, value in pairs
        if name in TaskOptions._fields and value.isdigit()
    }
    return TaskOptions(**values)


def make_answer(body: bytes) -> bytes:
    """Return the correct answer to a body."""
    digest = hashlib.sha256(body).hexdigest().encode()
    length = parse_task_options(body).answer_bytes
    if length is None:
        return digest
    return (digest * (length // len(digest) + 1))[:length]
