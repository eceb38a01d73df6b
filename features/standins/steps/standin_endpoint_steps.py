"""Steps for the endpoint stand-in."""

import json
import socket
import tempfile
from pathlib import Path

from behave import given, then, when
from steps.standin_store_steps import start_standin

from briarshed_standins.processes import call, wait_until
from briarshed_standins.tasks import make_answer, make_body

ANSWER_TIMEOUT_S = 5.0
SILENCE_S = 0.5
RUNNING_MS = 1_000
ENDPOINTS = 40
SHARED = []


class Post:
    """A task posted over a new connection; the response is read as raw bytes."""

    def __init__(self, address, attempt, lease_ms=60_000, **task_options):
        self.body = make_body(attempt, **task_options)
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)))
        head = (
            f"POST /tasks/{attempt} HTTP/1.1\r\nHost: {address}\r\n"
            f"Briarshed-Job-Id: job-{attempt}\r\nBriarshed-Lease-Ms: {lease_ms}\r\n"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        )
        self.socket.sendall(head.encode() + self.body)

    def read(self, timeout_s):
        """Return all bytes until the connection ends or the time-out expires."""
        data = b""
        self.socket.settimeout(timeout_s)
        try:
            while chunk := self.socket.recv(65_536):
                data += chunk
                # Long enough for a second response, shorter than the full time-out.
                self.socket.settimeout(0.2)
        except TimeoutError:
            return data, "silent"
        except ConnectionResetError:
            return data, "reset"
        return data, "closed"


class Answer:
    """Response on the connection of one task."""

    def __init__(self, post, timeout_s=ANSWER_TIMEOUT_S):
        self.data, self.ending = post.read(timeout_s)
        post.socket.close()
        head, _, self.body = self.data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.status = int(lines[0].split(" ")[1]) if self.data else 0
        pairs = (line.partition(": ") for line in lines[1:])
        self.headers = {name.lower(): value for name, _, value in pairs}


def list_record(lines, attempt):
    return [
        f"{line['event']} {line['result']}".strip()
        for line in lines
        if line["attempt"] == attempt
    ]


def get(context, path):
    return call("GET", f"http://{context.endpoint}{path}")


def post_task(context, attempt, lease_ms=60_000, **task_options):
    context.posts = getattr(context, "posts", {})
    context.posts[attempt] = Post(context.endpoint, attempt, lease_ms, **task_options)


def start_endpoints(context, slots, count, layer):
    """Start a process of endpoints; return its record file and addresses."""
    directory = tempfile.TemporaryDirectory(prefix="briarshed-")
    record = Path(directory.name) / "record.jsonl"
    context.add_cleanup(directory.cleanup, layer=layer)
    options = ["--slots", str(slots), "--record", str(record)]
    options += ["--address", "127.0.0.1:0"] * count
    line = start_standin(context, "endpoint", options, layer)
    return record, line["addresses"]


@given("an endpoint stand-in with {slots:d} slots")
def step_endpoint(context, slots):
    # One process has an unused endpoint for each scenario, since a start takes 1 s.
    if not SHARED:
        SHARED.extend(start_endpoints(context, slots, ENDPOINTS, "feature"))
    context.record, addresses = SHARED
    context.endpoint = addresses.pop()


@given("an endpoint stand-in in a process of its own")
def step_own_process(context):
    context.record, addresses = start_endpoints(context, 2, 1, "scenario")
    context.endpoint = addresses.pop()


@given("the endpoint stand-in has the fault {fault}")
def step_fault(context, fault):
    reply = call("POST", f"http://{context.endpoint}/_faults", json.loads(fault))
    assert reply.status == 200, reply


@when('attempt "{attempt}" is posted with a task of {ms:d} ms')
def step_post(context, attempt, ms):
    post_task(context, attempt, ms=ms)


@when(
    'attempt "{attempt}" is posted with a task of {ms:d} ms'
    " under a lease of {lease_ms:d} ms"
)
def step_post_leased(context, attempt, ms, lease_ms):
    post_task(context, attempt, lease_ms, ms=ms)


@when('attempts "a" and "b" are running')
def step_two_running(context):
    step_running(context, "a")
    step_running(context, "b")


@when('attempt "{attempt}" is running')
def step_running(context, attempt):
    post_task(context, attempt, ms=RUNNING_MS)
    path = f"/tasks/{attempt}"
    wait_until("running", lambda: get(context, path).content["state"] == "running")


