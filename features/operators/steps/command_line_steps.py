"""Steps that run the program ``briarshed`` against a server on the same event loop."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from operators_world import SECRETS

from briarshed.keys import hash_key

PROGRAM = Path(sys.executable).with_name("briarshed")
TIMEOUT_S = 60
FAULTS = {
    "closes the connection without a response": b"",
    "responds with a page that is not JSON": b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: text/html\r\nContent-Length: 2\r\n\r\nhi",
}


def run_program(context, arguments, text=""):
    """Run the program in a temporary directory and record its output."""
    address = getattr(context, "address", "") or (
        f"127.0.0.1:{context.client.server.port}"
    )
    environment = {
        "PATH": os.environ["PATH"],
        "BRIARSHED_ADDRESS": address,
        "BRIARSHED_KEY": SECRETS["maria"],
    }

    async def run():
        process = await asyncio.create_subprocess_exec(
            str(PROGRAM),
            *shlex.split(arguments),
            cwd=find_directory(context),
            env=environment,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        done = process.communicate(text.encode())
        output = await asyncio.wait_for(done, TIMEOUT_S)
        return process.returncode, *(part.decode() for part in output)

    context.code, context.output, context.errors = context.loop.run_until_complete(
        run()
    )


def find_directory(context):
    """Return a temporary directory that exists as long as the scenario."""
    if not hasattr(context, "directory"):
        holder = tempfile.TemporaryDirectory()
        context.add_cleanup(holder.cleanup)
        context.directory = holder.name
    return context.directory


@given('a file "{name}" with')
def step_file(context, name):
    (Path(find_directory(context)) / name).write_text(context.text)


@given("an entry that {fault}")
def step_fault(context, fault):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(FAULTS[fault])
        writer.close()

    start = asyncio.start_server(answer, "127.0.0.1", 0)
    server = context.loop.run_until_complete(start)
    context.add_cleanup(server.close)
    host, port = server.sockets[0].getsockname()
    context.address = f"{host}:{port}"


@when("the program runs with {arguments}")
def step_run(context, arguments):
    run_program(context, arguments)


@when('the program reads "{text}" and runs with {arguments}')
def step_run_reading(context, text, arguments):
    run_program(context, arguments, f"{text}\n")


@then('it ends with {code:d} and says "{text}"')
def step_says(context, code, text):
    said = context.output + context.errors
    assert context.code == code, (context.code, said)
    assert text in " ".join(said.split()) or text in said, said


@then("its output has no operator's key")
def step_no_key(context):
    said = context.output + context.errors
    assert not [key for key in (*SECRETS.values(), "guessed") if key in said], said


@then("it ends with {code:d} and prints JSON whose result {line:d} has a key")
def step_json(context, code, line):
    assert context.code == code, context.errors
    row = json.loads(context.output)["results"][line - 1]
    assert row["key"].startswith(row["key_id"]), row


@then('it ends with {code:d} and prints the hash of "{text}"')
def step_hash(context, code, text):
    assert context.code == code, context.errors
    assert context.output.strip() == hash_key(text), context.output
