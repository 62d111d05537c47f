"""Parses and validates JSON values.

Other programs may write anything to the store, so every invalid value raises
DecodeError and nothing else: bytes that are not JSON, numbers out of range,
nesting deeper than the interpreter's stack.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

from .errors import DecodeError

Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]
_Model = TypeVar('_Model')


class KebabStruct(msgspec.Struct, frozen=True, rename='kebab'):
    """Base of JSON objects whose field names are in kebab case.

    Unknown fields are ignored, as the platform may add fields at any time.
    """


def parse_json(raw: bytes, model: type[_Model]) -> _Model:
    """Parse JSON into a model; raise DecodeError naming the invalid field."""
    try:
        return msgspec.json.decode(raw, type=model)
    except (ValueError, RecursionError) as exc:
        raise DecodeError(str(exc)) from exc
