"""Plays of parts of prompts that crash upstreams, on a virtual clock.

Prints for each policy how many upstreams it costs to find the parts, and how
many of the sound requests were refused or waited. All instances share what is
known after a delay. Run with `python -m tallyhall_emulator.part_play`.
"""

from __future__ import annotations

import argparse
import itertools
import random
import statistics
import sys
from collections.abc import Iterable, Iterator

import msgspec
import simpy
from tallyhall_core.part_verdicts import PartEnds, PartVerdict

from .clock import Waiting
from .part_policies import POLICIES, PartPolicy

# All times in seconds.
_PREFILL_S = 0.15
_STREAM_S = 1.0
_ESTABLISHED_S = 0.5
_BACK_S = 2.0
_TOLD_S = 0.02
_MAX_HOLD_S = 1.5
_HOLD_POLL_S = 0.02
_JUDGE_EVERY_S = 0.05
_FATAL_FROM_S = 4.0
_PLAY_S = 14.0
_SOUND_PER_S = 30.0
_FATAL_PER_S = 3.0
_FIRST_PARTS = 3
_FATAL_PARTS = ('x/fatal1', 'x/fatal2')
_HERDS_AT_S = (5.0, 8.0, 11.0)


class PartScenario(msgspec.Struct, frozen=True):
    """A service, its load and what crashes its upstreams.

    per_s: sound requests per second. middle_parts: the parts of which each of
    them has one, behind one of three first parts. fatal: how many parts crash
    upstreams. herds: whether all upstreams terminate at the same time, thrice.
    """

    per_s: float
    upstreams: int
    middle_parts: int
    fatal: int = 1
    herds: bool = False


class PartFigures(msgspec.Struct, frozen=True):
    """What came of a play.

    lost: upstreams that terminated. refused: part of the sound requests that
    came while parts were fatal. held: part of them that waited.
    """

    lost: int
    refused: float
    held: float


class _Upstream(msgspec.Struct):
    name: str
    runs: dict[int, tuple[PartEnds, ...]]
    crashed: simpy.Event


