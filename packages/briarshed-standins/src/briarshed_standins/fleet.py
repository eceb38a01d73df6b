"""Starts a complete fleet on loopback; ``make fleet`` runs one until Ctrl-C."""

from __future__ import annotations

import json
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from types import FrameType, TracebackType
from typing import Any, NamedTuple, Self

import zmq

from briarshed.documents import FLEET_KEY, decode_document, make_empty
from briarshed.keys import hash_key, make_key
from briarshed_standins.checker import Outage
from briarshed_standins.links import Links
from briarshed_standins.plans import (
    Plan,
    PoolPlan,
    QueuePlan,
    TeamPlan,
    make_configuration_script,
)
from briarshed_standins.processes import (
    FleetError,
    Ports,
    Process,
    Reaper,
    Reply,
    call,
    end_processes,
    expect_success,
    wait_until,
)
from briarshed_standins.programs import now
from briarshed_standins.store_client import read_key

__all__ = [
    "Entry",
    "Fleet",
    "FleetError",
    "Instance",
    "Plan",
    "PoolPlan",
    "QueuePlan",
    "TeamPlan",
    "end_on_signals",
]

READY_TIMEOUT_S = 30.0
MAX_ADDED_ENTRIES = 6
"""Entries that can be added later; all entries allow their CURVE keys beforehand."""

SHORT_TIMING = {"slow_start_ms": 1_000, "balancer_notice_ms": 500}
"""Shortened by default, since these times delay every start and stop of a fleet."""


class Instance(NamedTuple):
    """An instance, its endpoint's address, and the role of the endpoint's process."""

    name: str
    pool: str
    rack: str
    data_centre: str
    address: str
    role: str


class Entry(NamedTuple):
    """An entry: its URLs for callers and operators, and its settings file."""

    name: str
    data_centre: str
    url: str
    operators: str
    settings: Path


