"""Which instances the leader may order now, and the tokens of its orders."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Iterable

from briarshed_workloads.fleet import TOKEN_COUNTER_BITS
from briarshed_workloads.options import SiteLimits

FIRST_EPOCH = 1


class InstanceOrders:
    """Orders for instances that may still take effect.

    Two holders must not order one instance within the lease time. Where the platform
    does not refuse an order with a lower token than an earlier one, an order without a
    response also keeps this leader from ordering the instance again for that time: it
    may be delivered after the next one.

    Parameters
    ----------
    epoch : int
        Epoch of the leader's term.
    site_limits : SiteLimits
        Time limits of the site.
    now : float
        Start of the term, in seconds of the boot clock.
    """

    def __init__(self, epoch: int, site_limits: SiteLimits, now: float) -> None:
        self._epoch = epoch
        self._lease = site_limits.lease
        self.are_old_refused = site_limits.refuses_old_orders
        # A deposed leader may have given orders until just now.
        self._orders_from = now + (0.0 if epoch == FIRST_EPOCH else self._lease)
        self._earlier: set[str] = set()
        self._are_earlier_unknown = False
        self._unanswered_at: dict[str, float] = {}
        self._counter = 0

    def restore(self, names: Iterable[str]) -> None:
        """Note the instances that earlier leaders have recorded as ordered."""
        self._earlier.update(names)

    def note_unreadable(self) -> None:
        """Note that any instance may have been ordered by an earlier leader."""
        self._are_earlier_unknown = True

    def next_token(self) -> int:
        """Return a token above all earlier ones, for any instance."""
        self._counter += 1
        return (self._epoch << TOKEN_COUNTER_BITS) | self._counter

    def note_unanswered(self, name: str, now: float) -> None:
        """Note that an order got no response; ``now`` is when the wait for it ended."""
        self._unanswered_at[name] = now

    def list_held(self, known: Iterable[str], now: float) -> set[str]:
        """Return the instances that must not be ordered yet.

        Parameters
        ----------
        known : iterable of str
            All instances that are known.
        now : float
            Seconds of the boot clock.
        """
        held: set[str] = set()
        if not self.are_old_refused:
            held.update(
                name
                for name, at in self._unanswered_at.items()
                if now - at < self._lease
            )
        if now < self._orders_from:
            held |= self._earlier
            held.update(known if self._are_earlier_unknown else ())
        return held

    def list_recent(self, ordered_at: dict[str, float], now: float) -> tuple[str, ...]:
        """Return the instances whose order another leader must still wait for.

        Parameters
        ----------
        ordered_at : dict
            Instances, and when they were ordered in seconds of the boot clock; minus
            infinity for orders of earlier leaders.
        """
        return tuple(
            name
            for name, at in ordered_at.items()
            if now - at < self._lease or (at == -math.inf and now < self._orders_from)
        )


async def complete_all(orders: Iterable[Awaitable[None]]) -> None:
    """Wait for all orders, also if one fails; then raise the first error.

    Otherwise an order that is still on its way could overtake the next one for its
    instance.
    """
    outcomes = await asyncio.gather(*orders, return_exceptions=True)
    for outcome in outcomes:
        if isinstance(outcome, BaseException):
            raise outcome
