"""Steps with the callers' port of the product's own interface, with TLS."""

import asyncio
import ssl
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from aiohttp import ClientSession, web
from behave import given, then, when

from briarshed.byte_admission import ProcessShare, RequestBounds
from briarshed.settings import Tls
from briarshed_entry import tls
from briarshed_entry.callers import CallerServer
from briarshed_entry.connections import Connections

FOLDER = Path(__file__).parent.parent / "tls"
CLOSED_WITHIN_S = 20.0
"""A third of the time that the library allows for a handshake."""

PARTS = {"nothing": b"", "the start of a handshake": b"\x16\x03\x01\x02\x00\x01\x00"}


@given("a callers' port with TLS, and a head's time of {seconds:g} s")
def step_port(context, seconds):
    files = Tls(str(FOLDER / "certificate.pem"), str(FOLDER / "key.pem"))
    callers = SimpleNamespace(address="127.0.0.1:0", tls=files)
    context.settings = SimpleNamespace(callers=callers)
    context.bounds = RequestBounds(header_timeout=seconds)


async def respond(request):
    """Answer any request."""
    return web.Response()


def make_client_context():
    """Return what a client needs to trust the certificate."""
    client = ssl.create_default_context(cafile=FOLDER / "certificate.pem")
    client.check_hostname = False
    return client


async def ask(server):
    """Return the status of an ordinary request over TLS."""
    async with (
        ClientSession() as session,
        session.get(
            f"https://{server.address}/", ssl=make_client_context()
        ) as response,
    ):
        return response.status


@when("the first connection cannot be served after its handshake")
def step_error(context):
    async def run():
        application = web.Application()
        application.router.add_get("/", respond)
        owner = Connections(ProcessShare(1_000_000, 16), lambda: context.bounds)
        async with owner as connections:
            door = connections.open_door("callers")
            server = CallerServer(context.settings, application, door)
            make_protocol = server._make_protocol
            failing = mock.Mock(side_effect=[ZeroDivisionError("injected")])
            server._make_protocol = lambda: (
                make_protocol() if failing.called else failing()
            )
            async with server:
                host, _, port = server.address.rpartition(":")
                reader, writer = await asyncio.open_connection(
                    host, int(port), ssl=make_client_context()
                )
                async with asyncio.timeout(CLOSED_WITHIN_S):
                    await asyncio.gather(reader.read(), return_exceptions=True)
                writer.close()
                return await ask(server)

    with mock.patch.object(tls, "log_event") as logged:
        context.status = asyncio.run(run())
    context.logged = logged.call_args_list


@then('it is closed, and "{task}" is logged as failed')
def step_logged(context, task):
    (call,) = context.logged
    assert call.kwargs["task"] == task, call
    assert "injected" in call.kwargs["error"], call


async def stay(context, part):
    """Return whether a client is closed, and the status of an ordinary request."""
    application = web.Application()
    application.router.add_get("/", respond)
    owner = Connections(ProcessShare(1_000_000, 16), lambda: context.bounds)
    async with owner as connections:
        door = connections.open_door("callers")
        async with CallerServer(context.settings, application, door) as server:
            host, _, port = server.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(part)
            try:
                async with asyncio.timeout(CLOSED_WITHIN_S):
                    await reader.read()
                is_closed = True
            except ConnectionError:
                is_closed = True
            except TimeoutError:
                is_closed = False
            writer.close()
            return is_closed, await ask(server)


@when("a client sends {what} and stays")
def step_stay(context, what):
    context.is_closed, context.status = asyncio.run(stay(context, PARTS[what]))


@then("it is closed long before the handshake time of the library")
def step_closed(context):
    assert context.is_closed


@then("an ordinary request over TLS is answered")
def step_answered(context):
    assert context.status == 200, context.status
