"""Entries with fakes of all outside systems, on one event loop in virtual time.

Entries run as they do in production, except that messages between them are passed in
memory. Endpoints carry out tasks and keep a record of every run.
"""

from __future__ import annotations

import asyncio
import contextlib

from engine_steps import CAPACITY, NEED

from briarshed_entry import clock
from briarshed_workloads import entry as entry_module
from briarshed_workloads.configuration import (
    Configuration,
    PoolRules,
    QueueRules,
    RequestLimits,
    TeamRules,
)
from briarshed_workloads.entry import Entry
from briarshed_workloads.evacuation import EvacuationChange
from briarshed_workloads.interfaces import (
    Accepted,
    Committed,
    Conflicted,
    ConnectionClosedError,
    Events,
    Item,
    LeaseEnded,
    Listing,
    NotExecutedError,
    Ordered,
    Orders,
    OutcomeUnknownError,
    PermitExpiredError,
    Put,
    Refused,
)
from briarshed_workloads.options import EntryOptions, SiteLimits
from briarshed_workloads.records import JOBS
from briarshed_workloads.transport import LeaderHeartbeat
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Description,
    EndedRun,
    Instance,
    ListedRun,
    PollResponse,
    Registration,
    Step,
    Submission,
    WaveOrder,
)

LATENCY_S = 0.004
TASK_S = 0.5
STEPS = (Step(3, NEED, TASK_S), Step(2, NEED, TASK_S, after=(0,)))
CONFIGURATION = b"configuration"
NAMES = ("a", "b", "c", "d")
REBOOT_S = 3.0
REGISTRATION_TIMEOUT_S = 4.5
RESTART_S = 0.5
SILENT_CALL_S = 0.5
LONG_RETENTION = SiteLimits(status_retention=3_600.0)
"""Limits for plays at whose end the outcome of each job has to be known."""


class Store:
    """The platform's store in memory; ``commits`` lists the keys written.

    A transaction with an ended lease whose condition does not hold either is a conflict
    unless ``checks_leases_first`` is set; the protocol does not say which.
    """

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.leases = {}
        self.last_lease = 0
        self.commits = []
        self.checks_leases_first = False

    def connect(self, entry_name):
        """Return an entry's client."""
        return StoreClient(self, entry_name)

    def expire(self):
        """Remove the items of leases that have ended."""
        ended = [lease for lease, at in self.leases.items() if at[1] <= clock.now()]
        for lease in ended:
            self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and remove its items."""
        self.leases.pop(lease, None)
        for key, (item, of) in list(self.items.items()):
            if of == lease:
                self.revision += 1
                del self.items[key], item

    def commit(self, conditions, puts, removals):
        """Apply a transaction."""
        self.expire()
        current = {
            key: self.items[key][0] for key, _ in conditions if key in self.items
        }
        has_ended = any(put.lease and put.lease not in self.leases for put in puts)
        if has_ended and self.checks_leases_first:
            return LeaseEnded()
        for key, revision in conditions:
            if (current[key].revision if key in current else 0) != revision:
                return Conflicted(current)
        if has_ended:
            return LeaseEnded()
        self.revision += 1
        for put in puts:
            item = Item(put.key, put.value, self.revision, self.revision)
            self.items[put.key] = item, put.lease
        for key in removals:
            self.items.pop(key, None)
        self.commits.append([put.key for put in puts])
        return Committed(self.revision)


class StoreClient:
    """One entry's client of the store; fails while ``is_cut`` is set.

    While ``loses_orders`` is set, only reads of the operator's orders fail. ``load_s``
    is the time that reading the jobs takes besides.
    """

    def __init__(self, store, entry_name):
        self.answered_at = clock.now()
        self.is_cut = False
        self.loses_orders = False
        self.load_s = 0.0
        self._store = store
        self._name = entry_name

    async def fail_if_cut(self, work):
        """Return the result of a call that reads the store by itself."""
        sent_at = clock.now()
        result = await work
        if self.is_cut:
            await asyncio.sleep(1.0)
            raise OutcomeUnknownError("store: time-out")
        self.answered_at = max(self.answered_at, sent_at)
        return result

    async def read_orders(self, work):
        """Return the result of a read of the operator's orders."""
        result = await self.fail_if_cut(work)
        if self.loses_orders:
            await asyncio.sleep(1.0)
            raise OutcomeUnknownError("store: time-out")
        return result

    async def _call(self, function):
        sent_at = clock.now()
        await asyncio.sleep(LATENCY_S)
        if self.is_cut:
            await asyncio.sleep(1.0)
            raise OutcomeUnknownError("store: time-out")
        self._store.expire()
        result = function()
        await asyncio.sleep(LATENCY_S)
        self.answered_at = max(self.answered_at, sent_at)
        return result

    async def read(self, key):
        """Return an item."""
        return await self._call(
            lambda: self._store.items[key][0] if key in self._store.items else None
        )

    async def read_all(self, prefix):
        """Return the items under a prefix."""
        if prefix == JOBS:
            await asyncio.sleep(self.load_s)
        return await self._call(
            lambda: Listing(
                tuple(
                    item
                    for key, (item, _) in sorted(self._store.items.items())
                    if key.startswith(prefix)
                ),
                self._store.revision,
            )
        )

    async def watch(self, prefix, after, wait):
        """Return no changes after the wait."""
        await asyncio.sleep(wait)
        return await self._call(lambda: Events((), (), after))

    async def commit(self, conditions, puts, removals=(), timeout=1.0):
        """Apply a transaction."""
        return await self._call(lambda: self._store.commit(conditions, puts, removals))

    async def grant_lease(self, ttl):
        """Grant a lease."""

        def grant():
            self._store.last_lease += 1
            lease = self._store.last_lease
            self._store.leases[lease] = ttl, clock.now() + ttl
            return lease

        return await self._call(grant)

    async def renew_lease(self, lease):
        """Renew a lease."""

        def renew():
            if lease not in self._store.leases:
                return False
            ttl, _ = self._store.leases[lease]
            self._store.leases[lease] = ttl, clock.now() + ttl
            return True

        return await self._call(renew)

    async def end_lease(self, lease):
        """End a lease."""
        await self._call(lambda: self._store.end_lease(lease))


