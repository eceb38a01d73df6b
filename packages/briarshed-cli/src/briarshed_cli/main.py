"""The program ``briarshed``: operators' commands and questions from a terminal."""

from __future__ import annotations

import asyncio
import enum
import getpass
import json
import sys
import uuid
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import aiohttp
import typer
from briarshed.exceptions import BriarshedError, ScriptError
from briarshed.keys import hash_key
from briarshed.language import parse_script
from returns.pipeline import is_successful

from briarshed_cli.tables import print_answer

FINDINGS = 2
REFUSED = 3
NOT_IN_FORCE = 4
UNREACHABLE = 5
NOT_RECOGNIZED = 6

REQUEST_TIMEOUT_S = 60.0
"""Longer than an entry waits for a change to be in force, with its swaps."""

_STATUS_CODES = {400: FINDINGS, 401: NOT_RECOGNIZED}

application = typer.Typer(add_completion=False, no_args_is_help=True)


class Format(enum.StrEnum):
    """Output formats."""

    JSON = "json"
    TABLE = "table"


class Target(NamedTuple):
    """Where commands go, and with which key."""

    address: str
    key: str


class UnreachableError(BriarshedError):
    """No answer came from the entry."""

    exit_code = UNREACHABLE


class UsageError(BriarshedError):
    """An option is missing or a file cannot be read."""

    exit_code = FINDINGS


Address = Annotated[
    str,
    typer.Option(
        envvar="BRIARSHED_ADDRESS", help="An entry's operators' port: IP:PORT or URL."
    ),
]
KeyFile = Annotated[
    Path | None,
    typer.Option(
        envvar="BRIARSHED_KEY_FILE",
        help="File with the operator's key; or the key in BRIARSHED_KEY.",
    ),
]
Key = Annotated[
    str,
    typer.Option(
        "--key",
        envvar="BRIARSHED_KEY",
        show_default=False,
        show_envvar=False,
        help="The key itself; other users of the machine may see it, so prefer"
        " --key-file or BRIARSHED_KEY.",
    ),
]
OutputFormat = Annotated[Format, typer.Option("--format", help="Output format.")]
ChangeId = Annotated[
    str,
    typer.Option(help="Repeat a command with the id of its first try; it runs once."),
]


@application.command("do")
def send_text(
    text: Annotated[str, typer.Argument(help='Commands, e.g. "show pools".')],
    address: Address = "",
    key_file: KeyFile = None,
    key: Key = "",
    output: OutputFormat = Format.TABLE,
    change_id: ChangeId = "",
) -> None:
    """Run the commands of a text, one a line."""
    _execute(text, "<command>", _find_target(address, key, key_file), output, change_id)


@application.command("run")
def send_file(
    file: Annotated[Path, typer.Argument(help="A script; '-' reads standard input.")],
    address: Address = "",
    key_file: KeyFile = None,
    key: Key = "",
    output: OutputFormat = Format.TABLE,
    change_id: ChangeId = "",
) -> None:
    """Run the commands of a file."""
    target = _find_target(address, key, key_file)
    _execute(_read_script(file), str(file), target, output, change_id)


@application.command("check")
def check_file(
    file: Annotated[Path, typer.Argument(help="A script; '-' reads standard input.")],
    address: Address = "",
    key_file: KeyFile = None,
    key: Key = "",
    output: OutputFormat = Format.TABLE,
) -> None:
    """Check a file; with an address also against the documents, without a change."""
    text = _read_script(file)
    if address:
        target = _find_target(address, key, key_file)
        _execute(text, str(file), target, output, "", dry_run=True)
        return
    _check_syntax(text, str(file))
    typer.echo(f"{file}: no findings; names were not checked, since no address is set")


@application.command("show")
def send_question(
    words: Annotated[list[str], typer.Argument(help="What follows 'show'.")],
    address: Address = "",
    key_file: KeyFile = None,
    key: Key = "",
    output: OutputFormat = Format.TABLE,
) -> None:
    """Ask a question: short for do "show ..."."""
    text = " ".join(["show", *words])
    _execute(text, "<command>", _find_target(address, key, key_file), output, "")


@application.command("hash-key")
def print_hash() -> None:
    """Read a key from the terminal or standard input and print its SHA-256."""
    if sys.stdin.isatty():
        text = getpass.getpass("key: ")
    else:
        text = sys.stdin.readline().strip()
    if not text:
        raise UsageError("no key was given")
    typer.echo(hash_key(text))


def run() -> None:
    """Run the program; errors are shown as text with their exit code."""
    try:
        application()
    except BriarshedError as error:
        typer.echo(error.format_message(), err=True)
        sys.exit(error.exit_code)


def _find_target(address: str, key: str, key_file: Path | None) -> Target:
    if not address:
        raise UsageError("no address: use --address or BRIARSHED_ADDRESS")
    if not key and key_file is not None:
        key = _read_file(key_file).strip()
    if not key:
        raise UsageError("no key: use --key-file, BRIARSHED_KEY_FILE or BRIARSHED_KEY")
    if "://" not in address:
        address = f"http://{address}"
    return Target(address.rstrip("/"), key)


def _read_script(file: Path) -> str:
    return sys.stdin.read() if str(file) == "-" else _read_file(file)


def _read_file(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{file} cannot be read: {error}") from error


def _check_syntax(text: str, source: str) -> None:
    parsed = parse_script(text, source)
    if not is_successful(parsed):
        raise ScriptError(parsed.failure())


def _execute(
    text: str,
    source: str,
    target: Target,
    output: Format,
    change_id: str,
    dry_run: bool = False,
) -> None:
    # Findings of the language need no entry, so they are reported with its name.
    _check_syntax(text, source)
    change_id = change_id or uuid.uuid4().hex
    status, content = asyncio.run(_send(text, target, change_id, dry_run))
    if output == Format.JSON:
        typer.echo(json.dumps(content, indent=2))
    else:
        print_answer(content, source)
    raise typer.Exit(_find_exit_code(status, content))


async def _send(
    text: str, target: Target, change_id: str, dry_run: bool
) -> tuple[int, dict[str, Any]]:
    headers = {
        "Authorization": f"Bearer {target.key}",
        "Briarshed-Change-Id": change_id,
        "Briarshed-Dry-Run": "true" if dry_run else "false",
    }
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    url = f"{target.address}/operator/commands"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(url, data=text.encode(), headers=headers) as response,
        ):
            return response.status, await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise UnreachableError(
            f"no answer from {target.address}: {error or type(error).__name__};"
            f" a change may have been accepted: repeat it with --change-id {change_id}"
        ) from error


def _find_exit_code(status: int, content: dict[str, Any]) -> int:
    if status != 200:
        return _STATUS_CODES.get(status, REFUSED)
    if content["accepted"] and not content["in_force"]:
        return NOT_IN_FORCE
    return 0
