"""Settings of the decision logic; times in seconds."""

from __future__ import annotations

import dataclasses

from tallyhall_admission.policy import TALLYHALL
from tallyhall_admission.settings import PoolSettings
from tallyhall_membership.members import MemberSettings


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node.

    heartbeat_s: heartbeat interval. permit_retry_s: time after which an
    unanswered permit request is repeated. report_timeout_s: maximum time that
    a new owner waits for the reports of homes. proposal_delay_s: delay between
    instances that may propose the same owner. window_s: length of the time
    window of request ids. locate_cache_s: how long callers cache a locate
    response. query_interval_s: interval of takeover queries.
    max_query_attempts: maximum number of queries per takeover.
    silent_home_timeout_s: how long the permits of a silent home are kept.
    max_pause_s: length of a pause of the process after which an owner requests
    new reports from all homes; less than the time after which others may
    declare it dead. order_retry_s: time after which an order without effect is
    repeated. pollers: number of instances that poll the KV. retry_ratio:
    retries that each request adds to the budget. initial_retries: initial
    retry budget. absent_home_expiry_s: time after which the records of an
    absent home are removed.
    """

    policy: str = TALLYHALL
    heartbeat_s: float = 0.5
    permit_retry_s: float = 1.0
    report_timeout_s: float = 1.5
    proposal_delay_s: float = 0.4
    window_s: float = 60.0
    locate_cache_s: float = 5.0
    query_interval_s: float = 0.5
    max_query_attempts: int = 4
    silent_home_timeout_s: float = 10
    max_pause_s: float = 1.25
    order_retry_s: float = 5
    pollers: int = 3
    retry_ratio: float = 0.1
    initial_retries: float = 2.0
    max_retries: int = 2
    absent_home_expiry_s: float = 900.0
    pool: PoolSettings = PoolSettings()
    members: MemberSettings = MemberSettings()
