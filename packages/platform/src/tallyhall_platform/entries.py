"""Keys and values that instances write to the store for each other."""

from __future__ import annotations

from typing import Annotated

import msgspec
from tallyhall_dispatch.quota import StoredUse

from .addresses import parse_address
from .errors import DecodeError
from .parse import NonEmptyStr, parse_json

INSTANCE_PREFIX = 'tallyhall/instances/'
QUOTA_USE_KEY = 'tallyhall/use'
# Keys of roll-outs: the operators' orders, their status, and the progress
# records of the instance that leads one.
ORDERS_PREFIX = 'op/rollout/'
STATUS_PREFIX = 'status/rollout/'
RECORDS_PREFIX = 'tallyhall/rollouts/'
_Seconds = Annotated[float, msgspec.Meta(ge=0)]


class InstanceEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """An instance's registration, read by all other instances."""

    instance: NonEmptyStr
    incarnation: NonEmptyStr
    # Addresses for callers and for other instances, as IP:PORT.
    front: str
    peer: str
    zone: str
    region: str
    # Processor time that it has, in cores; 0 if not stated.
    cores: Annotated[float, msgspec.Meta(ge=0)] = 0
    leaving: bool = False
    # Address for tunnels to upstreams, as IP:PORT; empty if it takes none.
    tunnel: str = ''


def decode_instance(instance: str, raw: bytes) -> InstanceEntry:
    """Decode the entry under an instance's key; raise DecodeError."""
    entry = parse_json(raw, InstanceEntry)
    if entry.instance != instance:
        raise DecodeError(f'instance: expected {instance}')
    try:
        parse_address(entry.front)
        parse_address(entry.peer)
        if entry.tunnel:
            parse_address(entry.tunnel)
    except ValueError as exc:
        raise DecodeError(f'front, peer or tunnel: {exc}') from exc
    return entry


def encode_instance(entry: InstanceEntry) -> bytes:
    """Encode an entry for the store."""
    return msgspec.json.encode(entry)


def decode_quota_use(raw: bytes) -> StoredUse:
    """Decode the stored use of quotas; raise DecodeError.

    Maps each workspace to pairs of an age in seconds and the amount that was
    admitted at that age.
    """
    return parse_json(raw, dict[str, tuple[tuple[_Seconds, float], ...]])


def encode_quota_use(use: StoredUse) -> bytes:
    """Encode the use of quotas for the store."""
    return msgspec.json.encode(use)
