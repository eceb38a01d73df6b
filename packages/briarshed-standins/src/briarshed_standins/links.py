"""The links of a fleet: opened by name, and given faults by patterns of names."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from briarshed_standins.processes import call, expect_success


class Links:
    """Links named ``CLIENT>TARGET``, relayed by one link stand-in at ``url``."""

    def __init__(self) -> None:
        self.url = ""
        self._names: list[str] = []
        self._faults: dict[str, Mapping[str, Any]] = {}

    def open(self, name: str, target: str) -> str:
        """Open a link to an address; return the address that replaces it."""
        content = {"name": name, "target": target}
        reply = expect_success(call("POST", f"{self.url}/_links", content))
        self._names.append(name)
        return reply["address"]

    def set_faults(self, patterns: Sequence[str], faults: Mapping[str, Any]) -> None:
        """Replace the faults of links whose names match; no faults heal them."""
        for pattern in patterns:
            self._faults.pop(pattern, None)
            if faults:
                self._faults[pattern] = faults
        self._post()

    def heal(self) -> None:
        """Clear the faults of all links."""
        self._faults.clear()
        self._post()

    def read_bytes(self) -> dict[str, int]:
        """Return the bytes that each link has carried, both directions together."""
        counts = expect_success(call("GET", f"{self.url}/_counts"))
        return {name: sum(sent.values()) for name, sent in counts.items()}

    def list_crossing(self, places: Mapping[str, str], place: str) -> list[str]:
        """Return the links with one end in a place and the other in another.

        Parameters
        ----------
        places : Mapping[str, str]
            The place of each client and target; links of others are left out.
        """
        found = []
        for name in self._names:
            client, _, target = name.partition(">")
            if client in places and target in places:
                ends = {places[client], places[target]}
                if len(ends) > 1 and place in ends:
                    found.append(name)
        return found

    def _post(self) -> None:
        expect_success(call("POST", f"{self.url}/_faults", self._faults))
