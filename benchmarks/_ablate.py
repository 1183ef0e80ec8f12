"""Plays days of the users' bench with one mechanism of the product off.

Each mechanism is switched off by edits of single lines in a copy of the
committed sources, so the product carries no switches for it. The table is made
from the journal entries of all plays so far, which are kept in `journal/`.

    scripts/ablate /tmp/copies --bench PATH/fleetbench --seed 7 \
        --site SITE.toml --day trouble-1 --day scale-1 --off none --off leeway

A relative path of a site counts from the copies. Exit codes: 0 all days were
played, 1 a play failed, 2 the arguments were wrong or an edit does not apply.
"""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from concurrent import futures
import dataclasses
import itertools
import json
import os
import pathlib
import shutil
import statistics
import subprocess
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_JOURNAL = "journal"
_BUILT = "target"
_NONE = "none"
_WHY = "ablation, trial: "


class EditError(Exception):
    """An edit does not apply to the sources."""


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """A line of a source file, and what stands in its place."""

    path: str
    before: str
    after: str


_CHOICE = "dragonflystack/entry/_choice.py"
_DISPATCH = "dragonflystack/entry/_dispatch.py"
_SETTINGS = "dragonflystack/entry/_settings.py"
_NEWS = "dragonflystack/entry/_replication.py"
_WATCHERS = Edit(
    _NEWS,
    "    return max(_MIN_WATCHERS, math.ceil(vms * _WATCHER_FRACTION))",
    "    return vms",
)

