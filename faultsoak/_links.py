"""The links between the entry VMs: proxies that the VMs know each other by.

A VM tells others the address that it binds. The port in what it tells is
replaced on the way, in datagrams, in answers to other VMs and in its row of
the store, so that others reach it by its proxy only. A datagram passes the
links of its sender and its receiver. A call for news passes the link of the VM
that is asked alone, as its source address does not tell who asks.
"""

import asyncio
import time

from faultsoak import _pace
from faultsoak import _proxy

BOUND_PORT = 8649
"""Where an entry VM listens for others."""

PROXY_PORT = 8659
"""Where others are told that it listens."""

_LONGEST_QUEUE_S = 0.5
"""Datagrams that would wait longer at a narrow link are dropped."""

_BOUND = f":{BOUND_PORT}".encode()
_ANNOUNCED = f":{PROXY_PORT}".encode()


def announce(data: bytes) -> bytes:
    """Returns what a VM tells, with the ports of proxies for bound ones."""
    return data.replace(_BOUND, _ANNOUNCED)


class Link(asyncio.DatagramProtocol):
    """One VM's link to the others: heartbeats (UDP) and news (TCP)."""

    def __init__(self, ip: str, links: "Links", bytes_s: float | None):
        """Takes the VM's address and the bandwidth of its link."""
        self.pace = _pace.Pace(bytes_s)
        self.news = _proxy.Proxy(ip, BOUND_PORT, self.pace, announce)
        self._ip = ip
        self._links = links
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listens at the VM's announced address."""
        await self.news.start(self._ip, PROXY_PORT)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._ip, PROXY_PORT)
        )

    def stop(self) -> None:
        """Ends it."""
        self.news.stop()
        if self._transport is not None:
            self._transport.close()

    def heal(self) -> None:
        """Ends delays, cuts and narrowness."""
        self.pace.heal()
        self.news.heal()

    def connection_made(self, transport):
        """See `asyncio.BaseProtocol`."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Passes on what another VM sends to this one."""
        sender = self._links.by_ip.get(addr[0])
        if sender is None:
            return
        out_s = sender.wait_s(_proxy.Direction.TO_CLIENT, len(data))
        in_s = self.wait_s(_proxy.Direction.TO_SERVER, len(data))
        if out_s is not None and in_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(out_s + in_s, sender.send, data, self._ip)

    def wait_s(self, way: _proxy.Direction, size: int) -> float | None:
        """Returns for how long a datagram is under way, None if it is lost."""
        if not self.news.passes(way):
            return None
        wait_s = self.pace.reserve(way, size, time.monotonic())
        return self.news.delay_s + wait_s if wait_s < _LONGEST_QUEUE_S else None

    def send(self, data: bytes, ip: str) -> None:
        """Sends a datagram of this VM to another VM's bound port.

        It comes from this VM's announced address, where its receiver answers.
        """
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(announce(data), (ip, BOUND_PORT))


class Links:
    """The links of a fleet."""

    def __init__(self):
        self.by_ip: dict[str, Link] = {}

    async def add(self, ip: str, bytes_s: float | None) -> Link:
        """Starts the link of one more VM."""
        link = self.by_ip[ip] = Link(ip, self, bytes_s)
        await link.start()
        return link

    def stop(self) -> None:
        """Ends all links."""
        for link in self.by_ip.values():
            link.stop()
