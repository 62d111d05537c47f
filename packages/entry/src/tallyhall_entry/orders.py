"""Loads what leads roll-outs with the first order; most starts see none."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from tallyhall_dispatch.options import Options
from tallyhall_edge.scheduling import Dispatcher
from tallyhall_platform.calls import CallCounts
from tallyhall_platform.store import Change

from .logs import EventLog

if TYPE_CHECKING:
    from .rollouts import Rollouts


class Orders:
    """Takes orders of roll-outs and what becomes of them."""

    def __init__(
        self,
        options: Options,
        dispatcher: Dispatcher,
        counts: CallCounts,
        incarnation: str,
        owns: Callable[[str], bool],
        log: EventLog,
    ) -> None:
        """Wait for the first order; `owns` tells whose service it is."""
        self._options = options
        self._dispatcher = dispatcher
        self._counts = counts
        self._incarnation = incarnation
        self._owns = owns
        self._log = log
        self._rollouts: Rollouts | None = None

    def take(self, change: Change, made_after: float) -> None:
        """Take an order or a status; raise DecodeError."""
        if self._rollouts is None:
            from .rollouts import new_rollouts  # noqa: PLC0415, WPS433

            self._rollouts = new_rollouts(
                self._options,
                self._dispatcher,
                self._counts,
                self._incarnation,
                self._owns,
                self._log,
            )
        self._rollouts.take(change, made_after)

    def look(self) -> None:
        """Lead what is to be led from here."""
        if self._rollouts is not None:
            self._rollouts.look()

    def close(self) -> None:
        """Cease to lead at once."""
        if self._rollouts is not None:
            self._rollouts.close()
