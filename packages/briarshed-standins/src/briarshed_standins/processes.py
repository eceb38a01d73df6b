"""Processes that a fleet starts, and how it ends them by their ids."""

from __future__ import annotations

import json
import os
import random
import selectors
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

START_TIMEOUT_S = 20.0
END_TIMEOUT_S = 5.0
POLL_S = 0.02
CALL_TIMEOUT_S = 5.0
LOG_TAIL_BYTES = 2_000
LOOPBACK = "127.0.0.1"
# Below the range from which Linux takes ports of outgoing connections by default, so
# that a port is still free when a process is restarted under its former address. The
# step is the size of a block.
PORTS = range(15_000, 32_000, 50)

Value = TypeVar("Value")


class FleetError(Exception):
    """A fleet did not reach an expected condition."""


class Reply(NamedTuple):
    """Status of HTTP, and the decoded JSON or the text."""

    status: int
    content: Any


def call(
    method: str,
    url: str,
    content: Any = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    """Call a control path; text is sent as it is and anything else as JSON.

    Raises
    ------
    OSError
        If there is no answer.
    """
    data = None
    if content is not None:
        text = content if isinstance(content, str) else json.dumps(content)
        data = text.encode()
    request = urllib.request.Request(url, data, dict(headers or {}), method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return Reply(answer.status, _decode(answer.read()))
    except urllib.error.HTTPError as error:
        with error:
            return Reply(error.code, _decode(error.read()))


def expect_success(reply: Reply) -> Any:
    """Return the content of a reply with status 200.

    Raises
    ------
    FleetError
        If the status is another one.
    """
    if reply.status != 200:
        raise FleetError(f"status {reply.status}: {reply.content}")
    return reply.content


def _decode(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return data.decode(errors="replace")


def wait_until(
    what: str, check: Callable[[], Value | None], timeout_s: float = START_TIMEOUT_S
) -> Value:
    """Return the first true value of a check; a failed connection counts as false.

    Raises
    ------
    FleetError
        If there is none in time; the message holds the last error.
    """
    ends_at = time.monotonic() + timeout_s
    problem = ""
    while time.monotonic() < ends_at:
        try:
            value = check()
        except (OSError, ValueError) as error:
            problem = f": {error}"
        else:
            if value:
                return value
        time.sleep(POLL_S)
    raise FleetError(f"{what}: not within {timeout_s:.0f} s{problem}")


class Ports:
    """Free loopback addresses that no other fleet on the machine is given.

    A fleet chooses addresses before it starts the processes that bind them, so two
    fleets could choose the same one. Each therefore takes whole blocks of ports, and
    holds the first port of a block while it uses the others.
    """

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._free: list[int] = []

    def choose_address(self) -> str:
        """Return an address whose port is free."""
        while True:
            if not self._free:
                self._free = self._claim_block()
            port = self._free.pop()
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if _bind(probe, port):
                    return f"{LOOPBACK}:{port}"

    def close(self) -> None:
        """Give the blocks back."""
        for guard in self._guards:
            guard.close()
        self._guards.clear()
        self._free.clear()

    def _claim_block(self) -> list[int]:
        bases = list(PORTS)
        random.SystemRandom().shuffle(bases)
        for base in bases:
            guard = socket.socket()
            if _bind(guard, base):
                guard.listen()
                self._guards.append(guard)
                return list(range(base + 1, base + PORTS.step))
            guard.close()
        raise FleetError("no block of ports is free")


def _bind(candidate: socket.socket, port: int) -> bool:
    try:
        candidate.bind((LOOPBACK, port))
    except OSError:
        return False
    return True


class Process:
    """A process of a fleet, in a session of its own.

    The terminal's Ctrl-C reaches only the fleet, which then ends its processes in
    order.

    Parameters
    ----------
    prints : bool
        Whether the process prints one line to be read, as stand-ins do. The output of
        others goes to the log, since a pipe that nobody reads would block them.
    """

    def __init__(
        self, role: str, command: Sequence[str], directory: Path, prints: bool = True
    ) -> None:
        self.role = role
        self.command = list(command)
        self.log = directory / f"{role}.log"
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if prints else log,
                stderr=log,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def read_line(self, timeout_s: float = START_TIMEOUT_S) -> Any:
        """Return the JSON line that a stand-in prints when it listens."""
        output = self._process.stdout
        assert output is not None
        with selectors.DefaultSelector() as selector:
            selector.register(output, selectors.EVENT_READ)
            if not selector.select(timeout_s):
                raise FleetError(f"{self.role} printed nothing; {self.read_log()}")
        line = output.readline()
        if not line:
            raise FleetError(f"{self.role} ended at its start; {self.read_log()}")
        return json.loads(line)

    def read_log(self) -> str:
        """Return the last lines of the process's standard error."""
        return self.log.read_text(errors="replace")[-LOG_TAIL_BYTES:]

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def kill(self) -> None:
        """End the process with SIGKILL."""
        self._process.kill()
        self._process.wait()
        self.close()

    def stop(self) -> None:
        """Pause the process with SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end, with SIGTERM; does not wait."""
        self._process.terminate()

    def wait(self, timeout_s: float) -> int:
        """Return the exit code of a process that ends in time."""
        try:
            code = self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise FleetError(f"{self.role} still runs after {timeout_s} s") from error
        self.close()
        return code

    def close(self) -> None:
        """Close the pipe of a process that has ended."""
        if self._process.stdout is not None:
            self._process.stdout.close()


class Reaper:
    """Kills the processes of a fleet that ended without ending them.

    A child process holds the other end of a pipe, and kills the listed process ids
    when the pipe closes. A runner that kills a feature after its time limit would
    otherwise leave the feature's fleet behind.
    """

    def __init__(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "briarshed_standins.processes"],
            stdin=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            start_new_session=True,
            text=True,
        )

    def add(self, pid: int) -> None:
        """Kill this process if the fleet's process ends."""
        self._write(f"+{pid}")

    def remove(self, pid: int) -> None:
        """Forget a process that has ended, before its id is used again."""
        self._write(f"-{pid}")

    def close(self) -> None:
        """End the child."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._process.wait(END_TIMEOUT_S)

    def _write(self, line: str) -> None:
        assert self._process.stdin is not None
        print(line, file=self._process.stdin, flush=True)


def end_processes(processes: Sequence[Process]) -> None:
    """End processes with SIGTERM, and with SIGKILL those that still run."""
    running = [process for process in processes if process.is_running()]
    for process in running:
        process.resume()
        process.terminate()
    ends_at = time.monotonic() + END_TIMEOUT_S
    while time.monotonic() < ends_at and any(one.is_running() for one in running):
        time.sleep(POLL_S)
    for process in running:
        process.kill()
    for process in processes:
        process.close()


def _reap() -> None:
    pids: set[int] = set()
    for line in sys.stdin:
        pid = int(line[1:])
        if line[0] == "+":
            pids.add(pid)
        else:
            pids.discard(pid)
    for pid in pids:
        try:
            os.kill(pid, signal.SIGKILL)
        except ProcessLookupError:
            continue


if __name__ == "__main__":
    _reap()
