"""Instances that learn the contents of the store from relays.

When each of 195 instances watched the store in a simulation, frequent changes
were sent to all of them. This took 1.5 store calls per second and instance, the
most expensive problem of that run. Now only a few relays watch the store and
inform the others. Whatever happens to the relays, a subscriber must not use
data that the store has removed for longer than the configured bounds.
"""

import asyncio
import dataclasses
import json
import random
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.quota import StoredUse
from tallyhall_platform.change_history import ChangeBatch, ChangeHistory
from tallyhall_platform.entries import InstanceEntry
from tallyhall_platform.outage import OutageTracker
from tallyhall_platform.store import Change, Changes, Item, Snapshot
from tallyhall_platform.view import StoreView

from tests.platform.harness import PLAIN, Deployment, deployment, desired, until

_KEYS = ('servers/a', 'servers/b', 'servers/c')
_SUBSCRIBER = 2
_RELAYS = (0, 1)
_LARGE_FLEET = 18
_CHANGE_S = 4.0


class _UpstreamRecorder:
    """Records the upstreams that a view reports."""

    def __init__(self) -> None:
        self.slots: dict[str, int] = {}

    def on_state(self, state: DesiredState) -> None:
        """Ignore the state."""

    def on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        self.slots = {f'servers/{one.name}': one.slots for one in upstreams}

    def on_instances(self, entries: tuple[InstanceEntry, ...]) -> None:
        """Ignore the instances."""

    def on_stored_use(self, use: StoredUse) -> None:
        """Ignore the quota usage."""

    def on_state_confirmed(self, asked_at: float) -> None:
        """Ignore the confirmation, as the view itself records it."""

    def on_store_reachable(self, *, reachable: bool) -> None:
        """Ignore whether the store is reachable."""


@dataclasses.dataclass(slots=True)
class _Write:
    at: float
    change: Change


@dataclasses.dataclass(slots=True)
class _Response:
    """A response in transit from a relay to the subscriber."""

    asked_at: float
    age_s: float
    news: ChangeBatch | None


class _Simulation:
    """A simulated store, two relays that watch it and one subscriber."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.now: float = 1000
        self.written: list[_Write] = []
        self.revision = 1
        loop.time = lambda: self.now  # type: ignore[method-assign]
        self.recorders = [_UpstreamRecorder() for _ in range(3)]
        self.views = [self._view(number) for number in range(3)]
        # Requests that have not been read, and responses in transit.
        self.asked: dict[int, list[tuple[float, int]]] = {0: [], 1: []}
        self.answers: dict[int, list[_Response]] = {0: [], 1: []}

    def write(self, key: str, *, remove: bool) -> None:
        """Write or remove a key in the store."""
        if remove and key not in self._current_items():
            return
        self.revision += 1
        fields = {
            'service': 'svc',
            'address': '127.0.0.1:9',
            'zone': 'a',
            'version': 'v1',
            'slots': self.revision,
            'state': 'ready',
            'seq': self.revision,
            'cold-left-ms': 0,
        }
        content = None if remove else json.dumps(fields).encode()
        change = Change(key, content, self.revision)
        self.written.append(_Write(self.now, change))

    def look(self, number: int) -> None:
        """Let an instance read the changes from the store."""
        view = self.views[number]
        cursor = view.cursor
        assert cursor is not None
        changes = tuple(
            one.change for one in self.written if one.change.revision > cursor
        )
        view.apply_changes(Changes(changes, self.revision), self.now)

    def restart(self, number: int) -> None:
        """Reset an instance's view and drop the messages to and from it."""
        self.recorders[number] = _UpstreamRecorder()
        self.views[number] = self._view(number)
        for relay in _RELAYS:
            if number in {relay, _SUBSCRIBER}:
                self.asked[relay].clear()
                self.answers[relay].clear()

    def ask(self, relay: int) -> None:
        """Send a request from the subscriber to a relay."""
        cursor = self.views[_SUBSCRIBER].cursor
        assert cursor is not None
        self.asked[relay].append((self.now, cursor))

    def answer(self, relay: int) -> None:
        """Let a relay read a request and respond."""
        if not self.asked[relay]:
            return
        asked_at, after = self.asked[relay].pop(0)
        view = self.views[relay]
        age_s = self.now - view.complete_as_of
        self.answers[relay].append(
            _Response(asked_at, age_s, view.changes_after(after))
        )

    def arrive(self, relay: int) -> None:
        """Let the subscriber read a response."""
        if not self.answers[relay]:
            return
        answer = self.answers[relay].pop(0)
        if answer.news is not None:
            current_at = answer.asked_at - answer.age_s
            self.views[_SUBSCRIBER].apply_relayed(answer.news, current_at)

    def check(self) -> None:
        """Check that no view lacks what the store held when it was current."""
        for view, recorder in zip(self.views, self.recorders, strict=True):
            for key in _KEYS:
                assert recorder.slots.get(key) in self._values_since(
                    key,
                    view.complete_as_of,
                )

    def _values_since(self, key: str, moment: float) -> set[int | None]:
        """Return all values that a key has had since a given time."""
        held: set[int | None] = {None}
        for one in self.written:
            if one.change.key != key:
                continue
            if one.at <= moment:
                held.clear()
            gone = one.change.content is None
            held.add(None if gone else one.change.revision)
        return held

    def _current_items(self) -> dict[str, Change]:
        newest = {one.change.key: one.change for one in self.written}
        return {
            key: change
            for key, change in newest.items()
            if change.content is not None
        }

    def _view(self, number: int) -> StoreView:
        view = StoreView(
            self.recorders[number],
            _no_log,
            OutageTracker(1.2, 5),
            _CHANGE_S,
        )
        entries = tuple(
            Item(key, change.content or b'', change.revision)
            for key, change in self._current_items().items()
        )
        view.apply_snapshot(Snapshot(entries, self.revision), self.now)
        return view


