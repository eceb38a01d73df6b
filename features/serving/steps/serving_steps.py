"""Steps for jobs that pass through one entry to fake endpoints."""

import asyncio
import json
import random
from collections import Counter

from behave import given, then, when
from serving_fakes import FakeEndpoint, make_settings, open_entry, wait_until


async def submit_all(context, jobs, settings=None, **headers):
    async with open_entry(context.fakes, settings) as entry:
        context.entry = entry
        entry.scheduler.seed(1)
        answers = await asyncio.gather(
            *[
                entry.submit(body=body, Briarshed_Job_Id=name, **headers)
                for name, body in jobs.items()
            ]
        )
        context.answers = dict(zip(jobs, answers, strict=True))


@then('the caller of "{name}" gets status {status:d}, "" and ""')
def step_answered(context, name, status):
    step_own_answer(context, name)


@given("an endpoint")
def step_endpoint(context):
    context.fakes = {"i-1": FakeEndpoint()}


@given('an endpoint whose first response has the fault "{fault}"')
def step_first_fault(context, fault):
    context.fakes = {"i-1": FakeEndpoint(fault)}
    context.fakes["i-1"].fault_once = True


@given('a keep-alive endpoint whose first response has the fault "{fault}"')
def step_keeping(context, fault):
    step_first_fault(context, fault)
    context.fakes["i-1"].keep_alive = True


@when('jobs "{one}" and "{two}" are submitted {seconds:g} s apart')
def step_submit_in_turn(context, one, two, seconds):
    async def run():
        async with open_entry(context.fakes) as entry:
            context.answers = {}
            for name in (one, two):
                context.answers[name] = await entry.submit(
                    body=name.encode(), Briarshed_Job_Id=name
                )
                await asyncio.sleep(seconds)

    asyncio.run(run())


@given('an endpoint whose responses have the fault "{fault}"')
def step_fault(context, fault):
    endpoint = FakeEndpoint(fault)
    endpoint.frozen = fault == "frozen"
    endpoint.is_unreachable = fault == "unreachable"
    endpoint.run_time = 5.0 if fault == "runs too long" else 0.0
    context.fakes = {"i-1": endpoint}


@when('job "{name}" is submitted')
def step_submit(context, name):
    asyncio.run(submit_all(context, {name: name.encode()}))


@when('jobs "{one}" and "{two}" are submitted together')
def step_submit_two(context, one, two):
    asyncio.run(submit_all(context, {one: one.encode(), two: two.encode()}))


@when(
    "a job with {size:d} bytes is submitted"
    " and responses are limited to {limit:d} bytes"
)
def step_submit_large(context, size, limit):
    settings = make_settings(endpoints={"max_answer_bytes": limit})
    asyncio.run(submit_all(context, {"a": b"x" * size}, settings))


@then('the caller of "{name}" gets status 200 and its own response')
def step_own_answer(context, name):
    status, body, headers = context.answers[name]
    assert (status, body) == (200, b"done " + name.encode()), (status, body)
    assert headers["Briarshed-Job-Id"] == name


@when('{kind} job "{name}" with a deadline of {deadline:d} ms is submitted')
def step_submit_kind(context, kind, name, deadline):
    flag = "true" if kind == "idempotent" else "false"
    headers = {"Briarshed_Idempotent": flag, "Briarshed_Deadline_Ms": str(deadline)}
    context.idempotent = {name: flag}
    asyncio.run(submit_all(context, {name: name.encode()}, **headers))


async def submit_to_frozen(context, deadline, resumes):
    async with open_entry(context.fakes) as entry:
        running = entry.coordinator.running
        context.status, *_ = await entry.submit(Briarshed_Deadline_Ms=str(deadline))
        context.held = running["hotels"]
        context.fakes["i-1"].frozen = not resumes
        context.freed_after = await wait_until(lambda: not running["hotels"], 4)
        await entry.scheduler.drain()


@when(
    "a job with a deadline of {deadline:d} ms is submitted"
    " and the endpoint stays frozen"
)
def step_stay_frozen(context, deadline):
    asyncio.run(submit_to_frozen(context, deadline, False))


@when(
    "a job with a deadline of {deadline:d} ms is submitted"
    " and the endpoint resumes after the response"
)
def step_thaw(context, deadline):
    asyncio.run(submit_to_frozen(context, deadline, True))


@when("two jobs of a team with limit 1 are submitted")
def step_limit(context):
    async def run():
        async with open_entry(context.fakes) as entry:
            entry.replica.configuration["teams"]["hotels"]["limit"] = 1
            calls = [entry.submit(Briarshed_Deadline_Ms="600") for _ in range(2)]
            context.answers = await asyncio.gather(*calls)

    asyncio.run(run())


