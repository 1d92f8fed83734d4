"""Claims on idempotency keys: a keyed request runs at most once.

A new key is granted to one entry process.  Only that process may dispatch
the request, and it reports afterwards how the request ended.  If the process
dies before the report, the claim becomes ``unknown`` and is not granted
again, as the request may have run.  A key can be granted again only if its
request was certainly not run.

At most ``MAX_CLAIMS`` claims are stored.  When the limit is reached, the
claim that ceased to be held the longest time ago is removed and only a hash of
its key is kept; a later claim of that key is answered ``expired``.  At most
``MAX_EXPIRED_KEYS`` hashes are kept; a key whose hash has been removed counts
as new.  Claims in state ``held`` are never removed; when all stored claims are
held, further claims are answered ``overloaded``.
"""

import collections
import hashlib

from fuchsiatrestle import records
from fuchsiatrestle.state import _part
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes

__all__ = ('ClaimsPart',)

MAX_CLAIMS = 20000
MAX_EXPIRED_KEYS = 200000
MAX_KEY_CHARS = 256
# Limits on the stored answers: of one claim, and of all claims together.
MAX_ANSWER_BYTES = 16 * 1024
MAX_TOTAL_ANSWER_BYTES = 8 * 1024 * 1024
# Entries whose state is kept; beyond this number, the entry that has claimed
# nothing for the longest time is removed.
MAX_ENTRY_STATES = 1024
# Limits on what is kept for each entry: numbers of applied batches, and
# incarnations of replaced processes.
MAX_BATCH_NUMBERS = 4096
MAX_RETIRED_INCARNATIONS = 64
KEY_HASH_BYTES = 8

# States of a claim, as stored in snapshots and sent to entries.
HELD = 'held'
DONE = 'done'
UNKNOWN = 'unknown'
NOT_RUN = 'not_run'

_FINISHED_STATES = (DONE, UNKNOWN, NOT_RUN)


class _ClaimRow(records.Record, tag='c'):
    """Stored form of a ``_Claim`` with its key."""

    service: str
    key: str
    fingerprint: bytes
    state: str
    entry: str
    incarnation: int
    batch: int
    status: int
    answer: bytes


class _EntryRow(records.Record, tag='o'):
    """Stored form of an ``_EntryState``, with the name of its entry."""

    entry: str
    incarnation: int
    batches: list[int]
    lowest_batch: int
    last_finish: int
    retired: list[tuple[int, int]]


class _ClaimsState(records.Record, tag='claims-1'):
    """Snapshot of the claims part.

    Attributes:
        claims: held claims, then the others, in the order in which they
            ceased to be held.
        owners: state of each entry, in the order of their latest claims,
            oldest first.
        expired: hashes of the keys of removed claims, oldest first.
    """

    claims: list[_ClaimRow]
    owners: list[_EntryRow]
    expired: list[int]


_STATE_CODEC = records.Codec(_ClaimsState)


def _hash_key(service, key):
    digest = hashlib.blake2b(digest_size=KEY_HASH_BYTES)
    digest.update(service.encode())
    digest.update(b'\0')
    digest.update(key.encode())
    return int.from_bytes(digest.digest(), 'big')


class _Claim:
    """State of one claimed key.

    Args:
        fingerprint: hash of the request, see ``commands.Claim``.
        owner: the entry process that was granted the key, as (entry,
            incarnation).
        batch: number of the batch in which it claimed the key.

    Attributes:
        state: ``HELD``, ``DONE`` or ``UNKNOWN``.
        status: HTTP status of the finished request, 0 if there is none.
        answer: stored answer, empty if none was stored.
    """

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
        """Entry process that was granted the key: (entry, incarnation)."""
        return self.entry, self.incarnation


