"""Settings of an entry: types, and validation of a whole file."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple, get_type_hints

from pydantic import Field, StringConstraints, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from briarshed._commented_json import (
    CommentedJsonError,
    Parsed,
    Position,
    parse_commented_json,
)
from briarshed.findings import Finding, suggest_name

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]*$")]
Address = Annotated[
    str, StringConstraints(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$")
]
Milliseconds = Annotated[int, Field(gt=0)]
Bytes = Annotated[int, Field(gt=0)]
Sha256 = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
CurveKey = Annotated[str, StringConstraints(min_length=40, max_length=40)]


class Tls(NamedTuple):
    """Paths of the certificate chain and the private key, both PEM."""

    certificate: str
    key: str


class CallersSettings(NamedTuple):
    """Server for callers."""

    address: Address
    max_body_bytes: Bytes = 1_048_576
    default_deadline_ms: Milliseconds = 30_000
    max_deadline_ms: Milliseconds = 60_000
    body_timeout_ms: Milliseconds = 10_000
    tls: Tls | None = None


class OperatorsSettings(NamedTuple):
    """Server for operators; ``keys`` maps operators to SHA-256 hashes in hex."""

    address: Address
    keys: dict[Name, Sha256]


class PeersSettings(NamedTuple):
    """Connections with other entries.

    ``allowed_keys`` maps entry names to their public CURVE keys. ``routes`` maps entry
    names to addresses that replace the registered ones.
    """

    address: Address
    public_key: CurveKey
    secret_key: CurveKey
    allowed_keys: dict[Name, CurveKey]
    routes: dict[Name, Address] = {}


class StoreSettings(NamedTuple):
    """The key-value store for durable state."""

    url: str
    timeout_ms: Milliseconds = 1_000
    poll_ms: Milliseconds = 1_000
    lease_ms: Milliseconds = 10_000


class PlatformSettings(NamedTuple):
    """The platform's interface to list, drain and reboot instances."""

    url: str
    timeout_ms: Milliseconds = 2_000
    poll_ms: Milliseconds = 2_000


class EndpointsSettings(NamedTuple):
    """Calls to endpoints.

    ``routes`` maps addresses of endpoints to addresses that replace them, for networks
    with address translation.
    """

    connections: Annotated[int, Field(gt=0)] = 7
    connect_timeout_ms: Milliseconds = 1_000
    probe_after_ms: Milliseconds = 1_000
    probe_timeout_ms: Milliseconds = 2_000
    max_answer_bytes: Bytes = 8_388_608
    routes: dict[Address, Address] = {}


class ConnectionsSettings(NamedTuple):
    """Limits on the connections of callers and operators.

    ``memory_mb`` and ``max_descriptors`` are what the whole process may use.
    """

    memory_mb: Annotated[int, Field(gt=0)] = 512
    max_descriptors: Annotated[int, Field(gt=0)] = 4_096
    max_header_bytes: Bytes = 16_384
    header_timeout_ms: Milliseconds = 10_000
    idle_timeout_ms: Milliseconds = 120_000


class TimingSettings(NamedTuple):
    """Times used by the decisions; docs/design.md section 5 gives the reasons."""

    freshness_ms: Milliseconds = 4_000
    consent_ms: Milliseconds = 3_000
    max_outage_ms: Milliseconds = 1_800_000
    margin_ms: Milliseconds = 500
    task_lease_ms: Milliseconds = 60_000
    ping_ms: Milliseconds = 1_000
    balancer_notice_ms: Milliseconds = 5_000
    in_force_timeout_ms: Milliseconds = 6_000
    plan_ms: Milliseconds = 1_000
    slow_start_ms: Milliseconds = 10_000


class WeightsSettings(NamedTuple):
    """Weight of each measure in decisions about moving instances."""

    buffer: float = 1.0
    moves: float = 1.0
    share: float = 1.0


class LogSettings(NamedTuple):
    """Log output: JSON with one object per line, or plain text."""

    format: Literal["json", "text"] = "json"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class StatsdSettings(NamedTuple):
    """StatsD server that receives the metrics over UDP."""

    address: Address
    prefix: str = "briarshed"
    interval_ms: Milliseconds = 10_000


