"""Entries as separate processes, with faults of links, store and processes.

Requests, responses and messages are passed on by the network, so that they may be
delayed, lost or carried out after their sender has given up, been frozen or killed.
"""

from __future__ import annotations

import asyncio
import math
from contextvars import Context

from virtual_fleet import (
    LATENCY_S,
    LONG_RETENTION,
    REGISTRATION_TIMEOUT_S,
    Directory,
    Endpoints,
    Fleet,
    LinkedDirectory,
    Network,
    Store,
    StoreClient,
    wait_to_send,
)
from virtual_time import Process

from briarshed_entry import clock
from briarshed_workloads import entry as entry_module
from briarshed_workloads.entry import Entry
from briarshed_workloads.interfaces import (
    LeaseEnded,
    NotExecutedError,
    OutcomeUnknownError,
)
from briarshed_workloads.options import EntryOptions
from briarshed_workloads.workloads import Description, Submission

STORE = "store"
CALL_TIMEOUT_S = 1.0
START_TIMEOUT_S = 0.4
POLL_SLACK_S = 0.5
HELD_UP_S = (0.2, 30.0)
RETRANSMISSION_S = 0.3
SAMPLE_INTERVAL_S = 0.02
SUBMIT_TIMEOUT_S = 4.0
SUBMIT_ATTEMPTS = 8
STORE_SLOWNESS = 50
LATE_S = (0.3, 6.0)
FAILURES = ("", "", "refuse", "reset", "silent", "lose answers", "late")
REGISTERED_AGAIN_S = 2.0


def spawn(coroutine):
    """Start a task that belongs to no entry."""
    return asyncio.create_task(coroutine, context=Context())


def call_later(delay_s, function):
    """Call a function that belongs to no entry."""
    asyncio.get_running_loop().call_later(delay_s, function, context=Context())


class Links:
    """Passes messages between entries, endpoints and the store, each in a zone.

    ``cuts`` holds pairs of zones; what is sent from the first to the second is lost, or
    arrives after the cut if ``is_resent`` is set. ``delays`` has the shortest and
    longest delay between two zones. The shares are those of messages that are held up
    for `HELD_UP_S` or lost.
    """

    def __init__(self, chance):
        self.zones = {}
        self.cuts = set()
        self.delays = {}
        self.is_resent = False
        self.held_up_share = 0.0
        self.lost_share = 0.0
        self._chance = chance

    def is_cut(self, sender, receiver):
        """Return whether messages cannot pass now."""
        return (self.zones[sender], self.zones[receiver]) in self.cuts

    def choose_delay(self, sender, receiver):
        """Return how long a message is on its way, in seconds."""
        delay_s = LATENCY_S
        zones = self.zones[sender], self.zones[receiver]
        if zones in self.delays:
            delay_s += self._chance.uniform(*self.delays[zones])
        if self.held_up_share and self._chance.random() < self.held_up_share:
            low, high = HELD_UP_S
            delay_s += low * math.exp(self._chance.random() * math.log(high / low))
        return delay_s

    def deliver(self, sender, receiver, function, not_before=0.0):
        """Call a function when a message arrives; return when that is, in loop time."""
        now = asyncio.get_running_loop()._virtual.now
        at = max(not_before, now + self.choose_delay(sender, receiver))
        if self.lost_share and self._chance.random() < self.lost_share:
            return now

        def arrive():
            if not self.is_cut(sender, receiver):
                function()
            elif self.is_resent:
                call_later(RETRANSMISSION_S, arrive)

        if self.is_cut(sender, receiver) and not self.is_resent:
            return now
        call_later(at - now, arrive)
        return at