def _no_log(*args: Any, **fields: Any) -> None:
    """Discard the log event."""


_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('write'), st.sampled_from(_KEYS)),
        st.tuples(st.just('remove'), st.sampled_from(_KEYS)),
        st.tuples(st.just('look'), st.integers(0, _SUBSCRIBER)),
        st.tuples(st.just('restart'), st.integers(0, _SUBSCRIBER)),
        st.tuples(st.just('ask'), st.sampled_from(_RELAYS)),
        st.tuples(st.just('answer'), st.sampled_from(_RELAYS)),
        st.tuples(st.just('arrive'), st.sampled_from(_RELAYS)),
    ),
    min_size=150,
    max_size=250,
)


@settings(max_examples=100, deadline=None)
@given(_STEPS)
def test_current_views_are_complete(
    steps: list[tuple[str, Any]],
) -> None:
    """Views stay complete for any order of changes, restarts and gaps.

    Fails if changes are applied despite a gap before them, or if their age is
    counted from their arrival instead of from the request.
    """
    asyncio.run(_run_steps(steps))


async def _run_steps(steps: list[tuple[str, Any]]) -> None:
    simulation = _Simulation(asyncio.get_running_loop())
    for kind, chosen in steps:
        simulation.now += 0.25
        if kind in {'write', 'remove'}:
            simulation.write(chosen, remove=kind == 'remove')
        else:
            getattr(simulation, kind)(chosen)
        simulation.check()


def test_news_starts_at_the_oldest_kept_revision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('tallyhall_platform.change_history._MAX_CHANGES', 2)
    history = ChangeHistory()
    history.reset(10)
    for revision in (11, 12, 13):
        history.add(Change(f'servers/{revision}', b'x', revision))
    told = history.changes_after(10, 13)
    assert told is not None
    assert told.after == 11
    later = history.changes_after(11, 13)
    assert later is not None
    assert [change.revision for change in later.changes] == [12, 13]


def test_an_empty_history_has_no_news() -> None:
    assert ChangeHistory().changes_after(5, 0) is None


