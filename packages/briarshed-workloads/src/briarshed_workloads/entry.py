"""An entry process: applies the operator's orders, serves callers and may lead."""

from __future__ import annotations

import asyncio
import random
import secrets
from types import TracebackType
from typing import Self

from msgspec.structs import replace
from reactivex.subject import Subject

from briarshed import events
from briarshed.exceptions import BriarshedError, DocumentError
from briarshed_entry import clock
from briarshed_entry.logs import flush_logs, log_event
from briarshed_workloads import telemetry
from briarshed_workloads.configuration import Configuration
from briarshed_workloads.configuration_updates import ConfigurationSender, decompress
from briarshed_workloads.consent import (
    PROMISE_TTL_S,
    STORE_TIMEOUT_S,
    PeerView,
    choose_members,
    find_consent_time,
    measure_consent,
)
from briarshed_workloads.controller import Controller
from briarshed_workloads.forwarding import Forwarder, LeaderView
from briarshed_workloads.interfaces import (
    Directory,
    Endpoints,
    Instances,
    NotExecutedError,
    Orders,
    OutcomeUnknownError,
    Put,
    Store,
)
from briarshed_workloads.leadership import (
    ELECTION_INTERVAL_S,
    LeaderTerm,
    Vacancy,
    acquire,
    count_members,
    find_election_delay,
    find_election_spread,
    read_leader,
)
from briarshed_workloads.options import EntryOptions
from briarshed_workloads.order_watch import OrderWatch
from briarshed_workloads.records import (
    ENTRIES,
    EntryRecord,
    decode,
    encode,
)
from briarshed_workloads.supervision import (
    RESTART_PAUSE_S,
    FailureCounter,
    LoopSupervisor,
    contain_errors,
    report_error,
)
from briarshed_workloads.transport import (
    ConfigurationUpdate,
    EntryHeartbeat,
    JobRequest,
    LeaderHeartbeat,
    Message,
    PeerTransport,
    PendingReplies,
    RefuseRequest,
    Reply,
    SubmitRequest,
)
from briarshed_workloads.waiting import count_waiting

LEADER_HEARTBEAT_S = 0.3
"""Interval of the leader's heartbeats; three fit into `LEADER_TIMEOUT_S`."""

LEADER_TIMEOUT_S = 1.0
"""Time without a heartbeat after which an entry reads from the store who leads."""

OUTDATED_TIMEOUT_S = 0.4
"""Time with a version older than the leader's after which an entry reads the store."""

WATCH_RETRY_S = 0.3
"""Pause after a failed watch or read of orders."""

CONTACT_TIMEOUT_S = 1.2
"""Time without leader and store after which an entry reports itself not ready."""

PEER_EXPIRY_S = 30.0
"""Time without a heartbeat after which the leader sends a peer nothing. Whether it is
still a member is decided in `consent`."""

MEMBERS_INTERVAL_S = 0.2
"""Interval of checking which entries should be members."""

LOG_FLUSH_S = 0.25

YIELD_PAUSE_S = 300.0
"""Time for which no leader resigns because of unexpected errors after one has done so.
Errors that follow it would otherwise move the leadership in a circle."""

LEAD_PAUSE_S = 30.0
"""Time for which an entry does not lead after it has resigned in this way."""

MAX_LOAD_FAILURES = 5
"""Unexpected errors while the records are loaded after which another entry should try;
about 1.5 s."""


