"""The command line: exit codes, what errors say, no tracebacks."""

import pathlib

import pytest
from cleo.application import Application
from cleo.testers.command_tester import CommandTester
from tallyhall_bench.scenario import ScenarioError, load_scenario
from tallyhall_daemon.commands import COMMANDS

_GOOD = """
[instance]
name = "entry-1"
zone = "a"
http = "127.0.0.1:8001"
rpc = "127.0.0.1:9001"
[platform]
kv = "http://127.0.0.1:2379"
instances = "http://127.0.0.1:8080"
"""


def _tester(name: str) -> CommandTester:
    application = Application()
    for command in COMMANDS:
        application.add(command())
    return CommandTester(application.find(name))


def _check(folder: pathlib.Path, text: str) -> tuple[int, str]:
    path = folder / 'entry.toml'
    path.write_text(text)
    tester = _tester('check')
    code = tester.execute(str(path))
    return code, tester.io.fetch_output() + tester.io.fetch_error()


def test_good_settings(tmp_path: pathlib.Path) -> None:
    code, text = _check(tmp_path, _GOOD)
    assert code == 0
    assert 'entry-1' in text


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        ('"127.0.0.1:8001"', '"localhost:8001"', 'instance.http'),
        ('"127.0.0.1:8001"', '"127.0.0.1"', 'instance.http'),
        ('"127.0.0.1:9001"', '"127.0.0.1:99999"', 'instance.rpc'),
        ('name = "entry-1"', 'name = "Entry 1"', 'instance.name'),
        ('zone = "a"', 'zone = "a"\ncolour = 1', 'instance.colour'),
        ('[platform]', '[times]\nbeat_s = -1\n[platform]', 'times.beat_s'),
        ('[platform]', '[platform', 'TOML'),
        ('zone = "a"', '', 'instance.zone'),
    ],
)
def test_bad_settings_name_key_and_value(
    tmp_path: pathlib.Path,
    old: str,
    new: str,
    named: str,
) -> None:
    code, text = _check(tmp_path, _GOOD.replace(old, new))
    assert code == 2
    assert named in text
    assert 'entry.toml' in text
    assert 'Traceback' not in text


@pytest.mark.parametrize(
    ('name', 'arguments', 'code'),
    [
        ('table show', '--kv http://127.0.0.1:1', 3),
        ('table set', 'gold x --kv http://127.0.0.1:1', 2),
        ('table apply', '/nowhere.json --kv http://127.0.0.1:1', 2),
        ('table status', '127.0.0.1:1', 1),
        ('status', '127.0.0.1:1', 3),
        ('bench', '/nowhere.toml', 2),
        ('request', 'ledger hello', 2),
        (
            'request',
            'ledger hello --entry 127.0.0.1:1 --workspace a --deadline x',
            2,
        ),
        (
            'request',
            'ledger hello --entry 127.0.0.1:1 --workspace a --deadline 0.5',
            5,
        ),
        ('bench', '/nowhere.toml --policy gold', 2),
    ],
)
def test_exit_codes(name: str, arguments: str, code: int) -> None:
    tester = _tester(name)
    assert tester.execute(arguments) == code
    assert 'Traceback' not in tester.io.fetch_error()


def test_all_scenarios_are_valid() -> None:
    folder = pathlib.Path(__file__).parents[2] / 'scenarios'
    names = [load_scenario(path).name for path in folder.glob('*.toml')]
    assert 'smoke' in names


def test_a_bad_scenario_names_the_key(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'bad.toml'
    path.write_text('name = "x"\nduration_s = "long"')
    with pytest.raises(ScenarioError, match='duration_s'):
        load_scenario(path)
