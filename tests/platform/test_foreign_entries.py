"""Invalid entries in the store are rejected and do not affect valid ones."""

import contextlib
import json
import logging
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_core.events import Event
from tallyhall_platform.decode import decode_state, decode_upstream
from tallyhall_platform.end_records import decode_end_records
from tallyhall_platform.entries import decode_instance, decode_quota_use
from tallyhall_platform.errors import DecodeError
from tallyhall_platform.upstreams import UpstreamRegistry

from tests.platform.harness import MODEL, TOKENS, Deployment, deployment, until

_KEY = 'servers/i-1'
_VALID: dict[str, Any] = {  # noqa: WPS407
    'service': MODEL,
    'address': '10.1.2.3:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 10,
    'state': 'ready',
    'seq': 4,
    'cold-left-ms': 0,
}
_INSTANCE: dict[str, Any] = {  # noqa: WPS407
    'instance': 'entry-1',
    'incarnation': 'f0',
    'front': '10.1.2.3:80',
    'peer': '10.1.2.3:81',
    'zone': 'a',
    'region': 'r',
}
_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
_NESTED = b'[' * 200_000
_INVALID_FIELDS = [
    ('service', ''),
    ('service', 3),
    ('address', '10.1.2.3'),
    ('address', '10.1.2.3:0'),
    ('address', '10.1.2.3:65536'),
    ('address', 'localhost:80'),
    ('address', '....:80'),
    ('address', '999.1.1.1:80'),
    ('address', '10.1.2.3:٣'),
    ('address', '10.1.2.3:' + '9' * 5000),
    ('zone', None),
    ('version', 1),
    ('slots', 0),
    ('slots', -3),
    ('slots', 1.5),
    ('slots', '10'),
    ('slots', True),
    ('slots', 10**30),
    ('state', 'starting'),
    ('state', 'READY'),
    ('seq', -1),
    ('seq', None),
    ('cold-left-ms', 'soon'),
    ('born', 1.5),
    ('born', '1700000000000'),
    ('born', -1),
    ('born', None),
]


def test_a_valid_entry_is_decoded() -> None:
    entry = decode_upstream('i-1', json.dumps(_VALID).encode())
    assert entry.upstream.incarnation == 'i-1'
    assert entry.serial == 4
    born = json.dumps(_VALID | {'born': 1_700_000_000_000, 'more': []})
    again = decode_upstream('i-1', born.encode()).upstream
    assert again.name == 'i-1'
    assert again.incarnation != entry.upstream.incarnation


@pytest.mark.parametrize('name', list(_VALID))
def test_a_missing_field_is_rejected(name: str) -> None:
    fields = {key: text for key, text in _VALID.items() if key != name}
    with pytest.raises(DecodeError):
        decode_upstream('i-1', json.dumps(fields).encode())


@pytest.mark.parametrize(('name', 'wrong'), _INVALID_FIELDS)
def test_an_invalid_field_is_rejected(name: str, wrong: Any) -> None:
    with pytest.raises(DecodeError):
        decode_upstream('i-1', json.dumps(_VALID | {name: wrong}).encode())


@given(st.sampled_from(list(_VALID)), _json)
def test_fields_of_any_type_are_decoded_or_rejected(
    name: str,
    other: Any,
) -> None:
    raw = json.dumps(_VALID | {name: other}).encode()
    try:
        upstream = decode_upstream('i-1', raw).upstream
    except DecodeError:
        return
    # Accepted values are exactly those of the entry.
    fields = json.loads(raw)
    assert upstream.service == fields['service']
    assert f'{upstream.host}:{upstream.port}' == fields['address']
    assert upstream.slots == fields['slots']
    assert upstream.leaving == (fields['state'] == 'draining')


_DECODERS: list[Callable[[bytes], object]] = [
    lambda raw: decode_upstream('i-1', raw),
    lambda raw: decode_instance('entry-1', raw),
    decode_state,
    decode_quota_use,
    decode_end_records,
]


