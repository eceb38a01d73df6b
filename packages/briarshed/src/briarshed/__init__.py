"""Decisions, documents, settings and language of briarshed; no I/O and no clock.

Public names are imported on first use, so a program loads only the modules that it
needs. This saves memory, which is limited for an entry.
"""

from importlib import import_module
from typing import Any

_MODULES = {
    "BriarshedError": "exceptions",
    "Change": "documents",
    "Configuration": "documents",
    "Finding": "findings",
    "Fleet": "documents",
    "Grants": "documents",
    "Instance": "documents",
    "Key": "documents",
    "Member": "documents",
    "Members": "documents",
    "Pool": "documents",
    "Queue": "documents",
    "ScriptError": "exceptions",
    "Settings": "settings",
    "SettingsError": "exceptions",
    "Stored": "documents",
    "Team": "documents",
    "Wave": "documents",
    "check_settings": "settings",
    "load_settings": "settings",
}

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


def __getattr__(name: str) -> Any:
    """Import a public name from its module on first use."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"briarshed.{_MODULES[name]}"), name)
