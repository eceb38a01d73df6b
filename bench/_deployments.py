"""Sample deployments of docs/design.md, section 1.3."""

from __future__ import annotations

import itertools
from typing import NamedTuple

from briarshed.documents import (
    CONFIGURATION_KEY,
    FLEET_KEY,
    Configuration,
    Fleet,
    Instance,
    Pool,
    make_empty,
)
from briarshed.settings import WeightsSettings

SLOTS = 8
RACK_SIZE = 4
SPARE_POOL = "reserve"
SHARES = {
    "hotels": 4.0,
    "schools": 3.0,
    "clinics": 3.0,
    "press": 1.0,
    "archive": 1.0,
    "museum": 1.0,
}


class Deployment(NamedTuple):
    """Size of a deployment, and its weights for moves of instances."""

    name: str
    pools: int
    workers: int
    data_centres: int
    weights: WeightsSettings


DEPLOYMENTS = (
    Deployment("deployment 1", 5, 6, 3, WeightsSettings(3.0, 3.0, 1.0)),
    Deployment("deployment 2", 5, 8, 4, WeightsSettings(1.0, 1.0, 3.0)),
)


def make_instance(
    pool: str, rack: str = "r1", data_centre: str = "dc1", state: str = "serving"
) -> Instance:
    """Return an instance document."""
    return {
        "pool": pool,
        "state": state,
        "rack": rack,
        "data_centre": data_centre,
        "address": "127.0.0.1:9",
        "since": 0.0,
        "target_pool": None,
        "wave": None,
        "operation": None,
    }


def make_pool(budget: int = 1, spare: bool = False) -> Pool:
    """Return a pool document."""
    return {
        "budget": budget,
        "port": 9,
        "slots": SLOTS,
        "connections": 64,
        "spare": spare,
    }


def make_deployment(
    pools: int, workers: int, data_centres: int = 1, wave: bool = False
) -> tuple[Configuration, Fleet]:
    """Return the documents of a fleet whose last pool is the spare pool.

    Each rack holds instances of one pool; racks are spread over the data centres.
    """
    names = [f"pool-{number:03}" for number in range(pools - 1)] + [SPARE_POOL]
    configuration = make_empty(CONFIGURATION_KEY)
    configuration["pools"] = {
        name: make_pool(spare=name == SPARE_POOL) for name in names
    }
    configuration["teams"] = {
        team: {"share": share, "limit": pools * workers * SLOTS}
        for team, share in SHARES.items()
    }
    fleet = make_empty(FLEET_KEY)
    racks = itertools.count()
    for pool in names:
        for index in range(workers):
            if index % RACK_SIZE == 0:
                rack = next(racks)
            place = f"dc{rack % data_centres + 1}"
            name = f"i-{len(fleet['instances']):03}"
            instance = make_instance(pool, f"r{rack}", place)
            fleet["instances"][name] = {**instance, "address": name}
    if wave:
        pending = list(fleet["instances"])
        content = {"state": "running", "pending": pending, "done": [], "reason": ""}
        fleet["waves"]["w-1"] = content
    return configuration, fleet
