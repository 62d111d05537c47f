"""Tickets become final once, expire, and are found by idempotency key."""

from tallyhall_core.refusals import Reason, Refusal
from tallyhall_gateway.ticket import Part, Ticket, Usage
from tallyhall_gateway.tickets import Tickets

_NO_USAGE = Usage(0, 0, 0)


def test_ticket_becomes_final_only_once() -> None:
    ticket = Ticket('a', 0)
    ticket.add(Part(b'one'))
    assert ticket.complete(_NO_USAGE, 1)
    ticket.refuse(Refusal.of(Reason.shed), 2)
    ticket.add(Part(b'two'))
    assert ticket.refusal is None
    assert ticket.part(0, 0) == Part(b'one')
    assert ticket.part(1, 0) is None


def test_only_unexecuted_requests_may_run_again() -> None:
    for reason, again in (
        (Reason.shed, True),
        (Reason.upstream_broken, False),
        (Reason.revoked, False),
    ):
        ticket = Ticket('a', 0)
        ticket.refuse(Refusal.of(reason), 0)
        assert ticket.may_run_again is again


def test_expired_and_abandoned_tickets() -> None:
    tickets = Tickets(keep_s=10, abandon_s=5)
    running = tickets.open('running', 0)
    ended = tickets.open('ended', 0)
    ended.complete(_NO_USAGE, 0)
    tickets.alias('foundry', 'key', 'ended')
    running.add_reader(0)
    assert not tickets.abandoned(6)
    running.remove_reader(6)
    assert tickets.abandoned(12) == ['running']
    tickets.forget(12)
    assert tickets.get('ended') is None
    assert not tickets.aliased('foundry', 'key')
    assert tickets.get('running') is running
