"""Values of the store, checked against a model.

Others may write anything to the store, so nothing but this package's own
error comes of a value: of bytes that are no JSON, of numbers beyond every
type, of nesting that is deeper than the interpreter's stack.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

from .errors import DecodeError

Millis = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(min_length=1)]
_Model = TypeVar('_Model')


class Part(msgspec.Struct, frozen=True, rename='kebab'):
    """An object in the platform's spelling.

    New fields may come at any time: those that are not named are ignored.
    """


def parsed(raw: bytes, model: type[_Model]) -> _Model:
    """Return what the bytes hold; raise DecodeError naming the place."""
    try:
        return msgspec.json.decode(raw, type=model)
    except (ValueError, RecursionError) as exc:
        raise DecodeError(str(exc)) from exc
