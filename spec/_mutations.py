"""The mutations: for each guard, where to look for its counter-example.

A counter-example of a run with fewer actors is one of the whole system, so
that each mutation states who may stay out and how many steps are needed.
"""

import dataclasses

from spec import _configuration
from spec import _model
from spec import _system

_CHANGES_ONLY = ("VM", "writer ", "another team")
_NO_CHANGES = ("publisher", "writer 1", "takes the role")
_NO_JOIN = (*_NO_CHANGES, "starts", "crashes", "answer lost", "predecessor")
_NO_PUBLICATION = (*_NO_JOIN, "another team", "asks", "acknowledge")
_RESTART = (
    *_NO_CHANGES,
    *("another team", "answer lost", "asks", "lapses", "vouches for"),
    *("stopped", "counted", "renews", "acknowledge", "forgets"),
)
_TWO_WRITERS = ("publisher", "starts", "vouch", "crashes", "lease")


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """The specification without one guard."""

    guard: str
    """The guard that is removed."""

    depth: int
    """How many steps a counter-example may take."""

    absent: tuple[str, ...]
    """Actors and actions that take no part: parts of action names."""

    start: _model.Start = _model.Start.JOINED_IN_OUTAGE

    def check(self) -> _system.Result:
        """Looks for the counter-example."""
        system = _configuration.system(
            2, self.guard, True, self.start, self.absent
        )
        return _system.check_bounded(system, self.depth)


CONFIGURATION = (
    Mutation("adopt only a newer version", 6, _NO_CHANGES),
    Mutation("write only over the head that was checked", 6, _CHANGES_ONLY),
    Mutation("check the section against its base version", 8, _CHANGES_ONLY),
    Mutation("read the change id back before trying again", 6, _CHANGES_ONLY),
    Mutation(
        "refuse only once the late write cannot take effect",
        6,
        _CHANGES_ONLY,
    ),
    Mutation("register only over the head that was adopted", 9, _NO_JOIN),
    Mutation(
        "register only what the vouched for have", 11, (*_NO_JOIN, "leaves")
    ),
    Mutation(
        "serve only when registered or vouched for",
        7,
        _NO_CHANGES,
        _model.Start.ALONE,
    ),
    Mutation("check the lease before serving", 10, _NO_PUBLICATION),
    Mutation("check the vouch before serving", 9, _NO_PUBLICATION),
    Mutation("renew only a row that still stands", 9, _NO_JOIN),
    Mutation("vouch only when registered", 9, _NO_PUBLICATION),
    Mutation("vouch only for a VM that is not behind", 12, _NO_PUBLICATION),
    Mutation("acknowledge only what the vouched for have", 8, _NO_JOIN),
    Mutation("forget a vouch only after it has lapsed", 7, _NO_JOIN),
    Mutation("leave only when nobody is vouched for", 7, _NO_PUBLICATION),
    Mutation(
        "withdraw only the row that was read",
        8,
        _NO_JOIN,
        _model.Start.ALONE,
    ),
    Mutation(
        "stop serving before leaving",
        7,
        _NO_JOIN,
        _model.Start.ALONE,
    ),
    Mutation("leave only when the predecessor's vouches lapsed", 11, _RESTART),
    Mutation("count a VM out only after its lease", 10, _NO_PUBLICATION),
    Mutation(
        "count a VM out only over the renewal observed", 11, _NO_PUBLICATION
    ),
    Mutation("hold after a VM is counted out or replaced", 10, _RESTART),
    Mutation("accept only with every acknowledgement", 6, _NO_JOIN),
    Mutation(
        "accept only in the own epoch",
        6,
        _TWO_WRITERS,
        _model.Start.ALONE,
    ),
)
"""One mutation for each guard of the configuration protocol."""
