"""Builders of pools, messages and tables for admission tests."""

from tallyhall_admission.outgoing import Outgoing
from tallyhall_admission.policy import make_policy
from tallyhall_admission.pool import Pool
from tallyhall_admission.settings import PoolSettings
from tallyhall_admission.upstream import UpstreamInfo
from tallyhall_core.ids import InstanceRun, RequestId
from tallyhall_core.messages import Ask, Done
from tallyhall_table.model import LimitRow, ServiceRow, Table, TierRow

HOME = InstanceRun('entry-1', '0123456789ab')
SERVICE = 'ledger'
TIERS = ('audit', 'desk', 'batch')


def table(**limits: float) -> Table:
    """Return three tiers, one service and a row for each of two workspaces."""
    return Table(
        revision=1,
        tiers=tuple(
            TierRow(name=name, rank=rank, deadline_s=10)
            for rank, name in enumerate(TIERS)
        ),
        services=(ServiceRow(name=SERVICE, max_running=64),),
        limits=tuple(
            LimitRow.model_validate(
                {
                    'workspace': name,
                    'service': SERVICE,
                    'tiers': TIERS,
                    **limits,
                },
            )
            for name in ('foundry', 'kitchen')
        ),
    )


def pool(upstreams: int = 1, slots: int = 4, **limits: float) -> Pool:
    """Return a pool that issues permits from time 0."""
    new_pool = Pool(SERVICE, make_policy('tallyhall'), PoolSettings())
    new_pool.configure(table(**limits), 0)
    new_pool.apply_upstreams(
        tuple(
            UpstreamInfo(f'engine-{number}', f'127.0.0.1:{number + 1}')
            for number in range(upstreams)
        ),
    )
    for upstream in new_pool.state.available_upstreams(0):
        upstream.limit.limit = slots
    new_pool.ready = True
    return new_pool


def ask(
    number: int,
    tier: str = 'desk',
    workspace: str = 'foundry',
    left_s: float = 10,
    attempt: int = 0,
    prefixes: tuple[str, ...] = (),
) -> Ask:
    """Return the permit request of request `number`."""
    rid = RequestId(HOME, 1, 0, True, f'{number:08x}')
    return Ask(
        id=str(rid),
        service=SERVICE,
        holder=str(HOME),
        workspace=workspace,
        tier=tier,
        idempotent=True,
        prompt_tokens=100,
        max_tokens=100,
        left_s=left_s,
        attempt=attempt,
        prefixes=prefixes,
    )


def done(request: Ask, upstream: str = 'engine-0', total_s: float = 2) -> Done:
    """Return the message that a request was completed."""
    return Done(
        request.id,
        SERVICE,
        upstream,
        request.attempt,
        ran=True,
        ok=True,
        first_s=total_s / 10,
        total_s=total_s,
        prompt_tokens=100,
        output_tokens=100,
    )


def kinds(messages: list[Outgoing]) -> list[str]:
    """Return the kinds of the messages, in order."""
    return [outgoing.message.kind for outgoing in messages]


def ids(messages: list[Outgoing], kind: str) -> list[str]:
    """Return the request ids of the messages of one kind."""
    return [
        getattr(outgoing.message, 'id', '')
        for outgoing in messages
        if outgoing.message.kind == kind
    ]
