"""Logging of numbered events with loguru to standard output.

Lines go through a bounded buffer and are written only while the output accepts them, so
that a stalled reader never blocks the entry. Lines beyond the rate or the buffer are
dropped and counted, and the count is logged.
"""

from __future__ import annotations

import json
import os
import select
import sys
import time
from collections import deque
from typing import TYPE_CHECKING, Any

from loguru import logger

from briarshed.events import LOG_LINES_DROPPED, Event, list_events

if TYPE_CHECKING:
    from briarshed.settings import LogSettings

BUFFER_BYTES = 262_144
"""Size of the buffer; it holds some seconds of a busy entry's lines."""

MAX_WRITE_BYTES = 4_096
"""Maximum size of a write, which does not block on a pipe that polls as writable."""

FLUSH_INTERVAL_S = 0.2
"""Time after which buffered lines are written together with the next line."""

MAX_LINES_PER_S = 600
"""Maximum lines per second, twice the rate of the busiest entry in today's fleet."""

MAX_WARNINGS_PER_S = 200
"""Additional lines per second for warnings and errors, which must not be dropped in
favour of lines about individual runs.
"""

WARNING_LEVEL = logger.level("WARNING").no

_NAMES = {event.number: name for name, event in list_events().items()}


class BufferedOutput:
    """Writes lines to a file descriptor without blocking.

    Parameters
    ----------
    descriptor : int
        Where the lines are written.
    level : int
        Level from which on events are written.
    """

    def __init__(self, descriptor: int, level: int = 0) -> None:
        self.dropped = 0
        self.level = level
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._flushed_at = 0.0
        self._second = 0
        self._lines_in_second = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def add(self, line: str, is_urgent: bool) -> None:
        """Buffer a line, and write the buffer if it is due."""
        now = time.monotonic()
        if not self._has_rate_left(now, is_urgent):
            self.dropped += 1
            return
        self._lines_in_second += 1
        data = line.encode() + b"\n"
        if self._size + len(data) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self._lines.append(data)
            self._size += len(data)
        due = (
            now - self._flushed_at >= FLUSH_INTERVAL_S or self._size >= MAX_WRITE_BYTES
        )
        if is_urgent or due:
            self._flushed_at = now
            self.flush()

    def drop_if_over_rate(self, is_urgent: bool) -> bool:
        """Count a line as dropped if there is no room for it in this second."""
        if self._has_rate_left(time.monotonic(), is_urgent):
            return False
        self.dropped += 1
        return True

    def _has_rate_left(self, now: float, is_urgent: bool) -> bool:
        if int(now) != self._second:
            self._second = int(now)
            self._lines_in_second = 0
        max_lines = MAX_LINES_PER_S + (MAX_WARNINGS_PER_S if is_urgent else 0)
        return self._lines_in_second < max_lines

    def flush(self) -> None:
        """Write buffered lines while the output accepts them."""
        while self._lines:
            chunk = bytearray()
            while self._lines and len(chunk) + len(self._lines[0]) <= MAX_WRITE_BYTES:
                chunk += self._lines.popleft()
            if not chunk:
                # A longer line is truncated, since its write could block.
                chunk += self._lines.popleft()[: MAX_WRITE_BYTES - 1] + b"\n"
            if not self._write(bytes(chunk)):
                self._lines.appendleft(bytes(chunk))
                return

    def _write(self, chunk: bytes) -> bool:
        events = self._poll.poll(0)
        if not events or not events[0][1] & select.POLLOUT:
            return False
        try:
            written = os.write(self._descriptor, chunk)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the output; the lines are dropped and counted.
            self.dropped += chunk.count(b"\n")
            written = len(chunk)
        self._size -= written
        if written < len(chunk):
            self._lines.appendleft(chunk[written:])
        return True

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        count, self.dropped = self.dropped, 0
        return count


_output: BufferedOutput | None = None


def configure_logs(settings: LogSettings) -> None:
    """Send events to standard output, as JSON lines or as text."""
    logger.remove()
    if settings.format == "json":
        configure_json_logs(settings.level)
    else:
        text = "{time:HH:mm:ss.SSS} {level: <7} {extra[event]} {message}"
        logger.add(sys.stdout, level=settings.level, format=text)


def configure_json_logs(level: str) -> None:
    """Send events at or above a level to standard output as JSON lines."""
    global _output
    logger.remove()
    _output = BufferedOutput(sys.stdout.fileno(), logger.level(level).no)
    logger.add(_write_json, level=level, format="{message}")


def flush_logs() -> None:
    """Log how many lines were dropped, and write the buffered lines."""
    if _output is None:
        return
    dropped = _output.take_dropped()
    if dropped:
        log_event(LOG_LINES_DROPPED, count=dropped)
    _output.flush()


def log_event(event: Event, **fields: Any) -> None:
    """Log an event with its fields; a key's text must never be one of them."""
    if _output is not None:
        level = logger.level(event.level).no
        # A line that would be dropped is not formatted either.
        if level >= _output.level and _output.drop_if_over_rate(level >= WARNING_LEVEL):
            return
    bound = logger.bind(event=event.number, fields=fields)
    # The text is formatted here, since values may contain braces.
    bound.log(event.level, "{}", event.text.format(**fields))


def _write_json(message: Any) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["extra"].get("event"),
        "event_name": _NAMES.get(record["extra"].get("event"), ""),
        "message": record["message"],
        **record["extra"].get("fields", {}),
    }
    assert _output is not None
    is_urgent = record["level"].no >= WARNING_LEVEL
    _output.add(json.dumps(line, default=str), is_urgent)
