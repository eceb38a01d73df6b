"""Client of the link stand-in: opens links and sets their faults by name."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from briarshed_standins.processes import call, expect_success


class Links:
    """Links named ``CLIENT>TARGET``, served by the link stand-in at ``url``."""

    def __init__(self) -> None:
        self.url = ""
        self._names: list[str] = []
        self._faults: dict[str, Mapping[str, Any]] = {}

    def open(self, name: str, target: str) -> str:
        """Open a link to an address; return the address of the link."""
        content = {"name": name, "target": target}
        reply = expect_success(call("POST", f"{self.url}/_links", content))
        self._names.append(name)
        return reply["address"]

    def set_faults(self, patterns: Sequence[str], faults: Mapping[str, Any]) -> None:
        """Replace the faults of matching links; an empty mapping clears them."""
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
        """Return the bytes that each link has carried in both directions."""
        counts = expect_success(call("GET", f"{self.url}/_counts"))
        return {name: sum(sent.values()) for name, sent in counts.items()}

    def list_between_locations(
        self, locations: Mapping[str, str], location: str
    ) -> list[str]:
        """Return the links with exactly one end in a location.

        Parameters
        ----------
        places : Mapping[str, str]
            Location of each client and target; links with other ends are ignored.
        """
        found = []
        for name in self._names:
            client, _, target = name.partition(">")
            if client in locations and target in locations:
                ends = {locations[client], locations[target]}
                if len(ends) > 1 and location in ends:
                    found.append(name)
        return found

    def _post(self) -> None:
        expect_success(call("POST", f"{self.url}/_faults", self._faults))
