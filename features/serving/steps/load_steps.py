"""Steps for queues, scheduling, retries and ejection under load on real sockets."""

import asyncio
import json
from collections import Counter

from behave import given, then, when
from serving_fakes import FakeEndpoint, open_entry, wait_until


def make_fakes(faulty, total, fault):
    fakes = {f"i-{n}": FakeEndpoint(run_time=0.01) for n in range(total)}
    for fake in list(fakes.values())[:faulty]:
        fake.fault = fault
        fake.is_unreachable = fault == "unreachable"
        fake.run_time = 0.0
    return fakes


async def submit_many(entry, count, workers, **headers):
    """Submit jobs from concurrent callers and return the responses by job id."""
    answers = {}
    names = iter([f"job-{n}" for n in range(count)])

    async def submit_next():
        for name in names:
            answers[name] = await entry.submit(Briarshed_Job_Id=name, **headers)

    await asyncio.gather(*[submit_next() for _ in range(workers)])
    return answers


@when(
    "{count:d} idempotent jobs run in a pool of which {faulty:d} of {total:d} endpoints"
    ' have the fault "{fault}"'
)
def step_run_pool(context, count, faulty, total, fault):
    context.fakes = make_fakes(faulty, total, fault)
    context.faulty = list(context.fakes.values())[:faulty]

    async def run():
        async with open_entry(context.fakes) as entry:
            entry.scheduler.seed(1)
            context.answers = await submit_many(
                entry, count, 20, Briarshed_Idempotent="true"
            )
            context.counts = Counter(entry.scheduler.counts)

    asyncio.run(run())


@then("at most {most:g} attempts were made for each job")
def step_attempts(context, most):
    print(dict(context.counts))
    assert context.counts["attempts"] <= most * len(context.answers), context.counts


@then("every job was answered, at least {count:d} of them with 200")
def step_finished(context, count):
    statuses = Counter(status for status, *_ in context.answers.values())
    assert statuses.total() == len(context.answers)
    assert statuses[200] >= count, statuses
    assert set(statuses) <= {200, 502, 503}, statuses


@then("the failing endpoint got at least {count:d} jobs")
def step_not_ejected(context, count):
    assert context.faulty[0].requests >= count, context.faulty[0].requests


@when(
    "jobs run for {seconds:g} s in a pool of which {faulty:d} of {total:d} endpoints"
    ' have the fault "{fault}"'
)
def step_run_for(context, seconds, faulty, total, fault):
    context.fakes = make_fakes(faulty, total, fault)
    [context.faulty] = list(context.fakes.values())[:faulty]

    async def run():
        async with open_entry(context.fakes) as entry:
            entry.scheduler.seed(1)
            end = asyncio.get_running_loop().time() + seconds
            headers = {"Briarshed_Idempotent": "true"}
            while asyncio.get_running_loop().time() < end:
                await submit_many(entry, 32, 16, **headers)
            context.requests_before_recovery = context.faulty.requests
            context.faulty.fault = ""
            # The second ejection lasts 2 s.
            await asyncio.sleep(2.0)
            await submit_many(entry, 60, 12, **headers)
            context.requests_after_recovery = (
                context.faulty.requests - context.requests_before_recovery
            )

    asyncio.run(run())


@then("the failing endpoint got from {least:d} to {most:d} jobs")
def step_ejected(context, least, most):
    assert least <= context.requests_before_recovery <= most, (
        context.requests_before_recovery
    )


@then("a job sent after its recovery and the end of its ejection readmits it")
def step_readmitted(context):
    assert context.requests_after_recovery > 10, context.requests_after_recovery


@given("a queue limited to {jobs:d} jobs and {max_bytes:d} bytes, and a busy endpoint")
def step_bounds(context, jobs, max_bytes):
    context.fakes = {"i-1": FakeEndpoint(run_time=0.3, slots=1)}

    def prepare(entry):
        bounds = {"max_jobs": jobs, "max_bytes": max_bytes}
        entry.replica.configuration["queues"]["proofs"].update(bounds)

    context.prepare = prepare


@when("{count:d} jobs of {size:d} bytes are submitted")
def step_submit_sized(context, count, size):
    async def run():
        async with open_entry(context.fakes, slots=1) as entry:
            context.prepare(entry)
            first = asyncio.create_task(entry.submit(body=b"x" * size))
            await wait_until(lambda: context.fakes["i-1"].started)
            calls = [entry.submit(body=b"x" * size) for _ in range(count - 1)]
            context.answers = [*(await asyncio.gather(*calls)), await first]

    asyncio.run(run())


