"""The operators' HTTP port: scripts change documents, questions are answered."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

from aiohttp import web
from briarshed.changes import (
    Context,
    Documents,
    Outcome,
    apply_script,
    describe_plan,
    describe_text,
    find_change,
    list_conflicts,
    select_statements,
)
from briarshed.commands import (
    ForgetMember,
    Script,
    Show,
    Target,
    changes_document,
    needs_key,
)
from briarshed.documents import CONFIGURATION_KEY, FLEET_KEY, MEMBERS_KEY, Change
from briarshed.events import (
    CHANGE_ACCEPTED,
    CHANGE_IN_FORCE,
    CHANGE_PENDING,
    CHANGE_REFUSED,
    OPERATOR_REJECTED,
)
from briarshed.findings import Finding, format_finding
from briarshed.keys import find_operator, make_key
from briarshed.language import parse_script
from briarshed.queries import (
    GATHERED_SUBJECTS,
    Row,
    Table,
    answer_part,
    answer_question,
    check_questions,
    list_changes,
    list_instances,
    list_keys,
    list_members,
    list_pools,
    list_queues,
    list_teams,
    list_waves,
    make_question,
    merge_parts,
    read_question,
)
from briarshed.settings import Settings
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from briarshed_entry.clock import now
from briarshed_entry.logs import log_event

if TYPE_CHECKING:
    from briarshed_entry.coordinator import Coordinator
    from briarshed_entry.replica import Replica
    from briarshed_entry.scheduler import Scheduler

CHANGE_ID_HEADER = "Briarshed-Change-Id"
DRY_RUN_HEADER = "Briarshed-Dry-Run"
MAX_SCRIPT_BYTES = 256 * 1024
MAX_CHANGE_ID_LENGTH = 64
MILLISECONDS = 1_000
MAX_NAMED_CHANGES = 3

_DOCUMENT_KEYS: dict[Target, str] = {
    "configuration": CONFIGURATION_KEY,
    "fleet": FLEET_KEY,
    "members": MEMBERS_KEY,
}


class Request(NamedTuple):
    """One authenticated request of an operator."""

    script: Script
    change_id: str
    who: str
    at: float


class Answer(NamedTuple):
    """Status and content of a response."""

    status: int
    content: dict[str, Any]


class Swap(NamedTuple):
    """An accepted change of one document.

    Attributes
    ----------
    version : int
        Version of the document with the change.
    rows : dict
        Line of each statement to its result row; empty for a repeated change.
    repeated : bool
        Whether the change was accepted before, under the same change id.
    """

    version: int
    rows: Mapping[int, Row]
    repeated: bool


class Refusal(NamedTuple):
    """A change that was not accepted, with the status of the response."""

    status: int
    reason: str


def make_application(
    settings: Settings, replica: Replica, coordinator: Coordinator, scheduler: Scheduler
) -> web.Application:
    """Return the application of the operators' port."""
    operators = _Operators(settings, replica, coordinator, scheduler)
    coordinator.answer_with(operators.answer_peer)
    application = web.Application(client_max_size=MAX_SCRIPT_BYTES)
    application.router.add_post("/operator/commands", operators.handle)
    return application