@pytest.mark.parametrize('decode', _DECODERS)
@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'\xff\xfe\x00',
        _NESTED,
        b'{"a":' * 100_000,
        b'{"slots":' + b'9' * 100_000 + b'}',
        b'NaN',
        b'{"version": 1e999}',
        b'"' + bytes((92,)) + b'ud800"',
        b'null',
    ],
)
def test_invalid_bytes_raise_decode_error(
    decode: Callable[[bytes], object],
    raw: bytes,
) -> None:
    with pytest.raises(DecodeError):
        decode(raw)


@given(st.sampled_from(_DECODERS), st.binary(max_size=80) | _json)
def test_only_decode_error_is_raised(
    decode: Callable[[bytes], object],
    content: Any,
) -> None:
    raw = content
    if not isinstance(content, bytes):
        raw = json.dumps(content).encode()
    try:
        decode(raw)
    except DecodeError:
        return


@given(st.data())
def test_damaged_bytes_raise_only_decode_error(
    given_data: st.DataObject,
) -> None:
    raw = bytearray(json.dumps(_VALID).encode())
    for _ in range(given_data.draw(st.integers(1, 3))):
        position = given_data.draw(st.integers(0, len(raw) - 1))
        raw[position] = given_data.draw(st.integers(0, 255))
    for decode in _DECODERS:
        with contextlib.suppress(DecodeError):
            decode(bytes(raw))


@pytest.mark.parametrize(
    'changes',
    [{'instance': 'entry-2'}, {'front': 'here'}, {'peer': 5}, {'cores': -1}],
)
def test_an_invalid_instance_entry_is_rejected(changes: dict[str, Any]) -> None:
    assert decode_instance('entry-1', json.dumps(_INSTANCE).encode())
    with pytest.raises(DecodeError):
        decode_instance('entry-1', json.dumps(_INSTANCE | changes).encode())


def test_an_invalid_entry_removes_the_upstream() -> None:
    upstreams = UpstreamRegistry()
    upstreams.update('servers/i-2', json.dumps(_VALID).encode())
    upstreams.update(_KEY, json.dumps(_VALID).encode())
    with pytest.raises(DecodeError):
        upstreams.update(_KEY, b'{}')
    assert [upstream.name for upstream in upstreams.all()] == ['i-2']
    upstreams.update(_KEY, json.dumps(_VALID).encode())
    assert len(upstreams.all()) == 2


async def test_a_running_instance_ignores_invalid_entries() -> None:
    async with deployment() as made:
        engine = await made.add_engine('engine-0')
        await made.ready()
        lines: list[str] = []
        with _rejections(lines):
            for _ in range(3):
                _write_invalid_entries(made)
                await made.next_watch()
                await made.next_watch()
        made.store.put('servers/i-late', _VALID)
        instance = made.instances[0]
        await until(lambda: instance.usable_upstreams == 2)
        made.store.remove('servers/i-late')
        await until(lambda: instance.usable_upstreams == 1)
        answer = await made.caller().ask('/stream/x', 'r1', **TOKENS)
        assert answer.status == 200
        assert len(engine.ran) == 1
        # One log line per key, however often it is written.
        assert sorted(lines) == sorted(set(lines))
        assert len(lines) == 6


class _Collector(logging.Handler):
    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self._lines = lines

    def emit(self, record: logging.LogRecord) -> None:
        if record.msg == Event.value_rejected.name:
            self._lines.append(record.__dict__['key'])


@contextlib.contextmanager
def _rejections(lines: list[str]) -> Iterator[None]:
    """Collect the keys of values rejected inside the context."""
    logger = logging.getLogger('tallyhall.entry')
    collector = _Collector(lines)
    logger.addHandler(collector)
    try:
        yield
    finally:
        logger.removeHandler(collector)


def _write_invalid_entries(made: Deployment) -> None:
    store = made.store
    store.put_raw('servers/i-nested', _NESTED)
    store.put_raw('servers/i-bytes', b'\xff\x00')
    store.put('servers/i-part', {'service': MODEL, 'address': '1.2.3.4:5'})
    store.put_raw('tallyhall/instances/entry-9', _NESTED)
    store.put_raw('op/config', b'{"version": 9}')
    store.put_text('servers/i-text', 'no base64 at all')
