"""The stand-ins round the fleet: the store, and backend servers that change."""

import collections
import dataclasses
import functools
import itertools
import math
import random
import time
from typing import Any

import anyio
import anyio.abc
import fakes

from faultsoak import _callers
from faultsoak import _keys
from faultsoak import _proxy
from faultsoak import _record

SERVERS = "servers"
OPERATORS = "op"
COLD_START_S = 2.0
COLD_PER_S = 8.0
_SLOTS = 4
_LAPSE_AFTER_S = 4.5
"""Three heartbeats of a backend server."""

_REUSE_AFTER_S = 2.0
_BACK_AFTER_S = 2.0
DEADLY = "deadly"
"""Part of the target of requests that end the backend server that runs them."""

_DRAIN_S = 2.5
_STAYS_ON_S = 1.0
"""A leaving backend server goes on serving for a little longer."""

OPEN_ROUTES = {
    "browse": fakes.Route("browse", "/b/", "gallery", True, 0.3, 1.5),
    "order": fakes.Route("order", "/o/", "orders", False, 0.4, 2.0),
    "look-up": fakes.Route(
        "look-up", "/l/", "stock", True, 0.5, 3.0, public=True
    ),
}
SERVICES = ("gallery", "orders", "stock", "spare")
"""Routes that all regions may serve."""

_HOME_ROUTE = fakes.Route(
    "at-home", "/h/", "stock", True, 0.4, 2.0, homes=("south",)
)
_GROWS_BY = 1_400
"""Routes that one change adds on the users' platform."""

_LATEST_PART = 0.5
"""Part of the requests that goes to the route that changed last."""

_MOST_GROWTHS = 2
"""Growths whose routes are in force at once; older ones are taken back."""


@dataclasses.dataclass(slots=True)
class Server:
    """A backend server with its entry and the way to it."""

    fake: fakes.BackendServer
    entry: fakes.Registration
    proxy: _proxy.Proxy
    port: int
    """Where it listens itself."""


