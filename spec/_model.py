"""The state of the configuration protocol and what is said of it often."""

from collections.abc import Mapping
import enum
import functools
import itertools
from typing import Any

import z3

_VM_NUMBERS = ("version", "body", "seen", "seen_body", "ack", "sent_ack")
_VM_FLAGS = (
    *("up", "reg", "lapsed", "row", "own"),
    *("ended", "hold", "suspect", "bye", "bye_valid"),
)
_VOUCH_FLAGS = ("vouch", "late", "old", "old_late", "dep")
_CHANGE_NUMBERS = ("stage", "base", "cond", "applied")
PUBLISHERS = range(2)
WRITERS = range(2)
HIGHEST_BOUNDED = 6
_VERSIONS_BOUNDED = range(HIGHEST_BOUNDED + 2)


class Start(enum.Enum):
    """A reachable state to start from."""

    ALONE = "VM 0 serves version 1, the others are off"
    JOINED_IN_OUTAGE = "VM 0 vouches for VM 1, both at version 1 of 2"


class Model:
    """The specification for some number of VMs, with one guard removed."""

    def __init__(self, vms: int, removed: str | None, bounded: bool):
        self.vms = range(vms)
        self.pairs = list(itertools.permutations(self.vms, 2))
        self.removed = removed
        self.bounded = bounded
        self.asked: set[str] = set()
        """The guards that the actions and invariants asked for."""

        self.number = z3.BitVecSort(4) if bounded else z3.IntSort()

    def guard(self, name: str, term: Any) -> Any:
        """Returns the term, or true if the guard is the one removed."""
        return z3.BoolVal(True) if self.without(name) else term

    def without(self, name: str) -> bool:
        """Returns whether the guard is the one removed."""
        self.asked.add(name)
        return name == self.removed

    def const(self, value: int) -> Any:
        """Returns a number of the sort in use."""
        return z3.BitVecVal(value, 4) if self.bounded else z3.IntVal(value)

    def sorts(self) -> dict[str, Any]:
        """Returns the variables."""
        flag = z3.BoolSort()
        sorts = dict.fromkeys(self._number_names(), self.number)
        sorts |= dict.fromkeys(self._flag_names(), flag)
        if not self.bounded:
            sorts["content"] = z3.ArraySort(self.number, self.number)
        return sorts

    def _number_names(self) -> list[str]:
        names = ["head", "section", "accepted", "epoch"]
        if self.bounded:
            names += [f"content{version}" for version in _VERSIONS_BOUNDED]
        names += [f"{n}{i}" for n in _VM_NUMBERS for i in self.vms]
        names += [f"{n}{p}" for n in _CHANGE_NUMBERS for p in PUBLISHERS]
        names += [f"{n}{w}" for n in ("own_epoch", "target") for w in WRITERS]
        return names

    def _flag_names(self) -> list[str]:
        names = ["stale_write", "reverted", "lost_update", "went_back"]
        names += [f"{n}{i}" for n in _VM_FLAGS for i in self.vms]
        names += [f"{n}{i}{j}" for n in _VOUCH_FLAGS for i, j in self.pairs]
        names += [f"sent{p}" for p in PUBLISHERS]
        names += [f"got{w}{i}" for w in WRITERS for i in self.vms]
        return names

    def initial(self, start: Start) -> dict[str, Any]:
        """Returns the value of each variable at the start."""
        values: dict[str, Any] = {
            name: z3.BoolVal(False) if sort == z3.BoolSort() else self.const(0)
            for name, sort in self.sorts().items()
        }
        one, yes = self.const(1), z3.BoolVal(True)
        if self.bounded:
            values |= {"content1": one, "content2": one}
        else:
            values["content"] = z3.K(self.number, one)
        for name in ("head", "version0", "body0", "ack0"):
            values[name] = one
        for name in ("up0", "reg0", "row0", "own0"):
            values[name] = yes
        values["epoch"] = values["own_epoch0"] = one
        if start is Start.JOINED_IN_OUTAGE:
            values["head"] = self.const(2)
            values["version1"] = values["body1"] = one
            values["up1"] = values["vouch10"] = values["dep10"] = yes
        return values

    def serves(self, s: Mapping[str, Any], i: int) -> Any:
        """Returns whether a VM answers callers in this state."""
        in_time = self.guard(
            "check the lease before serving", z3.Not(s[f"lapsed{i}"])
        )
        ways = [z3.And(s[f"reg{i}"], in_time)]
        for j in self.vms:
            if j != i:
                ways.append(self._vouched(s, i, j))
        allowed = self.guard(
            "serve only when registered or vouched for",
            z3.Or(*ways),
        )
        return z3.And(s[f"up{i}"], s[f"version{i}"] > 0, allowed)

    def _vouched(self, s: Mapping[str, Any], i: int, j: int) -> Any:
        check = functools.partial(self.guard, "check the vouch before serving")
        return z3.Or(
            z3.And(s[f"vouch{i}{j}"], check(z3.Not(s[f"late{i}{j}"]))),
            z3.And(s[f"old{i}{j}"], check(z3.Not(s[f"old_late{i}{j}"]))),
        )

    def publish(self, s: Mapping[str, Any], version: Any, body: int) -> dict:
        """Returns what changes when a body is published as a version."""
        new = self.const(body)
        if not self.bounded:
            content = z3.Store(s["content"], version, new)
            return {"head": version, "content": content}
        contents = {
            f"content{v}": z3.If(version == v, new, s[f"content{v}"])
            for v in _VERSIONS_BOUNDED
        }
        return {"head": version, **contents}

    def content(self, s: Mapping[str, Any], version: Any) -> Any:
        """Returns the content published as a version."""
        if not self.bounded:
            return z3.Select(s["content"], version)
        value = s["content0"]
        for v in _VERSIONS_BOUNDED:
            value = z3.If(version == v, s[f"content{v}"], value)
        return value

    def covered(self, s: Mapping[str, Any], i: int, others: list[int]) -> Any:
        """Returns whether all that VM i vouches for have its version."""
        return z3.And(
            *(
                z3.Implies(
                    s[f"dep{j}{i}"], s[f"version{j}"] >= s[f"version{i}"]
                )
                for j in others
            )
        )

    def stands(self, s: Mapping[str, Any], i: int) -> Any:
        """Returns whether the running process of VM i has a row in use."""
        return z3.And(s[f"row{i}"], s[f"own{i}"], z3.Not(s[f"ended{i}"]))
