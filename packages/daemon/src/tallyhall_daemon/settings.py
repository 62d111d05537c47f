"""The settings file: TOML, checked in full before anything starts.

docs/SETTINGS.md has a paragraph for each key.
"""

from __future__ import annotations

import ipaddress
import pathlib
import tomllib
from typing import Annotated, Literal

import pydantic
from tallyhall_admission.settings import PoolSettings
from tallyhall_membership.members import MemberSettings
from tallyhall_node.settings import NodeSettings

from .errors import SettingsError

_EXIT_SETTINGS = 2
_MAX_PORT = 65_535


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError('needs IP:PORT with a port from 1 to 65535')
    return text


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Url = Annotated[str, pydantic.Field(pattern=r'^http://[0-9.\[\]:a-f]+/?$')]
Seconds = Annotated[float, pydantic.Field(gt=0, le=3600)]


class Section(pydantic.BaseModel):
    """What all sections have in common: frozen, no unknown keys."""

    model_config = pydantic.ConfigDict(frozen=True, extra='forbid')


class InstanceSection(Section):
    """Who this instance is; addresses are IP numbers with a port."""

    name: Annotated[str, pydantic.Field(pattern='^[a-z0-9-]{1,40}$')]
    zone: Annotated[str, pydantic.Field(min_length=1, max_length=40)]
    http: Address
    rpc: Address


class PlatformSection(Section):
    """Where the platform's services are."""

    kv: Url
    instances: Url
    weights: Url | None = None
    timeout_s: Seconds = 2


class MetricsSection(Section):
    """Where counters go; none are sent without an address."""

    statsd: Address | None = None
    prefix: str = 'tallyhall'


class HttpSection(Section):
    """Bounds of the HTTP interface."""

    threads: Annotated[int, pydantic.Field(ge=8, le=2000)] = 256
    max_body_bytes: Annotated[int, pydantic.Field(ge=1000)] = 4_000_000
    answers_kept_s: Seconds = 30
    abandon_s: Seconds = 10


class TimesSection(Section):
    """Periods of the instance's decisions, in seconds."""

    beat_s: Seconds = 0.5
    dead_after_s: Seconds = 2.5
    reask_s: Seconds = 1.0
    rebuild_s: Seconds = 1.5
    duty_s: Seconds = 0.4
    window_s: Seconds = 60
    locate_s: Seconds = 5
    permit_s: Seconds = 1
    hold_s: Seconds = 2
    list_s: Seconds = 1
    load_s: Seconds = 0.5


class LogSection(Section):
    """What is logged."""

    level: Literal['debug', 'info', 'warning', 'error'] = 'info'


class Settings(Section):
    """The whole settings file."""

    instance: InstanceSection
    platform: PlatformSection
    metrics: MetricsSection = MetricsSection()
    http: HttpSection = HttpSection()
    times: TimesSection = TimesSection()
    log: LogSection = LogSection()
    policy: Literal['tallyhall', 'round-robin', 'least-load'] = 'tallyhall'

    def node(self) -> NodeSettings:
        """Return the settings of the decisions."""
        times = self.times
        return NodeSettings(
            policy=self.policy,
            heartbeat_s=times.beat_s,
            permit_retry_s=times.reask_s,
            report_timeout_s=times.rebuild_s,
            proposal_delay_s=times.duty_s,
            window_s=times.window_s,
            locate_cache_s=times.locate_s,
            max_pause_s=times.dead_after_s / 2,
            pool=PoolSettings(permit_s=times.permit_s, hold_s=times.hold_s),
            members=MemberSettings(dead_after=times.dead_after_s),
        )


def load_settings(path: pathlib.Path) -> Settings:
    """Read and check a file; raise SettingsError naming key and value."""
    try:
        raw = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as exc:
        raise SettingsError(
            f'{path}: cannot be read ({exc.strerror}); give an existing file',
            _EXIT_SETTINGS,
        ) from exc
    except ValueError as exc:
        raise SettingsError(
            f'{path}: not valid TOML: {exc}',
            _EXIT_SETTINGS,
        ) from exc
    try:
        return Settings.model_validate(raw)
    except pydantic.ValidationError as exc:
        faults = '\n'.join(_describe(path, fault) for fault in exc.errors())
        raise SettingsError(faults, _EXIT_SETTINGS) from exc


def _describe(path: pathlib.Path, fault: object) -> str:
    if not isinstance(fault, dict):
        return str(path)
    key = '.'.join(str(part) for part in fault['loc'])
    return f'{path}: {key} = {fault["input"]!r:.60}: {fault["msg"]}'
