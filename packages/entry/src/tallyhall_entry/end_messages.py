"""Messages between instances about upstreams that terminated."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tallyhall_core.part_verdicts import PartEnds, QuarantinedPart
from tallyhall_core.suspects import (
    Cleared,
    InterruptedRun,
    UpstreamTermination,
)
from tallyhall_platform.end_records import EndRecords

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2


def decode_end_batch(batch: peers_pb2.Batch) -> EndRecords:
    """Return the records of a peer's batch."""
    return EndRecords(
        tuple(
            UpstreamTermination(ended.upstream, ended.at_s, _decode_runs(ended))
            for ended in batch.ended
        ),
        tuple(Cleared(one.content, one.at_s) for one in batch.cleared),
        tuple(PartEnds(one.part, one.ends) for one in batch.cleared_parts),
        tuple(
            QuarantinedPart(one.part, one.ends, one.failed_trials, one.at_s)
            for one in batch.quarantined_parts
        ),
    )


def fill_end_records(batch: peers_pb2.Batch, records: EndRecords) -> None:
    """Add records to a batch for a peer."""
    for end in records.ended:
        message = batch.ended.add(upstream=end.upstream, at_s=end.at_s)
        for run in end.runs:
            run_message = message.runs.add(content=run.content, ends=run.ends)
            for part in run.parts:
                run_message.parts.add(part=part.part, ends=part.ends)
    for cleared in records.cleared:
        batch.cleared.add(content=cleared.content, at_s=cleared.at_s)
    for sent in records.cleared_parts:
        batch.cleared_parts.add(part=sent.part, ends=sent.ends)
    for verdict in records.quarantined_parts:
        batch.quarantined_parts.add(
            part=verdict.part,
            ends=verdict.ends,
            failed_trials=verdict.failed_trials,
            at_s=verdict.at_s,
        )


def _decode_runs(message: peers_pb2.Ended) -> tuple[InterruptedRun, ...]:
    return tuple(
        InterruptedRun(
            run.content,
            run.ends,
            tuple(PartEnds(part.part, part.ends) for part in run.parts),
        )
        for run in message.runs
    )
