"""`make faults`: faults drawn from a seed for a while, all checkers on.

A steady load runs while entries are killed, frozen and stopped, engines slow
down or cut answers, the KV goes down or loses answers, and operators change
the table; two faults may overlap. The same seed draws the same faults. The
last line reads `requests N faults N violations N`.
"""

from __future__ import annotations

import argparse
import dataclasses
import random
import signal
import sys
import threading
import time
from collections.abc import Callable

from tallyhall_client.client import Client

from .checks import Violation, all_checks, tier_order
from .first_run import usual_upstreams
from .fleet import Fleet, FleetSpec, Member
from .load import DoneCall, PlannedCall, run_plan
from .tables import TIER_RANKS, usual_table
from .workloads import WORKSPACES, mixed_burst

_SETTINGS = '[times]\nlocate_s = 1.0\n'
_INSTANCES = 4
_RATE = 12
_LEAST_S = 10
_EXIT_S = 40.0


class FaultDrawer:
    """Draws faults one after the other and brings them about."""

    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        """Draw for this long."""
        self.faults = 0
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._number = 0
        self._busy: list[threading.Thread] = []

    def run(self, started: threading.Event) -> None:
        """Draw until the time is up, then undo what is left."""
        started.wait()
        until = time.monotonic() + self._seconds
        while time.monotonic() < until:
            time.sleep(self._rng.uniform(1, 4))
            fault = self._rng.choice(self._kinds())
            worker = threading.Thread(target=fault, args=(self._draw(),))
            worker.start()
            self._busy.append(worker)
            self.faults += 1
        for busy in self._busy:
            busy.join()

    def _kinds(self) -> list[Callable[[random.Random], None]]:
        return [
            self._kill,
            self._freeze,
            self._stop,
            self._slow,
            self._cut,
            self._kv_down,
            self._kv_loses,
            self._edit,
        ]

    def _draw(self) -> random.Random:
        # Each fault has a source of its own, so that overlapping ones do not
        # change what the others draw.
        return random.Random(self._rng.getrandbits(32))

    def _victim(self, rng: random.Random) -> Member | None:
        running = [
            member
            for member in self._fleet.instances.values()
            if member.is_running and not member.leaving
        ]
        if len(running) < _INSTANCES - 1:
            return None
        return rng.choice(running)

    def _replace(self) -> None:
        self._number += 1
        fresh = self._fleet.start_instance(f'entry-r{self._number}')
        self._fleet.wait_ready(fresh)

    def _kill(self, rng: random.Random) -> None:
        victim = self._victim(rng)
        if victim is None:
            return
        victim.leaving = True
        victim.process.kill()
        victim.process.wait()
        time.sleep(rng.uniform(0, 3))
        self._replace()

    def _freeze(self, rng: random.Random) -> None:
        victim = self._victim(rng)
        if victim is None:
            return
        victim.process.send_signal(signal.SIGSTOP)
        time.sleep(rng.uniform(1, 6))
        victim.process.send_signal(signal.SIGCONT)

    def _stop(self, rng: random.Random) -> None:
        victim = self._victim(rng)
        if victim is None:
            return
        victim.leaving = True
        victim.process.send_signal(signal.SIGTERM)
        self._replace()
        victim.process.wait(_EXIT_S)

    def _slow(self, rng: random.Random) -> None:
        name = rng.choice(sorted(self._engines()))
        self._fleet.faults(name, slow=rng.uniform(3, 6))
        time.sleep(rng.uniform(2, 6))
        self._fleet.faults(name, slow=1)

    def _cut(self, rng: random.Random) -> None:
        name = rng.choice(sorted(self._engines()))
        self._fleet.faults(name, cut_after=rng.randrange(4), cut_once=True)

    def _kv_down(self, rng: random.Random) -> None:
        self._fleet.faults('kv', down=True)
        time.sleep(rng.uniform(2, 8))
        self._fleet.faults('kv', down=False)

    def _kv_loses(self, rng: random.Random) -> None:
        self._fleet.faults('kv', lose_every=2, delay_s=rng.uniform(0, 0.5))
        time.sleep(rng.uniform(2, 6))
        self._fleet.faults('kv', lose_every=0, delay_s=0)

    def _edit(self, rng: random.Random) -> None:
        self._fleet.edit_weight(rng.choice(WORKSPACES), rng.uniform(1, 3))

    def _engines(self) -> list[str]:
        return [
            spec.name
            for spec in self._fleet.spec.upstreams
            if spec.kind == 'engine'
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class FaultReport:
    """What one run came to."""

    done: tuple[DoneCall, ...]
    faults: int
    found: tuple[Violation, ...]


def main() -> int:
    """Run and return the exit code: 0 unless a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=int, default=120)
    args = parser.parse_args()
    report = run_faults(args.seed, max(_LEAST_S, args.seconds))
    _print(report)
    return 1 if report.found else 0


def run_faults(seed: int, seconds: int) -> FaultReport:
    """Run a fleet under faults drawn from the seed, all checkers on."""
    plan = mixed_burst(seed, _RATE * seconds, seconds)
    spec = FleetSpec(
        _INSTANCES,
        usual_upstreams(),
        usual_table(WORKSPACES),
        settings=_SETTINGS,
    )
    with Fleet(spec) as fleet:
        drawer = FaultDrawer(fleet, seed, seconds)
        done = _run(fleet, plan, drawer)
        found = all_checks(done, fleet.all_counts(), len(plan))
        found += tier_order(fleet.events(), TIER_RANKS)
    return FaultReport(tuple(done), drawer.faults, tuple(found))


def _run(
    fleet: Fleet,
    plan: list[PlannedCall],
    drawer: FaultDrawer,
) -> list[DoneCall]:
    started = threading.Event()
    thread = threading.Thread(target=drawer.run, args=(started,))
    thread.start()
    done = run_plan(plan, Client(fleet.seeds, 'faults'), started)
    thread.join()
    return done


def _print(report: FaultReport) -> None:
    verdicts = [str(one.outcome.verdict) for one in report.done]
    for verdict in sorted(set(verdicts)):
        sys.stdout.write(f'{verdict} {verdicts.count(verdict)}\n')
    for violation in report.found:
        sys.stdout.write(f'{violation.promise}: {violation.detail}\n')
    sys.stdout.write(
        f'requests {len(report.done)} faults {report.faults} '
        f'violations {len(report.found)}\n',
    )


if __name__ == '__main__':
    sys.exit(main())
