"""Leads the rollouts of the services that this instance owns.

The owner of a service places its requests, so only the owner knows how many
requests a new version got and how it responded. State that must survive the
owner is kept in the store: the status of the order, and a record from which
another instance can continue. An instance does not take over a rollout while
the record of another leader still changes.
"""

from __future__ import annotations

import asyncio
import functools
import time
from collections.abc import Callable

from tallyhall_core.events import Event
from tallyhall_dispatch.options import Options
from tallyhall_dispatch.rollout import (
    BLOCK_VALID_S,
    Rollout,
    RolloutBounds,
    RolloutRecord,
    Verdict,
)
from tallyhall_dispatch.versions import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    order_in_progress,
)
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_platform.call_counts import CallCounts
from tallyhall_platform.errors import ConditionFailedError, StoreError
from tallyhall_platform.rollouts import (
    RolloutStore,
    StoredRollout,
    decode_order,
    decode_status,
    is_order_key,
    service_of_key,
)
from tallyhall_platform.store import Change, StoreClient

from .logs import EventLog

# Interval of the checks whether a record is due or the rollout ends, in
# seconds.
_CHECK_S = 0.05
# Maximum assumed age of an order when it is first seen, in seconds. Too high a
# value completes a rollout early, and the target then exceeds its share.
_MAX_ORDER_AGE_S = 0.25
# Pause after a failed store call, in seconds.
_RETRY_S = 0.3
# Interval of the checks of a rollout that another instance leads, in seconds. A
# leader renews its record before a block expires, so an unchanged record means
# that the leader is gone. The margin allows for late writes.
_LATE_WRITE_S = 0.2
_TAKEOVER_S = BLOCK_VALID_S + _LATE_WRITE_S


class _ServiceRollout:
    """State of one service's rollout as read from the store."""

    def __init__(self) -> None:
        self.order: RolloutOrder | None = None
        self.status: RolloutStatus | None = None
        # Approximate time of the order, and whether it arrived while this
        # instance was running, which makes the local clock reliable for it.
        self.began_at: float = 0
        self.is_live: bool = False
        # Set once this instance has led the rollout.
        self.rollout: Rollout | None = None

    @property
    def running(self) -> RolloutOrder | None:
        """Return the order that is in progress, if any."""
        return order_in_progress(self.order, self.status)


