"""Typed commands of the operators' language."""

from __future__ import annotations

from typing import Literal, NamedTuple

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64
DEFAULT_PORT = 8000
DEFAULT_MAX_JOBS = 1000
DEFAULT_MAX_BYTES = 16 * 1024 * 1024

Target = Literal["configuration", "fleet", "members"]
"""The document that a command changes."""


class CreatePool(NamedTuple):
    """``create pool``; the budget counts instances; other numbers are per endpoint."""

    name: str
    budget: int
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    port: int = DEFAULT_PORT
    spare: bool = False


class ChangePool(NamedTuple):
    """``change pool``; None leaves a value as it is."""

    name: str
    budget: int | None = None
    slots: int | None = None
    connections: int | None = None
    port: int | None = None
    spare: bool | None = None


class DeletePool(NamedTuple):
    """``delete pool``."""

    name: str


class CreateTeam(NamedTuple):
    """``create team``; the limit is the number of running jobs in the whole fleet."""

    name: str
    share: float
    limit: int


class ChangeTeam(NamedTuple):
    """``change team``; None leaves a value as it is."""

    name: str
    share: float | None = None
    limit: int | None = None


class DeleteTeam(NamedTuple):
    """``delete team``."""

    name: str


class CreateQueue(NamedTuple):
    """``create queue``; without teams, every team with a key is admitted."""

    name: str
    pool: str
    open: bool = False
    teams: tuple[str, ...] = ()
    max_jobs: int = DEFAULT_MAX_JOBS
    max_bytes: int = DEFAULT_MAX_BYTES


class ChangeQueue(NamedTuple):
    """``change queue``; None leaves a value as it is."""

    name: str
    pool: str | None = None
    open: bool | None = None
    teams: tuple[str, ...] | None = None
    max_jobs: int | None = None
    max_bytes: int | None = None


class DeleteQueue(NamedTuple):
    """``delete queue``."""

    name: str


class CreateKey(NamedTuple):
    """``create key for team``; ``expires`` is in seconds from now."""

    team: str
    expires: float | None = None


class WithdrawKey(NamedTuple):
    """``withdraw key``; the name is the key's id."""

    name: str


class RotateKey(NamedTuple):
    """``rotate key``; the old key stays valid for ``overlap`` seconds."""

    name: str
    overlap: float


class AddInstance(NamedTuple):
    """``add instance``."""

    name: str
    pool: str
    rack: str
    data_centre: str
    address: str


class RemoveInstance(NamedTuple):
    """``remove instance``."""

    name: str


class MoveInstance(NamedTuple):
    """``move instance I to pool P``."""

    name: str
    pool: str


class StartWave(NamedTuple):
    """``start wave W pools a, b``."""

    name: str
    pools: tuple[str, ...]


class PauseWave(NamedTuple):
    """``pause wave``."""

    name: str


class ResumeWave(NamedTuple):
    """``resume wave``."""

    name: str


class StopWave(NamedTuple):
    """``stop wave``."""

    name: str


class TakeOutRack(NamedTuple):
    """``take out rack``."""

    name: str


class TakeOutDataCentre(NamedTuple):
    """``take out data-centre``."""

    name: str


class EvacuateDataCentre(NamedTuple):
    """``evacuate data-centre``: no job starts there until it is returned."""

    name: str


class ReturnDataCentre(NamedTuple):
    """``return data-centre``."""

    name: str


class ForgetMember(NamedTuple):
    """``forget member``: the operator asserts that the process has ended."""

    name: str


class RequireVersion(NamedTuple):
    """``if version = N``: the script applies only to this version."""

    version: int
    document: Literal["configuration", "fleet"] = "configuration"


class Condition(NamedTuple):
    """One comparison of ``where``; the operator is one of ``= != < >``."""

    field: str
    operator: str
    value: str


class Show(NamedTuple):
    """``show``: a query; ``since`` is in seconds before now."""

    subject: str
    columns: tuple[str, ...] = ()
    where: tuple[Condition, ...] = ()
    group: tuple[str, ...] = ()
    since: float | None = None
    by: str | None = None


Command = (
    CreatePool
    | ChangePool
    | DeletePool
    | CreateTeam
    | ChangeTeam
    | DeleteTeam
    | CreateQueue
    | ChangeQueue
    | DeleteQueue
    | CreateKey
    | WithdrawKey
    | RotateKey
    | AddInstance
    | RemoveInstance
    | MoveInstance
    | StartWave
    | PauseWave
    | ResumeWave
    | StopWave
    | TakeOutRack
    | TakeOutDataCentre
    | EvacuateDataCentre
    | ReturnDataCentre
    | ForgetMember
    | RequireVersion
    | Show
)

_FLEET_COMMANDS = (
    AddInstance,
    RemoveInstance,
    MoveInstance,
    StartWave,
    PauseWave,
    ResumeWave,
    StopWave,
    TakeOutRack,
    TakeOutDataCentre,
    EvacuateDataCentre,
    ReturnDataCentre,
)


class Statement(NamedTuple):
    """A command with its position in the script.

    Attributes
    ----------
    line : int
        Line number, counted from 1.
    column : int
        Column of the command's first word, counted from 1.
    text : str
        The command as written, without comments and surrounding spaces.
    command : Command
        The typed command.
    columns : dict
        Columns of the values of each field, by its name.
    """

    line: int
    column: int
    text: str
    command: Command
    columns: dict[str, tuple[int, ...]]


class Script(NamedTuple):
    """A parsed script; a dry run changes nothing."""

    source: str
    statements: tuple[Statement, ...]
    dry_run: bool


def find_target(command: Command) -> Target | None:
    """Return the document that a command changes or checks; None for a query."""
    if isinstance(command, Show):
        return None
    if isinstance(command, RequireVersion):
        return command.document
    if isinstance(command, ForgetMember):
        return "members"
    return "fleet" if isinstance(command, _FLEET_COMMANDS) else "configuration"


def changes_document(command: Command) -> bool:
    """Return whether a command changes a document."""
    return not isinstance(command, Show | RequireVersion)


def needs_key(command: Command) -> bool:
    """Return whether a command needs a new key."""
    return isinstance(command, CreateKey | RotateKey)