class FaultyStore(Store):
    """A store that is down or slow at times.

    While it is ``down``, calls are refused or get no answer, and leases pause if
    ``pauses_leases`` is set. ``turned_away`` maps entries to how their calls fail.
    """

    def __init__(self, links, chance):
        super().__init__()
        self.links = links
        self.chance = chance
        self.down = ""
        self.pauses_leases = False
        self.turned_away = {}
        self.extra_s = 0.0
        self._down_since = 0.0

    def connect(self, entry_name):
        """Return an entry's client."""
        return FaultyStoreClient(self, entry_name)

    def choose_failure(self, entry, is_late):
        """Return how a call of an entry fails; empty if it does not.

        A call that is ``late`` is not held up a second time.
        """
        how = self.turned_away.get(entry, "")
        if how == "flaky":
            how = self.chance.choice(FAILURES)
        return "" if is_late and how == "late" else how

    def commit(self, conditions, puts, removals):
        """Apply a transaction; that a lease has ended is found before a conflict."""
        self.expire()
        if any(put.lease and put.lease not in self.leases for put in puts):
            return LeaseEnded()
        return super().commit(conditions, puts, removals)

    def expire(self):
        """Remove the items of leases that have ended, unless they pause."""
        if not (self.down and self.pauses_leases):
            super().expire()

    def stop(self, how, pauses_leases):
        """Go down."""
        self.expire()
        self.down, self.pauses_leases = how, pauses_leases
        self._down_since = clock.now()

    def start(self):
        """Be available again."""
        if self.down and self.pauses_leases:
            passed = clock.now() - self._down_since
            self.leases = {
                lease: (ttl, until + passed)
                for lease, (ttl, until) in self.leases.items()
            }
        self.down = ""


class FaultyStoreClient(StoreClient):
    """One entry's client, whose calls may be carried out after it has given up."""

    def __init__(self, store, entry_name):
        super().__init__(store, entry_name)
        self.answered_at = -1_000.0

    async def _call(self, function, timeout=CALL_TIMEOUT_S):
        store, links = self._store, self._store.links
        sent_at = clock.now()
        answer = asyncio.get_running_loop().create_future()

        def respond(result):
            links.deliver(
                STORE, self._name, lambda: answer.done() or answer.set_result(result)
            )

        def execute():
            store.expire()
            return function()

        def carry_out(is_late=False):
            how = store.down or store.choose_failure(self._name, is_late)
            if how == "refuse":
                respond(NotExecutedError("store: status 503"))
            elif how == "reset":
                respond(OutcomeUnknownError("store: connection reset"))
            elif how == "lose answers":
                execute()
            elif how == "late":
                call_later(store.chance.uniform(*LATE_S), lambda: carry_out(True))
            elif not how:
                respond(execute())

        def arrive():
            if store.extra_s:
                call_later(store.extra_s, carry_out)
            else:
                carry_out()

        links.deliver(self._name, STORE, arrive)
        try:
            async with asyncio.timeout(timeout):
                result = await answer
        except TimeoutError as error:
            raise OutcomeUnknownError("store: time-out") from error
        if isinstance(result, NotExecutedError | OutcomeUnknownError):
            raise result
        self.answered_at = sent_at
        return result

    async def fail_if_cut(self, work):
        """Return the result of a read of the directory."""
        try:
            await self._call(lambda: None)
        except BaseException:
            work.close()
            raise
        return await work

    async def commit(self, conditions, puts, removals=(), timeout=CALL_TIMEOUT_S):
        """Apply a transaction."""
        return await self._call(
            lambda: self._store.commit(conditions, puts, removals), timeout
        )


class FaultyDirectory(Directory):
    """Registrations, of which those of endpoints that lose contact lapse."""

    def __init__(self, endpoints, partition, store):
        super().__init__(endpoints, partition)
        self.heard_at = dict.fromkeys(endpoints.by_name, 0.0)
        self.lapsed = {}
        self._store = store

    def update(self):
        """Let registrations lapse or return."""
        now = clock.now()
        for name, heard_at in self.heard_at.items():
            has_contact = not self._store.down and not self._store.links.is_cut(
                name, STORE
            )
            if not has_contact:
                if heard_at and now - heard_at > REGISTRATION_TIMEOUT_S:
                    self.lapsed[name] = now
                continue
            self.heard_at[name] = now
            lapsed_at = self.lapsed.get(name)
            if lapsed_at is not None and now - lapsed_at > REGISTERED_AGAIN_S:
                del self.lapsed[name]

    async def read_endpoints(self):
        """Return the registered endpoints."""
        rows = await super().read_endpoints()
        return tuple(row for row in rows if row.endpoint not in self.lapsed)