async def wait_to_send(permit, before_send):
    """Wait for a connection, and send nothing if the order is not permitted then."""
    await asyncio.sleep(LATENCY_S)
    before_send()
    if not permit():
        raise PermitExpiredError("not permitted")


class Endpoint:
    """An endpoint with token, run lease and ends, which records its runs."""

    def __init__(self, name):
        self.name = name
        self.rack = name
        self.started_at_ms = 1
        self.down = ""
        self.is_refusing = False
        self.capacity = CAPACITY
        self.clock_rate = 1.0
        self.task_s = TASK_S
        self.reports_progress = False
        self.reboot_s = REBOOT_S
        self.crashes = []
        self.record = []
        self.running = {}
        self.changed = asyncio.Event()
        self._reset()

    def _reset(self):
        self.token = 0
        self.deadline_ms = 0
        self.running.clear()
        self.ended = []
        self.count = 0

    def restart(self):
        """Lose everything and go on as the next incarnation."""
        self._reset()
        self.started_at_ms += 1

    async def crash(self, how="closed"):
        """Lose everything, and start again after a while.

        Its connections are closed, or it is ``silent``. ``crashes`` records the time
        and the runs that were lost.
        """
        if self.down:
            return
        self.down = how
        self.crashes.append((clock.now(), list(self.running)))
        for key, started_at in self.running.items():
            self.record.append((key[0], started_at, clock.now(), "crashed"))
        self._lose_ends()
        self._reset()
        self.changed.set()
        await asyncio.sleep(self.reboot_s)
        self.started_at_ms += 1
        self.down = ""

    def _lose_ends(self):
        """Record that ends which no leader has acknowledged do not count any more.

        The endpoint has crashed, or its run lease has expired: a leader may have
        started their tasks again.
        """
        lost = {end.task for end in self.ended}
        self.record = [
            (*row[:3], "lost") if row[0] in lost and row[3] == "succeeded" else row
            for row in self.record
        ]

    async def refuse(self, seconds):
        """Close the connections and refuse new ones, while the runs go on."""
        self.is_refusing = True
        self.changed.set()
        await asyncio.sleep(seconds)
        self.is_refusing = False

    async def check_up(self, is_sent=False):
        """Raise the error that a call gets while the endpoint cannot be reached."""
        if self.down == "silent":
            await asyncio.sleep(SILENT_CALL_S)
            raise OutcomeUnknownError("no response")
        if self.down or self.is_refusing:
            if is_sent:
                raise ConnectionClosedError("closed without a response")
            raise NotExecutedError("refused")

    def read_clock(self):
        """Return the endpoint's clock in ms."""
        return int(clock.now() * 1000 * self.clock_rate)

    def measure_progress(self, started_at):
        """Return the progress of a run in percent."""
        if not self.reports_progress:
            return 50
        return min(99, int(100 * (clock.now() - started_at) / self.task_s))

    def end(self, key, how):
        """End a run and list the end."""
        started_at = self.running.pop(key)
        ended_at = {
            "lapsed": max(started_at, self.deadline_ms / 1000 / self.clock_rate),
            "succeeded": started_at + self.task_s,
        }.get(how, clock.now())
        self.count += 1
        self.ended.append(EndedRun(self.count, *key, how, ""))
        self.record.append((key[0], started_at, ended_at, how))
        self.changed.set()

    def advance(self):
        """End the runs that are due."""
        for key, started_at in list(self.running.items()):
            if self.read_clock() > self.deadline_ms:
                self.end(key, "lapsed")
            elif clock.now() - started_at >= self.task_s:
                self.end(key, "succeeded")
        if self.read_clock() > self.deadline_ms:
            self._lose_ends()

    def accept(self, token):
        """Return whether an order's token is not too low."""
        self.advance()
        self.token = max(self.token, token)
        return token == self.token


