"""Real processes on one machine: entry instances and stand-ins.

Only this harness starts processes; the product never does. Every process is
ended by its own id when the fleet closes.
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable
from typing import Any

import urllib3
from tallyhall_standins.main import StandInSpec

from . import tables
from .ports import HOST, free_ports

_START_S = 30.0
_STOP_S = 20.0
_POLL_S = 0.1
_OK = 200

_SETTINGS = """\
policy = "{policy}"

[instance]
name = "{name}"
zone = "{zone}"
http = "{http}"
rpc = "{rpc}"

[platform]
kv = "http://{kv}"
instances = "http://{instances}"
timeout_s = 1.0
{extra}
"""


class FleetError(RuntimeError):
    """A process of the fleet did not come up."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """One upstream to start: service, kind and the stand-in's options."""

    service: str
    kind: str
    name: str
    options: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSpec:
    """What to start. table: the whole table as JSON fields."""

    instances: int
    upstreams: tuple[UpstreamSpec, ...]
    table: dict[str, Any]
    policy: str = 'tallyhall'
    list_lag_s: float = 0.5
    settings: str = ''
    zones: tuple[str, ...] = ('a', 'b', 'c', 'd')


@dataclasses.dataclass(slots=True)
class Member:
    """One started process."""

    name: str
    address: str
    process: subprocess.Popen[bytes]
    service: str = ''
    rpc: str = ''
    leaving: bool = False

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None


