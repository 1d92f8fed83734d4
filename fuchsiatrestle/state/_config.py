"""The numbered configuration and its patches."""

import collections
import hashlib

from fuchsiatrestle import invariants
from fuchsiatrestle import messages
from fuchsiatrestle import records
from fuchsiatrestle.state import _merge
from fuchsiatrestle.state import _part
from fuchsiatrestle.state import _schema
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries

__all__ = ('ConfigPart',)

FIRST_VERSION = 1
MAX_PATCH_BYTES = 256 * 1024
MAX_DOCUMENT_BYTES = 1024 * 1024
MAX_PATCH_ID_CHARS = 128
MAX_AUTHOR_CHARS = 128
HISTORY_VERSIONS = 1000
HISTORY_BYTES = 4 * 1024 * 1024
ACCEPTED_WINDOW = 20000
REFUSED_WINDOW = 5000
FINGERPRINT_BYTES = 12

_EMPTY = {'services': {}, 'entries': {}, 'teams': {}}


class _AcceptedId(records.Record, tag='a'):
    patch_id: str
    fingerprint: bytes
    version: int


class _RefusedId(records.Record, tag='r'):
    patch_id: str
    fingerprint: bytes
    outcome: bytes


class _ConfigState(records.Record, tag='config-1'):
    version: int
    document: bytes
    accepted: list[_AcceptedId]
    refused: list[_RefusedId]
    history: list[queries.ConfigVersion]
    oldest: bytes = b''


_STATE = records.Codec(_ConfigState)


def _fingerprint(command):
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(b'%d\0' % command.base)
    digest.update(command.patch)
    return digest.digest()


def _merged(value, patch):
    """Returns a document after a patch; the three tables always exist."""
    return {**_EMPTY, **_merge.merge(value, patch)}


def _invalid(reason, field, detail):
    return outcomes.Invalid(reason=reason, field=field, detail=detail)


def _repeated(outcome):
    if isinstance(outcome, outcomes.ConfigConflict):
        return outcomes.ConfigConflict(outcome.base, outcome.current, True)
    return outcome


