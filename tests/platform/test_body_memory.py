"""How much of request bodies an instance holds, and who waits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_edge.body_memory import (
    SMALL_BODY_BYTES,
    BodyMemory,
    BodyReservation,
)
from tallyhall_edge.memory_budget import MemoryBudget
from tallyhall_edge.request_body import RequestBody

_MB = 1_000_000
_SIZE = 40 * _MB


class _Asked:
    """One large body, and whether its memory was granted."""

    def __init__(self, bodies: BodyMemory, size: int, workspace: str) -> None:
        self.reservation = BodyReservation(bodies)
        self.reservation.workspace = workspace
        self._granted = False
        self.accepted = bodies.reserve_large(
            self.reservation, size, self._grant
        )

    def has_memory(self) -> bool:
        return self._granted

    def fail(self) -> None:
        raise AssertionError('granted')

    def _grant(self) -> None:
        self._granted = True


def _bodies() -> BodyMemory:
    return BodyMemory(MemoryBudget(_SIZE))


def test_large_bodies_leave_room_for_small_ones() -> None:
    bodies = _bodies()
    for number in range(30):
        _Asked(bodies, 4 * _MB, f'w{number}')
    assert 0.65 * _SIZE < bodies.budget.total <= 0.75 * _SIZE
    small = [BodyReservation(bodies) for _ in range(70)]
    assert all(bodies.reserve_small(one, SMALL_BODY_BYTES) for one in small)


def test_small_bodies_do_not_exceed_the_budget() -> None:
    bodies = _bodies()
    reserved = [
        bodies.reserve_small(BodyReservation(bodies), SMALL_BODY_BYTES)
        for _ in range(400)
    ]
    assert not all(reserved)
    assert bodies.budget.total <= _SIZE
    assert bodies.reserve_small(BodyReservation(bodies), 0)


def test_one_workspace_leaves_large_bodies_room_for_others() -> None:
    bodies = _bodies()
    flood = [_Asked(bodies, 4 * _MB, 'flood') for _ in range(20)]
    assert not all(one.has_memory() for one in flood)
    assert _Asked(bodies, 4 * _MB, 'other').has_memory()


def test_the_workspace_that_holds_least_comes_first() -> None:
    bodies = _bodies()
    flood = [_Asked(bodies, 4 * _MB, 'flood') for _ in range(7)]
    others = [_Asked(bodies, 4 * _MB, f'w{number}') for number in range(4)]
    waiting = [one for one in others if not one.has_memory()]
    flood[0].reservation.release()
    assert waiting[0].has_memory()
    assert not flood[-1].has_memory()


def test_a_large_body_is_not_overtaken_for_ever() -> None:
    bodies = _bodies()
    running = [_Asked(bodies, 5 * _MB, f'w{number}') for number in range(5)]
    large = _Asked(bodies, 20 * _MB, 'large')
    smaller = _Asked(bodies, _MB, 'smaller')
    assert not large.has_memory()
    assert not smaller.has_memory()
    for one in running:
        one.reservation.release()
    assert large.has_memory()
    assert smaller.has_memory()


def test_the_largest_body_is_held_alone() -> None:
    bodies = _bodies()
    running = _Asked(bodies, 5 * _MB, 'other')
    largest = _Asked(bodies, _SIZE, 'largest')
    assert not largest.has_memory()
    running.reservation.release()
    assert largest.has_memory()
    assert bodies.exceeds_budget(_SIZE + 1)


def test_a_body_that_may_not_wait_frees_no_memory_of_others() -> None:
    """A part of it may have been reserved before, as it came in chunks."""
    bodies = _bodies()
    asked = [_Asked(bodies, 4 * _MB, f'w{number}') for number in range(7)]
    while asked[-1].accepted:
        asked.append(_Asked(bodies, 4 * _MB, 'flood'))
    for _ in range(50):
        chunked = BodyReservation(bodies)
        assert bodies.reserve_small(chunked, SMALL_BODY_BYTES)
        assert not bodies.reserve_large(chunked, 4 * _MB, asked[0].fail)
        chunked.release()
    held = bodies.budget.total
    asked[-1].reservation.release()
    assert bodies.budget.total == held


def test_few_bodies_wait_at_a_time() -> None:
    """What has been received of those that wait takes memory, too."""
    bodies = _bodies()
    asked = [_Asked(bodies, 4 * _MB, 'flood') for _ in range(1000)]
    refused = [one for one in asked if not one.accepted]
    assert refused
    assert bodies.waiting < 200
    assert not any(one.has_memory() for one in refused)


_STEPS = st.lists(
    st.tuples(
        st.integers(1, _SIZE),
        st.sampled_from(('a', 'b', 'c')),
        st.integers(0, 5),
    ),
    max_size=60,
)


@given(_STEPS)
def test_nothing_stays_reserved(steps: list[tuple[int, str, int]]) -> None:
    """In any order of requests, ends and cut bodies."""
    bodies = _bodies()
    asked: list[_Asked] = []
    for size, workspace, action in steps:
        asked.append(_Asked(bodies, size, workspace))
        assert bodies.budget.total <= _SIZE
        if not asked[-1].accepted:
            asked.pop().reservation.release()
        elif action < 2:
            asked.pop(0).reservation.release()
        elif action == 2 and asked[-1].has_memory():
            asked[-1].reservation.shrink(size // 2)
    assert not asked or any(one.has_memory() for one in asked)
    for one in asked:
        one.reservation.release()
    assert bodies.budget.total == 0
    assert bodies.waiting == 0
    assert _Asked(bodies, _SIZE, 'a').has_memory()


@pytest.mark.parametrize('piece', [1, 1000, 70_000])
def test_pieces_of_any_size_take_little_more_than_their_bytes(
    piece: int,
) -> None:
    """Each object would take over 30 bytes beside those of its piece."""
    body = RequestBody()
    for _ in range(200_000 // piece):
        body.add(b'x' * piece)
    assert body.size == sum(map(len, body.blocks))
    assert len(body.blocks) <= 4
