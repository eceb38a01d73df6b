"""Placement, team order, admission and retry policies compared with baselines.

All policies of a comparison get the same arrivals. Time is simulated, so the figures
depend on the seed and not on the machine.
"""

from __future__ import annotations

import argparse
import gc
import time
from collections.abc import Sequence

from _deployments import DEPLOYMENTS
from _policy_loop import PolicySimulation
from _policy_parts import DEADLINE_S, RUN_TIMES_S, Case
from _report import find_version

ENTRIES = (3, 8)
BURSTS_S = 9.0
FULL_S = 6.0
FAILING_S = 3.0

PLACEMENTS = {
    "random": "random, loads in answers ignored",
    "marked": "random, endpoints known to be full left out",
    "two": "less loaded of two (chosen)",
    "split": "fixed split of slots over entries",
}
ORDERS = {
    "first": "first come, first out",
    "local": "weighted fair, local counts",
    "fleet": "weighted fair, fleet-wide counts (chosen)",
}
ADMISSIONS = {
    "none": "no bound",
    "bound": "bound for the mean run time of all queues",
    "wait": "expected wait (chosen)",
    "passed": "expected wait, later arrivals of others counted",
}
RETRIES = {"unbounded": "until the deadline", "budget": "budget of 0.1 (chosen)"}

EXTRAS = ("random", "passed")
"""Policies measured only on request, since they take as long as all others."""


def print_line(label: str, *figures: str) -> None:
    """Print the figures of one policy."""
    print(f"  {label:<50} {', '.join(figures)}", flush=True)


def describe_goodput(run: PolicySimulation) -> str:
    """Return the part of submitted jobs that finished within the deadline."""
    good, jobs = run.counts["good"], run.counts["jobs"]
    return f"good {good} of {jobs} ({good / jobs:.3f})"


def describe_waits(run: PolicySimulation) -> str:
    """Return the waiting times of started jobs."""
    return f"wait p50 {run.find_wait_ms(50):.0f} ms p99 {run.find_wait_ms(99):.0f} ms"


def describe_refusals(run: PolicySimulation) -> str:
    """Return the numbers of refusals, early refusals and late jobs."""
    counts = run.counts
    return (
        f"refused {counts['refused']}, early {counts['early']},"
        f" started but late {counts['late']}"
    )


def compare_placements(case: Case, chosen: PolicySimulation, extras: bool) -> None:
    """Print overbooked starts, waiting times and goodput of each placement."""
    print("placement, bursts")
    for name, label in PLACEMENTS.items():
        if name in EXTRAS and not extras:
            continue
        run = (
            chosen
            if name == "two"
            else PolicySimulation(case._replace(placement=name)).run()
        )
        overbooked = run.counts["overbooked"] / run.counts["jobs"]
        print_line(
            label,
            f"overbooked starts {overbooked:.2f} a job",
            describe_waits(run),
            describe_goodput(run),
        )


def compare_admissions(case: Case, chosen: PolicySimulation, extras: bool) -> None:
    """Print goodput, refusals and waiting times of each admission policy."""
    print("admission, bursts")
    for name, label in ADMISSIONS.items():
        if name in EXTRAS and not extras:
            continue
        run = (
            chosen
            if name == "wait"
            else PolicySimulation(case._replace(admission=name)).run()
        )
        print_line(
            label,
            describe_goodput(run),
            describe_refusals(run),
            describe_waits(run),
        )


def compare_orders(case: Case) -> None:
    """Print the share errors of each order while all slots are in use."""
    for skewed in (False, True):
        spread = "three quarters at a third of the entries" if skewed else "even"
        print(f"team order, all queues full, jobs of a team {spread}")
        for name, label in ORDERS.items():
            run = PolicySimulation(
                case._replace(seconds=FULL_S, saturated=True, skewed=skewed, order=name)
            ).run()
            worst, mean, samples = run.find_share_errors()
            print_line(
                label,
                f"share error worst {worst:.3f} mean {mean:.3f} ({samples} samples)",
            )


def compare_retries(case: Case) -> None:
    """Print attempts per job while half of the endpoints fail all jobs."""
    for ejection in (False, True):
        state = "with" if ejection else "without"
        print(f"retry, half of the endpoints fail everything, {state} ejection")
        for name, label in RETRIES.items():
            run = PolicySimulation(
                case._replace(
                    seconds=FAILING_S, failing=True, ejection=ejection, retry=name
                )
            ).run()
            counts = run.counts
            attempts = counts["dispatches"] - counts["overbooked"]
            started = max(1, counts["first attempts"])
            print_line(
                label,
                f"attempts {attempts / started:.2f} a started job",
                describe_goodput(run),
                f"answered as failed {counts['failed']}",
            )


def main(arguments: Sequence[str] | None = None) -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--extras",
        action="store_true",
        help="also measure two slow policies that the design does not consider",
    )
    options = parser.parse_args(arguments)
    seed = options.seed
    # The garbage collector would scan the pending events of a run repeatedly.
    gc.disable()
    started, used = time.perf_counter(), time.process_time()
    print(f"version {find_version()}, seed {seed}")
    print(f"deadline {DEADLINE_S} s, mean run times {RUN_TIMES_S} s")
    for deployment in DEPLOYMENTS:
        for entries in ENTRIES:
            print(f"\n{deployment.name}, {entries} entries, seed {seed}")
            case = Case(deployment, entries, BURSTS_S, seed)
            chosen = PolicySimulation(case).run()
            compare_placements(case, chosen, options.extras)
            compare_orders(case)
            compare_admissions(case, chosen, options.extras)
            compare_retries(case)
    elapsed = time.perf_counter() - started
    print(f"\ntook {elapsed:.0f} s, processor {time.process_time() - used:.0f} s")


if __name__ == "__main__":
    main()
