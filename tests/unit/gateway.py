"""Helpers that run the gateway against a stand-in engine in this process."""

import threading
import time

from tallyhall_bench.checks import expected_answer
from tallyhall_bench.ports import free_ports
from tallyhall_gateway.calls import CallerHeaders, model_call
from tallyhall_gateway.meter import StreamMeter
from tallyhall_gateway.runner import Run
from tallyhall_gateway.sse import StreamEvent
from tallyhall_gateway.ticket import Ticket
from tallyhall_node.actions import Outcome, StartRun
from tallyhall_standins.batch import EngineSpeed
from tallyhall_standins.engine import EngineConfig, EngineStandIn
from tallyhall_standins.web import RequestHandler, wsgi
from waitress.server import create_server

from tests.unit import admission as build

PROMPT = 'a batch summary ' * 20
MAX_TOKENS = 24
_FAST = EngineSpeed(0.0004, 0.00001, 0.000001)
_DEADLINE_S = 20


def start_engine(
    speed: EngineSpeed = _FAST,
) -> tuple[EngineStandIn, str]:
    """Start a stand-in engine in this process; return it and its address."""
    engine = EngineStandIn(EngineConfig('engine-1', speed))
    return engine, serve(engine.handle)


def serve(respond: RequestHandler) -> str:
    """Start an HTTP server in threads of this process; return its address."""
    port = free_ports(1)[0]
    server = create_server(
        wsgi(respond),
        listen=f'127.0.0.1:{port}',
        threads=64,
        asyncore_use_poll=True,
    )
    threading.Thread(target=server.run, daemon=True).start()
    return f'127.0.0.1:{port}'


def run_once(number: int, address: str) -> tuple[Outcome, Ticket]:
    """Dispatch one request and return its outcome and its ticket."""
    run = make_run(number, address)
    return run.execute(lambda start: None).outcome, run.ticket


def make_run(number: int, address: str) -> Run:
    """Return a run that has not been started."""
    rid = build.ask(number).id
    raw = (
        f'{{"model": "ledger", "prompt": "{PROMPT}", '
        f'"max_tokens": {MAX_TOKENS}}}'
    ).encode()
    headers = CallerHeaders('foundry', 'desk', '', '', '', '', 0)
    call = model_call('/v1/completions', raw, headers, build.table())
    now = time.monotonic()
    ticket = Ticket(rid, now)
    return Run(
        StartRun(rid, 'engine-1', address, now + 1),
        call,
        ticket,
        StreamMeter(),
        now + _DEADLINE_S,
    )


def text_of(ticket: Ticket) -> str:
    """Return the text that a caller would receive."""
    texts = []
    part = ticket.part(0, 0)
    while part is not None:
        texts.append(StreamEvent.model_validate_json(part.content).text)
        part = ticket.part(len(texts), 0)
    return ''.join(texts)


def whole_text() -> str:
    """Return the expected text of the complete response."""
    return expected_answer(PROMPT, MAX_TOKENS)
