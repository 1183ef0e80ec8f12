"""Pools, documents and works for the tests of this package."""

import datetime

import msgspec

from dragonflystack import backends
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises

SERVICE = ids.ServiceId("order")
REGION = ids.RegionId("north")


def ms(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


def server(number: int, **fields) -> config.BackendServer:
    defaults = {
        "id": ids.BackendServerId(f"b{number}"),
        "host": "127.0.0.1",
        "port": 9000 + number,
        "failure_domain": ids.FailureDomainId("n1"),
    }
    return config.BackendServer(**{**defaults, **fields})


def service(servers) -> config.Service:
    return config.Service(
        owner=ids.TeamId("team"),
        id=SERVICE,
        idempotent=False,
        shift_cap=config.ShiftCap(fraction=0.1, window_s=10),
        allowed_regions=(REGION,),
        backend_servers=tuple(servers),
    )


def document(servers) -> config.Document:
    domains = [{"id": "n1", "region": REGION}, {"id": "s1", "region": "south"}]
    return config.decode_document(
        msgspec.json.encode(
            {
                "fleet": {"owner": "team"},
                "topology": {
                    "owner": "team",
                    "regions": [{"id": REGION}, {"id": "south"}],
                    "failure_domains": domains,
                    "links": [],
                    "sites": [],
                },
                "clients": {"owner": "team"},
                "services": {SERVICE: service(servers)},
            }
        )
    )


def settings(**fields) -> backends.PoolSettings:
    return backends.PoolSettings(**{"initial_service_time": ms(20), **fields})


class Bench:
    """A pool with a strict ledger and a time that the test moves on."""

    def __init__(self, servers, warm=True, **fields):
        self.now = ms(60_000)
        self.ledger = promises.Ledger(strict=True)
        self.servers = {entry.id: entry for entry in servers}
        self.pool = backends.BackendPool.from_config(
            service(servers),
            servers,
            settings(**fields),
            self.ledger,
            self.now,
        )
        self._next_id = 0
        if warm:
            self._warm_up()

    def _warm_up(self):
        total = sum(entry.slots for entry in self.servers.values())
        while self.pool.summary(self.now).slots < total:
            started = []
            while True:
                (action,) = self.request()
                if not isinstance(action, backends.Start):
                    break
                started.append(action)
                if len(started) == self.pool.summary(self.now).slots:
                    break
            self.now += ms(20)
            for start in started:
                self.result(start, backends.Answered())

    def work(self, deadline_ms=2_000, idempotent=True, **fields):
        self._next_id += 1
        return backends.Attempt(
            backends.AttemptId(f"w{self._next_id}"),
            self.now + ms(deadline_ms),
            idempotent,
            **fields,
        )

    def request(self, **fields):
        return self.pool.on_request(self.work(**fields), self.now)

    def start(self, **fields) -> backends.Start:
        starts = [a for a in self.request(**fields) if is_start(a)]
        assert len(starts) == 1
        return starts[0]

    def result(self, start, result, after_ms=0):
        self.now += ms(after_ms)
        return self.pool.on_result(start.attempt_id, result, self.now)

    def tick(self, after_ms=0):
        self.now += ms(after_ms)
        return self.pool.on_tick(self.now)

    def state(self, number):
        name = f"b{number}"
        servers = self.pool.summary(self.now).servers
        return next(s for s in servers if s.backend_server == name)


def is_start(action) -> bool:
    return isinstance(action, backends.Start)


def kinds(actions) -> list[str]:
    return [type(action).__name__ for action in actions]
