"""Application of a script to the configuration, fleet and members documents."""

from __future__ import annotations

import copy
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from briarshed import commands
from briarshed.budgets import check_stop, count_unavailable
from briarshed.charts import advance, load_chart
from briarshed.commands import (
    Script,
    Statement,
    Target,
    changes_document,
    find_target,
)
from briarshed.documents import (
    Change,
    Configuration,
    Fleet,
    Members,
    encode_document,
)
from briarshed.evacuations import evacuate_data_centre, return_data_centre
from briarshed.findings import Finding, suggest_name
from briarshed.keys import NewKey
from briarshed.membership import remove_member

TARGETS: tuple[Target, ...] = ("configuration", "fleet", "members")
MAX_DOCUMENT_BYTES = 900_000
"""The store accepts values up to 1 MB; this leaves space for the base64 encoding."""

ACTIVE_WAVE_STATES = ("running", "paused", "halted")
MAX_PORT = 65_535

_SECTIONS: dict[Target, tuple[str, ...]] = {
    "configuration": ("pools", "teams", "queues", "keys"),
    "fleet": ("instances", "waves", "evacuated"),
    "members": ("members",),
}
_MINIMUMS = {
    "budget": 0,
    "slots": 1,
    "connections": 1,
    "port": 1,
    "limit": 0,
    "max_jobs": 1,
    "max_bytes": 1,
}
_KINDS = {
    "pools": "pool",
    "teams": "team",
    "queues": "queue",
    "keys": "key",
    "instances": "instance",
    "waves": "wave",
    "members": "member",
    "evacuated": "evacuated data centre",
}

_CONFLICT_FIELDS = {
    "instances": ("pool", "target_pool"),
    "waves": ("state",),
    "evacuated": ("since",),
}

Row = dict[str, Any]


class Documents(NamedTuple):
    """The documents that a script may read and change."""

    configuration: Configuration
    fleet: Fleet
    members: Members


class Context(NamedTuple):
    """Metadata of a change, for the audit trail.

    Attributes
    ----------
    change_id : str
        Id of the change; a change with the same id is applied only once.
    who : str
        Name of the operator.
    at : float
        Unix time in seconds.
    keys : sequence of NewKey
        A new key for each statement that needs one, in the order of the script.
    """

    change_id: str
    who: str
    at: float
    keys: Sequence[NewKey] = ()


class ObjectChange(NamedTuple):
    """An object before and after a change; None if it does not exist."""

    before: Any
    after: Any


class Outcome(NamedTuple):
    """Result of a script that has no findings.

    Attributes
    ----------
    documents : Documents
        The documents after the script; unchanged ones are equal to the originals.
    rows : dict
        Result row of each statement, by its line number.
    changed_objects : dict
        Objects changed in each document, by ``SECTION.NAME``.
    """

    documents: Documents
    rows: dict[int, Row]
    changed_objects: dict[Target, dict[str, ObjectChange]]