class World:
    """The store, the configuration, and the backend servers."""

    def __init__(
        self,
        record: _record.Record,
        host: str,
        regions: dict[str, str],
        rng: random.Random,
    ):
        """Takes what it works with.

        Args:
            record: where runs are recorded.
            host: a loopback address.
            regions: the region of each failure domain.
            rng: for all that is drawn.
        """
        self.store = fakes.StandInStore()
        self.servers: dict[str, Server] = {}
        self.regions = regions
        self.routes = {_HOME_ROUTE.name: _HOME_ROUTE, **OPEN_ROUTES}
        """The routes with requests in the newest configuration, by name."""

        self.keys = _keys.Keys(record)
        self._latest: str | None = None
        """The route that changed last, None if none did."""

        self._growths: collections.deque[list[fakes.Route]] = collections.deque(
            maxlen=_MOST_GROWTHS
        )
        self._record = record
        self._config = b""
        self._evacuated: set[str] = set()
        """The rows of the evacuations under way."""

        self._ended: list[Server] = []
        """Backend servers that a request ended and that are not replaced."""

        self._host = host
        self._rng = rng
        self._versions = itertools.count(3, 2)
        self._names = itertools.count()
        self._born = itertools.count(int(time.time() * 1000))

    async def start(self, domains: list[str], per_domain: int) -> None:
        """Starts backend servers and writes the first configuration."""
        for domain in domains:
            for service in SERVICES:
                for _ in range(per_domain):
                    await self.add_server(service, domain)
        self._write_config()

    def grow(self, parent: str, homes: tuple[str, ...]) -> None:
        """Adds many routes, and tells the store.

        Requests come for one of them. It lies below the prefix of another
        route, which serves its requests wherever the new one is not known.

        Args:
            parent: that other route.
            homes: the regions that may serve the new one.
        """
        number = len(self.routes)
        below = self.routes[parent]
        added = dataclasses.replace(
            below,
            name=f"{parent}-{number}",
            prefix=f"{below.prefix}{number}/",
            homes=homes,
        )
        self._record.changes += [
            dataclasses.replace(change, route=added.name)
            for change in self._record.changes
            if change.route == parent
        ]
        self._growths.append(_fillers(number))
        self.routes[added.name] = added
        self.configure(added.name)

    def configure(self, name: str, **changes: Any) -> None:
        """Changes fields of a route, and tells the store."""
        self.routes[name] = dataclasses.replace(self.routes[name], **changes)
        self._latest = name
        self._write_config()

    def _write_config(self) -> None:
        """Tells the store of the routes."""
        routes = [*self.routes.values(), *itertools.chain(*self._growths)]
        services = [
            fakes.Service(name, COLD_START_S, COLD_PER_S) for name in SERVICES
        ]
        self._config = fakes.encode_config(
            next(self._versions),
            _callers.HOST,
            routes,
            services,
            self.keys.next(),
        )
        self.store.put(OPERATORS, "config", self._config)
        now_s = time.monotonic()
        self._record.changes += [
            _record.RouteChange(now_s, r.name, r.service, frozenset(r.homes))
            for r in self.routes.values()
        ]

    def pick_kind(self) -> _callers.Kind:
        """Returns what the next request of a caller is.

        Many are for the route that changed last, where a VM that does not know
        the newest configuration shows.
        """
        name = self._latest
        if name is None or self._rng.random() >= _LATEST_PART:
            name = self._rng.choice(list(self.routes))
        return _callers.Kind.from_route(self.routes[name])

    async def add_server(
        self,
        service: str,
        domain: str,
        name: str | None = None,
        port: int = 0,
        cold_s: float = 0.0,
    ) -> Server:
        """Starts a backend server and registers it.

        Args:
            service: what it serves.
            domain: its failure domain.
            name: its id, a new one if None.
            port: the port that it listens on, a free one if 0.
            cold_s: how long it is cold.
        """
        name = name or f"i-{next(self._names):04x}"
        fake = fakes.BackendServer(
            name, service, _SLOTS, self._rng, self._record.runs.append
        )
        fake.on_asked = functools.partial(self._note_asked, name)
        fake.is_ended_by = functools.partial(self._end_by_request, name)
        fake.cold_until_s = time.monotonic() + cold_s
        port = await fake.start(self._host, port)
        proxy = _proxy.Proxy(self._host, port)
        proxy.on_request_bytes = self._record.follow(name)
        front = await proxy.start(self._host)
        entry = fakes.Registration(
            service,
            f"{self._host}:{front}",
            domain,
            _SLOTS,
            next(self._born),
            cold_s=cold_s,
        )
        server = Server(fake, entry, proxy, port)
        self.servers[name] = server
        self._record.domains[name] = domain
        self.register(server)
        return server

    def _end_by_request(self, name: str, attempt: str, target: str) -> bool:
        """Ends a backend server if it got a deadly request."""
        if DEADLY not in target:
            return False
        self._record.deadly_arrivals.append(
            _record.DeadlyArrival(
                time.monotonic(), target, attempt.rpartition("/")[2]
            )
        )
        self._record.disturb(name, time.monotonic(), math.inf)
        server = self.servers[name]
        server.proxy.stop()
        self._ended.append(server)
        return True

    async def bring_back(self) -> None:
        """Starts new instances for servers that a request ended."""
        ended, self._ended = self._ended, []
        await anyio.sleep(_BACK_AFTER_S)
        for server in ended:
            await self.add_server(server.fake.service, server.entry.domain)
        await anyio.sleep(_LAPSE_AFTER_S - _BACK_AFTER_S)
        for server in ended:
            self.forget(server)

    def _note_asked(self, server: str, attempt: str, wait_s: float) -> None:
        self._record.asked_waits.append(
            _record.AskedWait(time.monotonic(), server, attempt, wait_s)
        )

    def register(self, server: Server) -> None:
        """Writes a backend server's entry."""
        data = fakes.encode_registration(server.entry)
        self.store.put(SERVERS, server.fake.name, data)

    def write_again(self) -> None:
        """Writes all that a store which came back from a copy has lost."""
        self.store.put(OPERATORS, "config", self._config)
        for table, key in tuple(self.store.rows):
            is_old = table == OPERATORS and key not in (
                "config",
                *self._evacuated,
            )
            if is_old or (table == SERVERS and key not in self.servers):
                self.store.drop(table, key)
        for key in self._evacuated:
            self.store.put(OPERATORS, key, b"{}")
        for server in self.servers.values():
            server.entry = dataclasses.replace(
                server.entry, sequence=server.entry.sequence + 1
            )
            self.register(server)

    def forget(self, server: Server) -> None:
        """Drops an entry, if it is still of this incarnation."""
        name = server.fake.name
        current = self.servers.get(name)
        if current is server:
            del self.servers[name]
        if current in (server, None) and (SERVERS, name) in self.store.rows:
            self.store.drop(SERVERS, name)

    async def drain(self, server: Server) -> None:
        """Has a backend server leave after its notice; another one starts."""
        server.fake.is_leaving = True
        server.entry = dataclasses.replace(
            server.entry, leaving=True, sequence=server.entry.sequence + 1
        )
        self.register(server)
        name = server.fake.name
        self._record.leavings.append(_record.Leaving(time.monotonic(), name))
        await self.add_server(server.fake.service, server.entry.domain)
        await anyio.sleep(_DRAIN_S + _STAYS_ON_S)
        self.forget(server)
        server.fake.crash()
        server.proxy.stop()

    async def evacuate(self, domain: str, for_s: float) -> None:
        """Has a failure domain get no requests for a while.

        Does nothing if it is evacuated, or no other one would be left.
        """
        key = f"evacuate/{domain}"
        is_last = len(self._evacuated) + 1 == len(self.regions)
        if key in self._evacuated or is_last:
            return
        self._evacuated.add(key)
        start_s = time.monotonic()
        self.store.put(OPERATORS, key, b"{}")
        await anyio.sleep(for_s)
        self._record.evacuations.append(
            _record.Evacuation(start_s, time.monotonic(), domain)
        )
        self._evacuated.remove(key)
        if (OPERATORS, key) in self.store.rows:
            self.store.drop(OPERATORS, key)

    async def crash(self, server: Server, away_s: float) -> None:
        """Ends a backend server; another one starts later, cold."""
        server.fake.crash()
        server.proxy.stop()
        await anyio.sleep(_LAPSE_AFTER_S)
        self.forget(server)
        await anyio.sleep(away_s)
        await self.add_server(
            server.fake.service, server.entry.domain, cold_s=COLD_START_S
        )

    async def reborn(self, server: Server, away_s: float) -> None:
        """Ends a backend server, which starts again under its id."""
        server.fake.crash()
        server.proxy.stop()
        await anyio.sleep(away_s)
        await self.add_server(
            server.fake.service,
            server.entry.domain,
            name=server.fake.name,
            cold_s=COLD_START_S,
        )

    async def replace(self, server: Server) -> None:
        """Gives the address of one that ended to another service."""
        server.fake.crash()
        server.proxy.reset_open()
        await anyio.sleep(_REUSE_AFTER_S)
        others = [s for s in SERVICES if s != server.fake.service]
        name = f"i-{next(self._names):04x}"
        heir = fakes.BackendServer(
            name,
            self._rng.choice(others),
            _SLOTS,
            self._rng,
            self._record.runs.append,
        )
        await heir.start(self._host, server.port)
        entry = dataclasses.replace(
            server.entry, service=heir.service, born=next(self._born)
        )
        taken = Server(heir, entry, server.proxy, server.port)
        self.servers[name] = taken
        self._record.domains[name] = entry.domain
        self.register(taken)
        await anyio.sleep(_LAPSE_AFTER_S - _REUSE_AFTER_S)
        self.forget(server)
        await self.add_server(server.fake.service, server.entry.domain)

    def close(self) -> None:
        """Ends everything."""
        for server in self.servers.values():
            server.fake.crash()
            server.proxy.stop()


def _fillers(number: int) -> list[fakes.Route]:
    """Returns routes of one growth for which no requests come."""
    return [
        fakes.Route(
            f"filler-{number}-{i}",
            f"/f{number}/{i}/",
            SERVICES[i % len(SERVICES)],
            True,
            0.3,
            1.5,
        )
        for i in range(_GROWS_BY)
    ]
