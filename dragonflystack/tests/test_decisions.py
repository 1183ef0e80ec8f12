"""What import contracts cannot see: no await, no clock, no global chance."""

import ast
import pathlib

import pytest

import dragonflystack

_ROOT = pathlib.Path(dragonflystack.__file__).parent
_PACKAGES = (
    "backends",
    "config",
    "forwarding",
    "membership",
    "promises",
    "steering",
)
_CLOCK_READS = {"now", "utcnow", "today"}
_CALLS_OUT = {"open", "print", "input"}
_AWAITS = (ast.AsyncFunctionDef, ast.Await, ast.AsyncFor, ast.AsyncWith)


def _faults(source: str) -> list[str]:
    """Returns what a decision module must not hold."""
    found = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, _AWAITS):
            found.append(f"line {node.lineno}: await")
        if isinstance(node, ast.Call):
            found += _faults_of_call(node)
    return found


def _faults_of_call(node: ast.Call) -> list[str]:
    func = node.func
    line = f"line {node.lineno}"
    if isinstance(func, ast.Name) and func.id in _CALLS_OUT:
        return [f"{line}: {func.id}()"]
    if not isinstance(func, ast.Attribute):
        return []
    owner = ast.unparse(func.value)
    if owner == "random" and func.attr != "Random":
        return [f"{line}: random.{func.attr}()"]
    if owner.startswith("datetime") and func.attr in _CLOCK_READS:
        return [f"{line}: {owner}.{func.attr}()"]
    return []


@pytest.mark.parametrize("package", _PACKAGES)
def test_decisions_do_not_reach_out(package):
    paths = [
        path
        for path in (_ROOT / package).rglob("*.py")
        if "tests" not in path.parts
    ]
    assert paths
    found = {str(path): _faults(path.read_text()) for path in paths}
    assert not {path: faults for path, faults in found.items() if faults}


@pytest.mark.parametrize(
    "source",
    [
        "async def f(): pass",
        "import random\nrandom.shuffle([])",
        "import datetime\ndatetime.datetime.now()",
        "open('file')",
    ],
)
def test_each_way_out_is_noticed(source):
    assert _faults(source)


def test_a_random_generator_may_be_made():
    assert not _faults("import random\nrandom.Random(7).random()")