class _Play:
    """One play under one policy."""

    def __init__(
        self, scenario: PartScenario, policy: PartPolicy, seed: int
    ) -> None:
        """Start all upstreams."""
        self.lost = 0
        self.sound = 0
        self.refused = 0
        self.held = 0
        self._scenario = scenario
        self._policy = policy
        self._rng = random.Random(seed)
        self._env = simpy.Environment()
        self._numbers = itertools.count()
        self._upstreams: dict[str, _Upstream] = {}
        # Parts of which a trial runs.
        self._trials: set[str] = set()
        for _ in range(scenario.upstreams):
            self._start_upstream()

    def run(self) -> None:
        """Play until the end."""
        env = self._env
        env.process(self._arrivals(self._scenario.per_s, 0, is_fatal=False))
        if self._scenario.fatal:
            fatal = self._arrivals(_FATAL_PER_S, _FATAL_FROM_S, is_fatal=True)
            env.process(fatal)
        if self._scenario.herds:
            env.process(self._herds())
        env.process(self._judge())
        env.run(until=_PLAY_S)

    # -- load

    def _arrivals(
        self, per_s: float, from_s: float, *, is_fatal: bool
    ) -> Waiting[None]:
        yield self._env.timeout(from_s)
        while self._env.now < _PLAY_S:
            yield self._env.timeout(self._rng.expovariate(per_s))
            self._env.process(self._call(is_fatal=is_fatal))

    def _call(self, *, is_fatal: bool) -> Waiting[None]:
        parts = self._parts(is_fatal=is_fatal)
        counts = not is_fatal and self._env.now >= _FATAL_FROM_S
        self.sound += counts
        asked_at = self._env.now
        trials = self._trials_of(parts)
        while trials is None and self._env.now < asked_at + _MAX_HOLD_S:
            yield self._env.timeout(_HOLD_POLL_S)
            trials = self._trials_of(parts)
        self.held += counts and self._env.now > asked_at
        if trials is None or not self._upstreams or self._is_refused(parts):
            self.refused += counts
            return
        self._trials.update(trials)
        yield from self._send(parts, is_fatal=is_fatal)
        self._trials.difference_update(trials)

    def _parts(self, *, is_fatal: bool) -> tuple[str, str]:
        first = f'x/first{self._rng.randrange(_FIRST_PARTS)}'
        if is_fatal:
            fatal = self._rng.choice(_FATAL_PARTS[: self._scenario.fatal])
            return first, fatal
        middle = self._rng.randrange(self._scenario.middle_parts)
        return first, f'x/middle{middle}'

    def _trials_of(self, parts: Iterable[str]) -> list[str] | None:
        """Return the parts that need a trial, None if a request waits."""
        trials = []
        alone = False
        for part in parts:
            status = self._policy.status(part, self._env.now)
            verdict = status.verdict
            if verdict is PartVerdict.held or part in self._trials:
                return None
            if verdict is PartVerdict.trial:
                trials.append(part)
                alone = alone or status.alone
        return None if alone and len(trials) > 1 else trials

    def _is_refused(self, parts: Iterable[str]) -> bool:
        return any(
            self._policy.status(part, self._env.now).verdict
            is PartVerdict.quarantined
            for part in parts
        )

    def _send(self, parts: tuple[str, ...], *, is_fatal: bool) -> Waiting[None]:
        upstream = self._rng.choice(list(self._upstreams.values()))
        number = next(self._numbers)
        sent = tuple(
            PartEnds(part, self._policy.known_ends(part)) for part in parts
        )
        sent_at = self._env.now
        upstream.runs[number] = sent
        yield self._env.timeout(_PREFILL_S) | upstream.crashed
        if is_fatal and not upstream.crashed.triggered:
            self._crash(upstream)
        yield self._env.timeout(_ESTABLISHED_S) | upstream.crashed
        if upstream.crashed.triggered:
            return
        upstream.runs.pop(number)
        yield self._env.timeout(_TOLD_S)
        now = self._env.now
        self._policy.record_answered(sent, now - sent_at, now)
        yield self._env.timeout(_STREAM_S - _ESTABLISHED_S)

    # -- upstreams

    def _start_upstream(self) -> None:
        name = f'u{next(self._numbers)}'
        self._upstreams[name] = _Upstream(name, {}, self._env.event())

    def _crash(self, upstream: _Upstream) -> None:
        self.lost += 1
        self._upstreams.pop(upstream.name)
        upstream.crashed.succeed()
        self._env.process(self._tell_and_return(upstream))

    def _tell_and_return(self, upstream: _Upstream) -> Waiting[None]:
        charged = [
            PartEnds(one.part, one.ends + 1)
            for one in itertools.chain.from_iterable(upstream.runs.values())
        ]
        yield self._env.timeout(_TOLD_S)
        now = self._env.now
        self._policy.record_termination(upstream.name, charged, now)
        yield self._env.timeout(_BACK_S)
        self._start_upstream()

    def _herds(self) -> Waiting[None]:
        for at_s in _HERDS_AT_S:
            yield self._env.timeout(at_s - self._env.now)
            for upstream in tuple(self._upstreams.values()):
                self._crash(upstream)

    def _judge(self) -> Waiting[None]:
        while self._env.now < _PLAY_S:
            yield self._env.timeout(_JUDGE_EVERY_S)
            self._policy.judge(self._env.now)


def play_parts(scenario: PartScenario, policy: str, seed: int) -> PartFigures:
    """Play a scenario under the policy of this name."""
    play = _Play(scenario, POLICIES[policy](), seed)
    play.run()
    total = max(1, play.sound)
    return PartFigures(play.lost, play.refused / total, play.held / total)


def table_rows(
    scenario: PartScenario, policies: Iterable[str], seeds: int
) -> Iterator[str]:
    """Yield a row for each policy: medians and the worst over seeds."""
    for policy in policies:
        played = [
            play_parts(scenario, policy, seed) for seed in range(1, seeds + 1)
        ]
        lost = [one.lost for one in played]
        refused = [one.refused for one in played]
        held = [one.held for one in played]
        yield (
            f'{policy:13} lost {statistics.median(lost):5.1f} at most '
            f'{max(lost):4} refused {statistics.fmean(refused):.4f} at most '
            f'{max(refused):.4f} held {statistics.fmean(held):.4f}'
        )


def main() -> int:
    """Print the table of one scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--per-s', type=float, default=_SOUND_PER_S)
    parser.add_argument('--upstreams', type=int, default=8)
    parser.add_argument('--middle-parts', type=int, default=6)
    parser.add_argument('--fatal', type=int, choices=(0, 1, 2), default=1)
    parser.add_argument('--herds', action='store_true')
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--policy', action='append', choices=sorted(POLICIES))
    args = parser.parse_args()
    scenario = PartScenario(
        args.per_s, args.upstreams, args.middle_parts, args.fatal, args.herds
    )
    for row in table_rows(scenario, args.policy or POLICIES, args.seeds):
        sys.stdout.write(f'{row}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