class Rollouts:
    """All rollouts known to this instance, including those that it leads."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        store: RolloutStore,
        bounds: RolloutBounds,
        incarnation: str,
        owns: Callable[[str], bool],
        log: EventLog,
    ) -> None:
        """Initialize.

        owns: returns whether this instance owns a service.
        """
        self.bounds = bounds
        self._dispatcher = dispatcher
        self._store = store
        self._incarnation = incarnation
        self._owns = owns
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._known: dict[str, _ServiceRollout] = {}
        self._leading: dict[str, asyncio.Task[None]] = {}

    def take(self, change: Change, made_after: float) -> None:
        """Apply a changed order or status; raise DecodeError.

        made_after: time on the loop's clock before which it did not exist.
        """
        service = service_of_key(change.key)
        known = self._known.setdefault(service, _ServiceRollout())
        if is_order_key(change.key):
            # An unreadable order withdraws the previous one.
            known.order = None
            try:
                known.order = decode_order(change)
            finally:
                now = self._loop.time()
                known.began_at = max(
                    (made_after + now) / 2, now - _MAX_ORDER_AGE_S
                )
                known.is_live = made_after > float('-inf')
                self._notify_dispatcher(service, known)
            self._log_order(service, known)
            return
        known.status = decode_status(change)
        self._notify_dispatcher(service, known)

    def poll(self) -> None:
        """Start leading rollouts of services that this instance owns."""
        for service, known in self._known.items():
            if known.running is None or service in self._leading:
                continue
            if not self._owns(service):
                continue
            task = asyncio.create_task(self._lead(service, known))
            self._leading[service] = task
            task.add_done_callback(
                functools.partial(self._on_lead_done, service),
            )

    def close(self) -> None:
        """Stop leading immediately, without writing anything to the store."""
        for task in self._leading.values():
            task.cancel()

    # -- internal

    def _notify_dispatcher(self, service: str, known: _ServiceRollout) -> None:
        self._dispatcher.apply_rollout(service, known.order, known.status)

    def _on_lead_done(self, service: str, task: asyncio.Task[None]) -> None:
        self._leading.pop(service, None)
        self._dispatcher.set_led_rollout(service, None)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            self._log.failure('rollout', exc)

    def _is_led_here(
        self,
        service: str,
        known: _ServiceRollout,
        order: int,
    ) -> bool:
        running = known.running
        return (
            running is not None
            and running.revision == order
            and self._owns(service)
        )

    async def _lead(self, service: str, known: _ServiceRollout) -> None:
        order = known.running
        if order is None:
            return
        try:
            stored = await self._wait_for_leadership(service, known, order)
            if stored is not None:
                await self._run(service, known, order, stored)
        except ConditionFailedError:
            self._log_store_failure(service, 'changed by another instance')
            await asyncio.sleep(_RETRY_S)
        except StoreError as exc:
            self._log_store_failure(service, str(exc))
            await asyncio.sleep(_RETRY_S)

    async def _wait_for_leadership(
        self,
        service: str,
        known: _ServiceRollout,
        order: RolloutOrder,
    ) -> StoredRollout | None:
        """Wait until no other instance leads and return the stored rollout.

        Return None if this instance is no longer responsible.
        """
        stored = await self._store.read(service)
        while self._is_led_elsewhere(stored, order):
            await asyncio.sleep(_TAKEOVER_S)
            if not self._is_led_here(service, known, order.revision):
                return None
            latest = await self._store.read(service)
            if latest.record_revision == stored.record_revision:
                return latest
            stored = latest
        return stored

    def _is_led_elsewhere(
        self,
        stored: StoredRollout,
        order: RolloutOrder,
    ) -> bool:
        record = stored.record
        if record is None or record.order != order.revision:
            return False
        return record.leader not in {'', self._incarnation}

    async def _run(
        self,
        service: str,
        known: _ServiceRollout,
        order: RolloutOrder,
        stored: StoredRollout,
    ) -> None:
        if stored.status is not None and stored.status.concludes(order):
            known.status = stored.status
            self._notify_dispatcher(service, known)
            return
        rollout = self._continued(known, order, stored)
        stored = await self._take_over(service, rollout, stored)
        while self._is_led_here(service, known, order.revision):
            now = self._loop.time()
            verdict = rollout.verdict(now, *self._dispatcher.slots(service))
            # The service may have been added to the desired state meanwhile.
            self._dispatcher.set_led_rollout(service, rollout)
            if verdict is not None:
                await self._finish(service, known, rollout, stored, verdict)
                return
            if rollout.is_write_due(now):
                stored = await self._write(service, rollout, stored)
                self._log_exposure(service, rollout)
            await asyncio.sleep(_CHECK_S)
        await self._step_down(service, rollout, stored)

    async def _take_over(
        self,
        service: str,
        rollout: Rollout,
        stored: StoredRollout,
    ) -> StoredRollout:
        """Take over the rollout; return its stored state.

        After this, writes of the previous leader fail, both of records and of
        the status.
        """
        order = rollout.order
        stored = await self._write(service, rollout, stored)
        if not _is_running(stored, order):
            first = RolloutStatus(order.target, RolloutState.running, 0)
            stored = await self._store.write_status(service, first, stored)
        self._log.event(
            Event.rollout_led,
            service=service,
            target=order.target,
            elapsed_s=round(self._loop.time() - rollout.began_at, 3),
            seen=rollout.seen,
            exposed=rollout.exposed,
        )
        return stored

    def _continued(
        self,
        known: _ServiceRollout,
        order: RolloutOrder,
        stored: StoredRollout,
    ) -> Rollout:
        """Return the rollout, continued from its stored record.

        Time is counted from the order. An instance that was running when the
        order arrived uses its monotonic clock; others use the elapsed time of
        the record plus the wall clock time since then.
        """
        record = stored.record
        if record is None or record.order != order.revision:
            record = RolloutRecord(order.revision)
        rollout = known.rollout
        if rollout is None or rollout.order != order:
            rollout = Rollout(order, self.bounds, record, known.began_at)
            known.rollout = rollout
        else:
            rollout.resume(record)
        if record.day_s and not known.is_live:
            since_s = record.elapsed_s + max(0, time.time() - record.day_s)
            began_at = self._loop.time() - since_s
            rollout.began_at = min(rollout.began_at, began_at)
        return rollout

    async def _write(
        self,
        service: str,
        rollout: Rollout,
        stored: StoredRollout,
    ) -> StoredRollout:
        asked_at = self._loop.time()
        record = rollout.next_record(
            self._incarnation,
            asked_at,
            time.time(),
        )
        written = await self._store.write_record(service, record, stored)
        rollout.record_written(record, asked_at)
        return written

    async def _finish(
        self,
        service: str,
        known: _ServiceRollout,
        rollout: Rollout,
        stored: StoredRollout,
        verdict: Verdict,
    ) -> None:
        self._log_verdict(service, rollout, verdict)
        status = RolloutStatus(rollout.order.target, verdict.state, 0)
        written = await self._store.write_status(service, status, stored)
        if known.order == rollout.order:
            known.status = written.status
            self._notify_dispatcher(service, known)
        self._log.event(
            Event.rollout_ended,
            service=service,
            target=rollout.order.target,
            state=verdict.state.value,
        )

    async def _step_down(
        self,
        service: str,
        rollout: Rollout,
        stored: StoredRollout,
    ) -> None:
        """Release the rollout so that the next owner can take over at once."""
        self._dispatcher.set_led_rollout(service, None)
        now = self._loop.time()
        record = rollout.next_record('', now, time.time())
        await self._store.write_record(service, record, stored)

    # -- log

    def _log_order(self, service: str, known: _ServiceRollout) -> None:
        order = known.order
        self._log.event(
            Event.rollout_ordered,
            service=service,
            target=None if order is None else order.target,
            limit_s=None if order is None else order.limit_s,
            revision=None if order is None else order.revision,
        )

    def _log_exposure(self, service: str, rollout: Rollout) -> None:
        now = self._loop.time()
        self._log.event(
            Event.rollout_exposes,
            service=service,
            target=rollout.order.target,
            stage=rollout.stage(now).value,
            elapsed_s=round(now - rollout.began_at, 3),
            seen=rollout.seen,
            exposed=rollout.exposed,
            answers=rollout.analysis.answers,
            bad=rollout.analysis.bad,
        )

    def _log_verdict(
        self,
        service: str,
        rollout: Rollout,
        verdict: Verdict,
    ) -> None:
        now = self._loop.time()
        self._log.event(
            Event.rollout_judged,
            service=service,
            target=rollout.order.target,
            state=verdict.state.value,
            cause=verdict.cause,
            elapsed_s=round(now - rollout.began_at, 3),
            seen=rollout.seen,
            exposed=rollout.exposed,
            answers=rollout.analysis.answers,
            bad=rollout.analysis.bad,
        )

    def _log_store_failure(self, service: str, cause: str) -> None:
        self._log.event(
            Event.store_call_failed,
            cause=f'rollout of {service}: {cause}',
        )


def new_rollouts(
    options: Options,
    dispatcher: Dispatcher,
    counts: CallCounts,
    incarnation: str,
    owns: Callable[[str], bool],
    log: EventLog,
) -> Rollouts:
    """Return the rollouts of an instance, using a separate store client."""
    bounds = options.bounds
    return Rollouts(
        dispatcher,
        RolloutStore(StoreClient(options.store.address, counts)),
        RolloutBounds(bounds.exposed_share, bounds.exposed_allowance),
        incarnation,
        owns,
        log,
    )


def _is_running(stored: StoredRollout, order: RolloutOrder) -> bool:
    """Return whether the stored status already marks the order as running."""
    status = stored.status
    if status is None or status.state is not RolloutState.running:
        return False
    return status.target == order.target and status.revision > order.revision
