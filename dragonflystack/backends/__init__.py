"""Backend servers: shards and owners, slots, outliers, ramp-up, drain.

A service's backend servers in a region are split into shards, and each shard
has one owner among the region's VMs (`shards_of`, `owner_of`). The owner keeps
one `BackendPool` per service: it counts the slots of the backend servers that
it owns exactly and names the connection for each request.

    pool = backends.BackendPool.from_config(
        service, owned, settings, ledger, now
    )
    pool.on_request(backends.Work(work_id, deadline, idempotent=True), now)
    # -> (Start(work_id, backend_server, connection, fresh=True),)
    pool.on_result(work_id, backends.Answered(), now)
    # -> (), or the start of work that waited

Each handler returns the actions to carry out, in order. A work gets either
`Refuse`, which is final and means that it was not run, or `Start`, at once or
later. After `Start`, report one result with `on_result`, unless `CancelAttempt`
came first: then a result may follow, and it only frees the slot. The pool
never tries again by itself: a retry is a new `Attempt` with a new id that names
the backend servers already tried in `avoid`, under the taker's retry budget.

Whether a result leaves the request not run or unknown is the taker's to tell:
`Shed` and `ConnectFailed` are not run; `BrokenAfterWrite`, `Silent`, `Corrupt`
and `CancelAttempt` are unknown.

Call `on_tick` at `next_wake_up(now)` at the latest, and `on_connection_lost`
when an idle connection was closed by the other end or sent bytes unasked.
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
