"""Changes by operators: scripts are checked as a whole and applied at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from briarshed.changes import (
    TARGETS,
    Context,
    Documents,
    Outcome,
    apply_script,
    describe_plan,
    describe_text,
    list_conflicts,
    list_dangling_pools,
    select_statements,
)
from briarshed.commands import ForgetMember, Script, Show, Target, needs_key
from briarshed.documents import CONFIGURATION_KEY, FLEET_KEY, MEMBERS_KEY, Change
from briarshed.events import (
    CHANGE_ACCEPTED,
    CHANGE_IN_FORCE,
    CHANGE_PENDING,
    CHANGE_REFUSED,
)
from briarshed.exceptions import StoreUnavailableError
from briarshed.findings import Finding, format_finding
from briarshed.keys import make_key
from briarshed.queries import Row, encode_query
from briarshed.settings import Settings
from briarshed_entry._audit_trail import ReadPrefix, read_changes
from briarshed_entry.logs import log_event

if TYPE_CHECKING:
    from briarshed_entry.coordinator import Coordinator
    from briarshed_entry.replica import Replica

MS_PER_S = 1_000
MAX_NAMED_CHANGES = 3

UNKNOWN_PREFIX = "unknown:"
"""Prefix of the reason why a change failed that may still take effect."""

REPEAT_WINDOW_S = 900.0
"""Age up to which a change id is searched for; operators repeat a command within
minutes.
"""

AUDIT_RETRY_INTERVAL_S = 1.0
MAX_AUDIT_ATTEMPTS = 1_800
"""Half an hour, the longest time for which a member can block changes unnoticed."""

_ANY_JOBS = Show("jobs", group=("state",))

_DOCUMENT_KEYS: dict[Target, str] = {
    "configuration": CONFIGURATION_KEY,
    "fleet": FLEET_KEY,
    "members": MEMBERS_KEY,
}


class Request(NamedTuple):
    """An operator's script; ``at`` is Unix time in seconds."""

    script: Script
    change_id: str
    who: str
    at: float


class ChangeResult(NamedTuple):
    """Result of an accepted script or a dry run.

    Attributes
    ----------
    rows : dict
        Result row of each statement, by its line.
    accepted : bool
        Whether something was changed; false for a dry run.
    versions : dict
        Version of each changed document with the change.
    waiting_for : sequence of str
        Members in which the change is not in force yet.
    extra : dict
        Additional fields of the response.
    """

    rows: Mapping[int, Row]
    accepted: bool
    versions: Mapping[Target, int]
    waiting_for: Sequence[str]
    extra: Mapping[str, Any]


class Refused(NamedTuple):
    """A script that was not accepted, or only in part."""

    status: int
    reason: str
    findings: Sequence[Finding] = ()
    partly: Mapping[Target, int] = {}


class _DocumentChange(NamedTuple):
    version: int
    rows: Mapping[int, Row]
    repeated: bool


