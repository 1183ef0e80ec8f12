"""Assigns requests to backend servers and tracks their slots and health.

A service's backend servers in a region are split into shards, and each shard
has one owner among the region's VMs (`shards_of`, `owner_of`). The owner keeps
one `BackendPool` per service. The pool keeps an exact count of the slots in use
on the backend servers that it owns, ejects outliers, ramps up cold backend
servers, drains leaving ones, and picks the connection for each request.

    pool = backends.BackendPool.from_config(
        service, owned, settings, ledger, now
    )
    pool.on_request(
        backends.Attempt(attempt_id, deadline, idempotent=True), now
    )
    # -> (Start(attempt_id, backend_server, connection, fresh=True),)
    pool.on_result(attempt_id, backends.Answered(), now)
    # -> (), or a Start for a queued attempt

Each handler returns the actions to carry out, in order. An attempt gets either
`Refuse`, which is final and means that the request was not run, or `Start`,
immediately or later. After `Start`, report one result with `on_result`. If the
pool returns `CancelAttempt` first, a result is optional and only frees the
slot. The pool never retries by itself: a retry is a new `Attempt` with a new id
that lists the backend servers already tried in `avoid`. The requester enforces
its retry budget.

The requester decides whether a result means not run or unknown: `Shed` and
`ConnectFailed` mean not run; `BrokenAfterWrite`, `Silent`, `Corrupt` and
`CancelAttempt` mean unknown.

Call `on_tick` at `next_wake_up(now)` at the latest, and `on_connection_lost`
when the peer closed an idle connection or sent unsolicited bytes on it.
"""

from dragonflystack.backends._messages import Action
from dragonflystack.backends._messages import Answered
from dragonflystack.backends._messages import Attempt
from dragonflystack.backends._messages import AttemptId
from dragonflystack.backends._messages import BrokenAfterWrite
from dragonflystack.backends._messages import CancelAttempt
from dragonflystack.backends._messages import Cancelled
from dragonflystack.backends._messages import CloseConnection
from dragonflystack.backends._messages import ConnectFailed
from dragonflystack.backends._messages import ConnectionId
from dragonflystack.backends._messages import Corrupt
from dragonflystack.backends._messages import DrainReport
from dragonflystack.backends._messages import HealthReport
from dragonflystack.backends._messages import Refuse
from dragonflystack.backends._messages import Result
from dragonflystack.backends._messages import Shed
from dragonflystack.backends._messages import Silent
from dragonflystack.backends._messages import Start
from dragonflystack.backends._pool import BackendPool
from dragonflystack.backends._settings import PoolSettings
from dragonflystack.backends._shards import DEFAULT_SHARD_SIZE
from dragonflystack.backends._shards import Shard
from dragonflystack.backends._shards import owner_of
from dragonflystack.backends._shards import owners_ranked
from dragonflystack.backends._shards import shards_of
from dragonflystack.backends._summary import PoolSummary
from dragonflystack.backends._summary import ServerSummary

__all__ = [
    "DEFAULT_SHARD_SIZE",
    "Action",
    "Answered",
    "BackendPool",
    "BrokenAfterWrite",
    "CancelAttempt",
    "Cancelled",
    "CloseConnection",
    "ConnectFailed",
    "ConnectionId",
    "Corrupt",
    "DrainReport",
    "HealthReport",
    "PoolSettings",
    "PoolSummary",
    "Refuse",
    "Result",
    "ServerSummary",
    "Shard",
    "Shed",
    "Silent",
    "Start",
    "Attempt",
    "AttemptId",
    "owner_of",
    "owners_ranked",
    "shards_of",
]
