"""Claims on idempotency keys: a keyed request runs at most once.

A key that is not known is granted to one entry process.  That process alone
may dispatch the request and later says how it ended.  If it dies first, the
claim becomes ``unknown`` and is never granted again.  Only a request that
was certainly not run frees its key.

Windows: finished claims are kept whole up to ``MAX_CLAIMS``, their keys as
hashes up to ``MAX_EXPIRED``, after which the answer is ``expired``.  Claims
still held are never dropped; when they fill the window, new ones are
``overloaded``.
"""

import collections
import hashlib

from fuchsiatrestle import records
from fuchsiatrestle.state import _part
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes

__all__ = ('ClaimsPart',)

MAX_CLAIMS = 20000
MAX_EXPIRED = 200000
MAX_KEY_CHARS = 256
MAX_ANSWER_BYTES = 16 * 1024
MAX_ANSWERS_BYTES = 8 * 1024 * 1024
MAX_OWNERS = 1024
MAX_BATCHES = 4096
MAX_RETIRED = 64
HASH_BYTES = 8

HELD = 'held'
DONE = 'done'
UNKNOWN = 'unknown'
NOT_RUN = 'not_run'

_FINISHED_STATES = (DONE, UNKNOWN, NOT_RUN)


class _ClaimRow(records.Record, tag='c'):
    service: str
    key: str
    fingerprint: bytes
    state: str
    entry: str
    incarnation: int
    batch: int
    status: int
    answer: bytes


class _OwnerRow(records.Record, tag='o'):
    entry: str
    incarnation: int
    batches: list[int]
    lowest_batch: int
    last_finish: int
    retired: list[tuple[int, int]]


class _ClaimsState(records.Record, tag='claims-1'):
    claims: list[_ClaimRow]
    owners: list[_OwnerRow]
    expired: list[int]


_STATE = records.Codec(_ClaimsState)


def _key_hash(service, key):
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    digest.update(service.encode())
    digest.update(b'\0')
    digest.update(key.encode())
    return int.from_bytes(digest.digest(), 'big')


class _Claim:
    """One known key and the entry process that was granted it."""

    __slots__ = (
        'answer',
        'batch',
        'entry',
        'fingerprint',
        'incarnation',
        'state',
        'status',
    )

    def __init__(self, fingerprint, owner, batch):
        self.fingerprint = fingerprint
        self.state = HELD
        self.entry, self.incarnation = owner
        self.batch = batch
        self.status = 0
        self.answer = b''

    @property
    def owner(self):
        """The granted entry process as (entry, incarnation)."""
        return self.entry, self.incarnation


class _Owner:
    """What is known of the processes of one entry."""

    __slots__ = (
        'batches',
        'incarnation',
        'last_finish',
        'lowest_batch',
        'retired',
    )

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.batches = collections.OrderedDict()
        self.lowest_batch = 0
        self.last_finish = 0
        # Last number of a finish by retired incarnation.
        self.retired = collections.OrderedDict()

    def replace(self, incarnation):
        """Retires the current process in favour of a new one."""
        self.retired[self.incarnation] = self.last_finish
        if len(self.retired) > MAX_RETIRED:
            self.retired.popitem(last=False)
        self.incarnation = incarnation
        self.last_finish = 0
        self.batches.clear()
        self.lowest_batch = 0

    def is_repeated(self, batch):
        """True if the batch was applied before, or is too old to tell."""
        return batch in self.batches or batch < self.lowest_batch

    def take_finish(self, incarnation, number):
        """Returns True if this number is new for the process."""
        if incarnation == self.incarnation:
            fresh = number > self.last_finish
            self.last_finish = max(self.last_finish, number)
            return fresh
        if incarnation not in self.retired:
            return False
        fresh = number > self.retired[incarnation]
        if fresh:
            self.retired[incarnation] = number
        return fresh

    def remember(self, batch):
        """Notes an applied batch; forgets the oldest beyond the window."""
        self.batches[batch] = None
        if len(self.batches) > MAX_BATCHES:
            oldest, _ = self.batches.popitem(last=False)
            self.lowest_batch = max(self.lowest_batch, oldest + 1)


