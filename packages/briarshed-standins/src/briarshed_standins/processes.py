"""Starts, signals and ends the processes of a fleet."""

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
# Below the default range of ephemeral ports on Linux, so that a port is still free when
# a process is restarted under its former address. The step is the block size.
PORT_BLOCK_STARTS = range(15_000, 32_000, 50)

Value = TypeVar("Value")


class FleetError(Exception):
    """A fleet did not start or did not reach an expected state."""


class Reply(NamedTuple):
    """HTTP status, and the decoded JSON or the text of the body."""

    status: int
    content: Any


def call(
    method: str,
    url: str,
    content: Any = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    """Send a request; text is sent unchanged and any other content as JSON.

    Raises
    ------
    OSError
        If there is no response.
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
    """Return the content of a reply whose status is 200.

    Raises
    ------
    FleetError
        If the status is not 200.
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
    """Poll a check until it returns a true value; a failed connection is false.

    Raises
    ------
    FleetError
        If the time-out expires; the message contains the last error.
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
    raise FleetError(f"timed out after {timeout_s:.0f} s: {what}{problem}")


class Ports:
    """Allocates loopback addresses that no other fleet on the machine uses.

    A fleet chooses addresses before it starts the processes that bind them, so two
    fleets could choose the same one. Each therefore reserves blocks of ports by
    listening on the first port of each block while it uses the others.
    """

    def __init__(self) -> None:
        self._block_guards: list[socket.socket] = []
        self._free: list[int] = []

    def choose_address(self) -> str:
        """Return an address with a free port."""
        while True:
            if not self._free:
                self._free = self._claim_block()
            port = self._free.pop()
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if _bind(probe, port):
                    return f"{LOOPBACK}:{port}"

    def close(self) -> None:
        """Release the blocks."""
        for guard in self._block_guards:
            guard.close()
        self._block_guards.clear()
        self._free.clear()

    def _claim_block(self) -> list[int]:
        bases = list(PORT_BLOCK_STARTS)
        random.SystemRandom().shuffle(bases)
        for base in bases:
            guard = socket.socket()
            if _bind(guard, base):
                guard.listen()
                self._block_guards.append(guard)
                return list(range(base + 1, base + PORT_BLOCK_STARTS.step))
            guard.close()
        raise FleetError("no free block of ports")


def _bind(candidate: socket.socket, port: int) -> bool:
    try:
        candidate.bind((LOOPBACK, port))
    except OSError:
        return False
    return True


class Process:
    """A process of a fleet, in a separate session.

    Ctrl-C in the terminal therefore reaches only the fleet, which ends its processes
    in order.

    Parameters
    ----------
    reads_output : bool
        Whether to read the line that a stand-in prints when it listens. Otherwise the
        output goes to the log, since a process blocks on a full pipe.
    """

    def __init__(
        self,
        role: str,
        command: Sequence[str],
        directory: Path,
        reads_output: bool = True,
    ) -> None:
        self.role = role
        self.command = list(command)
        self.log = directory / f"{role}.log"
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if reads_output else log,
                stderr=log,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def read_line(self, timeout_s: float = START_TIMEOUT_S) -> Any:
        """Return the decoded JSON line that a stand-in prints when it listens."""
        output = self._process.stdout
        assert output is not None
        with selectors.DefaultSelector() as selector:
            selector.register(output, selectors.EVENT_READ)
            if not selector.select(timeout_s):
                raise FleetError(
                    f"{self.role} printed no line in time; {self.read_log()}"
                )
        line = output.readline()
        if not line:
            raise FleetError(f"{self.role} ended during start-up; {self.read_log()}")
        return json.loads(line)

    def read_log(self) -> str:
        """Return the end of the process's log."""
        return self.log.read_text(errors="replace")[-LOG_TAIL_BYTES:]

    def is_running(self) -> bool:
        """Return whether the process is running."""
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
        """Resume a paused process with SIGCONT."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM; do not wait for the end."""
        self._process.terminate()

    def wait(self, timeout_s: float) -> int:
        """Wait for the process to end and return its exit code."""
        try:
            code = self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise FleetError(
                f"{self.role} is still running after {timeout_s} s"
            ) from error
        self.close()
        return code

    def close(self) -> None:
        """Close the pipe to an ended process."""
        if self._process.stdout is not None:
            self._process.stdout.close()


class Reaper:
    """Kills the processes of a fleet if the fleet's own process dies.

    A child process holds the other end of a pipe, and kills the registered process ids
    when the pipe closes. Otherwise the fleet of a feature that is killed at its time
    limit would keep running.
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
        """Register a process to be killed if the fleet's process dies."""
        self._write(f"+{pid}")

    def remove(self, pid: int) -> None:
        """Remove an ended process, before its id is reused."""
        self._write(f"-{pid}")

    def close(self) -> None:
        """End the child process."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._process.wait(END_TIMEOUT_S)

    def _write(self, line: str) -> None:
        assert self._process.stdin is not None
        print(line, file=self._process.stdin, flush=True)


def end_processes(processes: Sequence[Process]) -> None:
    """End processes with SIGTERM, and after a time-out with SIGKILL."""
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
