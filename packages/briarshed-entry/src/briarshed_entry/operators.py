"""HTTP API for operators, who send scripts with changes and queries."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from aiohttp import web
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from briarshed.commands import Show, Target, changes_document
from briarshed.events import CHANGE_REFUSED, LOOP_FAILED, OPERATOR_REJECTED
from briarshed.exceptions import BodyTimeoutError, BodyTooLargeError, NoRoomError
from briarshed.findings import Finding, format_finding
from briarshed.keys import find_operator
from briarshed.language import parse_script
from briarshed.queries import check_queries
from briarshed.settings import Settings
from briarshed_entry._audit_trail import ReadPrefix
from briarshed_entry._operator_changes import (
    ChangeHandler,
    ChangeResult,
    Refused,
    Request,
)
from briarshed_entry._operator_queries import QueryHandler
from briarshed_entry.logs import log_event
from briarshed_entry.request_bodies import defer_continue, read_body

if TYPE_CHECKING:
    from briarshed_entry.coordinator import Coordinator
    from briarshed_entry.replica import Replica
    from briarshed_entry.scheduler import Scheduler

CHANGE_ID_HEADER = "Briarshed-Change-Id"
DRY_RUN_HEADER = "Briarshed-Dry-Run"
MAX_SCRIPT_BYTES = 256 * 1024
SCRIPT_TIMEOUT_S = 10.0
MAX_CHANGE_ID_LENGTH = 64
CLOSE_TIMEOUT_S = 15.0
"""Two changes of documents take at most 5 s each; the rest is a margin."""

_NOTHING_CHANGED = ChangeResult({}, False, {}, (), {})


def make_application(
    settings: Settings,
    replica: Replica,
    coordinator: Coordinator,
    scheduler: Scheduler,
    read_prefix: ReadPrefix | None = None,
) -> web.Application:
    """Return the web application for operators.

    Parameters
    ----------
    settings, replica, coordinator, scheduler
        Those of this entry.
    read_prefix : callable, optional
        ``store.read_prefix``, for changes that were moved out of the documents.
        Without it, only the changes in the documents are known.
    """
    queries = QueryHandler(settings, replica, coordinator, scheduler, read_prefix)
    changes = ChangeHandler(settings, replica, coordinator, read_prefix)
    coordinator.set_query_handler(queries.evaluate_for_peer)
    api = _OperatorApi(settings, replica, queries, changes)
    application = web.Application(client_max_size=MAX_SCRIPT_BYTES)
    application.router.add_post(
        "/operator/commands", api.handle, expect_handler=defer_continue
    )

    async def close(_application: web.Application) -> None:
        await api.close()
        await changes.close()

    application.on_cleanup.append(close)
    return application


class _OperatorApi:
    """Handles scripts and reports their results."""

    def __init__(
        self,
        settings: Settings,
        replica: Replica,
        queries: QueryHandler,
        changes: ChangeHandler,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._queries = queries
        self._changes = changes
        self._running: set[asyncio.Task[web.Response]] = set()

    async def handle(self, request: web.Request) -> web.Response:
        """Handle a request; a change continues if the operator disconnects."""
        who = _authenticate(self._settings, request)
        if who is None:
            log_event(OPERATOR_REJECTED)
            reason = "the operator's key is missing or not recognized"
            return self._refuse(Refused(401, reason))
        change_id = request.headers.get(CHANGE_ID_HEADER) or uuid.uuid4().hex
        read = await _read_text(request, change_id)
        if not is_successful(read):
            return self._refuse(read.failure())
        dry_run = request.headers.get(DRY_RUN_HEADER, "false") == "true"
        task = asyncio.create_task(self._run(read.unwrap(), who, change_id, dry_run))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        try:
            response = await asyncio.shield(task)
        except Exception as error:
            log_event(LOOP_FAILED, task="operators", error=repr(error))
            reason = "internal error: it is not known whether anything was changed"
            response = self._refuse(Refused(500, reason))
        response.headers[CHANGE_ID_HEADER] = change_id
        return response

    async def close(self) -> None:
        """Wait for running changes whose operators have disconnected."""
        if self._running:
            await asyncio.wait(self._running, timeout=CLOSE_TIMEOUT_S)

    async def _run(
        self, text: str, who: str, change_id: str, dry_run: bool
    ) -> web.Response:
        parsed = parse_script(text)
        if not is_successful(parsed):
            return self._report(parsed.failure())
        script = parsed.unwrap()
        findings = check_queries(script)
        if findings:
            return self._report(findings)
        script = script._replace(dry_run=script.dry_run or dry_run)
        request = Request(script, change_id, who, time.time())
        if not any(changes_document(item.command) for item in script.statements):
            await self._replica.refresh()
            return await self._describe(request, _NOTHING_CHANGED)
        change_result = await self._changes.execute(request)
        if not is_successful(change_result):
            refused = change_result.failure()
            log_event(CHANGE_REFUSED, who=who, reason=refused.reason)
            return self._refuse(refused)
        return await self._describe(request, change_result.unwrap())

    async def _describe(
        self, request: Request, change_result: ChangeResult
    ) -> web.Response:
        results = []
        for statement in request.script.statements:
            result = {"line": statement.line, "command": statement.text}
            if isinstance(statement.command, Show):
                result |= await self._queries.evaluate(statement.command, request.at)
            else:
                result |= change_result.rows.get(statement.line, {})
            results.append(result)
        content = {
            **self._make_content(change_result.versions),
            "results": results,
            "accepted": change_result.accepted,
            "in_force": change_result.accepted and not change_result.waiting_for,
            "waiting_for": list(change_result.waiting_for),
            **change_result.extra,
        }
        return web.json_response(content)

    def _report(self, findings: Sequence[Finding]) -> web.Response:
        reason = "; ".join(format_finding(found) for found in findings)
        return self._refuse(Refused(400, reason, findings))

    def _refuse(self, refused: Refused) -> web.Response:
        content = {
            **self._make_content(),
            "message": refused.reason,
            "findings": [found._asdict() for found in refused.findings],
            "partly": dict(refused.partly),
        }
        return web.json_response(content, status=refused.status)

    def _make_content(
        self, changed: Mapping[Target, int] = MappingProxyType({})
    ) -> Mapping[str, Any]:
        """Return the fields of every response.

        Versions are those with the change, or the current ones.
        """
        replica = self._replica
        return {
            "results": [],
            "accepted": False,
            "version": changed.get("configuration", replica.configuration["version"]),
            "fleet_version": changed.get("fleet", replica.fleet["version"]),
            "in_force": False,
            "waiting_for": [],
            "message": "",
            "findings": [],
        }


def _authenticate(settings: Settings, request: web.Request) -> str | None:
    scheme, _, text = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not text.strip():
        return None
    return find_operator(settings.operators.keys, text.strip())


async def _read_text(request: web.Request, change_id: str) -> Result[str, Refused]:
    if not _is_change_id(change_id):
        reason = (
            f"{CHANGE_ID_HEADER} must have 1 to {MAX_CHANGE_ID_LENGTH} letters, digits,"
            " '.', '_' or '-'"
        )
        return Failure(Refused(400, reason))
    try:
        body = await read_body(request, MAX_SCRIPT_BYTES, SCRIPT_TIMEOUT_S)
        return Success(body.decode())
    except UnicodeDecodeError:
        return Failure(Refused(400, "the script is not UTF-8 text"))
    except BodyTooLargeError:
        reason = f"a script has at most {MAX_SCRIPT_BYTES} bytes"
        return Failure(Refused(413, reason))
    except BodyTimeoutError as error:
        return Failure(Refused(408, str(error)))
    except NoRoomError as error:
        return Failure(Refused(503, str(error)))


def _is_change_id(text: str) -> bool:
    plain = text.replace(".", "").replace("_", "").replace("-", "")
    return plain.isascii() and plain.isalnum() and len(text) <= MAX_CHANGE_ID_LENGTH