class ConfigPart(_part.Part):
    """Current version, its document, recent history and known patch ids.

    Accepted patch ids are kept for ``ACCEPTED_WINDOW`` versions.  A patch
    whose base is older than that window is refused as ``expired_base``; a
    patch is applied only on the current version, so a resend beyond the
    window can never be applied a second time.
    """

    name = 'config'
    command_kinds = (commands.PatchConfig,)
    query_kinds = (queries.GetConfig, queries.GetConfigHistory)

    def __init__(self):
        self._version = FIRST_VERSION
        self._set_document(_EMPTY)
        self._accepted = collections.OrderedDict()
        self._refused = collections.OrderedDict()
        self._history = collections.deque()
        self._history_bytes = 0
        # Document right before the first version of the history.
        self._oldest = _EMPTY

    @property
    def version(self):
        """Number of the current version."""
        return self._version

    @property
    def document(self):
        """Current ``schema.Document``."""
        return self._document

    @property
    def text(self):
        """Current document as canonical JSON bytes."""
        return self._text

    def team_quotas(self):
        """Returns the ``messages.Resources`` of each team, by name."""
        return self._quotas

    def apply(self, index, command):
        """Accepts a patch as the next version, or refuses it."""
        fingerprint = _fingerprint(command)
        known = self._known_outcome(command, fingerprint)
        if known is not None:
            return known
        outcome = self._evaluate(command)
        if isinstance(outcome, outcomes.ConfigAccepted):
            self._remember_accepted(command, fingerprint)
        elif len(command.patch_id) <= MAX_PATCH_ID_CHARS:
            self._remember_refused(command, fingerprint, outcome)
        return outcome

    def query(self, query):
        """Returns the current document or the recent history."""
        if isinstance(query, queries.GetConfigHistory):
            limit = max(0, query.limit)
            newest = list(self._history)[::-1][:limit]
            return queries.ConfigHistory(newest)
        if query.version in (0, self._version):
            return queries.ConfigDocument(self._version, self._text)
        return self._document_at(query.version)

    def _document_at(self, version):
        """Rebuilds an earlier document from the history."""
        oldest = self._version - len(self._history)
        if not oldest <= version < self._version:
            return queries.NotFound(f'configuration version {version}')
        value = self._oldest
        for one in self._history:
            if one.version > version:
                break
            value = _merged(value, _merge.parse(one.patch))
        return queries.ConfigDocument(version, _merge.canonical(value))

    def snapshot(self):
        """Returns the part as bytes."""
        return _STATE.encode(
            _ConfigState(
                self._version,
                self._text,
                [
                    _AcceptedId(patch_id, *known)
                    for patch_id, known in self._accepted.items()
                ],
                [
                    _RefusedId(patch_id, *known)
                    for patch_id, known in self._refused.items()
                ],
                list(self._history),
                _merge.canonical(self._oldest),
            )
        )

    def restore(self, data):
        """Replaces the part; its version must not go down."""
        state = _STATE.decode(data)
        invariants.require(
            state.version >= self._version,
            'config.version_never_goes_down',
            old=self._version,
            new=state.version,
        )
        self._version = state.version
        self._set_document(_merge.parse(state.document))
        self._accepted = collections.OrderedDict(
            (item.patch_id, (item.fingerprint, item.version))
            for item in state.accepted
        )
        self._refused = collections.OrderedDict(
            (item.patch_id, (item.fingerprint, item.outcome))
            for item in state.refused
        )
        self._history = collections.deque(state.history)
        self._oldest = _merge.parse(state.oldest)
        self._history_bytes = sum(len(item.patch) for item in state.history)

    # Evaluation

    def _known_outcome(self, command, fingerprint):
        accepted = self._accepted.get(command.patch_id)
        refused = self._refused.get(command.patch_id)
        known = accepted or refused
        if known is None:
            return None
        if known[0] != fingerprint:
            return _invalid(
                'patch_id_reused',
                'patch_id',
                f'{command.patch_id!r} names another patch; choose a new id',
            )
        if accepted is not None:
            return outcomes.ConfigAccepted(accepted[1], repeated=True)
        return _repeated(outcomes.CODEC.decode(refused[1]))

    def _evaluate(self, command):
        fault = self._fault_of(command)
        if fault is not None:
            return fault
        if command.base != self._version:
            return outcomes.ConfigConflict(command.base, self._version)
        return self._merge_whole(command)

    def _fault_of(self, command):
        if not 0 < len(command.patch_id) <= MAX_PATCH_ID_CHARS:
            return _invalid(
                'bad_patch_id',
                'patch_id',
                f'expected 1 to {MAX_PATCH_ID_CHARS} characters',
            )
        if len(command.author) > MAX_AUTHOR_CHARS:
            return _invalid(
                'bad_author', 'author', f'over {MAX_AUTHOR_CHARS} characters'
            )
        if len(command.patch) > MAX_PATCH_BYTES:
            return _invalid(
                'patch_too_large', 'patch', f'over {MAX_PATCH_BYTES} bytes'
            )
        if command.base <= self._version - ACCEPTED_WINDOW:
            return _invalid(
                'expired_base',
                'base',
                'too old to tell whether this patch was accepted; '
                'read the history and patch the current version',
            )
        return None

    def _merge_whole(self, command):
        try:
            patch = _merge.parse(command.patch)
        except _merge.JsonInvalid as exc:
            return _invalid('bad_json', 'patch', str(exc))
        if not isinstance(patch, dict):
            return _invalid('bad_json', 'patch', 'expected a JSON object')
        merged = _merged(self._value, patch)
        try:
            _schema.check(merged)
        except _schema.SchemaInvalid as exc:
            return _invalid('bad_field', exc.field, exc.detail)
        if len(_merge.canonical(merged)) > MAX_DOCUMENT_BYTES:
            return _invalid(
                'document_too_large', '', f'over {MAX_DOCUMENT_BYTES} bytes'
            )
        self._version += 1
        self._set_document(merged)
        return outcomes.ConfigAccepted(self._version)

    def _set_document(self, value):
        self._value = value
        self._text = _merge.canonical(value)
        self._document = _schema.check(value)
        self._quotas = {
            name: messages.Resources(
                team.cpu_milli, team.memory_mib, team.accelerators
            )
            for name, team in self._document.teams.items()
        }

    # Windows

    def _remember_accepted(self, command, fingerprint):
        self._accepted[command.patch_id] = (fingerprint, self._version)
        if len(self._accepted) > ACCEPTED_WINDOW:
            self._accepted.popitem(last=False)
        self._history.append(
            queries.ConfigVersion(
                self._version,
                command.patch_id,
                command.author,
                command.patch,
            )
        )
        self._history_bytes += len(command.patch)
        while (
            len(self._history) > HISTORY_VERSIONS
            or self._history_bytes > HISTORY_BYTES
        ):
            patch = self._history.popleft().patch
            self._history_bytes -= len(patch)
            self._oldest = _merged(self._oldest, _merge.parse(patch))

    def _remember_refused(self, command, fingerprint, outcome):
        self._refused[command.patch_id] = (
            fingerprint,
            outcomes.CODEC.encode(outcome),
        )
        if len(self._refused) > REFUSED_WINDOW:
            self._refused.popitem(last=False)
