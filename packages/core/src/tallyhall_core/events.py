"""Numbered log events, catalogued in docs/EVENTS.md.

A log record consists of one of these events and its fields, without free text.
"""

from __future__ import annotations

import enum


@enum.unique
class Event(enum.IntEnum):
    """Event numbers.

    1xx process, 2xx platform, 3xx members, 4xx requests, 5xx faults of the
    process itself, 6xx operator orders.
    """

    started = 100
    stopping = 101
    stopped = 102
    memory_step = 103
    kv_down = 200
    kv_up = 201
    value_taken = 205
    value_rejected = 206
    store_call_failed = 207
    state_taken = 208
    settings_read = 211
    settings_rejected = 212
    upstreams_changed = 213
    instances_changed = 214
    budget_binds = 219
    removal_held = 220
    fleet_counted = 221
    use_adopted = 222
    store_calls = 223
    rollout_ordered = 224
    rollout_led = 225
    rollout_exposes = 226
    rollout_judged = 227
    rollout_ended = 228
    peer_down = 308
    fenced = 303
    owner_started = 304
    owner_ready = 305
    deputy_started = 306
    admitted = 400
    permitted = 401
    dispatched = 402
    finished = 403
    refused = 404
    revoked = 405
    takeover = 406
    resumed = 407
    send_ended = 409
    caller_left = 410
    upstream_ended = 411
    suspected = 412
    upstream_leaves = 413
    header_unread = 414
    limit_named = 415
    slowdowns_reported = 418
    deferral_changed = 421
    upstream_ejected = 422
    isolated = 423
    links_restored = 424
    tunnel_asked = 425
    tunnel_ended = 426
    stream_origin_asked = 427
    part_suspected = 428
    part_quarantined = 429
    upstream_silent = 430
    upstream_heard = 431
    callers_closed = 432
    logs_dropped = 501
    internal_error = 500
    order_sent = 600
    order_refused = 601
