"""What a benchmark returns, and its summary over several repeats."""

from collections.abc import Sequence
import dataclasses
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One value that one repeat of a benchmark measured."""

    name: str
    """What was measured, unique in the benchmark; parts joined by `/`."""

    value: float
    """The value, in `unit`."""

    unit: str
    """Such as `ms`, `1/s`, `bytes`; `ratio` for a quotient."""


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """One figure over all repeats."""

    name: str
    """See `Figure.name`."""

    unit: str
    """See `Figure.unit`."""

    repeats: int
    """How many repeats gave the figure."""

    minimum: float
    """The least value."""

    median: float
    """The median value."""

    maximum: float
    """The largest value."""


def summarize(repeats: Sequence[Sequence[Figure]]) -> tuple[Summary, ...]:
    """Returns a summary of each figure, in the order of first appearance.

    Args:
        repeats: the figures of each repeat.

    Raises:
        ValueError: if a repeat names a figure twice, or if two repeats give
            a figure in different units.
    """
    values: dict[str, list[float]] = {}
    units: dict[str, str] = {}
    for repeat in repeats:
        seen: set[str] = set()
        for figure in repeat:
            if figure.name in seen:
                raise ValueError(f"{figure.name}: named twice in one repeat")
            seen.add(figure.name)
            unit = units.setdefault(figure.name, figure.unit)
            if unit != figure.unit:
                raise ValueError(
                    f"{figure.name}: unit {unit}, then {figure.unit}"
                )
            values.setdefault(figure.name, []).append(figure.value)
    return tuple(
        Summary(
            name,
            units[name],
            len(found),
            min(found),
            statistics.median(found),
            max(found),
        )
        for name, found in values.items()
    )
