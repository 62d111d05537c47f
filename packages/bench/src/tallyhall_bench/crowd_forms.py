"""What clients that do not behave send, and to which listener."""

from __future__ import annotations

import enum
import types

from .client_crowd import Form
from .platform_load import KEY, SITE

# Half of the largest head that operators allow, and more headers than most.
_HEAD_BYTES = 8000
_HEADERS = 100
_DEADLINE_MS = 8000


class Listener(enum.StrEnum):
    """A listener of an entry process."""

    front = 'front'
    locate = 'locate'
    ready = 'ready'
    metrics = 'metrics'
    peer = 'peer'
    tunnel = 'tunnel'


def _request(path: str, *lines: str, body: str = '') -> bytes:
    method = 'POST' if body else 'GET'
    if body:
        lines = (*lines, f'Content-Length: {len(body)}')
    head = '\r\n'.join((f'{method} {path} HTTP/1.1', *lines))
    return f'{head}\r\n\r\n{body}'.encode()


_HOST = f'Host: {SITE}'
_ID = 'X-Tallyhall-Request-Id: crowd-%d'
_KEY = f'Authorization: Bearer {KEY}'
_USUAL = (_HOST, _ID, _KEY, f'X-Tallyhall-Deadline-Ms: {_DEADLINE_MS}')
_MANY = tuple(f'X-Filler-{number}: 0123456789' for number in range(_HEADERS))
_LONG = f'X-Filler: {"x" * _HEAD_BYTES}'
_BARE = b'GET / HTTP/1.1\r\n\r\n'
_EXPECT = 'Expect: 100-continue'
_RESOLVE = _request(f'/resolve?name={SITE}&region=r&zone=a', _HOST)
# The beginning of a connection of HTTP/2: its preface, empty settings.
_HTTP2 = b''.join(
    (b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n', bytes((0, 0, 0, 4)), bytes(5))
)
# A ping of HTTP/2.
_PING = bytes((0, 0, 8, 6)) + bytes(13)
# Bytes that no protocol begins with, without a line end.
_NOISE = bytes(range(128, 256)) * 8

# Forms for every listener that speaks HTTP, by name.
HTTP_FORMS = types.MappingProxyType(
    {
        'bare': Form(repeated=_BARE),
        'bare, read': Form(repeated=_BARE, reads=True),
        'no route': Form(repeated=_request('/nowhere/x', *_USUAL)),
        'many headers': Form(repeated=_request('/nowhere/x', *_MANY)),
        'long heads': Form(repeated=_request('/nowhere/x', _LONG)),
        'bodies': Form(
            repeated=_request('/nowhere/x', *_USUAL, body='x' * 100)
        ),
        'expect': Form(
            repeated=_request('/nowhere/x', *_USUAL, _EXPECT, body='x')
        ),
        'pieces': Form(repeated=_BARE, pause_s=0.002, piece=5),
        'open heads': Form(
            opening=b''.join(
                (b'GET / HTTP/1.1\r\nX-Filler: ', b'x' * _HEAD_BYTES)
            )
        ),
        'noise': Form(repeated=_NOISE),
        'upgrades': Form(
            repeated=_request('/', 'Connection: Upgrade', 'Upgrade: h2c')
        ),
        'silent': Form(),
    }
)
# Forms for single listeners, beside those above.
OWN_FORMS: types.MappingProxyType[Listener, types.MappingProxyType[str, Form]]
OWN_FORMS = types.MappingProxyType(
    {
        Listener.front: types.MappingProxyType(
            {
                'no key': Form(repeated=_request('/safe/x', _HOST, _ID)),
                'no id': Form(repeated=_request('/safe/x', _HOST, _KEY)),
                'sound': Form(repeated=_request('/safe/x', *_USUAL)),
                'streams': Form(repeated=_request('/note/x', *_USUAL)),
            }
        ),
        Listener.locate: types.MappingProxyType(
            {
                'resolve': Form(repeated=_RESOLVE),
                'resolve, read': Form(repeated=_RESOLVE, reads=True),
            }
        ),
        Listener.ready: types.MappingProxyType(
            {'ready': Form(repeated=_request('/ready', _HOST))}
        ),
        Listener.metrics: types.MappingProxyType(
            {'metrics': Form(repeated=_request('/metrics', _HOST))}
        ),
    }
)
_OTHER_FORMS = types.MappingProxyType(
    {
        'bare': HTTP_FORMS['bare'],
        'noise': HTTP_FORMS['noise'],
        'silent': HTTP_FORMS['silent'],
        'pings': Form(opening=_HTTP2, repeated=_PING),
        'idle after a preface': Form(opening=_HTTP2),
    }
)


def forms_of(listener: Listener) -> types.MappingProxyType[str, Form]:
    """Return all forms for a listener, by name."""
    if listener in {Listener.peer, Listener.tunnel}:
        return _OTHER_FORMS
    own = OWN_FORMS.get(listener, types.MappingProxyType({}))
    return types.MappingProxyType({**HTTP_FORMS, **own})
