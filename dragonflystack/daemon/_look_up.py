"""Answers look-ups of callers: which entry VMs serve a service."""

import datetime
from typing import Any

import msgspec

from dragonflystack import ids
from dragonflystack import steering
from dragonflystack.daemon import _node

_MOST_KEPT = 4_096
_NOT_STARTED = steering.Refusal(datetime.timedelta(seconds=1))


class Encoder:
    """Keeps the JSON text of answers, which many callers share."""

    def __init__(self):
        self._kept: dict[steering.Answer, bytes] = {}

    def encode(self, service: ids.ServiceId, answer: steering.Answer) -> bytes:
        """Returns the answer to a look-up as JSON text."""
        body = self._kept.get(answer)
        if body is None:
            if len(self._kept) >= _MOST_KEPT:
                self._kept.clear()
            body = msgspec.json.encode(_as_json(service, answer))
            self._kept[answer] = body
        return body


def find(
    node: _node.Node, service: ids.ServiceId, client: str
) -> steering.Answer | steering.Refusal:
    """Returns the answer for a client address.

    Raises:
        steering.InvalidAddressError: if `client` is no IP address.
    """
    if node.steering_state is None:
        return _NOT_STARTED
    now = node.clock.monotonic()
    return node.steering_state.look_up(service, client, now)


def _as_json(service: ids.ServiceId, answer: steering.Answer) -> dict[str, Any]:
    return {
        "service": service,
        "version": answer.version,
        "ttl_s": answer.ttl.total_seconds(),
        "region": answer.ranking.region,
        "vms": [_ranked_vm(ranked) for ranked in answer.ranking.vms],
    }


def _ranked_vm(ranked: steering.RankedVm) -> dict[str, Any]:
    entry = ranked.entry
    return {
        "vm": entry.vm,
        "host": entry.host,
        "port": entry.port,
        "weight": ranked.weight,
        "key_prefix": entry.key_prefix,
    }