MECHANISMS: Mapping[str, tuple[Edit, ...]] = {
    _NONE: (),
    "failure-penalty": (
        Edit(
            _SETTINGS,
            "    failure_penalty: float = 3.0",
            "    failure_penalty: float = 0.0",
        ),
    ),
    "suspicion": (
        Edit(
            "dragonflystack/entry/_servers.py",
            "            self.suspect_since = now",
            "            self.suspect_since = None",
        ),
    ),
    "cold-pace": (
        Edit(
            _DISPATCH,
            "        return policy is not None and"
            " self._cold.may_send(server, policy, now)",
            "        return policy is not None",
        ),
    ),
    "retry-budgets": (
        Edit(
            _DISPATCH,
            "        return self._budgets.of(service).take(now)",
            "        return True",
        ),
    ),
    "all-watch": (_WATCHERS,),
    "two-watchers": (dataclasses.replace(_WATCHERS, after="    return 2"),),
    "news": (
        _WATCHERS,
        Edit(
            "dragonflystack/entryd/_heartbeats.py",
            "            daemon.updates[stream].announce"
            "(_daemon.Endpoint(*addr))",
            "            pass",
        ),
    ),
    "connections-kept": (
        Edit(
            "dragonflystack/entryd/_connections.py",
            "_MAX_IDLE_PER_SERVER = 8",
            "_MAX_IDLE_PER_SERVER = 0",
        ),
    ),
    "leeway": (
        Edit(
            "dragonflystack/entry/_shares.py",
            "_LEEWAY_PART = 0.12",
            "_LEEWAY_PART = 0.0",
        ),
    ),
    "waits-met": (
        Edit(
            _CHOICE,
            "            wait = max(wait, estimate)",
            "            wait = max(wait, min(estimate, _ZERO))",
        ),
    ),
    "too-late": (
        Edit(
            "dragonflystack/entry/_exchange.py",
            "        if not _is_in_time(candidate, self.deadline - now):",
            "        if False:",
        ),
    ),
    "remote-penalty": (
        Edit(
            _SETTINGS,
            "    remote_penalty: datetime.timedelta = _ms(40)",
            "    remote_penalty: datetime.timedelta = _ms(0)",
        ),
    ),
}
"""The edits that switch each mechanism off."""


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """What a journal entry tells of one day."""

    site: str
    day: str
    mechanism: str
    entry: str
    worth: float
    served: float
    rules: tuple[str, ...]
    """The rules that were broken."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Bench:
    """How days are played."""

    program: pathlib.Path
    folder: pathlib.Path
    seed: int
    repeats: int


def apply(root: pathlib.Path, edit: Edit) -> None:
    """Replaces a line of a source file.

    Raises:
        EditError: if the file does not hold the line exactly once.
    """
    path = root / edit.path
    lines = path.read_text().split("\n")
    found = lines.count(edit.before)
    if found != 1:
        raise EditError(
            f"{edit.path}: expected the line {edit.before!r} once,"
            f" found it {found} times"
        )
    lines[lines.index(edit.before)] = edit.after
    path.write_text("\n".join(lines))


def make_copy(target: pathlib.Path, mechanism: str) -> None:
    """Copies the committed sources and what was built, and edits the copy.

    A copy that exists is made anew; its journal entries were kept.

    Raises:
        EditError: if an edit does not apply.
    """
    shutil.rmtree(target, ignore_errors=True)
    clone = ("git", "clone", "--quiet", str(_ROOT), str(target))
    subprocess.run(clone, check=True)
    for edit in MECHANISMS[mechanism]:
        apply(target, edit)
    if (_ROOT / _BUILT).is_dir():
        shutil.copytree(_ROOT / _BUILT, target / _BUILT, symlinks=True)
        for built in (target / _BUILT).iterdir():
            os.utime(built)  # Newer than the list of packages.


def read_plays(journal: pathlib.Path, seed: int) -> Iterator[Play]:
    """Yields the plays of ablations with a seed, in order of their names."""
    for path in sorted(journal.glob("*.json")):
        entry = json.loads(path.read_text())
        why = entry.get("why") or ""
        if not why.startswith(_WHY):
            continue
        mechanism = why.removeprefix(_WHY).removesuffix(" off")
        for day in entry["days"]:
            if day["seed"] == seed:
                yield Play(
                    entry["site"],
                    day["name"],
                    mechanism,
                    entry["id"],
                    day["G"],
                    day["served"],
                    tuple(sorted(day["rules"])),
                )


def format_table(plays: Iterable[Play]) -> str:
    """Returns the plays by site, day and mechanism, with what each loses."""
    groups: dict[tuple[str, str, str], list[Play]] = {}
    for play in plays:
        key = (play.site, play.day, play.mechanism)
        groups.setdefault(key, []).append(play)
    rows = [
        "| site | day | off | worth | lost | served | lost | rules | journal |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for (site, day, mechanism), group in sorted(groups.items()):
        whole = groups.get((site, day, _NONE), [])
        cells = [site, day, mechanism]
        cells += _compare([p.worth for p in whole], [p.worth for p in group])
        cells += _compare([p.served for p in whole], [p.served for p in group])
        cells.append(" ".join(sorted({r for p in group for r in p.rules})))
        cells.append(" ".join(p.entry for p in group))
        rows.append("| " + " | ".join(cells) + " |")
    return "\n".join(rows)


def _compare(whole: Sequence[float], found: Sequence[float]) -> list[str]:
    """Returns the figures and how much less they are than the whole."""
    figures = " ".join(f"{figure:.3f}" for figure in found)
    if not whole:
        return [figures, ""]
    lost = statistics.mean(whole) - statistics.mean(found)
    return [figures, f"{lost:+.3f}"]


def _name(mechanism: str, site: str) -> str:
    """Returns the name of the copy in which a site is played."""
    return f"{mechanism}-{pathlib.Path(site).stem}"


def _play_days(
    bench: _Bench, mechanism: str, site: str, days: Sequence[str]
) -> bool:
    """Plays days with a mechanism off; returns whether all were played."""
    name = _name(mechanism, site)
    copy = bench.folder / name
    well = True
    with (bench.folder / f"{name}.log").open("a") as log:
        for day in [day for day in days for _ in range(bench.repeats)]:
            command = (str(bench.program), "run", site, day)
            options = ("--seed", str(bench.seed), "--jobs", "1")
            why = ("--why", f"{_WHY}{mechanism} off")
            done = subprocess.run(
                (*command, *options, *why),
                cwd=copy,
                stdout=log,
                stderr=subprocess.STDOUT,
                check=False,
            )
            well &= done.returncode == 0
            print(f"{name} {day}: exit {done.returncode}", flush=True)
    kept = _ROOT / _JOURNAL
    shutil.copytree(copy / _JOURNAL, kept, dirs_exist_ok=True)
    return well


def _parse(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="ablate", description=__doc__)
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument("folder", type=pathlib.Path, help="for the copies")
    parser.add_argument("--bench", type=pathlib.Path, required=True)
    parser.add_argument("--site", action="append", default=[])
    parser.add_argument("--day", action="append", default=[])
    parser.add_argument("--off", action="append", choices=MECHANISMS)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=2, help="days at a time")
    return parser.parse_args(argv)


def main(argv: Sequence[str] | None = None) -> int:
    """Plays what was asked for; returns the exit code."""
    args = _parse(argv)
    folder = args.folder.resolve()
    folder.mkdir(parents=True, exist_ok=True)
    bench = _Bench(args.bench.resolve(), folder, args.seed, args.repeats)
    wanted = list(itertools.product(args.off or MECHANISMS, args.site))
    try:
        for mechanism, site in wanted:
            make_copy(folder / _name(mechanism, site), mechanism)
    except EditError as exc:
        print(exc, file=sys.stderr)
        return 2
    with futures.ThreadPoolExecutor(args.jobs) as pool:
        pending = [
            pool.submit(_play_days, bench, mechanism, site, args.day)
            for mechanism, site in wanted
        ]
    well = all([future.result() for future in pending])
    print(format_table(read_plays(_ROOT / _JOURNAL, args.seed)))
    return 0 if well else 1


if __name__ == "__main__":
    sys.exit(main())
