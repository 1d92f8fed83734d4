"""The entry's side of the configuration lease."""

from fuchsiatrestle import core
from fuchsiatrestle import invariants
from fuchsiatrestle.membership import _events
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.state import schema

__all__ = ('ConfigLeaseHolder',)

# Time between two renewals, unless an answer, a pushed version or a timeout
# makes the next renewal due earlier.
RENEWAL_INTERVAL_MS = 400
# Wait after a refusal that names no leader.
RETRY_DELAY_MS = 100
# Time without an answer to any pending request after which the next control
# replica is asked.
ANSWER_TIMEOUT_MS = 300
# If more requests are pending, the oldest is dropped; its answer is ignored.
MAX_PENDING_REQUESTS = 32
# A call id consists of the low bits of the incarnation and a counter, so that
# no other process of the entry uses the same ids.  It is sent with a minus
# sign, as the control client of the same process uses the positive ids.
CALL_COUNTER_BITS = 22
INCARNATION_MASK = (1 << 40) - 1

LEASE_LOST = metrics.declare(
    'config_lease.lost', 'Times the configuration lease ran out or ended.'
)
LEASE_REFUSED = {
    reason: metrics.declare(
        f'refused.config_lease_{reason}',
        f'Configuration lease requests refused with {reason}.',
    )
    for reason in ('new_term', 'not_admitted', 'other_process', 'released')
}
LEASE_RETRIED = {
    reason: metrics.declare(
        f'retry.config_lease_{reason}',
        f'Configuration lease requests sent again after {reason}.',
    )
    for reason in ('timeout', 'refused', 'new_term', 'digest')
}


class _PendingRequest:
    """A renewal that was sent and has no answer yet.

    Attributes:
        sent_ms: time at which it was sent.
        version: version that was in force then.
    """

    __slots__ = ('sent_ms', 'version')

    def __init__(self, sent_ms, version):
        self.sent_ms = sent_ms
        self.version = version


