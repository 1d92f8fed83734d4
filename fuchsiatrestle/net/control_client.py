"""Client of the control replicas, for entries.

It finds the leader, repeats a call within its deadline and says on failure
whether the call may have taken effect.  Repeating is safe because every
command carries an identity of its own that the agreed state knows again.

The task that receives from the link hands answers over::

    client = control_client.ControlClient(lnk, {'c1': address, ...})
    client.connect()
    ...
    if await client.handle(event):
        continue
    ...
    result = await client.propose(commands.PatchConfig(...))
    result = await client.ask(queries.GetStatus())
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
from fuchsiatrestle import records
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries

__all__ = (
    'CallFailure',
    'ControlClient',
)

DEFAULT_DEADLINE_MS = 5000
ATTEMPT_MS = 1000
BACKOFF_MS = 50
MAX_PENDING_CALLS = 10000
CALL_ID_BITS = 22
INCARNATION_MASK = (1 << 40) - 1

# Reasons of control, and those that this process finds by itself.
REASONS = messages.REFUSAL_REASONS + ('timeout', 'peer_down', 'bad_answer')
# Refusals after which another attempt may succeed.
_PASSING_REASONS = (
    'not_leader',
    'no_quorum',
    'overloaded',
    'stopping',
    'storage_failed',
    'unknown',
    'timeout',
    'peer_down',
)

REFUSED = {
    reason: metrics.declare(
        f'refused.control_{reason}',
        f'Calls to control that ended with the reason {reason}.',
    )
    for reason in REASONS
}
RETRIED = {
    reason: metrics.declare(
        f'retry.control_{reason}',
        f'Calls to control sent again after {reason}.',
    )
    for reason in _PASSING_REASONS
}

LOG = logs.get_logger(__name__)


class CallFailure(errors.Failure):
    """A call that got no outcome.

    Attributes:
        executed: False if it certainly took no effect; None if unknown.
    """

    __slots__ = ('executed',)

    def __init__(self, reason, detail='', *, step, peer, executed):
        super().__init__(reason, detail, step=step, peer=peer)
        self.executed = executed

    @property
    def not_run(self):
        """True if the call certainly took no effect."""
        return self.executed is False


class _Attempt:
    """One sending of a call, waiting for its answer."""

    __slots__ = ('answer', 'control', 'done')

    def __init__(self, control):
        self.control = control
        self.answer = None
        self.done = curio.Event()


def _refused(reason, detail, *, sent=True):
    """Returns a refusal made here; once sent, a call may take effect."""
    return messages.ControlRefused(0, reason, '', sent, detail)


def _now_ms():
    return time.monotonic() * 1000


class ControlClient:
    """Calls the leader of the control replicas.

    Args:
        lnk: the ``link.Link`` of this process.
        controls: ``settings.Address`` of each control replica, by name.
        resolve: function from the name of a replica that is not among them
            to its ``settings.Address``; None if the list is complete.
    """

    def __init__(self, lnk, controls, resolve=None):
        self._link = lnk
        self._controls = dict(controls)
        self._resolve = resolve
        self._names = sorted(controls)
        self._target = self._names[0]
        # Addresses from elsewhere may be dead from the start.
        self._down = set(controls) - {lnk.name} if resolve else set()
        # Peers with a stream, also those not yet known to be replicas.
        self._up = set()
        self._pending = {}
        self._last_call_id = (
            lnk.incarnation & INCARNATION_MASK
        ) << CALL_ID_BITS

    @property
    def target(self):
        """Name of the control replica that is asked next."""
        return self._target

    @property
    def is_connected(self):
        """True while a stream to a control replica is up."""
        return len(self._down) < len(self._controls)

    def connect(self):
        """Keeps a stream to every control replica."""
        for name, address in self._controls.items():
            if name != self._link.name:
                self._link.connect(name, address)

    def learn(self, name):
        """Adds a control replica that was not listed."""
        if name in self._controls or self._resolve is None:
            return
        self._controls[name] = self._resolve(name)
        self._names = sorted(self._controls)
        if name == self._link.name:
            return
        if name not in self._up:
            self._down.add(name)
        self._link.connect(name, self._controls[name])

    async def handle(self, event):
        """Takes an event of the link: an answer, or a peer that went away.

        Returns:
            True if the event was the answer to a call of this client.
        """
        if isinstance(event, link.Inbound):
            return await self._take_answer(event)
        if isinstance(event, link.PeerUp):
            self._up.add(event.peer)
        else:
            self._up.discard(event.peer)
        if event.peer in self._controls:
            await self._note_reach(event)
        return False

    async def _note_reach(self, event):
        if isinstance(event, link.PeerUp):
            self._down.discard(event.peer)
            self._log_reach('control_reached', event.peer)
        else:
            self._down.add(event.peer)
            self._log_reach('control_lost', event.peer)
            await self._fail_attempts(event.peer)

    def _log_reach(self, event, peer):
        LOG.info(
            event,
            extra={
                'peer': peer,
                'reached': len(self._controls) - len(self._down),
                'known': len(self._controls),
                'waiting': len(self._pending),
            },
        )

    async def propose(self, command, deadline_ms=DEFAULT_DEADLINE_MS):
        """Agrees a command; returns ``Result`` of its outcome."""
        message = messages.ProposeCommand(0, commands.CODEC.encode(command))
        answer = await self.call(message, deadline_ms)
        return answer.bind(
            lambda found: self._decoded(
                found, messages.CommandOutcome, 'outcome', outcomes.CODEC
            )
        )

    async def ask(self, query, deadline_ms=DEFAULT_DEADLINE_MS):
        """Reads the agreed state; returns ``Result`` of the query's result."""
        message = messages.AskQuery(0, queries.CODEC.encode(query))
        answer = await self.call(message, deadline_ms)
        return answer.bind(
            lambda found: self._decoded(
                found, messages.QueryAnswer, 'result', queries.CODEC
            )
        )

    async def call(self, message, deadline_ms=DEFAULT_DEADLINE_MS):
        """Sends any message with a ``call_id`` until it is answered.

        Args:
            message: the call; its ``call_id`` is replaced.
            deadline_ms: how long to try.

        Returns:
            ``Success`` of the answer, or ``Failure`` of a ``CallFailure``.
        """
        step = type(message).__name__
        give_up_ms = _now_ms() + deadline_ms
        executed = False
        while True:
            answer = await self._attempt(message, give_up_ms)
            if not isinstance(answer, messages.ControlRefused):
                return result.Success(answer)
            if answer.reason == 'unknown' or answer.executed:
                executed = None
            if not self._may_repeat(answer, give_up_ms):
                return result.Failure(self._failure(step, answer, executed))
            metrics.count(RETRIED[answer.reason])
            await self._turn_to_next(answer)

    # Attempts

    async def _take_answer(self, inbound):
        call_id = getattr(inbound.message, 'call_id', None)
        attempt = self._pending.get(call_id)
        if attempt is None or attempt.control != inbound.peer:
            return False
        del self._pending[call_id]
        attempt.answer = inbound.message
        await attempt.done.set()
        return True

    async def _fail_attempts(self, control):
        lost = [
            call_id
            for call_id, attempt in self._pending.items()
            if attempt.control == control
        ]
        for call_id in lost:
            attempt = self._pending.pop(call_id)
            attempt.answer = _refused('peer_down', 'the stream broke')
            await attempt.done.set()

    async def _attempt(self, message, give_up_ms):
        """Sends once; returns the answer, a refusal made here if none."""
        if len(self._pending) >= MAX_PENDING_CALLS:
            return _refused('overloaded', 'too many calls wait', sent=False)
        if self._target in self._down:
            return _refused('peer_down', 'no stream', sent=False)
        self._last_call_id += 1
        call_id = self._last_call_id
        attempt = self._pending[call_id] = _Attempt(self._target)
        self._link.send(
            self._target, msgspec.structs.replace(message, call_id=call_id)
        )
        wait_ms = max(1, min(ATTEMPT_MS, give_up_ms - _now_ms()))
        try:
            async with curio.ignore_after(wait_ms / 1000):
                await attempt.done.wait()
        finally:
            self._pending.pop(call_id, None)
        return attempt.answer or _refused(
            'timeout', f'no answer in {wait_ms:.0f} ms'
        )

    def _may_repeat(self, refused, give_up_ms):
        passing = refused.reason in _PASSING_REASONS
        return passing and _now_ms() + BACKOFF_MS < give_up_ms

    async def _turn_to_next(self, refused):
        """Follows the hint at once; else waits and asks the next replica."""
        hinted = refused.leader
        if hinted:
            self.learn(hinted)
        if hinted in self._controls and hinted != self._target:
            self._target = hinted
            return
        if refused.reason != 'overloaded':
            place = self._names.index(self._target) + 1
            self._target = self._names[place % len(self._names)]
        await curio.sleep(BACKOFF_MS / 1000)

    # Answers

    def _failure(self, step, refused, executed):
        metrics.count(REFUSED.get(refused.reason, REFUSED['unknown']))
        return CallFailure(
            refused.reason,
            refused.detail,
            step=step,
            peer=self._target,
            executed=executed,
        )

    def _decoded(self, answer, kind, field, codec):
        try:
            if not isinstance(answer, kind):
                raise records.DecodeError(type(answer).__name__)
            return result.Success(codec.decode(getattr(answer, field)))
        except records.DecodeError as exc:
            refused = _refused('bad_answer', str(exc))
            return result.Failure(self._failure(kind.__name__, refused, None))
