"""Roll-outs in the store: the operators' orders, their status and progress.

The status of an order and the record of its leader are written only if they
are unchanged since they were read, so that an instance with an outdated view
overwrites nothing and a final status stays final.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec
from tallyhall_dispatch.rollout import RolloutRecord
from tallyhall_dispatch.versions import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)

from .call_counts import CallCause
from .entries import ORDERS_PREFIX, RECORDS_PREFIX, STATUS_PREFIX
from .errors import DecodeError
from .parse import KebabStruct, NonEmptyStr, parse_json
from .store import Change, ConditionalWrite, Item, StoreClient


class _Order(KebabStruct, frozen=True):
    service: NonEmptyStr
    target: NonEmptyStr
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


_State = Literal['running', 'completed', 'rolled_back']


class _Status(KebabStruct, frozen=True):
    service: NonEmptyStr
    target: NonEmptyStr
    state: _State


_STATE_BY_NAME: Mapping[_State, RolloutState] = {  # noqa: WPS407
    'running': RolloutState.running,
    'completed': RolloutState.completed,
    'rolled_back': RolloutState.rolled_back,
}
_NAME_BY_STATE = {  # noqa: WPS407
    state: name for name, state in _STATE_BY_NAME.items()
}


class StoredRollout(msgspec.Struct, frozen=True):
    """The stored status and record of a service's roll-out, with revisions.

    A status or record that cannot be decoded is None.
    """

    status: RolloutStatus | None
    status_revision: int
    record: RolloutRecord | None
    record_revision: int


def is_order_key(key: str) -> bool:
    """Return whether a key is that of an order."""
    return key.startswith(ORDERS_PREFIX)


def service_of_key(key: str) -> str:
    """Return the service in the key of an order or status, '' for others."""
    for prefix in (ORDERS_PREFIX, STATUS_PREFIX):
        if key.startswith(prefix):
            return key.removeprefix(prefix)
    return ''


def decode_order(change: Change) -> RolloutOrder | None:
    """Decode an order, None if it was withdrawn; raise DecodeError."""
    if change.content is None:
        return None
    order = parse_json(change.content, _Order)
    if order.service != service_of_key(change.key):
        raise DecodeError(f'service: expected {service_of_key(change.key)}')
    return RolloutOrder(
        order.service,
        order.target,
        order.duration_s,
        change.revision,
    )


def decode_status(change: Change | Item) -> RolloutStatus | None:
    """Decode a status, None if it was deleted; raise DecodeError."""
    if change.content is None:
        return None
    status = parse_json(change.content, _Status)
    return RolloutStatus(
        status.target,
        _STATE_BY_NAME[status.state],
        change.revision,
    )


class RolloutStore:
    """Reads and writes the status and the progress record of roll-outs."""

    def __init__(self, client: StoreClient) -> None:
        """Call through `client`, which must not be shared."""
        self._client = client
        client.cause = CallCause.rollout

    async def read(self, service: str) -> StoredRollout:
        """Read the status and record of a service; raise StoreError."""
        status = await self._client.get(STATUS_PREFIX + service)
        record = await self._client.get(RECORDS_PREFIX + service)
        return StoredRollout(
            _status_or_none(status),
            0 if status is None else status.revision,
            _record_or_none(record),
            0 if record is None else record.revision,
        )

    async def write_record(
        self,
        service: str,
        record: RolloutRecord,
        stored: StoredRollout,
    ) -> StoredRollout:
        """Write a record; return the stored state after the write.

        Raises ConditionFailedError if the record has changed since it was
        read, or another StoreError.
        """
        revision = await self._client.compare_and_swap(
            ConditionalWrite(
                RECORDS_PREFIX + service,
                msgspec.json.encode(record),
                stored.record_revision,
            ),
        )
        return msgspec.structs.replace(
            stored,
            record=record,
            record_revision=revision,
        )

    async def write_status(
        self,
        service: str,
        status: RolloutStatus,
        stored: StoredRollout,
    ) -> StoredRollout:
        """Write a status if still the leader; raises like `write_record`."""
        revision = await self._client.compare_and_swap(
            ConditionalWrite(
                STATUS_PREFIX + service,
                _encode_status(service, status),
                stored.status_revision,
            ),
            {RECORDS_PREFIX + service: stored.record_revision},
        )
        return msgspec.structs.replace(
            stored,
            status=msgspec.structs.replace(status, revision=revision),
            status_revision=revision,
        )


def _encode_status(service: str, status: RolloutStatus) -> bytes:
    return msgspec.json.encode(
        _Status(service, status.target, _NAME_BY_STATE[status.state]),
    )


def _status_or_none(found: Item | None) -> RolloutStatus | None:
    if found is None:
        return None
    try:
        return decode_status(found)
    except DecodeError:
        # A status that cannot be decoded is overwritten.
        return None


def _record_or_none(found: Item | None) -> RolloutRecord | None:
    if found is None:
        return None
    try:
        return parse_json(found.content, RolloutRecord)
    except DecodeError:
        return None
