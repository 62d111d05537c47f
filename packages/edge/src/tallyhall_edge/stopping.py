"""Which work a stopping instance still begins, as it must end before it does.

A request that is refused costs its caller another attempt; one that is cut off
may have run, and may not be sent again. So nothing is begun that would probably
outlast the instance.
"""

from __future__ import annotations

import msgspec
from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_dispatch.gate import Admitted

from .longest_runs import LongestRuns
from .request_context import RequestContext

# Retry-After in seconds for callers that a stopping instance refuses; other
# instances are available at once.
_RETRY_AFTER_S = 0.1
# Time in seconds that each first send is given at least, and each one where
# nothing is known of the runs.
_LEAST_RUN_S = 2.2
# A run may take longer than the longest recent one by this factor, and a send
# is delayed by this many seconds until its connection is open.
_RUN_FACTOR = 1.1
_CONNECT_S = 0.1


class StopSchedule(msgspec.Struct, frozen=True):
    """The schedule of a stopping instance, on the clock of the event loop.

    refuses_at: from then on, all requests are refused whose time limit is after
    the end. ends_at: when the process ends.
    """

    refuses_at: float
    ends_at: float


class StopGuard:
    """Decides what an instance may still begin; everything until it stops."""

    def __init__(self, runs: LongestRuns) -> None:
        """Expect runs to take as long as the longest recent ones."""
        self._runs = runs
        # Set once the instance is told to stop.
        self._schedule: StopSchedule | None = None

    def begin(self, schedule: StopSchedule) -> None:
        """Stop according to this schedule."""
        self._schedule = schedule

    def check(self, context: RequestContext, now: float) -> None:
        """Raise RefusedError if a send could still be running at the end."""
        deadline = self.send_deadline(context)
        if deadline is None or self._schedule is None:
            return
        if not context.sends:
            deadline = min(deadline, self._schedule.refuses_at)
        if now >= deadline:
            raise stopping_error()

    def send_deadline(self, context: RequestContext) -> float | None:
        """Return until when a request may be sent, None if nothing limits it.

        A request whose time limit is before the end is answered by then.
        """
        schedule = self._schedule
        if schedule is None or context.end_at <= schedule.ends_at:
            return None
        run_s = self._run_s(context.admitted)
        if not context.sends:
            run_s = max(_LEAST_RUN_S, run_s)
        return schedule.ends_at - run_s

    def may_resend(
        self, context: RequestContext, waited_s: float, now: float
    ) -> bool:
        """Return whether a send may be abandoned to begin another.

        waited_s: how long its answer has been waited for. The next one may take
        as long.
        """
        deadline = self.send_deadline(context)
        if deadline is None or self._schedule is None:
            return True
        return now < min(deadline, self._schedule.ends_at - waited_s)

    def _run_s(self, admitted: Admitted) -> float:
        """Return how long a run that begins now may take, in seconds."""
        longest_s = self._runs.longest_s(admitted)
        if longest_s is None:
            return max(_LEAST_RUN_S, admitted.route.objective_s)
        return _RUN_FACTOR * longest_s + _CONNECT_S


def stopping_error() -> RefusedError:
    """Return the refusal of a request that could not be finished in time."""
    refusal = Refusal.of(Reason.stopping, retry_after=_RETRY_AFTER_S)
    return RefusedError(refusal)