@when('attempt "{attempt}" is unknown')
def step_unknown(context, attempt):
    assert get(context, f"/tasks/{attempt}").content == {"state": "never"}


@when('attempt "{attempt}" is finished')
def step_finished(context, attempt):
    post_task(context, attempt, ms=20)
    assert Answer(context.posts[attempt]).status == 200


@when('attempt "{attempt}" is failed')
def step_failed(context, attempt):
    post_task(context, attempt, ms=20, outcome=500)
    assert Answer(context.posts[attempt]).status == 500


@when("the endpoint stand-in becomes leaving")
def step_leaving(context):
    call("POST", f"http://{context.endpoint}/_state", {"state": "leaving"})


@when("the endpoint stand-in is killed")
def step_killed(context):
    context.standin.kill()


@then('attempt "{attempt}" is answered with {status:d}')
def step_answered(context, attempt, status):
    context.answer = Answer(context.posts[attempt])
    assert context.answer.status == status, context.answer.data


@then('attempt "{attempt}" of a running task is answered with {status:d}')
def step_running_answered(context, attempt, status):
    step_answered(context, attempt, status)


@then('attempt "{attempt}" is answered with {status:d} and the code "{code}"')
def step_refused(context, attempt, status, code):
    step_answered(context, attempt, status)
    content = json.loads(context.answer.body)
    assert content == {"outcome": "not run", "code": code}, content


@then('attempt "{attempt}" is answered with {status:d} over a new connection')
def step_new_connection(context, attempt, status):
    post_task(context, attempt, ms=20)
    step_answered(context, attempt, status)


@then('attempt "{attempt}" is answered with silence')
def step_silence(context, attempt):
    answer = Answer(context.posts[attempt], SILENCE_S)
    assert (answer.data, answer.ending) == (b"", "silent"), answer.data


@then('attempt "{attempt}" is answered with a broken connection')
def step_broken(context, attempt):
    answer = Answer(context.posts[attempt])
    assert answer.data == b"", answer.data
    assert answer.ending in ("reset", "closed"), answer.ending


@then('attempt "{attempt}" is answered with a short body')
def step_short(context, attempt):
    answer = Answer(context.posts[attempt])
    declared = int(answer.headers["content-length"])
    assert 0 < len(answer.body) < declared, answer.data
    assert answer.ending != "silent", answer.ending


@then('attempt "{attempt}" is answered with another attempt')
def step_other(context, attempt):
    post = context.posts[attempt]
    answer = Answer(post)
    assert answer.status == 200, answer.data
    assert answer.headers["briarshed-attempt"] != attempt, answer.headers
    assert answer.body != make_answer(post.body), answer.body


@then('attempt "{attempt}" is answered with two responses')
def step_two(context, attempt):
    answer = Answer(context.posts[attempt])
    assert answer.data.count(b"HTTP/1.1 200 OK") == 2, answer.data


@then('the answer is complete, and names its attempt and the load "{load}"')
def step_complete(context, load):
    answer = context.answer
    assert answer.body == make_answer(context.posts["a"].body), answer.body
    assert answer.headers["briarshed-attempt"] == "a", answer.headers
    assert answer.headers["briarshed-load"] == load, answer.headers


@then('the state of attempt "{attempt}" is {state}')
def step_state(context, attempt, state):
    reply = get(context, f"/tasks/{attempt}")
    assert reply.content == {"state": state}, reply


@then('a fence of attempt "{attempt}" gives {state}')
def step_fence(context, attempt, state):
    reply = call("DELETE", f"http://{context.endpoint}/tasks/{attempt}")
    assert reply.content == {"state": state}, reply


@then('the record has for attempt "{attempt}": {expected}')
def step_record(context, attempt, expected):
    wanted = [] if expected == "nothing" else expected.split(", ")
    wait_until("idle", lambda: get(context, "/healthz").content["running"] < 1)
    lines = get(context, "/_records").content
    assert list_record(lines, attempt) == wanted, lines


@then('the record file has for attempt "{attempt}": {expected}')
def step_record_file(context, attempt, expected):
    lines = [json.loads(line) for line in context.record.read_text().splitlines()]
    assert list_record(lines, attempt) == expected.split(", "), lines