class _EntryState:
    """State of one entry: its current process and the replaced ones.

    Each process of an entry has its own incarnation number.

    Attributes:
        incarnation: incarnation of the current process.
        applied_batches: numbers of its latest applied batches, as keys.
        lowest_checkable_batch: lowest batch number for which
            ``applied_batches`` tells whether the batch was applied; numbers
            below it may have been removed from there.
        last_finish_number: greatest number of its ``FinishClaims`` commands.
        retired_finish_numbers: greatest number of the ``FinishClaims``
            commands of each replaced process, by incarnation.
    """

    __slots__ = (
        'applied_batches',
        'incarnation',
        'last_finish_number',
        'lowest_checkable_batch',
        'retired_finish_numbers',
    )

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.applied_batches = collections.OrderedDict()
        self.lowest_checkable_batch = 0
        self.last_finish_number = 0
        self.retired_finish_numbers = collections.OrderedDict()

    def replace_process(self, incarnation):
        """Makes the process with this incarnation the current one."""
        self.retired_finish_numbers[self.incarnation] = self.last_finish_number
        if len(self.retired_finish_numbers) > MAX_RETIRED_INCARNATIONS:
            self.retired_finish_numbers.popitem(last=False)
        self.incarnation = incarnation
        self.last_finish_number = 0
        self.applied_batches.clear()
        self.lowest_checkable_batch = 0

    def is_repeated_batch(self, batch):
        """Returns True if the batch was or may have been applied before."""
        return (
            batch in self.applied_batches
            or batch < self.lowest_checkable_batch
        )

    def accept_finish_number(self, incarnation, finish_number):
        """Stores the number of a ``FinishClaims`` command if it is new.

        Returns:
            True if the number is greater than all earlier ones of that
            process.  False if the command is a resend, or the process is not
            known any more.
        """
        if incarnation == self.incarnation:
            is_new_number = finish_number > self.last_finish_number
            self.last_finish_number = max(
                self.last_finish_number, finish_number
            )
            return is_new_number
        if incarnation not in self.retired_finish_numbers:
            return False
        is_new_number = (
            finish_number > self.retired_finish_numbers[incarnation]
        )
        if is_new_number:
            self.retired_finish_numbers[incarnation] = finish_number
        return is_new_number

    def remember_batch(self, batch):
        """Stores the number of an applied batch.

        Beyond ``MAX_BATCH_NUMBERS`` the oldest number is removed.
        """
        self.applied_batches[batch] = None
        if len(self.applied_batches) > MAX_BATCH_NUMBERS:
            dropped_batch, _ = self.applied_batches.popitem(last=False)
            self.lowest_checkable_batch = max(
                self.lowest_checkable_batch, dropped_batch + 1
            )