@then('{count:d} of them are refused at once with 429 "{code}" and Retry-After')
def step_refused(context, count, code):
    refused = [one for one in context.answers if one[0] == 429]
    assert len(refused) == count, [one[0] for one in context.answers]
    for _, body, headers in refused:
        assert json.loads(body)["code"] == code
        assert int(headers["Retry-After"]) >= 1
    assert all(status in (200, 429) for status, *_ in context.answers)


@given("a queue with a learned run time of {seconds:g} s, and a busy endpoint")
def step_learned(context, seconds):
    context.fakes = {"i-1": FakeEndpoint(run_time=seconds, slots=1)}


async def submit_behind(context, count, team="hotels", **headers):
    async with open_entry(context.fakes, slots=1) as entry:
        entry.replica.add_team("ferries")
        await entry.submit()
        others = [asyncio.create_task(entry.submit()) for _ in range(count + 1)]
        await wait_until(lambda: entry.coordinator.waiting["hotels"] == count)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        context.answer = await entry.submit(team=team, **headers)
        context.seconds = loop.time() - started_at
        for other in others:
            other.cancel()
        await asyncio.gather(*others, return_exceptions=True)


@when(
    "{count:d} jobs wait and one more with a deadline of {deadline:d} ms is submitted"
)
def step_wait_long(context, count, deadline):
    asyncio.run(submit_behind(context, count, Briarshed_Deadline_Ms=str(deadline)))


@when(
    '{count:d} jobs wait and one more of team "{team}"'
    " with a deadline of {deadline:d} ms is submitted"
)
def step_wait_other(context, count, team, deadline):
    headers = {"Briarshed_Deadline_Ms": str(deadline)}
    asyncio.run(submit_behind(context, count, team, **headers))


@when("{count:d} jobs wait and one urgent job is submitted")
def step_urgent(context, count):
    asyncio.run(submit_behind(context, count, Briarshed_Urgent="true"))


@then(
    'the last job is refused within {seconds:g} s with 429 "{code}" and Retry-After'
    " from {least:d} to {most:d}"
)
def step_early(context, seconds, code, least, most):
    status, body, headers = context.answer
    assert (status, json.loads(body)["code"]) == (429, code), body
    assert context.seconds < seconds, context.seconds
    # The learned run time grows a little on a busy machine.
    assert least <= int(headers["Retry-After"]) <= most, headers


@then("the last job is answered with {status:d}")
def step_answered(context, status):
    assert context.answer[0] == status, context.answer


@then("the last job started within {seconds:g} s")
def step_started(context, seconds):
    # It ran for 0.3 s after its start.
    assert context.answer[0] == 200, context.answer
    assert context.seconds - 0.3 < seconds, context.seconds


@when(
    'team "{one}" with limit 1 and team "{two}" each submit {count:d} jobs of'
    " {seconds:g} s"
)
def step_two_teams(context, one, two, count, seconds):
    context.fakes = {"i-1": FakeEndpoint(run_time=seconds, slots=4)}

    async def run():
        async with open_entry(context.fakes, slots=4) as entry:
            entry.replica.add_team(two)
            entry.replica.configuration["teams"][one]["limit"] = 1
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            calls = [entry.submit(team=one) for _ in range(count)]
            calls = [asyncio.create_task(call) for call in calls]
            others = [entry.submit(team=two) for _ in range(count)]
            context.answers = await asyncio.gather(*others)
            context.seconds = (loop.time() - started_at) / seconds
            context.answers += await asyncio.gather(*calls)
            context.max_running = entry.coordinator.max_running

    asyncio.run(run())


@then('"{one}" never ran more than 1 job, and the jobs of "{two}" ran in parallel')
def step_beside(context, one, two):
    assert all(status == 200 for status, *_ in context.answers)
    assert context.max_running[one] == 1
    assert context.seconds < 2, context.seconds


@when("a job waits at limit 0 and the limit is raised after {seconds:g} s")
def step_raise(context, seconds):
    context.fakes = {"i-1": FakeEndpoint()}

    async def run():
        async with open_entry(context.fakes) as entry:
            team = entry.replica.configuration["teams"]["hotels"]
            team["limit"] = 0
            call = asyncio.create_task(entry.submit())
            await asyncio.sleep(seconds)
            assert not context.fakes["i-1"].started
            team["limit"] = 1
            context.seconds = await wait_until(lambda: context.fakes["i-1"].started)
            assert (await call)[0] == 200

    asyncio.run(run())


@then("it starts within {seconds:g} s after the raise")
def step_raised(context, seconds):
    assert context.seconds < seconds, context.seconds


