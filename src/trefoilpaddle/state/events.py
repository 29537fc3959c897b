"""Numbers of the events that are logged; they never change their meaning."""

from enum import IntEnum, unique


@unique
class Event(IntEnum):
    """Number of each event; docs/EVENTS.md is the catalogue."""

    # Requests at a gateway
    REQUEST_ACCEPTED = 100
    REQUEST_REFUSED = 101
    REQUEST_ANSWERED = 102
    REQUEST_FAILED = 103
    CALLER_LEFT = 104
    REQUEST_JOINED = 105
    # Stage calls at a gateway
    ROUTED = 120
    RETRIED = 121
    HEDGED = 122
    STAGE_DONE = 123
    STAGE_FAILED = 124
    RESULT_FETCHED = 125
    ATTEMPT_BARRED = 126
    FRAME_DROPPED = 127
    # Attempts at a sidecar
    QUEUED = 140
    STARTED = 141
    FINISHED = 142
    REFUSED = 143
    DROPPED = 144
    CANCELLED = 145
    RESULT_RELEASED = 146
    RESULT_EXPIRED = 147
    # Targets
    TARGET_EJECTED = 160
    TARGET_READMITTED = 161
    TARGET_UP = 162
    TARGET_DOWN = 163
    CONCURRENCY_CHANGED = 164
    # Configuration
    CONFIG_IN_FORCE = 200
    CONFIG_REJECTED = 201
    CONFIG_SOURCE_LOST = 202
    CONFIG_SOURCE_BACK = 203
    READER_CHANGED = 204
    HOSTS_IN_FORCE = 205
    # Membership
    MEMBER_JOINED = 220
    MEMBER_SUSPECTED = 221
    MEMBER_LEAVING = 222
    MEMBER_DEAD = 223
    WOKE_LATE = 224
    # Claims and limits
    CLAIM_GRANTED = 240
    CLAIM_ANSWERED = 241
    LEASE_GRANTED = 260
    LEASE_LOST = 261
    LIMIT_REFUSED = 262
    # Orders and placement
    ORDER_SENT = 280
    ORDER_REFUSED = 281
    PLACED = 282
    # Process
    PROCESS_STARTED = 300
    PROCESS_STOPPING = 301
    PROCESS_STOPPED = 302
    PEER_REFUSED = 303
    KEYS_RELOADED = 304
