"""Steps for the path of a job through one entry, against fake endpoints."""

import asyncio
import json
from collections import Counter

from behave import given, then, when
from serving_fakes import FakeEndpoint, make_settings, open_entry


async def submit_all(context, jobs, settings=None, **headers):
    async with open_entry(context.fakes, settings) as entry:
        context.entry = entry
        answers = await asyncio.gather(
            *[
                entry.submit(body=body, Briarshed_Job_Id=name, **headers)
                for name, body in jobs.items()
            ]
        )
        context.answers = dict(zip(jobs, answers, strict=True))


@given("an endpoint")
def step_endpoint(context):
    context.fakes = {"i-1": FakeEndpoint()}


@given('an endpoint whose first answer is "{fault}"')
def step_first_fault(context, fault):
    context.fakes = {"i-1": FakeEndpoint(fault)}
    context.fakes["i-1"].fault_once = True


@given('an endpoint whose answers are "{fault}"')
def step_fault(context, fault):
    context.fakes = {"i-1": FakeEndpoint(fault)}


@when('job "{name}" is submitted')
def step_submit(context, name):
    asyncio.run(submit_all(context, {name: name.encode()}))


@when('jobs "{one}" and "{two}" are submitted together')
def step_submit_two(context, one, two):
    asyncio.run(submit_all(context, {one: one.encode(), two: two.encode()}))


@when("a job with {size:d} bytes is submitted and answers may have {limit:d} bytes")
def step_submit_large(context, size, limit):
    settings = make_settings(endpoints={"max_answer_bytes": limit})
    asyncio.run(submit_all(context, {"a": b"x" * size}, settings))


@then('the caller of "{name}" gets status 200 and its own answer')
def step_own_answer(context, name):
    status, body, headers = context.answers[name]
    assert (status, body) == (200, b"done " + name.encode()), (status, body)
    assert headers["Briarshed-Job-Id"] == name


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
    starts = Counter(job for fake in context.fakes.values() for job in fake.started)
    assert max(starts.values(), default=0) <= 1, starts