async def test_held_removals_are_not_forwarded() -> None:
    """It may be undone, so later changes are withheld from peers, too.

    A change of another key is still sent.
    """
    simulation = _Simulation(asyncio.get_running_loop())
    simulation.write(_KEYS[0], remove=False)
    simulation.look(0)
    before = simulation.revision
    outages = simulation.views[0]._outages  # noqa: SLF001
    outages.record_store_alive(simulation.now)
    for _ in range(2):
        outages.record_failure(simulation.now)
    simulation.now += 4
    outages.record_answer(simulation.now)
    simulation.write(_KEYS[0], remove=True)
    simulation.write(_KEYS[1], remove=False)
    simulation.look(0)
    told = simulation.views[0].changes_after(before)
    assert told is not None
    assert told.revision == before
    assert [change.key for change in told.changes] == [_KEYS[1]]


# -- with real peer streams


def _relays(made: Deployment) -> Iterator[int]:
    """Yield the indexes of the instances that watch the store."""
    hubs = made.instances[0].live_instances
    for number, options in enumerate(made.options):
        if options.instance in hubs:
            yield number


async def _ready(made: Deployment) -> None:
    await made.add_engine('plain-0', PLAIN)
    await made.add_engine('plain-1', PLAIN)
    await made.ready()
    # By now each instance has received changes from a relay once.
    await asyncio.sleep(1.5)


async def test_changes_reach_subscribers() -> None:
    """Only the relays call the store, however many instances are informed."""
    async with deployment(_LARGE_FLEET, change_s=_CHANGE_S) as made:
        await _ready(made)
        watches = made.store.watches
        for version in range(2, 8):
            await made.change(desired(version))
            await asyncio.sleep(0.4)
        made.store.remove('servers/plain-1')
        for instance in made.instances:
            await until(lambda: instance.usable_upstreams == 1, 2)
        # Four relays with at most one watch call per 0.35 s, and no others.
        assert made.store.watches - watches < 4 * 8 * 3


@pytest.mark.parametrize('lost', [1, 4])
async def test_removals_are_applied_though_relays_lost_the_store(
    lost: int,
) -> None:
    """The age of a relay's data shows it is old; all learn of the removal."""
    async with deployment(_LARGE_FLEET, change_s=_CHANGE_S) as made:
        await _ready(made)
        cut = list(_relays(made))[:lost]
        for number in cut:
            made.instances[number].stop_following_store()
        made.store.remove('servers/plain-1')
        for instance in made.instances:
            await until(lambda: instance.usable_upstreams == 1, _CHANGE_S)


async def test_the_loss_of_all_relays_is_tolerated() -> None:
    """The others read the store themselves until there are new relays."""
    async with deployment(_LARGE_FLEET, change_s=_CHANGE_S) as made:
        await _ready(made)
        relays = set(_relays(made))
        assert len(relays) == 4
        await asyncio.gather(
            *(made.instances[number].close() for number in relays),
        )
        made.store.remove('servers/plain-1')
        for number, instance in enumerate(made.instances):
            if number not in relays:
                await until(lambda: instance.usable_upstreams == 1, _CHANGE_S)


async def test_instances_without_the_store_are_updated_by_relays() -> None:
    async with deployment(_LARGE_FLEET, change_s=_CHANGE_S) as made:
        await _ready(made)
        relays = set(_relays(made))
        told = [
            number for number in range(_LARGE_FLEET) if number not in relays
        ]
        cut = random.Random(1).sample(told, _LARGE_FLEET // 2)
        for number in cut:
            made.instances[number].stop_following_store()
        await made.change(desired(2))
        made.store.remove('servers/plain-1')
        for number in cut:
            instance = made.instances[number]
            await until(lambda: instance.usable_upstreams == 1, 2)


async def test_revoked_keys_are_rejected_though_relays_lost_the_store() -> None:
    """Confirmations age as they are forwarded, so no instance uses them on."""
    async with deployment(_LARGE_FLEET, change_s=_CHANGE_S, revoke_s=5) as made:
        await _ready(made)
        for number in _relays(made):
            made.instances[number].stop_following_store()
        state = desired(2)
        state['tenants'][0]['api-keys'] = ['key-2']
        made.store.put('op/config', state)
        await asyncio.sleep(5 - 0.2)
        for number in range(_LARGE_FLEET):
            answer = await made.caller(number).ask('/safe/x', f'r{number}')
            assert answer.status in {401, 503}
