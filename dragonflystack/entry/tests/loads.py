"""Simulates loads on real entry VMs, with simplified backend servers.

A discrete-event simulation: callers send requests to the VMs of their region,
and VMs choose among backend servers that have slots, a short queue and a cache
of objects. The simulation does no I/O and does not depend on the machine.
"""

import collections
from collections.abc import Callable
import dataclasses
import datetime
import heapq
import itertools
import math
import random
from typing import Any

from dragonflystack import entry
from dragonflystack import ids

_CALLER_DELAY_MS = 8.0
"""One-way network delay between a caller and a VM."""

_REMOTE_DELAY_MS = 35.0
"""One-way network delay between a VM and a backend server of another region."""

_HEARTBEAT_INTERVAL_MS = 500.0
_CACHED_TIME_FRACTION = 0.3
"""Processing time of a cached object relative to an uncached one."""

_SLOW_FACTOR = 5.0
_SHIFT_WINDOW_MS = 2_000.0
"""Length of the windows that the users' limit on shifts compares."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of one service, with its backend servers and the entry VMs."""

    servers: dict[str, int]
    """Backend servers in each region."""

    per_second: Callable[[str, float], float]
    """Returns the request rate of a region's callers, given the region and the
    time in seconds."""

    vms: int = 5
    """Entry VMs in each region."""

    work_ms: float = 240.0
    target_ms: float = 250.0
    deadline_ms: float = 1200.0
    timeout_ms: float | None = None
    """Timeout of the route, None to use the caller's deadline."""

    objects: int = 50
    """Different objects that the callers of each region request."""

    hot_object_fraction: float = 0.0
    """Fraction of the requests that concern a single hot object."""

    kept: int = 52
    """Objects that a backend server can cache."""

    slots: int = 3
    queue: int = 9
    slow: int = 0
    """Slow backend servers in each region, which take five times as long."""

    loss_at_s: float | None = None
    """When the last region's first backend server is removed, None for
    never."""

    seconds: float = 20.0
    retries: int = 1
    seed: int = 1


def random_load(seed: int) -> Load:
    """Returns a random load.

    Regions, capacity, processing time, deadlines and objects vary.
    """
    rng = random.Random(seed)
    names = "abcde"[: rng.randint(2, 5)]
    servers = {name: rng.randint(2, 8) for name in names}
    slots = rng.randint(3, 9)
    work_ms = rng.uniform(200, 2_500)
    target_ms = work_ms * rng.uniform(0.4, 2.0)
    deadline_ms = max(target_ms, work_ms) * rng.uniform(4, 6)
    has_timeout = rng.random() < 0.5
    capacity = sum(servers.values()) * slots / (work_ms / 1000)
    per_second = capacity * rng.uniform(0.6, 1.6) / len(names)
    amplitude = rng.uniform(0.0, 0.6)
    phases = {name: rng.random() for name in names}

    def rate(region: str, second: float) -> float:
        angle = 2 * math.pi * (second / 36 + phases[region])
        return per_second * (1 + amplitude * math.sin(angle))

    return Load(
        servers,
        rate,
        vms=rng.choice((3, 6, 12)),
        work_ms=work_ms,
        target_ms=target_ms,
        deadline_ms=deadline_ms,
        timeout_ms=max(target_ms, work_ms) * 1.3 if has_timeout else None,
        objects=rng.randint(10, 80),
        kept=rng.randint(15, 50),
        slots=slots,
        queue=3 * slots,
        seconds=12.0,
        seed=seed,
    )


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts the outcomes of the requests of one simulation."""

    asked: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    """Caller attempts that ended neither answered nor rejected."""

    refused_again: int = 0
    """Rejected requests that the caller had retried."""

    regions: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Runs at backend servers, by region of the caller and of the server."""

    runs: list[tuple[float, str, str]] = dataclasses.field(default_factory=list)
    """Start of each run, in ms, with the same two regions."""

    def largest_shift(self, region: str, from_ms: float = 0.0) -> float:
        """Returns the largest shift between two consecutive windows of 2 s.

        Args:
            region: the region of the callers.
            from_ms: the start of the first window.

        Returns:
            The fraction of the region's requests that changed region.
        """
        times = [(at, to) for at, frm, to in self.runs if frm == region]
        end_ms = max(at for at, _ in times)
        largest = 0.0
        start_ms = from_ms
        while start_ms + 2 * _SHIFT_WINDOW_MS <= end_ms:
            shares = [
                _shares(times, start_ms + i * _SHIFT_WINDOW_MS) for i in (0, 1)
            ]
            difference = sum(
                abs(shares[0].get(to, 0.0) - shares[1].get(to, 0.0))
                for to in shares[0].keys() | shares[1].keys()
            )
            largest = max(largest, difference / 2)
            start_ms += _SHIFT_WINDOW_MS / 4
        return largest

    @property
    def in_target_part(self) -> float:
        """The fraction of requests answered within the target latency."""
        return self.in_target / self.asked

    @property
    def served_part(self) -> float:
        """The fraction of requests answered at all."""
        return (self.in_target + self.late) / self.asked

    @property
    def credit(self) -> float:
        """Mean score of a request: 1 if answered within the target latency, 0.2
        if answered later, -0.3 if rejected twice."""
        gained = self.in_target + 0.2 * self.late - 0.3 * self.refused_again
        return gained / self.asked


