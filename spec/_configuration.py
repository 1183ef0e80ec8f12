"""The configuration protocol: publish, adopt, acknowledge, accept, join, leave.

VMs are numbered. A VM serves while it holds a permission that has not run out
on its own clock: a registration in the table service, or a vouch of a
registered VM. Every message may be late, lost or repeated; a pause is any
stretch without a step; an outage of the table service is any stretch without
one of its steps. Time shows only through its consequences: a permission runs
out in an own step (`lapse`, `vouch_lapse`), and whoever waits for that waits
long enough on another clock, which `spec._clocks` shows.
"""

from collections.abc import Mapping
import enum
import functools
import itertools
from typing import Any

import z3

from spec import _system

GUARDS = (
    "adopt only a newer version",
    "write only over the head that was checked",
    "check the section against its base version",
    "read the change id back before trying again",
    "refuse only once the late write cannot take effect",
    "register only over the head that was adopted",
    "register only what the vouched for have",
    "serve only when registered or vouched for",
    "check the lease before serving",
    "check the vouch before serving",
    "renew only a row that still stands",
    "vouch only when registered",
    "vouch only for a VM that is not behind",
    "acknowledge only what the vouched for have",
    "forget a vouch only after it has lapsed",
    "leave only when nobody is vouched for",
    "stop serving before leaving",
    "leave only when the predecessor's vouches lapsed",
    "count a VM out only after its lease",
    "count a VM out only over the renewal observed",
    "hold after a VM is counted out or replaced",
    "accept only with every acknowledgement",
    "accept only in the own epoch",
)
"""Every guard of the protocol; each is removed by one mutation."""

_IDLE, _EDITED, _CHECKED, _SENT, _DONE, _REFUSED = range(6)
_VM_NUMBERS = ("version", "body", "seen", "seen_body", "ack", "sent_ack")
_VM_FLAGS = ("up", "reg", "lapsed", "row", "own", "ended", "hold", "suspect")
_VOUCH_FLAGS = ("vouch", "late", "old", "old_late", "dep")
_CHANGE_NUMBERS = ("stage", "base", "cond", "applied")
_PUBLISHERS = range(2)
_WRITERS = range(2)
_HIGHEST_BOUNDED = 6
_VERSIONS_BOUNDED = range(_HIGHEST_BOUNDED + 2)


class Start(enum.Enum):
    """A reachable state to start from."""

    ALONE = "VM 0 serves version 1, the others are off"
    JOINED_IN_OUTAGE = "VM 0 vouches for VM 1, both at version 1 of 2"


