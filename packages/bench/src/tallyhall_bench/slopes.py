"""Slopes for docs/CAPACITY.md: cost of decisions against size.

Each row measures processor time of the plain decision classes, or bytes of
their state and messages, at four sizes or more. No processes are started, so
that the figures are of the decisions and not of the machine's scheduling.
"""

from __future__ import annotations

import dataclasses
import json
import resource
import sys
import time
from collections.abc import Callable

from tallyhall_admission.outgoing import Outgoing
from tallyhall_admission.policy import make_policy
from tallyhall_admission.pool import Pool
from tallyhall_admission.settings import PoolSettings
from tallyhall_admission.upstream import UpstreamInfo
from tallyhall_core.ids import InstanceRun, RequestId
from tallyhall_core.messages import Ask, Digest, Done, MemberEntry, encode
from tallyhall_membership.assignment import Assignment, FenceEdit, Tenure
from tallyhall_membership.assignment import apply_edits as apply_assignment
from tallyhall_membership.assignment import encode as encode_assignment
from tallyhall_membership.members import Members, MemberSettings
from tallyhall_membership.shared import SharedValues
from tallyhall_table.edits import parse_table
from tallyhall_table.model import LimitRow, ServiceRow, Table, TierRow

_ROUNDS = 400
_MILLION = 1_000_000
_HOME = InstanceRun('entry-1', '0123456789ab')
_SERVICE = 'ledger'


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement: what, at which size, how much of which unit."""

    what: str
    size: int
    amount: float
    unit: str


def main() -> int:
    """Measure everything and print one JSON line a point."""
    points = [
        *_members((7, 50, 200, 410, 820)),
        *_asks((9, 55, 150, 600)),
        *_queue((10, 50, 200, 800)),
        *_tables((5, 100, 300, 620)),
        *_assignments((2, 11, 50, 200)),
        *_memory((1_000, 10_000, 50_000, 200_000)),
    ]
    for point in points:
        sys.stdout.write(f'{json.dumps(dataclasses.asdict(point))}\n')
    return 0


def _members(sizes: tuple[int, ...]) -> list[Point]:
    points = []
    for size in sizes:
        members = Members(member_entry(0), MemberSettings())
        others = tuple(member_entry(number) for number in range(1, size))
        members.merge(others, 0)
        digest = Digest(members.digest(0), SharedValues().revisions())
        points += [
            Point('digest message', size, len(encode(digest)), 'bytes'),
            _timed('send a digest', size, lambda: members.digest(0)),
            _timed('merge a digest', size, lambda: members.merge(others, 0)),
            _timed('list live members', size, lambda: members.live(0)),
        ]
    return points


def _asks(sizes: tuple[int, ...]) -> list[Point]:
    """Return the cost of one ask and its return, by upstreams."""
    points = []
    for size in sizes:
        pool = _pool(size)
        numbers = iter(range(_MILLION))

        def admit_one() -> None:  # noqa: WPS430
            ask = _ask(next(numbers))
            out = pool.ask(ask, 1)
            pool.done(_done(ask, out), 1)

        points.append(_timed('admit one request', size, admit_one))
    return points


def _queue(sizes: tuple[int, ...]) -> list[Point]:
    """Return the cost of a tick and of an ask, by waiting requests."""
    points = []
    for size in sizes:
        pool = _pool(9)
        for number in range(size + 36):
            pool.ask(_ask(number), 1)
        numbers = iter(range(_MILLION, 2 * _MILLION))

        def ask_one() -> None:  # noqa: WPS430
            ask = _ask(next(numbers))
            pool.ask(ask, 1)
            pool.withdraw(ask.id, 1)

        points += [
            _timed('tick with a queue', size, lambda: pool.tick(1)),
            _timed('ask with a queue', size, ask_one),
        ]
    return points


def _tables(sizes: tuple[int, ...]) -> list[Point]:
    points = []
    for size in sizes:
        table = large_table(size)
        text = table.model_dump_json()
        points += [
            Point('table text', size, len(text), 'bytes'),
            _timed('parse the table', size, lambda: parse_table(text), 5),
            _timed(
                'find a row',
                size,
                lambda: table.limit('w-0', 'service-10'),
            ),
        ]
    return points


def _assignments(sizes: tuple[int, ...]) -> list[Point]:
    points = []
    for size in sizes:
        owners = {
            f'service-{number}': Tenure(str(_HOME), number)
            for number in range(size)
        }
        assignment = Assignment(1, owners, {}, '')
        for number in range(size):
            edit = FenceEdit(f'entry-{number}.0123456789ab', str(_HOME))
            assignment = apply_assignment(assignment, (edit,), 'x')
        points.append(
            Point(
                'assignment with as many fences',
                size,
                len(encode_assignment(assignment)),
                'bytes',
            ),
        )
    return points


def _memory(sizes: tuple[int, ...]) -> list[Point]:
    points = []
    for size in sizes:
        before = _resident_kb()
        pool = _pool(9)
        for number in range(size):
            rid = RequestId.parse(_ask(number).id)
            pool.state.permit_records.record(rid, str(_HOME), 'engine-1')
        points.append(
            Point(
                'memory of permits (peak growth)',
                size,
                _resident_kb() - before,
                'KB',
            ),
        )
    return points


def _timed(
    what: str,
    size: int,
    step: Callable[[], object],
    rounds: int = _ROUNDS,
) -> Point:
    started = time.process_time()
    for _ in range(rounds):
        step()
    spent = (time.process_time() - started) / rounds
    return Point(what, size, round(spent * _MILLION, 1), 'us')


def _resident_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def _pool(upstreams: int) -> Pool:
    pool = Pool(_SERVICE, make_policy('tallyhall'), PoolSettings())
    pool.configure(large_table(5), 0)
    pool.apply_upstreams(
        tuple(
            UpstreamInfo(f'engine-{number}', f'10.0.0.1:{number + 1}')
            for number in range(upstreams)
        ),
    )
    pool.ready = True
    return pool


def large_table(workspaces: int) -> Table:
    """Return a table of this many workspaces at eleven services."""
    tiers = tuple(
        TierRow(name=name, rank=rank, deadline_s=600)
        for rank, name in enumerate(('audit', 'desk', 'batch'))
    )
    services = [ServiceRow(name=_SERVICE)]
    services += [ServiceRow(name=f'service-{one}') for one in range(11)]
    limits = tuple(
        LimitRow(
            workspace=f'w-{number}',
            service=service.name,
            tiers=('audit', 'desk', 'batch'),
            weight=2,
            rate=50,
        )
        for number in range(workspaces)
        for service in services[1:]
    )
    return Table(
        revision=1,
        tiers=tiers,
        services=tuple(services),
        limits=limits,
    )


def _ask(number: int) -> Ask:
    rid = RequestId(_HOME, 1, 0, takeover=True, nonce=f'{number:08x}')
    return Ask(
        id=str(rid),
        service=_SERVICE,
        holder=str(_HOME),
        workspace=f'w-{number % 5}',
        tier='desk',
        idempotent=True,
        prompt_tokens=1500,
        max_tokens=200,
        left_s=600,
        prefixes=tuple(f'{block:012x}' for block in range(23)),
    )


def _done(ask: Ask, out: list[Outgoing]) -> Done:
    upstream = getattr(out[0].message, 'upstream', '')
    return Done(
        ask.id,
        _SERVICE,
        upstream,
        ask.attempt,
        ran=True,
        ok=True,
        first_s=0.2,
        total_s=4,
        prompt_tokens=1500,
        output_tokens=150,
    )


def member_entry(number: int) -> MemberEntry:
    """Return the entry of a live instance."""
    return MemberEntry(
        instance=f'entry-{number}',
        incarnation='0123456789ab',
        counter=number,
        state='live',
        rpc=f'10.0.{number // 250}.{number % 250}:9001',
        http=f'10.0.{number // 250}.{number % 250}:8001',
        zone='a',
        epoch=10_000,
        window=100,
    )


if __name__ == '__main__':
    sys.exit(main())
