"""Value earned under rotating bursts of demand, emulated with the real engine.

    python bench/turns.py [--days N] [--load X] [--seconds S] [--sites NAME,...]

Prints two rows per deployment, without and with moves: the parts of the jobs' value
that were earned, the instance seconds and the number of moves.
"""

from __future__ import annotations

import argparse
import statistics

from _emulator import DEPLOYMENTS, Emulation, Result


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
    arguments = parser.parse_args()
    print("site      moves  earned on_time largest worst_kind inst_s  moved")
    for deployment in (DEPLOYMENTS[name] for name in arguments.sites.split(",")):
        for moves in (False, True):
            days = [
                Emulation(
                    deployment, seed, arguments.load, moves, arguments.seconds
                ).run()
                for seed in range(arguments.days)
            ]
            row = average(days)
            print(
                f"{deployment.name:9} {moves!s:6} {row.earned:.3f}  {row.on_time:.3f}  "
                f"{row.largest:.3f}   {row.worst_kind:.3f}      "
                f"{row.instance_seconds:6.0f} {row.moves:5.1f}"
            )


if __name__ == "__main__":
    main()
