"""`tallyhall bench`: policies side by side on real processes."""

from __future__ import annotations

import pathlib

from cleo.helpers import argument, option
from tallyhall_admission.policy import POLICIES, TALLYHALL
from tallyhall_bench.benchmark import result_json, run_bench, table_lines
from tallyhall_bench.scenario import ScenarioError, load_scenario

from .command_base import EXIT_FAILED, EXIT_USAGE, OperatorCommand
from .errors import OperatorError


class BenchCommand(OperatorCommand):
    """Runs a scenario under one or more policies."""

    name = 'bench'
    description = 'Run a scenario with stand-ins and compare policies.'
    arguments = [argument('scenario', 'A TOML file; see scenarios/')]
    options = [
        option(
            'policy',
            None,
            f'One of {", ".join(POLICIES)}; may be repeated',
            flag=False,
            multiple=True,
        ),
        option('json', None, 'Write the result to this file', flag=False),
        option('repeats', None, 'Rounds; seeds count up', flag=False),
        option('load', None, 'Factor on all rates', flag=False),
    ]

    def execute_command(self) -> int:
        """Run, print the table; exit 1 if a promise was broken."""
        policies = tuple(self.option('policy') or (TALLYHALL,))
        unknown = set(policies) - set(POLICIES)
        if unknown:
            raise OperatorError(
                f'No policy {sorted(unknown)}; use {", ".join(POLICIES)}.',
                EXIT_USAGE,
            )
        try:
            scenario = load_scenario(pathlib.Path(self.argument('scenario')))
        except ScenarioError as exc:
            raise OperatorError(str(exc), EXIT_USAGE) from exc
        factor = self.number('load', scenario.load)
        if factor != scenario.load:
            scenario = scenario.model_copy(update={'load': factor})
        repeats = int(self.number('repeats', scenario.repeats))
        outcome = run_bench(scenario, policies, repeats)
        if self.option('json'):
            pathlib.Path(self.option('json')).write_bytes(result_json(outcome))
        for line in table_lines(outcome):
            self.line(line)
        ours = outcome.policies.get(TALLYHALL)
        broken = [run.violations for run in ours.runs] if ours else []
        return EXIT_FAILED if any(broken) else 0
