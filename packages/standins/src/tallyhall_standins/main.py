"""Starts one stand-in as a process: `python -m tallyhall_standins.main`."""

from __future__ import annotations

import dataclasses
import json
import sys

from .batch import EngineSpeed
from .engine import EngineConfig, EngineStandIn
from .instance_list import InstanceListStandIn
from .kv import KvStandIn
from .plain import PlainStandIn
from .web import RequestHandler, serve
from .weights import WeightStoreStandIn


@dataclasses.dataclass(frozen=True, slots=True)
class StandInSpec:
    """What to start: a kind, a port and the kind's own settings."""

    kind: str
    name: str
    port: int
    options: dict[str, float]

    def to_json(self) -> str:
        """Return the text form for a command line."""
        return json.dumps(dataclasses.asdict(self))


def make_standin(spec: StandInSpec) -> RequestHandler:
    """Return the handler of a stand-in."""
    options = spec.options
    if spec.kind == 'kv':
        return KvStandIn().handle
    if spec.kind == 'list':
        return InstanceListStandIn(options.get('lag_s', 0.5)).handle
    if spec.kind == 'weights':
        models = {'ledger': 100_000, 'kondate': 100_000}
        return WeightStoreStandIn(models, options.get('per_s', 10)).handle
    if spec.kind == 'plain':
        return PlainStandIn(
            spec.name,
            options.get('call_s', 0.02),
            int(options.get('workers', 16)),
        ).handle
    if spec.kind == 'engine':
        return EngineStandIn(_engine_config(spec)).handle
    raise ValueError(f'no stand-in of kind {spec.kind!r}')


def main() -> None:
    """Read the spec from the one argument and serve."""
    spec = StandInSpec(**json.loads(sys.argv[1]))
    serve(make_standin(spec), spec.port)


def _engine_config(spec: StandInSpec) -> EngineConfig:
    options = spec.options
    speed = EngineSpeed()
    factor = options.get('speed', 1)
    return EngineConfig(
        spec.name,
        dataclasses.replace(
            speed,
            step_s=speed.step_s / factor,
            stream_s=speed.stream_s / factor,
            prompt_s=speed.prompt_s / factor,
            max_batch=int(options.get('max_batch', speed.max_batch)),
        ),
        cache_tokens=int(options.get('cache_tokens', 32_768)),
        lag_s=options.get('lag_s', 1.0),
        checks_fencing=bool(options.get('checks_fencing', 1)),
    )


if __name__ == '__main__':
    main()