FAULTS = (
    "",
    "close after 0 bytes",
    "close after some bytes",
    "close after all bytes",
    "close before the response",
    "silent",
    "silent before start",
    "truncated",
    "wrong attempt",
    "late",
    "full",
    "fail",
    "impossible",
)


async def run_with_random_faults(context, count, seed):
    rng = random.Random(seed)
    context.fakes = {f"i-{n}": FakeEndpoint(run_time=0.01) for n in range(3)}
    for fake in context.fakes.values():
        fake.choose_fault = lambda: rng.choice(FAULTS)
    async with open_entry(context.fakes) as entry:
        context.entry = entry
        entry.replica.configuration["teams"]["hotels"]["limit"] = 12

        async def submit(number):
            await asyncio.sleep(rng.random() * 2)
            return await entry.submit(
                body=f"body-{number}".encode(),
                Briarshed_Job_Id=f"job-{number}",
                Briarshed_Idempotent=context.idempotent[f"job-{number}"],
                Briarshed_Deadline_Ms="5000",
            )

        context.idempotent = {
            f"job-{n}": rng.choice(["true", "false"]) for n in range(count)
        }
        got = await asyncio.gather(*[submit(number) for number in range(count)])
        context.answers = {f"job-{n}": answer for n, answer in enumerate(got)}
        await entry.scheduler.drain()


@when("{count:d} jobs run on three endpoints with random faults and seed {seed:d}")
def step_random(context, count, seed):
    asyncio.run(run_with_random_faults(context, count, seed))


@then("every caller got its own response or a refusal")
def step_all_answered(context):
    statuses = Counter()
    for name, (status, body, headers) in context.answers.items():
        statuses[status] += 1
        assert headers["Briarshed-Job-Id"] == name
        if status == 200:
            assert body == f"done body-{name.removeprefix('job-')}".encode(), body
        else:
            assert json.loads(body)["outcome"] in ("not run", "unknown")
    print(dict(statuses))
    assert statuses[200] > len(context.answers) / 3, statuses


@then("the team never ran more than its limit of {limit:d}")
def step_limit_held(context, limit):
    assert context.entry.coordinator.max_running["hotels"] <= limit


@then("every grant and slot is free again")
def step_all_free(context):
    entry = context.entry
    assert entry.coordinator.running["hotels"] == 0
    assert entry.coordinator.waiting["hotels"] == 0
    assert entry.scheduler.count_running_here() == 0


def count_starts(context):
    return Counter(job for fake in context.fakes.values() for job in fake.started)


@then('no job that was refused as "not run" started')
def step_not_run(context):
    starts = count_starts(context)
    for name, (status, body, _) in context.answers.items():
        if status != 200 and json.loads(body)["outcome"] == "not run":
            assert starts[name] == 0, (name, body)


@then("a non-idempotent job started at most once")
def step_non_idempotent_once(context):
    idempotent = getattr(context, "idempotent", {})
    for name, count in count_starts(context).items():
        assert count <= 1 or idempotent.get(name) != "false", (name, count)


@then("the team's grant is held after the response and freed when the lease expires")
def step_held_for_lease(context):
    assert (context.status, context.held) == (504, 1), (context.status, context.held)
    # The deadline of 0.5 s plus the margin of 0.3 s, counted from the response.
    assert 0.6 < context.freed_after < 1.5, context.freed_after


@then(
    "the team's grant is held after the response and freed when the endpoint responds"
)
def step_held_until_answer(context):
    assert (context.status, context.held) == (502, 1), (context.status, context.held)
    assert context.freed_after < 2.5, context.freed_after


@then('one gets 429 "team-limit" with Retry-After, and one job started')
def step_team_limit(context):
    [(_, body, headers)] = [one for one in context.answers if one[0] == 429]
    assert json.loads(body)["code"] == "team-limit"
    assert int(headers["Retry-After"]) >= 1
    assert len(context.fakes["i-1"].started) == 1


@then('the caller of "{name}" gets status {status:d}, "{outcome}" and "{code}"')
def step_refused(context, name, status, outcome, code):
    got, body, headers = context.answers[name]
    content = json.loads(body)
    assert got == status, (got, content)
    assert (content["outcome"], content["code"]) == (outcome, code), content
    assert content["job_id"] == headers["Briarshed-Job-Id"] == name
    assert content["message"]


@then("no job started twice")
def step_once(context):
    starts = count_starts(context)
    assert max(starts.values(), default=0) <= 1, starts
