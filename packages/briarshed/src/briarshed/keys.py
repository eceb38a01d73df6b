"""API keys of callers and operators: generation, hashing and lookup."""

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
    """A new key; its text is shown once and never stored."""

    key_id: str
    text: str
    hash: str


class KeyOwner(NamedTuple):
    """Id and team of a valid key."""

    key_id: str
    team: str


def make_key() -> NewKey:
    """Return a new key ``ID.SECRET``; the id allows a direct lookup of the hash."""
    key_id = "k-" + secrets.token_hex(KEY_ID_BYTES)
    text = f"{key_id}.{secrets.token_urlsafe(KEY_BYTES)}"
    return NewKey(key_id, text, hash_key(text))


def hash_key(text: str) -> str:
    """Return the SHA-256 of a key in hex.

    A plain hash is sufficient, since keys are random and not chosen by users.
    """
    return hashlib.sha256(text.encode()).hexdigest()


def find_key(
    configuration: Configuration, text: str, unix_time: float
) -> KeyOwner | None:
    """Return the owner of a key, or None if the key is not valid.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    text : str
        The key as sent by the caller.
    unix_time : float
        Current time in seconds; a key is invalid from its expiry time on.
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
    """Return the name of the operator with this key, or None."""
    actual = hash_key(text)
    for name, expected in keys.items():
        if hmac.compare_digest(expected, actual):
            return name
    return None
