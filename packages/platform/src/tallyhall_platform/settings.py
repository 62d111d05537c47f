"""Reads the platform's settings file into the product's options."""

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

from .addresses import parse_address
from .errors import SettingsError
from .parse import KebabStruct, Milliseconds, NonEmptyStr

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'TALLYHALL_CONFIG'
_MILLI = 1000
_BYTES_PER_MB = 1_000_000
# Contract of deployments whose callers and upstreams may read slowly.
_SLOW_PEERS_CONTRACT = 'pressure'
# The contract under which operators order rollouts of versions.
_ROLLOUT_CONTRACT = 'rollout'
# Offsets into `port-range`, the ports reserved for traffic between instances.
_PEER_PORT_OFFSET = 0
_METRICS_PORT_OFFSET = 1
_TUNNEL_PORT_OFFSET = 2
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class _Listen(KebabStruct, frozen=True):
    front: str
    ready: str
    directory: str


class _Limits(KebabStruct, frozen=True):
    max_fds: Annotated[int, msgspec.Meta(gt=0)] = 1024
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0
    # The share of one core that a process gets, and the speed of that core
    # relative to a standard one; not a number of cores.
    cpu_share: _Positive = 1
    cores: _Positive = 1


class _Bounds(KebabStruct, frozen=True):
    revoke_ms: Milliseconds = 0
    grace_s: float = 8
    retry_budget_ratio: float = 0.2
    budget_slack: float = 20
    budget_window_s: float = 10
    quota_window_s: float = 8
    quota_overshoot: float = 0.1
    quota_slack: float = 0
    contact_ms: Milliseconds = 3000
    drain_ms: Milliseconds = 2000
    config_apply_ms: Milliseconds = 2000
    expose_share: _Fraction = 0.1
    expose_slack: _NonNegative = 50


class _Store(KebabStruct, frozen=True):
    address: str
    ttl_min_ms: Milliseconds = 1000


class _SettingsFile(KebabStruct, frozen=True):
    node: NonEmptyStr
    zone: str
    ip: Annotated[str, msgspec.Meta(pattern='^[0-9.]+$')]
    listen: _Listen
    port_range: tuple[int, int]
    platform: _Store
    region: str = ''
    heartbeat_ms: Milliseconds = 1200
    limits: _Limits = _Limits()
    contracts: tuple[str, ...] = ()
    bounds: _Bounds = _Bounds()


def load_options(path: pathlib.Path) -> Options:
    """Read and validate the file; raise SettingsError naming the key."""
    try:
        raw = path.read_bytes()
    except OSError as exc:
        raise SettingsError(f'{path}: cannot be read: {exc.strerror}') from exc
    try:
        return _options(msgspec.convert(_parse_document(raw), _SettingsFile))
    except _InvalidValueError as exc:
        raise SettingsError(_describe(path, exc.key, exc.text)) from exc
    except msgspec.ValidationError as exc:
        raise SettingsError(
            _describe(path, *_split_validation_message(str(exc))),
        ) from exc
    except (ValueError, RecursionError) as exc:
        first = str(exc).partition('\n')[0]
        raise SettingsError(f'{path}: invalid YAML: {first}') from exc


def _parse_document(raw: bytes) -> Any:
    """Parse the file; JSON is also valid YAML, but parses ten times faster."""
    if raw.lstrip().startswith(b'{'):
        return msgspec.json.decode(raw)
    return msgspec.yaml.decode(raw)


class _InvalidValueError(Exception):
    """The value of a key is invalid."""

    def __init__(self, key: str, text: str) -> None:
        super().__init__(f'{key}: {text}')
        self.key = key
        self.text = text


def _split_validation_message(text: str) -> tuple[str, str]:
    """Split a msgspec validation message into the key and the problem."""
    wrong, _, place = text.partition(' - at `$')
    key = place.strip('.`')
    missing = _MISSING_FIELD.fullmatch(wrong)
    if missing is not None:
        key = f'{key}.{missing[1]}'.strip('.')
        wrong = 'is required'
    return key, wrong


def _describe(path: pathlib.Path, key: str, wrong: str) -> str:
    wanted = _EXAMPLES.get(key, 'see docs/SETTINGS.md')
    return f'{path}: {key or "the file"}: {wrong} (example: {wanted})'


_MISSING_FIELD = re.compile('Object missing required field `(.+)`')
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
        return parse_address(text)
    except ValueError as exc:
        raise _InvalidValueError(key, str(exc)) from exc


def _options(raw: _SettingsFile) -> Options:
    bounds = raw.bounds
    first_port = raw.port_range[0]
    return Options(
        instance=raw.node,
        zone=raw.zone,
        region=raw.region,
        front=_address('listen.front', raw.listen.front),
        ready=_address('listen.ready', raw.listen.ready),
        locate=_address('listen.directory', raw.listen.directory),
        peer=Listening(raw.ip, first_port + _PEER_PORT_OFFSET),
        metrics=Listening(raw.ip, first_port + _METRICS_PORT_OFFSET),
        tunnel=Listening(raw.ip, first_port + _TUNNEL_PORT_OFFSET),
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
        memory_bytes=int(raw.limits.memory_mb * _BYTES_PER_MB),
        has_rollouts=_ROLLOUT_CONTRACT in raw.contracts,
        has_slow_peers=_SLOW_PEERS_CONTRACT in raw.contracts,
    )
