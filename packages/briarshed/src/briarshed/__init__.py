"""Decisions, documents, settings and language of briarshed; no I/O and no clock."""

from briarshed.documents import (
    Change,
    Configuration,
    Fleet,
    Grants,
    Instance,
    Key,
    Member,
    Members,
    Pool,
    Queue,
    Stored,
    Team,
    Wave,
)
from briarshed.exceptions import BriarshedError, ScriptError, SettingsError
from briarshed.findings import Finding
from briarshed.settings import Settings, check_settings, load_settings

__all__ = [
    "BriarshedError",
    "Change",
    "Configuration",
    "Finding",
    "Fleet",
    "Grants",
    "Instance",
    "Key",
    "Member",
    "Members",
    "Pool",
    "Queue",
    "ScriptError",
    "Settings",
    "SettingsError",
    "Stored",
    "Team",
    "Wave",
    "check_settings",
    "load_settings",
]