class _Transaction:
    """Copies of the documents, changed by the statements of one script in order."""

    def __init__(self, source: str, documents: Documents, context: Context) -> None:
        self.source = source
        self.original = documents
        self.configuration: Any = _copy_sections("configuration", documents[0])
        self.fleet: Any = _copy_sections("fleet", documents[1])
        self.members: Any = _copy_sections("members", documents[2])
        self.context = context
        self.keys = iter(context.keys)
        self.findings: list[Finding] = []

    def get_section(self, name: str) -> dict[str, Any]:
        """Return the objects of a section by name."""
        for target, sections in _SECTIONS.items():
            if name in sections:
                return getattr(self, target)[name]
        raise KeyError(name)

    def report(
        self,
        statement: Statement,
        field: str,
        message: str,
        hint: str = "",
        index: int = 0,
    ) -> None:
        """Add a finding at the position of a field's value."""
        columns = statement.columns.get(field, ())
        column = columns[index] if index < len(columns) else statement.column
        found = Finding(self.source, statement.line, column, message, hint)
        self.findings.append(found)

    def find(
        self,
        statement: Statement,
        section: str,
        name: str,
        field: str = "name",
        index: int = 0,
    ) -> Any:
        """Return an object, or None after a finding that suggests a similar name."""
        objects = self.get_section(section)
        if name not in objects:
            message = f"unknown {_KINDS[section]} '{name}'"
            self.report(statement, field, message, suggest_name(name, objects), index)
        return objects.get(name)

    def check_new(self, statement: Statement, section: str, name: str) -> bool:
        """Return whether a name is not used yet; add a finding if it is."""
        if name in self.get_section(section):
            kind = _KINDS[section]
            message = f"{kind} '{name}' already exists"
            hint = f"write 'change {kind}'" if section in ("pools", "teams") else ""
            self.report(statement, "name", message, hint)
            return False
        return True

    def check_numbers(self, statement: Statement) -> None:
        """Add findings for numbers that are out of range."""
        for field, value in statement.command._asdict().items():
            minimum = _MINIMUMS.get(field)
            if minimum is not None and value is not None and value < minimum:
                message = f"{field.replace('_', '-')} must be at least {minimum}"
                self.report(statement, field, message)
            if field == "port" and value is not None and value > MAX_PORT:
                self.report(statement, field, f"port must be at most {MAX_PORT}")
            if field == "share" and value is not None and value <= 0:
                self.report(statement, field, "share must be above 0")


def _copy_sections(target: Target, document: Any) -> Any:
    copied = {name: copy.deepcopy(document.get(name, {})) for name in _SECTIONS[target]}
    return {**document, **copied}


def apply_script(
    script: Script,
    documents: Documents,
    context: Context,
    targets: Collection[Target] = TARGETS,
) -> Result[Outcome, tuple[Finding, ...]]:
    """Apply the statements of a script in order.

    Parameters
    ----------
    script : Script
        A parsed script.
    documents : Documents
        The documents before; they are not modified.
    context : Context
        Metadata for the audit trail.
    targets : collection
        Only statements that change or check these documents are applied.

    Returns
    -------
    Result
        The outcome, or all findings; a script with findings changes nothing.
    """
    transaction = _Transaction(script.source, documents, context)
    rows: dict[int, Row] = {}
    chosen = [item for item in script.statements if _is_chosen(item, targets)]
    _check_forget_member(transaction, script)
    for statement in chosen:
        handler = _HANDLERS[type(statement.command)]
        rows[statement.line] = handler(transaction, statement, statement.command) or {}
    if transaction.findings:
        return Failure(tuple(transaction.findings))
    changed_objects = {
        target: _list_changed_objects(transaction, target) for target in TARGETS
    }
    changed = _record(transaction, chosen, changed_objects)
    too_large = _find_oversized(script, changed)
    if too_large:
        return Failure((too_large,))
    return Success(Outcome(changed, rows, changed_objects))


def list_dangling_pools(documents: Documents) -> list[str]:
    """Return a warning for each instance whose pool was deleted concurrently.

    The pool and the instance are in two documents, so no single write can check both.
    """
    pools = documents.configuration["pools"]
    return [
        f"pool '{pool}' of instance '{name}' was deleted at the same time: create the"
        " pool again, or move or remove the instance"
        for name, instance in documents.fleet["instances"].items()
        for pool in (instance["pool"], instance["target_pool"])
        if pool is not None and pool not in pools
    ]


def list_conflicts(
    target: Target, base: Any, current: Any, changed_objects: Iterable[str]
) -> list[str]:
    """Return the changed objects that another change has modified since the base.

    Lifecycle states and the progress of waves are ignored, since maintenance changes
    them all the time; the commands check them themselves.
    """
    if base["version"] == current["version"] or target == "members":
        return []
    names = [name for name in changed_objects if not name.startswith("members.")]
    return [
        name
        for name in names
        if _find_conflict_fields(base, name) != _find_conflict_fields(current, name)
    ]


def describe_text(statements: Iterable[Statement]) -> str:
    """Return the statements that change a document, as text for the audit trail."""
    kept = [item.text for item in statements if changes_document(item.command)]
    return "; ".join(kept)