class ClaimsPart(_part.Part):
    """All claims of the cell."""

    name = 'claims'
    command_kinds = (
        commands.ClaimRequests,
        commands.FinishClaims,
        commands.AbandonClaims,
    )

    def __init__(self):
        self._handlers = {
            commands.ClaimRequests: self._claim_all,
            commands.FinishClaims: self._finish_all,
            commands.AbandonClaims: self._abandon,
        }
        self._reset()

    def _reset(self):
        self._claims = collections.OrderedDict()
        self._owners = collections.OrderedDict()
        self._expired = collections.OrderedDict()
        self._held = {}
        self._finished = collections.OrderedDict()
        self._answers_bytes = 0

    def apply(self, index, command):
        """Applies a command about claims."""
        return self._handlers[type(command)](command)

    def query(self, query):
        """Claims are not read by queries."""
        raise LookupError(type(query).__name__)

    def owners_with_held(self):
        """Returns the (entry, incarnation) pairs with unfinished claims."""
        return [owner for owner, keys in self._held.items() if keys]

    def state_counts(self):
        """Returns the number of known claims by state."""
        return dict(
            collections.Counter(claim.state for claim in self._claims.values())
        )

    # Claiming

    def _claim_all(self, command):
        owner = self._admit(command.entry, command.incarnation)
        if owner is None:
            return self._all_refused(command, 'expired')
        repeated = owner.is_repeated(command.batch)
        answers = [
            self._claim(command, claim, repeated) for claim in command.claims
        ]
        if not repeated:
            owner.remember(command.batch)
        return outcomes.ClaimOutcomes(answers)

    def _all_refused(self, command, state):
        return outcomes.ClaimOutcomes(
            [outcomes.ClaimAnswer(item.key, state) for item in command.claims]
        )

    def _admit(self, entry, incarnation):
        """Returns the owner, or None if this process was replaced."""
        owner = self._owners.get(entry)
        if owner is None:
            owner = self._add_owner(entry, incarnation)
        elif incarnation in owner.retired:
            return None
        elif incarnation != owner.incarnation:
            self._mark_unknown((entry, owner.incarnation))
            owner.replace(incarnation)
        self._owners.move_to_end(entry)
        return owner

    def _add_owner(self, entry, incarnation):
        if len(self._owners) >= MAX_OWNERS:
            oldest, owner = self._owners.popitem(last=False)
            self._mark_unknown((oldest, owner.incarnation))
        self._owners[entry] = _Owner(incarnation)
        return self._owners[entry]

    def _claim(self, command, item, repeated):
        if len(item.key) > MAX_KEY_CHARS:
            return outcomes.ClaimAnswer(item.key[:MAX_KEY_CHARS], 'overloaded')
        name = (item.service, item.key)
        claim = self._claims.get(name)
        if claim is None:
            return self._claim_unknown_key(command, item, repeated)
        if claim.fingerprint != item.fingerprint:
            return outcomes.ClaimAnswer(item.key, 'mismatch')
        if claim.state == HELD and self._granted_by(command, claim):
            return outcomes.ClaimAnswer(item.key, 'granted')
        return outcomes.ClaimAnswer(
            item.key, claim.state, claim.status, claim.answer
        )

    def _granted_by(self, command, claim):
        """True if this very batch was granted the claim before."""
        owner = (command.entry, command.incarnation)
        return claim.owner == owner and claim.batch == command.batch

    def _claim_unknown_key(self, command, item, repeated):
        known = _key_hash(item.service, item.key) in self._expired
        if repeated or known:
            return outcomes.ClaimAnswer(item.key, 'expired')
        if not self._make_room():
            return outcomes.ClaimAnswer(item.key, 'overloaded')
        owner = (command.entry, command.incarnation)
        name = (item.service, item.key)
        self._claims[name] = _Claim(item.fingerprint, owner, command.batch)
        self._held.setdefault(owner, {})[name] = None
        return outcomes.ClaimAnswer(item.key, 'granted')

    def _make_room(self):
        if len(self._claims) < MAX_CLAIMS:
            return True
        if not self._finished:
            return False
        name, _ = self._finished.popitem(last=False)
        claim = self._claims.pop(name)
        self._answers_bytes -= len(claim.answer)
        self._expired[_key_hash(*name)] = None
        if len(self._expired) > MAX_EXPIRED:
            self._expired.popitem(last=False)
        return True

    # Finishing

    def _finish_all(self, command):
        for item in command.claims:
            if item.state not in _FINISHED_STATES:
                return outcomes.Invalid('bad_state', 'state', item.state)
        # A repeated command may name a key that was claimed again since.
        fresh = self._is_fresh_finish(command)
        owner = (command.entry, command.incarnation)
        for item in command.claims:
            if fresh or item.state != NOT_RUN:
                self._finish(owner, item)
        return outcomes.Done()

    def _is_fresh_finish(self, command):
        """True if this finish is numbered and comes for the first time."""
        owner = self._owners.get(command.entry)
        if owner is None or not command.number:
            return False
        return owner.take_finish(command.incarnation, command.number)

    def _finish(self, owner, item):
        name = (item.service, item.key)
        claim = self._claims.get(name)
        if claim is None or claim.owner != owner or claim.state == DONE:
            return
        self._release(name, claim)
        if item.state == NOT_RUN:
            del self._claims[name]
            self._finished.pop(name, None)
            return
        claim.state = item.state
        claim.status = item.status
        self._keep_answer(claim, item.answer)
        self._finished[name] = None

    def _keep_answer(self, claim, answer):
        if len(answer) > MAX_ANSWER_BYTES:
            return
        if self._answers_bytes + len(answer) > MAX_ANSWERS_BYTES:
            self._drop_answers(len(answer))
        claim.answer = answer
        self._answers_bytes += len(answer)

    def _drop_answers(self, wanted):
        """Drops the oldest stored answers; their claims stay ``done``."""
        for name in self._finished:
            claim = self._claims[name]
            self._answers_bytes -= len(claim.answer)
            claim.answer = b''
            if self._answers_bytes + wanted <= MAX_ANSWERS_BYTES:
                return

    def _release(self, name, claim):
        keys = self._held.get(claim.owner)
        if keys is not None:
            keys.pop(name, None)
            if not keys:
                del self._held[claim.owner]

    def _abandon(self, command):
        self._mark_unknown((command.entry, command.incarnation))
        return outcomes.Done()

    def _mark_unknown(self, owner):
        for name in self._held.pop(owner, {}):
            claim = self._claims[name]
            claim.state = UNKNOWN
            self._finished[name] = None

    # Snapshots

    def snapshot(self):
        """Returns the part as bytes."""
        return _STATE.encode(
            _ClaimsState(
                self._claim_rows(), self._owner_rows(), list(self._expired)
            )
        )

    def _claim_rows(self):
        """Returns held claims, then finished ones, oldest first."""
        held = [name for keys in self._held.values() for name in keys]
        rows = []
        for name in held + list(self._finished):
            claim = self._claims[name]
            rows.append(
                _ClaimRow(
                    *name,
                    claim.fingerprint,
                    claim.state,
                    *claim.owner,
                    claim.batch,
                    claim.status,
                    claim.answer,
                )
            )
        return rows

    def _owner_rows(self):
        return [
            _OwnerRow(
                entry,
                owner.incarnation,
                list(owner.batches),
                owner.lowest_batch,
                owner.last_finish,
                list(owner.retired.items()),
            )
            for entry, owner in self._owners.items()
        ]

    def restore(self, data):
        """Replaces the part."""
        state = _STATE.decode(data)
        self._reset()
        for row in state.claims:
            self._restore_claim(row)
        for row in state.owners:
            self._restore_owner(row)
        self._expired.update((key_hash, None) for key_hash in state.expired)

    def _restore_claim(self, row):
        claim = _Claim(
            row.fingerprint, (row.entry, row.incarnation), row.batch
        )
        claim.state = row.state
        claim.status = row.status
        claim.answer = row.answer
        self._answers_bytes += len(row.answer)
        name = (row.service, row.key)
        self._claims[name] = claim
        if claim.state == HELD:
            self._held.setdefault(claim.owner, {})[name] = None
        else:
            self._finished[name] = None

    def _restore_owner(self, row):
        owner = _Owner(row.incarnation)
        owner.batches.update((batch, None) for batch in row.batches)
        owner.lowest_batch = row.lowest_batch
        owner.last_finish = row.last_finish
        owner.retired.update(row.retired)
        self._owners[row.entry] = owner
