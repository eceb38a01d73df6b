"""Joins callers' records with endpoints' records and counts violations.

``python -m briarshed_standins.checker --told FILE --record FILE`` checks files that
``load`` and ``endpoint`` wrote.
"""

from __future__ import annotations

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple, get_args

import typer

Outcome = Literal["finished", "not run", "unknown", "left", "none"]
Kind = Literal[
    "lost",
    "doubled",
    "wrong_answer",
    "false_not_run",
    "started_twice",
    "team_limit",
    "withdrawn_key",
    "wrong_team",
    "interrupted",
    "unsubmitted",
]
KINDS: tuple[Kind, ...] = get_args(Kind)


class CallerRecord(NamedTuple):
    """What the caller of one job was told; times in seconds of ``CLOCK_BOOTTIME``.

    Attributes
    ----------
    team, key : str
        Owner and id of the key that came with the job; empty without a key.
    told_at : float
        When the outcome was known to the caller, or the connection was lost.
    status : int
        Status of HTTP; 0 without a response.
    outcome : str
        ``none`` is neither a complete response nor an explicit refusal, ``left`` a
        caller that disconnected itself.
    correct : bool
        Whether a response of 200 is the answer to this job's own body.
    """

    job: str
    entry: str
    queue: str
    team: str
    key: str
    idempotent: bool
    sent_at: float
    told_at: float
    status: int
    outcome: Outcome
    code: str
    correct: bool


class Outage(NamedTuple):
    """A time in which an entry could not answer, for it was killed or paused.

    Attributes
    ----------
    entry : str
        Callers' URL of the entry.
    since, until : float
        Seconds of ``CLOCK_BOOTTIME``; None is without an end.
    """

    entry: str
    since: float
    until: float | None


class Limit(NamedTuple):
    """A team's upper limit in jobs, and since when it is in force."""

    jobs: int
    since: float = 0.0


class Rules(NamedTuple):
    """What was promised while the records were made.

    Attributes
    ----------
    limits : Mapping[str, Sequence[Limit]]
        Upper limits of each team, in the order of time. Starts above a limit are
        violations; tasks that run since before it was lowered are not.
    withdrawn : Mapping[str, float]
        Key id to the time at which the withdrawal was in force.
    outages : Sequence[Outage]
        A caller of an entry that could not answer counts its job as unknown.
    """

    limits: Mapping[str, Sequence[Limit]] = {}
    withdrawn: Mapping[str, float] = {}
    outages: Sequence[Outage] = ()


class Violation(NamedTuple):
    """One broken promise."""

    kind: Kind
    job: str
    message: str


class Report(NamedTuple):
    """Counts of outcomes, and every violation.

    ``repeated`` counts idempotent jobs that started more than once, which is allowed.
    """

    submitted: int
    finished: int
    refused: int
    unknown: int
    repeated: int
    violations: tuple[Violation, ...]

    def count(self, *kinds: Kind) -> int:
        """Return how many jobs have a violation of one of the kinds."""
        return len({one.job for one in self.violations if one.kind in kinds})

    def count_all(self) -> dict[str, int]:
        """Return the number of jobs for every kind of violation."""
        return {kind: self.count(kind) for kind in KINDS}


class Run(NamedTuple):
    """One start at an endpoint; ``ended_at`` is None while it runs.

    ``result`` is ``finished``, ``failed``, ``fenced``, ``lease-ended``,
    ``interrupted``, ``killed`` or empty.
    """

    job: str
    attempt: str
    endpoint: str
    team: str
    key: str
    started_at: float
    ended_at: float | None
    result: str


def check_records(
    told: Sequence[CallerRecord], records: Iterable[Mapping[str, Any]], rules: Rules
) -> Report:
    """Join the records of callers and endpoints, and count violations.

    Parameters
    ----------
    told : Sequence[Told]
        One for each submitted job.
    records : Iterable[Mapping]
        Lines of the endpoints' records, read when no task runs any more.
    rules : Rules
        What was promised.
    """
    runs = join_runs(records)
    runs_of: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_of[run.job].append(run)
    violations = [
        *_check_told(told, runs_of, rules.outages),
        *_check_runs({one.job: one for one in told}, runs_of),
        *_check_limits(runs, rules.limits),
        *_check_keys(runs, rules.withdrawn),
    ]
    outcomes = Counter(one.outcome for one in told)
    lost = {one.job for one in violations if one.kind == "lost"}
    return Report(
        submitted=len(told),
        finished=outcomes["finished"],
        refused=outcomes["not run"],
        unknown=outcomes["unknown"]
        + outcomes["left"]
        + sum(one.outcome == "none" and one.job not in lost for one in told),
        repeated=sum(one.idempotent and len(runs_of[one.job]) > 1 for one in told),
        violations=tuple(violations),
    )


def join_runs(records: Iterable[Mapping[str, Any]]) -> list[Run]:
    """Return the runs of the endpoints' records, in the order of their starts."""
    runs: dict[tuple[str, str, float], Run] = {}
    open_runs: dict[tuple[str, str], tuple[str, str, float]] = {}
    for line in sorted(records, key=lambda line: line["at"]):
        endpoint = line["endpoint"]
        if line["event"] == "killed":
            _end_all(runs, open_runs, endpoint, line["at"])
            continue
        place = (endpoint, line["attempt"])
        if line["event"] == "start":
            key = (*place, line["at"])
            open_runs[place] = key
            runs[key] = Run(
                line["job"],
                line["attempt"],
                endpoint,
                line["team"],
                line["key"],
                line["at"],
                None,
                "",
            )
        elif place in open_runs:
            key = open_runs.pop(place)
            runs[key] = runs[key]._replace(ended_at=line["at"], result=line["result"])
    return list(runs.values())


