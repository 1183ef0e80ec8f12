"""Calls to other entry VMs to run a request."""

from collections.abc import Callable
import datetime

import httpcore

from dragonflystack import clock
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack.daemon import _exchange
from dragonflystack.daemon import _forwarding_codec
from dragonflystack.daemon import _peer_tls
from dragonflystack.daemon import _settings
from dragonflystack.daemon import _thrift_codec

WORK_PATH = "/v1/work"
RELAY_PATH = "/v1/relay"
STEERING_PATH = "/v1/steering"
VOUCH_PATH = "/v1/vouch"
_OK = 200
_MAX_IDLE = datetime.timedelta(seconds=5)
_MAX_IDLE_NOT_IDEMPOTENT = datetime.timedelta(milliseconds=500)
_MAX_IDLE_CONNECTIONS = 64
_OVERHEAD_BYTES = 65_536

Locate = Callable[[ids.VmId], _settings.Address | None]


class Peers:
    """Connections to other entry VMs, one request on each at a time.

    A connection that was idle for long may have gone silent, so it is not
    trusted: less so for work that must not run twice.
    """

    def __init__(
        self,
        now: clock.Clock,
        locate: Locate,
        max_body_bytes: Callable[[], int],
        on_refused: Callable[[ids.VmId], None],
        tls: _peer_tls.PeerTls | None,
    ):
        """Takes what it needs to know and whom to tell.

        Args:
            now: the clock.
            locate: where a VM is found.
            max_body_bytes: tells the bound on an answer's body.
            on_refused: told when nothing listens on a VM's port.
            tls: the keys to show, None to speak without encryption.
        """
        self._scheme = "http" if tls is None else "https"
        self._ssl_context = None if tls is None else tls.client
        self._on_refused = on_refused
        self._clock = now
        self._locate = locate
        self._max_body_bytes = max_body_bytes
        self._network = _exchange.make_network()
        self._idle: dict[
            _settings.Address,
            list[tuple[datetime.timedelta, httpcore.AsyncHTTPConnection]],
        ] = {}

    async def work(
        self, owner: ids.VmId, work: forwarding.Attempt
    ) -> forwarding.AttemptResult:
        """Has the owner run a work."""
        result = await self._call(
            owner,
            WORK_PATH,
            _forwarding_codec.encode_work(work),
            work.idempotent,
        )
        if isinstance(result, forwarding.Failed):
            return result
        try:
            return _forwarding_codec.decode_result(result)
        except _thrift_codec.MalformedMessageError as exc:
            return _failed(outcomes.Step.RECEIVE, owner, exc, written=True)

    async def relay(
        self, action: forwarding.Relay
    ) -> forwarding.Reply | outcomes.Failure:
        """Asks the holder of a key."""
        holder = action.issuer.vm
        message = _forwarding_codec.encode_relayed(
            action.request, action.time_left
        )
        result = await self._call(holder, RELAY_PATH, message, False)
        if isinstance(result, forwarding.Failed):
            return result.failure
        try:
            return _forwarding_codec.decode_reply(result)
        except _thrift_codec.MalformedMessageError as exc:
            return _failed(outcomes.Step.RECEIVE, holder, exc, True).failure

    async def tell_steering(self, vm: ids.VmId, report: bytes) -> bool:
        """Sends a steering report and returns whether it arrived."""
        result = await self._call(vm, STEERING_PATH, report, True)
        return not isinstance(result, forwarding.Failed)

    async def ask_vouch(
        self, address: _settings.Address, request: bytes
    ) -> bytes | forwarding.Failed:
        """Asks the VM at an address to vouch for this one."""
        name = ids.VmId(str(address))
        return await self._call_at(address, name, VOUCH_PATH, request, True)

    async def aclose(self) -> None:
        """Closes all connections."""
        for idle in self._idle.values():
            for _, conn in idle:
                await conn.aclose()

    async def _call(
        self, vm: ids.VmId, path: str, message: bytes, idempotent: bool
    ) -> bytes | forwarding.Failed:
        address = self._locate(vm)
        if address is None:
            failure = outcomes.Failure(outcomes.Step.PEER, vm, "no such VM")
            return forwarding.Failed(failure, written=False)
        return await self._call_at(address, vm, path, message, idempotent)

    async def _call_at(
        self,
        address: _settings.Address,
        vm: ids.VmId,
        path: str,
        message: bytes,
        idempotent: bool,
    ) -> bytes | forwarding.Failed:
        url = f"{self._scheme}://{address}{path}"
        call = _exchange.Call("POST", url, (), message)
        conn = await self._take(address, idempotent)
        limit_bytes = self._max_body_bytes() + _OVERHEAD_BYTES
        try:
            answer = await _exchange.exchange(conn, call, limit_bytes)
        except _exchange.UNSENT_ERRORS as exc:
            if _is_refused(exc):
                self._on_refused(vm)
            return _failed(outcomes.Step.CONNECT, vm, exc, written=False)
        except _exchange.BROKEN_ERRORS as exc:
            return _failed(outcomes.Step.RECEIVE, vm, exc, written=True)
        await self._give_back(address, conn)
        if answer.status != _OK:
            reason = ValueError(f"status {answer.status}")
            return _failed(outcomes.Step.PEER, vm, reason, written=True)
        return answer.body

    async def _take(
        self, address: _settings.Address, idempotent: bool
    ) -> httpcore.AsyncHTTPConnection:
        max_idle = _MAX_IDLE if idempotent else _MAX_IDLE_NOT_IDEMPOTENT
        oldest = self._clock.monotonic() - max_idle
        idle = self._idle.get(address, [])
        while idle:
            heard, conn = idle.pop()
            if heard >= oldest and not conn.has_expired():
                return conn
            await conn.aclose()
        origin = httpcore.Origin(
            self._scheme.encode(), address.host.encode(), address.port
        )
        return httpcore.AsyncHTTPConnection(
            origin,
            ssl_context=self._ssl_context,
            network_backend=self._network,
        )

    async def _give_back(
        self, address: _settings.Address, conn: httpcore.AsyncHTTPConnection
    ) -> None:
        idle = self._idle.setdefault(address, [])
        if conn.is_idle() and len(idle) < _MAX_IDLE_CONNECTIONS:
            idle.append((self._clock.monotonic(), conn))
        else:
            await conn.aclose()


def _is_refused(exc: BaseException | None) -> bool:
    """Whether the other host said that nothing listens there."""
    while exc is not None:
        if isinstance(exc, ConnectionRefusedError):
            return True
        exc = exc.__cause__
    return False


def _failed(
    step: outcomes.Step, vm: ids.VmId, exc: Exception, written: bool
) -> forwarding.Failed:
    reason = f"{type(exc).__name__} {exc}".strip()
    return forwarding.Failed(outcomes.Failure(step, vm, reason), written)
