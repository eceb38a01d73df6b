"""Keys that callers and operators show: making, hashing, finding."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Mapping
from typing import NamedTuple

from briarshed.documents import Configuration

KEY_BYTES = 32
KEY_ID_BYTES = 4


class NewKey(NamedTuple):
    """A key just made; the text is shown once and never stored."""

    key_id: str
    text: str
    hash: str


class KeyOwner(NamedTuple):
    """Who a presented key belongs to."""

    key_id: str
    team: str


def make_key() -> NewKey:
    """Return a new key ``ID.SECRET``; the id finds the hash without a scan."""
    key_id = "k-" + secrets.token_hex(KEY_ID_BYTES)
    text = f"{key_id}.{secrets.token_urlsafe(KEY_BYTES)}"
    return NewKey(key_id, text, hash_key(text))


def hash_key(text: str) -> str:
    """Return the SHA-256 of a key in hex.

    A plain hash suffices, since keys are random and not chosen by people.
    """
    return hashlib.sha256(text.encode()).hexdigest()


def find_key(
    configuration: Configuration, text: str, unix_time: float
) -> KeyOwner | None:
    """Return the owner of a presented key, or None if it is not valid.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    text : str
        The key as the caller presented it.
    unix_time : float
        Seconds; a key is not valid from its expiry time on.
    """
    key_id = text.partition(".")[0]
    key = configuration["keys"].get(key_id)
    if key is None or not hmac.compare_digest(key["hash"], hash_key(text)):
        return None
    expires_at = key["expires_at"]
    if expires_at is not None and unix_time >= expires_at:
        return None
    return KeyOwner(key_id, key["team"])


def find_operator(keys: Mapping[str, str], text: str) -> str | None:
    """Return the operator's name for a presented key, or None."""
    presented = hash_key(text)
    for name, expected in keys.items():
        if hmac.compare_digest(expected, presented):
            return name
    return None
