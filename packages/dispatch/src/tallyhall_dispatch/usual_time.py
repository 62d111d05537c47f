"""The time that a part of the work usually takes on an upstream."""

from __future__ import annotations

from .load_reports import SLOWED

# Weight of the latest sample in a moving average: ten samples make up four
# fifths of it.
_SAMPLE_WEIGHT = 0.15
# Factor by which the lowest measured time rises with each sample without a
# slowdown, so that an upstream that has become slower for good is not held to
# its best time: after 50 samples it is 2.7 times as high.
_LOWEST_RISE = 1.02


class UsualTime:
    """Moving average of measured times without temporary slowdowns."""

    def __init__(self) -> None:
        """Start without a sample."""
        # None until the first sample, which replaces the default completely.
        # Otherwise it would take ten jobs to detect an engine that is twice as
        # slow.
        self.usual_s: float | None = None
        # About the lowest time that was measured lately.
        self._lowest_s: float = 0

    def record(self, measured_s: float, slowdown: float) -> None:
        """Update the average with a time measured during this slowdown.

        No sample is below the lowest measured time. An upstream that overstates
        its slowdown would otherwise look faster than it has ever been, and
        attract requests whenever its report expires.
        """
        if self.usual_s is None:
            self._lowest_s = measured_s
        if slowdown < SLOWED:
            self._lowest_s *= _LOWEST_RISE
        self._lowest_s = min(measured_s, self._lowest_s)
        sample_s = max(measured_s / slowdown, self._lowest_s)
        self.usual_s = moving_average(self.usual_s, sample_s)


def moving_average(average: float | None, sample: float) -> float:
    """Return an average that includes the latest sample."""
    if average is None:
        return sample
    return average + _SAMPLE_WEIGHT * (sample - average)
