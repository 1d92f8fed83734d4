"""A caller's request from its arrival until its answer or refusal."""

__all__ = ('PendingRequest',)

CLAIMING = 'claiming'
QUEUED = 'queued'
DISPATCHED = 'dispatched'


class PendingRequest:
    """State of one request for which the entry is responsible.

    Attributes:
        request_id: number of the request, unique within the routing core.
        service: name of the service.
        priority: 0 (first) to 9.
        deadline_ms: time at which the answer must be complete.
        idempotent: True if the request may run more than once.
        idempotency_key: idempotency key, empty if none.
        fingerprint: hash of method, target and body, empty without a key.
        phase: ``claiming`` while control decides on its claim, ``queued``
            while it waits for a slot, or ``dispatched``.
        holds_claim: True from the grant of its claim until the claim is
            finished.
        held_count: number of times that control answered its claim with
            ``held``.
        attempt_count: number of attempts made.
        may_have_run: True if an attempt may have run at an upstream.
        upstream: the ``Upstream`` of the current attempt.
        connection_id: connection of the current attempt.
        attempt_begun_ms: start of the current attempt.
        failed_addresses: addresses of the upstreams where attempts failed.
    """

    __slots__ = (
        'attempt_begun_ms',
        'attempt_count',
        'connection_id',
        'deadline_ms',
        'failed_addresses',
        'fingerprint',
        'held_count',
        'holds_claim',
        'idempotency_key',
        'idempotent',
        'may_have_run',
        'phase',
        'priority',
        'request_id',
        'service',
        'upstream',
    )

    def __init__(self, event, priority, deadline_ms):
        self.request_id = event.request_id
        self.service = event.service
        self.priority = priority
        self.deadline_ms = deadline_ms
        self.idempotent = event.idempotent
        self.idempotency_key = event.key
        self.fingerprint = event.fingerprint
        self.phase = QUEUED
        self.holds_claim = False
        self.held_count = 0
        self.attempt_count = 0
        self.may_have_run = False
        self.upstream = None
        self.connection_id = 0
        self.attempt_begun_ms = 0
        self.failed_addresses = ()