class Endpoints:
    """All endpoints.

    ``calls`` records the time and order of each start, and whether it was permitted,
    and ``starts`` the endpoint's name.
    ``before_send`` is called before each order is sent, and ``after_start`` with the
    endpoint and the order after each start. ``choose_start_delay_s`` returns how long a
    start is on its way besides.
    """

    def __init__(self, names=NAMES):
        self.by_name = {name: Endpoint(name) for name in names}
        self.calls = []
        self.starts = []
        self.before_send = lambda: None
        self.after_start = lambda endpoint, order: None
        self.choose_start_delay_s = lambda: 0.0

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """Raise the token, extend the lease and list runs and ends after the wait."""
        row = self.by_name[name]
        await asyncio.sleep(LATENCY_S)
        await row.check_up()
        if not row.accept(token):
            return Refused("fenced")
        row.deadline_ms = max(row.deadline_ms, deadline_ms or 0)
        row.ended = [end for end in row.ended if end.end_number > acknowledged]
        if not row.ended and wait:
            row.changed.clear()
            due = [at + row.task_s - clock.now() for at in row.running.values()]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min([wait, *due])):
                    await row.changed.wait()
            row.advance()
        await asyncio.sleep(LATENCY_S)
        await row.check_up(is_sent=True)
        listed = tuple(
            ListedRun(*key, "", row.measure_progress(at), 0)
            for key, at in row.running.items()
        )
        return PollResponse(
            row.read_clock(), row.started_at_ms, listed, tuple(row.ended)
        )

    async def start(self, name, address, order, permit):
        """Start a run."""
        row = self.by_name[name]
        await wait_to_send(permit, self.before_send)
        delay_s = self.choose_start_delay_s()
        if delay_s:
            await asyncio.sleep(delay_s)
        await row.check_up()
        if not row.accept(order.token):
            return Refused("fenced")
        if row.read_clock() > order.deadline_ms:
            return Refused("late")
        self.calls.append((clock.now(), order, permit()))
        self.starts.append(name)
        row.deadline_ms = max(row.deadline_ms, order.deadline_ms)
        row.running[order.task, order.run] = clock.now()
        self.after_start(row, order)
        return Accepted(row.read_clock())

    async def stop(self, name, address, task, run, token, permit):
        """Stop a run."""
        row = self.by_name[name]
        await wait_to_send(permit, self.before_send)
        await row.check_up()
        if not row.accept(token):
            return Refused("fenced")
        if (task, run) in row.running:
            row.end((task, run), "stopped")
        return Accepted(row.read_clock())

    async def discard_connections(self, address):
        """Do nothing."""