class FaultyEndpoints:
    """One entry's calls to endpoints, which may be carried out late."""

    def __init__(self, fleet, entry):
        self._fleet = fleet
        self._entry = entry

    async def _call(self, method, name, arguments, timeout):
        links = self._fleet.links
        answer = asyncio.get_running_loop().create_future()

        async def carry_out():
            try:
                result = await getattr(self._fleet.endpoints, method)(name, *arguments)
            except (NotExecutedError, OutcomeUnknownError) as error:
                result = error
            links.deliver(
                name, self._entry, lambda: answer.done() or answer.set_result(result)
            )

        links.deliver(self._entry, name, lambda: spawn(carry_out()))
        try:
            async with asyncio.timeout(timeout):
                result = await answer
        except TimeoutError as error:
            raise OutcomeUnknownError("no response") from error
        if isinstance(result, NotExecutedError | OutcomeUnknownError):
            raise result
        return result

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """Poll an endpoint."""
        arguments = address, token, acknowledged, deadline_ms, wait
        return await self._call("poll", name, arguments, wait + POLL_SLACK_S)

    async def start(self, name, address, order, permit):
        """Start a run."""
        await wait_to_send(permit, lambda: self._fleet.check_authority(self._entry))
        arguments = address, order, lambda: True
        return await self._call("start", name, arguments, START_TIMEOUT_S)

    async def stop(self, name, address, task, run, token, permit):
        """Stop a run."""
        await wait_to_send(permit, lambda: self._fleet.check_authority(self._entry))
        arguments = address, task, run, token, lambda: True
        return await self._call("stop", name, arguments, CALL_TIMEOUT_S)

    async def discard_connections(self, address):
        """Do nothing."""


class FaultyNetwork(Network):
    """Passes messages between entries in the order in which they were sent."""

    def __init__(self, fleet):
        super().__init__(fleet.partition)
        self.fleet = fleet
        self.receivers = {}

    def make_transport(self, address, handler):
        """Return an entry's transport."""
        return FaultyTransport(self, address, handler)


class FaultyTransport:
    """Stands in for `PeerTransport`."""

    def __init__(self, network, address, handler):
        self.address = address
        self._network = network
        self._handler = handler
        self._last_at = {}

    async def __aenter__(self):
        self._network.handlers[self.address] = self._handler
        return self

    async def __aexit__(self, kind, error, trace):
        if self._network.handlers.get(self.address) == self._handler:
            del self._network.handlers[self.address]

    def send(self, address, message):
        """Pass a message on."""
        last_at = self._last_at.get(address, 0.0)
        self._last_at[address] = self._network.fleet.links.deliver(
            self.address, address, lambda: self._receive(address, message), last_at
        )

    def _receive(self, address, message):
        handler = self._network.handlers.get(address)
        process = self._network.fleet.processes.get(address)
        if handler is not None and process is not None:
            process.call_soon(self._handle, handler, message)

    def _handle(self, handler, message):
        with entry_module.contain_errors("message of a peer"):
            handler(self.address, message)

    def close(self, address):
        """Do nothing."""


