"""What the codecs between daemons share: the IDL, and one kind of error."""

from collections.abc import Callable
import pathlib
from typing import Any
from typing import TypeVar

import thriftpy2
from thriftpy2 import utils

_T = TypeVar("_T")


class MalformedMessageError(ValueError):
    """The bytes hold no message of the kind; the text names it and why."""


def load(name: str) -> Any:
    """Returns the structures of `NAME.thrift` in this folder."""
    path = pathlib.Path(__file__).with_name(f"{name}.thrift")
    return thriftpy2.load(
        str(path), module_name=f"dragonflystack_{name}_thrift"
    )


def decode(struct: Any, data: bytes, read: Callable[[Any], _T]) -> _T:
    """Returns what `read` makes of a structure.

    Args:
        struct: an empty structure of the kind expected.
        data: its bytes, in the binary protocol.
        read: takes the structure apart; any error of it is the message's.

    Raises:
        MalformedMessageError: if the bytes are something else.
    """
    try:
        return read(utils.deserialize(struct, data))
    except Exception as exc:  # The library raises many kinds.
        text = f"{type(struct).__name__}: {exc or type(exc).__name__}"
        raise MalformedMessageError(text) from exc
