"""Availability budgets: which planned stops a pool permits now."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from briarshed.documents import Configuration, Fleet, Instance
from briarshed.evacuations import is_evacuated

IN_SERVICE = "serving"
REMOVED = "gone"
STOPPING_STATES = frozenset({"leaving", "draining", "rebooting", "returning"})
"""States of an instance between the start of a planned stop and its end."""


def list_pool_instances(fleet: Fleet, pool: str) -> Iterator[tuple[str, Instance]]:
    """Yield the instances that count against a pool's budget.

    An instance that moves to another pool counts against both from the start of the
    move, since its pool changes while it is out of service.
    """
    for name, instance in fleet["instances"].items():
        if instance["state"] != REMOVED and pool in _list_pools(instance):
            yield name, instance


def _list_pools(instance: Instance) -> tuple[str, ...]:
    target = instance["target_pool"]
    if target is None or instance["state"] not in STOPPING_STATES:
        return (instance["pool"],)
    return (instance["pool"], target)


class Outages(NamedTuple):
    """Number of instances by pool, without zeros.

    Attributes
    ----------
    unavailable : dict
        Instances that are out of service, or at which no job starts since their data
        centre is evacuated.
    out_of_service : dict
        Those of them that are out of service.
    """

    unavailable: dict[str, int]
    out_of_service: dict[str, int]

    def select(self, fleet: Fleet, instance: Instance) -> Mapping[str, int]:
        """Return the counts that limit a stop of an instance.

        One in an evacuated data centre is unavailable before and after it.
        """
        if is_evacuated(fleet, instance):
            return self.out_of_service
        return self.unavailable

    def add(self, fleet: Fleet, instance: Instance, pool: str) -> None:
        """Count an instance that goes out of service against its pool or its target.

        One in an evacuated data centre is unavailable in its own pool before.
        """
        self.out_of_service[pool] = self.out_of_service.get(pool, 0) + 1
        if pool != instance["pool"] or not is_evacuated(fleet, instance):
            self.unavailable[pool] = self.unavailable.get(pool, 0) + 1


def count_outages(fleet: Fleet) -> Outages:
    """Return the number of instances that do not serve, by pool."""
    return Outages(
        count_unavailable(fleet),
        _count(fleet, lambda instance: instance["state"] != IN_SERVICE),
    )


def count_unavailable(fleet: Fleet) -> dict[str, int]:
    """Return the number of unavailable instances by pool, without zeros.

    Those in evacuated data centres count too, since no job starts there.
    """
    return _count(fleet, lambda instance: not is_available(fleet, instance))


def _count(fleet: Fleet, is_counted: Callable[[Instance], bool]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for instance in fleet["instances"].values():
        if instance["state"] != REMOVED and is_counted(instance):
            for pool in _list_pools(instance):
                counts[pool] = counts.get(pool, 0) + 1
    return counts


def count_serving(fleet: Fleet) -> dict[str, int]:
    """Return the number of serving instances by pool, without zeros."""
    return _count(fleet, lambda instance: instance["state"] == IN_SERVICE)


def count_available(fleet: Fleet) -> dict[str, int]:
    """Return the number of instances by pool at which jobs can start, without zeros."""
    return _count(fleet, lambda instance: is_available(fleet, instance))


def is_available(fleet: Fleet, instance: Instance) -> bool:
    """Return whether jobs can start at an instance."""
    return instance["state"] == IN_SERVICE and not is_evacuated(fleet, instance)


def has_budget(configuration: Configuration, unavailable: int, pool: str) -> bool:
    """Return whether one more instance of the pool may go out of service."""
    settings = configuration["pools"].get(pool)
    # A pool that is not in the configuration yet has no budget.
    return settings is not None and unavailable + 1 <= settings["budget"]


def check_stop(
    configuration: Configuration,
    fleet: Fleet,
    name: str,
    target_pool: str | None = None,
) -> str:
    """Return why a planned stop of an instance may not start, or an empty string."""
    instance = fleet["instances"].get(name)
    if instance is None:
        return f"there is no instance '{name}'"
    if instance["state"] != IN_SERVICE:
        return f"instance '{name}' is {instance['state']}, not serving"
    if target_pool is not None and target_pool not in configuration["pools"]:
        return f"there is no pool '{target_pool}'"
    outages = count_outages(fleet)
    pools = {instance["pool"]: outages.select(fleet, instance)}
    if target_pool:
        pools[target_pool] = outages.unavailable
    for pool, counts in pools.items():
        if not has_budget(configuration, counts.get(pool, 0), pool):
            return f"the availability budget of pool '{pool}' is used up"
    return ""


def list_exceeded_pools(
    configuration: Configuration, counts: Mapping[str, int]
) -> list[str]:
    """Return the pools with more instances in a count than their budget permits."""
    budgets = configuration["pools"]
    return sorted(
        pool
        for pool, count in counts.items()
        if pool in budgets and count > budgets[pool]["budget"]
    )
