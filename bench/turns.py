"""Worth of a day of turning demand under the product's decisions, emulated.

    python bench/turns.py [--days N] [--load X] [--seconds S] [--sites NAME,...]

Prints a row a site: parts of the owed worth that were earned, and what it cost.
"""

from __future__ import annotations

import argparse
import statistics

from _emulator import SITES, Emulation, Result


def average(results: list[Result]) -> Result:
    """Return the mean of each figure."""
    return Result(*(statistics.fmean(column) for column in zip(*results, strict=True)))


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=5)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--sites", default="molduras,msasani", help=", ".join(SITES))
    arguments = parser.parse_args()
    print("site      moves  earned on_time largest worst_kind inst_s  moved")
    for site in (SITES[name] for name in arguments.sites.split(",")):
        for moves in (False, True):
            days = [
                Emulation(site, seed, arguments.load, moves, arguments.seconds).run()
                for seed in range(arguments.days)
            ]
            row = average(days)
            print(
                f"{site.name:9} {moves!s:6} {row.earned:.3f}  {row.on_time:.3f}  "
                f"{row.largest:.3f}   {row.worst_kind:.3f}      "
                f"{row.instance_seconds:6.0f} {row.moves:5.1f}"
            )


if __name__ == "__main__":
    main()