class FaultyFleet(Fleet):
    """Entries that are processes of their own; ``violations`` lists broken invariants.

    ``has_skew`` gives their machines boot clocks that run up to 2% apart.
    """

    def __init__(self, links, names, endpoint_names, chance, has_skew=False):
        super().__init__(names, endpoint_names)
        self.links = links
        self.chance = chance
        self.has_skew = has_skew
        self.store = FaultyStore(links, chance)
        self.endpoints = Endpoints(endpoint_names)
        self.directory = FaultyDirectory(self.endpoints, self.partition, self.store)
        self.network = FaultyNetwork(self)
        for row in self.endpoints.by_name.values() if has_skew else ():
            row.clock_rate = chance.uniform(0.98, 1.0)
        self.clocks = {}
        self.processes = {}
        self.violations = []
        self.authority = []
        self._ended = []

    async def __aenter__(self):
        await super().__aenter__()
        self._tasks.append(spawn(self._sample()))
        return self

    async def add_entry(self, name):
        """Start an entry as a new process on its machine."""
        chance = self.chance
        if name not in self.clocks:
            rate = chance.uniform(0.99, 1.01) if self.has_skew else 1.0
            self.clocks[name] = rate, chance.uniform(0.0, 500.0)
        process = self.processes[name] = Process(*self.clocks[name])
        await process.create_task(self._start_entry(name))

    async def _start_entry(self, name):
        options = EntryOptions(
            name, "d", ("d",), "", "", name, "", "", "", "", 2.0, 100.0, LONG_RETENTION
        )
        client = self.clients[name] = self.store.connect(name)
        endpoints = FaultyEndpoints(self, name)
        directory = LinkedDirectory(self.directory, client)
        entry = Entry(options, client, endpoints, self.instances, directory)
        await entry.__aenter__()
        self.entries[name] = entry

    async def kill(self, name):
        """End an entry's process at once."""
        process = self.processes.pop(name)
        process.is_frozen = True
        self._ended.append((process, self.entries.pop(name)))

    async def freeze(self, name, seconds, is_suspended=False):
        """Stop an entry's process for a while, or suspend its machine."""
        process = self.processes[name]
        process.is_frozen = True
        await asyncio.sleep(seconds)
        if self.processes.get(name) is process:
            process.wake(seconds if is_suspended else 0.0)

    async def stop(self, name, seconds):
        """Let an entry resign, and end it after a while."""
        entry, process = self.entries[name], self.processes[name]
        resigning = process.create_task(entry.resign())
        await asyncio.wait({resigning}, timeout=seconds)
        await asyncio.sleep(seconds)
        if self.processes.get(name) is process:
            await self.kill(name)

    async def __aexit__(self, kind, error, trace):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for name in list(self.processes):
            await self.kill(name)
        for process, entry in self._ended:
            process.wake()
            await entry.__aexit__(None, None, None)
        entry_module.PeerTransport = self._original

    # Invariants

    def list_authorities(self):
        """Return the names and epochs of all entries that may order now."""
        found = []
        for name, entry in self.entries.items():
            process, term = self.processes[name], entry.term
            if term is None or process.is_frozen:
                continue
            if process.call(term.has_authority):
                found.append((name, term.epoch))
        return found

    def check_authority(self, entry=""):
        """Note a violation if several entries may order now."""
        found = self.list_authorities()
        if len(found) > 1:
            now = round(asyncio.get_running_loop()._virtual.now, 3)
            self.violations.append((now, "authority", entry, found))
        return found

    async def _sample(self):
        while True:
            self.check_authority()
            self.directory.update()
            for row in self.endpoints.by_name.values():
                row.advance()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    # Callers

    async def _submit(self, job):
        for _ in range(SUBMIT_ATTEMPTS):
            name = self.chance.choice(sorted(self.entries) or [""])
            if name:
                task = self.processes[name].create_task(
                    self._submit_at(self.entries[name], job)
                )
                await asyncio.wait({task}, timeout=SUBMIT_TIMEOUT_S)
            if self.replies.get(job) == "accepted":
                return
            await asyncio.sleep(0.2)

    async def _submit_at(self, entry, job):
        submission = Submission(
            job,
            "q",
            "pool",
            "team",
            clock.read_unix_time(),
            Description("", self.steps),
        )
        with entry_module.contain_errors("request of a caller"):
            reply = await entry.forwarder.submit(submission, 2.8)
            if self.replies.get(job) != "accepted":
                self.replies[job] = reply.outcome

    def list_unfinished(self):
        """Return the accepted jobs without a recorded success, by the store."""
        unfinished = []
        for job, reply in self.replies.items():
            if reply != "accepted":
                continue
            leader = self.find_leader()
            state = "no leader"
            if leader is not None:
                process = self.processes[leader.options.name]
                state = process.call(leader.controller.find_state, job)
            if state != "completed":
                unfinished.append((job, state))
        return unfinished
