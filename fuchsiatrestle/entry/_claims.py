"""Claims of idempotency keys, proposed to control in batches.

A request that is not idempotent but has an idempotency key is sent to an
upstream only after control has granted its claim.  The end of each claimed
request is recorded as well.
"""

import collections

import curio
from returns import result

from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle import routing
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes

__all__ = ('ClaimBatcher',)

# Time for which claims or finishes are collected before a batch is sent.
BATCH_DELAY_S = 0.005
MAX_BATCH_ITEMS = 256
# Limit on the keys, fingerprints and answers of a batch.  Control refuses
# commands over 1 MiB; the other fields of a full batch take far less than half
# of that.
MAX_BATCH_BYTES = 512 * 1024
# Maximum number of queued claims, and likewise of queued finishes.
MAX_QUEUED_ITEMS = 4096
# Time for which the requests of a batch wait for its outcome.
CLAIM_DEADLINE_MS = 1000
# Deadline of each proposal that is repeated until its outcome is known, and
# pause before the next repetition.
RESEND_DEADLINE_MS = 5000
RESEND_PAUSE_S = 0.2
FLUSH_TIMEOUT_S = 3.0

CLAIM_BATCHES = metrics.declare(
    'claims.batches', 'Batches of claims proposed.'
)
UNRESOLVED_BATCHES = metrics.declare(
    'claims.unresolved', 'Batches whose outcome was not known in time.'
)
DROPPED_FINISHES = metrics.declare(
    'claims.finish_dropped',
    'Ends of claims not recorded; the claims become unknown.',
)

LOG = logs.get_logger(__name__)