class Instances:
    """The platform's instances; ``orders`` records what the endpoints' ``calls`` do."""

    def __init__(self, names=NAMES):
        self.orders = []
        self.before_send = lambda: None
        self.rows = {
            f"m-{name}": Instance(f"m-{name}", "pool", "up", "d", (), CAPACITY, name)
            for name in names
        }

    async def read_instances(self):
        """Return all instances."""
        await asyncio.sleep(LATENCY_S)
        return tuple(self.rows.values())

    async def move(self, instance, pool, holder, token, permit):
        """Record a move."""
        await wait_to_send(permit, self.before_send)
        self.orders.append((clock.now(), instance, holder, token, permit()))
        return Ordered()

    async def maintain(self, instance, wave, holder, token, permit):
        """Record the maintenance of an instance, which takes no time."""
        await wait_to_send(permit, self.before_send)
        self.orders.append((clock.now(), instance, holder, token, permit()))
        return Ordered()


def make_configuration():
    """Return a configuration with one queue and a pool."""
    queue = QueueRules("q", "h", "/q/", "pool", 0, 2, 1.6, 0.6, 3.0, False)
    return Configuration(
        1,
        {"q": queue},
        {"pool": PoolRules("pool", False, False)},
        {"team": TeamRules("team", 10.0, NO_RESOURCES)},
        {"key": "team"},
        RequestLimits(),
        {"h": (queue,)},
    )


class Directory:
    """Registrations and orders.

    ``data_centres`` holds those of endpoints by name; others are in "d". While
    ``misses`` is set, watches miss what is changed.
    """

    def __init__(self, endpoints, partition):
        self.waves = ()
        self.data_centres = {}
        self.misses = False
        self._revision = 1
        self._requests = {}
        self._history = []
        self._endpoints = endpoints
        self._partition = partition

    async def read_endpoints(self):
        """Return the registered endpoints."""
        await asyncio.sleep(LATENCY_S)
        return tuple(
            Registration(
                name,
                row.started_at_ms,
                name,
                "pool",
                self.data_centres.get(name, "d"),
                row.rack,
                (),
                row.capacity,
                instance=f"m-{name}",
            )
            for name, row in self._endpoints.by_name.items()
            if not row.down and name not in self._partition.list_unregistered()
        )

    def evacuate(self, data_centre):
        """Request an evacuation, as an operator does."""
        self._revision += 1
        row = EvacuationChange(data_centre, True, self._revision)
        self._requests[data_centre] = row
        self._note(row)

    def return_to_use(self, data_centre):
        """Take an evacuation back."""
        self._revision += 1
        del self._requests[data_centre]
        self._note(EvacuationChange(data_centre, False, self._revision))

    def _note(self, change):
        if not self.misses:
            self._history.append(change)

    async def read_orders(self):
        """Return the configuration, waves and evacuations."""
        orders = await self.read_evacuations()
        return orders._replace(configuration=CONFIGURATION, waves=self.waves)

    async def watch_orders(self, after, wait):
        """Return the waves and changes of evacuations after a wait."""
        await asyncio.sleep(wait)
        rows = tuple(row for row in self._history if row.revision > after)
        last = max((row.revision for row in rows), default=after)
        return Orders(None, self.waves, last, rows)

    async def read_evacuations(self):
        """Return the evacuations."""
        await asyncio.sleep(LATENCY_S)
        rows = tuple(self._requests.values())
        return Orders(None, (), self._revision, rows, self._revision)

    def decode_configuration(self, data):
        """Return the configuration."""
        return make_configuration()

    def encode_wave_status(self, wave, is_completed):
        """Return the item that reports a wave's state."""
        return Put(f"status/{wave}", b"completed" if is_completed else b"running")


