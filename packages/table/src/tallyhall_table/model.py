"""Pydantic models of the table and its rows.

The table is stored as one value in the KV. Rows are immutable: an edit creates
a new table. Rates are per second for the whole fleet; None means no limit.
"""

from __future__ import annotations

import collections
import functools
from typing import Annotated, Literal

import pydantic

Name = Annotated[
    str,
    pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,39}$'),
]
Positive = Annotated[float, pydantic.Field(gt=0, le=1e9)]
Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]

HISTORY_KEPT = 20
MAX_DEADLINE_S = 3600
MAX_RANK = 99


class Row(pydantic.BaseModel):
    """Base class of rows: immutable, unknown fields are rejected."""

    model_config = pydantic.ConfigDict(frozen=True, extra='forbid')


class TierRow(Row):
    """A tier; rank 0 is the highest and is shed last.

    deadline_s: default and longest time to the complete response; a request
    can specify a shorter one. gap_s: maximum time between two tokens.
    """

    name: Name
    rank: Annotated[int, pydantic.Field(ge=0, le=MAX_RANK)]
    deadline_s: Annotated[float, pydantic.Field(gt=0, le=MAX_DEADLINE_S)]
    first_token_s: Positive = 0.45
    gap_s: Positive = 0.076
    goodput_weight: Positive = 1


class ServiceRow(Row):
    """A service; its upstreams come from the platform's instance list.

    checks_fencing: whether its engines reject orders with an outdated fencing
    token. max_running: maximum concurrent requests per upstream.
    """

    name: Name
    kind: Literal['model', 'plain'] = 'model'
    model: str = ''
    checks_fencing: bool = False
    max_running: Count = 64
    max_queue: Count = 10_000


class LimitRow(Row):
    """Weight and limits of a workspace at a service."""

    workspace: Name
    service: Name
    tiers: tuple[Name, ...]
    weight: Positive = 1
    rate: Positive | None = None
    concurrency: Count | None = None
    tokens_per_s: Positive | None = None


class Change(Row):
    """Entry of the change history."""

    revision: int
    change_id: str
    author: str
    at: str
    summary: str


class Table(Row):
    """A revision of the table."""

    revision: int = 0
    tiers: tuple[TierRow, ...] = ()
    services: tuple[ServiceRow, ...] = ()
    limits: tuple[LimitRow, ...] = ()
    history: tuple[Change, ...] = ()

    @pydantic.model_validator(mode='after')
    def check_references(self) -> Table:
        """Check that names are unique and that limits refer to rows."""
        _check_unique('tiers', [row.name for row in self.tiers])
        _check_unique('tier ranks', [str(row.rank) for row in self.tiers])
        _check_unique('services', [row.name for row in self.services])
        keys = [f'{row.workspace}/{row.service}' for row in self.limits]
        _check_unique('limits', keys)
        tiers = {row.name for row in self.tiers}
        services = {row.name for row in self.services}
        for limit in self.limits:
            if limit.service not in services:
                raise ValueError(f'no service named {limit.service!r}')
            unknown = set(limit.tiers) - tiers
            if unknown:
                raise ValueError(f'no tier named {sorted(unknown)}')
        return self

    def tier(self, name: str) -> TierRow | None:
        """Return the tier with this name."""
        return next((row for row in self.tiers if row.name == name), None)

    def service(self, name: str) -> ServiceRow | None:
        """Return the service with this name."""
        return next((row for row in self.services if row.name == name), None)

    def limit(self, workspace: str, service: str) -> LimitRow | None:
        """Return the limits of a workspace at a service."""
        return self._limits_by_key.get((workspace, service))

    def has_workspace(self, workspace: str) -> bool:
        """Return whether a limit row refers to the workspace."""
        return workspace in self._workspaces

    @functools.cached_property
    def _limits_by_key(self) -> dict[tuple[str, str], LimitRow]:
        return {(row.workspace, row.service): row for row in self.limits}

    @functools.cached_property
    def _workspaces(self) -> frozenset[str]:
        return frozenset(row.workspace for row in self.limits)


def _check_unique(kind: str, names: list[str]) -> None:
    counts = collections.Counter(names)
    repeated = sorted(name for name, count in counts.items() if count > 1)
    if repeated:
        raise ValueError(f'{kind} are not unique: {repeated}')