class ClaimBatcher:
    """Collects claims and finishes and proposes them to control in batches.

    A claim asks for the right to run a request; a finish records how the
    claimed request ended.  Batches of claims are proposed side by side,
    batches of finishes one after the other.

    Args:
        entry: name of this entry.
        incarnation: incarnation of this process.
        client: the ``control_client.ControlClient``.

    Attributes:
        router: the ``Router`` that control's answers are passed to; set after
            construction, because the router needs this object too.
    """

    def __init__(self, entry, incarnation, client):
        self._entry = entry
        self._incarnation = incarnation
        self._client = client
        self._queued_claims = collections.deque()
        self._queued_finishes = collections.deque()
        self._claim_wakeup = curio.Event()
        self._finish_wakeup = curio.Event()
        self._last_claim_batch_number = 0
        self._last_finish_batch_number = 0
        self._is_recording_finishes = False
        self.router = None

    async def queue_claim(self, ask_claim):
        """Queues an ``AskClaim``, once its delay has passed if it has one.

        If the queue is full, the claim is resolved as ``unavailable``.
        """
        if ask_claim.delay_ms:
            await curio.spawn(self._queue_claim_later, ask_claim, daemon=True)
        else:
            await self._queue_claim_now(ask_claim)

    async def _queue_claim_later(self, ask_claim):
        await curio.sleep(ask_claim.delay_ms / 1000)
        await self._queue_claim_now(ask_claim)

    async def _queue_claim_now(self, ask_claim):
        if len(self._queued_claims) >= MAX_QUEUED_ITEMS:
            await self._resolve_claim(ask_claim, 'unavailable')
            return
        self._queued_claims.append(ask_claim)
        await self._claim_wakeup.set()

    async def queue_finish(self, finish_claim):
        """Queues a ``FinishClaim``; drops and counts it if the queue is full.

        The claim of a dropped finish becomes ``unknown`` in control's state.
        """
        if len(self._queued_finishes) >= MAX_QUEUED_ITEMS:
            metrics.count(DROPPED_FINISHES)
            return
        self._queued_finishes.append(
            commands.FinishedClaim(
                finish_claim.service,
                finish_claim.key,
                finish_claim.state,
                finish_claim.status,
                finish_claim.answer,
            )
        )
        await self._finish_wakeup.set()

    # Claiming

    async def send_claims_forever(self):
        """Proposes the queued claims, each batch in a task of its own."""
        while True:
            await self._claim_wakeup.wait()
            await curio.sleep(BATCH_DELAY_S)
            self._claim_wakeup.clear()
            while self._queued_claims:
                batch = _take_batch(self._queued_claims)
                self._last_claim_batch_number += 1
                await curio.spawn(
                    self._propose_claims,
                    batch,
                    self._last_claim_batch_number,
                    daemon=True,
                )

    async def _propose_claims(self, batch, batch_number):
        """Proposes a batch of claims; passes control's answers to the router.

        Without an outcome within ``CLAIM_DEADLINE_MS`` the claims are resolved
        as ``unavailable``, which refuses their requests.  Claims that
        control may have granted all the same are then released.
        """
        metrics.count(CLAIM_BATCHES)
        command = commands.ClaimRequests(
            self._entry,
            self._incarnation,
            batch_number,
            [
                commands.Claim(
                    ask_claim.service, ask_claim.key, ask_claim.fingerprint
                )
                for ask_claim in batch
            ],
        )
        propose_result = await self._client.propose(command, CLAIM_DEADLINE_MS)
        if isinstance(propose_result, result.Success):
            await self._resolve_batch(batch, propose_result.unwrap())
            return
        for ask_claim in batch:
            await self._resolve_claim(ask_claim, 'unavailable')
        if not propose_result.failure().certainly_not_executed:
            await self._release_claims(command)

    async def _resolve_batch(self, batch, outcome):
        """Passes control's answer on each claim of a batch to the router.

        An unexpected outcome resolves all of them as ``unavailable``.
        """
        if not isinstance(outcome, outcomes.ClaimOutcomes):
            LOG.error('claims_refused', extra={'outcome': repr(outcome)})
            for ask_claim in batch:
                await self._resolve_claim(ask_claim, 'unavailable')
            return
        for ask_claim, claim_answer in zip(batch, outcome.claims, strict=True):
            await self._resolve_claim(
                ask_claim,
                claim_answer.state,
                claim_answer.status,
                claim_answer.answer,
            )

    async def _resolve_claim(self, ask_claim, state, status=0, answer=b''):
        """Passes control's answer on one claim to the router.

        A claim that was granted after its request had ended is released.

        Args:
            ask_claim: the ``routing.AskClaim``.
            state: a state of ``outcomes.ClaimAnswer``, or ``unavailable`` if
                there is no answer of control.
            status: HTTP status of the stored answer, 0 if there is none.
            answer: the stored answer, empty if there is none.
        """
        event = routing.ClaimResolved(
            ask_claim.request_id, state, status, answer
        )
        if not await self.router.resolve_claim(event) and state == 'granted':
            await self.queue_finish(
                routing.FinishClaim(
                    ask_claim.service, ask_claim.key, 'not_run'
                )
            )

    async def _release_claims(self, command):
        """Releases the granted claims of a batch whose outcome is not known.

        The same command is proposed again until control answers.  The state
        machine of control recognises it by its number and returns the outcome
        of the first time that it was applied, so only claims that were
        certainly granted are released.
        """
        metrics.count(UNRESOLVED_BATCHES)
        while True:
            propose_result = await self._client.propose(
                command, RESEND_DEADLINE_MS
            )
            if isinstance(propose_result, result.Success):
                break
            await curio.sleep(RESEND_PAUSE_S)
        outcome = propose_result.unwrap()
        if not isinstance(outcome, outcomes.ClaimOutcomes):
            LOG.error('claims_refused', extra={'outcome': repr(outcome)})
            return
        for claim, claim_answer in zip(
            command.claims, outcome.claims, strict=True
        ):
            if claim_answer.state == 'granted':
                await self.queue_finish(
                    routing.FinishClaim(claim.service, claim.key, 'not_run')
                )

    # Finishing

    async def send_finishes_forever(self):
        """Records the queued finishes in order; repeats failed proposals."""
        while True:
            await self._finish_wakeup.wait()
            await curio.sleep(BATCH_DELAY_S)
            self._finish_wakeup.clear()
            while self._queued_finishes:
                self._is_recording_finishes = True
                await self._record_finishes(_take_batch(self._queued_finishes))
                self._is_recording_finishes = False

    async def _record_finishes(self, batch):
        """Proposes a batch of finishes again and again until it is applied.

        The state machine of control recognises a repeated batch by its number,
        which requires that the next batch is proposed only after this one was
        applied.
        """
        self._last_finish_batch_number += 1
        command = commands.FinishClaims(
            self._entry,
            self._incarnation,
            batch,
            self._last_finish_batch_number,
        )
        while True:
            propose_result = await self._client.propose(
                command, RESEND_DEADLINE_MS
            )
            if isinstance(propose_result, result.Success):
                return
            LOG.warning(
                'finishes_not_recorded',
                extra={
                    'reason': propose_result.failure().reason,
                    'count': len(batch),
                    'waiting': len(self._queued_finishes),
                },
            )
            await curio.sleep(RESEND_PAUSE_S)

    async def flush_finishes(self):
        """Waits until all queued finishes are recorded.

        It gives up after ``FLUSH_TIMEOUT_S``.
        """
        async with curio.ignore_after(FLUSH_TIMEOUT_S):
            while self._queued_finishes or self._is_recording_finishes:
                await curio.sleep(BATCH_DELAY_S)


def _take_batch(queue):
    """Removes and returns the first items of a deque, at least one.

    They are up to ``MAX_BATCH_ITEMS`` with up to ``MAX_BATCH_BYTES``.
    """
    batch = [queue.popleft()]
    batch_bytes = _count_bytes(batch[0])
    while queue and len(batch) < MAX_BATCH_ITEMS:
        batch_bytes += _count_bytes(queue[0])
        if batch_bytes > MAX_BATCH_BYTES:
            break
        batch.append(queue.popleft())
    return batch


def _count_bytes(item):
    """Returns the size of the variable fields of a claim or finish."""
    is_claim = isinstance(item, routing.AskClaim)
    return len(item.key) + len(item.fingerprint if is_claim else item.answer)