def _shares(
    times: list[tuple[float, str]], start_ms: float
) -> dict[str, float]:
    """Returns each region's share of the runs of one window."""
    end_ms = start_ms + _SHIFT_WINDOW_MS
    inside = [to for at, to in times if start_ms <= at < end_ms]
    counts = collections.Counter(inside)
    return {to: number / len(inside) for to, number in counts.items()}


class _Backend:
    """A backend server with slots, a queue and a cache of objects."""

    def __init__(self, load: Load, is_slow: bool):
        self._load = load
        self._factor = _SLOW_FACTOR if is_slow else 1.0
        self.running = 0
        self.waiting: collections.deque = collections.deque()
        self._cached: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def is_full(self) -> bool:
        """Whether its queue is full, so that it rejects the next request."""
        return len(self.waiting) >= self._load.queue

    def work_ms(self, key: str, rng: random.Random) -> float:
        """Returns a random processing time for an object."""
        cached = key in self._cached
        mean = self._load.work_ms * (_CACHED_TIME_FRACTION if cached else 1.0)
        return mean * self._factor * rng.uniform(0.8, 1.2)

    def cache(self, key: str) -> None:
        """Caches an object, evicting the least recent one if needed.

        Only requests that are processed to the end cache their object.
        """
        self._cached[key] = None
        self._cached.move_to_end(key)
        if len(self._cached) > self._load.kept:
            self._cached.popitem(last=False)

    def report(self) -> entry.Load:
        """Returns its load report."""
        return entry.Load(self.running, len(self.waiting), self._load.slots)


