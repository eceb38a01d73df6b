"""Jobs, endpoints and entries of the simulation of the policies."""

from __future__ import annotations

import random
from collections import Counter
from typing import NamedTuple

from _deployments import SHARES, SLOTS, SPARE_POOL, Deployment, make_deployment

from briarshed import admission
from briarshed.documents import Instance, Queue
from briarshed.fairness import FairQueue, Flow
from briarshed.health import PoolHealth
from briarshed.placement import EndpointInfo, Placement
from briarshed.retries import RetryBudget

DEADLINE_S = 4.0
RUN_TIMES_S = (0.25, 0.5, 1.0, 2.0)
"""Mean run time of each queue; run times are exponentially distributed."""


class Case(NamedTuple):
    """Parameters of one run.

    ``saturated`` demands twice the slots of every queue at all times, without bursts.
    ``skewed`` sends three quarters of each team's jobs to a third of the entries.
    """

    deployment: Deployment
    entries: int
    seconds: float
    seed: int
    placement: str = "two"
    order: str = "fleet"
    admission: str = "wait"
    retry: str = "budget"
    failing: bool = False
    ejection: bool = True
    saturated: bool = False
    skewed: bool = False


class Job:
    """A job from its arrival to its outcome."""

    def __init__(self, number: int, pool: int, team: str, at: float, run_s: float):
        self.key = str(number)
        self.pool = pool
        self.team = team
        self.at = at
        self.deadline = at + DEADLINE_S
        self.run_s = run_s
        self.attempts = self.rejections = 0
        self.tried: set[str] = set()
        self.queued = False


class Endpoint:
    """An endpoint, whose slots all entries share."""

    def __init__(self, data_centre: str, failing: bool) -> None:
        self.data_centre = data_centre
        self.failing = failing
        self.running = 0


class SingleSampleRandom(random.Random):
    """Samples one element, so that the choice of two becomes a random choice."""

    def sample(self, population, k, *, counts=None):
        """Return at most one element."""
        return super().sample(population, min(k, 1), counts=counts)


class PoolState:
    """State of one pool at an entry."""

    def __init__(self, pool_instances: dict[str, EndpointInfo], find_load) -> None:
        self.queue: FairQueue[Job] = FairQueue(find_load)
        self.placement = Placement(10.0)
        self.placement.update(pool_instances, 0.0)
        self.health = PoolHealth()
        self.health.set_serving(pool_instances, 0.0)
        self.budget = RetryBudget()
        self.shares = 0.0
        self.run_time: float | None = None
        self.timer_at = float("inf")


class Entry:
    """Counts of running jobs and state of the pools at one entry."""

    def __init__(self, name: int, data_centre: str, order: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.order = order
        self.running: Counter[str] = Counter()
        self.others: Counter[str] = Counter()
        self.pools: list[PoolState] = []

    def find_load(self, team: str) -> float:
        """Return the running jobs of a team, as known here, over its share."""
        if self.order == "first":
            return 0.0
        return (self.running[team] + self.others[team]) / SHARES[team]

    def make_flow(self, job: Job) -> Flow:
        """Return the job's flow; a single flow of all teams makes the queue FIFO."""
        return Flow("all" if self.order == "first" else job.team, False)


PoolInstances = list[dict[str, Instance]]


def make_endpoints(case: Case) -> tuple[PoolInstances, dict[str, Endpoint]]:
    """Return the instances of each pool except the spare, and their endpoints."""
    size = case.deployment
    configuration, fleet = make_deployment(size.pools, size.workers, size.data_centres)
    names = [name for name in configuration["pools"] if name != SPARE_POOL]
    pool_instances: PoolInstances = [{} for _ in names]
    endpoints: dict[str, Endpoint] = {}
    for name, item in fleet["instances"].items():
        if item["pool"] != SPARE_POOL:
            failing = case.failing and len(endpoints) % 2 == 0
            endpoints[name] = Endpoint(item["data_centre"], failing)
            pool_instances[names.index(item["pool"])][name] = item
    return pool_instances, endpoints


def make_entries(case: Case, pool_instances: PoolInstances) -> list[Entry]:
    """Return the entries, spread over the data centres."""
    entries = []
    for index in range(case.entries):
        place = f"dc{index % case.deployment.data_centres + 1}"
        entry = Entry(index, place, case.order)
        entry.pools = [
            PoolState(_make_endpoint_infos(case, entry, pool), entry.find_load)
            for pool in pool_instances
        ]
        entries.append(entry)
    return entries


def _make_endpoint_infos(
    case: Case, entry: Entry, pool: dict[str, Instance]
) -> dict[str, EndpointInfo]:
    found = {}
    for index, (name, item) in enumerate(pool.items()):
        near = item["data_centre"] == entry.data_centre
        limit = SLOTS
        if case.placement == "split":
            rest = (entry.name - index) % case.entries < SLOTS % case.entries
            limit = SLOTS // case.entries + rest
        found[name] = EndpointInfo(name, near, SLOTS, limit, False)
    return found


def is_admitted(case: Case, entry: Entry, job: Job, now: float) -> bool:
    """Return whether the case's rule admits a job."""
    state = entry.pools[job.pool]
    placement, queue = state.placement, state.queue
    if case.admission == "none" or (placement.has_available(now) and not queue):
        return True
    if case.admission == "bound":
        return not admission.find_exceeded_bound(
            make_queue(case, state), len(queue), 0, 1
        )
    share = SHARES[job.team]
    all_shares = state.shares + share
    own = queue.count_team(entry.make_flow(job).team)
    ahead = float(len(queue))
    if case.admission == "passed":
        # Counts later jobs of other teams that will start before this one.
        ahead = (own + 1) * all_shares / share - 1
    elif case.order != "first":
        ahead = admission.count_ahead(len(queue), own, share, all_shares)
    slots = max(placement.count_slots() / case.entries, placement.count_own())
    wait = admission.estimate_wait(ahead, state.run_time, slots)
    return wait <= job.deadline - now


def make_queue(case: Case, state: PoolState) -> Queue:
    """Return a queue whose bound is set for the mean run time of all queues."""
    mean_s = sum(RUN_TIMES_S) / len(RUN_TIMES_S)
    bound = int(state.placement.count_slots() * DEADLINE_S / mean_s / case.entries)
    return Queue(pool="", open=False, teams=[], max_jobs=bound, max_bytes=1)
