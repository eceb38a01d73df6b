"""Steps for what an entry forwards; the leader is a function, in virtual time."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from virtual_time import run_virtually

from briarshed.exceptions import NoRoomError
from briarshed_entry import clock
from briarshed_platform import callers as callers_module
from briarshed_platform.callers import Callers
from briarshed_workloads.forwarding import Forwarder, LeaderView
from briarshed_workloads.transport import (
    JobRequest,
    LeaderHeartbeat,
    PendingReplies,
    RefuseRequest,
    Reply,
    SubmitRequest,
)
from briarshed_workloads.workloads import Description, Resources, Step, Submission

JOB, KEY = "00000000000000aa", "key-1"
BODY = b'{"spec":"x","steps":[{"count":1}]}'
TIMEOUT_S = 2.8
SETTLE_S = 0.3
SILENT_ATTEMPTS = 2

ANSWERS = {
    "accepts jobs": ("accepted", "pending", "unknown"),
    "refuses jobs": ("full", "missing", "full"),
    "does not lead any more": ("not leader", "not leader", "not leader"),
    "knows no such job": ("accepted", "missing", "full"),
    "knows the job": ("accepted", "pending", "unknown"),
}
"""Outcomes of submissions, queries and refusals of jobs that were not read."""


class Leader:
    """Receives the messages of an entry and answers them by its behaviour."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.pending = PendingReplies()
        self.requests = []

    @property
    def submissions(self):
        """Return the submissions among the requests."""
        return [row for row in self.requests if isinstance(row, SubmitRequest)]

    def send(self, address, message):
        """Note a message, and answer it unless the leader is silent."""
        self.requests.append(message)
        behaviour = self.behaviour
        if len(self.submissions) > SILENT_ATTEMPTS:
            behaviour = behaviour.removeprefix("is silent and later ")
        if behaviour in ANSWERS:
            kinds = (SubmitRequest, JobRequest, RefuseRequest)
            outcome = ANSWERS[behaviour][kinds.index(type(message))]
            self.pending.resolve(Reply(message.id, outcome, 1.0))


class EntryView:
    """What a forwarder knows of its entry; the leader has just sent a heartbeat."""

    term = None
    address = "e1"
    configuration = None

    @property
    def leader(self):
        """Return the last heartbeat."""
        now = clock.now()
        heartbeat = LeaderHeartbeat("e1", 1, True, False, False, 1, {}, sent_at=now)
        return LeaderView(self.address, heartbeat, now)

    def is_leader_alive(self):
        """Tell that a leader is known."""
        return True

    def is_cut_off(self):
        """Tell that it is reached."""
        return False


async def read_nothing(key):
    """Find no item in the store."""


def make_forwarder(leader):
    """Return a forwarder to a leader, and what it knows of its entry."""
    entry = EntryView()
    store = SimpleNamespace(read=read_nothing)
    forwarder = Forwarder(entry, store, leader, leader.pending)
    forwarder._receiver = entry.address
    return forwarder, entry


def make_submission(size=0, job=JOB):
    """Return a submission of about a size in bytes."""
    step = Step(1, Resources(0, 0, 0))
    return Submission(job, "q", "p", "t", 0.0, Description("x" * size, (step,), None))


@given("an entry of a leader that {behaviour}")
def step_leader(context, behaviour):
    context.behaviour = behaviour
    context.has_room = True


@given("{room} for what it forwards")
def step_room(context, room):
    context.has_room = room == "room"


def make_callers(context, forwarder):
    """Return the handler of callers' requests, and the configuration it uses."""
    queue = SimpleNamespace(name="q", pool="p", prefix="/q/", timeout=3.0)
    entry = SimpleNamespace(
        configuration=SimpleNamespace(limits=SimpleNamespace(body_bytes=1_000)),
        forwarder=forwarder,
        describe_basis=lambda: "",
    )
    return Callers(entry), callers_module.Call(queue, "t", JOB)