class ConfigLeaseHolder(core.Core):
    """Keeps the configuration lease and the version in force of an entry.

    The lease counts from the moment the granted request was sent, by the
    clock of this process.  Call ``is_held`` with the present time right
    before every action that needs the lease: a process that was suspended
    finds out only there that its lease has expired.

    Args:
        entry: name of the entry.
        incarnation: incarnation of this process.
        address: ``IP:port`` of its link listener.
        control_names: names of the control replicas.
    """

    def __init__(self, entry, incarnation, address, control_names):
        self._entry = entry
        self._incarnation = incarnation
        self._address = str(address)
        self._control_names = sorted(control_names)
        # Name of the control replica that requests are sent to.
        self._target_control = self._control_names[0]
        # Term of the leader, as last learnt from its answers.
        self._term = 0
        self._version = 0
        self._document = b''
        self._needs_full_document = False
        self._lease_until_ms = 0
        self._lease_was_held = False
        self._last_call_number = (
            incarnation & INCARNATION_MASK
        ) << CALL_COUNTER_BITS
        # ``_PendingRequest`` by call id, oldest first.
        self._pending_requests = {}
        self._next_renewal_ms = 0
        # Time at which waiting for an answer ends, None if none is awaited.
        self._answer_due_ms = None
        self._is_releasing = False

    # Queries

    @property
    def version(self):
        """Configuration version in force, 0 before the first one."""
        return self._version

    @property
    def document(self):
        """JSON of the version in force, as bytes."""
        return self._document

    def is_held(self, now_ms):
        """Returns True if this process may serve under ``version`` now."""
        return now_ms < self._lease_until_ms and not self._is_releasing

    def remaining_ms(self, now_ms):
        """Returns the time left on the lease, in ms, 0 without one."""
        return max(0, self._lease_until_ms - now_ms)

    # Steps

    def step(self, event, now_ms):
        """Handles ``Tick``, ``MessageReceived`` and ``ReleaseLease``.

        Returns:
            A list of ``SendToPeer``, ``ConfigInForce`` and ``LeaseLost``
            effects.
        """
        effects = []
        if isinstance(event, _events.MessageReceived):
            self._handle_message(event, now_ms, effects)
        elif isinstance(event, _events.ReleaseLease):
            self._start_release(effects)
        self._report_lost_lease(now_ms, effects)
        self._renew_if_due(now_ms, effects)
        return effects

    def _handle_message(self, event, now_ms, effects):
        message = event.message
        if event.sender not in self._control_names:
            return
        if isinstance(message, messages.ConfigLease):
            self._handle_lease(event.sender, message, now_ms, effects)
        elif isinstance(message, messages.ControlRefused):
            self._handle_refusal(message, now_ms)

    def _handle_lease(self, peer, lease, now_ms, effects):
        """Handles a ``ConfigLease``, which arrives in two forms.

        It is a pushed configuration version if its call id is 0, otherwise
        the answer to a renewal, denied if ``lease_ms`` is 0.  An answer to
        any other call id than that of a pending renewal is ignored.
        """
        if lease.call_id == 0:
            # A pushed version is confirmed by a renewal in this step.
            self._adopt_version(lease, effects)
            self._next_renewal_ms = now_ms
            return
        request = self._pending_requests.pop(lease.call_id, None)
        if request is None:
            return
        self._answer_due_ms = None
        self._target_control = peer
        if lease.reason == 'released':
            return
        self._require_no_reversion(lease, request)
        self._adopt_version(lease, effects)
        if lease.lease_ms == 0:
            self._handle_denial(lease, now_ms)
        elif lease.version == self._version and not self._is_releasing:
            self._term = lease.term
            self._lease_until_ms = max(
                self._lease_until_ms, request.sent_ms + lease.lease_ms
            )

    def _require_no_reversion(self, lease, request):
        """Checks that the answer is not older than the version in the request.

        A version comes into force only after the log entry that makes it is
        committed, so the leader of a later term has applied it before it
        grants a lease.  An answer with ``new_term`` is not checked, as its
        sender need not lead the term that the request names.
        """
        invariants.require(
            lease.reason == 'new_term' or lease.version >= request.version,
            'membership.agreed_version_never_reverts',
            known=request.version,
            agreed=lease.version,
        )

    def _adopt_version(self, lease, effects):
        """Brings the version of ``lease`` into force if it is newer."""
        if lease.version <= self._version:
            return
        document = lease.document or self._apply_patches(lease)
        if not document:
            return
        self._version = lease.version
        self._document = document
        self._needs_full_document = False
        effects.append(_events.ConfigInForce(lease.version, document))

    def _apply_patches(self, lease):
        """Returns the document that the patches lead to.

        The first patches are skipped if another message has brought their
        versions into force already.  The result is empty if none of the
        patches applies to the version in force here, or if the digest of the
        new document differs from that of ``lease``; after a wrong digest, the
        next renewal asks for the full document.
        """
        applied_patch_count = self._version - lease.base
        if not self._document or not 0 <= applied_patch_count < len(
            lease.patches
        ):
            return b''
        document = schema.apply_patches(
            self._document, lease.patches[applied_patch_count:]
        )
        if schema.digest_document(document) == lease.digest:
            return document
        metrics.count(LEASE_RETRIED['digest'])
        self._needs_full_document = True
        return b''

    def _handle_denial(self, lease, now_ms):
        """Handles an answer that grants no lease.

        If the leader has another term than this holder knows, a renewal that
        names the leader's term is sent in this step.  A lease that is still
        running is given up if the entry is no longer admitted; otherwise it
        runs on until it expires.
        """
        if lease.reason in LEASE_REFUSED:
            metrics.count(LEASE_REFUSED[lease.reason])
        if lease.reason == 'new_term' and lease.term != self._term:
            metrics.count(LEASE_RETRIED['new_term'])
            self._term = lease.term
            self._next_renewal_ms = now_ms
        elif lease.reason in ('not_admitted', 'released'):
            self._lease_until_ms = 0

    def _handle_refusal(self, refusal, now_ms):
        """Asks the leader that the refusal names, or the next replica."""
        if self._pending_requests.pop(refusal.call_id, None) is None:
            return
        self._answer_due_ms = None
        metrics.count(LEASE_RETRIED['refused'])
        if refusal.leader in self._control_names:
            self._target_control = refusal.leader
            self._next_renewal_ms = now_ms
        else:
            self._select_next_control()
            self._next_renewal_ms = now_ms + RETRY_DELAY_MS

    def _select_next_control(self):
        next_index = self._control_names.index(self._target_control) + 1
        self._target_control = self._control_names[
            next_index % len(self._control_names)
        ]

    def _start_release(self, effects):
        self._is_releasing = True
        self._lease_until_ms = 0
        self._last_call_number += 1
        effects.append(
            _events.SendToPeer(
                self._target_control,
                messages.ReleaseConfigLease(
                    -self._last_call_number, self._entry, self._incarnation
                ),
            )
        )

    def _report_lost_lease(self, now_ms, effects):
        """Adds ``LeaseLost`` if the lease has ended since the last step."""
        is_held = self.is_held(now_ms)
        if self._lease_was_held and not is_held:
            metrics.count(LEASE_LOST)
            reason = 'released' if self._is_releasing else 'expired'
            effects.append(_events.LeaseLost(reason))
        self._lease_was_held = is_held

    # Renewals

    def _renew_if_due(self, now_ms, effects):
        if self._is_releasing:
            return
        answer_due_ms = self._answer_due_ms
        if answer_due_ms is not None and now_ms >= answer_due_ms:
            metrics.count(LEASE_RETRIED['timeout'])
            self._answer_due_ms = None
            self._select_next_control()
            self._next_renewal_ms = now_ms
        if now_ms >= self._next_renewal_ms:
            effects.append(self._make_renewal(now_ms))

    def _make_renewal(self, now_ms):
        """Returns the effect that sends a renewal, and records the request."""
        self._last_call_number += 1
        call_id = -self._last_call_number
        self._pending_requests[call_id] = _PendingRequest(
            now_ms, self._version
        )
        while len(self._pending_requests) > MAX_PENDING_REQUESTS:
            del self._pending_requests[next(iter(self._pending_requests))]
        if self._answer_due_ms is None:
            self._answer_due_ms = now_ms + ANSWER_TIMEOUT_MS
        self._next_renewal_ms = now_ms + RENEWAL_INTERVAL_MS
        message = messages.RenewConfigLease(
            call_id,
            self._entry,
            self._incarnation,
            self._version,
            self._address,
            self._term,
            self.is_held(now_ms),
            self._needs_full_document,
        )
        return _events.SendToPeer(self._target_control, message)
