"""Maps a host and path to a route and an API key to a workspace.

A route is found with one dictionary lookup per slash in the path, longest
prefix first, so the cost does not depend on the number of routes.
"""

from __future__ import annotations

import random

from .desired import DesiredState, Route, Workspace


class Router:
    """Finds routes and workspaces in one version of the desired state."""

    def __init__(self, state: DesiredState) -> None:
        """Build the index of the routes."""
        self.state = state
        self._routes = {
            (route.host, route.prefix): route for route in state.routes
        }

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of this path."""
        end = path.rfind('/')
        while end >= 0:
            found = self._routes.get((host, path[: end + 1]))
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None

    def workspace(self, key: str) -> Workspace | None:
        """Return the workspace that owns this API key."""
        return self.state.keys.get(key)


def pick_service(route: Route, rng: random.Random) -> str:
    """Return a service of the route, selected randomly by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service
