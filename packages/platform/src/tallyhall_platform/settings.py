"""The platform's settings file, checked and turned into the product's own."""

from __future__ import annotations

import pathlib
from typing import Annotated, Any

import pydantic
import yaml
from tallyhall_dispatch.options import (
    Bounds,
    Listening,
    Options,
    StoreOptions,
)

from .errors import SettingsError

# The platform names the settings file in this variable.
SETTINGS_VARIABLE = 'TALLYHALL_CONFIG'
_MILLI = 1000
# Offsets into the range of ports that is free for traffic between instances.
_PEER_PORT = 0
_METRICS_PORT = 1

_MOST_PORT = 65_535


def _checked_port(text: str) -> str:
    if int(text.rpartition(':')[2]) > _MOST_PORT:
        raise ValueError(f'a port is at most {_MOST_PORT}')
    return text


Address = Annotated[
    str,
    pydantic.Field(pattern=r'^[0-9.]+:[0-9]{1,5}$'),
    pydantic.AfterValidator(_checked_port),
]
Millis = Annotated[float, pydantic.Field(ge=0)]


def _dashed(name: str) -> str:
    return name.replace('_', '-')


class _Section(pydantic.BaseModel):
    # New keys may come at any time and are not an error.
    model_config = pydantic.ConfigDict(
        extra='ignore',
        frozen=True,
        alias_generator=_dashed,
        populate_by_name=True,
    )


class _Listen(_Section):
    front: Address
    ready: Address
    directory: Address


class _Limits(_Section):
    max_fds: Annotated[int, pydantic.Field(gt=0)] = 1024
    # The part of one core that a process gets, and how much faster than a
    # usual one that core is; not a number of cores.
    cpu_share: Annotated[float, pydantic.Field(gt=0)] = 1
    cores: Annotated[float, pydantic.Field(gt=0)] = 1


class _Bounds(_Section):
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


class _Store(_Section):
    address: Address
    ttl_min_ms: Millis = 1000


class _Whole(_Section):
    node: Annotated[str, pydantic.Field(min_length=1)]
    zone: str
    region: str = ''
    ip: Annotated[str, pydantic.Field(pattern=r'^[0-9.]+$')]
    listen: _Listen
    port_range: tuple[int, int]
    heartbeat_ms: Millis = 1200
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    platform: _Store


def load_options(path: pathlib.Path) -> Options:
    """Read and check the file; raise SettingsError naming the key."""
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as exc:
        raise SettingsError(f'{path}: cannot be read: {exc.strerror}') from exc
    try:
        raw = yaml.load(text, Loader=yaml.CSafeLoader)  # noqa: S506
    except yaml.YAMLError as exc:
        first = str(exc).partition('\n')[0]
        raise SettingsError(f'{path}: no valid YAML: {first}') from exc
    try:
        return _options(_Whole.model_validate(raw))
    except pydantic.ValidationError as exc:
        fault = exc.errors(include_input=False, include_url=False)[0]
        raise SettingsError(_describe(path, dict(fault))) from exc


def _describe(path: pathlib.Path, fault: dict[str, Any]) -> str:
    key = '.'.join(str(part) for part in fault['loc'])
    wanted = _EXAMPLES.get(key, 'see docs/SETTINGS.md')
    return f'{path}: {key or "the file"}: {fault["msg"]} (example: {wanted})'


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


def listening(text: str) -> Listening:
    """Return the address in HOST:PORT; raise ValueError."""
    host, _, port = text.rpartition(':')
    return Listening(host, int(port))


def _options(raw: _Whole) -> Options:
    bounds = raw.bounds
    first_port = raw.port_range[0]
    return Options(
        instance=raw.node,
        zone=raw.zone,
        region=raw.region,
        front=listening(raw.listen.front),
        ready=listening(raw.listen.ready),
        locate=listening(raw.listen.directory),
        peer=Listening(raw.ip, first_port + _PEER_PORT),
        metrics=Listening(raw.ip, first_port + _METRICS_PORT),
        store=StoreOptions(
            listening(raw.platform.address),
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
        ),
        descriptors=raw.limits.max_fds,
        cores=raw.limits.cpu_share * raw.limits.cores,
    )