class Fleet:
    """Instances and stand-ins; a context manager that ends them all."""

    def __init__(self, spec: FleetSpec) -> None:
        """Prepare; `start` starts the processes."""
        self.spec = spec
        self.instances: dict[str, Member] = {}
        self.upstreams: dict[str, Member] = {}
        self.platform: dict[str, Member] = {}
        # upstream name -> address of a proxy to announce in its place
        self.routes: dict[str, str] = {}
        self.list_revision = 0
        self.http = urllib3.PoolManager(retries=False, timeout=5, num_pools=64)
        self._dir = tempfile.TemporaryDirectory(prefix='tallyhall-')
        self.folder = pathlib.Path(self._dir.name)

    def __enter__(self) -> Fleet:
        """Start all processes and wait until they are ready."""
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        """End all processes."""
        self.close()

    @property
    def seeds(self) -> tuple[str, ...]:
        """Return the addresses that callers know."""
        return tuple(member.address for member in self.instances.values())

    def start(self) -> None:
        """Start all processes and wait until they are ready."""
        self._start_standins()
        tables.put_table(self.platform['kv'].address, self.spec.table)
        for number in range(self.spec.instances):
            self.start_instance(f'entry-{number + 1}', announce=False)
        self.announce()
        for member in self.instances.values():
            self.wait_ready(member)

    def close(self) -> None:
        """End all processes by their ids."""
        members = [*self.instances.values(), *self.upstreams.values()]
        members += self.platform.values()
        for member in members:
            if member.is_running:
                member.process.send_signal(signal.SIGCONT)
                member.process.kill()
        for member in members:
            member.process.wait(_STOP_S)
        self._dir.cleanup()

    # -- instances

    def start_instance(self, name: str, *, announce: bool = True) -> Member:
        """Start one entry instance; it may not be ready yet."""
        http_port, rpc_port = free_ports(2)
        zones = self.spec.zones
        text = _SETTINGS.format(
            policy=self.spec.policy,
            name=name,
            zone=zones[len(self.instances) % len(zones)],
            http=f'{HOST}:{http_port}',
            rpc=f'{HOST}:{rpc_port}',
            kv=self.platform['kv'].address,
            instances=self.platform['list'].address,
            extra=self.spec.settings,
        )
        path = self.folder / f'{name}-{http_port}.toml'
        path.write_text(text, encoding='utf-8')
        log = (self.folder / f'{name}.log').open('ab')
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'tallyhall_daemon.main',
                'serve',
                str(path),
            ],
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        member = Member(
            name,
            f'{HOST}:{http_port}',
            process,
            rpc=f'{HOST}:{rpc_port}',
        )
        self.instances[name] = member
        if announce:
            self.announce()
        return member

    def wait_ready(self, member: Member) -> None:
        """Wait until an instance is ready; raise FleetError."""
        until = time.monotonic() + _START_S
        while time.monotonic() < until:
            if not member.is_running:
                log = (self.folder / f'{member.name}.log').read_text()
                raise FleetError(f'{member.name} ended: {log[-2000:]}')
            if self.is_ready(member):
                return
            time.sleep(_POLL_S)
        raise FleetError(f'{member.name} is not ready in {_START_S} s')

    def is_ready(self, member: Member) -> bool:
        """Return whether an instance knows its peers and all owners."""
        state = self.status(member)
        if state is None or not state['ready']:
            return False
        running = [one for one in self.instances.values() if one.is_running]
        knows_all = len(state['members']) >= len(running)
        return knows_all and bool(state['owners'])

    def status(self, member: Member) -> dict[str, Any] | None:
        """Return an instance's own status, None if it does not answer."""
        try:
            resp = self.http.request('GET', f'http://{member.address}/status')
            state: dict[str, Any] = json.loads(resp.data)
        except (urllib3.exceptions.HTTPError, ValueError):
            return None
        return state

    def events(self) -> list[dict[str, Any]]:
        """Return all logged events of all instances."""
        found = []
        for path in sorted(self.folder.glob('entry-*.log')):
            for line in path.read_text(errors='replace').splitlines():
                with contextlib.suppress(ValueError):
                    found.append(json.loads(line))
        return found

    # -- the platform

    def announce(self) -> None:
        """Put all running members into the instance list."""
        endpoints = [
            {
                'service': 'tallyhall',
                'name': member.name,
                'address': member.rpc,
                'leaving': member.leaving,
            }
            for member in self.instances.values()
            if member.is_running
        ]
        endpoints += [
            {
                'service': member.service,
                'name': member.name,
                'address': self.routes.get(member.name, member.address),
                'leaving': member.leaving,
            }
            for member in self.upstreams.values()
        ]
        answer = self.post(
            'list',
            '/standin/endpoints',
            {'endpoints': endpoints},
        )
        self.list_revision = int(answer['revision'])

    def settle_list(self) -> None:
        """Wait until every instance has taken the newest instance list."""
        revision = self.list_revision
        until = time.monotonic() + _START_S
        for member in self.instances.values():
            while time.monotonic() < until:
                state = self.status(member)
                if state and state['list_revision'] >= revision:
                    break
                time.sleep(_POLL_S)

    def edit_weight(self, workspace: str, weight: float) -> None:
        """Change one row as an operator; a platform fault is passed over."""
        tables.set_weight(self.platform['kv'].address, workspace, weight)

    def faults(self, name: str, **settings: object) -> None:
        """Set the faults of a stand-in."""
        self.post(name, '/standin/faults', settings)

    def counts(self, name: str) -> dict[str, Any]:
        """Return the counts of a stand-in."""
        address = self._member(name).address
        resp = self.http.request('GET', f'http://{address}/standin/counts')
        counts: dict[str, Any] = json.loads(resp.data)
        return counts

    def all_counts(self) -> dict[str, dict[str, Any]]:
        """Return the counts of every upstream."""
        return {name: self.counts(name) for name in self.upstreams}

    def post(self, name: str, path: str, body: object) -> dict[str, Any]:
        """Send a control call to a stand-in and return its answer."""
        address = self._member(name).address
        resp = self.http.request(
            'POST',
            f'http://{address}{path}',
            body=json.dumps(body),
            headers={'content-type': 'application/json'},
        )
        answer: dict[str, Any] = json.loads(resp.data)
        return answer

    # -- internals

    def _member(self, name: str) -> Member:
        return self.platform.get(name) or self.upstreams[name]

    def _start_standins(self) -> None:
        specs = [('kv', 'kv', {}), ('list', 'list', self._list_options())]
        ports = free_ports(len(specs) + len(self.spec.upstreams))
        for (kind, name, options), port in zip(specs, ports, strict=False):
            self.platform[name] = _standin(kind, name, port, options)
        rest = ports[len(specs) :]
        for upstream, port in zip(self.spec.upstreams, rest, strict=True):
            member = _standin(
                upstream.kind,
                upstream.name,
                port,
                upstream.options,
            )
            member.service = upstream.service
            self.upstreams[upstream.name] = member
        started = [*self.platform.values(), *self.upstreams.values()]
        self._wait_listening(started)

    def _list_options(self) -> dict[str, float]:
        return {'lag_s': self.spec.list_lag_s}

    def _wait_listening(self, members: Iterable[Member]) -> None:
        until = time.monotonic() + _START_S
        for member in members:
            while not _listens(member.address):
                if time.monotonic() > until or not member.is_running:
                    raise FleetError(f'{member.name} did not start')
                time.sleep(_POLL_S)


def _standin(
    kind: str,
    name: str,
    port: int,
    options: dict[str, float],
) -> Member:
    spec = StandInSpec(kind, name, port, options)
    process = subprocess.Popen(
        [sys.executable, '-m', 'tallyhall_standins.main', spec.to_json()],
    )
    return Member(name, f'{HOST}:{port}', process)


def _listens(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        socket.create_connection((host, int(port)), 1).close()
    except OSError:
        return False
    return True
