"""Settings of an entry that serves durable jobs, passed whole."""

from __future__ import annotations

from typing import NamedTuple


class SiteLimits(NamedTuple):
    """Bounds that the operator's site sets; seconds.

    Attributes
    ----------
    grace : float
        From SIGTERM to SIGKILL.
    longest_hold : float
        Longest time for which endpoints keep runs without word.
    stop_grace : float
        Longest time that a stop takes at an endpoint.
    status_kept : float
        How long the outcome of a job is told.
    notice : float
        A long-running task that is not at work for this long counts as away.
    configuration : float
        Within this time a new configuration is in force.
    maintenance : float
        How long an instance is down for its maintenance.
    move : float
        How long an instance is down for a move.
    lease : float
        Two holders may not order one instance by turns within this time.
    """

    grace: float = 6.0
    max_run_lease: float = 6.0
    stop_grace: float = 0.2
    status_retention: float = 120.0
    unavailable_after: float = 4.5
    configuration: float = 2.0
    maintenance: float = 2.0
    move: float = 1.5
    lease: float = 3.0


class EntryOptions(NamedTuple):
    """Everything an entry learns from its settings.

    Attributes
    ----------
    name, data_centre : str
        Names of this entry and of where it stands.
    data_centres : tuple of str
        All data centres of the deployment.
    callers, readiness : str
        Addresses (``IP:PORT``) to serve callers and the balancer's checks on.
    peers, metrics : str
        Addresses of the own protocol between entries and of the metrics page.
    store, instances : str
        Addresses of the platform's store and of its instance interface.
    advice : str
        Address of the service that approves endpoints for steps; may be empty.
    cores : float
        Processor time that the entry may use, in cores.
    link_mbps : float
        Bandwidth of the instance's network link in Mbit/s.
    promises : Promises
        Bounds of the site.
    """

    name: str
    data_centre: str
    data_centres: tuple[str, ...]
    callers: str
    readiness: str
    peers: str
    metrics: str
    store: str
    instances: str
    approval_service: str
    cores: float
    link_mbps: float
    site_limits: SiteLimits
