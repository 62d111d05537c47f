"""Parts of prompts that crash upstreams, under policies on a virtual clock."""

import pytest
from tallyhall_emulator.part_play import PartScenario, play_parts, table_rows

_SMALL = PartScenario(30, 8, 6)
_SEEDS = range(1, 6)
# All that are up when the part becomes fatal.
_MANY = 16


@pytest.mark.parametrize('per_s', [3, 30])
@pytest.mark.parametrize('fatal', [1, 2])
def test_few_upstreams_are_lost_and_no_sound_part_is_refused(
    per_s: float, fatal: int
) -> None:
    scenario = PartScenario(per_s, 8, 6, fatal)
    for seed in _SEEDS:
        played = play_parts(scenario, 'suspects', seed)
        assert played.lost <= 5 * fatal + 1
        # Where no upstream is up, a request is refused for want of one.
        assert played.refused <= 0.05


def test_ends_of_all_upstreams_refuse_little_more_than_their_absence() -> None:
    scenario = PartScenario(30, 8, 6, fatal=0, herds=True)
    for seed in _SEEDS:
        played = play_parts(scenario, 'suspects', seed)
        absence = play_parts(scenario, 'none', seed)
        assert played.refused <= absence.refused + 0.1


def test_without_a_policy_upstreams_are_lost_all_the_while() -> None:
    assert play_parts(_SMALL, 'none', 1).lost > _MANY


def test_the_same_seed_is_the_same_play_of_parts() -> None:
    assert play_parts(_SMALL, 'suspects', 3) == play_parts(
        _SMALL, 'suspects', 3
    )


def test_a_table_has_a_row_for_each_policy() -> None:
    rows = list(table_rows(_SMALL, ('none', 'suspects'), 1))
    assert [row.split()[0] for row in rows] == ['none', 'suspects']
