"""Evidence of crashes against tasks, and when a task is given up; pure decisions.

A crash ends every run of an endpoint and does not tell which of them has caused it.
Runs that had just started are suspected, and their tasks start again in isolation: for
a while before and after, nothing else starts at that endpoint. A task that crashes an
endpoint in isolation is given up. Where endpoints crash often, whatever they run, a
crash says little about a task.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import NamedTuple

from briarshed_workloads.workloads import TaskId

WEAK, SUSPECT, SOLE_SUSPECT, AT_START = range(4)
NONE, NEW_ENDPOINT, BESIDE_SUSPECT, UNPROVED, UNRELATED = range(4, 9)
"""Evidence of a crash against a run: it had been running for a while, it had just
started, or nothing else had just started. Where crashes are usual, or others have
crashed at the same time, there is none, unless the crash has certainly followed the
start (``AT_START``). The crash of an endpoint that had just started itself is none in
any case. ``BESIDE_SUSPECT`` is weak evidence of a crash just after another start.
``UNPROVED`` is noted when an endpoint stops responding just after a start: the proof of
a crash may come after a change of the leader, and the next one does not know what was
started there. It counts like ``AT_START`` until it is proved or withdrawn.
``UNRELATED`` is a crash just after a start of an endpoint that was certainly lost with
its rack."""

NO_EVIDENCE = (NONE, NEW_ENDPOINT, UNRELATED)
_EQUIVALENTS = {BESIDE_SUSPECT: WEAK, UNPROVED: AT_START}

SUSPICION_WINDOW_S = 0.1
"""Time after its start within which a run is suspected if its endpoint crashes. With a
longer one, more sound runs are suspected when endpoints crash for other reasons."""

DETECTION_S = 0.7
"""Time after the start within which the poll that checks whether the endpoint has
survived it has failed."""

MAX_RUN_AGE_S = 10.0
"""Age from which a run that is lost in a crash is no evidence against its task."""

REPEATED_CRASHES = 2
"""Crashes from which on a task is strongly suspected."""

MIN_SCORE = 5
"""Score from which on a task is given up that was the only suspect of a crash. One
crash just after its start counts 2, or 1 where crashes are usual, so that at least
three are needed: the first starts follow the proof of a crash, and two may both meet
crashes at regular intervals."""

MAX_CRASHES, MIN_UNEXPLAINED_CRASHES = 5, 2
"""Unusual crashes after which a task is given up in any case, and how many of them no
other start must explain: where many tasks crash endpoints, their neighbours are in as
many crashes. Each further start would cost an endpoint and all that runs there."""

MAX_START_CRASHES, MIN_RELATED_CRASHES = 5, 3
"""Crashes in a row after which a task is given up, however often endpoints crash, if
each has followed its start, and how many of them must have come without the rack. A
start that an endpoint survives interrupts the row."""

MIN_USUAL_CRASHES, USUAL_CRASH_SHARE = 3, 0.05
"""Instances, and share of all endpoints, that have crashed recently without a known
cause from which on crashes are usual."""

FIRST_START_DELAY_S, MAX_START_DELAY_S = 0.5, 1.0
"""Longest delays of the next start of a task that was lost just after its start once,
and more often. The next start would otherwise follow the proof of the crash, in step
with endpoints that crash at regular intervals, so that the evidence of several crashes
would be that of one."""

ISOLATION_S = 0.5
"""Time for which nothing else starts at the endpoint of a suspected task: an order
takes up to 0.4 s, and `SUSPICION_WINDOW_S` follows."""

MAX_ISOLATION_WAIT_S = 2.0
"""Time for which a task that is not strongly suspected waits for an endpoint in
isolation. Many are suspected after the loss of a rack, and none may wait long for
capacity that is free."""

MAX_STEADY_WAIT_S = 3.0
"""Time after a crash for which a task whose next start is decisive waits for room where
nothing has crashed recently: `MAX_START_DELAY_S` and `MAX_ISOLATION_WAIT_S`."""

MAX_OUTAGES_ELSEWHERE = 3
"""Other endpoints outside the rack that may stop responding at the same time by chance.
Of the rack, a single one has the same cause: a task only crashes its own endpoint."""

TIMING_TOLERANCE_S = 0.05
"""Time by which processes of a rack that are lost together may end one after the
other."""

SETTLE_S = 1.0
"""Time after the proof of a crash within which others that came with it become known:
instances that are lost together are proved to have crashed with one
reading of the registrations or the next, and a poll that is waiting fails later."""

MAX_OUTAGE_SPAN_S = 2.0
"""Uncertainty of the time of an outage above which it may have been at any time: a poll
takes up to 1.7 s."""

MAX_CERTAIN_SPAN_S = 0.3
"""Uncertainty of the times of two outages of a rack up to which they certainly have one
cause. That of an endpoint whose connections are closed is lower, and that of one which
becomes silent is higher."""

RECENT_CRASH_S = 10.0
"""Time for which an instance that has crashed is the last choice for a suspected task:
a further crash there may be the fault of the instance."""


class LostRun(NamedTuple):
    """Run that was at work at an endpoint when it crashed.

    ``started_at`` is in seconds of the boot clock. A run that an earlier leader ordered
    ``has_survived_start``.
    """

    task: TaskId
    number: int
    started_at: float
    has_survived_start: bool


class CrashTime(NamedTuple):
    """Times, in seconds of the boot clock, between which an endpoint has crashed.

    ``latest`` is when it stopped responding; behind a partition it may have gone on.
    """

    earliest: float
    latest: float

    @property
    def span(self) -> float:
        """Uncertainty in seconds."""
        return self.latest - self.earliest


class Outage(NamedTuple):
    """Time at which an endpoint on an instance stopped responding.

    ``rack`` has the data centre and the rack in it, which may be unknown.
    """

    instance: str
    rack: str
    time: CrashTime


class Crash(NamedTuple):
    """Crash of an endpoint, and the runs that were at work there.

    ``noted_at`` is in seconds of the boot clock. ``is_new`` is set if the process had
    just started itself, ``is_shared`` if other endpoints stopped responding at the same
    time, and ``is_rack_lost`` if some of its rack certainly did. The evidence
    ``is_settled`` once all that came with the crash is known, and ``is_culprit_known``
    is set if one of the tasks has been given up.
    """

    outage: Outage
    noted_at: float
    runs: tuple[LostRun, ...]
    is_new: bool
    is_shared: bool
    is_rack_lost: bool = False
    is_settled: bool = False
    is_culprit_known: bool = False

    def has_task(self, task: TaskId) -> bool:
        """Return whether a run of a task was at work there."""
        return any(run.task == task for run in self.runs)


def is_suspected(crashes: Mapping[int, int]) -> bool:
    """Return whether a task should start in isolation.

    Parameters
    ----------
    crashes : mapping of int to int
        Evidence by the number of the run that was lost.
    """
    weights = _list_weights(crashes)
    return len(weights) >= REPEATED_CRASHES or max(weights, default=WEAK) > WEAK


def is_strongly_suspected(crashes: Mapping[int, int]) -> bool:
    """Return whether a task must start in isolation, however long it waits.

    A task that merely ran at several crashes need not: the loss of racks leaves many.
    """
    weights = _list_weights(crashes)
    return len(weights) >= REPEATED_CRASHES and max(weights) > WEAK


def choose_start_delay(crashes: Mapping[int, int], run: LostRun) -> float:
    """Return the time in seconds after a crash for which a lost run's task waits.

    After crashes just after a start it is spread evenly, and the same for the same
    run. A task is not given up before the evidence is settled.
    """
    at_start = [weight for weight in _list_weights(crashes) if weight > WEAK]
    least = SETTLE_S if is_given_up(crashes) else 0.0
    if not at_start:
        return least
    longest = FIRST_START_DELAY_S if len(at_start) == 1 else MAX_START_DELAY_S
    delay = random.Random(f"{run.task} {run.number}").uniform(0, longest)
    return max(least, delay)


def is_given_up(crashes: Mapping[int, int]) -> bool:
    """Return whether a task has crashed too many endpoints to be started again.

    Endpoints that crash for other reasons may do so just after a start by chance, so
    that one such crash and others at which the task merely ran are not enough.
    """
    weights = _list_weights(crashes)
    unusual = [weight for weight in weights if weight != AT_START]
    explained = list(crashes.values()).count(BESIDE_SUSPECT)
    if len(unusual) >= max(MAX_CRASHES, explained + MIN_UNEXPLAINED_CRASHES):
        return True
    latest = _list_since_survival(crashes)
    suspicions = [weight for weight in unusual if weight > WEAK]
    score = 2 * len(suspicions) + latest.count(AT_START)
    if SOLE_SUSPECT in suspicions and score >= MIN_SCORE:
        return True
    new = latest.count(NEW_ENDPOINT)
    return (
        len(latest) - new + min(new, 1) >= MAX_START_CRASHES
        and len(latest) - latest.count(UNRELATED) >= MIN_RELATED_CRASHES
    )


def is_next_decisive(crashes: Mapping[int, int]) -> bool:
    """Return whether a task is given up if its next start is followed by a crash."""
    return is_given_up({**crashes, max(crashes, default=0) + 1: AT_START})


def _list_since_survival(crashes: Mapping[int, int]) -> list[int]:
    """Return the latest evidence, after the last start that an endpoint survived."""
    latest = itertools.takewhile(
        lambda weight: weight not in (WEAK, BESIDE_SUSPECT, NONE),
        reversed(crashes.values()),
    )
    return [_EQUIVALENTS.get(weight, weight) for weight in latest]


def _list_weights(crashes: Mapping[int, int]) -> list[int]:
    return [
        _EQUIVALENTS.get(weight, weight)
        for weight in crashes.values()
        if weight not in NO_EVIDENCE
    ]


def weigh_runs(
    crash: Crash, is_unusual: Callable[[TaskId], bool]
) -> Iterator[tuple[LostRun, int]]:
    """Yield the runs that were lost in a crash, and the evidence against each.

    Parameters
    ----------
    is_unusual : callable
        Returns whether the crash is unusual, apart from crashes with a task.
    """
    time = crash.outage.time
    suspects = list_just_started(crash)
    for run in crash.runs:
        if crash.is_new:
            yield run, NEW_ENDPOINT
        elif crash.is_rack_lost:
            yield run, UNRELATED if has_followed_start(run, time) else NONE
        elif crash.is_shared or not is_unusual(run.task):
            yield run, AT_START if has_followed_start(run, time) else NONE
        elif run in suspects:
            yield run, SOLE_SUSPECT if len(suspects) == 1 else SUSPECT
        elif time.earliest - run.started_at >= MAX_RUN_AGE_S:
            continue
        elif _is_explained(crash):
            yield run, BESIDE_SUSPECT
        else:
            yield run, WEAK


def list_just_started(crash: Crash) -> list[LostRun]:
    """Return the runs that may have just started when their endpoint crashed."""
    return [run for run in crash.runs if _may_have_started(run, crash.outage.time)]


def _may_have_started(run: LostRun, time: CrashTime) -> bool:
    return (
        not run.has_survived_start
        and time.earliest - run.started_at < SUSPICION_WINDOW_S
    )


def has_followed_start(run: LostRun, time: CrashTime) -> bool:
    """Return whether the endpoint did not respond any more just after a run's start."""
    return _may_have_started(run, time) and time.latest - run.started_at < DETECTION_S


