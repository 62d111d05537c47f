"""Leads the roll-outs of the services that this instance owns.

The owner of a service places its requests, so it alone knows what a new version
got and how it answered. What must outlast it is in the store: the status of the
order, and a record from which another instance goes on. A record that somebody
else leads is left alone as long as it changes.
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
from tallyhall_edge.scheduling import Dispatcher
from tallyhall_platform.calls import CallCounts
from tallyhall_platform.errors import ConditionFailedError, StoreError
from tallyhall_platform.rollouts import (
    RolloutStore,
    StoredRollout,
    decode_order,
    decode_status,
    is_order_key,
    service_of,
)
from tallyhall_platform.store import Change, StoreClient

from .logs import EventLog

# Whether something is to be written is looked at this often, in seconds.
_LOOK_S = 0.05
# An order is taken to have been there for no longer than this before it was
# seen, in seconds: one that is completed early takes more than its share.
_UNSEEN_S = 0.25
# Pause after a failed call, in seconds.
_PAUSE_S = 0.3
# A roll-out that another instance leads is looked at this often, in seconds;
# one whose record has not changed in a block's time is nobody's.
_LATE_S = 0.2
_OTHERS_LOOK_S = BLOCK_VALID_S + _LATE_S


class _Known:
    """What the store told of one service's roll-out."""

    def __init__(self) -> None:
        self.order: RolloutOrder | None = None
        self.status: RolloutStatus | None = None
        # When the order was given, about; whether it came while this instance
        # ran, so that it knows that by its own clock.
        self.began_at: float = 0
        self.has_come: bool = False
        # What this instance knows from leading it.
        self.rollout: Rollout | None = None

    @property
    def running(self) -> RolloutOrder | None:
        """Return the order that has no last word yet."""
        return order_in_progress(self.order, self.status)


