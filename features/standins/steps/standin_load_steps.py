"""Steps for the load generator, against an entry with canned responses."""

import asyncio
import json

from behave import given, then, when

from briarshed_standins.checker import Report, Violation
from briarshed_standins.demo import format_lines, is_successful
from briarshed_standins.load import Callers, Job, Source
from briarshed_standins.processes import Ports
from briarshed_standins.tasks import make_answer, make_body

DEADLINE_MS = 300
GRACE_S = 0.2


def format_response(status, body, job, declared=None):
    length = len(body) if declared is None else declared
    head = f"HTTP/1.1 {status} X\r\nBriarshed-Job-Id: {job}\r\n"
    return f"{head}Content-Length: {length}\r\n\r\n".encode() + body


def format_refusal(**content):
    return lambda job, body: format_response(503, json.dumps(content).encode(), job)


RESPONSES = {
    "its own answer": lambda job, body: format_response(200, make_answer(body), job),
    "its own answer to another job": lambda job, body: format_response(
        200, make_answer(body), "other"
    ),
    "the answer to another body": lambda job, body: format_response(
        200, make_answer(b"other"), job
    ),
    "an empty answer": lambda job, body: format_response(200, b"", job),
    "a short body": lambda job, body: format_response(200, make_answer(body), job, 500),
    "a reset connection": lambda job, body: b"",
    "silence": lambda job, body: None,
    "a refusal as not run": format_refusal(outcome="not run", code="full"),
    "a refusal as unknown": format_refusal(outcome="unknown", code="full"),
    "a refusal without an outcome": format_refusal(code="full"),
    "a refusal that is not JSON": lambda job, body: format_response(503, b"no", job),
    "a refusal with another outcome": format_refusal(outcome="maybe", code="full"),
}


async def serve_responses(respond, ready):
    """Serve canned responses; return the server and its URL."""

    async def answer(reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = [line.partition(": ") for line in head.split("\r\n")]
        fields = {name.lower(): value for name, _, value in lines}
        if head.startswith("GET /readyz"):
            writer.write(format_response(200 if ready else 503, b"", ""))
        else:
            body = await reader.readexactly(int(fields["content-length"]))
            response = respond(fields["briarshed-job-id"], body)
            if response is None:
                await reader.read()
            writer.write(response or b"")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"http://{host}:{port}"


def submit(context, times=(0.0,), closed=False, **changes):
    """Send jobs at the given times and keep their callers' records."""
    source = Source("proofing", deadline_ms=DEADLINE_MS, **changes)
    jobs = [
        Job(f"j-{number}", at_s, source, make_body(f"j-{number}"))
        for number, at_s in enumerate(times)
    ]

    ports = Ports()
    context.add_cleanup(ports.close)

    async def run():
        # While no entry is ready, callers try all of them in turn, here the closed port
        # first.
        server, url = await serve_responses(RESPONSES[context.response], not closed)
        urls = [url, f"http://{ports.choose_address()}"] if closed else [url]
        async with server, Callers(lambda: urls, grace_s=GRACE_S) as callers:
            return await callers.send_all(jobs)

    context.jobs = jobs
    context.caller_records = asyncio.run(run())


@given("an entry that responds with {response}")
def step_entry(context, response):
    context.response = response


@when("a caller submits one job to it")
def step_submit(context):
    submit(context)


@when("a caller submits one job to a closed port and then to it")
def step_submit_closed(context):
    submit(context, closed=True)


@when("a caller submits one job to it and leaves after {ms:d} ms")
def step_submit_leaving(context, ms):
    submit(context, disconnects_after_ms=ms)


@when("callers submit {count:d} jobs within {seconds:g} s")
def step_submit_many(context, count, seconds):
    submit(context, [seconds * number / count for number in range(count)])


@then('the caller\'s record is {outcome}, code "{code}", {answer}')
def step_record(context, outcome, code, answer):
    (record,) = context.caller_records
    found = (record.outcome, record.code or "none", record.correct)
    assert found == (outcome, code, answer == "correct"), record


@then("all jobs were sent within {seconds:g} s of their times")
def step_times(context, seconds):
    first = context.caller_records[0].sent_at
    late = [
        record.sent_at - first - job.at_s
        for record, job in zip(context.caller_records, context.jobs, strict=True)
    ]
    assert max(late) < seconds, late


@given("a demo of 10 jobs with {finished:d} finished and the violation {violation}")
def step_demo(context, finished, violation):
    violations = () if violation == "none" else (Violation(violation, "j-1", ""),)
    context.report = Report(10, finished, 10 - finished, 0, 0, violations)


@then('the demo is {verdict} and its line ends with "{line}"')
def step_demo_verdict(context, verdict, line):
    assert is_successful(context.report) == (verdict == "good"), context.report
    assert format_lines(context.report)[1].endswith(line), context.report
