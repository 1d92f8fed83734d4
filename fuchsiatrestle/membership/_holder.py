"""The entry's side of the configuration lease."""

from fuchsiatrestle import core
from fuchsiatrestle import invariants
from fuchsiatrestle.membership import _events
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.state import schema

__all__ = ('ConfigLeaseHolder',)

RENEW_MS = 400
RETRY_MS = 100
ANSWER_TIMEOUT_MS = 300
MAX_OUTSTANDING = 32
CALL_ID_BITS = 22
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


class _Sent:
    """A request under way."""

    __slots__ = ('sent_ms', 'version')

    def __init__(self, sent_ms, version):
        self.sent_ms = sent_ms
        self.version = version


class ConfigLeaseHolder(core.Core):
    """Keeps a configuration lease and the version in force.

    The lease counts from the moment the granted request was sent, by the
    clock of this process.  Ask ``is_held`` with the present time right
    before every effect that needs it: a process that was frozen learns there
    that its lease has run out.

    Args:
        entry: name of the entry.
        incarnation: incarnation of this process.
        address: ``IP:port`` of its link listener.
        controls: names of the control replicas.
    """

    def __init__(self, entry, incarnation, address, controls):
        self._entry = entry
        self._incarnation = incarnation
        self._address = str(address)
        self._controls = sorted(controls)
        self._target = self._controls[0]
        self._term = 0
        self._version = 0
        self._document = b''
        self._wants_whole = False
        self._lease_until_ms = 0
        self._held_announced = False
        self._last_call_id = (incarnation & INCARNATION_MASK) << CALL_ID_BITS
        self._sent = {}
        self._next_send_ms = 0
        self._answer_due_ms = None
        self._releasing = False

    # Facts

    @property
    def version(self):
        """Version in force, 0 before the first lease."""
        return self._version

    @property
    def document(self):
        """JSON of the version in force."""
        return self._document

    def is_held(self, now_ms):
        """True while this process may serve under ``version``."""
        return now_ms < self._lease_until_ms and not self._releasing

    def remaining_ms(self, now_ms):
        """Time left on the lease, zero without one."""
        return max(0, self._lease_until_ms - now_ms)

    # Steps

    def step(self, event, now_ms):
        """Handles ``Tick``, ``Received`` and ``Release``."""
        effects = []
        if isinstance(event, _events.Received):
            self._receive(event, now_ms, effects)
        elif isinstance(event, _events.Release):
            self._start_release(effects)
        self._announce_loss(now_ms, effects)
        self._send_if_due(now_ms, effects)
        return effects

    def _receive(self, event, now_ms, effects):
        message = event.message
        if event.peer not in self._controls:
            return
        if isinstance(message, messages.ConfigLease):
            self._take_lease(event.peer, message, now_ms, effects)
        elif isinstance(message, messages.ControlRefused):
            self._take_refusal(message, now_ms)

    def _take_lease(self, peer, lease, now_ms, effects):
        if lease.call_id == 0:
            # A pushed version is confirmed at once.
            self._take_version(lease, effects)
            self._next_send_ms = now_ms
            return
        sent = self._sent.pop(lease.call_id, None)
        if sent is None:
            return
        self._answer_due_ms = None
        self._target = peer
        if lease.reason == 'released':
            return
        self._require_no_revert(lease, sent)
        self._take_version(lease, effects)
        if lease.lease_ms == 0:
            self._take_denial(lease, now_ms)
        elif lease.version == self._version and not self._releasing:
            self._term = lease.term
            self._lease_until_ms = max(
                self._lease_until_ms, sent.sent_ms + lease.lease_ms
            )

    def _require_no_revert(self, lease, sent):
        """Agreed versions grow: a leader is never behind what it is told."""
        invariants.require(
            lease.reason == 'new_term' or lease.version >= sent.version,
            'membership.agreed_version_never_reverts',
            known=sent.version,
            agreed=lease.version,
        )

    def _take_version(self, lease, effects):
        if lease.version <= self._version:
            return
        document = lease.document or self._patched(lease)
        if not document:
            return
        self._version = lease.version
        self._document = document
        self._wants_whole = False
        effects.append(_events.ConfigInForce(lease.version, document))

    def _patched(self, lease):
        """Returns the document that the patches lead to, empty if none.

        Some of them may be in force here already, by another message.
        """
        known = self._version - lease.base
        if not self._document or not 0 <= known < len(lease.patches):
            return b''
        document = schema.apply_patches(self._document, lease.patches[known:])
        if schema.digest(document) == lease.digest:
            return document
        metrics.count(LEASE_RETRIED['digest'])
        self._wants_whole = True
        return b''

    def _take_denial(self, lease, now_ms):
        if lease.reason in LEASE_REFUSED:
            metrics.count(LEASE_REFUSED[lease.reason])
        if lease.reason == 'new_term' and lease.term != self._term:
            metrics.count(LEASE_RETRIED['new_term'])
            self._term = lease.term
            self._next_send_ms = now_ms
        elif lease.reason in ('not_admitted', 'released'):
            self._lease_until_ms = 0

    def _take_refusal(self, refused, now_ms):
        if self._sent.pop(refused.call_id, None) is None:
            return
        self._answer_due_ms = None
        metrics.count(LEASE_RETRIED['refused'])
        if refused.leader in self._controls:
            self._target = refused.leader
            self._next_send_ms = now_ms
        else:
            self._turn_to_next()
            self._next_send_ms = now_ms + RETRY_MS

    def _turn_to_next(self):
        place = self._controls.index(self._target) + 1
        self._target = self._controls[place % len(self._controls)]

    def _start_release(self, effects):
        self._releasing = True
        self._lease_until_ms = 0
        self._last_call_id += 1
        effects.append(
            _events.Send(
                self._target,
                messages.ReleaseConfigLease(
                    -self._last_call_id, self._entry, self._incarnation
                ),
            )
        )

    def _announce_loss(self, now_ms, effects):
        held = self.is_held(now_ms)
        if self._held_announced and not held:
            metrics.count(LEASE_LOST)
            reason = 'released' if self._releasing else 'expired'
            effects.append(_events.LeaseLost(reason))
        self._held_announced = held

    # Sending

    def _send_if_due(self, now_ms, effects):
        if self._releasing:
            return
        due_ms = self._answer_due_ms
        if due_ms is not None and now_ms >= due_ms:
            metrics.count(LEASE_RETRIED['timeout'])
            self._answer_due_ms = None
            self._turn_to_next()
            self._next_send_ms = now_ms
        if now_ms >= self._next_send_ms:
            effects.append(self._renewal(now_ms))

    def _renewal(self, now_ms):
        self._last_call_id += 1
        call_id = -self._last_call_id
        self._sent[call_id] = _Sent(now_ms, self._version)
        while len(self._sent) > MAX_OUTSTANDING:
            del self._sent[next(iter(self._sent))]
        if self._answer_due_ms is None:
            self._answer_due_ms = now_ms + ANSWER_TIMEOUT_MS
        self._next_send_ms = now_ms + RENEW_MS
        message = messages.RenewConfigLease(
            call_id,
            self._entry,
            self._incarnation,
            self._version,
            self._address,
            self._term,
            self.is_held(now_ms),
            self._wants_whole,
        )
        return _events.Send(self._target, message)
