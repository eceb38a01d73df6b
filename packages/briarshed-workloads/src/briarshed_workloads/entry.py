"""One entry process: follows the operator's orders, answers callers, may lead."""

from __future__ import annotations

import asyncio
import secrets
import zlib
from collections.abc import Callable
from types import TracebackType
from typing import NamedTuple, Self

from reactivex.subject import Subject

from briarshed import events
from briarshed.exceptions import DocumentError
from briarshed_entry import clock
from briarshed_entry.logs import flush_logs, log_event
from briarshed_workloads import telemetry
from briarshed_workloads.configuration import Configuration
from briarshed_workloads.controller import Controller
from briarshed_workloads.forwarding import Forwarder
from briarshed_workloads.interfaces import (
    Directory,
    Endpoints,
    HistoryLostError,
    Instances,
    NotExecutedError,
    Orders,
    OutcomeUnknownError,
    Put,
    Store,
)
from briarshed_workloads.leadership import LeaderTerm, acquire, read_leader
from briarshed_workloads.options import EntryOptions
from briarshed_workloads.records import (
    ENTRIES,
    EntryRecord,
    decode,
    encode,
)
from briarshed_workloads.transport import (
    ConfigurationUpdate,
    EntryHeartbeat,
    JobRequest,
    LeaderHeartbeat,
    Message,
    PeerTransport,
    PendingReplies,
    Reply,
    SubmitRequest,
)

LEADER_HEARTBEAT_S = 0.3
"""Interval of the leader's signs of life; three fit into the silence below."""

LEADER_TIMEOUT_S = 1.0
"""Silence of the leader after which an entry asks the store who leads."""

ELECTION_INTERVAL_S = 0.15
"""Interval of asking the store while there is no leader."""

ELECTION_DELAY_S = 0.6
"""Longest time for which a weak entry leaves a vacant leadership to others; a strong
one takes it within `ELECTION_S` and four calls to the store."""

STRONG_CORES = 2.0
STRONG_LINK_MBPS = 100.0
"""An entry with this much carries the leadership at four times today's size."""

WATCH_WAIT_S = 0.7
"""How long a watch of the operator's orders waits. A watch can fall silent or deaf, and
a configuration must be in force everywhere within 2 s."""

LEADER_CHECK_S = 0.1
"""Interval of checking whether the leader still keeps this entry informed."""

OUTDATED_TIMEOUT_S = 0.4
"""Time behind the leader's version after which an entry reads the store itself."""

CONFIGURATION_RESEND_S = 1.2
"""Time after which an offer that shows no effect is sent again."""

WATCH_RETRY_S = 0.3
"""Pause after a watch or a read of orders that failed."""

CONTACT_TIMEOUT_S = 1.2
"""Without leader and store for this long, an entry tells the balancer so."""

PEER_EXPIRY_S = 30.0
"""Silence after which the leader sends nothing more to an entry."""

PEER_TIMEOUT_S = 3.0
"""Silence before the store began to fail after which an entry counts as ended; a living
one is heard four times a second."""

CONSENT_TTL_S = 1.2
"""Age up to which an entry's word that the store is away counts."""

STORE_TIMEOUT_S = 1.0
"""Age of the last answer from which on the store counts as away for an entry."""

LOG_FLUSH_S = 0.25


class PeerView(NamedTuple):
    """What the leader knows of another entry; times of the boot clock."""

    heartbeat: EntryHeartbeat
    received_at: float


class LeaderView(NamedTuple):
    """The leader as this entry last heard of it."""

    address: str
    heartbeat: LeaderHeartbeat
    received_at: float


def find_election_delay(options: EntryOptions) -> float:
    """Return how long an entry leaves the leadership to stronger ones, in seconds."""
    strength = min(
        options.cores / STRONG_CORES, options.link_mbps / STRONG_LINK_MBPS, 1.0
    )
    return ELECTION_DELAY_S * (1.0 - strength)