class World:
    """One simulation: entry VMs, backend servers and pending events."""

    def __init__(self, load: Load, settings: entry.ChoiceSettings):
        self._load = load
        self._rng = random.Random(load.seed)
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._serial = itertools.count()
        self._backends: dict[str, _Backend] = {}
        self._region_of: dict[str, str] = {}
        self.tally = Tally()
        self.vms = self._make_vms(settings)

    def simulate(self) -> Tally:
        """Runs the simulation and returns the outcomes of the requests."""
        for region in self._load.servers:
            self._at(0.0, self._arrive, region)
        self._at(0.0, self._beat)
        if self._load.loss_at_s is not None:
            self._at(self._load.loss_at_s * 1000, self._lose)
        while self._events:
            now, _, run, args = heapq.heappop(self._events)
            if now > (self._load.seconds + 5) * 1000:
                break
            run(now, *args)
        return self.tally

    def _at(self, when: float, run: Callable, *args: Any) -> None:
        heapq.heappush(self._events, (when, next(self._serial), run, args))

    def _make_vms(self, settings: entry.ChoiceSettings):
        load = self._load
        service = ids.ServiceId("service")
        entries = []
        for region, number in load.servers.items():
            for i in range(number):
                name = f"{region}-s{i}"
                self._backends[name] = _Backend(load, i < load.slow)
                self._region_of[name] = region
                entries.append(
                    entry.ServerEntry(
                        ids.BackendServerId(name),
                        service,
                        "10.0.0.1",
                        80,
                        ids.FailureDomainId(region),
                        load.slots,
                        leaving=False,
                        cold_left=datetime.timedelta(),
                    )
                )
        route = entry.Route(
            entry.RouteId("route"),
            "shop.example",
            "/r/",
            (entry.Destination(service, 1.0),),
            idempotent=True,
            target_latency=_ms(load.target_ms),
            timeout=_ms(load.timeout_ms or load.deadline_ms),
            max_attempts=2,
            sticky=True,
        )
        policy = entry.ServicePolicy(service, "/health", 660, 11.0, _ms(3000))
        catalogue = entry.Catalogue(1, (route,), {service: policy})
        domains = {
            ids.FailureDomainId(r): ids.RegionId(r) for r in load.servers
        }
        vms: dict[str, list[entry.EntryVm]] = {}
        for region in load.servers:
            for i in range(load.vms):
                address = entry.VmAddress(
                    ids.VmId(f"{region}-{i}"),
                    ids.RegionId(region),
                    ids.FailureDomainId(region),
                    f"{region}-{i}:80",
                    f"{region}-{i}:90",
                )
                vm = entry.EntryVm(
                    entry.Members(address, ids.Incarnation("1")),
                    domains,
                    entry.FleetBounds(),
                    settings,
                    random.Random(self._rng.random()),
                )
                vm.members.phase = entry.Phase.SERVING
                vm.on_catalogue(catalogue)
                listing = entry.Listing(tuple(entries), (), whole=True)
                vm.on_listing(listing, 1, _ms(0))
                vms.setdefault(region, []).append(vm)
        fleet = [vm for group in vms.values() for vm in group]
        for vm in fleet:
            vm.members.on_vm_list([other.members.own for other in fleet])
        return vms

    def _lose(self, now: float) -> None:
        name = ids.BackendServerId(f"{list(self._load.servers)[-1]}-s0")
        listing = entry.Listing((), (name,), whole=False, version=5)
        for group in self.vms.values():
            for vm in group:
                vm.on_listing(listing, 5, _ms(now))

    def _beat(self, now: float) -> None:
        for group in self.vms.values():
            by_id = {vm.members.own.vm: vm for vm in group}
            for vm in group:
                beat = vm.heartbeat(_ms(now))
                for member, _ in vm.members.heartbeat_targets(_ms(now)):
                    other = by_id[member.address.vm]
                    other.members.on_heartbeat(beat, _ms(now))
                    other.dispatch.on_observations(
                        beat.loads, beat.cached_objects, _ms(now)
                    )
            for vm in group:
                vm.on_tick(_ms(now))
        self._at(now + _HEARTBEAT_INTERVAL_MS, self._beat)

    def _arrive(self, now: float, region: str) -> None:
        load = self._load
        rate = load.per_second(region, now / 1000)
        if now < load.seconds * 1000:
            gap = self._rng.expovariate(rate) * 1000
            self._at(now + gap, self._arrive, region)
            self.tally.asked += 1
            is_hot = (
                load.hot_object_fraction
                and self._rng.random() < load.hot_object_fraction
            )
            number = 0 if is_hot else self._rng.randrange(load.objects)
            key = f"{region}/{number}"
            reached = now + _CALLER_DELAY_MS
            self._at(reached, self._ask, region, key, now, 0)

    def _ask(
        self, now: float, region: str, key: str, began: float, tries: int
    ) -> None:
        vm = self._rng.choice(self.vms[region])
        left = began + self._load.deadline_ms - now
        request = entry.Request(
            "id", "shop.example", "/r/x", key, _ms(max(1.0, left))
        )
        exchange, step = vm.open(request, _ms(now))
        call = (vm, exchange, region, key, began, tries)
        self._take(now, step, call)

    def _take(self, now: float, step: entry.Step, call: tuple) -> None:
        _, exchange, region, key, began, tries = call
        match step:
            case entry.Send(server):
                name = server.entry.id
                delay = self._delay_ms(region, name)
                send = len(exchange.sends)
                self._at(now + delay, self._reach, name, call, send)
                answer_timeout = step.answer_timeout / _ms(1)
                self._at(now + answer_timeout, self._silence, call, send)
            case entry.Wait(answer_timeout):
                send = len(exchange.sends)
                self._at(
                    now + answer_timeout / _ms(1), self._silence, call, send
                )
            case entry.Deliver():
                latency = now + _CALLER_DELAY_MS - began
                if latency <= self._load.target_ms:
                    self.tally.in_target += 1
                elif latency <= self._load.deadline_ms:
                    self.tally.late += 1
            case entry.Reject(_, retry_after):
                left = began + self._load.deadline_ms - now
                wait = min(retry_after / _ms(1), left / 3)
                retry_at = now + 2 * _CALLER_DELAY_MS + wait
                if tries < self._load.retries and left > 0:
                    self._at(retry_at, self._ask, region, key, began, tries + 1)
                    return
                self.tally.refused += 1
                self.tally.refused_again += tries > 0
            case _:
                self.tally.failed += 1
                left = began + self._load.deadline_ms - now
                if tries < self._load.retries and left > 0:
                    retry_at = now + 2 * _CALLER_DELAY_MS
                    self._at(retry_at, self._ask, region, key, began, tries + 1)
                    return
                self.tally.refused += 1

    def _delay_ms(self, region: str, name: str) -> float:
        """Returns the one-way delay from a region's VMs to a backend server."""
        return 0.5 if self._region_of[name] == region else _REMOTE_DELAY_MS

    def _reach(self, now: float, name: str, call: tuple, send: int) -> None:
        backend = self._backends[name]
        if backend.running >= self._load.slots and backend.is_full():
            answer = entry.Answered(503, not_run=True, load=backend.report())
            self._answer(now, name, call, send, answer)
            return
        backend.waiting.append((call, send))
        self._serve(now, name)

    def _serve(self, now: float, name: str) -> None:
        backend = self._backends[name]
        while backend.waiting and backend.running < self._load.slots:
            call, send = backend.waiting.popleft()
            _, exchange, region, key, _, _ = call
            if _ms(now) > exchange.deadline:
                answer = entry.Answered(503, not_run=True)
                self._answer(now, name, call, send, answer)
                continue
            backend.running += 1
            self.tally.regions[region, self._region_of[name]] += 1
            self.tally.runs.append((now, region, self._region_of[name]))
            work_ms = backend.work_ms(key, self._rng)
            left = exchange.deadline / _ms(1) - now
            self._at(now + min(work_ms, left), self._done, name, call, send)

    def _done(self, now: float, name: str, call: tuple, send: int) -> None:
        backend = self._backends[name]
        backend.running -= 1
        is_over = _ms(now) >= call[1].deadline
        status = 504 if is_over else 200
        if not is_over:
            backend.cache(call[3])
        answer = entry.Answered(status, load=backend.report())
        self._answer(now, name, call, send, answer)
        self._serve(now, name)

    def _answer(
        self,
        now: float,
        name: str,
        call: tuple,
        send: int,
        answer: entry.Answered,
    ) -> None:
        delay = self._delay_ms(call[2], name)
        self._at(now + delay, self._result, call, send, answer)

    def _result(
        self, now: float, call: tuple, send: int, result: entry.Result
    ) -> None:
        exchange = call[1]
        if exchange.has_ended or len(exchange.sends) != send:
            return
        self._take(now, exchange.on_result(result, _ms(now)), call)

    def _silence(self, now: float, call: tuple, send: int) -> None:
        self._result(now, call, send, entry.Silent())


def simulate(load: Load, **changes: Any) -> Tally:
    """Simulates a load with the given settings changed."""
    return World(load, entry.ChoiceSettings(**changes)).simulate()


def _ms(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)
