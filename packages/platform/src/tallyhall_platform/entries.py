"""What instances write to the store themselves, and read from each other."""

from __future__ import annotations

from typing import Annotated

import msgspec
from tallyhall_dispatch.quota import Written

from .addresses import listening
from .errors import DecodeError
from .parse import Name, parsed

INSTANCE_PREFIX = 'tallyhall/instances/'
USE_KEY = 'tallyhall/use'
# Of roll-outs: what operators order, what becomes of it, and how it stands.
ORDERS_PREFIX = 'op/rollout/'
STATUS_PREFIX = 'status/rollout/'
RECORDS_PREFIX = 'tallyhall/rollouts/'
_Seconds = Annotated[float, msgspec.Meta(ge=0)]


class InstanceEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """What an instance tells the others about itself."""

    instance: Name
    incarnation: Name
    # Where callers and other instances connect, as IP:PORT.
    front: str
    peer: str
    zone: str
    region: str
    # What it can do beside its own requests; 0 where it is not stated.
    cores: Annotated[float, msgspec.Meta(ge=0)] = 0
    leaving: bool = False


def decode_instance(instance: str, raw: bytes) -> InstanceEntry:
    """Return the entry under the key of an instance; raise DecodeError."""
    entry = parsed(raw, InstanceEntry)
    if entry.instance != instance:
        raise DecodeError(f'instance: not {instance}')
    try:
        listening(entry.front)
        listening(entry.peer)
    except ValueError as exc:
        raise DecodeError(f'front or peer: {exc}') from exc
    return entry


def encode_instance(entry: InstanceEntry) -> bytes:
    """Return an entry as it is written."""
    return msgspec.json.encode(entry)


def decode_use(raw: bytes) -> Written:
    """Return what an instance wrote of its use; raise DecodeError.

    By workspace, ages in seconds and the amounts that were admitted then.
    """
    return parsed(raw, dict[str, tuple[tuple[_Seconds, float], ...]])


def encode_use(use: Written) -> bytes:
    """Return the use of quotas as it is written."""
    return msgspec.json.encode(use)