def select_statements(script: Script, target: Target) -> list[Statement]:
    """Return the statements whose changes are recorded in a document."""
    return [item for item in script.statements if _find_audit_document(item) == target]


def describe_plan(before: Documents, after: Documents) -> dict[str, Any]:
    """Return what a script would cost: moves, stops and unavailable instances.

    A stop is the drain and reboot of one instance, by a move or a wave. A wave uses the
    whole budget, so its pool may have that many instances out of service at once.
    """
    old, new = before.fleet["instances"], after.fleet["instances"]
    moved = [
        name
        for name, instance in new.items()
        if name in old and instance["target_pool"] != old[name]["target_pool"]
    ]
    pending = [
        name for name in _list_pending(after) - _list_pending(before) if name in new
    ]
    now, at_once = count_unavailable(before.fleet), count_unavailable(after.fleet)
    pools = []
    for name, pool in after.configuration["pools"].items():
        waiting = sum(new[item]["pool"] == name for item in pending)
        stops = waiting + sum(new[item]["pool"] == name for item in moved)
        out = at_once.get(name, 0)
        most = max(out, min(pool["budget"], out + waiting))
        if stops or most != now.get(name, 0):
            row = {"pool": name, "budget": pool["budget"], "stops": stops}
            out_now = {"unavailable": now.get(name, 0), "unavailable_at_most": most}
            pools.append(row | out_now)
    return {"moves": len(moved), "stops": len(moved) + len(pending), "pools": pools}


def _list_pending(documents: Documents) -> set[str]:
    return {
        name
        for wave in documents.fleet["waves"].values()
        if wave["state"] in ACTIVE_WAVE_STATES
        for name in wave["pending"]
    }


def _find_conflict_fields(document: Any, name: str) -> Any:
    section, _, key = name.partition(".")
    found = document.get(section, {}).get(key)
    if found is None or section not in _SECTIONS["fleet"]:
        return found
    return tuple(found[field] for field in _CONFLICT_FIELDS[section])


def _is_chosen(statement: Statement, targets: Collection[Target]) -> bool:
    target = find_target(statement.command)
    return target is not None and target in targets


def _check_forget_member(transaction: _Transaction, script: Script) -> None:
    # This command must work while members block all other changes.
    forget_statements = [
        item
        for item in script.statements
        if isinstance(item.command, commands.ForgetMember)
    ]
    if forget_statements and len(forget_statements) < len(script.statements):
        message = "'forget member' must stand in a script of its own"
        transaction.report(forget_statements[0], "", message)


def _find_audit_document(statement: Statement) -> Target | None:
    # The members document has no audit trail; the configuration records its changes.
    target = find_target(statement.command)
    return "configuration" if target == "members" else target


def _list_changed_objects(
    transaction: _Transaction, target: Target
) -> dict[str, ObjectChange]:
    original = getattr(transaction.original, target)
    changed = getattr(transaction, target)
    changed_objects = {}
    for section in _SECTIONS[target]:
        before, after = original.get(section, {}), changed[section]
        for name in {**before, **after}:
            change = ObjectChange(before.get(name), after.get(name))
            if change.before != change.after:
                changed_objects[f"{section}.{name}"] = change
    return changed_objects


def _record(
    transaction: _Transaction,
    statements: Sequence[Statement],
    changed_objects: dict[Target, dict[str, ObjectChange]],
) -> Documents:
    audited = {
        "configuration": {
            **changed_objects["configuration"],
            **changed_objects["members"],
        },
        "fleet": changed_objects["fleet"],
    }
    result: dict[str, Any] = {}
    for target, objects in audited.items():
        original = getattr(transaction.original, target)
        own = [item for item in statements if _find_audit_document(item) == target]
        if not describe_text(own):
            result[target] = original
            continue
        version = original["version"] + 1
        change: Change = {
            "id": transaction.context.change_id,
            "version": version,
            "at": transaction.context.at,
            "who": transaction.context.who,
            "what": describe_text(own),
            "before": {name: _redact(item.before) for name, item in objects.items()},
            "after": {name: _redact(item.after) for name, item in objects.items()},
        }
        changed = getattr(transaction, target)
        changes = [*original["changes"], change]
        result[target] = {**changed, "version": version, "changes": changes}
    members = transaction.original.members
    if changed_objects["members"]:
        members = {**transaction.members, "version": members["version"] + 1}
    return Documents(result["configuration"], result["fleet"], members)


