"""Evacuation of data centres by the operators' language."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from briarshed.findings import suggest_name

if TYPE_CHECKING:
    from briarshed.changes import _Transaction
    from briarshed.commands import EvacuateDataCentre, ReturnDataCentre, Statement
    from briarshed.documents import Fleet, Instance

Row = dict[str, Any]


def is_evacuated(fleet: Fleet, instance: Instance) -> bool:
    """Return whether no job may start at an instance, since an operator said so."""
    return instance["data_centre"] in fleet.get("evacuated", {})


def evacuate_data_centre(
    transaction: _Transaction, statement: Statement, command: EvacuateDataCentre
) -> Row:
    """Evacuate a data centre; the row shows what is left elsewhere."""
    name, fleet = command.name, transaction.fleet
    instances = fleet["instances"].values()
    known = {item["data_centre"] for item in instances}
    if name not in known:
        message = f"no instance is in data centre '{name}'"
        transaction.report(statement, "name", message, suggest_name(name, known))
        return {}
    if name in fleet["evacuated"]:
        message = f"data centre '{name}' is already evacuated"
        transaction.report(statement, "name", message)
        return {}
    context = transaction.context
    fleet["evacuated"][name] = {"since": context.at, "who": context.who}
    serving = [
        item["pool"]
        for item in instances
        if item["state"] == "serving" and not is_evacuated(fleet, item)
    ]
    pools = {item["pool"] for item in instances}
    return {
        "data_centre": name,
        "serving_elsewhere": len(serving),
        "pools_without_instances": sorted(pools.difference(serving)),
    }


def return_data_centre(
    transaction: _Transaction, statement: Statement, command: ReturnDataCentre
) -> Row:
    """Let jobs start in a data centre again."""
    if transaction.find(statement, "evacuated", command.name) is None:
        return {}
    del transaction.fleet["evacuated"][command.name]
    return {"data_centre": command.name}


def list_data_centres(fleet: Fleet) -> list[Row]:
    """Return a row for each data centre with an instance, or that is evacuated."""
    evacuated = fleet.get("evacuated", {})
    instances = [
        item for item in fleet["instances"].values() if item["state"] != "gone"
    ]
    rows = []
    for name in sorted({item["data_centre"] for item in instances} | set(evacuated)):
        states = [item["state"] for item in instances if item["data_centre"] == name]
        request = evacuated.get(name)
        rows.append(
            {
                "data_centre": name,
                "instances": len(states),
                "serving": states.count("serving"),
                "evacuated_since": request["since"] if request else None,
                "evacuated_by": request["who"] if request else None,
            }
        )
    return rows
