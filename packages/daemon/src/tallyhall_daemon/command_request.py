"""`tallyhall request` and `tallyhall status`."""

from __future__ import annotations

import dataclasses

from cleo.helpers import argument, option
from tallyhall_client.client import Client
from tallyhall_client.outcome import CallOptions

from .command_base import (
    EXIT_PLATFORM,
    EXIT_REFUSED,
    EXIT_USAGE,
    OperatorCommand,
)
from .command_table import instance_status
from .errors import OperatorError

_DEADLINE_S = 30.0
_MAX_TOKENS = 128


class RequestCommand(OperatorCommand):
    """Sends one request as a caller does."""

    name = 'request'
    description = 'Send one request through the caller library.'
    arguments = [
        argument('service', 'The service to ask'),
        argument('prompt', 'The prompt, or the body for a plain service'),
    ]
    options = [
        option('entry', None, 'HTTP address of an instance', flag=False),
        option('workspace', None, 'The workspace', flag=False),
        option('tier', None, 'The tier', flag=False, default=''),
        option('plain', None, 'Path of a plain service', flag=False),
        option('max-tokens', None, 'Longest answer', flag=False),
        option('deadline', None, 'Seconds to wait', flag=False),
        option('json', None, 'Print JSON'),
    ]

    def execute_command(self) -> int:
        """Send and print the answer or the refusal."""
        options = CallOptions(
            self.option('workspace') or '',
            self.option('tier'),
            self.number('deadline', _DEADLINE_S),
        )
        if not self.option('entry') or not options.workspace:
            raise OperatorError(
                'Say --entry IP:PORT and --workspace NAME.',
                EXIT_USAGE,
            )
        client = Client((self.option('entry'),), 'cli')
        service = self.argument('service')
        prompt = self.argument('prompt')
        if self.option('plain'):
            outcome = client.call(
                service,
                'POST',
                self.option('plain'),
                prompt.encode(),
                options,
            )
        else:
            limit = int(self.number('max-tokens', _MAX_TOKENS))
            outcome = client.complete(service, prompt, limit, options)
        refusal = outcome.refusal
        if self.option('json'):
            fields = dataclasses.asdict(outcome)
            fields['refusal'] = refusal.model_dump() if refusal else None
            self.print_json(fields)
        elif outcome.verdict == 'answered':
            self.line(outcome.text.strip())
        elif refusal is None:
            self.line_error(
                f'{outcome.verdict}: no instance gave a final answer; '
                'check --entry',
                style='error',
            )
        else:
            self.line_error(
                f'{refusal.code} {refusal.reason}: {refusal.message} '
                f'executed: {refusal.executed}, {refusal.detail}',
                style='error',
            )
        return 0 if outcome.verdict == 'answered' else EXIT_REFUSED


class StatusCommand(OperatorCommand):
    """Shows the state of an instance."""

    name = 'status'
    description = 'Print the state of an instance: peers, owners, counters.'
    arguments = [argument('entry', 'HTTP address')]
    options = [option('json', None, 'Print JSON')]

    def execute_command(self) -> int:
        """Print."""
        address = self.argument('entry')
        state = instance_status(address)
        if state is None:
            self.line_error(
                f'{address} does not answer; check the address and the '
                'process.',
                style='error',
            )
            return EXIT_PLATFORM
        if self.option('json'):
            self.print_json(state)
            return 0
        for key, content in state.items():
            self.line(f'{key}: {content}')
        return 0
