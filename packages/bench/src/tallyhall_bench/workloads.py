"""The users' kinds of requests, drawn from a seed.

Lengths differ a hundredfold: tags of a dozen tokens, weekly drafts of a
thousand with long prompts that the requests of one home share.
"""

from __future__ import annotations

import dataclasses
import random

from .load import PlannedCall, text_of

WORKSPACES = ('foundry', 'assay', 'kitchen', 'diet', 'audit-office')
_TIERS = ('audit', 'desk', 'batch')


def mixed_burst(
    seed: int,
    requests: int,
    over_s: float,
    drafts: int = 1,
    patience: float = 1,
) -> list[PlannedCall]:
    """Return tags, weekly drafts and service calls of several workspaces.

    drafts: weight of weekly drafts against 5 of tags and 4 of calls.
    patience: factor on all deadlines.
    """
    rng = random.Random(seed)
    plan = []
    for number in range(requests):
        at = rng.uniform(0, over_s)
        workspace = rng.choice(WORKSPACES)
        tier = rng.choices(_TIERS, (1, 2, 2))[0]
        kind = rng.choices(('tag', 'draft', 'service'), (5, drafts, 4))[0]
        if kind == 'service':
            plan.append(_service_call(at, workspace, tier, rng))
        elif kind == 'draft':
            plan.append(_draft(at, workspace, tier, rng, number))
        else:
            plan.append(_tag(at, workspace, tier, number))
    return [
        dataclasses.replace(call, deadline_s=call.deadline_s * patience)
        for call in plan
    ]


def _tag(at: float, workspace: str, tier: str, number: int) -> PlannedCall:
    recipe = text_of(f'tag-{number}', 60)
    prompt = f'tag recipe {number} {recipe}'
    return PlannedCall(
        at,
        'ledger',
        'model',
        workspace,
        tier,
        prompt,
        12,
        12.0,
    )


def _draft(
    at: float,
    workspace: str,
    tier: str,
    rng: random.Random,
    number: int,
) -> PlannedCall:
    home = rng.randrange(6)
    shared = text_of(f'{workspace}-{home}', 1500)
    prompt = f'{shared} week {number}'
    return PlannedCall(
        at,
        'ledger',
        'model',
        workspace,
        tier,
        prompt,
        240,
        20.0,
    )


def _service_call(
    at: float,
    workspace: str,
    tier: str,
    rng: random.Random,
) -> PlannedCall:
    return PlannedCall(
        at,
        'tags',
        'plain',
        workspace,
        tier,
        '',
        0,
        5.0,
        idempotent=rng.choice((True, False)),
    )