class ChangeHandler:
    """Applies changes by operators on this entry."""

    def __init__(
        self,
        settings: Settings,
        replica: Replica,
        coordinator: Coordinator,
        read_prefix: ReadPrefix | None,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._coordinator = coordinator
        self._read_prefix = read_prefix
        self._audit_tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancel the pending writes of the audit trail."""
        for task in self._audit_tasks:
            task.cancel()
        await asyncio.gather(*self._audit_tasks, return_exceptions=True)

    async def execute(self, request: Request) -> Result[ChangeResult, Refused]:
        """Check a script against the documents and apply it."""
        store_reached = await self._replica.refresh()
        documents = self._get_documents()
        try:
            done = await self._list_done(request, documents)
        except StoreUnavailableError as error:
            return Failure(Refused(503, f"the store is not available: {error.message}"))
        misused = _find_misused_id(request, done)
        if misused:
            return Failure(Refused(409, misused))
        targets = [target for target in _list_targets(request) if target not in done]
        # A condition applies to any document that it names until the script has
        # changed that document.
        open_targets = [name for name in TARGETS if targets and name not in done]
        checked = self._apply(request, documents, open_targets)
        if not is_successful(checked):
            return Failure(_report(checked.failure()))
        outcome = checked.unwrap()
        if request.script.dry_run:
            rows = {line: _hide_key(row) for line, row in outcome.rows.items()}
            plan = describe_plan(documents, outcome.documents)
            return Success(ChangeResult(rows, False, {}, (), {"plan": plan}))
        if targets and not store_reached:
            reason = "the store is not available, so no change is accepted now"
            return Failure(Refused(503, reason))
        if "members" in targets:
            return await self._forget(request, documents, outcome)
        blockers = self._coordinator.list_blockers() if targets else []
        if blockers:
            return Failure(Refused(503, _describe_blockers(blockers)))
        return await self._change_documents(request, documents, outcome, targets, done)

    def _get_documents(self) -> Documents:
        replica = self._replica
        return Documents(replica.configuration, replica.fleet, replica.members)

    async def _list_done(
        self, request: Request, documents: Documents
    ) -> dict[Target, Change]:
        """Return the documents that already have a change with this id."""
        done: dict[Target, Change] = {}
        since = request.at - REPEAT_WINDOW_S
        for target in _list_targets(request):
            audit_target = _find_audit_target(target)
            document = getattr(documents, audit_target)
            changes, _ = await read_changes(
                self._read_prefix, audit_target, document, since
            )
            for change in changes:
                if change["id"] == request.change_id:
                    done[target] = change
        return done

    def _apply(
        self, request: Request, documents: Documents, targets: Sequence[Target]
    ) -> Result[Outcome, tuple[Finding, ...]]:
        count = sum(needs_key(item.command) for item in request.script.statements)
        keys = [make_key() for _ in range(count)]
        context = Context(request.change_id, request.who, request.at, keys)
        return apply_script(request.script, documents, context, targets)

    async def _change_documents(
        self,
        request: Request,
        base: Documents,
        expected: Outcome,
        targets: Sequence[Target],
        done: Mapping[Target, Change],
    ) -> Result[ChangeResult, Refused]:
        rows = _describe_repeated(request, done)
        versions = {
            _find_audit_target(target): change["version"]
            for target, change in done.items()
        }
        for target in targets:
            changed = await self._change_document(request, target, base, expected)
            if not is_successful(changed):
                return Failure(_describe_partial(changed.failure(), versions))
            document_change = changed.unwrap()
            versions[target] = document_change.version
            rows |= document_change.rows
            if not document_change.repeated:
                _log_accepted(request, target, document_change.version)
        await self._replica.refresh()
        warnings = list_dangling_pools(self._get_documents())
        waiting = await self._wait_in_force(versions)
        return Success(
            ChangeResult(rows, True, versions, waiting, {"warnings": warnings})
        )

    async def _change_document(
        self, request: Request, target: Target, base: Documents, expected: Outcome
    ) -> Result[_DocumentChange, Refused]:
        """Change one document; refuse the change if a concurrent one conflicts."""
        applied: list[Outcome] = []
        races: list[str] = []
        before = getattr(base, target)
        changed_objects = expected.changed_objects[target]

        def apply(document: Any) -> Result[Any, str]:
            conflicts = list_conflicts(target, before, document, changed_objects)
            if conflicts:
                races.append(_describe_race(target, before, document, conflicts))
                return Failure(races[-1])
            current = self._get_documents()._replace(**{target: document})
            outcome = self._apply(request, current, [target])
            if not is_successful(outcome):
                found = outcome.failure()
                races.append(_describe_late(target, before, document, found))
                return Failure(races[-1])
            applied.append(outcome.unwrap())
            return Success(getattr(applied[-1].documents, target))

        key = _DOCUMENT_KEYS[target]
        changed = await self._replica.change(key, apply, request.change_id)
        if not is_successful(changed):
            status = 409 if races else _find_status(changed.failure())
            return Failure(Refused(status, changed.failure()))
        document = changed.unwrap().value
        change = _find_change(document, request.change_id)
        if change is None:
            return Success(
                _DocumentChange(document["version"], applied[-1].rows, False)
            )
        # The document may hold later changes, so its version may be higher.
        version = change["version"]
        if change["at"] == request.at:
            return Success(_DocumentChange(version, applied[-1].rows, False))
        # The same change was applied by another entry, so its keys are valid and not
        # those that were generated here.
        return Success(
            _DocumentChange(
                version, _describe_repeated(request, {target: change}), True
            )
        )

    async def _wait_in_force(self, versions: Mapping[Target, int]) -> list[str]:
        timeout = self._settings.timing.in_force_timeout_ms / MS_PER_S
        waits = [
            self._coordinator.wait_in_force(_DOCUMENT_KEYS[target], version, timeout)
            for target, version in versions.items()
        ]
        found = await asyncio.gather(*waits)
        for (target, version), members in zip(versions.items(), found, strict=True):
            if members:
                names = ", ".join(members)
                log_event(
                    CHANGE_PENDING, document=target, version=version, members=names
                )
            else:
                log_event(CHANGE_IN_FORCE, document=target, version=version)
        return sorted({name for members in found for name in members})

    async def _forget(
        self, request: Request, base: Documents, expected: Outcome
    ) -> Result[ChangeResult, Refused]:
        """Remove members; blockers are not checked, since they may be among them.

        The members are changed first: the audit trail is in the configuration, which
        cannot be changed while a member that is to be removed blocks it.
        """
        refusal = await self._check_stopped(request)
        if refusal:
            return Failure(Refused(409, refusal))
        forgotten = False

        def forget(members: Any) -> Result[Any, str]:
            nonlocal forgotten
            current = base._replace(members=members)
            outcome = self._apply(request, current, ["members"])
            if is_successful(outcome):
                return Success(outcome.unwrap().documents.members)
            forgotten = True
            return Failure("the members have already been removed")

        changed = await self._replica.change(MEMBERS_KEY, forget, request.change_id)
        if not is_successful(changed) and not forgotten:
            reason = changed.failure()
            return Failure(Refused(_find_status(reason), reason))
        warnings = []
        failure = await self._write_audit(request, base)
        if failure:
            warnings.append(
                f"not yet in the audit trail: {failure}; this entry records it as"
                " soon as it can"
            )
            task = asyncio.create_task(self._retry_audit(request, base))
            self._audit_tasks.add(task)
            task.add_done_callback(self._audit_tasks.discard)
        return Success(
            ChangeResult(expected.rows, True, {}, (), {"warnings": warnings})
        )

    async def _check_stopped(self, request: Request) -> str:
        """Return the refusal if a member that is to be removed is still running.

        The members are queried now, since an entry that has just started has received
        nothing from any member yet.
        """
        replies = await self._coordinator.gather(encode_query(_ANY_JOBS))
        responding = {reply.entry for reply in replies}
        names = [item.command.name for item in request.script.statements]
        running = [name for name in names if name in responding]
        if not running:
            return ""
        return (
            f"{', '.join(running)} answers, so its process is not gone; stop it first"
        )

    async def _write_audit(self, request: Request, base: Documents) -> str:
        """Record the removal of members; return why it failed, or an empty string."""

        def record(configuration: Any) -> Result[Any, str]:
            current = base._replace(configuration=configuration)
            outcome = self._apply(request, current, ["members"]).unwrap()
            return Success(outcome.documents.configuration)

        key = CONFIGURATION_KEY
        changed = await self._replica.change(key, record, request.change_id)
        if not is_successful(changed):
            return changed.failure()
        change = _find_change(changed.unwrap().value, request.change_id)
        if change is not None:
            _log_accepted(request, "members", change["version"])
        return ""

    async def _retry_audit(self, request: Request, base: Documents) -> None:
        failure = ""
        for _ in range(MAX_AUDIT_ATTEMPTS):
            await asyncio.sleep(AUDIT_RETRY_INTERVAL_S)
            failure = await self._write_audit(request, base)
            if not failure:
                return
        reason = f"'{_get_own(request, 'configuration')}' is not recorded: {failure}"
        log_event(CHANGE_REFUSED, who=request.who, reason=reason)


def _find_change(document: Any, change_id: str) -> Change | None:
    for change in document["changes"]:
        if change["id"] == change_id:
            return change
    return None


def _list_targets(request: Request) -> list[Target]:
    """Return the documents that a script changes, the configuration first."""
    statements = request.script.statements
    if any(isinstance(item.command, ForgetMember) for item in statements):
        return ["members"]
    targets: tuple[Target, ...] = ("configuration", "fleet")
    return [target for target in targets if _get_own(request, target)]


def _find_audit_target(target: Target) -> Target:
    """Return the document whose audit trail records changes of a document."""
    return "configuration" if target == "members" else target


def _get_own(request: Request, target: Target) -> str:
    return describe_text(select_statements(request.script, target))


def _log_accepted(request: Request, target: Target, version: int) -> None:
    log_event(
        CHANGE_ACCEPTED,
        who=request.who,
        document=target,
        version=version,
        what=_get_own(request, _find_audit_target(target)),
    )


def _report(findings: Sequence[Finding]) -> Refused:
    return Refused(400, "; ".join(map(format_finding, findings)), findings)


def _find_status(reason: str) -> int:
    return 504 if reason.startswith(UNKNOWN_PREFIX) else 503


def _find_misused_id(request: Request, done: Mapping[Target, Change]) -> str:
    """Return a message if the change id was already used for another script."""
    for target, change in done.items():
        same_what = change["what"] == _get_own(request, _find_audit_target(target))
        if change["who"] != request.who or not same_what:
            return (
                f"change id '{request.change_id}' was already used for another script,"
                f" by {change['who']} in version {change['version']}"
            )
    return ""


def _describe_repeated(
    request: Request, done: Mapping[Target, Change]
) -> dict[int, Row]:
    """Return result rows for statements that have already been accepted."""
    rows: dict[int, Row] = {}
    for target, change in done.items():
        made = [
            name.partition(".")[2]
            for name in change["after"]
            if name.startswith("keys.") and change["before"][name] is None
        ]
        key_ids = iter(made)
        for statement in select_statements(request.script, _find_audit_target(target)):
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
    # A dry run stores no key, so a key generated for the check would not be valid.
    return {name: value for name, value in row.items() if name not in ("key", "key_id")}


def _describe_blockers(blockers: Sequence[str]) -> str:
    return (
        "no change is accepted by this entry now, since these members may not learn of"
        f" it: {', '.join(blockers)}"
    )


def _describe_partial(refused: Refused, versions: Mapping[Target, int]) -> Refused:
    if not versions:
        return refused
    done = ", ".join(f"{target} {version}" for target, version in versions.items())
    reason = f"a part was accepted ({done}), the rest was not: {refused.reason}"
    return refused._replace(reason=reason, partly=dict(versions))


def _describe_race(target: Target, base: Any, document: Any, names: list[str]) -> str:
    listed = ", ".join(name.replace(".", " ", 1) for name in names)
    return (
        f"the script lost a race: {listed} changed meanwhile;"
        f" {_describe_position(target, base, document)}"
    )


def _describe_late(
    target: Target, base: Any, document: Any, findings: Sequence[Finding]
) -> str:
    text = "; ".join(format_finding(found) for found in findings)
    return (
        f"the script lost a race: {text}; {_describe_position(target, base, document)}"
    )


def _describe_position(target: Target, base: Any, document: Any) -> str:
    """Return the current version and the latest changes since the base."""
    newer = [
        f"{change['who']} in version {change['version']}: {change['what']}"
        for change in document["changes"]
        if change["version"] > base["version"]
    ]
    came = f"; changed by {' and '.join(newer[-MAX_NAMED_CHANGES:])}" if newer else ""
    return f"the {target} is now at version {document['version']}{came}"
