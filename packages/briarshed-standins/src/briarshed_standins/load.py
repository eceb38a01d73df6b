"""Open-loop load generator that records the outcome of each job.

Jobs are sent at their scheduled times, independently of earlier responses. Like a load
balancer, it sends each job to the next entry whose ``/readyz`` returns 200. A refused
connection submits nothing, so the job is sent to the next entry.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import Annotated, Any, NamedTuple, Self

import aiohttp
import typer

from briarshed_standins.checker import CallerRecord, Outcome
from briarshed_standins.programs import now
from briarshed_standins.tasks import make_answer, make_body

READY_POLL_S = 0.1
READY_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 1.0
RESPONSE_GRACE_S = 5.0


class Source(NamedTuple):
    """Origin of a part of the jobs.

    Attributes
    ----------
    team, key : str
        Team and the text of its API key; both empty for an open queue.
    disconnects_after_ms : int or None
        Time after which its callers disconnect without waiting for a response.
    weight : float
        Share of the jobs, relative to the other sources.
    task_options : Mapping[str, int]
        Options of the jobs' bodies; see ``tasks``.
    """

    queue: str
    team: str = ""
    key: str = ""
    weight: float = 1.0
    idempotent: bool = True
    urgent: bool = False
    deadline_ms: int = 10_000
    disconnects_after_ms: int | None = None
    task_options: Mapping[str, int] = {}


class Job(NamedTuple):
    """One job; ``at_s`` is its time of sending, in seconds after the start."""

    job: str
    at_s: float
    source: Source
    body: bytes


def make_jobs(
    sources: Sequence[Source], rate: float, seconds: float, seed: int, prefix: str = "j"
) -> list[Job]:
    """Return jobs with Poisson arrivals, reproducible by seed.

    Parameters
    ----------
    rate : float
        Total jobs per second of all sources.
    """
    generator = random.Random(seed)
    weights = [source.weight for source in sources]
    jobs: list[Job] = []
    at_s = generator.expovariate(rate)
    while at_s < seconds:
        name = f"{prefix}-{seed}-{len(jobs)}"
        (source,) = generator.choices(sources, weights)
        jobs.append(Job(name, at_s, source, make_body(name, **source.task_options)))
        at_s += generator.expovariate(rate)
    return jobs


class Callers:
    """Sends jobs to the entries of a fleet; an async context manager.

    Parameters
    ----------
    list_urls : Callable
        Returns the URLs of all entries.
    keep_alive : bool
        Whether to reuse connections. Otherwise a lost connection affects exactly one
        job.
    grace_s : float
        Time that a caller waits for a response after the job's deadline.
    """

    def __init__(
        self,
        list_urls: Callable[[], Sequence[str]],
        keep_alive: bool = False,
        grace_s: float = RESPONSE_GRACE_S,
    ) -> None:
        self._list_urls = list_urls
        self._grace_s = grace_s
        self._keep_alive = keep_alive
        self._ready: list[str] = []
        self._next = 0

    async def __aenter__(self) -> Self:
        connector = aiohttp.TCPConnector(limit=0, force_close=not self._keep_alive)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )
        await self._find_ready()
        self._poller = asyncio.create_task(self._poll())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._poller.cancel()
        await asyncio.gather(self._poller, return_exceptions=True)
        await self._session.close()

    async def send_all(self, jobs: Iterable[Job]) -> list[CallerRecord]:
        """Send each job at its scheduled time; return the callers' records."""
        started_at = now()

        async def send_at_time(job: Job) -> CallerRecord:
            await asyncio.sleep(max(0.0, started_at + job.at_s - now()))
            return await self.send(job)

        return list(await asyncio.gather(*(send_at_time(job) for job in jobs)))

    async def send(self, job: Job) -> CallerRecord:
        """Submit one job; return its caller's record."""
        sent_at = now()
        urls = self._order_urls()
        for url in urls:
            try:
                async with asyncio.timeout(self._find_timeout_s(job.source)):
                    status, outcome, code, correct = await self._post(url, job)
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
                continue
            except TimeoutError:
                left = job.source.disconnects_after_ms is not None
                outcome, code = ("left", "left") if left else ("none", "timeout")
                status, correct = 0, False
            except aiohttp.ClientError:
                status, outcome, code, correct = 0, "none", "connection-lost", False
            return _make_record(job, url, sent_at, status, outcome, code, correct)
        entry = urls[-1] if urls else ""
        return _make_record(job, entry, sent_at, 0, "not run", "no-entry", False)

    async def _post(self, url: str, job: Job) -> tuple[int, Outcome, str, bool]:
        source = job.source
        headers = {
            "Briarshed-Job-Id": job.job,
            "Briarshed-Idempotent": "true" if source.idempotent else "false",
            "Briarshed-Urgent": "true" if source.urgent else "false",
            "Briarshed-Deadline-Ms": str(source.deadline_ms),
        }
        if source.key:
            headers["Authorization"] = f"Bearer {source.key}"
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        async with self._session.post(
            f"{url}/queues/{source.queue}/jobs",
            data=job.body,
            headers=headers,
            timeout=timeout,
        ) as answer:
            data = await answer.read()
            own = answer.headers.get("Briarshed-Job-Id") == job.job
            if answer.status == 200:
                return 200, "finished", "", own and data == make_answer(job.body)
            outcome, code = _read_refusal(data)
            return answer.status, outcome, code, False

    def _find_timeout_s(self, source: Source) -> float:
        if source.disconnects_after_ms is not None:
            return source.disconnects_after_ms / 1000
        return source.deadline_ms / 1000 + self._grace_s

    def _order_urls(self) -> list[str]:
        known = list(self._list_urls())
        ready = [url for url in self._ready if url in known] or known
        self._next += 1
        start = self._next % len(ready) if ready else 0
        ordered = ready[start:] + ready[:start]
        return ordered + [url for url in known if url not in ordered]

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(READY_POLL_S)
            await self._find_ready()

    async def _find_ready(self) -> None:
        urls = self._list_urls()
        found = await asyncio.gather(*(self._is_ready(url) for url in urls))
        self._ready = [url for url, ready in zip(urls, found, strict=True) if ready]

    async def _is_ready(self, url: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        try:
            async with self._session.get(f"{url}/readyz", timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


def _read_refusal(data: bytes) -> tuple[Outcome, str]:
    try:
        content: Any = json.loads(data)
        outcome, code = content["outcome"], content["code"]
    except (ValueError, KeyError, TypeError):
        return "none", "malformed"
    if outcome not in ("not run", "unknown"):
        return "none", "malformed"
    return outcome, code


def _make_record(
    job: Job,
    entry: str,
    sent_at: float,
    status: int,
    outcome: Outcome,
    code: str,
    correct: bool,
) -> CallerRecord:
    source = job.source
    return CallerRecord(
        job=job.job,
        entry=entry,
        queue=source.queue,
        team=source.team,
        key=source.key.partition(".")[0],
        idempotent=source.idempotent,
        sent_at=sent_at,
        told_at=now(),
        status=status,
        outcome=outcome,
        code=code,
        correct=correct,
    )


def write_caller_records(path: Path, caller_records: Iterable[CallerRecord]) -> None:
    """Write callers' records as JSON Lines."""
    lines = [json.dumps(one._asdict()) for one in caller_records]
    path.write_text("".join(f"{line}\n" for line in lines))


def run_load(
    list_urls: Callable[[], Sequence[str]],
    jobs: Sequence[Job],
    keep_alive: bool = False,
) -> list[CallerRecord]:
    """Send all jobs in a new event loop."""

    async def run() -> list[CallerRecord]:
        async with Callers(list_urls, keep_alive) as callers:
            return await callers.send_all(jobs)

    return asyncio.run(run())


def main(
    entry: Annotated[list[str], typer.Option(help="URL of an entry for callers")],
    queue: Annotated[str, typer.Option()],
    record: Annotated[Path, typer.Option(help="file for the callers' records")],
    team: Annotated[str, typer.Option()] = "",
    key: Annotated[str, typer.Option(envvar="BRIARSHED_KEY")] = "",
    rate: Annotated[float, typer.Option(help="jobs per second")] = 20.0,
    seconds: Annotated[float, typer.Option()] = 10.0,
    idempotent: Annotated[bool, typer.Option()] = False,
    deadline_ms: Annotated[int, typer.Option()] = 10_000,
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Send jobs to a queue and record their outcomes."""
    source = Source(queue, team, key, idempotent=idempotent, deadline_ms=deadline_ms)
    caller_records = run_load(lambda: entry, make_jobs([source], rate, seconds, seed))
    write_caller_records(record, caller_records)
    counts = {one.outcome: 0 for one in caller_records}
    for one in caller_records:
        counts[one.outcome] += 1
    print(json.dumps({"submitted": len(caller_records)} | counts))
    sys.exit(0)


if __name__ == "__main__":
    typer.run(main)