class Partition:
    """Entries and endpoints that are cut off from all others and from the store."""

    def __init__(self):
        self.entries = frozenset()
        self.endpoints = frozenset()
        self.since = 0.0

    def separates_entries(self, one, other):
        """Return whether messages between two entries are lost."""
        return (one in self.entries) != (other in self.entries)

    def separates_endpoint(self, entry, endpoint):
        """Return whether calls of an entry to an endpoint are lost."""
        return (entry in self.entries) != (endpoint in self.endpoints)

    def list_unregistered(self):
        """Return the endpoints whose registrations have lapsed."""
        has_lapsed = clock.now() - self.since > REGISTRATION_TIMEOUT_S
        return self.endpoints if has_lapsed else frozenset()


class LinkedEndpoints:
    """One entry's calls to endpoints, which a partition may separate from it."""

    def __init__(self, endpoints, partition, entry):
        self._endpoints = endpoints
        self._partition = partition
        self._entry = entry

    async def _call(self, method, name, *arguments):
        if not self._partition.separates_endpoint(self._entry, name):
            result = await getattr(self._endpoints, method)(name, *arguments)
            if not self._partition.separates_endpoint(self._entry, name):
                return result
        await asyncio.sleep(SILENT_CALL_S)
        raise OutcomeUnknownError("no response")

    async def poll(self, name, *arguments):
        """Poll an endpoint."""
        return await self._call("poll", name, *arguments)

    async def start(self, name, *arguments):
        """Start a run."""
        return await self._call("start", name, *arguments)

    async def stop(self, name, *arguments):
        """Stop a run."""
        return await self._call("stop", name, *arguments)

    async def discard_connections(self, address):
        """Do nothing."""


class LinkedDirectory:
    """One entry's reads of the directory, which is kept in the store."""

    def __init__(self, directory, client):
        self._directory = directory
        self._client = client

    def __getattr__(self, name):
        return getattr(self._directory, name)

    async def read_endpoints(self):
        """Return the registered endpoints."""
        return await self._client.fail_if_cut(self._directory.read_endpoints())

    async def read_orders(self):
        """Return the configuration and waves."""
        return await self._client.read_orders(self._directory.read_orders())

    async def watch_orders(self, after, wait):
        """Return the waves after a wait."""
        return await self._client.read_orders(self._directory.watch_orders(after, wait))

    async def read_evacuations(self):
        """Return the evacuations."""
        return await self._client.read_orders(self._directory.read_evacuations())


class Network:
    """Passes messages between entries.

    ``delay_s`` holds them up, and ``heartbeat_delay_s`` those of the leader that are
    heartbeats. Those from and to the addresses in ``cut`` are lost, and those that the
    partition separates.
    """

    def __init__(self, partition):
        self.partition = partition
        self.handlers = {}
        self.delay_s = LATENCY_S
        self.heartbeat_delay_s = 0.0
        self.cut = set()

    def make_transport(self, address, handler):
        """Return an entry's transport."""
        return Transport(self, address, handler)


class Transport:
    """Stands in for `PeerTransport`."""

    def __init__(self, network, address, handler):
        self.address = address
        self._network = network
        self._handler = handler

    async def __aenter__(self):
        self._network.handlers[self.address] = self._handler
        return self

    async def __aexit__(self, kind, error, trace):
        self._network.handlers.pop(self.address, None)

    def send(self, address, message):
        """Deliver a message after the delay."""
        delay_s = self._network.delay_s
        if isinstance(message, LeaderHeartbeat):
            delay_s += self._network.heartbeat_delay_s
        asyncio.get_running_loop().call_later(delay_s, self._deliver, address, message)

    def _deliver(self, address, message):
        handler = self._network.handlers.get(address)
        if self._network.partition.separates_entries(address, self.address):
            return
        if handler is not None and not self._network.cut & {address, self.address}:
            with entry_module.contain_errors("message of a peer"):
                handler(self.address, message)

    def close(self, address):
        """Do nothing."""


