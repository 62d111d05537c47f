"""The list of upstreams and instances, as shared between instances."""

from __future__ import annotations

import pydantic
from pydantic.dataclasses import dataclass
from tallyhall_admission.upstream import UpstreamInfo


@dataclass(frozen=True)
class ListedUpstream:
    """One upstream of a service; `leaving` if it accepts no new requests."""

    service: str
    name: str
    address: str
    leaving: bool


@dataclass(frozen=True)
class InstanceList:
    """All listed upstreams, and the RPC addresses of the entry instances."""

    upstreams: tuple[ListedUpstream, ...] = ()
    entries: tuple[str, ...] = ()

    def upstreams_of(self, service: str) -> tuple[UpstreamInfo, ...]:
        """Return the upstreams of a service, sorted by name."""
        found = [
            UpstreamInfo(up.name, up.address, up.leaving)
            for up in self.upstreams
            if up.service == service
        ]
        return tuple(sorted(found, key=lambda info: info.name))


_ADAPTER = pydantic.TypeAdapter(InstanceList)


class BadInstanceListError(ValueError):
    """The text is not a valid instance list."""


def encode(instances: InstanceList) -> str:
    """Encode the list as JSON."""
    return _ADAPTER.dump_json(instances).decode()


def decode(text: str) -> InstanceList:
    """Decode the list from JSON; raise BadInstanceListError if invalid."""
    try:
        return _ADAPTER.validate_json(text)
    except pydantic.ValidationError as exc:
        raise BadInstanceListError(str(exc)) from exc
