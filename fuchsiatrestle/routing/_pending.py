"""A caller's request while the entry is responsible for it."""

__all__ = ('Pending',)

CLAIMING = 'claiming'
QUEUED = 'queued'
DISPATCHED = 'dispatched'


class Pending:
    """State of one request.

    Attributes:
        request_id: number unique to the core.
        service: name of the service.
        priority: 0 (first) to 9.
        deadline_ms: time at which the answer must be complete.
        idempotent: True if it may run more than once.
        key: idempotency key, empty if none.
        phase: ``claiming``, ``queued`` or ``dispatched``.
        claimed: True once its claim was granted.
        attempts: attempts made.
        written: True if an attempt may have run.
        upstream: the ``Upstream`` of the current attempt.
        connection_id: connection of the current attempt.
        begun_ms: start of the current attempt.
        avoided: addresses of upstreams that failed it.
    """

    __slots__ = (
        'attempts',
        'avoided',
        'begun_ms',
        'claimed',
        'connection_id',
        'deadline_ms',
        'idempotent',
        'key',
        'phase',
        'priority',
        'request_id',
        'service',
        'upstream',
        'written',
    )

    def __init__(self, event, priority, deadline_ms):
        self.request_id = event.request_id
        self.service = event.service
        self.priority = priority
        self.deadline_ms = deadline_ms
        self.idempotent = event.idempotent
        self.key = event.key
        self.phase = QUEUED
        self.claimed = False
        self.attempts = 0
        self.written = False
        self.upstream = None
        self.connection_id = 0
        self.begun_ms = 0
        self.avoided = ()
