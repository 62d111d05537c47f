"""The instance list in the form that instances share."""

from __future__ import annotations

import pydantic
from pydantic.dataclasses import dataclass
from tallyhall_admission.upstream import UpstreamInfo


@dataclass(frozen=True)
class ListedUpstream:
    """One endpoint of a service."""

    service: str
    name: str
    address: str
    leaving: bool


@dataclass(frozen=True)
class InstanceList:
    """All listed upstreams, and the rpc addresses of entry instances."""

    upstreams: tuple[ListedUpstream, ...] = ()
    entries: tuple[str, ...] = ()

    def of(self, service: str) -> tuple[UpstreamInfo, ...]:
        """Return a service's upstreams in order of name."""
        found = [
            UpstreamInfo(up.name, up.address, up.leaving)
            for up in self.upstreams
            if up.service == service
        ]
        return tuple(sorted(found, key=lambda info: info.name))


_ADAPTER = pydantic.TypeAdapter(InstanceList)


class BadInstanceListError(ValueError):
    """A text that is no instance list."""


def encode(instances: InstanceList) -> str:
    """Return the JSON text that travels between instances."""
    return _ADAPTER.dump_json(instances).decode()


def decode(text: str) -> InstanceList:
    """Read the JSON text; raise BadInstanceListError."""
    try:
        return _ADAPTER.validate_json(text)
    except pydantic.ValidationError as exc:
        raise BadInstanceListError(str(exc)) from exc
