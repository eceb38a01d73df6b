"""Expected wait: which jobs of a pool can be done in time, given the work before them.

Nothing here knows the engine. Work is measured in seconds of the whole pool, so that
the work before a job is also the time that it waits.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple

MIN_WORK_S = 1e-6
"""Least work by which a loss is divided."""


class Claim(NamedTuple):
    """What a job asks of its pool.

    Attributes
    ----------
    job_id : str
    tier : tuple of int
        Jobs of a lower tier are served before those of a higher one.
    due_in : float
        Seconds until the job loses value.
    path : float
        Seconds that it takes at the least, from the start of its next task.
    work : float
        Seconds for which its tasks that have not started occupy the whole pool.
    loss : float
        What the caller loses if the job is not done by then, in the same unit as the
        work, so that both can be compared.
    """

    job_id: str
    tier: tuple[int, ...]
    due_in: float
    path: float
    work: float
    loss: float


class Outlook(NamedTuple):
    """Which jobs can be done in time.

    Attributes
    ----------
    deferred : list of str
        Jobs that should give way.
    work : float
        Seconds of the whole pool until the others have started.
    """

    deferred: list[str]
    work: float


def find_deferred(claims: Iterable[Claim], ahead: float = 0.0) -> Outlook:
    """Choose the jobs that give way so that the others are done in time.

    The jobs are taken by tier and due time. Where one would not be done in time, those
    give way that lose the least for the work that they take, of the highest tier first,
    and of equal ones those that are due last. That is the rule of Moore and Hodgson,
    with losses.

    Parameters
    ----------
    claims : iterable of Claim
        The jobs.
    ahead : float
        Work in seconds that is served before all of them.
    """
    deferred: list[str] = []
    served: list[tuple[tuple[int, ...], float, float, str, float]] = []
    base, base_tier = ahead, None
    for claim in sorted(claims, key=lambda row: (row.tier, row.due_in, row.job_id)):
        if claim.tier != base_tier:
            base, base_tier = ahead, claim.tier
        if base + claim.work + claim.path > claim.due_in:
            # Late even if all others of its tier gave way.
            deferred.append(claim.job_id)
            continue
        tier = tuple(-part for part in claim.tier)
        loss = claim.loss / max(claim.work, MIN_WORK_S)
        row = (tier, loss, -claim.due_in, claim.job_id, claim.work)
        heapq.heappush(served, row)
        ahead += claim.work
        while ahead + claim.path > claim.due_in and served:
            *_, job_id, work = heapq.heappop(served)
            deferred.append(job_id)
            ahead -= work
            if job_id == claim.job_id:
                break
    return Outlook(deferred, ahead)


def sum_work(claims: Iterable[Claim]) -> float:
    """Return the work of claims, in seconds of the whole pool."""
    return sum(claim.work for claim in claims)