async def run_beside(context, count, state, data_centre, run_time, evacuated=()):
    other = FakeEndpoint(run_time=run_time)
    context.other = other
    context.fakes = {"i-1": FakeEndpoint(run_time=run_time)}
    async with open_entry(context.fakes) as entry, other:
        entry.scheduler.seed(1)
        entry.replica.add_instance("i-2", "proofs", other.address, state, data_centre)
        entry.replica.fleet["evacuated"] = {name: {} for name in evacuated}
        entry.replica.publish()
        context.answers = await submit_many(entry, count, count)


@when(
    "{count:d} jobs of {seconds:g} s run with another instance in"
    ' "{data_centre}", which is evacuated'
)
def step_evacuated(context, count, seconds, data_centre):
    asyncio.run(
        run_beside(context, count, "serving", data_centre, seconds, (data_centre,))
    )


@when('{count:d} jobs run with another instance in state "{state}" in "{data_centre}"')
def step_state(context, count, state, data_centre):
    workers = 5 if data_centre == "dc2" else count
    asyncio.run(run_beside(context, min(count, workers), state, data_centre, 0.05))


@then("the other instance gets {jobs}")
def step_other(context, jobs):
    assert all(status == 200 for status, *_ in context.answers.values())
    assert bool(context.other.requests) == (jobs == "some jobs")


@when('{count:d} jobs of {seconds:g} s run with another instance in "{data_centre}"')
def step_far(context, count, seconds, data_centre):
    asyncio.run(run_beside(context, count, "serving", data_centre, seconds))


@then("every job is answered with 200, and the other instance got at least {count:d}")
def step_far_used(context, count):
    assert all(status == 200 for status, *_ in context.answers.values())
    assert context.other.requests >= count, context.other.requests


@when("an instance starts to leave while {count:d} jobs run")
def step_leave(context, count):
    context.fakes = {f"i-{n}": FakeEndpoint(run_time=0.1) for n in range(2)}

    async def run():
        async with open_entry(context.fakes) as entry:
            calls = asyncio.create_task(submit_many(entry, count, count))
            leaving = context.fakes["i-0"]
            await wait_until(lambda: len(leaving.started) >= 3)
            entry.replica.fleet["instances"]["i-0"]["state"] = "leaving"
            entry.replica.publish()
            # Requests whose first byte was already sent still arrive.
            await asyncio.sleep(0.01)
            before = leaving.requests
            context.answers = await calls
            context.later = leaving.requests - before

    asyncio.run(run())


@then("every job is answered with 200, and the leaving instance got no later job")
def step_left(context):
    assert all(status == 200 for status, *_ in context.answers.values())
    assert context.later == 0, context.later


@when("{count:d} callers submit jobs and {left:d} of them disconnect at once")
def step_burst(context, count, left):
    context.fakes = {f"i-{n}": FakeEndpoint(run_time=0.1) for n in range(2)}

    async def run():
        async with open_entry(context.fakes) as entry:
            calls = [
                asyncio.create_task(
                    entry.submit(Briarshed_Idempotent=("true", "false")[n % 2])
                )
                for n in range(count)
            ]
            await wait_until(lambda: len(entry.scheduler.list_jobs()) > count // 2)
            for call in calls[:left]:
                call.cancel()
            context.answers = await asyncio.gather(*calls[left:])
            await entry.scheduler.drain()
            context.leftovers = [
                entry.coordinator.running["hotels"],
                entry.coordinator.waiting["hotels"],
                entry.scheduler.count_running_here(),
                len(entry.scheduler.list_jobs()),
                entry.scheduler.counts["unsettled"],
            ]

    asyncio.run(run())


@then("the other jobs are answered with 200, and no grant or queued job is left")
def step_burst_over(context):
    assert all(status == 200 for status, *_ in context.answers)
    assert context.leftovers == [0] * 5, context.leftovers


@when(
    "{count:d} jobs of {seconds:g} s are submitted to one endpoint with {slots:d} slots"
)
def step_connections(context, count, seconds, slots):
    context.fakes = {"i-1": FakeEndpoint(run_time=seconds, slots=slots)}

    async def run():
        async with open_entry(context.fakes, slots=slots) as entry:
            context.answers = await submit_many(entry, count, count)

    asyncio.run(run())


@then("at most {most:d} connections to it were open at a time")
def step_most_open(context, most):
    assert all(status == 200 for status, *_ in context.answers.values())
    assert context.fakes["i-1"].max_open_connections <= most, context.fakes[
        "i-1"
    ].max_open_connections
