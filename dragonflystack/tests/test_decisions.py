"""Checks decision packages for await, I/O, clocks and global randomness.

Import contracts cannot detect these.
"""

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
_CLOCK_METHODS = {"now", "utcnow", "today"}
_IO_FUNCTIONS = {"open", "print", "input"}
_ASYNC_NODES = (ast.AsyncFunctionDef, ast.Await, ast.AsyncFor, ast.AsyncWith)


def _find_violations(source: str) -> list[str]:
    """Returns the constructs that a decision module must not contain."""
    found = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, _ASYNC_NODES):
            found.append(f"line {node.lineno}: await")
        if isinstance(node, ast.Call):
            found += _find_call_violations(node)
    return found


def _find_call_violations(node: ast.Call) -> list[str]:
    func = node.func
    line = f"line {node.lineno}"
    if isinstance(func, ast.Name) and func.id in _IO_FUNCTIONS:
        return [f"{line}: {func.id}()"]
    if not isinstance(func, ast.Attribute):
        return []
    owner = ast.unparse(func.value)
    if owner == "random" and func.attr != "Random":
        return [f"{line}: random.{func.attr}()"]
    if owner.startswith("datetime") and func.attr in _CLOCK_METHODS:
        return [f"{line}: {owner}.{func.attr}()"]
    return []


@pytest.mark.parametrize("package", _PACKAGES)
def test_decision_packages_contain_no_forbidden_constructs(package):
    paths = [
        path
        for path in (_ROOT / package).rglob("*.py")
        if "tests" not in path.parts
    ]
    assert paths
    found = {str(path): _find_violations(path.read_text()) for path in paths}
    assert not {
        path: violations for path, violations in found.items() if violations
    }


@pytest.mark.parametrize(
    "source",
    [
        "async def f(): pass",
        "import random\nrandom.shuffle([])",
        "import datetime\ndatetime.datetime.now()",
        "open('file')",
    ],
)
def test_each_forbidden_construct_is_detected(source):
    assert _find_violations(source)


def test_creating_a_random_generator_is_allowed():
    assert not _find_violations("import random\nrandom.Random(7).random()")
