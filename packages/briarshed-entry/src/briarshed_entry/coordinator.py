"""Membership, authority and grants of this entry, and its messages to its peers."""

from __future__ import annotations

import asyncio
import secrets
import time as unix
from collections.abc import Awaitable, Callable, Sequence
from types import TracebackType
from typing import Any, NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from briarshed.authority import (
    MS_PER_S,
    Authority,
    OwnView,
    PeerView,
    decide_authority,
    find_authority_timeout,
    find_confirmation,
    find_relayed_confirmation,
)
from briarshed.documents import (
    CONFIGURATION_KEY,
    DOCUMENT_KEYS,
    GRANTS_KEY,
    MEMBERS_KEY,
    decode_document,
    encode_document,
    make_empty,
)
from briarshed.events import (
    AUTHORITY_GAINED,
    AUTHORITY_LOST,
    GRANTS_FREED,
    GRANTS_SWAPPED,
    LOOP_FAILED,
    MEMBER_ESTABLISHED,
    MEMBER_REGISTERED,
    MEMBER_REMOVED,
    PEER_REJECTED,
)
from briarshed.exceptions import DocumentError, StoreUnavailableError
from briarshed.grants import TeamDemand
from briarshed.membership import (
    deregister_member,
    find_new_members,
    find_pending_members,
    find_ping_interval,
    find_planner,
    find_removable,
    find_unaware_members,
    is_listed,
    list_owners,
    make_owner,
    register_member,
    remove_member,
)
from briarshed.settings import Settings
from briarshed_entry._grant_accounting import (
    GrantAccounting,
    list_increased_owners,
    merge_rows,
)
from briarshed_entry.clock import now
from briarshed_entry.logs import log_event
from briarshed_entry.peers import (
    Demand,
    Message,
    Notice,
    Offer,
    Peers,
    Ping,
    Pong,
    QueryRequest,
    QueryResponse,
)
from briarshed_entry.replica import Replica
from briarshed_entry.store import StoreClient

INCARNATION_BYTES = 4
RENEWALS_PER_LEASE = 3
GRANTS_WRITE_INTERVAL_S = 1.0
GRANTS_CHECK_INTERVAL_S = 0.1
"""Shortest time between two checks of demands and rows."""

FULL_PLAN_INTERVAL_S = 5.0
"""Interval at which the rows of all teams are planned, with or without a change."""

GATHER_TIMEOUT_S = 1.0
EXTRA_PING_INTERVAL_S = 0.2
"""Interval of extra pings to members that have not confirmed an awaited version."""

_IN_FORCE_CHECK_INTERVAL_S = 0.05
_NO_AGE = -1


class Reply(NamedTuple):
    """Response of one entry to an operator's query; the age is in seconds."""

    entry: str
    data_centre: str
    age: float
    rows: list[Any]


