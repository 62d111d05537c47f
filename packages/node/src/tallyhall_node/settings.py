"""Times of the node's decisions, in seconds."""

from __future__ import annotations

import dataclasses

from tallyhall_admission.policy import TALLYHALL
from tallyhall_admission.settings import PoolSettings
from tallyhall_membership.members import MemberSettings


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Everything a node's decisions can be tuned by.

    beat_s: period of heartbeats. reask_s: when an unanswered ask is sent
    again. rebuild_s: the longest a new owner waits for homes' reports.
    duty_s: delay between instances that would take up the same duty.
    window_s: length of a minting window. locate_s: how long callers keep a
    locate answer. query_s: period of takeover queries; tries: their number.
    silent_s: how long the permits of a silent home still count.
    pause_s: after standing still for this long an owner asks all homes anew;
    less than the time after which others may call it dead.
    order_repeat_s: when an order that shows no effect is sent again.
    """

    policy: str = TALLYHALL
    beat_s: float = 0.5
    reask_s: float = 1.0
    rebuild_s: float = 1.5
    duty_s: float = 0.4
    window_s: float = 60.0
    locate_s: float = 5.0
    query_s: float = 0.5
    query_tries: int = 4
    silent_s: float = 10
    pause_s: float = 1.25
    order_repeat_s: float = 5
    pollers: int = 3
    retry_share: float = 0.1
    retry_floor: float = 2.0
    max_retries: int = 2
    forget_home_s: float = 900.0
    pool: PoolSettings = PoolSettings()
    members: MemberSettings = MemberSettings()