class Fleet:
    """A running fleet; leaving the context manager ends all its processes.

    Attributes
    ----------
    entries : dict[str, Entry]
    instances : dict[str, Instance]
    keys : dict[str, str]
        Text of each team's API key; ``key_ids`` has the ids.
    processes : dict[str, Process]
        Processes by role, such as ``store`` or ``entry-1``.
    outages : list[Outage]
        Times during which an entry could not respond, for the checker.
    """

    def __init__(self, plan: Plan | None = None) -> None:
        self.plan = plan or Plan()
        self.processes: dict[str, Process] = {}
        self.entries: dict[str, Entry] = {}
        self.instances: dict[str, Instance] = {}
        self.keys: dict[str, str] = {}
        self.key_ids: dict[str, str] = {}
        self.outages: list[Outage] = []
        self.operator_key = make_key().text
        self.store_url = ""
        self.platform_url = ""
        self._links = Links()
        self._curve = {
            self._name_entry(number): tuple(key.decode() for key in zmq.curve_keypair())
            for number in range(1, self.plan.entries + MAX_ADDED_ENTRIES + 1)
        }
        self._ports = Ports()
        self._peers = {name: self._ports.choose_address() for name in self._curve}

    def __enter__(self) -> Self:
        self.directory = Path(tempfile.mkdtemp(prefix="briarshed-"))
        self._reaper = Reaper()
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """End all processes and remove their settings, records and logs."""
        end_processes(list(self.processes.values()))
        for process in self.processes.values():
            self._reaper.remove(process.pid)
        self._reaper.close()
        self._ports.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    # Processes

    def kill(self, role: str) -> None:
        """End a process with SIGKILL, and record the end of its endpoints' tasks."""
        process = self.processes[role]
        # Taken before the signal: after it, the jobs may already have been restarted
        # at other endpoints.
        at = now()
        process.kill()
        self._reaper.remove(process.pid)
        self._note_outage(role, at)
        self._record_killed(role, at)

    def stop(self, role: str) -> None:
        """Pause a process with SIGSTOP."""
        self._note_outage(role, now())
        self.processes[role].stop()

    def resume(self, role: str) -> None:
        """Resume a paused process."""
        self.processes[role].resume()
        self._end_outage(role)

    def terminate(self, role: str) -> None:
        """Send SIGTERM to a process; do not wait for its end."""
        self.processes[role].terminate()

    def wait_ended(self, role: str, timeout_s: float) -> int:
        """Wait for a process to end and return its exit code."""
        process = self.processes[role]
        code = process.wait(timeout_s)
        self._reaper.remove(process.pid)
        return code

    def add_entry(self, data_centre: str = "", ready: bool = True) -> Entry:
        """Start another entry under the next free name."""
        number = len(self.entries) + 1
        data_centres = self.plan.data_centres
        data_centre = data_centre or data_centres[(number - 1) % len(data_centres)]
        entry = self._write_entry(self._name_entry(number), data_centre)
        self.entries[entry.name] = entry
        self._start_entry(entry)
        if ready:
            self.wait_ready(entry.name)
        return entry

    def restart_entry(self, name: str, ready: bool = True) -> Entry:
        """Restart an ended entry with the same name, settings and addresses."""
        entry = self.entries[name]
        self._start_entry(entry)
        if ready:
            self.wait_ready(name)
        self._end_outage(name)
        return entry

    def restart_endpoint(self, role: str) -> None:
        """Restart an ended process of endpoints with the same addresses."""
        self._start_endpoints(role, self._list_addresses(role))
        self._read_url(role)

    def find_endpoint_role(self, instance: str) -> str:
        """Return the role of the process that serves an instance's endpoint."""
        return self.instances[instance].role

    # Faults

    def set_faults(self, target: str, **faults: Any) -> None:
        """Replace the faults of ``store``, ``platform`` or an instance's endpoint."""
        url = {"store": self.store_url, "platform": self.platform_url}.get(target)
        if url is None:
            url = f"http://{self.instances[target].address}"
        expect_success(call("POST", f"{url}/_faults", faults))

    def set_link_faults(self, *patterns: str, **faults: Any) -> None:
        """Replace the faults of matching links; no faults clears them.

        Faults of links ``callers>NAME`` are not recorded in ``outages``; add those that
        the checker must take into account.
        """
        self._links.set_faults(patterns, faults)

    def cut(self, *patterns: str) -> None:
        """Reset open and new connections of links."""
        self._links.set_faults(patterns, {"cut": True})

    def partition(self, data_centre: str, outside: bool = True) -> None:
        """Isolate a data centre: delay all bytes to and from it until healed.

        Parameters
        ----------
        outside : bool
            Whether the store and the platform become unreachable too.
        """
        crossing = self.list_crossing_links(data_centre, outside)
        self._links.set_faults(crossing, {"silent": True})

    def heal(self) -> None:
        """Clear the faults of all links."""
        self._links.heal()

    def list_crossing_links(self, data_centre: str, outside: bool = True) -> list[str]:
        """Return the links with exactly one end in a data centre.

        Parameters
        ----------
        outside : bool
            Whether to include links to the store and the platform.
        """
        places = {entry.name: entry.data_centre for entry in self.entries.values()}
        places |= {one.name: one.data_centre for one in self.instances.values()}
        if outside:
            places |= {"store": "", "platform": ""}
        return self._links.list_between_locations(places, data_centre)

    def read_link_bytes(self) -> dict[str, int]:
        """Return the bytes that each link has carried in both directions."""
        return self._links.read_bytes()

    # Operators and callers

    def command(self, script: str, entry: str = "") -> Reply:
        """Post a script of operator commands to an entry, the first by default."""
        target = self.entries[entry] if entry else next(iter(self.entries.values()))
        headers = {"Authorization": f"Bearer {self.operator_key}"}
        url = f"{target.operators}/operator/commands"
        return call("POST", url, script, headers)

    def list_urls(self) -> list[str]:
        """Return the URL for callers of each entry whose process is running."""
        return [
            entry.url
            for entry in self.entries.values()
            if self.processes[entry.name].is_running()
        ]

    def wait_ready(self, *names: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until ``/readyz`` of the given entries, or of all, returns 200."""
        for name in names or tuple(self.entries):
            entry = self.entries[name]

            def check(entry: Entry = entry) -> bool:
                self._check_running(entry.name)
                return call("GET", f"{entry.url}/readyz").status == 200

            with self._attach_logs():
                wait_until(f"{name} ready", check, timeout_s)

    def wait_serving(self, *names: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the given instances, or all, are serving in the fleet document."""
        wanted = set(names or self.instances)

        def check() -> bool:
            found = self.read_document(FLEET_KEY)["instances"]
            return all(found.get(name, {}).get("state") == "serving" for name in wanted)

        with self._attach_logs():
            wait_until("all instances serving", check, timeout_s)

    def wait_idle(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until no endpoint that responds is running a task."""

        def check() -> bool:
            return not any(self._count_running(one) for one in self.instances.values())

        wait_until("endpoints idle", check, timeout_s)

    def read_document(self, key: str) -> Any:
        """Return the current version of a document in the store."""
        data = read_key(self.store_url, key)
        return decode_document(key, data) if data else make_empty(key)

    def read_settings(self, name: str) -> dict[str, Any]:
        """Return the settings that the fleet wrote for an entry."""
        return json.loads(self.entries[name].settings.read_text())

    def read_records(self) -> list[dict[str, Any]]:
        """Return the records of all endpoints in chronological order."""
        lines: list[dict[str, Any]] = []
        for path in sorted(self.directory.glob("*.jsonl")):
            lines += [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(lines, key=lambda line: line["at"])

    def describe(self) -> dict[str, Any]:
        """Return the description that ``make fleet`` prints."""
        return {
            "entries": [
                {"name": one.name, "url": one.url, "data_centre": one.data_centre}
                for one in self.entries.values()
            ],
            "operators": [
                {"url": one.operators, "key": self.operator_key}
                for one in self.entries.values()
            ],
            "teams": self.keys,
            "queues": [
                {"name": one.name, "pool": one.pool, "open": one.open}
                for one in self.plan.queues
            ],
            "endpoints": [
                {
                    "instance": one.name,
                    "address": one.address,
                    "pool": one.pool,
                    "records": f"http://{one.address}/_records",
                }
                for one in self.instances.values()
            ],
            "processes": {
                role: process.pid for role, process in self.processes.items()
            },
        }

    # Start

    def _start(self) -> None:
        lag = ["--lag-ms", str(self.plan.lag_ms)]
        lag += ["--reboot-ms", str(self.plan.reboot_ms)]
        self._start_program("store", "store", [])
        self._start_program("platform", "platform", lag)
        if self.plan.links:
            self._start_program("links", "link", [])
        self._start_instances()
        urls = {role: self._read_url(role) for role in self.processes}
        self.store_url = urls["store"]
        self.platform_url = urls["platform"]
        self._links.url = urls.get("links", "")
        self._register_instances()
        for number in range(self.plan.entries):
            data_centres = self.plan.data_centres
            self.add_entry(data_centres[number % len(data_centres)], ready=False)
        if self.entries:
            self.wait_ready()
            if self.plan.configure:
                self.load_configuration()
                self.wait_serving()

    def _start_process(
        self, role: str, command: Sequence[str], reads_output: bool
    ) -> None:
        previous = self.processes.get(role)
        if previous is not None:
            if previous.is_running():
                raise FleetError(f"{role} is still running")
            self._reaper.remove(previous.pid)
        process = Process(role, command, self.directory, reads_output)
        self._reaper.add(process.pid)
        self.processes[role] = process

    def _start_entry(self, entry: Entry) -> None:
        command = [*self.plan.command, str(entry.settings)]
        self._start_process(entry.name, command, reads_output=False)

    def _start_program(self, role: str, module: str, options: Sequence[str]) -> None:
        command = [sys.executable, "-m", f"briarshed_standins.{module}", *options]
        self._start_process(role, command, reads_output=True)

    def _read_url(self, role: str) -> str:
        return f"http://{self.processes[role].read_line()['address']}"

    def _start_instances(self) -> None:
        number = 0
        for pool in self.plan.pools:
            group: list[str] = []
            for index in range(pool.instances):
                number += 1
                if index % self.plan.endpoints_per_process == 0:
                    role = f"endpoint-{number}"
                data_centre = self.plan.data_centres[
                    index % len(self.plan.data_centres)
                ]
                position = index // len(self.plan.data_centres)
                rack = f"{data_centre}-r{position // self.plan.instances_per_rack + 1}"
                name = f"i-{number}"
                address = self._ports.choose_address()
                self.instances[name] = Instance(
                    name, pool.name, rack, data_centre, address, role
                )
                group.append(role)
            for role in dict.fromkeys(group):
                self._start_endpoints(role, self._list_addresses(role), pool)

    def _register_instances(self) -> None:
        listed = [
            {
                "id": one.name,
                "data_centre": one.data_centre,
                "rack": one.rack,
                "address": one.address,
            }
            for one in self.instances.values()
        ]
        expect_success(call("POST", f"{self.platform_url}/_instances", listed))

    def _list_addresses(self, role: str) -> list[str]:
        return [one.address for one in self.instances.values() if one.role == role]

    def _start_endpoints(
        self, role: str, addresses: Sequence[str], pool: PoolPlan | None = None
    ) -> None:
        if pool is None:
            served = next(one for one in self.instances.values() if one.role == role)
            pool = next(one for one in self.plan.pools if one.name == served.pool)
        options = [word for one in addresses for word in ("--address", one)]
        options += ["--slots", str(pool.slots)]
        options += ["--connections", str(pool.connections)]
        options += ["--duration-ms", str(self.plan.duration_ms)]
        options += ["--record", str(self._find_record(role))]
        self._start_program(role, "endpoint", options)

    def _find_record(self, role: str) -> Path:
        return self.directory / f"{role}.jsonl"

    @staticmethod
    def _name_entry(number: int) -> str:
        return f"entry-{number}"

    def _write_entry(self, name: str, data_centre: str) -> Entry:
        callers = self._ports.choose_address()
        operators = self._ports.choose_address()
        public, secret = self._curve[name]
        content: dict[str, Any] = {
            "name": name,
            "data_centre": data_centre,
            "callers": {"address": callers},
            "operators": {
                "address": operators,
                "keys": {"maria": hash_key(self.operator_key)},
            },
            "peers": {
                "address": self._peers[name],
                "public_key": public,
                "secret_key": secret,
                "allowed_keys": {
                    other: keys[0]
                    for other, keys in self._curve.items()
                    if other != name
                },
                "routes": self._make_peer_routes(name),
            },
            "store": {"url": self._route_url(name, "store", self.store_url)},
            "platform": {"url": self._route_url(name, "platform", self.platform_url)},
            "endpoints": {"routes": self._make_endpoint_routes(name)},
            "timing": dict(SHORT_TIMING),
        }
        for section, values in self.plan.settings.items():
            if isinstance(values, Mapping):
                content[section] = content.get(section, {}) | dict(values)
            else:
                content[section] = values
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(content, indent=2), encoding="utf-8")
        shown = callers
        if "callers" in self.plan.links:
            shown = self._links.open(f"callers>{name}", callers)
        return Entry(name, data_centre, f"http://{shown}", f"http://{operators}", path)

    def _make_peer_routes(self, name: str) -> dict[str, str]:
        if "peers" not in self.plan.links:
            return {}
        return {
            other: self._links.open(f"{name}>{other}", address)
            for other, address in self._peers.items()
            if other != name
        }

    def _make_endpoint_routes(self, name: str) -> dict[str, str]:
        if "endpoints" not in self.plan.links:
            return {}
        return {
            one.address: self._links.open(f"{name}>{one.name}", one.address)
            for one in self.instances.values()
        }

    def _route_url(self, name: str, target: str, url: str) -> str:
        if target not in self.plan.links:
            return url
        link = self._links.open(f"{name}>{target}", url.removeprefix("http://"))
        return f"http://{link}"

    # Configuration

    def load_configuration(self) -> None:
        """Create the plan's pools, teams, queues, keys and instances."""
        results = self._post_script(make_configuration_script(self.plan))
        keys = _find_keys(results)
        if len(keys) != len(self.plan.teams):
            raise FleetError(f"the entry returned {len(keys)} keys: {results}")
        for team, row in zip(self.plan.teams, keys, strict=True):
            self.keys[team.name] = row["key"]
            self.key_ids[team.name] = row["key_id"]
        if self.instances:
            lines = [_make_instance_command(one) for one in self.instances.values()]
            self._post_script("\n".join(lines) + "\n")

    def _post_script(self, script: str) -> Any:
        def post() -> Any:
            self._check_running(*self.entries)
            reply = self.command(script)
            if reply.status in (400, 401, 403, 422):
                raise FleetError(f"commands refused: {reply.content}\n{script}")
            if reply.status != 200 or not reply.content.get("accepted"):
                raise ValueError(f"status {reply.status}: {reply.content}")
            return reply.content

        # An entry refuses changes until all members know it.
        with self._attach_logs():
            content = wait_until("commands accepted", post, READY_TIMEOUT_S)
        if not content.get("in_force"):
            raise FleetError(f"commands accepted but not in force: {content}")
        return content["results"]

    # Helpers

    def _check_running(self, *names: str) -> None:
        # Another process could listen on the port of an ended entry and respond.
        ended = [name for name in names if not self.processes[name].is_running()]
        if ended:
            raise FleetError(f"{', '.join(ended)} ended")

    @contextmanager
    def _attach_logs(self) -> Iterator[None]:
        # The cause is often in the log of an entry other than the one that responded.
        try:
            yield
        except FleetError as error:
            logs = [
                f"log of {name}:\n{self.processes[name].read_log()}"
                for name in self.entries
            ]
            raise FleetError("\n".join([str(error), *logs])) from error

    @staticmethod
    def _count_running(instance: Instance) -> int:
        with suppress(OSError):
            counts = call("GET", f"http://{instance.address}/_counts").content
            return int(counts["running"])
        return 0

    def _note_outage(self, role: str, at: float) -> None:
        if role in self.entries:
            self.outages.append(Outage(self.entries[role].url, at, None))

    def _end_outage(self, role: str) -> None:
        url = self.entries[role].url if role in self.entries else ""
        self.outages = [
            one._replace(until=now()) if one.entry == url and one.until is None else one
            for one in self.outages
        ]

    def _record_killed(self, role: str, at: float) -> None:
        addresses = self._list_addresses(role)
        with self._find_record(role).open("a", encoding="utf-8") as file:
            for address in addresses:
                line = {"event": "killed", "at": at, "endpoint": address}
                print(json.dumps(line), file=file)


def _make_instance_command(instance: Instance) -> str:
    return (
        f"add instance {instance.name} pool {instance.pool} rack {instance.rack}"
        f" data-centre {instance.data_centre} address {instance.address}"
    )


def _find_keys(results: Any) -> list[dict[str, Any]]:
    if isinstance(results, Mapping):
        if "key_id" in results and "key" in results:
            return [dict(results)]
        results = list(results.values())
    if isinstance(results, list):
        return [row for part in results for row in _find_keys(part)]
    return []


def _raise_interrupt(_number: int, _frame: FrameType | None) -> None:
    raise KeyboardInterrupt


def end_on_signals() -> None:
    """Handle SIGTERM and SIGHUP like Ctrl-C, so that the fleet is ended too.

    SIGINT may be ignored, as a shell does for what it starts in the background.
    """
    signal.signal(signal.SIGINT, _raise_interrupt)
    signal.signal(signal.SIGTERM, _raise_interrupt)
    signal.signal(signal.SIGHUP, _raise_interrupt)


def main() -> int:
    """Run a fleet until Ctrl-C."""
    end_on_signals()
    try:
        with Fleet() as fleet:
            print(json.dumps(fleet.describe()), flush=True)
            print("The fleet is running; press Ctrl-C to stop it.", file=sys.stderr)
            while True:
                time.sleep(1)
    except KeyboardInterrupt:
        return 0
    except FleetError as error:
        print(f"The fleet failed to start: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
