"""Imports the rollout code when the first order arrives.

Most instances never see an order, and the import slows down their start.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from tallyhall_dispatch.options import Options
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_platform.call_counts import CallCounts
from tallyhall_platform.store import Change

from .logs import EventLog

if TYPE_CHECKING:
    from .rollouts import Rollouts


class LazyRollouts:
    """Receives rollout orders and their statuses."""

    def __init__(
        self,
        options: Options,
        dispatcher: Dispatcher,
        counts: CallCounts,
        incarnation: str,
        owns: Callable[[str], bool],
        log: EventLog,
    ) -> None:
        """Initialize without loading the rollout code.

        owns: returns whether this instance owns a service.
        """
        self._options = options
        self._dispatcher = dispatcher
        self._counts = counts
        self._incarnation = incarnation
        self._owns = owns
        self._log = log
        self._rollouts: Rollouts | None = None

    def take(self, change: Change, made_after: float) -> None:
        """Apply a changed order or status; raise DecodeError."""
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

    def poll(self) -> None:
        """Start leading rollouts of services that this instance owns."""
        if self._rollouts is not None:
            self._rollouts.poll()

    def close(self) -> None:
        """Stop leading immediately, without writing anything to the store."""
        if self._rollouts is not None:
            self._rollouts.close()
