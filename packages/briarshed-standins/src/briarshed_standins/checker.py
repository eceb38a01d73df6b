"""Compares callers' records with endpoints' records and counts violations.

``python -m briarshed_standins.checker --told FILE --record FILE`` checks files that
``load`` and ``endpoint`` have written.
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
    """Outcome of one job as its caller saw it; times in s of ``CLOCK_BOOTTIME``.

    Attributes
    ----------
    team, key : str
        Team of the job's API key and the key's id; empty without a key.
    told_at : float
        When the response arrived, or the connection was lost.
    status : int
        HTTP status; 0 without a response.
    outcome : str
        ``none``: neither a complete response nor an explicit refusal; ``left``: the
        caller disconnected.
    correct : bool
        Whether a response with status 200 matches this job's body.
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
    """Time during which an entry was killed or paused and could not respond.

    Attributes
    ----------
    entry : str
        URL of the entry for callers.
    since, until : float
        Seconds of ``CLOCK_BOOTTIME``; None if the outage has not ended.
    """

    entry: str
    since: float
    until: float | None


class Limit(NamedTuple):
    """Upper limit of a team's running jobs, and the time from which it applies."""

    jobs: int
    since: float = 0.0


class Rules(NamedTuple):
    """Guarantees that applied while the records were written.

    Attributes
    ----------
    limits : Mapping[str, Sequence[Limit]]
        Upper limits of each team, in chronological order. Starts above a limit are
        violations; tasks that started before it was lowered are not.
    withdrawn : Mapping[str, float]
        Key id to the time at which the key's withdrawal took effect.
    outages : Sequence[Outage]
        A job without a response counts as unknown if its entry had an outage.
    """

    limits: Mapping[str, Sequence[Limit]] = {}
    withdrawn: Mapping[str, float] = {}
    outages: Sequence[Outage] = ()


class Violation(NamedTuple):
    """One violation of a guarantee."""

    kind: Kind
    job: str
    message: str


class Report(NamedTuple):
    """Number of jobs by outcome, and all violations.

    ``repeated`` counts idempotent jobs that started more than once, which is allowed.
    """

    submitted: int
    finished: int
    refused: int
    unknown: int
    repeated: int
    violations: tuple[Violation, ...]

    def count(self, *kinds: Kind) -> int:
        """Return the number of jobs with a violation of one of the kinds."""
        return len({one.job for one in self.violations if one.kind in kinds})

    def count_all(self) -> dict[str, int]:
        """Return the number of jobs with a violation, by kind."""
        return {kind: self.count(kind) for kind in KINDS}


class Run(NamedTuple):
    """One execution of a job at an endpoint; ``ended_at`` is None while it runs.

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
    caller_records: Sequence[CallerRecord],
    records: Iterable[Mapping[str, Any]],
    rules: Rules,
) -> Report:
    """Compare the records of callers and endpoints, and count violations.

    Parameters
    ----------
    caller_records : Sequence[CallerRecord]
        One for each submitted job.
    records : Iterable[Mapping]
        Lines of the endpoints' records, read after all tasks have ended.
    rules : Rules
        Guarantees to check.
    """
    runs = join_runs(records)
    runs_of: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_of[run.job].append(run)
    violations = [
        *_check_callers(caller_records, runs_of, rules.outages),
        *_check_runs({one.job: one for one in caller_records}, runs_of),
        *_check_limits(runs, rules.limits),
        *_check_keys(runs, rules.withdrawn),
    ]
    outcomes = Counter(one.outcome for one in caller_records)
    lost = {one.job for one in violations if one.kind == "lost"}
    return Report(
        submitted=len(caller_records),
        finished=outcomes["finished"],
        refused=outcomes["not run"],
        unknown=outcomes["unknown"]
        + outcomes["left"]
        + sum(one.outcome == "none" and one.job not in lost for one in caller_records),
        repeated=sum(
            one.idempotent and len(runs_of[one.job]) > 1 for one in caller_records
        ),
        violations=tuple(violations),
    )


def join_runs(records: Iterable[Mapping[str, Any]]) -> list[Run]:
    """Return the runs in the endpoints' records, ordered by start time."""
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


def _check_callers(
    caller_records: Sequence[CallerRecord],
    runs_of: Mapping[str, Sequence[Run]],
    outages: Sequence[Outage],
) -> Iterator[Violation]:
    outcome_counts = Counter(one.job for one in caller_records)
    for job, times in outcome_counts.items():
        if times > 1:
            yield Violation("doubled", job, f"the caller received {times} outcomes")
    for one in caller_records:
        runs = runs_of.get(one.job, ())
        if one.outcome == "none" and not _is_excused(one, outages):
            text = f"no response from {one.entry} ({one.code}, status {one.status})"
            yield Violation("lost", one.job, text)
        if one.outcome == "finished":
            if not any(run.result == "finished" for run in runs):
                text = "reported as finished, but no endpoint finished it"
                yield Violation("lost", one.job, text)
            if not one.correct:
                text = f"{one.entry} returned the answer to another job"
                yield Violation("wrong_answer", one.job, text)
        if one.outcome == "not run" and runs:
            text = (
                f"reported as not run ({one.code}), but started at {runs[0].endpoint}"
            )
            yield Violation("false_not_run", one.job, text)


def _is_excused(record: CallerRecord, outages: Sequence[Outage]) -> bool:
    return any(
        outage.entry == record.entry
        and outage.since <= record.told_at
        and (outage.until is None or record.sent_at <= outage.until)
        for outage in outages
    )


def _check_runs(
    records_of: Mapping[str, CallerRecord], runs_of: Mapping[str, Sequence[Run]]
) -> Iterator[Violation]:
    for job, runs in runs_of.items():
        record = records_of.get(job)
        if record is None:
            text = f"started at {runs[0].endpoint}, but no caller submitted it"
            yield Violation("unsubmitted", job, text)
            continue
        finished = sum(run.result == "finished" for run in runs)
        if not record.idempotent and len(runs) > 1:
            text = f"non-idempotent, started {len(runs)} times"
            yield Violation("started_twice", job, text)
        if not record.idempotent and finished > 1:
            text = f"non-idempotent, finished {finished} times"
            yield Violation("doubled", job, text)
        for run in runs:
            if run.team != record.team:
                text = f"started for team '{run.team}', not '{record.team}'"
                yield Violation("wrong_team", job, text)
            if run.result == "interrupted":
                text = f"interrupted by a planned stop of {run.endpoint}"
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
        # At equal times, ends (-1) sort before starts (+1).
        for at, step, job in sorted(changes):
            running += step
            limit = _find_limit(steps, at)
            if step > 0 and limit is not None and running > limit:
                text = f"team {team} had {running} running jobs, limit {limit}"
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
            text = f"started {late_s:.3f} s after key {run.key} was withdrawn"
            yield Violation("withdrawn_key", run.job, text)


def read_lines(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Return the decoded lines of JSON Lines files."""
    return [
        json.loads(line) for path in paths for line in path.read_text().splitlines()
    ]


def main(
    told: Annotated[list[Path], typer.Option()],
    record: Annotated[list[Path], typer.Option()],
    limit: Annotated[list[str] | None, typer.Option(help="TEAM=JOBS")] = None,
) -> None:
    """Check records; exit with status 1 if there is a violation."""
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
