"""Short runs with random faults on entry processes, with past failing seeds."""

import pytest
from tallyhall_bench.platform_soak import soak
from tallyhall_bench.soak_site import Troubles

from tests import closing_loop

pytestmark = pytest.mark.processes

_SECONDS = 8


@pytest.mark.parametrize(
    ('seed', 'all_links'),
    [(4, False), (101, False), (501, True)],
)
def test_no_violations_under_random_faults(
    seed: int,
    all_links: bool,
) -> None:
    site = closing_loop.run(soak(seed, _SECONDS, Troubles(all_links=all_links)))
    assert not site.violations, (site.violations, site.faults)
    assert sum(tried.status == 200 for tried in site.tries) > 100


def test_fatal_request_ends_few_upstreams_under_faults() -> None:
    """Instances are killed, stopped and cut off while exchanging reports."""
    site = closing_loop.run(
        soak(1001, _SECONDS, Troubles(all_links=True, fatal=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert site.ended > 0


def test_fatal_parts_reach_few_upstreams_under_faults() -> None:
    """Beside ends of all upstreams, kills, cuts and an unreachable store."""
    site = closing_loop.run(
        soak(1401, 12, Troubles(all_links=True, parts=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert site.ended_by_parts > 0


def test_no_violations_while_instances_lose_all_upstreams() -> None:
    """One or most of them, in a series, beside restarts and other faults."""
    site = closing_loop.run(
        soak(1201, _SECONDS, Troubles(all_links=True, isolates=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert any('isolate' in fault for fault in site.faults)
    assert sum(tried.status == 200 for tried in site.tries) > 100


def test_no_violations_beside_upstreams_that_are_stopped_for_seconds() -> None:
    site = closing_loop.run(
        soak(1801, 14, Troubles(all_links=True, pauses=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert site.late_retries > 20


def test_no_violations_while_all_are_lost_in_series_during_pauses() -> None:
    site = closing_loop.run(
        soak(2001, 14, Troubles(all_links=True, pauses=True, losses=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert any('lose all' in fault for fault in site.faults)
    assert site.late_retries > 5


def test_planned_stops_beside_long_runs_cut_no_late_request() -> None:
    site = closing_loop.run(
        soak(2101, 14, Troubles(all_links=True, stops=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert site.late > 20


def test_no_part_of_an_early_answer_to_an_upload_is_whole() -> None:
    site = closing_loop.run(
        soak(2201, _SECONDS, Troubles(all_links=True, early=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert site.uploads > 20


def test_no_slot_is_lost_beside_resets_between_instances() -> None:
    site = closing_loop.run(
        soak(2401, _SECONDS, Troubles(all_links=True, resets=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert site.resets > 10
    assert sum(tried.status == 200 for tried in site.tries) > 100


def test_no_violations_beside_endless_answers() -> None:
    """In heads and bodies, beside restarts and other faults."""
    site = closing_loop.run(
        soak(1701, _SECONDS, Troubles(all_links=True, endless=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert any('endless' in fault for fault in site.faults)
    assert sum(tried.status == 200 for tried in site.tries) > 100


def test_no_violations_beside_clients_that_do_not_behave() -> None:
    """At each listener, beside restarts and other faults."""
    site = closing_loop.run(
        soak(1901, 14, Troubles(all_links=True, crowds=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert any('clients' in fault for fault in site.faults)
    assert sum(tried.status == 200 for tried in site.tries) > 100


def test_no_violations_under_wrong_load_reports() -> None:
    """Reports are missing, frozen, garbled, out of range or misleading."""
    site = closing_loop.run(
        soak(1101, _SECONDS, Troubles(all_links=True, loads=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert sum(tried.status == 200 for tried in site.tries) > 100


@pytest.mark.parametrize('all_links', [False, True])
def test_no_stream_mixes_versions_under_faults(*, all_links: bool) -> None:
    """Versions come and leave; without links between instances, none copies."""
    site = closing_loop.run(
        soak(1301, 12, Troubles(all_links=all_links, versions=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert site.streams > 20


def test_retry_budget_holds_while_upstreams_reject_and_instances_are_lost() -> (
    None
):
    """Instances are killed and stopped several times within a window."""
    site = closing_loop.run(
        soak(1501, 14, Troubles(all_links=True, rejects=True))
    )
    assert not site.violations, (site.violations, site.faults)
    assert site.retries > 50