class Fleet:
    """Entries on fakes; a context manager that owns them."""

    def __init__(self, names=("e1", "e2"), endpoint_names=NAMES, limits=None):
        self.store = Store()
        self.endpoints = Endpoints(endpoint_names)
        self.instances = Instances(endpoint_names)
        self.partition = Partition()
        self.directory = Directory(self.endpoints, self.partition)
        self.network = Network(self.partition)
        self.clients = {}
        self.entries = {}
        self.replies = {}
        self.limits = limits or SiteLimits()
        self._names = names
        self._stack = contextlib.AsyncExitStack()
        self._tasks = []

    async def __aenter__(self):
        self._original = entry_module.PeerTransport
        entry_module.PeerTransport = self.network.make_transport
        for name in self._names:
            await self.add_entry(name)
        return self

    async def add_entry(self, name):
        """Start an entry."""
        options = EntryOptions(
            name, "d", ("d",), "", "", name, "", "", "", "", 2.0, 100.0, self.limits
        )
        client = self.clients[name] = self.store.connect(name)
        client.is_cut = name in self.partition.entries
        endpoints = LinkedEndpoints(self.endpoints, self.partition, name)
        directory = LinkedDirectory(self.directory, client)
        entry = Entry(options, client, endpoints, self.instances, directory)
        self.entries[name] = await self._stack.enter_async_context(entry)

    def cut_off(self, name):
        """Separate an entry from the store and from the other entries."""
        self.clients[name].is_cut = True
        self.network.cut.add(name)

    def cut_off_data_centre(self, entries, endpoints):
        """Separate entries and endpoints from all others and from the store."""
        self.partition.entries = frozenset(entries)
        self.partition.endpoints = frozenset(endpoints)
        self.partition.since = clock.now()
        for name in entries:
            self.clients[name].is_cut = True

    def reconnect_store(self):
        """Let all entries reach the store again."""
        for client in self.clients.values():
            client.is_cut = False

    def reconnect_data_centre(self):
        """Let entries and endpoints reach each other again."""
        self.partition.entries = self.partition.endpoints = frozenset()

    async def restart(self, name):
        """End an entry, and start it again as a new process after a while."""
        await self.kill(name)
        await asyncio.sleep(RESTART_S)
        await self.add_entry(name)

    async def kill(self, name):
        """End an entry without a resignation; its lease expires."""
        await self.entries.pop(name).__aexit__(None, None, None)

    async def __aexit__(self, kind, error, trace):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        entry_module.PeerTransport = self._original

    def find_leader(self):
        """Return the entry that leads with its records loaded, or None."""
        for entry in self.entries.values():
            if entry.controller is not None and entry.controller.is_loaded:
                return entry
        return None

    async def wait_for_leader(self):
        """Return the entry that leads, once there is one."""
        for _ in range(600):
            leader = self.find_leader()
            if leader is not None:
                return leader
            await asyncio.sleep(0.05)
        raise AssertionError("no leader within 30 s")

    def submit(self, number):
        """Submit a job at one of the entries, again if its outcome is not known."""
        self._tasks.append(asyncio.create_task(self._submit(f"{number:016x}")))

    async def _submit(self, job):
        for attempt in range(5):
            names = list(self.entries)
            entry = self.entries[names[(int(job, 16) + attempt) % len(names)]]
            submission = Submission(
                job, "q", "pool", "team", clock.read_unix_time(), Description("", STEPS)
            )
            with entry_module.contain_errors("request of a caller"):
                reply = await entry.forwarder.submit(submission, 2.8)
                self.replies[job] = reply.outcome
            if self.replies.get(job) == "accepted":
                return
            await asyncio.sleep(0.2)

    def list_outcomes(self):
        """Return the outcome of each accepted job."""
        leader = self.find_leader()
        return {
            job: leader.controller.find_state(job)
            for job, reply in self.replies.items()
            if reply == "accepted"
        }

    def list_runs(self):
        """Return the task, start, end and outcome of each run."""
        for row in self.endpoints.by_name.values():
            row.advance()
            yield from row.record
            for (task, _), started_at in row.running.items():
                yield task, started_at, clock.now(), "running"


def find_overlap(runs):
    """Return a task that ran twice at a time or after its success, or None."""
    by_task = {}
    for task, started_at, ended_at, how in sorted(runs, key=lambda run: run[1]):
        last = by_task.get(task)
        if last is not None and (started_at < last[0] or last[1] == "succeeded"):
            return task
        by_task[task] = ended_at, how
    return None


def make_wave(number, names=NAMES, duration=20.0):
    """Return an order for a wave over the instances of some endpoints."""
    return WaveOrder(number, tuple(f"m-{name}" for name in names), duration, 1)
