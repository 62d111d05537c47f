"""Parsing of the settings file and of the desired state."""

import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest
import yaml
from tallyhall_platform.decode import decode_state, decode_upstream
from tallyhall_platform.errors import DecodeError, SettingsError
from tallyhall_platform.settings import load_options

from tests.platform.harness import desired

_ROOT = Path(__file__).resolve().parent.parent.parent
_VALID = """
node: "front-a-1"
zone: "a"
region: "r"
ip: "127.0.0.1"
new-field: 3
listen:
  front: "127.0.0.1:8221"
  ready: "127.0.0.1:8224"
  directory: "127.0.0.1:8220"
port-range: [7600, 7615]
heartbeat-ms: 900
limits: {memory-mb: 150, max-fds: 4100, cpu-share: 0.537, cores: 2}
contracts: ["base", "pressure"]
bounds:
  {revoke-ms: 5000, contact-ms: 2500, grace-s: 8, ttl_max_s: 5,
  quota-window-s: 8, drain-ms: 1500, config-apply-ms: 1700}
platform: {address: "127.0.0.1:8225", ttl-min-ms: 1000}
"""


@pytest.mark.parametrize('form', ['yaml', 'json'])
def test_settings_are_converted_to_options(tmp_path: Path, form: str) -> None:
    path = tmp_path / 'settings.yaml'
    path.write_text(_VALID)
    if form == 'json':
        path.write_text(json.dumps(yaml.safe_load(_VALID)))
    options = load_options(path)
    assert options.instance == 'front-a-1'
    assert str(options.locate) == '127.0.0.1:8220'
    assert (options.peer.port, options.metrics.port) == (7600, 7601)
    assert options.bounds.revoke_s == 5
    assert options.bounds.contact_s == 2.5
    assert options.bounds.change_s == 1.5
    assert options.store.heartbeat_s == 0.9
    assert options.descriptors == 4100
    assert options.cores == pytest.approx(1.074)
    assert options.memory_bytes == 150_000_000


@pytest.mark.parametrize(
    ('missing', 'memory_bytes', 'has_slow_peers'),
    [('memory-mb: 150, ', 0, True), (', "pressure"', 150_000_000, False)],
)
def test_a_memory_limit_holds_without_slow_peers(
    tmp_path: Path,
    missing: str,
    memory_bytes: int,
    has_slow_peers: bool,  # noqa: FBT001
) -> None:
    """A process is killed above its limit on every deployment."""
    path = tmp_path / 'settings.yaml'
    path.write_text(_VALID.replace(missing, ''))
    options = load_options(path)
    assert options.memory_bytes == memory_bytes
    assert options.has_slow_peers == has_slow_peers


_INVALID = [
    ('node: "front-a-1"', '', 'node: is required (example: node: "front'),
    (
        '"127.0.0.1:8221"',
        '"here"',
        "listen.front: 'here' is not IP:PORT (example: front: ",
    ),
    (
        'directory: "127.0.0.1:8220"',
        '',
        'listen.directory: is required (example: directory: ',
    ),
    ('[7600, 7615]', '"x"', 'port-range: Expected `array`, got `str` (ex'),
    (
        '8224',
        '99999',
        'listen.ready: a port must be between 1 and 65535 (example: ',
    ),
    (
        '8225',
        '0',
        'platform.address: a port must be between 1 and 65535 (example: ',
    ),
    ('max-fds: 4100', 'max-fds: 0', 'limits.max-fds: Expected `int` >= 1'),
    (
        'memory-mb: 150',
        'memory-mb: -1',
        'limits.memory-mb: Expected `float` >= 0.0',
    ),
    ('zone: "a"', 'zone: [', 'invalid YAML'),
    (_VALID, '', 'the file: Expected `object`, got `null`'),
    (_VALID, '{"node": "front-a-1"}', 'zone: is required (example: zone: '),
    (_VALID, '{"node": ', 'invalid YAML'),
    (_VALID, '[' * 100_000, 'invalid YAML'),
]


@pytest.mark.parametrize(('old', 'new', 'text'), _INVALID)
def test_an_invalid_file_gives_a_one_line_message(
    tmp_path: Path,
    old: str,
    new: str,
    text: str,
) -> None:
    path = tmp_path / 'settings.yaml'
    path.write_text(_VALID.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        load_options(path)
    assert text in str(caught.value)
    assert '\n' not in str(caught.value)


@pytest.mark.parametrize('case', ['missing', 'taken'])
def test_a_failed_start_exits_with_status_2(tmp_path: Path, case: str) -> None:
    path = tmp_path / 'settings.yaml'
    with socket.create_server(('127.0.0.1', 0)) as other:
        if case == 'taken':
            port = str(other.getsockname()[1])
            path.write_text(_VALID.replace('8221', port))
        done = subprocess.run(
            (sys.executable, _ROOT / 'deploy' / 'entry.py'),
            env={**os.environ, 'TALLYHALL_CONFIG': str(path)},
            capture_output=True,
            text=True,
            check=False,
            timeout=20,
        )
    assert done.returncode == 2
    assert done.stderr.startswith('tallyhall: ')
    assert done.stderr.count('\n') == 1


def test_desired_state_is_decoded() -> None:
    state = decode_state(json.dumps(desired(7)).encode())
    assert state.version == 7
    stream = state.routes[3]
    assert (stream.objective_s, stream.gap_s, stream.repeatable) == (
        0.5,
        0.4,
        True,
    )
    assert state.keys['key-2'].name == 'shop'
    assert state.services['model-svc'].event_tokens == 5
    split = [{'service': 'a', 'weight': 9}, {'service': 'b', 'weight': 1}]
    changed = desired(8)
    changed['routes'][0] |= {'split': split}
    targets = decode_state(json.dumps(changed).encode()).routes[0].targets
    assert [target.weight for target in targets] == [9, 1]


@pytest.mark.parametrize(
    'raw',
    [b'', b'{}', b'{"version": 1}', b'[]', b'\xff', b'{"version":"x"}'],
)
def test_invalid_values_raise_decode_error(raw: bytes) -> None:
    with pytest.raises(DecodeError):
        decode_state(raw)
    with pytest.raises(DecodeError):
        decode_upstream('i-1', raw)
