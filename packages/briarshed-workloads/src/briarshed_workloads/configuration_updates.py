"""Sends the leader's configuration to entries with an older version."""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from briarshed.exceptions import DocumentError
from briarshed_entry import clock
from briarshed_workloads.consent import PeerView
from briarshed_workloads.transport import ConfigurationUpdate, PeerTransport

CONFIGURATION_RESEND_S = 1.2
"""Time after which an update that has had no effect is sent again."""

MAX_CONFIGURATION_BYTES = 16_777_216
"""Size up to which a peer's configuration is decompressed; the store accepts 1 MB."""


class ConfigurationSender:
    """Sends a configuration to each entry that reports an older version.

    Parameters
    ----------
    transport : PeerTransport
        Sends the updates.
    """

    def __init__(self, transport: PeerTransport) -> None:
        self._transport = transport
        self._sent: dict[str, tuple[int, float]] = {}

    def send(self, version: int, content: bytes, peers: Mapping[str, PeerView]) -> None:
        """Send a configuration where it is missing.

        It is sent again only if it shows no effect within `CONFIGURATION_RESEND_S`.

        Parameters
        ----------
        version : int
            Version of the configuration.
        content : bytes
            The configuration as the operator wrote it.
        peers : Mapping
            Views of the other entries by address.
        """
        now = clock.now()
        compressed = b""
        for address, view in peers.items():
            sent_version, sent_at = self._sent.get(address, (0, 0.0))
            is_recently_sent = (
                sent_version >= version and now - sent_at < CONFIGURATION_RESEND_S
            )
            if view.heartbeat.version >= version or is_recently_sent:
                continue
            compressed = compressed or zlib.compress(content, 1)
            self._sent[address] = version, now
            self._transport.send(address, ConfigurationUpdate(compressed))


def decompress(data: bytes) -> bytes:
    """Return the decompressed configuration.

    Raises
    ------
    DocumentError
        If the data is damaged, incomplete or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_CONFIGURATION_BYTES)
    except zlib.error as error:
        raise DocumentError(f"configuration of a peer: {error}") from error
    if not decompressor.eof:
        raise DocumentError("configuration of a peer: incomplete or too large")
    return content
