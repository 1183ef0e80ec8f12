"""The proxies between entry VMs, on loopback sockets."""

import asyncio
import enum
import socket

import anyio
import pytest

from faultsoak import _links
from faultsoak import _pace
from faultsoak import _proxy

_NEAR, _FAR = "127.9.8.1", "127.9.8.2"
_RECEIVED_IN_S = 5.0


class _Way(enum.Enum):
    THERE = "there"
    BACK = "back"


def test_a_pace_lets_so_many_bytes_a_second_pass_in_each_direction():
    pace = _pace.Pace(100.0)
    assert pace.reserve(_Way.THERE, 50, 10.0) == pytest.approx(0.4)
    assert pace.reserve(_Way.THERE, 50, 10.0) == pytest.approx(0.9)
    assert pace.reserve(_Way.BACK, 50, 10.0) == pytest.approx(0.4)
    assert pace.reserve(_Way.THERE, 50, 20.0) == pytest.approx(0.4)


def test_a_late_wake_up_takes_nothing_from_a_pace():
    pace = _pace.Pace(100.0)
    now_s = 10.0
    for _ in range(10):
        now_s += pace.reserve(_Way.THERE, 50, now_s) + 0.05
    assert now_s == pytest.approx(10.0 + 10 * 0.5, abs=0.2)


def test_a_narrow_pace_is_as_wide_as_before_once_it_healed():
    pace = _pace.Pace(None)
    pace.narrow(10.0)
    assert pace.reserve(_Way.THERE, 50, 10.0) == pytest.approx(4.9)
    pace.heal()
    assert pace.reserve(_Way.THERE, 50, 10.0) == 0.0


def test_an_announced_address_is_a_proxys():
    told = b'{"peers":"127.9.8.1:8649","callers":"127.9.8.1:8641"}'
    announced = b'{"peers":"127.9.8.1:8659","callers":"127.9.8.1:8641"}'
    assert _links.announce(told) == announced


async def _exchange(trouble) -> tuple[bytes, tuple[str, int]]:
    """Returns the first datagram that reaches the far VM from the near one.

    The second one is sent when the trouble is over.
    """
    links = _links.Links()
    near = await links.add(_NEAR, None)
    far = await links.add(_FAR, None)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.bind((_FAR, _links.BOUND_PORT))
        trouble(near, far)
        far.datagram_received(b"I am at :8649", (_NEAR, _links.BOUND_PORT))
        near.heal()
        far.heal()
        far.datagram_received(b"again", (_NEAR, _links.BOUND_PORT))
        try:
            with anyio.fail_after(_RECEIVED_IN_S):
                loop = asyncio.get_running_loop()
                return await loop.sock_recvfrom(sock, 100)
        finally:
            links.stop()


@pytest.mark.parametrize(
    ("trouble", "received"),
    [
        pytest.param(lambda near, far: None, b"I am at :8659", id="healthy"),
        pytest.param(
            lambda near, far: far.news.cut(_proxy.Direction.TO_SERVER),
            b"again",
            id="the receiver hears nobody",
        ),
        pytest.param(
            lambda near, far: near.news.cut(_proxy.Direction.TO_CLIENT),
            b"again",
            id="nobody hears the sender",
        ),
        pytest.param(
            lambda near, far: near.news.cut(_proxy.Direction.TO_SERVER),
            b"I am at :8659",
            id="the sender hears nobody",
        ),
    ],
)
def test_datagrams_come_from_the_announced_address(trouble, received):
    assert asyncio.run(_exchange(trouble)) == (
        received,
        (_NEAR, _links.PROXY_PORT),
    )
