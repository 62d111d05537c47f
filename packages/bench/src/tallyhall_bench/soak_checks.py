"""What must always hold in a fault run, from what was seen outside."""

from __future__ import annotations

from .platform_fleet import MEMORY_MB, EntryProcess
from .platform_load import Caller, Tried
from .platform_run import STREAMED, doubled, whole_stream
from .process_use import peak_mb
from .soak_site import EVENTS, INSTANCES, ROUTES, Site, Violation

_OK = 200
_REFUSALS = frozenset((408, 421, 429, 503))
# Routes whose requests run once at most, of `usual_state`.
_ONCE = frozenset(('once', 'note'))
_FINAL_REQUESTS = 40
_FINAL_SERVED = 36


async def check_recovery(site: Site) -> None:
    """Check that nearly all is served once nothing disturbs any more."""
    caller = Caller(site.rng)
    tries = [
        await caller.ask(
            site.fleet.entries[number % INSTANCES].name,
            site.fronts[number % INSTANCES],
            ROUTES[number % len(ROUTES)],
            f'final-{number}',
            streams=ROUTES[number % len(ROUTES)] in STREAMED,
        )
        for number in range(_FINAL_REQUESTS)
    ]
    served = sum(tried.status == _OK and tried.whole for tried in tries)
    if served < _FINAL_SERVED:
        statuses = [tried.status for tried in tries]
        detail = f'{served} of {_FINAL_REQUESTS} at the end: {statuses}'
        site.violations.append(Violation('recovery', detail))


def check_answers(site: Site) -> None:
    """Check runs and answers against each other."""
    for route in _ONCE:
        for request_id in doubled(site.fleet, route):
            site.violations.append(Violation('ran twice', request_id))
    ran = {seen.request_id for one in site.fleet.engines for seen in one.ran}
    for tried in site.tries:
        detail = f'{tried.request_id} {tried.route} {tried.status}'
        refused = tried.status in _REFUSALS and not tried.signed
        if refused and tried.route in _ONCE and tried.request_id in ran:
            site.violations.append(Violation('untrue refusal', detail))
        if tried.status == _OK and tried.whole and not _is_right(tried):
            site.violations.append(Violation('wrong answer', detail))


def _is_right(tried: Tried) -> bool:
    if not tried.signed:
        return False
    if tried.route in STREAMED:
        return tried.body == whole_stream(EVENTS)
    return tried.body == f'answer to {tried.request_id}'.encode()


def check_processes(site: Site) -> None:
    """Check that no process ended, raised or passed its memory by itself."""
    for entry in site.fleet.entries:
        _check_memory(site, entry)
        if entry.process is None or entry.process.returncode is not None:
            site.violations.append(Violation('ended by itself', entry.name))
        text = entry.log.read_text(errors='replace')
        if 'internal_error' in text or 'Traceback' in text:
            place = max(text.find('internal_error'), text.find('Traceback'))
            detail = f'{entry.name}: {text[place : place + 400]!r}'
            site.violations.append(Violation('internal error', detail))


def _check_memory(site: Site, entry: EntryProcess) -> None:
    if entry.process is None or entry.process.returncode is not None:
        return
    used_mb = peak_mb(entry.pid)
    if used_mb > MEMORY_MB:
        detail = f'{entry.name}: {used_mb:.0f} MB of {MEMORY_MB}'
        site.violations.append(Violation('memory', detail))