class _Operators:
    def __init__(
        self,
        settings: Settings,
        replica: Replica,
        coordinator: Coordinator,
        scheduler: Scheduler,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._coordinator = coordinator
        self._scheduler = scheduler
        self._running: set[asyncio.Task[Answer]] = set()

    async def handle(self, request: web.Request) -> web.Response:
        """Answer one request; a change goes on if the operator disconnects."""
        who = _find_who(self._settings, request)
        if who is None:
            log_event(OPERATOR_REJECTED)
            content = self._describe("the operator's key is missing or not recognized")
            return web.json_response(content, status=401)
        change_id = request.headers.get(CHANGE_ID_HEADER) or uuid.uuid4().hex
        if not _is_change_id(change_id):
            message = (
                f"{CHANGE_ID_HEADER} must have 1 to {MAX_CHANGE_ID_LENGTH} letters,"
                " digits, '.', '_' or '-'"
            )
            return web.json_response(self._describe(message), status=400)
        try:
            text = (await request.read()).decode()
        except UnicodeDecodeError:
            message = "the script is not UTF-8 text"
            return web.json_response(self._describe(message), status=400)
        dry_run = request.headers.get(DRY_RUN_HEADER, "false") == "true"
        task = asyncio.create_task(self._run(text, who, change_id, dry_run))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        answer = await asyncio.shield(task)
        headers = {CHANGE_ID_HEADER: change_id}
        return web.json_response(answer.content, status=answer.status, headers=headers)

    def answer_peer(self, question: Mapping[str, Any]) -> list[Row]:
        """Return this entry's part of the answer to another entry's question."""
        show = read_question(question)
        return answer_part(show, self._list_own(show.subject))

    async def _run(self, text: str, who: str, change_id: str, dry_run: bool) -> Answer:
        parsed = parse_script(text)
        if not is_successful(parsed):
            return self._report(parsed.failure())
        script = parsed.unwrap()
        findings = check_questions(script)
        if findings:
            return self._report(findings)
        script = script._replace(dry_run=script.dry_run or dry_run)
        request = Request(script, change_id, who, time.time())
        await self._replica.refresh()
        if not any(changes_document(item.command) for item in script.statements):
            return await self._finish(request, {}, {})
        answer = await self._change(request)
        if answer.status != 200:
            reason = answer.content["message"]
            log_event(CHANGE_REFUSED, who=who, reason=reason)
        return answer

    def _get_documents(self) -> Documents:
        replica = self._replica
        return Documents(replica.configuration, replica.fleet, replica.members)

    async def _change(self, request: Request) -> Answer:
        documents = self._get_documents()
        done = _list_done(request, documents)
        misused = _find_misused_id(request, done)
        if misused:
            return Answer(409, self._describe(misused))
        targets = _list_open_targets(request, documents, done)
        checked = self._apply(request, documents, targets)
        if not is_successful(checked):
            return self._report(checked.failure())
        if request.script.dry_run:
            rows = {line: _hide_key(row) for line, row in checked.unwrap().rows.items()}
            plan = describe_plan(documents, checked.unwrap().documents)
            return await self._finish(request, rows, {}, plan=plan)
        refusal = self._find_refusal(request) if targets else ""
        if refusal:
            return Answer(503, self._describe(refusal))
        return await self._swap_all(request, documents, targets, checked.unwrap(), done)

    def _apply(
        self, request: Request, documents: Documents, targets: Sequence[Target]
    ) -> Result[Outcome, tuple[Finding, ...]]:
        count = sum(needs_key(item.command) for item in request.script.statements)
        keys = [make_key() for _ in range(count)]
        context = Context(request.change_id, request.who, request.at, keys)
        return apply_script(request.script, documents, context, targets)

    def _find_refusal(self, request: Request) -> str:
        """Return why no change can be accepted now, or an empty text."""
        changing = [
            item.command
            for item in request.script.statements
            if changes_document(item.command)
        ]
        # Forgetting a member is how an operator ends such a blockade.
        if all(isinstance(command, ForgetMember) for command in changing):
            return ""
        blockers = self._coordinator.list_blockers()
        if not blockers:
            return ""
        return (
            "no change is accepted now, since these members may not learn of it:"
            f" {', '.join(blockers)}"
        )

    async def _swap_all(
        self,
        request: Request,
        base: Documents,
        targets: Sequence[Target],
        expected: Outcome,
        done: Mapping[Target, Change],
    ) -> Answer:
        rows = _describe_repeated(request, done)
        versions = {target: change["version"] for target, change in done.items()}
        for target in targets:
            changed = await self._swap(request, target, base, expected)
            if not is_successful(changed):
                return self._explain(changed.failure(), versions)
            swap = changed.unwrap()
            versions[target] = swap.version
            rows |= swap.rows
            if not swap.repeated:
                log_event(
                    CHANGE_ACCEPTED,
                    who=request.who,
                    document=target,
                    version=swap.version,
                    what=_get_own(request, target),
                )
        return await self._finish(request, rows, versions)

    def _explain(self, refusal: Refusal, versions: Mapping[Target, int]) -> Answer:
        message = refusal.reason
        if versions:
            done = ", ".join(f"{name} {number}" for name, number in versions.items())
            message = (
                f"a part of the script was accepted ({done}), the rest was not:"
                f" {refusal.reason}"
            )
        return Answer(refusal.status, self._describe(message, partly=dict(versions)))

    async def _swap(
        self, request: Request, target: Target, base: Documents, expected: Outcome
    ) -> Result[Swap, Refusal]:
        """Change one document; a change that lost a race to another is refused."""
        applied: list[Outcome] = []
        races: list[str] = []
        # The audit of a forgotten member is a part of the configuration's change.
        parts: tuple[Target, ...] = (target,)
        if target == "configuration":
            parts = ("configuration", "members")

        def apply(document: Any) -> Result[Any, str]:
            before = getattr(base, target)
            conflicts = list_conflicts(
                target, before, document, expected.touched[target]
            )
            if conflicts:
                races.append(_describe_race(target, before, document, conflicts))
                return Failure(races[-1])
            current = self._get_documents()._replace(**{target: document})
            outcome = self._apply(request, current, parts)
            if not is_successful(outcome):
                found = outcome.failure()
                races.append(_describe_late(target, before, document, found))
                return Failure(races[-1])
            applied.append(outcome.unwrap())
            return Success(getattr(applied[-1].documents, target))

        key = _DOCUMENT_KEYS[target]
        changed = await self._replica.change(key, apply, request.change_id)
        if not is_successful(changed):
            return Failure(Refusal(409 if races else 503, changed.failure()))
        version = changed.unwrap().value["version"]
        rows = applied[-1].rows if applied else {}
        return Success(Swap(version, rows, not applied))

    async def _finish(
        self,
        request: Request,
        rows: Mapping[int, Row],
        versions: Mapping[Target, int],
        **extra: Any,
    ) -> Answer:
        waiting = await self._wait_in_force(versions)
        results = []
        for statement in request.script.statements:
            result = {"line": statement.line, "command": statement.text}
            if isinstance(statement.command, Show):
                result |= await self._answer(statement.command, request.at)
            else:
                result |= rows.get(statement.line, {})
            results.append(result)
        content = self._describe("", results=results, **extra)
        content["accepted"] = bool(versions)
        content["in_force"] = bool(versions) and not waiting
        content["waiting_for"] = waiting
        return Answer(200, content)

    async def _wait_in_force(self, versions: Mapping[Target, int]) -> list[str]:
        timeout = self._settings.timing.in_force_timeout_ms / MILLISECONDS
        waits = {
            target: self._coordinator.wait_in_force(
                _DOCUMENT_KEYS[target], version, timeout
            )
            for target, version in versions.items()
            if target != "members"
        }
        found = await asyncio.gather(*waits.values())
        for target, members in zip(waits, found, strict=True):
            if members:
                event, extra = CHANGE_PENDING, {"members": ", ".join(members)}
            else:
                event, extra = CHANGE_IN_FORCE, {}
            log_event(event, document=target, version=versions[target], **extra)
        return sorted({name for members in found for name in members})

    async def _answer(self, show: Show, at: float) -> dict[str, Any]:
        if show.subject not in GATHERED_SUBJECTS:
            table = answer_question(show, self._list_own(show.subject), at)
            return _describe_table(table, [self._describe_part(self._find_age())], [])
        replies = await self._coordinator.gather(make_question(show))
        own = answer_part(show, self._list_own(show.subject))
        parts = [own]
        places = [self._describe_part(0.0)]
        for reply in replies:
            if reply.entry != self._settings.name:
                parts.append(reply.rows)
                places.append(
                    {
                        "entry": reply.entry,
                        "data_centre": reply.data_centre,
                        "age_s": round(reply.age, 3),
                    }
                )
        missing = self._list_unreached({place["entry"] for place in places})
        return _describe_table(merge_parts(show, parts), places, missing)

    def _describe_part(self, age: float | None) -> dict[str, Any]:
        settings = self._settings
        shown = None if age is None else round(age, 3)
        return {
            "entry": settings.name,
            "data_centre": settings.data_centre,
            "age_s": shown,
        }

    def _find_age(self) -> float | None:
        """Return seconds since the copies of the documents were last confirmed."""
        read_at = self._replica.read_at
        return None if read_at is None else now() - read_at

    def _list_unreached(self, answered: set[str]) -> list[dict[str, str]]:
        members = self._replica.members["members"]
        return [
            {"entry": name, "data_centre": member["data_centre"]}
            for name, member in sorted(members.items())
            if name not in answered
        ]

    def _list_own(self, subject: str) -> list[Row]:
        configuration, fleet, members = self._get_documents()
        match subject:
            case "jobs":
                entry = self._settings.name
                return [{**row, "entry": entry} for row in self._list_jobs()]
            case "instances":
                return list_instances(fleet)
            case "teams":
                return list_teams(configuration, self._coordinator.count_running)
            case "pools":
                return list_pools(configuration, fleet)
            case "queues":
                return list_queues(configuration)
            case "keys":
                return list_keys(configuration)
            case "waves":
                return list_waves(fleet)
            case "members":
                return list_members(members)
            case "changes":
                kept = {
                    "configuration": configuration["changes"],
                    "fleet": fleet["changes"],
                }
                return list_changes(kept)
            case _:
                return []

    def _list_jobs(self) -> list[Row]:
        return [dict(row) for row in self._scheduler.list_jobs()]

    def _report(self, findings: Any) -> Answer:
        text = "\n".join(format_finding(found) for found in findings)
        listed = [found._asdict() for found in findings]
        return Answer(400, self._describe(text, findings=listed))

    def _describe(self, message: str, **extra: Any) -> dict[str, Any]:
        return {
            "results": [],
            "accepted": False,
            "version": self._replica.configuration["version"],
            "fleet_version": self._replica.fleet["version"],
            "in_force": False,
            "waiting_for": [],
            "message": message,
            "findings": [],
            **extra,
        }


def _find_who(settings: Settings, request: web.Request) -> str | None:
    scheme, _, text = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not text.strip():
        return None
    return find_operator(settings.operators.keys, text.strip())


def _is_change_id(text: str) -> bool:
    plain = text.replace(".", "").replace("_", "").replace("-", "")
    return plain.isascii() and plain.isalnum() and len(text) <= MAX_CHANGE_ID_LENGTH


def _get_own(request: Request, target: Target) -> str:
    return describe_text(select_statements(request.script, target))


def _list_done(request: Request, documents: Documents) -> dict[Target, Change]:
    """Return the documents in which this change id has already taken effect."""
    found: dict[Target, Change | None] = {
        "configuration": find_change(documents.configuration, request.change_id),
        "fleet": find_change(documents.fleet, request.change_id),
    }
    return {target: change for target, change in found.items() if change is not None}


def _list_open_targets(
    request: Request, documents: Documents, done: Mapping[Target, Change]
) -> list[Target]:
    """Return the documents that are still to be changed, configuration first."""
    targets: list[Target] = []
    if "configuration" not in done and _get_own(request, "configuration"):
        targets.append("configuration")
    if "fleet" not in done and _get_own(request, "fleet"):
        targets.append("fleet")
    forgotten = [
        item.command.name
        for item in request.script.statements
        if isinstance(item.command, ForgetMember)
    ]
    if forgotten and not _are_forgotten(forgotten, documents, done):
        targets.append("members")
    return targets


def _are_forgotten(
    names: Sequence[str], documents: Documents, done: Mapping[Target, Change]
) -> bool:
    """Tell whether a repeated script has nothing left to forget.

    A member that registered again since then is another process and stays.
    """
    if "configuration" not in done:
        return False
    before = done["configuration"]["before"]
    members = documents.members["members"]
    return all(members.get(name) != before.get(f"members.{name}") for name in names)


def _find_misused_id(request: Request, done: Mapping[Target, Change]) -> str:
    """Return a message if the change id was used for another script."""
    for target, change in done.items():
        same_what = change["what"] == _get_own(request, target)
        if change["who"] != request.who or not same_what:
            return (
                f"change id '{request.change_id}' was already used for another script,"
                f" by {change['who']} in version {change['version']} of the {target}"
            )
    return ""


def _describe_repeated(
    request: Request, done: Mapping[Target, Change]
) -> dict[int, Row]:
    """Return result rows for the statements that were accepted before."""
    rows: dict[int, Row] = {}
    for target, change in done.items():
        before = change["before"]
        made = [
            name.partition(".")[2]
            for name in change["after"]
            if name.startswith("keys.") and before[name] is None
        ]
        key_ids = iter(made)
        for statement in select_statements(request.script, target):
            row: Row = {"note": f"already accepted as version {change['version']}"}
            if needs_key(statement.command):
                row["key_id"] = next(key_ids)
                row["note"] += (
                    "; the key's text was shown only then: if it is lost, withdraw the"
                    " key and create another"
                )
            rows[statement.line] = row
    return rows


def _hide_key(row: Row) -> Row:
    # A dry run stores no key, so the one made for the check would never work.
    return {name: value for name, value in row.items() if name not in ("key", "key_id")}


def _describe_race(target: Target, base: Any, document: Any, names: list[str]) -> str:
    listed = ", ".join(name.replace(".", " ", 1) for name in names)
    return (
        f"the script lost a race and changed nothing: {listed} changed meanwhile;"
        f" {_describe_position(target, base, document)}"
    )


def _describe_late(
    target: Target, base: Any, document: Any, findings: Sequence[Finding]
) -> str:
    text = "; ".join(format_finding(found) for found in findings)
    return (
        f"the script lost a race and changed nothing: {text};"
        f" {_describe_position(target, base, document)}"
    )


def _describe_position(target: Target, base: Any, document: Any) -> str:
    """Return the current version and who made the changes since the base."""
    newer = [
        f"{change['who']} in version {change['version']}: {change['what']}"
        for change in document.get("changes", [])
        if change["version"] > base["version"]
    ]
    came = f"; changed by {' and '.join(newer[-MAX_NAMED_CHANGES:])}" if newer else ""
    return f"the {target} is now at version {document['version']}{came}"


def _describe_table(
    table: Table, parts: list[dict[str, Any]], unreached: list[dict[str, str]]
) -> dict[str, Any]:
    return {
        "columns": list(table.columns),
        "rows": table.rows,
        "omitted": table.omitted,
        "parts": parts,
        "unreached": unreached,
    }