def is_shared(outage: Outage, others: Collection[Outage]) -> bool:
    """Return whether other endpoints stopped responding at the same time.

    Then their common rack, data centre or network is the likely cause.
    """
    at_once = {
        row.instance: row.rack
        for row in others
        if row.instance != outage.instance and _is_at_once(row.time, outage.time)
    }
    return outage.rack in at_once.values() or len(at_once) >= MAX_OUTAGES_ELSEWHERE


def is_rack_lost(outage: Outage, others: Collection[Outage]) -> bool:
    """Return whether another endpoint of the rack was certainly lost with this one."""
    return outage.time.span <= MAX_CERTAIN_SPAN_S and any(
        row.rack == outage.rack
        and row.instance != outage.instance
        and row.time.span <= MAX_CERTAIN_SPAN_S
        and _is_at_once(row.time, outage.time)
        for row in others
    )


def _is_at_once(other: CrashTime, time: CrashTime) -> bool:
    return (
        other.span <= MAX_OUTAGE_SPAN_S
        and other.earliest - TIMING_TOLERANCE_S <= time.latest
        and time.earliest - TIMING_TOLERANCE_S <= other.latest
    )


def is_unusual(
    crash: Crash, task: TaskId, recent: Collection[Crash], endpoints: int
) -> bool:
    """Return whether a crash with a task is unusual for its instance and the fleet.

    A crash on the same instance matters unless it is explained, and those on others
    unless they may have had the same cause: the task, or a run that had just started.

    Parameters
    ----------
    recent : collection of Crash
        Other crashes of the last `RECENT_CRASH_S`, of all pools.
    endpoints : int
        Number of endpoints of the fleet.
    """
    unexplained = [row for row in recent if not _is_explained(row)]
    if any(row.outage.instance == crash.outage.instance for row in unexplained):
        return False
    others = {
        row.outage.instance
        for row in unexplained
        if not row.has_task(task) and not _list_suspects(row)
    }
    return len(others) < max(MIN_USUAL_CRASHES, USUAL_CRASH_SHARE * endpoints)


def _is_explained(crash: Crash) -> bool:
    """Return whether a run had certainly just started, or a task was given up."""
    return crash.is_culprit_known or any(
        crash.outage.time.latest - run.started_at < SUSPICION_WINDOW_S
        for run in _list_suspects(crash)
    )


def _list_suspects(crash: Crash) -> list[LostRun]:
    """Return the runs that a crash by itself may speak against."""
    if crash.is_shared or crash.is_new:
        return []
    return list_just_started(crash)
