"""Errors of decoding data that other programs have written."""

from __future__ import annotations

import msgspec

DECODING_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
"""Errors that a decoder raises for invalid data. A value that is nested too deeply
raises RecursionError, also where the decoder skips it."""
