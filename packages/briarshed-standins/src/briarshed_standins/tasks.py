"""Bodies of tasks that the endpoint stand-in understands, and their answers.

A body may begin with a line such as ``task ms=250 answer_bytes=4096 outcome=500``;
everything else of a body is opaque. The answer depends on the whole body, so an answer
to another request is recognized.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

FIRST_WORD = b"task"


class TaskOptions(NamedTuple):
    """What the first line of a body asks for.

    Attributes
    ----------
    ms : int or None
        Duration in milliseconds; None leaves it to the endpoint.
    answer_bytes : int or None
        Length of the answer; None is the length of one digest.
    outcome : int
        200 finishes, 500 fails after the duration, 422 is rejected unstarted.
    """

    ms: int | None = None
    answer_bytes: int | None = None
    outcome: int = 200


def make_body(text: str, **task_options: int) -> bytes:
    """Return a body with orders in its first line."""
    line = " ".join(
        ["task", *(f"{name}={value}" for name, value in task_options.items())]
    )
    return f"{line}\n{text}".encode()


def parse_task_options(body: bytes) -> TaskOptions:
    """Return the orders of a body; an opaque body has none."""
    words = body.partition(b"\n")[0].split(b" ")
    if words[0] != FIRST_WORD:
        return TaskOptions()
    pairs = [word.decode(errors="replace").partition("=") for word in words[1:]]
    values = {
        name: int(value)
        for name, _, value in pairs
        if name in TaskOptions._fields and value.isdigit()
    }
    return TaskOptions(**values)


def make_answer(body: bytes) -> bytes:
    """Return the one correct answer to a body."""
    digest = hashlib.sha256(body).hexdigest().encode()
    length = parse_task_options(body).answer_bytes
    if length is None:
        return digest
    return (digest * (length // len(digest) + 1))[:length]
