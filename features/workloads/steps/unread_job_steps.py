"""Steps for jobs whose body an entry does not read, in virtual time."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from virtual_fleet import Fleet
from virtual_time import run_virtually
from withdrawn_job_steps import JOB, list_jobs_run, make_submission, settle

from briarshed.exceptions import NoRoomError
from briarshed_entry import clock
from briarshed_platform import callers as callers_module
from briarshed_platform.callers import Call, Callers
from briarshed_workloads.refusals import MAX_REFUSALS, number_attempt
from briarshed_workloads.transport import SubmitRequest

EARLIER_S = 0.3
RUN_S = 2.0
TIMEOUT_S = 2.8


async def read_no_body(*_):
    """Find no memory for a body."""
    raise NoRoomError("no memory for the body")


async def refuse_job(entry):
    """Return the status of a job that is sent to an entry without memory."""
    queue = SimpleNamespace(name="q", pool="p", prefix="/q/", timeout=3.0)
    limits = SimpleNamespace(body_bytes=1_000)
    view = SimpleNamespace(
        configuration=SimpleNamespace(limits=limits),
        forwarder=entry.forwarder,
        describe_basis=entry.describe_basis,
    )
    request = SimpleNamespace(method="POST", headers={}, path="/q/" + JOB)
    with mock.patch.object(callers_module, "read_body", read_no_body):
        response = await Callers(view)._submit(request, Call(queue, "t", JOB))
    return response.status


async def send_job(entry, leader, message, received_at):
    """Return the outcome of another request for the job, after its refusal."""
    if message == "a new request of its caller":
        return (await entry.forwarder.submit(make_submission(), TIMEOUT_S)).outcome
    attempt = number_attempt(received_at, received_at, received_at)
    request = SubmitRequest(1, make_submission(), attempt, leader.term.epoch)
    return (await leader.forwarder.submit_locally(request)).outcome


async def change_state(leader, state):
    """Bring the leader into a state in which it cannot keep a refusal."""
    controller = leader.controller
    if state == "has accepted it before":
        result = await controller.submit(make_submission())
        assert result.outcome == "accepted", result
    elif state == "keeps as many refusals as it can":
        for number in range(MAX_REFUSALS):
            controller.refusals.note(f"{number:016x}", clock.now())
    elif state == "has not read the records":
        controller.is_loaded = False
    else:
        controller.term.has_authority = lambda: False


@given("3 entries, and one of them without memory")
def step_entries(context):
    context.names = ["e0", "e1", "e2"]


@when("it refuses a job, and {message} arrives {seconds:g} s later")
def step_refused(context, message, seconds):
    async def run():
        async with Fleet(context.names) as fleet:
            leader = await settle(fleet)
            other = next(row for row in fleet.entries.values() if row is not leader)
            received_at = clock.now() - EARLIER_S
            context.status = await refuse_job(other)
            await asyncio.sleep(seconds)
            context.outcome = await send_job(other, leader, message, received_at)
            await asyncio.sleep(RUN_S)
            context.has_run = JOB in list_jobs_run(fleet)

    run_virtually(run())


@when("it refuses a job, and the leader {state}")
def step_not_kept(context, state):
    async def run():
        async with Fleet(context.names) as fleet:
            leader = await settle(fleet)
            other = next(row for row in fleet.entries.values() if row is not leader)
            await change_state(leader, state)
            context.status = await refuse_job(other)

    run_virtually(run())


@then("its caller was told {status:d}")
def step_status(context, status):
    assert context.status == status, context.status
