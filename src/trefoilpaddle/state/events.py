"""Numbers of the events that are logged; they never change their meaning."""

from enum import IntEnum, unique


@unique
class Event(IntEnum):
    """Number of each event; docs/EVENTS.md is the catalogue."""

    # Requests at a gateway
    REQUEST_ACCEPTED = 100
    """A request was let in under the entry that governs it."""
    REQUEST_REFUSED = 101
    """A request was refused; no stage of it was run."""
    REQUEST_ANSWERED = 102
    """A request got its whole answer."""
    REQUEST_FAILED = 103
    """A request ended without an answer after something of it ran, or may have run."""
    CALLER_LEFT = 104
    """The caller closed its connection before the answer was whole."""
    REQUEST_JOINED = 105
    """A retry was joined to the try that was running already."""
    REQUEST_CUT = 106
    """The process went before the answer; tells what the request waited for."""
    REQUEST_SUSPECTED = 107
    """Two workers have ended under a request; it runs once at a time, apart."""
    REQUEST_BLOCKED = 108
    """A request is sent to no worker; names those that have ended under it."""
    REQUEST_CLEARED = 109
    """A request that workers had ended under has ended well, or was let again."""
    # Stage calls at a gateway
    ROUTED = 120
    """A target was chosen for a stage call."""
    RETRIED = 121
    """A stage call is tried again after a fault that allows it."""
    HEDGED = 122
    """A second target was asked for a stage that takes long."""
    STAGE_DONE = 123
    """A stage's whole result has arrived."""
    STAGE_FAILED = 124
    """A stage has no result and is not tried again."""
    RESULT_FETCHED = 125
    """A result was fetched again after its connection was lost."""
    ATTEMPT_BARRED = 126
    """A sidecar has promised never to start an attempt."""
    FRAME_DROPPED = 127
    """A frame of an attempt that is not open here was dropped."""
    # Attempts at a sidecar
    QUEUED = 140
    """A stage call waits for a free slot, or a late chain for the load to pass."""
    STARTED = 141
    """A stage call was sent to the target."""
    FINISHED = 142
    """The target has ended a stage call; with a reason, without a result."""
    REFUSED = 143
    """A sidecar refused a stage call; it was not run."""
    DROPPED = 144
    """A waiting stage call was given up before it started."""
    CANCELLED = 145
    """A stage call was cancelled."""
    RESULT_RELEASED = 146
    """A held result was acknowledged and let go."""
    RESULT_EXPIRED = 147
    """A held result was dropped before it was acknowledged."""
    # Targets
    TARGET_EJECTED = 160
    """A slow target gets no more work but probes."""
    TARGET_READMITTED = 161
    """An ejected target gets work again."""
    TARGET_UP = 162
    """The target answers."""
    TARGET_DOWN = 163
    """The target does not answer."""
    CONCURRENCY_CHANGED = 164
    """The number of calls that the target bears was learnt anew."""
    TARGET_ASKED = 165
    """A stage worker was asked what it does and keeps, before it is called."""
    TARGET_ENDED = 166
    """A target's process ended while requests ran there; tells how that is known."""
    # Configuration
    CONFIG_IN_FORCE = 200
    """A newer catalogue is in force in this process."""
    CONFIG_REJECTED = 201
    """A published change is faulty and held back; what was in force stays."""
    CONFIG_SOURCE_LOST = 202
    """The configuration service does not answer."""
    CONFIG_SOURCE_BACK = 203
    """The configuration service answers again."""
    READER_CHANGED = 204
    """This process began or ceased to read the configuration service."""
    HOSTS_IN_FORCE = 205
    """A newer host list is in force in this process."""
    ENTRY_UNREADABLE = 206
    """An entry of the store cannot be read; it names no worker to use."""
    STORE_LISTED = 207
    """The whole store is asked for, and not what has changed in it."""
    STORE_READ_BESIDE = 208
    """This gateway reads the store although others read it for all."""
    STORE_RETURNED = 209
    """The store came back from a copy; tells what is held against it, and how long."""
    # Membership
    MEMBER_JOINED = 220
    """A process was heard from for the first time, or again."""
    MEMBER_SUSPECTED = 221
    """A process was not heard from for a while."""
    MEMBER_LEAVING = 222
    """A process said that it is leaving."""
    MEMBER_DEAD = 223
    """A process was not heard from for so long that it is forgotten."""
    WOKE_LATE = 224
    """This process was paused and found out before it acted."""
    SCHEDULER_CHANGED = 230
    """This process began or ceased to schedule a cell, or was asked out of turn."""
    # Claims and limits
    CLAIM_GRANTED = 240
    """The home of a request's key gave it to this gateway."""
    CLAIM_ANSWERED = 241
    """The home of a request's key told what is known of it."""
    LEASE_GRANTED = 260
    """A part of an entry's limit was lent to this gateway."""
    LEASE_LOST = 261
    """The home of a limit cannot be reached; the cautious share holds."""
    LIMIT_REFUSED = 262
    """A request was refused by a limit of its entry."""
    # Orders and placement
    ORDER_SENT = 280
    """The target was given an order."""
    ORDER_REFUSED = 281
    """The target refused an order."""
    PLACED = 282
    """This sidecar decided what its target should hold."""
    # Process
    PROCESS_STARTED = 300
    """The process listens for its peers."""
    PROCESS_STOPPING = 301
    """The process was told to stop and drains."""
    PROCESS_STOPPED = 302
    """The process has stopped; tells how many requests were cut off."""
    PEER_REFUSED = 303
    """A peer's connection was refused."""
    KEYS_RELOADED = 304
    """Keys and certificates were read again."""
    SETTINGS_RELOADED = 305
    """The settings file was read again; with a detail if it is faulty."""