class ClaimsPart(_part.Part):
    """All claims of the cell, with the entry processes that own them."""

    name = 'claims'
    command_kinds = (
        commands.ClaimRequests,
        commands.FinishClaims,
        commands.AbandonClaims,
    )

    def __init__(self):
        self._handlers = {
            commands.ClaimRequests: self._claim_requests,
            commands.FinishClaims: self._finish_claims,
            commands.AbandonClaims: self._abandon_claims,
        }
        self._reset()

    def _reset(self):
        self._claims = collections.OrderedDict()
        self._entry_states = collections.OrderedDict()
        self._expired_key_hashes = collections.OrderedDict()
        self._held_keys_by_owner = {}
        self._finished_claim_keys = collections.OrderedDict()
        self._total_answer_bytes = 0

    def apply(self, index, command):
        """Applies one command; see ``Part.apply``."""
        return self._handlers[type(command)](command)

    def query(self, query):
        """Raises ``LookupError``, as no query reads claims."""
        raise LookupError(type(query).__name__)

    def owners_of_held_claims(self):
        """Returns the entry processes with claims in state ``held``.

        Returns:
            A list of (entry, incarnation).
        """
        return [
            owner for owner, keys in self._held_keys_by_owner.items() if keys
        ]

    def counts_by_state(self):
        """Returns the number of stored claims by state."""
        return dict(
            collections.Counter(claim.state for claim in self._claims.values())
        )

    # Claiming

    def _claim_requests(self, command):
        entry_state = self._admit_process(command.entry, command.incarnation)
        if entry_state is None:
            return self._refuse_all_claims(command, 'expired')
        is_repeated_batch = entry_state.is_repeated_batch(command.batch)
        answers = [
            self._answer_claim(command, claim, is_repeated_batch)
            for claim in command.claims
        ]
        if not is_repeated_batch:
            entry_state.remember_batch(command.batch)
        return outcomes.ClaimOutcomes(answers)

    def _refuse_all_claims(self, command, answer_state):
        return outcomes.ClaimOutcomes(
            [
                outcomes.ClaimAnswer(requested_claim.key, answer_state)
                for requested_claim in command.claims
            ]
        )

    def _admit_process(self, entry, incarnation):
        """Returns the state of an entry, unless this process was replaced.

        A process not seen before becomes the current one of its entry, and
        the held claims of the previous process become ``unknown``.

        Returns:
            The ``_EntryState``, or None if the process has been replaced.
        """
        entry_state = self._entry_states.get(entry)
        if entry_state is None:
            entry_state = self._add_entry_state(entry, incarnation)
        elif incarnation in entry_state.retired_finish_numbers:
            return None
        elif incarnation != entry_state.incarnation:
            self._mark_held_claims_unknown((entry, entry_state.incarnation))
            entry_state.replace_process(incarnation)
        self._entry_states.move_to_end(entry)
        return entry_state

    def _add_entry_state(self, entry, incarnation):
        """Adds the state of a new entry and returns it.

        At the limit ``MAX_ENTRY_STATES`` the entry that has claimed nothing
        for the longest time is removed; its held claims become ``unknown``.
        """
        if len(self._entry_states) >= MAX_ENTRY_STATES:
            oldest_entry, entry_state = self._entry_states.popitem(last=False)
            self._mark_held_claims_unknown(
                (oldest_entry, entry_state.incarnation)
            )
        self._entry_states[entry] = _EntryState(incarnation)
        return self._entry_states[entry]

    def _answer_claim(self, command, requested_claim, is_repeated_batch):
        """Returns the ``ClaimAnswer`` for one claim.

        A key without a stored claim is claimed by ``_claim_new_key`` if
        possible.
        """
        if len(requested_claim.key) > MAX_KEY_CHARS:
            return outcomes.ClaimAnswer(
                requested_claim.key[:MAX_KEY_CHARS], 'overloaded'
            )
        claim_key = (requested_claim.service, requested_claim.key)
        claim = self._claims.get(claim_key)
        if claim is None:
            return self._claim_new_key(
                command, requested_claim, is_repeated_batch
            )
        if claim.fingerprint != requested_claim.fingerprint:
            return outcomes.ClaimAnswer(requested_claim.key, 'mismatch')
        if claim.state == HELD and self._is_granted_to(command, claim):
            return outcomes.ClaimAnswer(requested_claim.key, 'granted')
        return outcomes.ClaimAnswer(
            requested_claim.key, claim.state, claim.status, claim.answer
        )

    def _is_granted_to(self, command, claim):
        """Returns True if the claim was granted to the batch of a command."""
        owner = (command.entry, command.incarnation)
        return claim.owner == owner and claim.batch == command.batch

    def _claim_new_key(self, command, requested_claim, is_repeated_batch):
        has_expired = (
            _hash_key(requested_claim.service, requested_claim.key)
            in self._expired_key_hashes
        )
        if is_repeated_batch or has_expired:
            return outcomes.ClaimAnswer(requested_claim.key, 'expired')
        if not self._make_room_for_claim():
            return outcomes.ClaimAnswer(requested_claim.key, 'overloaded')
        owner = (command.entry, command.incarnation)
        claim_key = (requested_claim.service, requested_claim.key)
        self._claims[claim_key] = _Claim(
            requested_claim.fingerprint, owner, command.batch
        )
        self._held_keys_by_owner.setdefault(owner, {})[claim_key] = None
        return outcomes.ClaimAnswer(requested_claim.key, 'granted')

    def _make_room_for_claim(self):
        """Makes room for one claim if ``MAX_CLAIMS`` claims are stored.

        The claim that ceased to be held first is removed; its key expires.

        Returns:
            True if a claim can be stored, False if ``MAX_CLAIMS`` claims are
            stored and all are held.
        """
        if len(self._claims) < MAX_CLAIMS:
            return True
        if not self._finished_claim_keys:
            return False
        claim_key, _ = self._finished_claim_keys.popitem(last=False)
        claim = self._claims.pop(claim_key)
        self._total_answer_bytes -= len(claim.answer)
        self._expired_key_hashes[_hash_key(*claim_key)] = None
        if len(self._expired_key_hashes) > MAX_EXPIRED_KEYS:
            self._expired_key_hashes.popitem(last=False)
        return True

    # Finishing

    def _finish_claims(self, command):
        for finished_claim in command.claims:
            if finished_claim.state not in _FINISHED_STATES:
                return outcomes.Invalid(
                    'bad_state', 'state', finished_claim.state
                )
        # The resend of a ``not_run`` result must not remove a claim that was
        # made on the same key after the first delivery of the command.
        is_first_delivery = self._is_first_delivery(command)
        owner = (command.entry, command.incarnation)
        for finished_claim in command.claims:
            if is_first_delivery or finished_claim.state != NOT_RUN:
                self._finish_claim(owner, finished_claim)
        return outcomes.Done()

    def _is_first_delivery(self, command):
        """Returns True if the command has a number and is no resend.

        The number is stored, so that a resend is recognised by it.
        """
        entry_state = self._entry_states.get(command.entry)
        if entry_state is None or not command.number:
            return False
        return entry_state.accept_finish_number(
            command.incarnation, command.number
        )

    def _finish_claim(self, owner, finished_claim):
        """Applies one result if the owner of the claim has reported it.

        A claim that is ``done`` does not change any more; the owner may still
        finish one that is ``unknown``.

        Args:
            owner: the entry process that reports, as (entry, incarnation).
            finished_claim: the ``commands.FinishedClaim``.
        """
        claim_key = (finished_claim.service, finished_claim.key)
        claim = self._claims.get(claim_key)
        if claim is None or claim.owner != owner or claim.state == DONE:
            return
        self._remove_held_key(claim_key, claim)
        if finished_claim.state == NOT_RUN:
            del self._claims[claim_key]
            self._finished_claim_keys.pop(claim_key, None)
            return
        claim.state = finished_claim.state
        claim.status = finished_claim.status
        self._store_answer(claim, finished_claim.answer)
        self._finished_claim_keys[claim_key] = None

    def _store_answer(self, claim, answer):
        if len(answer) > MAX_ANSWER_BYTES:
            return
        if self._total_answer_bytes + len(answer) > MAX_TOTAL_ANSWER_BYTES:
            self._remove_oldest_answers(len(answer))
        claim.answer = answer
        self._total_answer_bytes += len(answer)

    def _remove_oldest_answers(self, needed_bytes):
        """Removes stored answers until a new one fits.

        They are removed in the order in which their claims ceased to be held.
        The claims themselves keep their state.

        Args:
            needed_bytes: size of the new answer in bytes.
        """
        for claim_key in self._finished_claim_keys:
            claim = self._claims[claim_key]
            self._total_answer_bytes -= len(claim.answer)
            claim.answer = b''
            if (
                self._total_answer_bytes + needed_bytes
                <= MAX_TOTAL_ANSWER_BYTES
            ):
                return

    def _remove_held_key(self, claim_key, claim):
        held_keys = self._held_keys_by_owner.get(claim.owner)
        if held_keys is not None:
            held_keys.pop(claim_key, None)
            if not held_keys:
                del self._held_keys_by_owner[claim.owner]

    def _abandon_claims(self, command):
        self._mark_held_claims_unknown((command.entry, command.incarnation))
        return outcomes.Done()

    def _mark_held_claims_unknown(self, owner):
        for claim_key in self._held_keys_by_owner.pop(owner, {}):
            claim = self._claims[claim_key]
            claim.state = UNKNOWN
            self._finished_claim_keys[claim_key] = None

    # Snapshots

    def snapshot(self):
        """Returns the whole part as bytes."""
        return _STATE_CODEC.encode(
            _ClaimsState(
                self._claim_rows(),
                self._entry_rows(),
                list(self._expired_key_hashes),
            )
        )

    def _claim_rows(self):
        """Returns the ``_ClaimRow`` values of a snapshot in their order."""
        held_keys = [
            claim_key
            for keys in self._held_keys_by_owner.values()
            for claim_key in keys
        ]
        claim_rows = []
        for claim_key in held_keys + list(self._finished_claim_keys):
            claim = self._claims[claim_key]
            claim_rows.append(
                _ClaimRow(
                    *claim_key,
                    claim.fingerprint,
                    claim.state,
                    *claim.owner,
                    claim.batch,
                    claim.status,
                    claim.answer,
                )
            )
        return claim_rows

    def _entry_rows(self):
        return [
            _EntryRow(
                entry,
                entry_state.incarnation,
                list(entry_state.applied_batches),
                entry_state.lowest_checkable_batch,
                entry_state.last_finish_number,
                list(entry_state.retired_finish_numbers.items()),
            )
            for entry, entry_state in self._entry_states.items()
        ]

    def restore(self, data):
        """Replaces the whole part by what ``snapshot`` returned."""
        snapshot = _STATE_CODEC.decode(data)
        self._reset()
        for row in snapshot.claims:
            self._restore_claim(row)
        for row in snapshot.owners:
            self._restore_entry(row)
        self._expired_key_hashes.update(
            (key_hash, None) for key_hash in snapshot.expired
        )

    def _restore_claim(self, row):
        claim = _Claim(
            row.fingerprint, (row.entry, row.incarnation), row.batch
        )
        claim.state = row.state
        claim.status = row.status
        claim.answer = row.answer
        self._total_answer_bytes += len(row.answer)
        claim_key = (row.service, row.key)
        self._claims[claim_key] = claim
        if claim.state == HELD:
            self._held_keys_by_owner.setdefault(claim.owner, {})[claim_key] = (
                None
            )
        else:
            self._finished_claim_keys[claim_key] = None

    def _restore_entry(self, row):
        entry_state = _EntryState(row.incarnation)
        entry_state.applied_batches.update(
            (batch, None) for batch in row.batches
        )
        entry_state.lowest_checkable_batch = row.lowest_batch
        entry_state.last_finish_number = row.last_finish
        entry_state.retired_finish_numbers.update(row.retired)
        self._entry_states[row.entry] = entry_state
