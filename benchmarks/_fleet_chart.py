"""Draws the figures of `scripts/bench fleet --json` as an SVG.

python -m benchmarks._fleet_chart docs/figures/fleet.json docs/figures/fleet.svg
"""

import json
import pathlib
import sys

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

_SIZES = (20, 200, 1_400)
_LOSSES = ("0%", "5%")
_WAYS = (("tree", "tab:blue"), ("gossip", "tab:orange"))
_STYLES = {"0%": "-", "5%": "--"}
_PANELS = (
    ("seconds until all know", "change/known to all", 5.0),
    ("seconds until all acknowledged", "change/acknowledged by all", 5.0),
    ("idle, bytes/s at the busiest VM", "idle/bytes busiest", 5_000.0),
    ("idle, ms/s at the busiest VM", "idle/processor busiest", 15.0),
)


def draw(found: dict, path: pathlib.Path) -> None:
    """Draws one panel a figure against the size, with the target's limit."""
    matplotlib.rcParams["svg.hashsalt"] = "fleet"
    figure, axes = pyplot.subplots(1, len(_PANELS), figsize=(14, 3.6))
    for axis, (title, part, limit) in zip(axes, _PANELS, strict=True):
        for way, color in _WAYS:
            for loss in _LOSSES:
                values = [
                    found[f"{way}/{size}/loss {loss}/{part}"]["median"]
                    for size in _SIZES
                ]
                axis.plot(
                    _SIZES,
                    values,
                    _STYLES[loss],
                    marker="o",
                    color=color,
                    label=f"{way}, {loss} loss",
                )
        axis.axhline(limit, color="tab:red", linewidth=0.8)
        axis.set_title(title, fontsize=9)
        axis.set_xscale("log")
        axis.set_xticks(_SIZES, [str(size) for size in _SIZES])
        axis.set_xlabel("VMs")
        axis.set_ylim(bottom=0)
    axes[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main() -> int:
    """Reads the JSON and writes the SVG that the arguments name."""
    source, target = (pathlib.Path(arg) for arg in sys.argv[1:3])
    draw(json.loads(source.read_text())["figures"], target)
    return 0


if __name__ == "__main__":
    sys.exit(main())
