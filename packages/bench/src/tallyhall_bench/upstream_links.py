"""The links of one instance to all upstreams, which can be lost together."""

from __future__ import annotations

import functools
import json
from collections.abc import Callable, Iterable, Mapping

from tallyhall_dispatch.options import Listening

from .faulty_link import FaultyLink, LinkFault
from .platform_fleet import open_link

# silent: nothing is answered, on open connections or new ones. reset: all
# connections are reset, also new ones. refused: only new ones are reset.
# closed: all are reset and nothing listens.
MODES = ('silent', 'reset', 'refused', 'closed')


class UpstreamLinks:
    """The links of one instance to all upstreams."""

    def __init__(self, links: Mapping[str, FaultyLink]) -> None:
        """Disturb these links, by the address that an upstream registered."""
        self._links = links
        self._closed = False

    @classmethod
    async def open(
        cls, targets: Iterable[Listening]
    ) -> tuple[UpstreamLinks, Callable[[str, bytes], bytes]]:
        """Open a link to each address; return a view that names the links."""
        links = {}
        places = {}
        for target in targets:
            link, place = await open_link(target)
            links[str(target)] = link
            places[str(target)] = str(place)
        return cls(links), functools.partial(_name_links, places)

    async def lose(self, how: str) -> None:
        """Lose all upstreams in one of the ways of `MODES`."""
        for link in self._links.values():
            if how == 'silent':
                link.fault = LinkFault.unanswered
            elif how == 'refused':
                link.fault = LinkFault.refused
            elif how == 'reset':
                link.fault = LinkFault.refused
                link.reset_all()
            else:
                self._closed = True
                link.close()

    async def restore(self) -> None:
        """Reach all upstreams again, also if another loss ends meanwhile."""
        was_closed = self._closed
        self._closed = False
        for link in self._links.values():
            swallowed = link.fault is LinkFault.unanswered
            link.fault = LinkFault.none
            if swallowed:
                # What was swallowed is lost: nothing can follow on it.
                link.reset_all()
            if was_closed:
                await link.reopen()


def _name_links(places: Mapping[str, str], key: str, content: bytes) -> bytes:
    """Return an upstream's entry with the address of the link to it."""
    if not key.startswith('servers/'):
        return content
    fields = json.loads(content)
    fields['address'] = places.get(fields['address'], fields['address'])
    return json.dumps(fields).encode()
