"""The platform's settings file, checked and turned into the product's own."""

from __future__ import annotations

import pathlib
import re
from typing import Annotated, Any

import msgspec
from tallyhall_dispatch.options import (
    Bounds,
    Listening,
    Options,
    StoreOptions,
)

from .addresses import listening
from .errors import SettingsError
from .parse import Millis, Name, Part

# The platform names the settings file in this variable.
SETTINGS_VARIABLE = 'TALLYHALL_CONFIG'
_MILLI = 1000
# Offsets into the range of ports that is free for traffic between instances.
_PEER_PORT = 0
_METRICS_PORT = 1
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Amount = Annotated[float, msgspec.Meta(ge=0)]


class _Listen(Part, frozen=True):
    front: str
    ready: str
    directory: str


class _Limits(Part, frozen=True):
    max_fds: Annotated[int, msgspec.Meta(gt=0)] = 1024
    # The part of one core that a process gets, and how much faster than a
    # usual one that core is; not a number of cores.
    cpu_share: _Positive = 1
    cores: _Positive = 1


class _Bounds(Part, frozen=True):
    revoke_ms: Millis = 0
    grace_s: float = 8
    retry_budget_ratio: float = 0.2
    budget_slack: float = 20
    budget_window_s: float = 10
    quota_window_s: float = 8
    quota_overshoot: float = 0.1
    quota_slack: float = 0
    contact_ms: Millis = 3000
    drain_ms: Millis = 2000
    config_apply_ms: Millis = 2000
    expose_share: _Share = 0.1
    expose_slack: _Amount = 50


class _Store(Part, frozen=True):
    address: str
    ttl_min_ms: Millis = 1000


class _Whole(Part, frozen=True):
    node: Name
    zone: str
    ip: Annotated[str, msgspec.Meta(pattern='^[0-9.]+$')]
    listen: _Listen
    port_range: tuple[int, int]
    platform: _Store
    region: str = ''
    heartbeat_ms: Millis = 1200
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def load_options(path: pathlib.Path) -> Options:
    """Read and check the file; raise SettingsError naming the key."""
    try:
        raw = path.read_bytes()
    except OSError as exc:
        raise SettingsError(f'{path}: cannot be read: {exc.strerror}') from exc
    try:
        return _options(msgspec.convert(_tree(raw), _Whole))
    except _FaultError as exc:
        raise SettingsError(_describe(path, exc.key, exc.text)) from exc
    except msgspec.ValidationError as exc:
        raise SettingsError(_describe(path, *_fault(str(exc)))) from exc
    except (ValueError, RecursionError) as exc:
        first = str(exc).partition('\n')[0]
        raise SettingsError(f'{path}: no valid YAML: {first}') from exc


def _tree(raw: bytes) -> Any:
    """Return what the file holds; JSON is YAML and is read in a tenth."""
    if raw.lstrip().startswith(b'{'):
        return msgspec.json.decode(raw)
    return msgspec.yaml.decode(raw)


class _FaultError(Exception):
    """The text under a key is not what it must be."""

    def __init__(self, key: str, text: str) -> None:
        super().__init__(f'{key}: {text}')
        self.key = key
        self.text = text


def _fault(text: str) -> tuple[str, str]:
    """Return the key that a checker's message names, and what is wrong."""
    wrong, _, place = text.partition(' - at `$')
    key = place.strip('.`')
    missing = _MISSING.fullmatch(wrong)
    if missing is not None:
        key = f'{key}.{missing[1]}'.strip('.')
        wrong = 'is required'
    return key, wrong


def _describe(path: pathlib.Path, key: str, wrong: str) -> str:
    wanted = _EXAMPLES.get(key, 'see docs/SETTINGS.md')
    return f'{path}: {key or "the file"}: {wrong} (example: {wanted})'


_MISSING = re.compile('Object missing required field `(.+)`')
_EXAMPLES = {  # noqa: WPS407
    'node': 'node: "front-a-1"',
    'zone': 'zone: "walu-a"',
    'ip': 'ip: "10.1.0.25"',
    'listen': 'listen: {front: "10.1.0.25:8221", ready: ..., directory: ...}',
    'listen.front': 'front: "10.1.0.25:8221"',
    'listen.ready': 'ready: "10.1.0.25:8224"',
    'listen.directory': 'directory: "10.1.0.25:8220"',
    'port-range': 'port-range: [7600, 7615]',
    'platform': 'platform: {address: "10.200.1.7:8225"}',
    'platform.address': 'address: "10.200.1.7:8225"',
}


def _address(key: str, text: str) -> Listening:
    try:
        return listening(text)
    except ValueError as exc:
        raise _FaultError(key, str(exc)) from exc


def _options(raw: _Whole) -> Options:
    bounds = raw.bounds
    first_port = raw.port_range[0]
    return Options(
        instance=raw.node,
        zone=raw.zone,
        region=raw.region,
        front=_address('listen.front', raw.listen.front),
        ready=_address('listen.ready', raw.listen.ready),
        locate=_address('listen.directory', raw.listen.directory),
        peer=Listening(raw.ip, first_port + _PEER_PORT),
        metrics=Listening(raw.ip, first_port + _METRICS_PORT),
        store=StoreOptions(
            _address('platform.address', raw.platform.address),
            raw.platform.ttl_min_ms / _MILLI,
            raw.heartbeat_ms / _MILLI,
        ),
        bounds=Bounds(
            revoke_s=bounds.revoke_ms / _MILLI,
            grace_s=bounds.grace_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_allowance=bounds.budget_slack,
            retry_window_s=bounds.budget_window_s,
            quota_window_s=bounds.quota_window_s,
            quota_overshoot=bounds.quota_overshoot,
            quota_slack=bounds.quota_slack,
            contact_s=bounds.contact_ms / _MILLI,
            change_s=min(bounds.drain_ms, bounds.config_apply_ms) / _MILLI,
            exposed_share=bounds.expose_share,
            exposed_allowance=bounds.expose_slack,
        ),
        descriptors=raw.limits.max_fds,
        cores=raw.limits.cpu_share * raw.limits.cores,
    )
