"""Value earned under rotating bursts of demand, emulated with the real engine.

    python bench/turns.py [--days N] [--load X] [--seconds S] [--sites NAME,...]

Prints two rows per deployment, without and with moves: the parts of the jobs' value
that were earned, the instance seconds and the number of moves.
"""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Callable, Iterable

from _emulator import DEPLOYMENTS, Emulation, Result

from briarshed_workloads import ordering, planning
from briarshed_workloads.engine import Engine
from briarshed_workloads.jobs import Job
from briarshed_workloads.shortage import LATE_RANKS

Order = Callable[[Engine, str, Iterable[Job], float], list[Job]]


def sort_by(find_key: Callable[[Job], float]) -> Order:
    """Return an order of the jobs that are in time by a key, late ones last."""

    def sort_jobs(
        engine: Engine, pool: str, jobs: Iterable[Job], now: float
    ) -> list[Job]:
        rows = [(ordering.rank_job(engine, job, now), job) for job in jobs]
        rows.sort(
            key=lambda row: (
                *row[0][:2],
                row[0].due_at if row[0].rank in LATE_RANKS.values() else 0.0,
                find_key(row[1]) if row[0].rank in LATE_RANKS else row[0].due_at,
                row[0].job_id,
            )
        )
        return [job for _, job in rows]

    return sort_jobs


def find_due(job: Job) -> float:
    """Return when a job is due in the emulated deployments."""
    return job.accepted_at + 1.6 * job.critical_path


ORDERS: dict[str, Order] = {
    "expected-wait": ordering.sort_jobs,
    "objective": sort_by(find_due),
    "smallest": sort_by(lambda job: job.core_seconds),
    "largest-loss": sort_by(lambda job: -job.core_seconds),
}


def average(results: list[Result]) -> Result:
    """Return the mean of each field."""
    return Result(*(statistics.fmean(column) for column in zip(*results, strict=True)))


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=5)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument(
        "--sites", default="molduras,msasani", help=", ".join(DEPLOYMENTS)
    )
    parser.add_argument("--refuse", action="store_true")
    parser.add_argument("--hot", type=float, default=5.0)
    parser.add_argument("--order", default="expected-wait", choices=ORDERS)
    parser.add_argument("--stand-by", action="store_true")
    arguments = parser.parse_args()
    planning.sort_jobs = ORDERS[arguments.order]
    print(
        "site      moves  earned on_time largest worst_kind inst_s moved served "
        "refused large_served"
    )
    for deployment in (DEPLOYMENTS[name] for name in arguments.sites.split(",")):
        for moves in (False, True):
            days = [
                Emulation(
                    deployment,
                    seed,
                    arguments.load,
                    moves,
                    arguments.seconds,
                    arguments.refuse,
                    arguments.hot,
                    arguments.stand_by,
                ).run()
                for seed in range(arguments.days)
            ]
            row = average(days)
            print(
                f"{deployment.name:9} {moves!s:6} {row.earned:.3f}  {row.on_time:.3f}  "
                f"{row.largest:.3f}   {row.worst_kind:.3f}      "
                f"{row.instance_seconds:6.0f} {row.moves:5.1f} "
                f"{row.served:.3f} {row.refusals:5.0f}   {row.large_served:.3f}"
            )


if __name__ == "__main__":
    main()
