"""Kept answers: whole again for whoever comes back, forgotten in time."""

from tallyhall_core.refusals import Reason, Refusal
from tallyhall_gateway.ticket import Part, Ticket, Usage
from tallyhall_gateway.tickets import Tickets

_NO_USAGE = Usage(0, 0, 0)


def test_an_answer_is_final_once() -> None:
    ticket = Ticket('a', 0)
    ticket.add(Part(b'one'))
    assert ticket.complete(_NO_USAGE, 1)
    ticket.refuse(Refusal.of(Reason.shed), 2)
    ticket.add(Part(b'two'))
    assert ticket.refusal is None
    assert ticket.part(0, 0) == Part(b'one')
    assert ticket.part(1, 0) is None


def test_what_was_not_run_may_run_again_under_the_same_key() -> None:
    for reason, again in (
        (Reason.shed, True),
        (Reason.upstream_broken, False),
        (Reason.revoked, False),
    ):
        ticket = Ticket('a', 0)
        ticket.refuse(Refusal.of(reason), 0)
        assert ticket.may_run_again is again


def test_forgotten_and_abandoned() -> None:
    tickets = Tickets(keep_s=10, abandon_s=5)
    running = tickets.open('running', 0)
    ended = tickets.open('ended', 0)
    ended.complete(_NO_USAGE, 0)
    tickets.alias('foundry', 'key', 'ended')
    running.attach(0)
    assert not tickets.abandoned(6)
    running.detach(6)
    assert tickets.abandoned(12) == ['running']
    tickets.forget(12)
    assert tickets.get('ended') is None
    assert not tickets.aliased('foundry', 'key')
    assert tickets.get('running') is running
