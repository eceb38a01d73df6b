"""Settings of an entry that serves durable jobs."""

from __future__ import annotations

from typing import NamedTuple


class SiteLimits(NamedTuple):
    """Time limits that the site sets, in seconds.

    Attributes
    ----------
    grace : float
        Time between SIGTERM and SIGKILL.
    max_run_lease : float
        Longest time for which endpoints keep runs without a poll.
    stop_grace : float
        Longest time that an endpoint takes to stop a run.
    status_retention : float
        How long the outcome of an ended job is reported.
    unavailable_after : float
        A long-running task that does not serve for this long counts as unavailable.
    configuration : float
        Time within which a new configuration must be in force.
    maintenance : float
        Downtime of an instance in maintenance.
    move : float
        Downtime of an instance that is moved.
    lease : float
        Time within which calls for one instance must not alternate between two holders.
    refuses_old_orders : bool
        Whether the platform refuses an order for an instance after one with a higher
        token.
    spread_factor : float
        Factor on the run time of a task away from the rack that holds its data.
    evacuation : float
        Time within which an evacuation must be in force; 0 if the site sets none.
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
    refuses_old_orders: bool = True
    spread_factor: float = 2.0
    evacuation: float = 0.0


class EntryOptions(NamedTuple):
    """Settings of an entry.

    Attributes
    ----------
    name, data_centre : str
        Name of this entry and of its data centre.
    data_centres : tuple of str
        All data centres of the deployment.
    callers, readiness : str
        Listen addresses (``IP:PORT``) for callers and for the balancer's health checks.
    peers, metrics : str
        Listen addresses for messages of other entries and for the metrics page.
    store, instances : str
        Addresses of the platform's store and of its instance interface.
    approval_service : str
        Address of the service that approves endpoints for steps; may be empty.
    cores : float
        Processor time that the entry may use, in cores.
    link_mbps : float
        Bandwidth of the instance's network link in Mbit/s.
    site_limits : SiteLimits
        Time limits of the site.
    memory_mb : float
        Memory that the entry may use, in MB.
    max_descriptors : int
        File descriptors that the entry may have open.
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
    memory_mb: float = 512.0
    max_descriptors: int = 4_096
