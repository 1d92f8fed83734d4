"""Client for calls to the control replicas.

The client finds the leader, retries a call until its deadline, and on failure
reports whether the call may have taken effect. Retrying is safe because every
command carries an identity by which the agreed state recognizes a repetition.

The task that receives from the link passes all events to ``handle_event``::

    client = control_client.ControlClient(lnk, {'c1': address, ...})
    client.connect()
    ...
    if await client.handle_event(event):
        continue
    ...
    result = await client.propose(commands.PatchConfig(...))
    result = await client.query(queries.GetStatus())
"""

import time

import curio
import msgspec
from returns import result

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.net import link
from fuchsiatrestle import pauses
from fuchsiatrestle import records
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries

__all__ = (
    'CallFailure',
    'ControlClient',
)

DEFAULT_TIMEOUT_MS = 5000
ATTEMPT_TIMEOUT_MS = 1000
# Delay before another attempt, unless the refusal names another leader.
RETRY_DELAY_MS = 50
MAX_PENDING_CALLS = 10000
# Call ids are numbered from ``incarnation << CALL_ID_BITS``, so that a late
# answer to an earlier process of the same name matches no call of this one.
CALL_ID_BITS = 22
INCARNATION_MASK = (1 << 40) - 1

# Reasons sent by a control replica, then those found by this client.
FAILURE_REASONS = messages.REFUSAL_REASONS + (
    'timeout',
    'peer_down',
    'bad_answer',
)
# Reasons after which another attempt may succeed.
_RETRYABLE_REASONS = (
    'not_leader',
    'no_quorum',
    'overloaded',
    'stopping',
    'storage_failed',
    'unknown',
    'timeout',
    'peer_down',
)

FAILED_CALLS = {
    reason: metrics.declare(
        f'refused.control_{reason}',
        f'Calls to control that ended with the reason {reason}.',
    )
    for reason in FAILURE_REASONS
}
RETRIED_CALLS = {
    reason: metrics.declare(
        f'retry.control_{reason}',
        f'Calls to control sent again after {reason}.',
    )
    for reason in _RETRYABLE_REASONS
}

LOG = logs.get_logger(__name__)


class CallFailure(errors.Failure):
    """The failure of a call to control.

    Attributes:
        executed: False if the call certainly took no effect; None if it may
            have taken effect.
    """

    __slots__ = ('executed',)

    def __init__(self, reason, detail='', *, step, peer, executed):
        super().__init__(reason, detail, step=step, peer=peer)
        self.executed = executed

    @property
    def certainly_not_executed(self):
        """True if the call certainly took no effect."""
        return self.executed is False


class _Attempt:
    """One attempt at a call: a message sent and its answer.

    Attributes:
        replica: name of the control replica that the message was sent to.
        answer: message that answers the call; None until it is received.
        answered_event: curio event that is set when ``answer`` is assigned.
    """

    __slots__ = ('answer', 'answered_event', 'replica')

    def __init__(self, replica):
        self.replica = replica
        self.answer = None
        self.answered_event = curio.Event()


def _make_refusal(reason, detail, *, call_sent=True):
    """Returns the ``ControlRefused`` for an attempt without a usable answer.

    Args:
        reason: reason of the failure.
        detail: one line for people.
        call_sent: True if the call was sent and may thus have taken effect.
    """
    return messages.ControlRefused(0, reason, '', call_sent, detail)


def _monotonic_ms():
    return time.monotonic() * 1000


