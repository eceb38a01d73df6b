"""Command-line program ``briarshed``, which sends operators' commands and queries."""

from __future__ import annotations

import asyncio
import enum
import getpass
import json
import sys
import uuid
from pathlib import Path
from typing import Annotated, Any, NamedTuple, NoReturn

import aiohttp
import typer
from returns.pipeline import is_successful

from briarshed.exceptions import BriarshedError, ScriptError
from briarshed.keys import hash_key
from briarshed.language import parse_script
from briarshed_cli.tables import print_response

EXIT_FINDINGS = 2
EXIT_REFUSED = 3
EXIT_NOT_IN_FORCE = 4
EXIT_OUTCOME_UNKNOWN = 5
EXIT_KEY_NOT_RECOGNIZED = 6

REQUEST_TIMEOUT_S = 60.0
"""Longer than an entry takes for a change and the wait until it is in force."""

_EXIT_CODES_BY_STATUS = {
    400: EXIT_FINDINGS,
    401: EXIT_KEY_NOT_RECOGNIZED,
    413: EXIT_FINDINGS,
    500: EXIT_OUTCOME_UNKNOWN,
    504: EXIT_OUTCOME_UNKNOWN,
}

application = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    # A traceback with local variables would print the key.
    pretty_exceptions_enable=False,
)


class Format(enum.StrEnum):
    """Output formats."""

    JSON = "json"
    TABLE = "table"


class Options(NamedTuple):
    """Options that all commands share."""

    address: str
    key: str
    key_file: Path | None
    output: Format


class NoResponseError(BriarshedError):
    """No connection to the entry, or no usable response from it."""

    exit_code = EXIT_OUTCOME_UNKNOWN


class UsageError(BriarshedError):
    """An option is missing or a file cannot be read."""

    exit_code = EXIT_FINDINGS


ScriptFile = Annotated[
    Path, typer.Argument(metavar="FILE", help="A script; '-' reads standard input.")
]
ChangeId = Annotated[
    str,
    typer.Option(
        help="Change id printed by an earlier try; a change with the same id is made"
        " only once."
    ),
]


@application.callback()
def set_options(
    context: typer.Context,
    address: Annotated[
        str,
        typer.Option(
            envvar="BRIARSHED_ADDRESS",
            help="Address of an entry's operator API, as IP:PORT or URL.",
        ),
    ] = "",
    key_file: Annotated[
        Path | None,
        typer.Option(envvar="BRIARSHED_KEY_FILE", help="File with the operator's key."),
    ] = None,
    key: Annotated[
        str,
        typer.Option(
            envvar="BRIARSHED_KEY",
            show_default=False,
            help="The key itself; on the command line, other users of the machine may"
            " see it.",
        ),
    ] = "",
    output: Annotated[
        Format, typer.Option("--format", help="Output format.")
    ] = Format.TABLE,
) -> None:
    """Send commands and queries to an entry of briarshed.

    Exit codes: 0 done; 1 internal error; 2 errors in the script or wrong usage, nothing
    changed; 3 refused; 4 accepted but not yet in force everywhere; 5 no response or an
    internal error of the entry, the outcome is unknown unless the message says that
    nothing was sent; 6 key not recognized.
    """
    context.obj = Options(address, key, key_file, output)


@application.command("do")
def send_text(
    context: typer.Context,
    text: Annotated[str, typer.Argument(help='Commands, such as "show pools".')],
    change_id: ChangeId = "",
) -> None:
    """Run the commands of a text, one per line."""
    _execute(context.obj, text, "<command>", change_id)


@application.command("run")
def send_file(
    context: typer.Context, file: ScriptFile, change_id: ChangeId = ""
) -> None:
    """Run the commands of a file."""
    _execute(context.obj, _read_script(file), str(file), change_id)


@application.command("check")
def check_file(context: typer.Context, file: ScriptFile) -> None:
    """Check a file without a change; with an address, also against the stored state."""
    text = _read_script(file)
    if context.obj.address:
        # Exits the program.
        _execute(context.obj, text, str(file), dry_run=True)
    _check_syntax(text, str(file))
    typer.echo(f"{file}: no findings; names were not checked, since no address is set")


@application.command("show")
def send_query(
    context: typer.Context,
    words: Annotated[list[str], typer.Argument(help="What follows 'show'.")],
) -> None:
    """Run a query, like 'do' with a text that starts with 'show'."""
    _execute(context.obj, " ".join(["show", *words]), "<command>")


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
    """Run the program; print errors and exit with their codes."""
    try:
        application()
    except BriarshedError as error:
        typer.echo(error.format_message(), err=True)
        sys.exit(error.exit_code)


def _find_key(options: Options) -> str:
    key = options.key
    if not key and options.key_file is not None:
        key = _read_file(options.key_file).strip()
    if not key:
        raise UsageError("no key: use --key-file, BRIARSHED_KEY_FILE or BRIARSHED_KEY")
    return key


def _find_url(options: Options) -> str:
    address = options.address.rstrip("/")
    if not address:
        raise UsageError("no address: use --address or BRIARSHED_ADDRESS")
    return address if "://" in address else f"http://{address}"


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
    options: Options,
    text: str,
    source: str,
    change_id: str = "",
    dry_run: bool = False,
) -> NoReturn:
    # Syntax errors are found without an entry.
    _check_syntax(text, source)
    change_id = change_id or uuid.uuid4().hex
    headers = {
        "Authorization": f"Bearer {_find_key(options)}",
        "Briarshed-Change-Id": change_id,
        "Briarshed-Dry-Run": "true" if dry_run else "false",
    }
    status, content = asyncio.run(_send(_find_url(options), text, headers))
    if options.output == Format.JSON:
        typer.echo(json.dumps(content, indent=2))
    else:
        print_response(content, source)
    code = _find_exit_code(status, content)
    if code == EXIT_OUTCOME_UNKNOWN:
        typer.echo(_advise_repeat(change_id), err=True)
    raise typer.Exit(code)


async def _send(
    url: str, text: str, headers: dict[str, str]
) -> tuple[int, dict[str, Any]]:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(
                f"{url}/operator/commands", data=text.encode(), headers=headers
            ) as response,
        ):
            return response.status, await response.json()
    except aiohttp.ClientConnectorError as error:
        raise NoResponseError(f"no connection, nothing was sent: {error}") from error
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        advice = _advise_repeat(headers["Briarshed-Change-Id"])
        raise NoResponseError(f"no answer from {url}: {reason}\n{advice}") from error


def _advise_repeat(change_id: str) -> str:
    return (
        "a change may have been accepted; repeat the command with"
        f" --change-id {change_id}, which makes it at most once"
    )


def _find_exit_code(status: int, content: dict[str, Any]) -> int:
    if status != 200:
        return _EXIT_CODES_BY_STATUS.get(status, EXIT_REFUSED)
    if content["accepted"] and not content["in_force"]:
        return EXIT_NOT_IN_FORCE
    return 0