def _end_all(
    runs: dict[tuple[str, str, float], Run],
    open_runs: dict[tuple[str, str], tuple[str, str, float]],
    endpoint: str,
    at: float,
) -> None:
    for place in [place for place in open_runs if place[0] == endpoint]:
        key = open_runs.pop(place)
        runs[key] = runs[key]._replace(ended_at=at, result="killed")


def _check_told(
    told: Sequence[CallerRecord],
    runs_of: Mapping[str, Sequence[Run]],
    outages: Sequence[Outage],
) -> Iterator[Violation]:
    times_told = Counter(one.job for one in told)
    for job, times in times_told.items():
        if times > 1:
            yield Violation("doubled", job, f"the caller was told {times} outcomes")
    for one in told:
        runs = runs_of.get(one.job, ())
        if one.outcome == "none" and not _is_excused(one, outages):
            text = f"{one.entry} told nothing ({one.code}, status {one.status})"
            yield Violation("lost", one.job, text)
        if one.outcome == "finished":
            if not any(run.result == "finished" for run in runs):
                text = "told finished, but no endpoint finished it"
                yield Violation("lost", one.job, text)
            if not one.correct:
                text = f"{one.entry} passed on another answer than its own"
                yield Violation("wrong_answer", one.job, text)
        if one.outcome == "not run" and runs:
            text = f"told not run ({one.code}), but it started at {runs[0].endpoint}"
            yield Violation("false_not_run", one.job, text)


def _is_excused(told: CallerRecord, outages: Sequence[Outage]) -> bool:
    return any(
        outage.entry == told.entry
        and outage.since <= told.told_at
        and (outage.until is None or told.sent_at <= outage.until)
        for outage in outages
    )


def _check_runs(
    told_of: Mapping[str, CallerRecord], runs_of: Mapping[str, Sequence[Run]]
) -> Iterator[Violation]:
    for job, runs in runs_of.items():
        told = told_of.get(job)
        if told is None:
            text = f"started at {runs[0].endpoint}, but no caller submitted it"
            yield Violation("unsubmitted", job, text)
            continue
        finished = sum(run.result == "finished" for run in runs)
        if not told.idempotent and len(runs) > 1:
            text = f"non-idempotent, started {len(runs)} times"
            yield Violation("started_twice", job, text)
        if not told.idempotent and finished > 1:
            text = f"non-idempotent, finished {finished} times"
            yield Violation("doubled", job, text)
        for run in runs:
            if run.team != told.team:
                text = f"started for team '{run.team}', not '{told.team}'"
                yield Violation("wrong_team", job, text)
            if run.result == "interrupted":
                text = f"a planned stop of {run.endpoint} interrupted it"
                yield Violation("interrupted", job, text)


def _check_limits(
    runs: Sequence[Run], limits: Mapping[str, Sequence[Limit]]
) -> Iterator[Violation]:
    for team, steps in limits.items():
        changes: list[tuple[float, int, str]] = []
        for run in runs:
            if run.team == team:
                changes.append((run.started_at, 1, run.job))
                if run.ended_at is not None:
                    ended_at = max(run.started_at, run.ended_at)
                    changes.append((ended_at, -1, run.job))
        running = 0
        # At one time, ends sort before starts.
        for at, step, job in sorted(changes):
            running += step
            limit = _find_limit(steps, at)
            if step > 0 and limit is not None and running > limit:
                text = f"team {team} had {running} running, above its limit {limit}"
                yield Violation("team_limit", job, text)


def _find_limit(steps: Sequence[Limit], at: float) -> int | None:
    jobs = None
    for step in steps:
        if step.since <= at:
            jobs = step.jobs
    return jobs


def _check_keys(
    runs: Sequence[Run], withdrawn: Mapping[str, float]
) -> Iterator[Violation]:
    for run in runs:
        in_force_at = withdrawn.get(run.key)
        if in_force_at is not None and run.started_at > in_force_at:
            late_s = run.started_at - in_force_at
            text = f"key {run.key} started it {late_s:.3f} s after its withdrawal"
            yield Violation("withdrawn_key", run.job, text)


def read_lines(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Return the JSON lines of files."""
    return [
        json.loads(line) for path in paths for line in path.read_text().splitlines()
    ]


def main(
    told: Annotated[list[Path], typer.Option()],
    record: Annotated[list[Path], typer.Option()],
    limit: Annotated[list[str] | None, typer.Option(help="TEAM=JOBS")] = None,
) -> None:
    """Check records; exit with 1 if there is a violation."""
    pairs = [one.partition("=") for one in limit or ()]
    limits = {team: (Limit(int(jobs)),) for team, _, jobs in pairs}
    callers = [CallerRecord(**line) for line in read_lines(told)]
    report = check_records(callers, read_lines(record), Rules(limits))
    for violation in report.violations:
        print(f"{violation.kind}: {violation.job}: {violation.message}")
    counts = {name: value for name, value in report._asdict().items() if value != ()}
    counts.pop("violations", None)
    print(json.dumps(counts | report.count_all()))
    sys.exit(1 if report.violations else 0)


if __name__ == "__main__":
    typer.run(main)
