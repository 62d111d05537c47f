"""Roll-outs in the store: what operators order, and what becomes of it.

The status of an order and the record of who leads it are written only where
they stand as they were read, so that whoever holds an older view overwrites
nothing, and a last word is the last.
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

from .calls import CallCause
from .entries import ORDERS_PREFIX, RECORDS_PREFIX, STATUS_PREFIX
from .errors import DecodeError
from .parse import Name, Part, parsed
from .store import Change, Item, StoreClient, Write


class _Order(Part, frozen=True):
    service: Name
    target: Name
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


_State = Literal['running', 'completed', 'rolled_back']


class _Status(Part, frozen=True):
    service: Name
    target: Name
    state: _State


_STATES: Mapping[_State, RolloutState] = {  # noqa: WPS407
    'running': RolloutState.running,
    'completed': RolloutState.completed,
    'rolled_back': RolloutState.rolled_back,
}
_NAMES = {state: name for name, state in _STATES.items()}  # noqa: WPS407


class StoredRollout(msgspec.Struct, frozen=True):
    """What the store holds of a service's roll-out, with its revisions.

    A record that cannot be read is none.
    """

    status: RolloutStatus | None
    status_revision: int
    record: RolloutRecord | None
    record_revision: int


def is_order_key(key: str) -> bool:
    """Return whether a key holds an order."""
    return key.startswith(ORDERS_PREFIX)


def service_of(key: str) -> str:
    """Return the service that an order or a status is about."""
    for prefix in (ORDERS_PREFIX, STATUS_PREFIX):
        if key.startswith(prefix):
            return key.removeprefix(prefix)
    return ''


def decode_order(change: Change) -> RolloutOrder | None:
    """Return an order, None where it was withdrawn; raise DecodeError."""
    if change.content is None:
        return None
    order = parsed(change.content, _Order)
    if order.service != service_of(change.key):
        raise DecodeError(f'service: not {service_of(change.key)}')
    return RolloutOrder(
        order.service,
        order.target,
        order.duration_s,
        change.revision,
    )


def decode_status(change: Change | Item) -> RolloutStatus | None:
    """Return a status, None where it is gone; raise DecodeError."""
    if change.content is None:
        return None
    status = parsed(change.content, _Status)
    return RolloutStatus(status.target, _STATES[status.state], change.revision)


class RolloutStore:
    """Reads and writes the status and the record of roll-outs."""

    def __init__(self, client: StoreClient) -> None:
        """Call through a client that nothing else uses."""
        self._client = client
        client.cause = CallCause.rollout

    async def read(self, service: str) -> StoredRollout:
        """Return what the store holds; raise StoreError."""
        status = await self._client.get(STATUS_PREFIX + service)
        record = await self._client.get(RECORDS_PREFIX + service)
        return StoredRollout(
            _status(status),
            0 if status is None else status.revision,
            _record(record),
            0 if record is None else record.revision,
        )

    async def write(
        self,
        service: str,
        record: RolloutRecord,
        stored: StoredRollout,
    ) -> StoredRollout:
        """Write a record; return what stands then.

        Raises ConditionFailedError where what was read does not stand, else
        another StoreError.
        """
        revision = await self._client.swap(
            Write(
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

    async def tell(
        self,
        service: str,
        status: RolloutStatus,
        stored: StoredRollout,
    ) -> StoredRollout:
        """Write a status if this instance still leads; raise as `write`."""
        revision = await self._client.swap(
            Write(
                STATUS_PREFIX + service,
                _encoded(service, status),
                stored.status_revision,
            ),
            {RECORDS_PREFIX + service: stored.record_revision},
        )
        return msgspec.structs.replace(
            stored,
            status=msgspec.structs.replace(status, revision=revision),
            status_revision=revision,
        )


def _encoded(service: str, status: RolloutStatus) -> bytes:
    return msgspec.json.encode(
        _Status(service, status.target, _NAMES[status.state]),
    )


def _status(found: Item | None) -> RolloutStatus | None:
    if found is None:
        return None
    try:
        return decode_status(found)
    except DecodeError:
        # It is written anew over what cannot be read.
        return None


def _record(found: Item | None) -> RolloutRecord | None:
    if found is None:
        return None
    try:
        return parsed(found.content, RolloutRecord)
    except DecodeError:
        return None
