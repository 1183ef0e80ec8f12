"""The kinds of log events: one for each decision or change of state."""

import enum


class Event(enum.Enum):
    """The kind of a log line; docs/OPERATIONS.md describes each."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    SETTINGS_RELOADED = "settings-reloaded"
    SETTINGS_REFUSED = "settings-refused"
    LOOP_FAILED = "loop-failed"
    PORT_UNAVAILABLE = "port-unavailable"
    DEPENDENCY_LOST = "dependency-lost"
    DEPENDENCY_REGAINED = "dependency-regained"
    CATALOGUE_ADOPTED = "catalogue-adopted"
    EVACUATION_CHANGED = "evacuation-changed"
    STORE_RETURNED = "store-returned"
    HISTORY_LOST = "history-lost"
    ENTRY_SKIPPED = "entry-skipped"
    SERVER_ADDED = "server-added"
    SERVER_LEAVING = "server-leaving"
    SERVER_GONE = "server-gone"
    SERVER_ASKED_WAIT = "server-asked-wait"
    SERVER_LIMITED = "server-limited"
    LIMIT_SKIPPED = "limit-skipped"
    RETRY_AFTER_SKIPPED = "retry-after-skipped"
    SERVER_SUSPECT = "server-suspect"
    SERVER_BACK = "server-back"
    VM_HEARD = "vm-heard"
    VM_SILENT = "vm-silent"
    VM_REGISTERED = "vm-registered"
    STATE_FROM_PEER = "state-from-peer"
    NEWS_TAKEN = "news-taken"
    NEWS_FAILED = "news-failed"
    REGION_SHARES = "region-shares"
    READY_CHANGED = "ready-changed"
    REQUEST_SENT = "request-sent"
    REQUEST_SENT_AGAIN = "request-sent-again"
    REQUEST_OVERDUE = "request-overdue"
    SEND_FAILED = "send-failed"
    REQUEST_QUARANTINED = "request-quarantined"
    REQUEST_SERVED = "request-served"
    REQUEST_REJECTED = "request-rejected"
    REQUEST_FAILED = "request-failed"
    REQUEST_UNKNOWN = "request-unknown"
    REQUEST_UNAUTHORIZED = "request-unauthorized"
    REQUEST_DROPPED = "request-dropped"
    BODIES_EVICTED = "bodies-evicted"
    LIBRARY_MESSAGE = "library-message"
    LINES_DROPPED = "lines-dropped"


ROUTINE = frozenset(
    (Event.REQUEST_SENT, Event.REQUEST_SERVED, Event.LIBRARY_MESSAGE)
)
"""Kinds with a lower rate limit, so that they are dropped first."""