class Settings(NamedTuple):
    """All settings of one entry."""

    name: Name
    data_centre: Name
    callers: CallersSettings
    operators: OperatorsSettings
    peers: PeersSettings
    store: StoreSettings
    platform: PlatformSettings | None = None
    endpoints: EndpointsSettings = EndpointsSettings()
    connections: ConnectionsSettings = ConnectionsSettings()
    timing: TimingSettings = TimingSettings()
    weights: WeightsSettings = WeightsSettings()
    log: LogSettings = LogSettings()
    statsd: StatsdSettings | None = None


def load_settings(path: Path) -> Result[Settings, Sequence[Finding]]:
    """Read and validate a settings file.

    Returns
    -------
    Result
        The settings, or all findings with their positions.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(str(path), 1, 1, f"cannot be read: {error}"),))
    return check_settings(text, str(path))


def check_settings(text: str, source: str) -> Result[Settings, Sequence[Finding]]:
    """Validate the text of a settings file."""
    try:
        parsed = parse_commented_json(text)
    except CommentedJsonError as error:
        return Failure((Finding(source, *error.position, str(error)),))
    findings = [
        Finding(source, *position, f"'{path[-1]}' is given more than once")
        for path, position in parsed.repeated
    ]
    if not isinstance(parsed.value, dict):
        position = parsed.positions[()]
        return Failure((Finding(source, *position, "settings must be an object"),))
    try:
        settings = TypeAdapter(Settings).validate_python(parsed.value)
    except ValidationError as error:
        findings += [
            _make_finding(problem, parsed, source)
            for problem in error.errors(include_url=False)
        ]
        return Failure(_sort_findings(findings))
    findings += _check_relations(settings, parsed, source)
    if findings:
        return Failure(_sort_findings(findings))
    return Success(settings)


def _sort_findings(findings: Sequence[Finding]) -> tuple[Finding, ...]:
    return tuple(sorted(set(findings), key=lambda found: (found.line, found.column)))


def _make_finding(problem: Any, parsed: Parsed, source: str) -> Finding:
    path = tuple(part for part in problem["loc"] if part != "[key]")
    name = ".".join(str(part) for part in path)
    position = _find_position(path, parsed)
    match problem["type"]:
        case "extra_forbidden" | "unexpected_keyword_argument":
            known = _list_names(path[:-1])
            hint = suggest_name(str(path[-1]), known)
            return Finding(source, *position, f"unknown setting '{name}'", hint)
        case "missing" | "missing_argument":
            return Finding(source, *position, f"setting '{name}' is missing")
        case _:
            return Finding(source, *position, f"setting '{name}': {problem['msg']}")


def _find_position(path: tuple[Any, ...], parsed: Parsed) -> Position:
    while path not in parsed.positions:
        path = path[:-1]
    return parsed.positions[path]


def _list_names(path: tuple[Any, ...]) -> Sequence[str]:
    current: Any = Settings
    for part in path:
        current = get_type_hints(current).get(str(part))
        for member in getattr(current, "__args__", ()):
            if hasattr(member, "_fields"):
                current = member
        if not hasattr(current, "_fields"):
            return ()
    return current._fields


def _check_relations(
    settings: Settings, parsed: Parsed, source: str
) -> Sequence[Finding]:
    findings = []

    def report(path: tuple[str, ...], message: str) -> None:
        findings.append(Finding(source, *_find_position(path, parsed), message))

    timing = settings.timing
    if settings.callers.max_deadline_ms > timing.task_lease_ms:
        report(
            ("callers", "max_deadline_ms"),
            "setting 'callers.max_deadline_ms' must not exceed 'timing.task_lease_ms',"
            " since a task ends with its lease",
        )
    if settings.callers.default_deadline_ms > settings.callers.max_deadline_ms:
        report(
            ("callers", "default_deadline_ms"),
            "setting 'callers.default_deadline_ms' must not exceed"
            " 'callers.max_deadline_ms'",
        )
    if settings.store.poll_ms + settings.store.timeout_ms >= timing.freshness_ms:
        report(
            ("timing", "freshness_ms"),
            "setting 'timing.freshness_ms' must exceed 'store.poll_ms' plus"
            " 'store.timeout_ms', so that one slow read does not end the authority",
        )
    if 2 * timing.ping_ms >= timing.consent_ms:
        report(
            ("timing", "consent_ms"),
            "setting 'timing.consent_ms' must exceed twice 'timing.ping_ms'",
        )
    return findings