class Coordinator:
    """Membership, authority and grants of this entry; owns the peer connections."""

    def __init__(
        self, settings: Settings, replica: Replica, store: StoreClient
    ) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._replica = replica
        self._store = store
        self._peers = Peers(settings.peers, self._handle)
        self._accounting = GrantAccounting()
        self._epoch = now()
        self._incarnation = ""
        self._incarnation_reset_at = self._epoch
        self._registered_at: float | None = None
        self._failure = "this entry has not registered yet"
        self._ready = False
        self._stopping = False
        self._left = False
        self._relayed_confirmation_at: float | None = None
        self._views: dict[str, PeerView] = {}
        self._versions: dict[str, tuple[int, ...]] = {}
        self._aware_members: dict[str, str] = {}
        self._received_at: dict[str, float] = {}
        self._missing_since: dict[str, float] = {}
        self._removed_at: dict[str, float] = {}
        self._orphaned_since: dict[str, float] = {}
        self._members = make_empty(MEMBERS_KEY)
        self._owners: set[str] = set()
        self._others: tuple[str, ...] = ()
        self._established = False
        self._granted = False
        self._wake = asyncio.Event()
        self._outdated_keys: set[str] = set()
        self._outdated_event = asyncio.Event()
        self._grants_written_at = 0.0
        self._planned_at = 0.0
        self._pending_queries: dict[int, tuple[str, asyncio.Future[list[Any]]]] = {}
        self._last_query_id = 0
        self._handle_query: Callable[[Any], list[Any]] = lambda query: []
        self._tasks: list[asyncio.Task[None]] = []
        self._subscriptions: list[Any] = []
        self._reset_incarnation()

    async def __aenter__(self) -> Coordinator:
        await self._peers.__aenter__()
        self._replica.find_rejection = self._find_rejection
        self._subscriptions = [
            self._replica.updates.subscribe(self._note_update),
            self._replica.own_changes.subscribe(self._send_notices),
        ]
        self._note_update(MEMBERS_KEY)
        poll_s = self._settings.store.poll_ms / MS_PER_S
        lease_s = self._settings.store.lease_ms / MS_PER_S
        self._tasks = [
            self._start("ping", self._ping_all, self._find_ping_interval),
            self._start("membership", self._maintain_membership, lambda: poll_s),
            self._start(
                "lease", self._renew_lease, lambda: lease_s / RENEWALS_PER_LEASE
            ),
            asyncio.create_task(self._run_grants()),
            asyncio.create_task(self._refresh_outdated()),
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for subscription in self._subscriptions:
            subscription.dispose()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peers.__aexit__(kind, error, trace)

    @property
    def owner(self) -> str:
        """Name of this entry's rows in the grants, ``NAME/INCARNATION``."""
        return make_owner(self._settings.name, self._incarnation)

    # Authority

    def find_authority(self) -> Authority:
        """Decide whether jobs submitted with a key may start now."""
        return decide_authority(self._make_own_view(), self._views, self._timing, now())

    def may_start(self, team: str | None) -> str:
        """Return "" if a job of a team may start, else "authority" or "limit"."""
        if team is None:
            return ""
        if not self.find_authority().granted:
            return "authority"
        limit = self._accounting.find_limit(
            team, self._replica.configuration, self._replica.grants, now()
        )
        return "" if self._accounting.count_running(team) < limit else "limit"

    def find_readiness(self) -> str:
        """Return why this entry is not ready for callers, or an empty string.

        An entry that has been ready stays ready without authority, because open
        queues need none.
        """
        if self._stopping:
            return "this entry is stopping"
        if self._ready:
            return ""
        if self._replica.failing or self._replica.contact_at is None:
            return f"the store is not available: {self._replica.failure}"
        return self._failure

    def _make_own_view(self) -> OwnView:
        replica = self._replica
        registered = self._registered_at is not None
        listed = is_listed(replica.members, self._settings.name, self._incarnation)
        return OwnView(
            self.owner if registered else "",
            self._registered_at or 0.0,
            replica.read_at,
            self._relayed_confirmation_at,
            replica.failing,
            replica.get_version(CONFIGURATION_KEY),
            replica.get_version(MEMBERS_KEY),
            self._others,
            listed and registered,
        )

    # Limits

    def note_started(self, team: str | None) -> None:
        """Count a job that started."""
        if team is not None:
            self._accounting.add_running(team, 1, now())

    def note_ended(self, team: str | None) -> None:
        """Count a job that is known to have ended, or whose task lease has expired."""
        if team is not None:
            self._accounting.add_running(team, -1, now())

    def set_waiting(self, team: str | None, count: int) -> None:
        """Record how many jobs of a team are queued here."""
        if team is None:
            return
        if self._accounting.set_waiting(team, count, now()):
            self._wake.set()

    def count_running(self, team: str) -> int:
        """Return how many jobs of a team are known to run in the whole fleet."""
        return self._accounting.count_running_in_fleet(team)

    # Changes

    def list_blockers(self) -> list[str]:
        """Return the members that prevent this entry from accepting a change.

        They have not confirmed that they know this entry, so during a store outage
        they may confirm authority to each other without asking it.
        """
        members = self._replica.members
        if self._registered_at is None or not is_listed(
            members, self._settings.name, self._incarnation
        ):
            return [self._settings.name]
        return find_unaware_members(members, self._settings.name, self._aware_members)

    def _find_rejection(self, key: str) -> str:
        if key == MEMBERS_KEY:
            return ""
        blockers = self.list_blockers()
        if blockers == [self._settings.name]:
            return "this entry is not a registered member"
        if key == GRANTS_KEY or not blockers:
            return ""
        return f"these members do not know this entry yet: {', '.join(blockers)}"

    async def wait_in_force(self, key: str, version: int, timeout: float) -> list[str]:
        """Wait until a version is in force; return the members in which it is not.

        Parameters
        ----------
        timeout : float
            Seconds to wait at most.
        """
        started_at = now()
        pinged_at = started_at
        while True:
            time = now()
            waiting = self._find_pending_members(key, version, started_at)
            if not waiting or time - started_at >= timeout:
                return sorted({owner.partition("/")[0] for owner in waiting})
            if time - pinged_at >= EXTRA_PING_INTERVAL_S:
                pinged_at = time
                for owner in waiting:
                    self._ping(owner.partition("/")[0])
            await asyncio.sleep(_IN_FORCE_CHECK_INTERVAL_S)

    def _find_pending_members(
        self, key: str, version: int, started_at: float
    ) -> list[str]:
        first_held_at = self._replica.find_first_held_at(key, version)
        position = DOCUMENT_KEYS.index(key)
        return find_pending_members(
            self._make_own_view().others,
            {owner: versions[position] for owner, versions in self._versions.items()},
            self._removed_at,
            version,
            started_at if first_held_at is None else first_held_at,
            self._timing,
            now(),
        )

    # Queries

    def set_query_handler(self, function: Callable[[Any], list[Any]]) -> None:
        """Set the function that answers queries on this entry."""
        self._handle_query = function

    async def gather(self, query: Any) -> list[Reply]:
        """Query this entry and all peers; return the responses that came in time."""
        sent_at = now()
        futures = {}
        for name in sorted(self._replica.members["members"]):
            if name != self._settings.name:
                self._last_query_id += 1
                future = asyncio.get_running_loop().create_future()
                self._pending_queries[self._last_query_id] = (name, future)
                futures[self._last_query_id] = future
                self._peers.send(name, QueryRequest(self._last_query_id, query))
        own = self._handle_query(query)
        replies = [Reply(self._settings.name, self._settings.data_centre, 0.0, own)]
        if futures:
            await asyncio.wait(futures.values(), timeout=GATHER_TIMEOUT_S)
        for number, future in futures.items():
            name, _future = self._pending_queries.pop(number)
            if future.done():
                member = self._replica.members["members"].get(name)
                data_centre = member["data_centre"] if member else ""
                age = now() - sent_at
                replies.append(Reply(name, data_centre, age, future.result()))
        return replies

    def is_planner(self) -> bool:
        """Return whether this entry is the first live member by name."""
        planner = find_planner(self._replica.members, self._replica.alive)
        return planner == self._settings.name and not self.list_blockers()

    def list_unreachable(self) -> list[str]:
        """Return the members that did not answer a ping within the consent time."""
        limit = now() - self._timing.consent_ms / MS_PER_S
        return [
            owner.partition("/")[0]
            for owner in self._make_own_view().others
            if self._received_at.get(owner, limit) <= limit
        ]

    async def leave(self) -> None:
        """Return this entry's grants and deregister it, if the store is available."""
        self._stopping = True
        self._left = True
        self._wake.set()
        name, incarnation = self._settings.name, self._incarnation
        if self._registered_at is not None and await self._replica.refresh(
            [GRANTS_KEY]
        ):
            await self._replica.change(GRANTS_KEY, self._return_rows, "")
            await self._replica.change(
                MEMBERS_KEY,
                lambda members: Success(deregister_member(members, name, incarnation)),
                "",
            )
        self._registered_at = None
        try:
            await self._store.release(name)
        except StoreUnavailableError as error:
            log_event(LOOP_FAILED, task="leave", error=error.message)

    def _return_rows(self, grants: Any) -> Result[Any, str]:
        planned = {}
        for team, rows in grants["rows"].items():
            kept = min(rows.get(self.owner, 0), self._accounting.count_running(team))
            after = {**rows, self.owner: kept}
            planned[team] = {owner: count for owner, count in after.items() if count}
        if planned == grants["rows"]:
            return Failure("this entry has no grants")
        self._accounting.add_pending_caps(planned)
        return Success(merge_rows(grants, planned))

    # Membership

    def _reset_incarnation(self) -> None:
        """Become a new member; confirmations for the old incarnation are void."""
        self._incarnation = secrets.token_urlsafe(INCARNATION_BYTES)
        self._incarnation_reset_at = now()
        self._registered_at = None
        self._relayed_confirmation_at = None
        self._established = False
        self._aware_members.clear()
        self._views.clear()

    async def _maintain_membership(self) -> None:
        if self._left:
            return
        members = self._replica.members
        if not is_listed(members, self._settings.name, self._incarnation):
            await self._register()
        elif self._registered_at is None:
            # The response to the registration was lost, but it took effect.
            self._registered_at = now()
        if self._registered_at is not None and not self._replica.failing:
            self._note_missing()
            await self._remove_stopped()
        self._log_state()

    async def _register(self) -> None:
        settings = self._settings
        member = {
            "incarnation": self._incarnation,
            "address": settings.peers.address,
            "data_centre": settings.data_centre,
            "operators": f"http://{settings.operators.address}",
        }

        def apply(members: Any) -> Result[Any, str]:
            return register_member(members, settings.name, member, unix.time())

        result = await self._replica.change(MEMBERS_KEY, apply, "")
        if not is_successful(result):
            self._failure = result.failure()
            return
        self._registered_at = now()
        log_event(MEMBER_REGISTERED, name=settings.name, incarnation=self._incarnation)
        self._failure = "the configuration has not been confirmed yet"
        await self._replica.refresh([GRANTS_KEY])
        await self._renew_lease()
        self._ping_now()

    def _note_missing(self) -> None:
        """Record when each member's lease was first seen to have expired."""
        time = now()
        missing = {
            make_owner(name, member["incarnation"])
            for name, member in self._replica.members["members"].items()
            if self._replica.alive.get(name) != member["incarnation"]
        }
        self._missing_since = {
            owner: self._missing_since.get(owner, time) for owner in missing
        }

    async def _remove_stopped(self) -> None:
        for name in find_removable(
            self._replica.members,
            self._settings.name,
            self._missing_since,
            self._received_at,
            not self.list_blockers(),
            self._timing,
            now(),
        ):
            incarnation = self._replica.members["members"][name]["incarnation"]

            def apply(
                members: Any, name: str = name, incarnation: str = incarnation
            ) -> Result[Any, str]:
                if not is_listed(members, name, incarnation):
                    return Failure("already removed")
                return Success(remove_member(members, name, unix.time()))

            result = await self._replica.change(MEMBERS_KEY, apply, "")
            if is_successful(result):
                reason = "its lease expired and it does not answer"
                log_event(
                    MEMBER_REMOVED, name=name, incarnation=incarnation, reason=reason
                )

    async def _renew_lease(self) -> None:
        if self._registered_at is None or self._left:
            return
        try:
            data = self._incarnation.encode()
            await self._store.keep_alive(self._settings.name, data)
        except StoreUnavailableError:
            # The replica logs store failures.
            return

    def _log_state(self) -> None:
        authority = self.find_authority()
        if authority.granted and not self._ready:
            self._ready = True
        if authority.granted != self._granted:
            event = AUTHORITY_GAINED if authority.granted else AUTHORITY_LOST
            log_event(event, reason=authority.reason)
        self._granted = authority.granted
        established = not self.list_blockers()
        if established and not self._established:
            log_event(MEMBER_ESTABLISHED)
        self._established = established

    def _note_update(self, key: str) -> None:
        if key in (MEMBERS_KEY, CONFIGURATION_KEY):
            self._accounting.changed_teams.add("")
        if key == MEMBERS_KEY:
            self._note_members()
        if key == GRANTS_KEY:
            self._accounting.expire_pending_caps(self._replica.get_stored(key).revision)
        self._wake.set()

    def _note_members(self) -> None:
        before, self._members = self._members, self._replica.members
        members = self._members
        owners = set(list_owners(members))
        time = now()
        if self.owner in self._owners and self.owner not in owners:
            self._reset_incarnation()
        self._aware_members.update(find_new_members(before, members, self.owner))
        for owner in self._owners - owners:
            # A member that deregistered itself had no jobs and no authority left.
            if owner in members["departed"]:
                self._removed_at[owner] = time
            self._accounting.peers.pop(owner, None)
        delay = find_authority_timeout(self._timing)
        self._removed_at = {
            owner: at for owner, at in self._removed_at.items() if time - at < delay
        }
        self._owners = owners
        own_name = self._settings.name
        self._others = tuple(
            owner for owner in sorted(owners) if owner.partition("/")[0] != own_name
        )
        for known in (self._received_at, self._versions):
            for owner in known.keys() - owners - self._removed_at.keys():
                del known[owner]
        self._accounting.reset_owner(self.owner, sorted(owners))
        self._peers.set_peers(self._list_addresses())

    def _list_addresses(self) -> dict[str, str]:
        return {
            name: member["address"]
            for name, member in self._replica.members["members"].items()
            if name != self._settings.name
        }

    # Messages

    def _find_ping_interval(self) -> float:
        return find_ping_interval(len(self._others), self._timing)

    async def _ping_all(self) -> None:
        self._peers.set_peers(self._list_addresses())
        self._ping_now()

    def _ping_now(self) -> None:
        for name in self._list_addresses():
            self._ping(name)

    def _ping(self, name: str) -> None:
        sent_at = int((now() - self._epoch) * MS_PER_S)
        self._peers.send(name, Ping(self._incarnation, sent_at))

    def _handle(self, name: str, message: Message) -> Message | None:
        match message:
            case Ping():
                return self._make_pong(name, message)
            case Pong():
                self._handle_pong(name, message)
            case Notice():
                self._handle_notice(message)
            case Offer():
                self._handle_offer(name, message)
            case Demand():
                self._handle_demand(name, message)
            case QueryRequest():
                return QueryResponse(message.id, self._handle_query(message.query))
            case QueryResponse():
                expected_name, future = self._pending_queries.get(
                    message.id, ("", None)
                )
                if future is not None and expected_name == name and not future.done():
                    future.set_result(message.rows)
        return None

    def _make_pong(self, name: str, ping: Ping) -> Pong:
        time = now()
        replica = self._replica
        confirmed_at = find_confirmation(self._make_own_view())
        contact_at = replica.contact_at
        # Rounding must not make a confirmation younger or a contact older.
        return Pong(
            self._incarnation,
            ping.sent_at,
            _NO_AGE if confirmed_at is None else _count_ms(time - confirmed_at) + 1,
            _NO_AGE if contact_at is None else _count_ms(time - contact_at),
            replica.failing,
            tuple(replica.get_version(key) for key in DOCUMENT_KEYS),
            is_listed(replica.members, name, ping.incarnation),
            self._accounting.list_job_counts(),
            self._stopping,
        )

    def _handle_pong(self, name: str, pong: Pong) -> None:
        sent_at = self._epoch + pong.echo / MS_PER_S
        if sent_at < self._incarnation_reset_at or sent_at > now():
            # The ping was sent by an earlier incarnation of this entry.
            return
        configuration, _fleet, _grants, members = pong.versions
        view = PeerView(
            pong.incarnation,
            sent_at,
            _read_age(pong.confirmed_age),
            _read_age(pong.contact_age),
            pong.store_failing,
            configuration,
            members,
            pong.known,
        )
        before = self._views.get(name)
        if before is not None and before.sent_at > sent_at:
            return
        self._views[name] = view
        owner = make_owner(name, pong.incarnation)
        self._received_at[owner] = sent_at
        self._versions[owner] = pong.versions
        self._accounting.peers[owner] = {
            team: TeamDemand(running, waiting)
            for team, (running, waiting) in pong.running.items()
        }
        if pong.known:
            self._aware_members[name] = pong.incarnation
        relayed_at = find_relayed_confirmation(self._make_own_view(), {name: view})
        if relayed_at is not None:
            self._relayed_confirmation_at = max(
                relayed_at, self._relayed_confirmation_at or relayed_at
            )
        if pong.store_failing:
            self._offer_documents(name, pong)

    def _offer_documents(self, name: str, pong: Pong) -> None:
        """Send newer documents to a peer that cannot read the store.

        The configuration is sent first.
        """
        configuration = self._replica.get_version(CONFIGURATION_KEY)
        for key, version in zip(DOCUMENT_KEYS, pong.versions, strict=True):
            stored = self._replica.get_stored(key)
            if stored.value["version"] > version:
                value = encode_document(stored.value)
                offer = Offer(key, stored.revision, configuration, value)
                self._peers.send(name, offer)

    def _handle_offer(self, name: str, offer: Offer) -> None:
        if offer.key not in DOCUMENT_KEYS:
            return
        if offer.configuration > self._replica.get_version(CONFIGURATION_KEY) and (
            offer.key != CONFIGURATION_KEY
        ):
            # With members newer than the configuration, this entry could miss a
            # member whose consent it needs; see Replica._list_changed. The peer
            # sends the configuration again.
            return
        try:
            document = decode_document(offer.key, offer.value)
        except DocumentError as error:
            log_event(PEER_REJECTED, reason=f"{name}: {error.message}")
            return
        if document["version"] > self._replica.get_version(offer.key):
            self._replica.offer(offer.key, document, offer.revision)

    def _send_notices(self, key: str) -> None:
        if key == GRANTS_KEY:
            return
        notice = Notice({key: self._replica.get_version(key)})
        for name in self._list_addresses():
            self._peers.send(name, notice)

    def _handle_notice(self, notice: Notice) -> None:
        newer = {
            key
            for key, version in notice.versions.items()
            if key in DOCUMENT_KEYS and version > self._replica.get_version(key)
        }
        if newer:
            self._outdated_keys |= newer
            self._outdated_event.set()

    async def _refresh_outdated(self) -> None:
        while True:
            await self._outdated_event.wait()
            self._outdated_event.clear()
            keys, self._outdated_keys = self._outdated_keys, set()
            try:
                await self._replica.refresh(sorted(keys))
            except Exception as error:
                log_event(LOOP_FAILED, task="notices", error=repr(error))

    def _handle_demand(self, name: str, demand: Demand) -> None:
        member = self._replica.members["members"].get(name)
        if member is None:
            return
        owner = make_owner(name, member["incarnation"])
        self._accounting.note_demand(owner, demand.wanted, now())
        self._wake.set()

    # Grants

    async def _run_grants(self) -> None:
        """Send demands and update rows of the grants, at most once a second each."""
        poll_s = self._settings.store.poll_ms / MS_PER_S
        while True:
            try:
                async with asyncio.timeout(poll_s):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            try:
                if self._accounting.expire_demands(now()):
                    # Teams that kept capacity free for a peer may start jobs again.
                    self._replica.announce(GRANTS_KEY)
                if self._registered_at is not None and not self._left:
                    await self._send_demands()
                    await self._update_grants()
            except Exception as error:
                log_event(LOOP_FAILED, task="grants", error=repr(error))
            # Jobs can arrive much faster than rows can change.
            await asyncio.sleep(GRANTS_CHECK_INTERVAL_S)

    async def _send_demands(self) -> None:
        demands = self._accounting.take_demands(
            self._replica.configuration, self._replica.grants, now()
        )
        if demands.wanted:
            for name in self._list_addresses():
                self._peers.send(name, Demand(demands.wanted))
        if demands.repeated:
            # The notice of an increased row may have been lost.
            await self._replica.refresh([GRANTS_KEY])

    def _list_teams(self, time: float) -> list[str]:
        """Return the teams whose rows may have to change."""
        plan_all = (
            "" in self._accounting.changed_teams
            or time - self._planned_at >= FULL_PLAN_INTERVAL_S
        )
        teams = set(self._accounting.changed_teams)
        if plan_all:
            self._planned_at = time
            teams |= set(self._replica.configuration["teams"])
            teams |= set(self._replica.grants["rows"])
        teams.discard("")
        return sorted(teams)

    async def _update_grants(self) -> None:
        time = now()
        if self._replica.failing:
            return
        if time - self._grants_written_at < GRANTS_WRITE_INTERVAL_S:
            delay = GRANTS_WRITE_INTERVAL_S - (time - self._grants_written_at)
            asyncio.get_running_loop().call_later(delay, self._wake.set)
            return
        self._note_orphans(time)
        teams = self._list_teams(time)
        grants, configuration = self._replica.grants, self._replica.configuration
        self._accounting.changed_teams.clear()
        if not self._accounting.plan(teams, configuration, grants, time):
            return
        self._grants_written_at = time
        await self._replica.refresh([GRANTS_KEY])
        await self._write_plan(teams)

    async def _write_plan(self, teams: Sequence[str]) -> None:
        increased_owners: set[str] = set()

        def apply(grants: Any) -> Result[Any, str]:
            configuration = self._replica.configuration
            planned = self._accounting.plan(teams, configuration, grants, now())
            increased_owners.clear()
            if not planned:
                return Failure("nothing to change")
            increased_owners.update(list_increased_owners(grants, planned))
            self._accounting.add_pending_caps(planned)
            return Success(merge_rows(grants, planned))

        result = await self._replica.change(GRANTS_KEY, apply, "")
        if not is_successful(result):
            if result.failure().startswith("unknown:"):
                revision = self._replica.get_stored(GRANTS_KEY).revision
                self._accounting.keep_pending_caps(revision)
            else:
                self._accounting.clear_pending_caps()
            self._accounting.changed_teams.update(teams)
            return
        self._accounting.clear_pending_caps()
        self._replica.announce(GRANTS_KEY)
        version = result.unwrap().value["version"]
        log_event(GRANTS_SWAPPED, version=version)
        for owner in self._accounting.freeable:
            log_event(GRANTS_FREED, owner=owner)
        for owner in increased_owners - {self.owner}:
            self._peers.send(owner.partition("/")[0], Notice({GRANTS_KEY: version}))

    def _note_orphans(self, time: float) -> None:
        """Find rows of removed members whose tasks have certainly ended.

        The delay starts when this entry first sees the row without its member,
        on its own clock, so clocks need not be synchronised.
        """
        owners = {
            owner
            for rows in self._replica.grants["rows"].values()
            for owner in rows
            if owner not in self._owners
        }
        self._orphaned_since = {
            owner: self._orphaned_since.get(owner, time) for owner in owners
        }
        delay = find_authority_timeout(self._timing)
        delay += (self._timing.task_lease_ms + self._timing.margin_ms) / MS_PER_S
        freeable = {
            owner for owner, at in self._orphaned_since.items() if time - at >= delay
        }
        self._accounting.freeable = freeable if self.is_planner() else ()
        if self._accounting.freeable:
            self._accounting.changed_teams.add("")

    def _start(
        self,
        name: str,
        step: Callable[[], Awaitable[None]],
        find_interval: Callable[[], float],
    ) -> asyncio.Task[None]:
        """Run a step periodically until the coordinator closes."""

        async def run() -> None:
            while True:
                try:
                    await step()
                except Exception as error:
                    log_event(LOOP_FAILED, task=name, error=repr(error))
                await asyncio.sleep(find_interval())

        return asyncio.create_task(run())


def _count_ms(seconds: float) -> int:
    return int(seconds * MS_PER_S)


def _read_age(age: int) -> float | None:
    return None if age == _NO_AGE else age / MS_PER_S
