"""Claims of idempotency keys, agreed in batches."""

import collections

import curio
from returns import result

from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle import routing
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes

__all__ = ('ClaimsDesk',)

BATCH_S = 0.005
MAX_BATCH = 256
MAX_WAITING = 4096
CLAIM_DEADLINE_MS = 1000
SETTLE_DEADLINE_MS = 5000
FINISH_PAUSE_S = 0.2
STOP_S = 3.0

BATCHES = metrics.declare('claims.batches', 'Batches of claims proposed.')
UNRESOLVED = metrics.declare(
    'claims.unresolved', 'Batches whose outcome was not known in time.'
)
DROPPED = metrics.declare(
    'claims.finish_dropped',
    'Ends of claims not recorded; the claims become unknown.',
)

LOG = logs.get_logger(__name__)


class ClaimsDesk:
    """Collects claims for a short time and has each batch agreed.

    Args:
        entry: name of this entry.
        incarnation: incarnation of this process.
        client: the ``control_client.ControlClient``.
    """

    def __init__(self, entry, incarnation, client):
        self._entry = entry
        self._incarnation = incarnation
        self._client = client
        self._asked = collections.deque()
        self._finished = collections.deque()
        self._wake_asks = curio.Event()
        self._wake_finishes = curio.Event()
        self._last_batch = 0
        self._last_finish = 0
        self._recording = False
        self.router = None

    async def ask(self, effect):
        """Takes an ``AskClaim`` of the core."""
        if len(self._asked) >= MAX_WAITING:
            await self._resolve(effect, 'unavailable')
            return
        self._asked.append(effect)
        await self._wake_asks.set()

    async def finish(self, effect):
        """Takes a ``FinishClaim`` of the core."""
        if len(self._finished) >= MAX_WAITING:
            metrics.count(DROPPED)
            return
        self._finished.append(
            commands.FinishedClaim(
                effect.service,
                effect.key,
                effect.state,
                effect.status,
                effect.answer,
            )
        )
        await self._wake_finishes.set()

    # Claiming

    async def claim_forever(self):
        """Sends batches of claims out."""
        while True:
            await self._wake_asks.wait()
            await curio.sleep(BATCH_S)
            self._wake_asks.clear()
            while self._asked:
                batch = _take(self._asked)
                self._last_batch += 1
                await curio.spawn(
                    self._claim, batch, self._last_batch, daemon=True
                )

    async def _claim(self, batch, number):
        metrics.count(BATCHES)
        command = commands.ClaimRequests(
            self._entry,
            self._incarnation,
            number,
            [
                commands.Claim(item.service, item.key, item.fingerprint)
                for item in batch
            ],
        )
        answer = await self._client.propose(command, CLAIM_DEADLINE_MS)
        if isinstance(answer, result.Success):
            await self._resolve_all(batch, answer.unwrap())
            return
        for item in batch:
            await self._resolve(item, 'unavailable')
        if not answer.failure().not_run:
            await self._settle(command)

    async def _resolve_all(self, batch, outcome):
        if not isinstance(outcome, outcomes.ClaimOutcomes):
            LOG.error('claims_refused', extra={'outcome': repr(outcome)})
            for item in batch:
                await self._resolve(item, 'unavailable')
            return
        for item, claim in zip(batch, outcome.claims, strict=True):
            await self._resolve(item, claim.state, claim.status, claim.answer)

    async def _resolve(self, item, state, status=0, answer=b''):
        event = routing.ClaimResolved(item.request_id, state, status, answer)
        if not await self.router.resolve_claim(event) and state == 'granted':
            await self.finish(
                routing.FinishClaim(item.service, item.key, 'not_run')
            )

    async def _settle(self, command):
        """Frees claims of a batch that may have been agreed after all.

        The resent batch gets the outcome of the first, so that nothing is
        freed before it is certainly agreed.
        """
        metrics.count(UNRESOLVED)
        while True:
            answer = await self._client.propose(command, SETTLE_DEADLINE_MS)
            if isinstance(answer, result.Success):
                break
            await curio.sleep(FINISH_PAUSE_S)
        outcome = answer.unwrap()
        if not isinstance(outcome, outcomes.ClaimOutcomes):
            LOG.error('claims_refused', extra={'outcome': repr(outcome)})
            return
        for claim, item in zip(command.claims, outcome.claims, strict=True):
            if item.state == 'granted':
                await self.finish(
                    routing.FinishClaim(claim.service, claim.key, 'not_run')
                )

    # Finishing

    async def finish_forever(self):
        """Has the ends of claims recorded, in order, until each is."""
        while True:
            await self._wake_finishes.wait()
            await curio.sleep(BATCH_S)
            self._wake_finishes.clear()
            while self._finished:
                self._recording = True
                await self._record(_take(self._finished))
                self._recording = False

    async def _record(self, batch):
        self._last_finish += 1
        command = commands.FinishClaims(
            self._entry, self._incarnation, batch, self._last_finish
        )
        while True:
            answer = await self._client.propose(command, SETTLE_DEADLINE_MS)
            if isinstance(answer, result.Success):
                return
            await curio.sleep(FINISH_PAUSE_S)

    async def flush(self):
        """Waits a bounded time until all ends of claims are recorded."""
        async with curio.ignore_after(STOP_S):
            while self._finished or self._recording:
                await curio.sleep(BATCH_S)


def _take(items):
    count = min(len(items), MAX_BATCH)
    return [items.popleft() for _ in range(count)]