class _Model:
    """The specification for some number of VMs, with one guard removed."""

    def __init__(self, vms: int, removed: str | None, bounded: bool):
        self.vms = range(vms)
        self.pairs = list(itertools.permutations(self.vms, 2))
        self.removed = removed
        self.bounded = bounded
        self.number = z3.BitVecSort(4) if bounded else z3.IntSort()

    def guard(self, name: str, term: Any) -> Any:
        """Returns the term, or true if the guard is the one removed."""
        assert name in GUARDS, name
        return z3.BoolVal(True) if name == self.removed else term

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
        names += [f"{n}{p}" for n in _CHANGE_NUMBERS for p in _PUBLISHERS]
        names += [f"{n}{w}" for n in ("own_epoch", "target") for w in _WRITERS]
        return names

    def _flag_names(self) -> list[str]:
        names = ["stale_write", "reverted", "lost_update", "went_back"]
        names += [f"{n}{i}" for n in _VM_FLAGS for i in self.vms]
        names += [f"{n}{i}{j}" for n in _VOUCH_FLAGS for i, j in self.pairs]
        names += [f"sent{p}" for p in _PUBLISHERS]
        names += [f"got{w}{i}" for w in _WRITERS for i in self.vms]
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

    def actions(self, s: Mapping[str, Any]) -> list[_system.Action]:
        """Returns every action, its parameters filled in."""
        actions = [self._other_team(s)]
        for p in _PUBLISHERS:
            actions.extend(self._publisher(s, p))
        for i in self.vms:
            actions.extend(self._process(s, i))
            actions.extend(self._registration(s, i))
            actions.extend(self._counting_out(s, i))
        for i, j in self.pairs:
            actions.extend(self._vouching(s, i, j))
        for w in _WRITERS:
            actions.extend(self._writer(s, w))
        return actions

    def _publish(self, s: Mapping[str, Any], version: Any, body: int) -> dict:
        new = self.const(body)
        if not self.bounded:
            content = z3.Store(s["content"], version, new)
            return {"head": version, "content": content}
        contents = {
            f"content{v}": z3.If(version == v, new, s[f"content{v}"])
            for v in _VERSIONS_BOUNDED
        }
        return {"head": version, **contents}

    def _content(self, s: Mapping[str, Any], version: Any) -> Any:
        """Returns the content published as a version."""
        if not self.bounded:
            return z3.Select(s["content"], version)
        value = s["content0"]
        for v in _VERSIONS_BOUNDED:
            value = z3.If(version == v, s[f"content{v}"], value)
        return value

    def _other_team(self, s: Mapping[str, Any]) -> _system.Action:
        updates = self._publish(s, s["head"] + 1, 3)
        room = s["head"] < _HIGHEST_BOUNDED if self.bounded else True
        return _system.Action("another team publishes", room, updates)

    def _publisher(self, s: Mapping[str, Any], p: int) -> list[_system.Action]:
        stage, base, cond = (s[f"{n}{p}"] for n in ("stage", "base", "cond"))
        applied, sent = s[f"applied{p}"], s[f"sent{p}"]
        unchanged = self.guard(
            "check the section against its base version", base == s["section"]
        )
        still = self.guard(
            "write only over the head that was checked", cond == s["head"]
        )
        absent = self.guard(
            "read the change id back before trying again", applied == 0
        )
        too_late = self.guard(
            "refuse only once the late write cannot take effect",
            z3.Not(cond == s["head"]),
        )
        room = cond < _HIGHEST_BOUNDED if self.bounded else True

        def step(name: str, guard: Any, **updates: Any) -> _system.Action:
            named = {
                f"{key}{p}": self.const(v) if isinstance(v, int) else v
                for key, v in updates.items()
            }
            return _system.Action(f"publisher {p} {name}", guard, named)

        take_effect = _system.Action(
            f"publisher {p}'s write takes effect",
            z3.And(sent, still, room),
            {
                **self._publish(s, cond + 1, p + 1),
                "section": s["section"] + 1,
                f"applied{p}": applied + 1,
                "lost_update": z3.Or(
                    s["lost_update"], z3.Not(base == s["section"])
                ),
            },
        )
        return [
            step("edits", stage == _IDLE, stage=_EDITED, base=s["section"]),
            step(
                "checks",
                z3.And(stage == _EDITED, unchanged),
                stage=_CHECKED,
                cond=s["head"],
            ),
            step(
                "is refused",
                z3.And(stage == _EDITED, base != s["section"]),
                stage=_REFUSED,
            ),
            step(
                "sends", stage == _CHECKED, stage=_SENT, sent=z3.BoolVal(True)
            ),
            take_effect,
            step("is done", z3.And(stage == _SENT, applied > 0), stage=_DONE),
            step(
                "starts over",
                z3.And(stage == _SENT, absent, cond != s["head"]),
                stage=_EDITED,
                sent=z3.BoolVal(False),
            ),
            step(
                "gives up",
                z3.And(stage == _SENT, applied == 0, too_late),
                stage=_REFUSED,
            ),
        ]

    def _process(self, s: Mapping[str, Any], i: int) -> list[_system.Action]:
        seen, version = s[f"seen{i}"], s[f"version{i}"]
        newer = self.guard("adopt only a newer version", seen > version)
        no = z3.BoolVal(False)
        stop: dict[str, Any] = {
            f"{name}{i}": no for name in ("up", "reg", "lapsed", "own")
        }
        for j in self.vms:
            if j != i:
                stop |= self._forget(s, i, j)
        zero = self.const(0)
        fresh = {
            f"{name}{i}": zero
            for name in ("version", "body", "seen", "seen_body")
        }
        head_body = self._content(s, s["head"])
        return [
            _system.Action(
                f"VM {i} starts",
                z3.Not(s[f"up{i}"]),
                {f"up{i}": z3.BoolVal(True), **fresh},
            ),
            _system.Action(f"VM {i} crashes", s[f"up{i}"], stop),
            _system.Action(
                f"VM {i} reads the head",
                s[f"up{i}"],
                {f"seen{i}": s["head"], f"seen_body{i}": head_body},
            ),
            _system.Action(
                f"VM {i} adopts what it read",
                z3.And(s[f"up{i}"], seen > 0, newer),
                {
                    f"version{i}": seen,
                    f"body{i}": s[f"seen_body{i}"],
                    "went_back": z3.Or(s["went_back"], seen < version),
                },
            ),
        ]

    def _forget(self, s: Mapping[str, Any], i: int, j: int) -> dict[str, Any]:
        """Returns what changes between i and j when process i ends."""
        no = z3.BoolVal(False)
        given = z3.And(s[f"vouch{j}{i}"], z3.Not(s[f"late{j}{i}"]))
        lasting = z3.And(s[f"old{j}{i}"], z3.Not(s[f"old_late{j}{i}"]))
        return {
            f"vouch{i}{j}": no,
            f"old{i}{j}": no,
            f"dep{j}{i}": no,
            f"vouch{j}{i}": no,
            f"old{j}{i}": z3.Or(s[f"old{j}{i}"], s[f"vouch{j}{i}"]),
            f"old_late{j}{i}": z3.Not(z3.Or(given, lasting)),
        }

    def _registration(
        self, s: Mapping[str, Any], i: int
    ) -> list[_system.Action]:
        yes, no = z3.BoolVal(True), z3.BoolVal(False)
        up, row, own = s[f"up{i}"], s[f"row{i}"], s[f"own{i}"]
        others = [j for j in self.vms if j != i]
        registers = z3.And(
            up,
            s[f"version{i}"] > 0,
            z3.Not(z3.And(row, own, z3.Not(s[f"ended{i}"]))),
            self.guard(
                "register only over the head that was adopted",
                s[f"version{i}"] == s["head"],
            ),
            self.guard(
                "register only what the vouched for have",
                self._covered(s, i, others),
            ),
        )
        registered = {
            f"row{i}": yes,
            f"own{i}": yes,
            f"ended{i}": no,
            f"suspect{i}": no,
            f"ack{i}": s[f"version{i}"],
            f"hold{i}": z3.Or(s[f"hold{i}"], z3.And(row, z3.Not(own))),
        }
        serving = {f"reg{i}": yes, f"lapsed{i}": no}
        stands = self.guard(
            "renew only a row that still stands",
            z3.And(row, own, z3.Not(s[f"ended{i}"])),
        )
        spared = self.removed == "count a VM out only over the renewal observed"
        renewed = {} if spared else {f"suspect{i}": no}
        return [
            _system.Action(
                f"VM {i} registers", registers, {**registered, **serving}
            ),
            _system.Action(
                f"VM {i} registers, answer lost", registers, registered
            ),
            _system.Action(
                f"VM {i} renews", z3.And(up, stands), {**renewed, **serving}
            ),
            _system.Action(
                f"VM {i}'s lease lapses", s[f"reg{i}"], {f"lapsed{i}": yes}
            ),
            self._acknowledge(s, i, others),
            _system.Action(
                f"VM {i}'s acknowledgement arrives",
                z3.And(row, s[f"sent_ack{i}"] > s[f"ack{i}"]),
                {f"ack{i}": s[f"sent_ack{i}"]},
            ),
            self._leave(s, i, others),
        ]

    def _covered(self, s: Mapping[str, Any], i: int, others: list[int]) -> Any:
        """Returns whether all that VM i vouches for have its version."""
        return z3.And(
            *(
                z3.Implies(
                    s[f"dep{j}{i}"], s[f"version{j}"] >= s[f"version{i}"]
                )
                for j in others
            )
        )

    def _acknowledge(
        self, s: Mapping[str, Any], i: int, others: list[int]
    ) -> _system.Action:
        covered = self.guard(
            "acknowledge only what the vouched for have",
            self._covered(s, i, others),
        )
        return _system.Action(
            f"VM {i} acknowledges",
            z3.And(s[f"up{i}"], s[f"reg{i}"], covered),
            {f"sent_ack{i}": s[f"version{i}"]},
        )

    def _leave(
        self, s: Mapping[str, Any], i: int, others: list[int]
    ) -> _system.Action:
        nobody = self.guard(
            "leave only when nobody is vouched for",
            z3.And(*(z3.Not(s[f"dep{j}{i}"]) for j in others)),
        )
        released = self.guard(
            "leave only when the predecessor's vouches lapsed",
            z3.Not(s[f"hold{i}"]),
        )
        no = z3.BoolVal(False)
        updates: dict[str, Any] = {f"{n}{i}": no for n in ("row", "ended")}
        if self.removed != "stop serving before leaving":
            updates |= {f"reg{i}": no}
            updates |= {f"vouch{i}{j}": no for j in others}
            updates |= {f"old{i}{j}": no for j in others}
        stands = z3.And(s[f"row{i}"], s[f"own{i}"], z3.Not(s[f"ended{i}"]))
        return _system.Action(
            f"VM {i} leaves",
            z3.And(s[f"up{i}"], s[f"reg{i}"], stands, nobody, released),
            updates,
        )

    def _counting_out(
        self, s: Mapping[str, Any], i: int
    ) -> list[_system.Action]:
        yes, no = z3.BoolVal(True), z3.BoolVal(False)
        row, ended, hold = s[f"row{i}"], s[f"ended{i}"], s[f"hold{i}"]
        stopped = self.guard(
            "count a VM out only after its lease",
            z3.Or(z3.Not(s[f"reg{i}"]), s[f"lapsed{i}"]),
        )
        waited = [z3.BoolVal(True)]
        for j in self.vms:
            if j != i:
                waited.append(self._no_vouch_lasts(s, j, i))
        released = self.guard(
            "hold after a VM is counted out or replaced", z3.And(*waited)
        )
        return [
            _system.Action(
                f"VM {i} is seen to have stopped",
                z3.And(row, z3.Not(ended), stopped),
                {f"suspect{i}": yes},
            ),
            _system.Action(
                f"VM {i} is counted out",
                z3.And(row, z3.Not(ended), s[f"suspect{i}"]),
                {f"ended{i}": yes, f"hold{i}": yes, f"suspect{i}": no},
            ),
            _system.Action(
                f"VM {i}'s hold ends", z3.And(hold, released), {f"hold{i}": no}
            ),
            _system.Action(
                f"VM {i}'s row is removed",
                z3.And(row, ended, z3.Not(hold)),
                {f"row{i}": no, f"ended{i}": no},
            ),
        ]

    def _no_vouch_lasts(self, s: Mapping[str, Any], j: int, i: int) -> Any:
        """Returns whether what i's row vouched j for has lapsed."""
        old = z3.And(s[f"old{j}{i}"], z3.Not(s[f"old_late{j}{i}"]))
        given = z3.And(s[f"vouch{j}{i}"], z3.Not(s[f"late{j}{i}"]))
        return z3.Not(z3.Or(old, z3.And(s[f"ended{i}"], given)))

    def _vouching(
        self, s: Mapping[str, Any], i: int, j: int
    ) -> list[_system.Action]:
        yes, no = z3.BoolVal(True), z3.BoolVal(False)
        both = z3.And(s[f"up{i}"], s[f"up{j}"], s[f"version{j}"] > 0)
        registered = self.guard(
            "vouch only when registered",
            z3.And(s[f"reg{j}"], z3.Not(s[f"lapsed{j}"])),
        )
        not_behind = self.guard(
            "vouch only for a VM that is not behind",
            s[f"version{i}"] >= s[f"version{j}"],
        )
        lapsed = self.guard(
            "forget a vouch only after it has lapsed",
            z3.Or(z3.Not(s[f"vouch{i}{j}"]), s[f"late{i}{j}"]),
        )
        return [
            _system.Action(
                f"VM {i} asks VM {j} for its version",
                both,
                {f"seen{i}": s[f"version{j}"], f"seen_body{i}": s[f"body{j}"]},
            ),
            _system.Action(
                f"VM {j} vouches for VM {i}",
                z3.And(both, s[f"version{i}"] > 0, registered, not_behind),
                {f"vouch{i}{j}": yes, f"late{i}{j}": no, f"dep{i}{j}": yes},
            ),
            _system.Action(
                f"VM {j}'s vouch for VM {i} lapses",
                s[f"vouch{i}{j}"],
                {f"late{i}{j}": yes},
            ),
            _system.Action(
                f"the vouch for VM {i} of VM {j}'s predecessor lapses",
                s[f"old{i}{j}"],
                {f"old_late{i}{j}": yes},
            ),
            _system.Action(
                f"VM {j} forgets its vouch for VM {i}",
                z3.And(s[f"dep{i}{j}"], lapsed),
                {f"dep{i}{j}": no},
            ),
        ]

    def _writer(self, s: Mapping[str, Any], w: int) -> list[_system.Action]:
        target, own_epoch = s[f"target{w}"], s[f"own_epoch{w}"]
        nothing = {f"got{w}{i}": z3.BoolVal(False) for i in self.vms}
        everyone = self.guard(
            "accept only with every acknowledgement",
            z3.And(*(s[f"got{w}{i}"] for i in self.vms)),
        )
        in_epoch = self.guard(
            "accept only in the own epoch", own_epoch == s["epoch"]
        )
        room = s["epoch"] < _HIGHEST_BOUNDED if self.bounded else True
        steps = [
            _system.Action(
                f"writer {w} takes the role",
                room,
                {
                    "epoch": s["epoch"] + 1,
                    f"own_epoch{w}": s["epoch"] + 1,
                    f"target{w}": self.const(0),
                    **nothing,
                },
            ),
            _system.Action(
                f"writer {w} reads the head",
                own_epoch > 0,
                {f"target{w}": s["head"], **nothing},
            ),
            _system.Action(
                f"writer {w} writes the receipt",
                z3.And(own_epoch > 0, target > 0, everyone, in_epoch),
                {
                    "accepted": target,
                    "stale_write": z3.Or(
                        s["stale_write"], own_epoch != s["epoch"]
                    ),
                    "reverted": z3.Or(s["reverted"], target < s["accepted"]),
                },
            ),
        ]
        for i in self.vms:
            has_it = z3.And(s[f"ack{i}"] >= target, z3.Not(s[f"hold{i}"]))
            steps.append(
                _system.Action(
                    f"writer {w} reads VM {i}'s row",
                    z3.And(target > 0, z3.Or(z3.Not(s[f"row{i}"]), has_it)),
                    {f"got{w}{i}": z3.BoolVal(True)},
                )
            )
        return steps

    def invariants(self, s: Mapping[str, Any]) -> dict[str, Any]:
        """Returns what the protocol promises."""
        in_force, one_content, settled = [], [], []
        for i in self.vms:
            version = s[f"version{i}"]
            in_force.append(
                z3.Implies(self.serves(s, i), version >= s["accepted"])
            )
            body = self._content(s, version)
            one_content.append(z3.Implies(version > 0, s[f"body{i}"] == body))
        for p in _PUBLISHERS:
            stage, applied = s[f"stage{p}"], s[f"applied{p}"]
            settled.append(applied <= 1)
            settled.append(z3.Implies(stage == _DONE, applied == 1))
            settled.append(z3.Implies(stage == _REFUSED, applied == 0))
        return {
            "no VM serves below the accepted version": z3.And(*in_force),
            "no process goes back": z3.Not(s["went_back"]),
            "one content per version": z3.And(*one_content),
            "no write of a stale holder counts": z3.Not(s["stale_write"]),
            "the accepted version never goes back": z3.Not(s["reverted"]),
            "no change is overwritten unseen": z3.Not(s["lost_update"]),
            "a change is told as it ended, and made once": z3.And(*settled),
        }

    def strengthening(self, s: Mapping[str, Any]) -> dict[str, Any]:
        """Returns what makes the invariants inductive."""
        terms: dict[str, Any] = {
            "accepted is written": z3.And(
                s["accepted"] <= s["head"], s["accepted"] >= 0
            ),
        }
        for i in self.vms:
            terms |= self._vm_facts(s, i)
        for i, j in self.pairs:
            terms |= self._vouch_facts(s, i, j)
        for p in _PUBLISHERS:
            terms |= self._publisher_facts(s, p)
        for w in _WRITERS:
            terms |= self._writer_facts(s, w)
        return terms

    def _stands(self, s: Mapping[str, Any], i: int) -> Any:
        """Returns whether the running process of VM i has a row in use."""
        return z3.And(s[f"row{i}"], s[f"own{i}"], z3.Not(s[f"ended{i}"]))

    def _vm_facts(self, s: Mapping[str, Any], i: int) -> dict[str, Any]:
        head, version = s["head"], s[f"version{i}"]
        row, own, up = s[f"row{i}"], s[f"own{i}"], s[f"up{i}"]
        numbers = ("version", "seen", "ack", "sent_ack")
        registered = z3.And(s[f"reg{i}"], z3.Not(s[f"lapsed{i}"]))
        seen_body = self._content(s, s[f"seen{i}"])
        return {
            f"{i}: numbers are written": z3.And(
                *(
                    z3.And(s[f"{n}{i}"] >= 0, s[f"{n}{i}"] <= head)
                    for n in numbers
                )
            ),
            f"{i}: what it read is the content": z3.Implies(
                s[f"seen{i}"] > 0, s[f"seen_body{i}"] == seen_body
            ),
            f"{i}: registered means a row that stands": z3.Implies(
                registered, z3.And(up, self._stands(s, i))
            ),
            f"{i}: a row that stands is not behind": z3.Implies(
                self._stands(s, i), version >= s["accepted"]
            ),
            f"{i}: only a running process registers": z3.And(
                z3.Implies(s[f"reg{i}"], z3.And(up, own)),
                z3.Implies(own, z3.And(up, version > 0)),
            ),
            f"{i}: never behind its acknowledgement": z3.Implies(
                own,
                z3.And(
                    z3.Implies(row, version >= s[f"ack{i}"]),
                    version >= s[f"sent_ack{i}"],
                ),
            ),
            f"{i}: counted out only when stopped": z3.Implies(
                z3.And(s[f"suspect{i}"], row), z3.Not(registered)
            ),
        }

    def _vouch_facts(
        self, s: Mapping[str, Any], i: int, j: int
    ) -> dict[str, Any]:
        given = z3.And(s[f"vouch{i}{j}"], z3.Not(s[f"late{i}{j}"]))
        old = z3.And(s[f"old{i}{j}"], z3.Not(s[f"old_late{i}{j}"]))
        version, row, hold = s[f"version{i}"], s[f"row{j}"], s[f"hold{j}"]
        not_behind = z3.And(
            version >= s[f"ack{j}"], version >= s[f"sent_ack{j}"]
        )
        open_end = z3.And(z3.Not(s[f"own{j}"]), z3.Not(s[f"ended{j}"]))
        return {
            f"{j} vouches for {i}: on record, not behind": z3.Implies(
                given,
                z3.And(
                    s[f"up{i}"],
                    s[f"dep{i}{j}"],
                    row,
                    s[f"own{j}"],
                    not_behind,
                    z3.Implies(s[f"ended{j}"], hold),
                    version > 0,
                ),
            ),
            f"{j}'s predecessor vouched for {i}: held": z3.Implies(
                old,
                z3.And(
                    s[f"up{i}"],
                    version > 0,
                    row,
                    z3.Or(hold, z3.And(open_end, not_behind)),
                ),
            ),
        }

    def _publisher_facts(self, s: Mapping[str, Any], p: int) -> dict[str, Any]:
        stage, applied, cond = (
            s[f"{n}{p}"] for n in ("stage", "applied", "cond")
        )
        sent, head = s[f"sent{p}"], s["head"]
        return {
            f"publisher {p}: numbers": z3.And(
                applied >= 0,
                s[f"base{p}"] <= s["section"],
                cond <= head,
                cond >= 0,
                head >= 0,
            ),
            f"publisher {p}: the section has not moved unseen": z3.Implies(
                z3.And(z3.Or(stage == _CHECKED, sent), cond == head),
                s[f"base{p}"] == s["section"],
            ),
            f"publisher {p}: a write counts once": z3.Implies(
                applied > 0, z3.And(sent, cond < head, stage >= _SENT)
            ),
            f"publisher {p}: only what was sent arrives": z3.And(
                z3.Implies(stage <= _CHECKED, z3.Not(sent)),
                z3.Implies(stage == _SENT, sent),
                z3.Implies(
                    z3.And(stage == _REFUSED, sent),
                    z3.And(cond < head, applied == 0),
                ),
            ),
        }

    def _writer_facts(self, s: Mapping[str, Any], w: int) -> dict[str, Any]:
        target = s[f"target{w}"]
        own_epoch = s[f"own_epoch{w}"]
        terms: dict[str, Any] = {
            f"writer {w}: numbers": z3.And(
                target >= 0, target <= s["head"], own_epoch <= s["epoch"]
            ),
            f"writer {w}: the holder is not behind": z3.Implies(
                z3.And(own_epoch == s["epoch"], target > 0, own_epoch > 0),
                target >= s["accepted"],
            ),
        }
        if w > 0:
            terms["one holder an epoch"] = z3.Or(
                own_epoch != s["own_epoch0"], own_epoch == 0
            )
        for i in self.vms:
            covered = [
                z3.Implies(self._stands(s, i), s[f"version{i}"] >= target)
            ]
            for j in self.vms:
                if j != i:
                    vouched = z3.Or(
                        z3.And(s[f"vouch{j}{i}"], z3.Not(s[f"late{j}{i}"])),
                        z3.And(s[f"old{j}{i}"], z3.Not(s[f"old_late{j}{i}"])),
                    )
                    covered.append(
                        z3.Implies(vouched, s[f"version{j}"] >= target)
                    )
            terms[f"writer {w}: {i} and its vouches have it"] = z3.Implies(
                s[f"got{w}{i}"], z3.And(*covered)
            )
        return terms


def system(
    vms: int,
    removed: str | None = None,
    bounded: bool = False,
    start: Start = Start.ALONE,
    absent: tuple[str, ...] = (),
) -> _system.System:
    """Returns the specification.

    Args:
        vms: how many VMs there are.
        removed: the guard that a mutation removes, if any.
        bounded: numbers of four bits instead of all integers, for checking to
            a bounded depth.
        start: the state to start from.
        absent: actors who take no step in a bounded check.
    """
    model = _Model(vms, removed, bounded)
    return _system.System(
        name="configuration",
        sorts=model.sorts(),
        initial=model.initial(start),
        actions=model.actions,
        invariants=model.invariants,
        strengthening=model.strengthening,
        absent=absent,
    )