async def submit_body(context, leader, read):
    """Send a job through the handler; its body is what ``read`` returns."""
    forwarder, _ = make_forwarder(leader)
    if not context.has_room:
        (other,) = await send_jobs(forwarder, [2_000_000])
        other.cancel()
    callers, call = make_callers(context, forwarder)
    request = SimpleNamespace(method="POST", headers={}, path="/q/" + JOB)
    original = callers_module.read_body
    callers_module.read_body = read
    try:
        if context.is_again:
            callers._submitting[JOB] += 1
        return await callers._submit(request, call)
    finally:
        callers_module.read_body = original


@when("a caller sends a head, and its body 2 s later")
def step_late_body(context):
    context.is_again = False
    context.leader = Leader(context.behaviour)

    async def read(*_):
        await asyncio.sleep(2.0)
        return BODY

    async def run():
        context.started_at = clock.now()
        await submit_body(context, context.leader, read)

    run_virtually(run())


@then("the attempt counts from the arrival of the head")
def step_attempt(context):
    (request,) = context.leader.submissions
    assert request.attempt <= context.started_at * 1_000, request.attempt


@when("a caller sends {what}")
def step_call(context, what):
    context.is_again = what.startswith("the job again")

    async def read(*_):
        if what != "a job":
            raise NoRoomError("no memory for the body")
        return BODY

    async def run():
        return await submit_body(context, Leader(context.behaviour), read)

    context.status = run_virtually(run()).status


@then("it is told {status:d}")
def step_told(context, status):
    assert context.status == status, context.status


@when("a submission and a query are given up after 0.2 s")
def step_given_up(context):
    context.leader = Leader(context.behaviour)

    async def run():
        forwarder, _ = make_forwarder(context.leader)
        tasks = [
            asyncio.create_task(forwarder.submit(make_submission(), TIMEOUT_S)),
            asyncio.create_task(forwarder.query(JOB, False, TIMEOUT_S)),
        ]
        await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_virtually(run())


@then("no reply is awaited")
def step_nothing_awaited(context):
    assert len(context.leader.requests) == 2
    assert not context.leader.pending._waiting


async def send_jobs(forwarder, sizes):
    """Send jobs at once; return their tasks after a moment."""
    tasks = [
        asyncio.create_task(
            forwarder.submit(make_submission(size, f"{number:016x}"), TIMEOUT_S)
        )
        for number, size in enumerate(sizes)
    ]
    await asyncio.sleep(SETTLE_S)
    return tasks


@when("a query is sent, and then a job of {size:d} bytes")
def step_query_first(context, size):
    async def run():
        leader = Leader(context.behaviour)
        forwarder, _ = make_forwarder(leader)
        query = asyncio.create_task(forwarder.query(JOB, False, TIMEOUT_S))
        await asyncio.sleep(SETTLE_S)
        tasks = await send_jobs(forwarder, [size])
        context.sent = len(leader.submissions)
        for task in (query, *tasks):
            task.cancel()

    run_virtually(run())


@when("{count:d} jobs of {size:d} bytes are sent at once")
def step_many(context, count, size):
    async def run():
        leader = Leader(context.behaviour)
        forwarder, _ = make_forwarder(leader)
        tasks = await send_jobs(forwarder, [size] * count)
        context.sent = len(leader.submissions)
        for request in list(leader.submissions):
            leader.pending.resolve(Reply(request.id, "accepted"))
        await asyncio.sleep(SETTLE_S)
        context.sent_again = len(leader.submissions)
        for task in tasks:
            task.cancel()

    context.jobs = count, size
    run_virtually(run())


@when("another entry leads")
def step_next_leader(context):
    async def run():
        leader = Leader(context.behaviour)
        forwarder, entry = make_forwarder(leader)
        count, size = context.jobs
        tasks = await send_jobs(forwarder, [size] * count)
        entry.address = "e3"
        await asyncio.sleep(SETTLE_S)
        context.sent = len(leader.submissions)
        for task in tasks:
            task.cancel()

    run_virtually(run())


@then("{sent:d} jobs have been sent when the leader has answered those")
def step_sent_again(context, sent):
    assert context.sent_again == sent, context.sent_again


@then("{sent:d} jobs have been sent")
@then("{sent:d} job has been sent")
def step_sent(context, sent):
    assert context.sent == sent, context.sent
