"""Stand-in for the platform: a lagging list of instances, drain and reboot.

``python -m briarshed_standins.platform --address 127.0.0.1:0`` starts with an empty
list; ``POST /_instances`` replaces it. Drain and reboot set the state of the endpoint
stand-ins through ``/_state``.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Annotated, Any, TypedDict

import aiohttp
import typer
from aiohttp import web

from briarshed_standins.programs import (
    Faults,
    abort_connection,
    make_application,
    now,
    run_program,
)

FAULTS = {
    "down": "resets every connection",
    "slow_ms": "delays each request before it takes effect",
    "fail": "drain and reboot return 500 and have no effect",
    "lost_answers": "drain and reboot take effect, then the connection is reset",
    "omit": "ids that are missing from the list",
    "keep": "ids that the list shows as live after they have left or while they drain",
    "stuck": "the list is not updated",
    "no_drain": "draining instances never become drained",
    "no_boot": "rebooting instances never become live",
}
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 1.0
HISTORY_LENGTH = 10_000
"""Number of past lists that are kept."""


class ListedInstance(TypedDict):
    """An instance as shown in the list; ``state`` is ``live`` or ``leaving``."""

    id: str
    data_centre: str
    rack: str
    address: str
    accelerators: int
    state: str


class Platform:
    """Instances, their states, and the history that the lagging list is read from.

    Parameters
    ----------
    lag_s : float
        Age of the list, in seconds.
    reboot_s : float
        Duration of a reboot, in seconds.
    """

    def __init__(self, lag_s: float, reboot_s: float) -> None:
        self.faults = Faults(FAULTS)
        self.lag_s = lag_s
        self.reboot_s = reboot_s
        self._instances: dict[str, ListedInstance] = {}
        self._actual_states: dict[str, str] = {}
        self._operations: dict[str, dict[str, Any]] = {}
        self._history: deque[tuple[float, list[ListedInstance]]] = deque(
            maxlen=HISTORY_LENGTH
        )
        self._stuck: tuple[float, list[ListedInstance]] | None = None
        self._background: set[asyncio.Task[None]] = set()
        self._records: list[dict[str, Any]] = []

    async def guard(self, request: web.Request) -> web.StreamResponse | None:
        """Apply the faults that concern every request."""
        await asyncio.sleep(self.faults.read("slow_ms", 0) / 1000)
        return abort_connection(request) if self.faults.take("down") else None

    async def replace_instances(self, request: web.Request) -> web.Response:
        """Replace the list; the first list is visible without a lag."""
        listed = await request.json()
        self._instances = {
            one["id"]: {"accelerators": 0, "state": "live"} | one for one in listed
        }
        self._actual_states = {
            name: self._actual_states.get(name, "live") for name in self._instances
        }
        self._append_history()
        return web.json_response({"instances": len(listed)})

    async def handle_list_instances(self, _request: web.Request) -> web.Response:
        """Return the list as of ``lag_s`` ago."""
        if not self.faults.read("stuck"):
            self._stuck = None
        as_of, listed = self._stuck or self._find_lagging_list()
        if self.faults.read("stuck"):
            self._stuck = (as_of, listed)
        omitted = self.faults.read("omit", [])
        kept = self.faults.read("keep", [])
        shown = [
            one | {"state": "live"} if one["id"] in kept else one
            for one in listed
            if one["id"] not in omitted
        ]
        shown += [
            self._find_former(name) for name in kept if not _is_listed(shown, name)
        ]
        return web.json_response(
            {"as_of": as_of, "instances": [one for one in shown if one]}
        )

    async def handle_get_instance(self, request: web.Request) -> web.Response:
        """Return the state of one instance."""
        name = request.match_info["id"]
        if name not in self._actual_states:
            return web.json_response({"message": "no such instance"}, status=404)
        return web.json_response({"state": self._actual_states[name]})

    async def handle_operation(self, request: web.Request) -> web.Response:
        """Drain or reboot an instance, once for each operation id."""
        name = request.match_info["id"]
        kind = request.match_info["kind"]
        operation = str((await request.json())["operation"])
        if name not in self._actual_states:
            return web.json_response({"message": "no such instance"}, status=404)
        if self.faults.take("fail"):
            return web.json_response({"message": "the call failed"}, status=500)
        if operation not in self._operations:
            refusal = self._start_operation(name, kind, operation)
            if refusal:
                return web.json_response({"message": refusal}, status=409)
        if self.faults.take("lost_answers"):
            return abort_connection(request)
        return web.json_response({"state": self._actual_states[name]})

    async def handle_get_records(self, _request: web.Request) -> web.Response:
        """Return all state changes of instances, with their times."""
        return web.json_response(self._records)

    def _start_operation(self, name: str, kind: str, operation: str) -> str:
        state = self._actual_states[name]
        if kind == "reboot" and state not in ("drained", "rebooting"):
            return f"instance {name} is {state}, not drained"
        self._operations[operation] = {"id": name, "kind": kind}
        operation_steps = self._drain(name) if kind == "drain" else self._reboot(name)
        task = asyncio.create_task(operation_steps)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        self._set_state(name, "draining" if kind == "drain" else "rebooting")
        return ""

    async def _drain(self, name: str) -> None:
        while True:
            answer = await self._set_endpoint(name, "leaving")
            if not answer.get("running", 0) and not self.faults.read("no_drain"):
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        self._set_state(name, "drained")

    async def _reboot(self, name: str) -> None:
        await self._set_endpoint(name, "off")
        await asyncio.sleep(self.reboot_s)
        while True:
            booted = not self.faults.read("no_boot")
            if booted and await self._set_endpoint(name, "serving"):
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        self._set_state(name, "live")

    async def _set_endpoint(self, name: str, state: str) -> dict[str, Any]:
        instance = self._instances.get(name)
        if instance is None:
            return {}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        url = f"http://{instance['address']}/_state"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, json={"state": state}) as answer,
            ):
                return await answer.json()
        except (aiohttp.ClientError, TimeoutError):
            # An endpoint that does not respond has no tasks to drain. The end of a
            # reboot is repeated until the endpoint responds.
            return {}

    def _set_state(self, name: str, state: str) -> None:
        if name not in self._actual_states:
            return
        self._actual_states[name] = state
        listed_state = "live" if state == "live" else "leaving"
        self._instances[name] = self._instances[name] | {"state": listed_state}
        self._records.append({"at": now(), "id": name, "state": state})
        self._append_history()

    def _append_history(self) -> None:
        self._history.append((now(), list(self._instances.values())))

    def _find_lagging_list(self) -> tuple[float, list[ListedInstance]]:
        as_of = now() - self.lag_s
        shown = self._history[0][1] if self._history else []
        for at, listed in self._history:
            if at > as_of:
                break
            shown = listed
        return as_of, shown

    def _find_former(self, name: str) -> ListedInstance | None:
        for _, listed in reversed(self._history):
            for one in listed:
                if one["id"] == name:
                    return one | {"state": "live"}
        return None


def _is_listed(listed: list[ListedInstance], name: str) -> bool:
    return any(one["id"] == name for one in listed)


def make_platform(lag_s: float, reboot_s: float) -> web.Application:
    """Return an application that serves the platform."""
    platform = Platform(lag_s, reboot_s)
    application = make_application(platform.guard)
    router = application.router
    router.add_get("/instances", platform.handle_list_instances)
    router.add_get("/instances/{id}", platform.handle_get_instance)
    router.add_post("/instances/{id}/{kind:drain|reboot}", platform.handle_operation)
    router.add_post("/_instances", platform.replace_instances)
    router.add_get("/_records", platform.handle_get_records)
    platform.faults.add_routes(application)
    return application


def main(
    address: Annotated[str, typer.Option()] = "127.0.0.1:0",
    lag_ms: Annotated[int, typer.Option()] = 1_000,
    reboot_ms: Annotated[int, typer.Option()] = 1_000,
) -> None:
    """Serve a platform without instances until SIGTERM or SIGINT."""
    run_program(lambda: [make_platform(lag_ms / 1000, reboot_ms / 1000)], [address])


if __name__ == "__main__":
    typer.run(main)
