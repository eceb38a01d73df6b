"""Log output of an entry: numbered events through loguru."""

from __future__ import annotations

import json
import sys
from typing import Any

from loguru import logger

from briarshed.events import Event, list_events
from briarshed.settings import LogSettings

_NAMES = {event.number: name for name, event in list_events().items()}


def configure_logs(settings: LogSettings) -> None:
    """Send events to standard error, as JSON lines or as readable text."""
    logger.remove()
    if settings.format == "json":
        logger.add(_write_json, level=settings.level, format="{message}")
    else:
        text = "{time:HH:mm:ss.SSS} {level: <7} {extra[event]} {message}"
        logger.add(sys.stderr, level=settings.level, format=text)


def log_event(event: Event, **fields: Any) -> None:
    """Log an event with its fields; a key's text must never be one of them."""
    bound = logger.bind(event=event.number, fields=fields)
    # The text is formatted here, since values may hold braces of their own.
    bound.log(event.level, "{}", event.text.format(**fields))


def _write_json(message: Any) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["extra"].get("event"),
        "event_name": _NAMES.get(record["extra"].get("event"), ""),
        "message": record["message"],
        **record["extra"].get("fields", {}),
    }
    print(json.dumps(line, default=str), file=sys.stderr, flush=True)