class ControlClient:
    """Calls the leader of the control replicas.

    Args:
        process_link: the ``link.Link`` of this process.
        replica_addresses: ``settings.Address`` of each control replica, by
            name.
        resolve_address: function that returns the ``settings.Address`` of a
            replica by its name, for those that are not in
            ``replica_addresses``; None if ``replica_addresses`` is complete.
    """

    def __init__(self, process_link, replica_addresses, resolve_address=None):
        self._link = process_link
        self._initial_addresses = dict(replica_addresses)
        self._replica_addresses = dict(replica_addresses)
        # Log index of the newest list of members that was received.
        self._members_index = 0
        self._resolve_address = resolve_address
        self._replica_names = sorted(replica_addresses)
        self._target_replica = self._replica_names[0]
        # If replicas can be added later, an address in ``replica_addresses``
        # may be out of date; a replica then counts as unreachable until its
        # stream is up.
        self._unreachable_replicas = (
            set(replica_addresses) - {process_link.name}
            if resolve_address
            else set()
        )
        # All peers with a stream: ``add_replica`` may name one of them later.
        self._connected_peers = set()
        self._pending_attempts = {}
        self._last_call_id = (
            process_link.incarnation & INCARNATION_MASK
        ) << CALL_ID_BITS

    @property
    def target_replica(self):
        """Name of the control replica that the next attempt is sent to."""
        return self._target_replica

    @property
    def connected_peers(self):
        """Set of the names of all peers with a stream."""
        return frozenset(self._connected_peers)

    @property
    def is_connected(self):
        """True while at least one control replica counts as reachable."""
        return len(self._unreachable_replicas) < len(self._replica_addresses)

    def connect(self):
        """Makes the link keep a stream to every control replica."""
        for name, address in self._replica_addresses.items():
            if name != self._link.name:
                self._link.connect(name, address)

    def add_replica(self, name):
        """Adds a control replica that was not known before.

        Does nothing if the replica is known, or if the client was created
        without ``resolve_address`` because its list of replicas is complete.

        Args:
            name: name of the replica.
        """
        if name in self._replica_addresses or self._resolve_address is None:
            return
        self._replica_addresses[name] = self._resolve_address(name)
        self._replica_names = sorted(self._replica_addresses)
        if name == self._link.name:
            return
        if name not in self._connected_peers:
            self._unreachable_replicas.add(name)
        self._link.connect(name, self._replica_addresses[name])

    def update_members(self, index, names):
        """Replaces the known control replicas by the members of the group.

        Older lists than the newest are ignored, as they may come from a
        replica that was removed.  Does nothing if the client was created
        without ``resolve_address``.

        Args:
            index: log index from which these are the members.
            names: names of the members.
        """
        if self._resolve_address is None or index < self._members_index:
            return
        self._members_index = index
        for name in names:
            self.add_replica(name)
        for name in set(self._replica_addresses) - {*names, self._link.name}:
            self._remove_replica(name)

    def set_initial_replicas(self, replica_addresses):
        """Replaces the control replicas that the settings name.

        They are dialled now if no member of the group can be reached.

        Args:
            replica_addresses: ``settings.Address`` of each, by name.
        """
        self._initial_addresses = dict(replica_addresses)
        if not self._members_index or not self.is_connected:
            self._add_initial_replicas()

    def _remove_replica(self, name):
        del self._replica_addresses[name]
        self._unreachable_replicas.discard(name)
        self._replica_names = sorted(self._replica_addresses)
        if self._target_replica == name:
            self._target_replica = self._replica_names[0]
        self._link.disconnect(name)
        LOG.info('control_removed', extra={'peer': name})

    def _add_initial_replicas(self):
        """Adds the replicas in the settings, as no other can be reached."""
        for name in self._initial_addresses:
            self.add_replica(name)

    async def handle_event(self, event):
        """Processes an event that ``Link.receive`` returned.

        An answer completes its call; a lost stream to a replica fails the
        attempts sent on it, which are then retried.

        Args:
            event: ``link.ReceivedMessage``, ``link.PeerUp`` or
                ``link.PeerDown``.

        Returns:
            True if the event was the answer to a call of this client.
        """
        if isinstance(event, link.ReceivedMessage):
            if isinstance(event.message, messages.MemberList):
                self._handle_member_list(event)
                return False
            return await self._handle_answer(event)
        if isinstance(event, link.PeerUp):
            self._connected_peers.add(event.peer)
        else:
            self._connected_peers.discard(event.peer)
            await self._fail_attempts(event.peer)
        if event.peer in self._replica_addresses:
            self._update_reachability(event)
        return False

    def _handle_member_list(self, event):
        if event.peer in self._replica_addresses and event.message.names:
            self.update_members(event.message.index, event.message.names)

    def _update_reachability(self, event):
        """Records that a stream to a replica was opened or lost."""
        if isinstance(event, link.PeerUp):
            self._unreachable_replicas.discard(event.peer)
            self._log_reachability('control_reached', event.peer)
        else:
            self._unreachable_replicas.add(event.peer)
            self._log_reachability('control_lost', event.peer)
            if not self.is_connected and self._resolve_address is not None:
                self._add_initial_replicas()

    def _log_reachability(self, log_event, peer):
        LOG.info(
            log_event,
            extra={
                'peer': peer,
                'reached': len(self._replica_addresses)
                - len(self._unreachable_replicas),
                'known': len(self._replica_addresses),
                'waiting': len(self._pending_attempts),
            },
        )

    async def propose(
        self, command, timeout_ms=DEFAULT_TIMEOUT_MS, age_ms=None
    ):
        """Has the control replicas agree on a command.

        Args:
            command: record of ``state.commands``.
            timeout_ms: time in milliseconds during which it is retried.
            age_ms: time in milliseconds since the request that led to the
                command was received; None if there is none.

        Returns:
            ``Success`` of the outcome, a record of ``state.outcomes``, or
            ``Failure`` of a ``CallFailure``.
        """
        message = messages.ProposeCommand(0, commands.CODEC.encode(command))
        call_result = await self.call(message, timeout_ms, age_ms)
        return call_result.bind(
            lambda reply: self._decode_answer(
                reply, messages.CommandOutcome, 'outcome', outcomes.CODEC
            )
        )

    async def query(self, query, timeout_ms=DEFAULT_TIMEOUT_MS):
        """Reads from the agreed state.

        Args:
            query: record of ``state.queries``.
            timeout_ms: time in milliseconds during which it is retried.

        Returns:
            ``Success`` of the result, a record of ``state.queries``, or
            ``Failure`` of a ``CallFailure``.
        """
        message = messages.AskQuery(0, queries.CODEC.encode(query))
        call_result = await self.call(message, timeout_ms)
        return call_result.bind(
            lambda reply: self._decode_answer(
                reply, messages.QueryAnswer, 'result', queries.CODEC
            )
        )

    async def call(self, message, timeout_ms=DEFAULT_TIMEOUT_MS, age_ms=None):
        """Sends a message with a ``call_id`` until it is answered.

        Args:
            message: the call; its ``call_id`` is replaced in each attempt.
            timeout_ms: time in milliseconds during which it is retried.
            age_ms: see ``propose``; None if the message has no ``age_ms``,
                which is replaced in each attempt.

        Returns:
            ``Success`` of the answering message, or ``Failure`` of a
            ``CallFailure`` after a final refusal or at the deadline.
        """
        step = type(message).__name__
        expiry_ms = _monotonic_ms() + timeout_ms
        executed = False
        called_ms = pauses.read_boottime_ms()
        while True:
            if age_ms is not None:
                elapsed_ms = pauses.read_boottime_ms() - called_ms
                message = msgspec.structs.replace(
                    message, age_ms=age_ms + elapsed_ms
                )
            answer = await self._make_attempt(message, expiry_ms)
            if not isinstance(answer, messages.ControlRefused):
                return result.Success(answer)
            if answer.reason == 'unknown' or answer.executed:
                executed = None
            if not self._may_retry(answer, expiry_ms):
                return result.Failure(
                    self._make_failure(step, answer, executed)
                )
            metrics.count(RETRIED_CALLS[answer.reason])
            await self._choose_next_target(answer)

    # Attempts

    async def _handle_answer(self, event):
        """Completes the attempt that a message answers.

        Returns:
            False if the message answers no pending attempt.
        """
        call_id = getattr(event.message, 'call_id', None)
        attempt = self._pending_attempts.get(call_id)
        if attempt is None or attempt.replica != event.peer:
            return False
        del self._pending_attempts[call_id]
        attempt.answer = event.message
        await attempt.answered_event.set()
        return True

    async def _fail_attempts(self, replica):
        """Ends the attempts sent to a replica, so that they are retried."""
        lost_call_ids = [
            call_id
            for call_id, attempt in self._pending_attempts.items()
            if attempt.replica == replica
        ]
        for call_id in lost_call_ids:
            attempt = self._pending_attempts.pop(call_id)
            attempt.answer = _make_refusal('peer_down', 'the stream broke')
            await attempt.answered_event.set()

    async def _make_attempt(self, message, expiry_ms):
        """Makes one attempt at a call.

        Args:
            message: the call; its ``call_id`` is replaced.
            expiry_ms: monotonic time in milliseconds at which the call
                expires.

        Returns:
            The answering message. Without one, a ``ControlRefused`` that says
            why and whether the call may have been executed.
        """
        if len(self._pending_attempts) >= MAX_PENDING_CALLS:
            return _make_refusal(
                'overloaded', 'too many calls wait', call_sent=False
            )
        if self._target_replica in self._unreachable_replicas:
            return _make_refusal('peer_down', 'no stream', call_sent=False)
        self._last_call_id += 1
        call_id = self._last_call_id
        attempt = self._pending_attempts[call_id] = _Attempt(
            self._target_replica
        )
        self._link.send(
            self._target_replica,
            msgspec.structs.replace(message, call_id=call_id),
        )
        wait_ms = max(1, min(ATTEMPT_TIMEOUT_MS, expiry_ms - _monotonic_ms()))
        try:
            async with curio.ignore_after(wait_ms / 1000):
                await attempt.answered_event.wait()
        finally:
            self._pending_attempts.pop(call_id, None)
        return attempt.answer or _make_refusal(
            'timeout', f'no answer in {wait_ms:.0f} ms'
        )

    def _may_retry(self, refusal, expiry_ms):
        """Returns True if a retry may succeed and time is left for it."""
        is_retryable = refusal.reason in _RETRYABLE_REASONS
        return is_retryable and _monotonic_ms() + RETRY_DELAY_MS < expiry_ms

    async def _choose_next_target(self, refusal):
        """Chooses the replica for the next attempt.

        If the refusal names a leader other than the replica just asked, that
        leader is chosen at once. Otherwise, or if the address of the leader
        is not known, the method waits for ``RETRY_DELAY_MS`` and chooses the
        next replica by name, or the same replica again if it is overloaded.
        """
        hinted_leader = refusal.leader
        if hinted_leader:
            self.add_replica(hinted_leader)
        if (
            hinted_leader in self._replica_addresses
            and hinted_leader != self._target_replica
        ):
            self._target_replica = hinted_leader
            return
        if refusal.reason != 'overloaded':
            next_index = self._replica_names.index(self._target_replica) + 1
            self._target_replica = self._replica_names[
                next_index % len(self._replica_names)
            ]
        await curio.sleep(RETRY_DELAY_MS / 1000)

    # Answers

    def _make_failure(self, step, refusal, executed):
        """Counts a failed call and returns its ``CallFailure``."""
        metrics.count(
            FAILED_CALLS.get(refusal.reason, FAILED_CALLS['unknown'])
        )
        return CallFailure(
            refusal.reason,
            refusal.detail,
            step=step,
            peer=self._target_replica,
            executed=executed,
        )

    def _decode_answer(self, answer, expected_type, field_name, codec):
        """Decodes the record in a field of an answer.

        Args:
            answer: the answering message.
            expected_type: message class that the answer must have.
            field_name: name of the field that holds the encoded record.
            codec: codec of the record.

        Returns:
            ``Success`` of the record, or ``Failure`` with the reason
            ``bad_answer`` if the answer has another type or is malformed.
        """
        try:
            if not isinstance(answer, expected_type):
                raise records.DecodeError(type(answer).__name__)
            return result.Success(codec.decode(getattr(answer, field_name)))
        except records.DecodeError as exc:
            refusal = _make_refusal('bad_answer', str(exc))
            return result.Failure(
                self._make_failure(expected_type.__name__, refusal, None)
            )