class Rollouts:
    """All roll-outs that this instance knows, and those that it leads."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        store: RolloutStore,
        bounds: RolloutBounds,
        incarnation: str,
        owns: Callable[[str], bool],
        log: EventLog,
    ) -> None:
        """Place through this dispatcher; `owns` tells whose service it is."""
        self.bounds = bounds
        self._dispatcher = dispatcher
        self._store = store
        self._incarnation = incarnation
        self._owns = owns
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._known: dict[str, _Known] = {}
        self._leading: dict[str, asyncio.Task[None]] = {}

    def take(self, change: Change, made_after: float) -> None:
        """Take an order or a status; raise DecodeError.

        made_after: a time, on the loop's clock, before which it was not there.
        """
        service = service_of(change.key)
        known = self._known.setdefault(service, _Known())
        if is_order_key(change.key):
            # One that cannot be read names nothing any more.
            known.order = None
            try:
                known.order = decode_order(change)
            finally:
                now = self._loop.time()
                known.began_at = max((made_after + now) / 2, now - _UNSEEN_S)
                known.has_come = made_after > float('-inf')
                self._tell(service, known)
            self._log_order(service, known)
            return
        known.status = decode_status(change)
        self._tell(service, known)

    def look(self) -> None:
        """Lead what is to be led from here."""
        self._dispatcher.look_at_versions()
        for service, known in self._known.items():
            if known.running is None or service in self._leading:
                continue
            if not self._owns(service):
                continue
            task = asyncio.create_task(self._lead(service, known))
            self._leading[service] = task
            task.add_done_callback(
                functools.partial(self._ceased, service),
            )

    def close(self) -> None:
        """Cease to lead at once, as a lost process would."""
        for task in self._leading.values():
            task.cancel()

    # -- inner steps

    def _tell(self, service: str, known: _Known) -> None:
        self._dispatcher.take_rollout(service, known.order, known.status)

    def _ceased(self, service: str, task: asyncio.Task[None]) -> None:
        self._leading.pop(service, None)
        self._dispatcher.lead(service, None)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            self._log.failure('rollout', exc)

    def _is_led_here(self, service: str, known: _Known, order: int) -> bool:
        running = known.running
        return (
            running is not None
            and running.revision == order
            and self._owns(service)
        )

    async def _lead(self, service: str, known: _Known) -> None:
        order = known.running
        if order is None:
            return
        try:
            stored = await self._free(service, known, order)
            if stored is not None:
                await self._run(service, known, order, stored)
        except ConditionFailedError:
            self._log_failed(service, 'another instance has written')
            await asyncio.sleep(_PAUSE_S)
        except StoreError as exc:
            self._log_failed(service, str(exc))
            await asyncio.sleep(_PAUSE_S)

    async def _free(
        self,
        service: str,
        known: _Known,
        order: RolloutOrder,
    ) -> StoredRollout | None:
        """Return what the store holds once nobody else leads; else None."""
        stored = await self._store.read(service)
        while self._is_led_elsewhere(stored, order):
            await asyncio.sleep(_OTHERS_LOOK_S)
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
        known: _Known,
        order: RolloutOrder,
        stored: StoredRollout,
    ) -> None:
        if stored.status is not None and stored.status.concludes(order):
            known.status = stored.status
            self._tell(service, known)
            return
        rollout = self._started(known, order, stored)
        stored = await self._begin(service, rollout, stored)
        while self._is_led_here(service, known, order.revision):
            now = self._loop.time()
            verdict = rollout.verdict(now, *self._dispatcher.places(service))
            # The desired state may name the service only now.
            self._dispatcher.lead(service, rollout)
            if verdict is not None:
                await self._end(service, known, rollout, stored, verdict)
                return
            if rollout.is_write_due(now):
                stored = await self._write(service, rollout, stored)
                self._log_exposed(service, rollout)
            await asyncio.sleep(_LOOK_S)
        await self._step_down(service, rollout, stored)

    async def _begin(
        self,
        service: str,
        rollout: Rollout,
        stored: StoredRollout,
    ) -> StoredRollout:
        """Take the roll-out over; return what stands in the store.

        Whoever led before can neither write a record nor a status then.
        """
        order = rollout.order
        stored = await self._write(service, rollout, stored)
        if not _is_running(stored, order):
            first = RolloutStatus(order.target, RolloutState.running, 0)
            stored = await self._store.tell(service, first, stored)
        self._log.event(
            Event.rollout_led,
            service=service,
            target=order.target,
            elapsed_s=round(self._loop.time() - rollout.began_at, 3),
            seen=rollout.seen,
            exposed=rollout.exposed,
        )
        return stored

    def _started(
        self,
        known: _Known,
        order: RolloutOrder,
        stored: StoredRollout,
    ) -> Rollout:
        """Return the roll-out as it goes on from its record.

        Time runs from the order: who was there when it came knows when it
        was by a clock that nobody sets, others go by the record and by the
        time of day since.
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
        if record.day_s and not known.has_come:
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
        written = await self._store.write(service, record, stored)
        rollout.record_written(record, asked_at)
        return written

    async def _end(
        self,
        service: str,
        known: _Known,
        rollout: Rollout,
        stored: StoredRollout,
        verdict: Verdict,
    ) -> None:
        self._log_judged(service, rollout, verdict)
        status = RolloutStatus(rollout.order.target, verdict.state, 0)
        written = await self._store.tell(service, status, stored)
        if known.order == rollout.order:
            known.status = written.status
            self._tell(service, known)
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
        """Leave the roll-out to the next owner without a wait."""
        self._dispatcher.lead(service, None)
        now = self._loop.time()
        record = rollout.next_record('', now, time.time())
        await self._store.write(service, record, stored)

    # -- log

    def _log_order(self, service: str, known: _Known) -> None:
        order = known.order
        self._log.event(
            Event.rollout_ordered,
            service=service,
            target=None if order is None else order.target,
            limit_s=None if order is None else order.limit_s,
            revision=None if order is None else order.revision,
        )

    def _log_exposed(self, service: str, rollout: Rollout) -> None:
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

    def _log_judged(
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

    def _log_failed(self, service: str, cause: str) -> None:
        self._log.event(
            Event.store_call_failed,
            cause=f'roll-out of {service}: {cause}',
        )


def new_rollouts(
    options: Options,
    dispatcher: Dispatcher,
    counts: CallCounts,
    incarnation: str,
    owns: Callable[[str], bool],
    log: EventLog,
) -> Rollouts:
    """Return the roll-outs of an instance, with a store client of its own."""
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
    """Return whether the status says already that an order runs."""
    status = stored.status
    if status is None or status.state is not RolloutState.running:
        return False
    return status.target == order.target and status.revision > order.revision
