"""Learned expectations: output length by row, and speed of each upstream.

Requests differ in length a hundredfold, so queueing by count says little. An
exponentially weighted mean per workspace and service predicts the output; per
upstream the time for a prompt token, for an output token and the overhead are
learned from finished requests.
"""

from __future__ import annotations

import dataclasses

_GAIN = 0.2
_DEFAULT_OUTPUT = 64.0
_FLOOR_S = 1e-6
_FLOOR_SPREAD = 0.01
_BEST_DRIFT = 1.002


@dataclasses.dataclass(slots=True)
class Mean:
    """An exponentially weighted mean; empty until the first sample."""

    value: float  # noqa: WPS110  (the usual name of a mean's value)
    samples: int = 0

    def add(self, sample: float) -> None:
        """Move towards a sample; the first samples weigh more."""
        self.samples += 1
        gain = max(_GAIN, 1 / self.samples)
        self.value += gain * (sample - self.value)


class OutputLengths:
    """Expected output tokens for each workspace."""

    def __init__(self) -> None:
        """Start with no knowledge."""
        self._means: dict[tuple[str, int], Mean] = {}

    def expect(self, workspace: str, max_tokens: int) -> float:
        """Return the expected tokens, never above the request's own limit."""
        mean = self._means.get((workspace, _size_class(max_tokens)))
        if mean is None or not mean.samples:
            return float(max_tokens or _DEFAULT_OUTPUT)
        if max_tokens:
            return min(mean.value, max_tokens)
        return mean.value

    def learn(self, workspace: str, max_tokens: int, tokens: int) -> None:
        """Take the length of a complete answer."""
        key = (workspace, _size_class(max_tokens))
        self._means.setdefault(key, Mean(float(tokens))).add(tokens)


class Line:
    """A line fitted to samples, old ones fading: y = base + slope * x.

    Never negative in either part; with samples of one size only, everything
    is put down to the base.
    """

    def __init__(self) -> None:
        """Start with no samples."""
        self._mean_x = Mean(0)
        self._mean_y = Mean(0)
        self._xx = Mean(0)
        self._xy = Mean(0)

    @property
    def slope(self) -> float:
        """Return the growth of y with x."""
        spread = self._xx.value - self._mean_x.value**2
        if spread <= _FLOOR_SPREAD * self._xx.value or not spread:
            return 0
        together = self._xy.value - self._mean_x.value * self._mean_y.value
        highest = self._mean_y.value / max(self._mean_x.value, 1)
        return min(max(together / spread, 0), highest)

    def at(self, amount: float) -> float:
        """Return the fitted y for an x."""
        if not self._mean_x.samples:
            return 0
        slope = self.slope
        base = max(self._mean_y.value - slope * self._mean_x.value, 0)
        return base + slope * amount

    def add(self, amount: float, seconds: float) -> None:
        """Take a sample."""
        self._mean_x.add(amount)
        self._mean_y.add(seconds)
        self._xx.add(amount * amount)
        self._xy.add(amount * seconds)


class Speed:
    """Learned speed of one upstream, in seconds."""

    def __init__(self) -> None:
        """Start optimistic: unknown work is expected to take no time."""
        self.first_s = Line()
        self.token_s = Mean(0)
        self.best_token_s: float = 0
        self.call_s = Mean(0)

    @property
    def is_known(self) -> bool:
        """Return whether anything was learned yet."""
        return bool(self.token_s.samples or self.call_s.samples)

    def prefill(self, tokens: float) -> float:
        """Return the expected seconds to compute this many prompt tokens."""
        return max(tokens, 0) * self.first_s.slope

    def run(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the expected seconds for a whole answer at today's load."""
        first = self.first_s.at(max(prompt_tokens, 0))
        decode = output_tokens * self.token_s.value
        return first + decode + self.call_s.value

    def learn_gap(self, gap_s: float) -> None:
        """Take a measured time between tokens.

        Running streams count as well as finished ones: those that end in
        time are the lucky ones and would make every forecast too good.
        """
        self.token_s.add(gap_s)
        best = self.best_token_s or gap_s
        self.best_token_s = min(best * _BEST_DRIFT, gap_s)

    def learn_model(
        self,
        first_s: float,
        total_s: float,
        computed_tokens: int,
        output_tokens: int,
    ) -> None:
        """Take the times of one complete streamed answer."""
        self.first_s.add(max(computed_tokens, 0), max(first_s, _FLOOR_S))
        if output_tokens > 1:
            decode = max(total_s - first_s, _FLOOR_S)
            self.learn_gap(decode / (output_tokens - 1))

    def learn_plain(self, total_s: float) -> None:
        """Take the time of one complete plain call."""
        self.call_s.add(total_s)


def _size_class(max_tokens: int) -> int:
    # Requests of one workspace fall into classes of a factor of four.
    return (max_tokens.bit_length() + 1) // 2