def _redact(value: Any) -> Any:
    # The audit trail is kept longer than a key, so it must not have the key's hash.
    if isinstance(value, dict) and "hash" in value:
        return {name: item for name, item in value.items() if name != "hash"}
    return value


def _find_oversized(script: Script, documents: Documents) -> Finding | None:
    for target in ("configuration", "fleet"):
        size = len(encode_document(getattr(documents, target)))
        if size > MAX_DOCUMENT_BYTES:
            line = next(
                item.line for item in script.statements if _find_audit_document(item)
            )
            message = (
                f"the {target} would take {size} bytes in the store, which holds"
                f" {MAX_DOCUMENT_BYTES}"
            )
            return Finding(script.source, line, 1, message, "split the script")
    return None


def _create_pool(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    transaction.check_new(statement, "pools", command.name)
    transaction.check_numbers(statement)
    if command.spare:
        _check_spare(transaction, statement, command.name)
    pools = transaction.configuration["pools"]
    pools[command.name] = _drop_name(command._asdict())
    return {"pool": command.name}


def _change_pool(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    transaction.check_numbers(statement)
    pool = transaction.find(statement, "pools", command.name)
    if command.spare:
        _check_spare(transaction, statement, command.name)
    if pool is not None:
        pool.update(_drop_unset(command))
    return {"pool": command.name}


def _delete_pool(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    transaction.find(statement, "pools", command.name)
    used = [
        name
        for name, queue in transaction.configuration["queues"].items()
        if queue["pool"] == command.name
    ]
    if used:
        message = f"pool '{command.name}' is still used by {_join('queue', used)}"
        transaction.report(statement, "name", message)
    # The configuration is written before the fleet, so instances that the same script
    # removes would be in a pool that does not exist for a short time.
    pool_instances = [
        name
        for name, instance in transaction.original.fleet["instances"].items()
        if command.name in (instance["pool"], instance["target_pool"])
    ]
    if pool_instances:
        message = f"pool '{command.name}' still has {_join('instance', pool_instances)}"
        hint = "move or remove them in a script of their own first"
        transaction.report(statement, "name", message, hint)
    transaction.configuration["pools"].pop(command.name, None)
    return {"pool": command.name}


def _check_spare(transaction: _Transaction, statement: Statement, name: str) -> None:
    for other, pool in transaction.configuration["pools"].items():
        if pool["spare"] and other != name:
            message = f"pool '{other}' is already the spare pool"
            hint = f"write 'change pool {other} not spare' first"
            transaction.report(statement, "spare", message, hint)


def _create_team(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    transaction.check_new(statement, "teams", command.name)
    transaction.check_numbers(statement)
    transaction.configuration["teams"][command.name] = _drop_name(command._asdict())
    return {"team": command.name}


def _change_team(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    transaction.check_numbers(statement)
    team = transaction.find(statement, "teams", command.name)
    row = {"team": command.name}
    if team is None:
        return row
    if command.limit is not None and command.limit < team["limit"]:
        row["note"] = (
            "the lower limit is in force when the running jobs above it have ended,"
            " at the latest after the longest task lease"
        )
    team.update(_drop_unset(command))
    return row


def _delete_team(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    transaction.find(statement, "teams", command.name)
    queues = [
        name
        for name, queue in transaction.configuration["queues"].items()
        if command.name in queue["teams"]
    ]
    if queues:
        message = f"team '{command.name}' is still named by {_join('queue', queues)}"
        transaction.report(statement, "name", message)
    owned = [
        name
        for name, key in transaction.configuration["keys"].items()
        if key["team"] == command.name
    ]
    if owned:
        message = f"team '{command.name}' still has {_join('key', owned)}"
        transaction.report(statement, "name", message, "withdraw them first")
    transaction.configuration["teams"].pop(command.name, None)
    return {"team": command.name}


def _create_queue(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    transaction.check_new(statement, "queues", command.name)
    transaction.check_numbers(statement)
    _check_queue(transaction, statement, command)
    queue = {**_drop_name(command._asdict()), "teams": [*command.teams]}
    _check_open(transaction, statement, queue)
    transaction.configuration["queues"][command.name] = queue
    return {"queue": command.name}


def _change_queue(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    transaction.check_numbers(statement)
    _check_queue(transaction, statement, command)
    queue = transaction.find(statement, "queues", command.name)
    if queue is not None:
        queue.update(_drop_unset(command))
        queue["teams"] = [*queue["teams"]]
        _check_open(transaction, statement, queue)
    return {"queue": command.name}


def _check_queue(transaction: _Transaction, statement: Statement, command: Any) -> None:
    if command.pool is not None:
        transaction.find(statement, "pools", command.pool, "pool")
    for index, team in enumerate(command.teams or ()):
        transaction.find(statement, "teams", team, "teams", index)
        if team in command.teams[:index]:
            message = f"team '{team}' is given more than once"
            transaction.report(statement, "teams", message, index=index)


def _check_open(transaction: _Transaction, statement: Statement, queue: Any) -> None:
    if queue["open"] and queue["teams"]:
        message = "a queue that is open to all takes no teams"
        field = "teams" if "teams" in statement.columns else "open"
        transaction.report(statement, field, message, "write 'closed' or 'teams all'")


def _delete_queue(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    transaction.find(statement, "queues", command.name)
    transaction.configuration["queues"].pop(command.name, None)
    return {"queue": command.name}


def _create_key(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    transaction.find(statement, "teams", command.team, "team")
    expires_at = None
    if command.expires is not None:
        expires_at = transaction.context.at + command.expires
    return _add_key(transaction, command.team, expires_at)


def _withdraw_key(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    key = transaction.find(statement, "keys", command.name)
    transaction.configuration["keys"].pop(command.name, None)
    return {"key_id": command.name, "team": key["team"] if key else ""}


def _rotate_key(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    key = transaction.find(statement, "keys", command.name)
    if key is None:
        return {}
    ends_at = transaction.context.at + command.overlap
    if key["expires_at"] is not None and key["expires_at"] <= transaction.context.at:
        transaction.report(
            statement, "name", f"key '{command.name}' has already expired"
        )
    row = _add_key(transaction, key["team"], None)
    key["expires_at"] = min(ends_at, key["expires_at"] or ends_at)
    return {**row, "replaces": command.name, "replaced_expires_at": key["expires_at"]}


def _add_key(transaction: _Transaction, team: str, expires_at: float | None) -> Row:
    new_key = next(transaction.keys)
    key = {"hash": new_key.hash, "team": team, "expires_at": expires_at}
    transaction.configuration["keys"][new_key.key_id] = key
    row = {"key_id": new_key.key_id, "key": new_key.text, "team": team}
    return row if expires_at is None else {**row, "expires_at": expires_at}


def _add_instance(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    instances = transaction.fleet["instances"]
    existing = instances.get(command.name)
    if existing is not None and existing["pool"] != command.pool:
        message = f"instance '{command.name}' is already in pool '{existing['pool']}'"
        hint = f"write 'move instance {command.name} to pool {command.pool}'"
        transaction.report(statement, "name", message, hint)
    elif existing is not None:
        transaction.check_new(statement, "instances", command.name)
    transaction.find(statement, "pools", command.pool, "pool")
    _check_address(transaction, statement, command)
    instances[command.name] = {
        "pool": command.pool,
        "state": load_chart("lifecycle").initial,
        "rack": command.rack,
        "data_centre": command.data_centre,
        "address": command.address,
        "since": transaction.context.at,
        "target_pool": None,
        "wave": None,
        "operation": None,
    }
    return {"instance": command.name, "pool": command.pool}


def _check_address(
    transaction: _Transaction, statement: Statement, command: Any
) -> None:
    host, _, port = command.address.rpartition(":")
    parts = host.split(".") if not host.startswith("[") else []
    if any(int(part) > 255 for part in parts) or not 1 <= int(port) <= MAX_PORT:
        transaction.report(
            statement, "address", f"'{command.address}' is not an address"
        )
    for name, instance in transaction.fleet["instances"].items():
        if instance["address"] == command.address and name != command.name:
            message = f"address {command.address} belongs to instance '{name}'"
            transaction.report(statement, "address", message)
    for name, instance in transaction.fleet["instances"].items():
        elsewhere = instance["data_centre"] != command.data_centre
        if instance["rack"] == command.rack and elsewhere:
            message = (
                f"rack '{command.rack}' is in data centre"
                f" '{instance['data_centre']}', see instance '{name}'"
            )
            transaction.report(statement, "rack", message)
            break


def _remove_instance(
    transaction: _Transaction, statement: Statement, command: Any
) -> Row:
    instance = transaction.find(statement, "instances", command.name)
    if instance is not None and instance["state"] in ("draining", "rebooting"):
        message = f"instance '{command.name}' is {instance['state']}"
        hint = "wait until the platform's operation on it has ended"
        transaction.report(statement, "name", message, hint)
    transaction.fleet["instances"].pop(command.name, None)
    for wave in transaction.fleet["waves"].values():
        if command.name in wave["pending"]:
            wave["pending"].remove(command.name)
    return {
        "instance": command.name,
        "note": "jobs that still run on it end at the latest after the longest task"
        " lease; it may be switched off then",
    }


def _move_instance(
    transaction: _Transaction, statement: Statement, command: Any
) -> Row:
    instance = transaction.find(statement, "instances", command.name)
    transaction.find(statement, "pools", command.pool, "pool")
    if instance is None:
        return {}
    name, source = command.name, instance["pool"]
    if source == command.pool:
        transaction.report(
            statement, "pool", f"instance '{name}' is already in that pool"
        )
    rejection = check_stop(
        transaction.configuration, transaction.fleet, name, command.pool
    )
    if rejection:
        transaction.report(statement, "name", rejection)
        return {}
    instance["state"] = advance(load_chart("lifecycle"), instance["state"], "leave")
    instance["target_pool"] = command.pool
    instance["since"] = transaction.context.at
    return {"instance": name, "from_pool": source, "to_pool": command.pool}


def _start_wave(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    for index, pool in enumerate(command.pools):
        transaction.find(statement, "pools", pool, "pools", index)
    chosen = [
        name
        for name, instance in transaction.fleet["instances"].items()
        if instance["pool"] in command.pools
    ]
    return _add_wave(transaction, statement, command.name, chosen, "pools")


def _take_out_rack(
    transaction: _Transaction, statement: Statement, command: Any
) -> Row:
    return _take_out(transaction, statement, command.name, "rack")


def _take_out_data_centre(
    transaction: _Transaction, statement: Statement, command: Any
) -> Row:
    return _take_out(transaction, statement, command.name, "data_centre")


def _take_out(
    transaction: _Transaction, statement: Statement, name: str, field: str
) -> Row:
    instances = transaction.fleet["instances"]
    chosen = [key for key, item in instances.items() if item[field] == name]
    if not chosen:
        known = {item[field] for item in instances.values()}
        message = f"no instance is in {field.replace('_', ' ')} '{name}'"
        transaction.report(statement, "name", message, suggest_name(name, known))
        return {}
    wave = f"{field.replace('_', '-')}-{name}"
    return _add_wave(transaction, statement, wave, chosen, "name")


def _add_wave(
    transaction: _Transaction,
    statement: Statement,
    name: str,
    chosen: list[str],
    field: str,
) -> Row:
    existing = transaction.fleet["waves"].get(name)
    if existing is not None and existing["state"] in ACTIVE_WAVE_STATES:
        message = f"wave '{name}' is already {existing['state']}"
        transaction.report(statement, "name", message)
    for other, wave in transaction.fleet["waves"].items():
        overlapping = sorted(set(chosen) & set(wave["pending"]))
        if other != name and wave["state"] in ACTIVE_WAVE_STATES and overlapping:
            message = f"wave '{other}' already covers {_join('instance', overlapping)}"
            transaction.report(statement, field, message)
    if not chosen:
        transaction.report(statement, field, "these pools have no instance")
    instances = transaction.fleet["instances"]
    ordered = sorted(
        chosen,
        key=lambda item: (
            instances[item]["data_centre"],
            instances[item]["rack"],
            item,
        ),
    )
    wave = {"state": "running", "pending": ordered, "done": [], "reason": ""}
    transaction.fleet["waves"][name] = wave
    return {"wave": name, "instances": len(ordered)}


def _pause_wave(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    return _set_wave_state(transaction, statement, ("running",), "paused")


def _resume_wave(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    return _set_wave_state(transaction, statement, ("paused", "halted"), "running")


def _stop_wave(transaction: _Transaction, statement: Statement, command: Any) -> Row:
    return _set_wave_state(transaction, statement, ACTIVE_WAVE_STATES, "stopped")


def _set_wave_state(
    transaction: _Transaction,
    statement: Statement,
    allowed: tuple[str, ...],
    state: str,
) -> Row:
    name = statement.command.name
    wave = transaction.find(statement, "waves", name)
    if wave is None:
        return {}
    if wave["state"] not in allowed:
        transaction.report(statement, "name", f"wave '{name}' is {wave['state']}")
    wave["state"] = state
    if state == "running":
        wave["reason"] = ""
    return {"wave": name, "state": state}


def _forget_member(
    transaction: _Transaction, statement: Statement, command: Any
) -> Row:
    member = transaction.find(statement, "members", command.name)
    if member is None:
        return {}
    transaction.members = remove_member(
        transaction.members, command.name, transaction.context.at
    )
    return {"member": command.name, "incarnation": member["incarnation"]}


def _require_version(
    transaction: _Transaction, statement: Statement, command: Any
) -> Row:
    version = getattr(transaction.original, command.document)["version"]
    if version != command.version:
        message = f"the {command.document} is at version {version}"
        transaction.report(statement, "version", message)
    return {"document": command.document, "version": version}


def _drop_name(values: dict[str, Any]) -> dict[str, Any]:
    return {field: value for field, value in values.items() if field != "name"}


def _drop_unset(command: Any) -> dict[str, Any]:
    values = _drop_name(command._asdict())
    return {field: value for field, value in values.items() if value is not None}


def _join(kind: str, names: Sequence[str], shown: int = 3) -> str:
    plural = kind if len(names) == 1 else f"{kind}s"
    rest = f" and {len(names) - shown} more" if len(names) > shown else ""
    return f"{plural} {', '.join(names[:shown])}{rest}"


_HANDLERS: dict[type, Callable[[_Transaction, Statement, Any], Row]] = {
    commands.CreatePool: _create_pool,
    commands.ChangePool: _change_pool,
    commands.DeletePool: _delete_pool,
    commands.CreateTeam: _create_team,
    commands.ChangeTeam: _change_team,
    commands.DeleteTeam: _delete_team,
    commands.CreateQueue: _create_queue,
    commands.ChangeQueue: _change_queue,
    commands.DeleteQueue: _delete_queue,
    commands.CreateKey: _create_key,
    commands.WithdrawKey: _withdraw_key,
    commands.RotateKey: _rotate_key,
    commands.AddInstance: _add_instance,
    commands.RemoveInstance: _remove_instance,
    commands.MoveInstance: _move_instance,
    commands.StartWave: _start_wave,
    commands.PauseWave: _pause_wave,
    commands.ResumeWave: _resume_wave,
    commands.StopWave: _stop_wave,
    commands.TakeOutRack: _take_out_rack,
    commands.TakeOutDataCentre: _take_out_data_centre,
    commands.EvacuateDataCentre: evacuate_data_centre,
    commands.ReturnDataCentre: return_data_centre,
    commands.ForgetMember: _forget_member,
    commands.RequireVersion: _require_version,
}
