"""Numbers of the logged events; the meaning of a number never changes."""

from enum import IntEnum, unique


@unique
class Event(IntEnum):
    """Number of each event; docs/EVENTS.md lists them."""

    # Requests at a gateway
    REQUEST_ACCEPTED = 100
    """A request was accepted under the entry that governs it."""
    REQUEST_REFUSED = 101
    """A request was refused; none of its stages was run."""
    REQUEST_ANSWERED = 102
    """A request was answered completely."""
    REQUEST_FAILED = 103
    """A request ended without an answer after a stage of it ran or may have run."""
    CALLER_LEFT = 104
    """The caller closed its connection before the answer was complete."""
    REQUEST_JOINED = 105
    """A retry was joined to the try that was already running."""
    REQUEST_CUT = 106
    """The process stopped before the answer; states what the request waited for."""
    REQUEST_SUSPECTED = 107
    """Two workers crashed under a request; it has one run at a time, isolated."""
    REQUEST_BLOCKED = 108
    """A request is not sent to any worker; names the workers that crashed under it."""
    REQUEST_CLEARED = 109
    """A request under which workers crashed has succeeded, or was allowed again."""
    PART_BLOCKED = 110
    """Requests with a part of a prompt are not sent; names the workers that crashed."""
    PART_CLEARED = 111
    """A request with a blocked part was answered, or the part was allowed again."""
    # Stage calls at a gateway
    ROUTED = 120
    """A target was chosen for a stage call."""
    RETRIED = 121
    """A stage call is retried after a failure that allows a retry."""
    HEDGED = 122
    """A slow stage call was sent to a second target as well."""
    STAGE_DONE = 123
    """The complete result of a stage was received."""
    STAGE_FAILED = 124
    """A stage has no result and is not retried."""
    RESULT_FETCHED = 125
    """A result was fetched again after its connection was lost."""
    ATTEMPT_BARRED = 126
    """A sidecar promised never to start an attempt."""
    FRAME_DROPPED = 127
    """A frame of an attempt that is not open in this process was dropped."""
    STREAM_RESUMED = 128
    """A stream goes on at another target; states both software versions."""
    STREAM_MOVED = 129
    """The run of a stream goes on from its copy at another target; names the first."""
    # Attempts at a sidecar
    QUEUED = 140
    """A stage call waits for a free slot, or a late chain waits for spare capacity."""
    STARTED = 141
    """A stage call was sent to the target."""
    FINISHED = 142
    """The target finished a stage call; if a reason is given, without a result."""
    REFUSED = 143
    """A sidecar refused a stage call; it was not run."""
    DROPPED = 144
    """A queued stage call was dropped before it started."""
    CANCELLED = 145
    """A stage call was cancelled."""
    RESULT_RELEASED = 146
    """A held result was acknowledged and released."""
    RESULT_EXPIRED = 147
    """A held result was dropped before it was acknowledged."""
    # Targets
    TARGET_EJECTED = 160
    """A slow target gets no more work except probes."""
    TARGET_READMITTED = 161
    """An ejected target gets work again."""
    TARGET_UP = 162
    """The target answers."""
    TARGET_DOWN = 163
    """The target does not answer."""
    CONCURRENCY_CHANGED = 164
    """The number of concurrent calls at the target was adapted."""
    TARGET_ASKED = 165
    """A stage worker was asked for its state before it is called."""
    TARGET_ENDED = 166
    """A target's process exited while it ran requests; states how that is known."""
    TARGET_LIMIT = 167
    """A target named, changed or ended the limit of requests that it takes."""
    TARGET_LEAVES = 168
    """A target has stated in an answer that it leaves."""
    TARGET_RESTS = 169
    """A target has turned a request away and asked this process for rest."""
    TARGET_LEFT_OUT = 170
    """A target gets no work for a while, as it turns requests away or fails them."""
    CAPACITY_SHORT = 171
    """A service is short of slots; each account gets its share from now on."""
    CAPACITY_ENOUGH = 172
    """A service has slots for all requests again."""
    # Configuration
    CONFIG_IN_FORCE = 200
    """A newer catalogue is active in this process."""
    CONFIG_REJECTED = 201
    """A published change is faulty and held back; the active version stays."""
    CONFIG_SOURCE_LOST = 202
    """The configuration service does not answer."""
    CONFIG_SOURCE_BACK = 203
    """The configuration service answers again."""
    READER_CHANGED = 204
    """This process started or stopped reading the configuration service."""
    HOSTS_IN_FORCE = 205
    """A newer host list is active in this process."""
    ENTRY_UNREADABLE = 206
    """An entry of the store cannot be read; its worker is not used."""
    STORE_LISTED = 207
    """The whole store is requested instead of its changes."""
    STORE_READ_BESIDE = 208
    """This gateway reads the store itself although other gateways read it for all."""
    STORE_RETURNED = 209
    """The store was restored from a backup; states what is ignored, and how long."""
    DOMAIN_EVACUATED = 210
    """Operators have ordered that a failure domain gets no work; names it."""
    DOMAIN_RETURNED = 211
    """The order to evacuate a failure domain has ended; it gets work again."""
    STORE_OUTAGE_OVER = 212
    """The store answers again; states for how long removed workers stay in use."""
    CONFIG_NAMED = 213
    """A peer names a newer catalogue than the active one; states what is known here."""
    # Membership
    MEMBER_JOINED = 220
    """A process became live for the first time, or again."""
    MEMBER_SUSPECTED = 221
    """A process has been unresponsive for a while."""
    MEMBER_LEAVING = 222
    """A process reported that it is leaving."""
    MEMBER_DEAD = 223
    """A process has been unresponsive for so long that it counts as dead."""
    WOKE_LATE = 224
    """This process was paused, and noticed that before it acted."""
    SCHEDULER_CHANGED = 230
    """This process began or stopped scheduling a cell, or its handover failed."""
    # Claims and limits
    CLAIM_GRANTED = 240
    """The home of a request's key granted the key to this gateway."""
    CLAIM_ANSWERED = 241
    """The home of a request's key reported what is known about it."""
    LEASE_GRANTED = 260
    """A part of an entry's limit was leased to this gateway."""
    LEASE_LOST = 261
    """A limit's home and a gateway lost contact; the gateway uses its own share."""
    LIMIT_REFUSED = 262
    """A request was refused by a limit of its entry."""
    # Orders and placement
    ORDER_SENT = 280
    """An order was sent to the target."""
    ORDER_REFUSED = 281
    """The target refused an order."""
    PLACED = 282
    """This sidecar decided which models its target should hold."""
    # Process
    PROCESS_STARTED = 300
    """The process has started and listens for its peers."""
    PROCESS_STOPPING = 301
    """The process was told to stop and is draining."""
    PROCESS_STOPPED = 302
    """The process has stopped; states how many requests were interrupted."""
    PEER_REFUSED = 303
    """A peer's connection was refused."""
    KEYS_RELOADED = 304
    """Keys and certificates were reloaded."""
    SETTINGS_RELOADED = 305
    """The settings file was reloaded; with a detail if it is invalid."""
    CONNECTIONS_CLOSED = 306
    """New connections were closed unread, as the process lags; states how many."""
