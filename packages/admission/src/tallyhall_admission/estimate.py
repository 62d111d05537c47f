"""Online estimates of output lengths and of the speed of each upstream.

Request lengths differ by a factor of up to 100, so the number of queued
requests is a poor predictor of the wait. The output length is predicted by an
exponentially weighted moving average per workspace and class of `max_tokens`.
The time per prompt token, the time per output token and the fixed overhead of
each upstream are estimated from finished requests.
"""

from __future__ import annotations

import dataclasses

_MIN_GAIN = 0.2
_DEFAULT_OUTPUT_TOKENS = 64.0
_MIN_DURATION_S = 1e-6
_MIN_RELATIVE_VARIANCE = 0.01
_BEST_DRIFT = 1.002


@dataclasses.dataclass(slots=True)
class MovingAverage:
    """Exponentially weighted moving average of samples."""

    value: float  # noqa: WPS110  (the current average)
    samples: int = 0

    def add(self, sample: float) -> None:
        """Add a sample; the first samples have a higher weight."""
        self.samples += 1
        gain = max(_MIN_GAIN, 1 / self.samples)
        self.value += gain * (sample - self.value)


class OutputLengths:
    """Predicts output lengths by workspace and class of `max_tokens`."""

    def __init__(self) -> None:
        """Start without samples."""
        self._averages: dict[tuple[str, int], MovingAverage] = {}

    def predict(self, workspace: str, max_tokens: int) -> float:
        """Return the expected output tokens, at most `max_tokens`."""
        mean = self._averages.get((workspace, _size_class(max_tokens)))
        if mean is None or not mean.samples:
            return float(max_tokens or _DEFAULT_OUTPUT_TOKENS)
        if max_tokens:
            return min(mean.value, max_tokens)
        return mean.value

    def add(self, workspace: str, max_tokens: int, tokens: int) -> None:
        """Add the output length of a completed response."""
        key = (workspace, _size_class(max_tokens))
        self._averages.setdefault(key, MovingAverage(float(tokens))).add(tokens)


class LinearFit:
    """Linear regression y = base + slope * x with decaying sample weights.

    Base and slope are never negative. If all samples have about the same x,
    the slope is 0.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._mean_x = MovingAverage(0)
        self._mean_y = MovingAverage(0)
        self._xx = MovingAverage(0)
        self._xy = MovingAverage(0)

    @property
    def slope(self) -> float:
        """Return the fitted slope."""
        variance = self._xx.value - self._mean_x.value**2
        if variance <= _MIN_RELATIVE_VARIANCE * self._xx.value or not variance:
            return 0
        covariance = self._xy.value - self._mean_x.value * self._mean_y.value
        max_slope = self._mean_y.value / max(self._mean_x.value, 1)
        return min(max(covariance / variance, 0), max_slope)

    def predict(self, amount: float) -> float:
        """Return the fitted y for an x, 0 without samples."""
        if not self._mean_x.samples:
            return 0
        slope = self.slope
        base = max(self._mean_y.value - slope * self._mean_x.value, 0)
        return base + slope * amount

    def add(self, amount: float, seconds: float) -> None:
        """Add a sample."""
        self._mean_x.add(amount)
        self._mean_y.add(seconds)
        self._xx.add(amount * amount)
        self._xy.add(amount * seconds)


class SpeedEstimate:
    """Estimated speed of one upstream.

    first_s: seconds to the first token by computed prompt tokens. token_s:
    seconds per output token. best_token_s: its slowly rising minimum. call_s:
    seconds per plain call.
    """

    def __init__(self) -> None:
        """Start without samples, which predicts a duration of 0."""
        self.first_s = LinearFit()
        self.token_s = MovingAverage(0)
        self.best_token_s: float = 0
        self.call_s = MovingAverage(0)

    @property
    def is_known(self) -> bool:
        """Return whether there are any samples."""
        return bool(self.token_s.samples or self.call_s.samples)

    def prefill_s(self, tokens: float) -> float:
        """Return the expected prefill time of this many tokens."""
        return max(tokens, 0) * self.first_s.slope

    def expected_run_s(
        self, prompt_tokens: float, output_tokens: float
    ) -> float:
        """Return the expected duration of a request at the current load."""
        first = self.first_s.predict(max(prompt_tokens, 0))
        decode = output_tokens * self.token_s.value
        return first + decode + self.call_s.value

    def add_token_gap(self, gap_s: float) -> None:
        """Add a measured time between tokens.

        Running streams are included: streams that end before their deadline
        are faster than average, so these alone would bias the estimate.
        """
        self.token_s.add(gap_s)
        best = self.best_token_s or gap_s
        self.best_token_s = min(best * _BEST_DRIFT, gap_s)

    def add_stream(
        self,
        first_s: float,
        total_s: float,
        computed_tokens: int,
        output_tokens: int,
    ) -> None:
        """Add the times of a completed streamed response."""
        self.first_s.add(max(computed_tokens, 0), max(first_s, _MIN_DURATION_S))
        if output_tokens > 1:
            decode = max(total_s - first_s, _MIN_DURATION_S)
            self.add_token_gap(decode / (output_tokens - 1))

    def add_call(self, total_s: float) -> None:
        """Add the duration of a completed plain call."""
        self.call_s.add(total_s)


def _size_class(max_tokens: int) -> int:
    # Each class spans a factor of four in max_tokens.
    return (max_tokens.bit_length() + 1) // 2