class Entry:
    """The hub of an entry process; a context manager that owns its tasks.

    Parameters
    ----------
    options : EntryOptions
        Settings of the entry.
    store, endpoints, instances, directory
        The outside systems.
    """

    def __init__(
        self,
        options: EntryOptions,
        store: Store,
        endpoints: Endpoints,
        instances: Instances,
        directory: Directory,
    ) -> None:
        self.options = options
        self.incarnation = secrets.token_hex(4)
        self.configuration: Configuration | None = None
        self._configurations: Subject[Configuration] = Subject()
        self._configurations.subscribe(self._distribute_configuration)
        self.leader: LeaderView | None = None
        self.controller: Controller | None = None
        self.is_stopping = False
        self._raw_configuration = b""
        self._store = store
        self._external_systems = (store, endpoints, instances, directory)
        self._directory = directory
        self._waves: dict[int, object] = {}
        self._peers: dict[str, PeerView] = {}
        self._pending_replies = PendingReplies()
        self._transport = PeerTransport(options.peers, self._handle)
        self.forwarder = Forwarder(self, store, self._transport, self._pending_replies)
        self._tasks: list[asyncio.Task[None]] = []
        self.term: LeaderTerm | None = None
        self._timed_out_epoch = 0
        self._consented_at = 0.0
        self._outdated_since = 0.0
        self._sent_configurations: dict[str, tuple[int, float]] = {}

    async def __aenter__(self) -> Self:
        await self._transport.__aenter__()
        log_event(
            events.ENTRY_STARTED,
            name=self.options.name,
            data_centre=self.options.data_centre,
            incarnation=self.incarnation,
        )
        for loop in (self._follow_orders, self._elect, self._keep_contact):
            self._tasks.append(asyncio.create_task(self._guard(loop)))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._transport.__aexit__(kind, error, trace)
        log_event(events.ENTRY_STOPPED, name=self.options.name, jobs=0)
        flush_logs()

    async def _guard(self, loop: Callable) -> None:
        """Run a loop for good; an unexpected error is logged and the loop goes on."""
        while True:
            try:
                await loop()
            except (NotExecutedError, OutcomeUnknownError):
                # The client of the outside system has logged that it is lost.
                telemetry.count("loops interrupted", loop.__name__)
            except Exception as error:
                log_event(events.LOOP_FAILED, task=loop.__name__, error=repr(error))
            await asyncio.sleep(WATCH_RETRY_S)

    # The operator's orders

    async def _follow_orders(self) -> None:
        while True:
            if self._is_updated_by_leader():
                # The leader sends what changes; a watch would send it again, and a
                # large configuration fills the link of a small instance.
                await asyncio.sleep(LEADER_CHECK_S)
                continue
            orders = await self._directory.read_orders()
            self._apply_orders(orders)
            while not self._is_updated_by_leader():
                try:
                    # A watch may hear nothing of a change and still answer, so the
                    # next one begins after the last change that was heard of.
                    orders = await self._directory.watch_orders(
                        orders.revision, WATCH_WAIT_S
                    )
                except HistoryLostError:
                    break
                self._apply_orders(orders)

    def _is_updated_by_leader(self) -> bool:
        """Tell whether the leader keeps this entry's configuration up to date."""
        leader = self.leader
        if self.term is not None or leader is None or self.configuration is None:
            return False
        if not self.is_leader_alive() or not leader.heartbeat.has_authority:
            return False
        if leader.heartbeat.is_store_failing or leader.heartbeat.is_resigning:
            return False
        if self.configuration.version >= leader.heartbeat.version:
            self._outdated_since = 0.0
            return True
        now = clock.now()
        self._outdated_since = self._outdated_since or now
        return now - self._outdated_since < OUTDATED_TIMEOUT_S

    def _apply_orders(self, orders: Orders) -> None:
        if orders.configuration is not None:
            self.apply_configuration(orders.configuration, "store")
        for wave in orders.waves:
            self._waves[wave.wave] = wave
        if orders.waves and self.controller is not None and self.controller.is_loaded:
            self.controller.maintenance.set_waves(orders.waves)

    def apply_configuration(self, data: bytes, source: str) -> None:
        """Apply a configuration unless this entry has it or a newer one."""
        try:
            configuration = self._directory.decode_configuration(data)
        except DocumentError as error:
            log_event(events.CONFIGURATION_REJECTED, error=str(error))
            return
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self._raw_configuration = data
        log_event(
            events.CONFIGURATION_APPLIED, version=configuration.version, source=source
        )
        self._configurations.on_next(configuration)

    def _distribute_configuration(self, configuration: Configuration) -> None:
        """Hand a new configuration to the leader's loops and to other entries."""
        if self.controller is not None and self.controller.is_loaded:
            self.controller.set_configuration(configuration)
        if self.term is not None:
            self._send_configuration()
        self._send_entry_heartbeat()

    # Leadership

    async def _elect(self) -> None:
        while True:
            if self.configuration is not None and self._may_lead():
                term = await self._try_to_lead()
                if term is not None:
                    await self._lead(term)
            await asyncio.sleep(ELECTION_INTERVAL_S)

    def _may_lead(self) -> bool:
        """Tell whether this entry should try to lead: no leader with authority."""
        if self.is_stopping:
            return False
        leader = self.leader
        if leader is None:
            return True
        age = clock.now() - leader.received_at
        heartbeat = leader.heartbeat
        return (
            age > LEADER_TIMEOUT_S
            or heartbeat.is_resigning
            or not heartbeat.has_authority
        )

    async def _try_to_lead(self) -> LeaderTerm | None:
        try:
            known_leader = await read_leader(self._store)
            if known_leader is not None:
                self._transport.send(known_leader.address, self._make_entry_heartbeat())
                return None
            # The leader carries the whole fleet, so that stronger entries go first. The
            # delay begins once the leadership is vacant: many weak entries that ask in
            # turn would find it before the few strong ones.
            await asyncio.sleep(find_election_delay(self.options))
            if not self._may_lead():
                return None
            term = await acquire(
                self._store, self._describe(), self._may_continue_without_store
            )
            if term is not None:
                term.vacant_at = max(term.vacant_at, self._consented_at + CONSENT_TTL_S)
            return term
        except (NotExecutedError, OutcomeUnknownError):
            return None

    def _describe(self) -> EntryRecord:
        return EntryRecord(self.options.name, self.incarnation, self.options.peers)

    def _may_continue_without_store(self, failing_since: float) -> bool:
        """Tell whether every other living entry is without the store as well.

        An entry that was silent before the store began to fail has ended: whatever cuts
        this entry off from living ones cuts it off from the store no later.
        """
        now = clock.now()
        views = [
            view
            for view in self._peers.values()
            if not view.heartbeat.is_stopping
            and view.received_at > failing_since - PEER_TIMEOUT_S
        ]
        return bool(views) and all(
            now - view.received_at < CONSENT_TTL_S
            and view.heartbeat.store_age > STORE_TIMEOUT_S
            for view in views
        )

    async def _lead(self, term: LeaderTerm) -> None:
        self.term = term
        keeping = asyncio.create_task(term.renew_until_lost())
        async with Controller(
            self.options, term, *self._external_systems
        ) as controller:
            self.controller = controller
            beacons = asyncio.create_task(self._send_leader_heartbeats(term))
            try:
                await self._load(controller, term)
                await term.lost.wait()
            finally:
                self.controller = None
                self.term = None
                self.leader = None
                for task in (keeping, beacons):
                    task.cancel()
                await asyncio.gather(keeping, beacons, return_exceptions=True)

    async def _load(self, controller: Controller, term: LeaderTerm) -> None:
        assert self.configuration is not None
        while not term.lost.is_set():
            try:
                await self._load_peers()
                self._apply_orders(await self._directory.read_orders())
                await controller.load(self.configuration)
                break
            except (NotExecutedError, OutcomeUnknownError):
                await asyncio.sleep(WATCH_RETRY_S)
        controller.set_configuration(self.configuration)
        controller.maintenance.set_waves(tuple(self._waves.values()))
        if term.state == "loading":
            term.note_event("loaded", "records read")

    async def _load_peers(self) -> None:
        listing = await self._store.read_all(ENTRIES)
        for item in listing.items:
            try:
                record = decode(item.value, EntryRecord)
            except DocumentError as error:
                log_event(events.RECORD_UNREADABLE, key=item.key, error=str(error))
                continue
            if record.address not in self._peers and record.name != self.options.name:
                heartbeat = EntryHeartbeat(
                    record.name, record.incarnation, 0, 0.0, False
                )
                self._peers[record.address] = PeerView(heartbeat, clock.now())

    async def _send_leader_heartbeats(self, term: LeaderTerm) -> None:
        while True:
            self._send_leader_heartbeat(term, False)
            await asyncio.sleep(LEADER_HEARTBEAT_S)

    def _send_leader_heartbeat(self, term: LeaderTerm, is_resigning: bool) -> None:
        controller = self.controller
        waiting = {}
        if controller is not None and controller.is_loaded:
            waiting = controller.engine.count_waiting()
        version = self.configuration.version if self.configuration else 0
        heartbeat = LeaderHeartbeat(
            self.options.name,
            term.epoch,
            term.has_authority(),
            term.is_store_failing or term.fenced_writer.is_failing,
            is_resigning,
            version,
            waiting,
        )
        self.leader = LeaderView(self.options.peers, heartbeat, clock.now())
        now = clock.now()
        for address, view in list(self._peers.items()):
            if now - view.received_at > PEER_EXPIRY_S:
                del self._peers[address]
                self._transport.close(address)
                continue
            self._transport.send(address, heartbeat)
        self._send_configuration()

    def _send_configuration(self) -> None:
        """Send the configuration once to each entry that has an older one."""
        if self.configuration is None:
            return
        version, now = self.configuration.version, clock.now()
        compressed = b""
        for address, view in self._peers.items():
            offered, offered_at = self._sent_configurations.get(address, (0, 0.0))
            is_offered = (
                offered >= version and now - offered_at < CONFIGURATION_RESEND_S
            )
            if view.heartbeat.version >= version or is_offered:
                continue
            compressed = compressed or zlib.compress(self._raw_configuration, 1)
            self._sent_configurations[address] = version, now
            self._transport.send(address, ConfigurationUpdate(compressed))

    # Contact

    async def _keep_contact(self) -> None:
        registered = False
        while True:
            flush_logs()
            if not registered:
                registered = await self._register()
            self._note_leader_timeout()
            if self._is_leader_store_failing():
                await self._probe_store()
            self._send_entry_heartbeat()
            await asyncio.sleep(LOG_FLUSH_S)

    def _note_leader_timeout(self) -> None:
        """Log once when the leader has fallen silent; `_take_beacon` logs the next."""
        leader = self.leader
        if (
            leader is None
            or self.is_leader_alive()
            or self._timed_out_epoch >= (leader.heartbeat.epoch)
        ):
            return
        self._timed_out_epoch = leader.heartbeat.epoch
        log_event(
            events.LEADER_SILENT,
            leader=leader.heartbeat.leader,
            epoch=leader.heartbeat.epoch,
            age=round(clock.now() - leader.received_at, 2),
        )

    async def _register(self) -> bool:
        key = ENTRIES + self.options.name
        try:
            await self._store.commit([], [Put(key, encode(self._describe()))])
        except (NotExecutedError, OutcomeUnknownError):
            return False
        log_event(
            events.MEMBER_REGISTERED,
            name=self.options.name,
            incarnation=self.incarnation,
        )
        return True

    def _is_leader_store_failing(self) -> bool:
        return self.leader is not None and self.leader.heartbeat.is_store_failing

    async def _probe_store(self) -> None:
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S / 2):
                await read_leader(self._store)
        except (NotExecutedError, OutcomeUnknownError, TimeoutError):
            # The age of the store's last answer tells the leader.
            return

    def _make_entry_heartbeat(self) -> EntryHeartbeat:
        now = clock.now()
        store_age = now - self._store.answered_at
        if store_age > STORE_TIMEOUT_S:
            self._consented_at = now
        return EntryHeartbeat(
            self.options.name,
            self.incarnation,
            self.configuration.version if self.configuration else 0,
            store_age,
            self.is_stopping,
        )

    def _send_entry_heartbeat(self) -> None:
        # None to a silent leader: it must not go on with the consent of an entry that
        # may lead itself.
        if self.leader is not None and self.term is None and self.is_leader_alive():
            self._transport.send(self.leader.address, self._make_entry_heartbeat())

    # Messages

    def _handle(self, sender: str, message: Message) -> None:
        if isinstance(message, LeaderHeartbeat):
            self._handle_leader_heartbeat(sender, message)
        elif isinstance(message, EntryHeartbeat):
            self._peers[sender] = PeerView(message, clock.now())
        elif isinstance(message, ConfigurationUpdate):
            self.apply_configuration(zlib.decompress(message.compressed), "leader")
        elif isinstance(message, Reply):
            self._pending_replies.resolve(message)
        else:
            task = asyncio.create_task(self._handle_request(sender, message))
            self._tasks = [row for row in self._tasks if not row.done()] + [task]

    def _handle_leader_heartbeat(self, sender: str, heartbeat: LeaderHeartbeat) -> None:
        known = self.leader
        if known is not None and heartbeat.epoch < known.heartbeat.epoch:
            return
        if known is None or known.heartbeat.epoch != heartbeat.epoch:
            log_event(
                events.LEADER_HEARD, leader=heartbeat.leader, epoch=heartbeat.epoch
            )
        if self.term is not None and heartbeat.epoch > self.term.epoch:
            if not self.term.lost.is_set():
                self.term.note_event("lose", f"{heartbeat.leader} leads")
            return
        self.leader = LeaderView(sender, heartbeat, clock.now())

    async def _handle_request(
        self, sender: str, message: SubmitRequest | JobRequest
    ) -> None:
        forwarder = self.forwarder
        if isinstance(message, SubmitRequest):
            reply = await forwarder.submit_locally(message.id, message.submission)
        else:
            reply = await forwarder.query_locally(
                message.id, message.job, message.cancel
            )
        self._transport.send(sender, reply)

    # State for callers and the balancer

    def is_leader_alive(self) -> bool:
        """Tell whether there is a leader with recent word of it."""
        leader = self.leader
        return (
            leader is not None and clock.now() - leader.received_at < LEADER_TIMEOUT_S
        )

    def describe_basis(self) -> str:
        """Return what an answer to a caller rests on, for the log."""
        version = self.configuration.version if self.configuration else 0
        leader = self.leader
        if leader is None:
            return f"configuration {version}; no leader known"
        age = clock.now() - leader.received_at
        return (
            f"configuration {version}; leader {leader.heartbeat.leader} in epoch "
            f"{leader.heartbeat.epoch}, heard {age:.2f} s ago, store failing there: "
            f"{leader.heartbeat.is_store_failing}"
        )

    def is_ready(self) -> bool:
        """Tell whether callers are served well here."""
        if self.is_stopping or self.configuration is None:
            return False
        return not self.is_cut_off()

    def is_cut_off(self) -> bool:
        """Tell whether neither the store nor a leader with authority is in contact.

        Callers then do better elsewhere. While the store is away for all entries, the
        leader keeps its authority.
        """
        if clock.now() - self._store.answered_at < CONTACT_TIMEOUT_S:
            return False
        leader = self.leader
        if leader is None or not leader.heartbeat.has_authority:
            return True
        return not (self.is_leader_alive() or leader.heartbeat.is_store_failing)

    async def resign(self) -> None:
        """Give the leadership up ahead of a planned stop."""
        self.is_stopping = True
        log_event(events.ENTRY_STOPPING, name=self.options.name, reason="signal")
        term = self.term
        if term is None or term.lost.is_set():
            self._send_entry_heartbeat()
            return
        await term.resign()
        self._send_leader_heartbeat(term, True)