class Entry:
    """An entry process; a context manager that owns its tasks.

    Parameters
    ----------
    options : EntryOptions
        Settings of the entry.
    store, endpoints, instances, directory
        Adapters of the external systems.
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
        self._order_watch = OrderWatch(
            directory,
            options.data_centres,
            self._is_updated_by_leader,
            self._apply_orders,
        )
        self._waves: dict[int, object] = {}
        self._peers: dict[str, PeerView] = {}
        self._pending_replies = PendingReplies()
        self._transport = PeerTransport(options.peers, self._handle)
        self.forwarder = Forwarder(self, store, self._transport, self._pending_replies)
        self._tasks: list[asyncio.Task[None]] = []
        self._loops = LoopSupervisor(WATCH_RETRY_S, self._note_error)
        self.term: LeaderTerm | None = None
        self._timed_out_epoch = 0
        self._consented_at = 0.0
        self._started_at = clock.now()
        self._is_acquiring = False
        self._vacancy: Vacancy | None = None
        self._latest_epoch = 0
        self._election_spread = 0.0
        self._leads_from = 0.0
        self._yields_from = 0.0
        self._outdated_since = 0.0
        self._updates = ConfigurationSender(self._transport)

    async def __aenter__(self) -> Self:
        await self._transport.__aenter__()
        log_event(
            events.ENTRY_STARTED,
            name=self.options.name,
            data_centre=self.options.data_centre,
            incarnation=self.incarnation,
        )
        self._loops.start(self._order_watch.follow, "follow_orders")
        for loop in (self._elect, self._keep_contact):
            self._loops.start(loop, loop.__name__.lstrip("_"))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._loops.__aexit__(kind, error, trace)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._transport.__aexit__(kind, error, trace)
        log_event(events.ENTRY_STOPPED, name=self.options.name, jobs=0)
        flush_logs()

    def _note_error(self, loop: str, error: BriarshedError) -> None:
        telemetry.count("loops interrupted", loop)
        if not isinstance(error, NotExecutedError | OutcomeUnknownError):
            # Others are logged by the client of the external system.
            log_event(events.LOOP_FAILED, task=loop, error=str(error))

    # The operator's orders

    def _is_updated_by_leader(self) -> bool:
        """Tell whether the leader sends this entry configuration updates in time."""
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
        """Apply a configuration unless the current version is the same or newer."""
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
        """Pass a new configuration to the controller and to outdated entries."""
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
            # Each entry at another time: the first attempt comes as soon as with a
            # short interval, and the store is not overloaded by the others.
            spread = random.uniform(0.0, 2 * self._election_spread)
            await asyncio.sleep(max(ELECTION_INTERVAL_S, spread))

    def _may_lead(self) -> bool:
        """Tell whether this entry should try to lead: no leader has authority."""
        now = clock.now()
        if self.is_stopping or now < self._leads_from:
            return False
        if now < self._consented_at + PROMISE_TTL_S:
            return False
        leader = self.leader
        if leader is None:
            return True
        age = now - leader.received_at
        heartbeat = leader.heartbeat
        return (
            age > LEADER_TIMEOUT_S
            or heartbeat.is_resigning
            or not heartbeat.has_authority
        )

    async def _try_to_lead(self) -> LeaderTerm | None:
        try:
            known_leader = await read_leader(self._store)
            if known_leader is not None and known_leader.address:
                self._transport.send(known_leader.address, self._make_entry_heartbeat())
            if known_leader is not None:
                return None
            # The leader controls the whole fleet, so larger entries go first. The delay
            # starts when the leadership is vacant: otherwise one of many small entries,
            # which check at different times, would lead before the few large ones.
            self._election_spread = find_election_spread(
                await count_members(self._store)
            )
            spread = random.uniform(0.0, self._election_spread)
            await asyncio.sleep(find_election_delay(self.options) + spread)
            if not self._may_lead():
                return None
            return await self._acquire()
        except (NotExecutedError, OutcomeUnknownError):
            return None

    async def _acquire(self) -> LeaderTerm | None:
        """Try to start a term; meanwhile, this entry must not promise to start none."""
        self._is_acquiring = True
        try:
            outcome = await acquire(
                self._store,
                self._describe(),
                self.measure_consent,
                self._vacancy,
                self._started_at + PROMISE_TTL_S,
            )
        finally:
            self._is_acquiring = False
        self._vacancy = outcome if isinstance(outcome, Vacancy) else None
        return outcome if isinstance(outcome, LeaderTerm) else None

    def _describe(self) -> EntryRecord:
        return EntryRecord(self.options.name, self.incarnation, self.options.peers)

    def measure_consent(self, confirmed_at: float) -> float:
        """Return for how many seconds no other entry can take over, at least 0.

        ``confirmed_at`` is when the last renewal that succeeded was sent, in seconds of
        the boot clock.
        """
        members = self.term.members if self.term is not None else None
        return measure_consent(
            members,
            self._peers.values(),
            self.options.name,
            confirmed_at,
            clock.now(),
        )

    async def _maintain_members(self, term: LeaderTerm) -> None:
        led_since = clock.now()
        while True:
            views = self._peers.values()
            own_name, now = self.options.name, clock.now()
            names = choose_members(term.members, views, own_name, led_since, now)
            may_write = not (term.is_store_failing or term.may_have_earlier_leader())
            if names != term.members and may_write:
                await term.set_members(names)
            await asyncio.sleep(MEMBERS_INTERVAL_S)

    async def _lead(self, term: LeaderTerm) -> None:
        self.term = term
        self._latest_epoch = max(self._latest_epoch, term.epoch)
        term.yields_from = self._yields_from
        async with (
            LoopSupervisor(RESTART_PAUSE_S, self._note_error) as loops,
            Controller(self.options, term, *self._external_systems) as controller,
        ):
            controller.engine.evacuated = self._order_watch.evacuations
            self.controller = controller
            loops.start(term.renew_until_lost, "renewals")
            loops.start(lambda: self._send_leader_heartbeats(term), "leader heartbeats")
            try:
                await self._load(controller, term)
                loops.start(lambda: self._maintain_members(term), "members")
                await term.lost.wait()
                if term.has_yielded:
                    self._leads_from = clock.now() + LEAD_PAUSE_S
                    self._send_leader_heartbeat(term, True)
            finally:
                self.controller = None
                self.term = None
                self.leader = None

    async def _load(self, controller: Controller, term: LeaderTerm) -> None:
        assert self.configuration is not None
        failures = FailureCounter(MAX_LOAD_FAILURES, LEAD_PAUSE_S)
        while not term.lost.is_set():
            try:
                await self._load_peers()
                await self._order_watch.read()
                await controller.load(self.configuration)
                break
            except (NotExecutedError, OutcomeUnknownError):
                await asyncio.sleep(WATCH_RETRY_S)
            except Exception as error:
                report_error("load", error)
                if failures.add(clock.now()):
                    await term.yield_leadership("the records cannot be loaded")
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
                now = clock.now()
                self._peers[record.address] = PeerView(heartbeat, now, 0.0, now)

    async def _send_leader_heartbeats(self, term: LeaderTerm) -> None:
        while True:
            self._send_leader_heartbeat(term, False)
            await asyncio.sleep(LEADER_HEARTBEAT_S)

    def _send_leader_heartbeat(self, term: LeaderTerm, is_resigning: bool) -> None:
        controller = self.controller
        is_loaded = controller is not None and controller.is_loaded
        waiting = count_waiting(controller.engine) if is_loaded else {}
        version = self.configuration.version if self.configuration else 0
        heartbeat = LeaderHeartbeat(
            self.options.name,
            term.epoch,
            term.has_authority(),
            term.is_store_failing or term.fenced_writer.is_failing,
            is_resigning,
            version,
            {queue: row.count for queue, row in waiting.items()},
            term.has_yielded,
            clock.now(),
            is_loaded,
            {queue: row.oldest_at for queue, row in waiting.items()},
            evacuated=self._order_watch.evacuations.to_report(),
        )
        self.leader = LeaderView(self.options.peers, heartbeat, clock.now())
        now = clock.now()
        self.forwarder.note_leader_heartbeat(heartbeat, now)
        for address, view in list(self._peers.items()):
            if now - view.received_at > PEER_EXPIRY_S:
                del self._peers[address]
                self._transport.close(address)
                continue
            self._transport.send(
                address, replace(heartbeat, echoed_at=view.heartbeat.sent_at)
            )
        self._send_configuration()

    def _send_configuration(self) -> None:
        if self.configuration is not None:
            version, content = self.configuration.version, self._raw_configuration
            self._updates.send(version, content, self._peers)

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
        """Log once per epoch that the leader's heartbeats have stopped."""
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
            # The leader learns of it from `store_age` in the next heartbeat.
            return

    def _make_entry_heartbeat(self) -> EntryHeartbeat:
        now = clock.now()
        store_age = now - self._store.answered_at
        if (
            self._is_leader_store_failing()
            and store_age > STORE_TIMEOUT_S
            and not self._is_acquiring
        ):
            self._consented_at = now
        else:
            store_age = 0.0
        return EntryHeartbeat(
            self.options.name,
            self.incarnation,
            self.configuration.version if self.configuration else 0,
            store_age,
            self.is_stopping,
            self.leader.heartbeat.epoch if self.leader else 0,
            self.leader.heartbeat.sent_at if self.leader else 0.0,
            now,
        )

    def _send_entry_heartbeat(self) -> None:
        # Send none to a leader that has timed out: this entry may lead itself, and its
        # consent must not let the old leader continue.
        if self.leader is not None and self.term is None and self.is_leader_alive():
            self._transport.send(self.leader.address, self._make_entry_heartbeat())

    # Messages

    def _handle(self, sender: str, message: Message) -> None:
        if isinstance(message, LeaderHeartbeat):
            self._handle_leader_heartbeat(sender, message)
        elif isinstance(message, EntryHeartbeat):
            self._note_peer(sender, message)
        elif isinstance(message, ConfigurationUpdate):
            self.apply_configuration(decompress(message.compressed), "leader")
        elif isinstance(message, Reply):
            self._pending_replies.resolve(message)
        else:
            task = asyncio.create_task(self._handle_request(sender, message))
            self._tasks = [row for row in self._tasks if not row.done()] + [task]

    def _note_peer(self, sender: str, heartbeat: EntryHeartbeat) -> None:
        now = clock.now()
        known = self._peers.get(sender)
        is_same = (
            known is not None and known.heartbeat.incarnation == heartbeat.incarnation
        )
        known_since = known.known_since if is_same else now
        epoch = self.term.epoch if self.term is not None else None
        consented_at = find_consent_time(heartbeat, epoch, now)
        self._peers[sender] = PeerView(heartbeat, now, consented_at, known_since)

    def _handle_leader_heartbeat(self, sender: str, heartbeat: LeaderHeartbeat) -> None:
        known = self.leader
        if heartbeat.epoch < self._latest_epoch:
            # This entry knows that another one has led since, itself maybe.
            return
        self._latest_epoch = heartbeat.epoch
        if heartbeat.has_yielded:
            self._yields_from = clock.now() + YIELD_PAUSE_S
        if known is None or known.heartbeat.epoch != heartbeat.epoch:
            log_event(
                events.LEADER_HEARD, leader=heartbeat.leader, epoch=heartbeat.epoch
            )
        if self.term is not None and heartbeat.epoch > self.term.epoch:
            if not self.term.lost.is_set():
                self.term.note_event("lose", f"{heartbeat.leader} leads")
            return
        self.leader = LeaderView(sender, heartbeat, clock.now())
        self._order_watch.note_reported(heartbeat.evacuated)
        self.forwarder.note_leader_heartbeat(heartbeat, heartbeat.echoed_at)
        if not heartbeat.echoed_at:
            # The leader's next heartbeat then tells the age of its counts.
            self._send_entry_heartbeat()

    async def _handle_request(
        self, sender: str, message: SubmitRequest | JobRequest | RefuseRequest
    ) -> None:
        forwarder = self.forwarder
        reply = Reply(message.id, "unknown")
        with contain_errors("request of a peer"):
            if isinstance(message, SubmitRequest):
                reply = await forwarder.submit_locally(message)
            elif isinstance(message, RefuseRequest):
                reply = forwarder.refuse_locally(message)
            else:
                reply = await forwarder.query_locally(
                    message.id, message.job, message.cancel
                )
        self._transport.send(sender, reply)

    # State for callers and the balancer

    def is_leader_alive(self) -> bool:
        """Tell whether a heartbeat of a leader was received recently."""
        leader = self.leader
        return (
            leader is not None and clock.now() - leader.received_at < LEADER_TIMEOUT_S
        )

    def describe_basis(self) -> str:
        """Return the state on which a response to a caller is based, for the log."""
        version = self.configuration.version if self.configuration else 0
        leader = self.leader
        if leader is None:
            return f"configuration {version}; no leader known"
        age = clock.now() - leader.received_at
        return (
            f"configuration {version}; leader {leader.heartbeat.leader} in epoch "
            f"{leader.heartbeat.epoch}, heartbeat {age:.2f} s ago, its store failing: "
            f"{leader.heartbeat.is_store_failing}"
        )

    def is_ready(self) -> bool:
        """Tell whether the balancer may send callers to this entry."""
        if self.is_stopping or self.configuration is None:
            return False
        return not self.is_cut_off()

    def is_cut_off(self) -> bool:
        """Tell whether this entry has contact with neither store nor valid leader.

        Callers are then better served by another entry. While the store is unavailable
        to all entries, the leader keeps its authority and goes on sending heartbeats.
        """
        if clock.now() - self._store.answered_at < CONTACT_TIMEOUT_S:
            return False
        leader = self.leader
        if leader is None or not leader.heartbeat.has_authority:
            return True
        return not self.is_leader_alive()

    async def resign(self) -> None:
        """Resign the leadership before a planned stop."""
        self.is_stopping = True
        log_event(events.ENTRY_STOPPING, name=self.options.name, reason="signal")
        term = self.term
        if term is None or term.lost.is_set():
            self._send_entry_heartbeat()
            return
        await term.resign()
        self._send_leader_heartbeat(term, True)
