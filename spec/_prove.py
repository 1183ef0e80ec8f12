"""Shows that the invariants hold and that every mutation is caught."""

import argparse
from collections.abc import Iterator
import dataclasses
import enum
import json
import sys

from spec import _clocks
from spec import _configuration
from spec import _model
from spec import _mutations
from spec import _quotas
from spec import _requests
from spec import _system

_REQUEST_MUTATION_STEPS = 8
_REQUEST_STEPS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Effort:
    """How much is checked."""

    vms: tuple[int, ...]
    """Sizes of fleet for the inductive check."""

    steps: int
    """Depth of the bounded check of the configuration protocol."""


QUICK = Effort(vms=(2,), steps=4)
FULL = Effort(vms=(2, 3, 4), steps=10)


class Method(enum.Enum):
    """How a line was checked."""

    INDUCTION = "induction"
    """For runs of any length, by an inductive invariant."""

    BOUNDED = "bounded"
    """For runs of at most the stated number of steps."""

    REAL_TIMES = "real times"
    """For all real times and clock rates."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One line of the proof."""

    subject: str
    """The protocol and, for a mutation, the guard that is removed."""

    method: Method
    mutation: bool
    result: _system.Result

    @property
    def as_expected(self) -> bool:
        """Whether the protocol holds, or the mutation is caught."""
        expected = (
            _system.Verdict.VIOLATED if self.mutation else _system.Verdict.HOLDS
        )
        return self.result.verdict is expected


def prove(effort: Effort) -> Iterator[Finding]:
    """Checks the protocols and every mutation, one finding at a time."""
    yield from _protocols(effort)
    yield from _mutants()


def _protocols(effort: Effort) -> Iterator[Finding]:
    for vms in effort.vms:
        result = _system.check_inductive(_configuration.system(vms))
        subject = f"configuration, {vms} VMs"
        yield Finding(subject, Method.INDUCTION, False, result)
    for start in _model.Start:
        system = _configuration.system(2, bounded=True, start=start)
        result = _system.check_bounded(system, effort.steps)
        subject = f"configuration, 2 VMs, {start.value}"
        yield Finding(subject, Method.BOUNDED, False, result)
    for free in (False, True):
        system = _requests.system(free)
        result = _system.check_inductive(system)
        yield Finding(system.name, Method.INDUCTION, False, result)
        result = _system.check_bounded(system, _REQUEST_STEPS)
        yield Finding(system.name, Method.BOUNDED, False, result)
    yield Finding("clocks", Method.REAL_TIMES, False, _clocks.check())
    result = _system.check_inductive(_quotas.system())
    yield Finding("quota shard", Method.INDUCTION, False, result)
    result = _quotas.check_lent()
    yield Finding("quota token", Method.REAL_TIMES, False, result)


def _mutants() -> Iterator[Finding]:
    for mutation in _mutations.CONFIGURATION:
        subject = f"configuration without: {mutation.guard}"
        yield Finding(subject, Method.BOUNDED, True, mutation.check())
    for guard in _requests.BOUND_GUARDS:
        yield _request_mutant(guard, free=False)
    for guard in _requests.FREE_GUARDS:
        yield _request_mutant(guard, free=True)
    for guard in _clocks.GUARDS:
        result = _clocks.check(guard)
        subject = f"clocks without: {guard}"
        yield Finding(subject, Method.REAL_TIMES, True, result)
    for guard in _quotas.BUCKET_GUARDS:
        result = _system.check_inductive(_quotas.system(guard))
        subject = f"quota shard without: {guard}"
        yield Finding(subject, Method.INDUCTION, True, result)
    for guard in _quotas.LENT_GUARDS:
        result = _quotas.check_lent(guard)
        subject = f"quota token without: {guard}"
        yield Finding(subject, Method.REAL_TIMES, True, result)


def _request_mutant(guard: str, free: bool) -> Finding:
    system = _requests.system(free, guard)
    result = _system.check_bounded(system, _REQUEST_MUTATION_STEPS)
    return Finding(
        f"{system.name} without: {guard}", Method.BOUNDED, True, result
    )


def _as_json(finding: Finding) -> str:
    result = finding.result
    return json.dumps(
        {
            "subject": finding.subject,
            "method": finding.method.value,
            "mutation": finding.mutation,
            "as_expected": finding.as_expected,
            "verdict": result.verdict.value,
            "depth": result.depth,
            "violated": result.violated,
            "trace": result.trace,
        }
    )


def _as_text(finding: Finding) -> str:
    result = finding.result
    mark = "ok  " if finding.as_expected else "FAIL"
    how = finding.method.value
    if finding.method is Method.BOUNDED:
        how = f"{how}, {result.depth} steps"
    lines = [f"{mark} {finding.subject}: {result.verdict.value} ({how})"]
    lines.extend(f"       breaks: {name}" for name in result.violated)
    lines.extend(
        f"       {i}. {name}" for i, name in enumerate(result.trace, 1)
    )
    return "\n".join(lines)


def main(argv: list[str] | None = None) -> int:
    """Prints every finding; returns 0 if all are as expected, else 1."""
    parser = argparse.ArgumentParser(prog="prove", description=__doc__)
    parser.add_argument("--json", action="store_true", help="JSON lines")
    parser.add_argument(
        "--quick", action="store_true", help="the form that CI runs"
    )
    options = parser.parse_args(argv)
    form = _as_json if options.json else _as_text
    failed = 0
    for finding in prove(QUICK if options.quick else FULL):
        print(form(finding), flush=True)
        failed += not finding.as_expected
    print(f"{failed} not as expected", file=sys.stderr)
    return 1 if failed else 0
