"""Part of the agreed state with the numbered configuration document."""

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
# Limits on the patches that are kept to rebuild earlier documents.
MAX_HISTORY_VERSIONS = 1000
MAX_HISTORY_BYTES = 4 * 1024 * 1024
# Limits on the patch ids that are kept to recognise resent patches.
ACCEPTED_IDS_KEPT_VERSIONS = 20000
MAX_REFUSED_IDS = 5000
FINGERPRINT_BYTES = 12

_EMPTY_DOCUMENT = {'services': {}, 'entries': {}, 'teams': {}}


class _AcceptedId(records.Record, tag='a'):
    """Stored id of a patch that became ``version``."""

    patch_id: str
    fingerprint: bytes
    version: int


class _RefusedId(records.Record, tag='r'):
    """Stored id of a refused patch, with its encoded outcome."""

    patch_id: str
    fingerprint: bytes
    outcome: bytes


class _ConfigState(records.Record, tag='config-1'):
    """Snapshot of the configuration part.

    Attributes:
        version: number of the current version.
        document: current document as canonical JSON.
        accepted: ids of accepted patches, oldest first.
        refused: ids of refused patches, oldest first.
        history: patches of the latest versions, oldest first.
        oldest: document that the first patch of ``history`` was applied to,
            as canonical JSON.
    """

    version: int
    document: bytes
    accepted: list[_AcceptedId]
    refused: list[_RefusedId]
    history: list[queries.ConfigVersion]
    oldest: bytes = b''


_STATE_CODEC = records.Codec(_ConfigState)


def _fingerprint_patch(command):
    """Returns a hash that is equal for a patch and its resends.

    Another patch under the same patch id has another hash.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(b'%d\0' % command.base)
    digest.update(command.patch)
    return digest.digest()


def _apply_patch(document_value, patch_value):
    """Returns a document with a patch applied.

    The tables ``services``, ``entries`` and ``teams`` always exist in the
    returned document, even if the patch removes one of them.
    """
    return {
        **_EMPTY_DOCUMENT,
        **_merge.merge_patch(document_value, patch_value),
    }


def _invalid_outcome(reason, field, detail):
    return outcomes.Invalid(reason=reason, field=field, detail=detail)


def _outcome_of_refused_resend(first_outcome):
    """Returns the outcome of a resent patch that was refused before.

    Args:
        first_outcome: outcome of the first delivery; a ``ConfigConflict`` is
            marked as ``repeated``, any other is returned unchanged.
    """
    if isinstance(first_outcome, outcomes.ConfigConflict):
        return outcomes.ConfigConflict(
            first_outcome.base, first_outcome.current, True
        )
    return first_outcome


class ConfigPart(_part.Part):
    """Numbered configuration document, with recent patches and their ids.

    The ids of accepted patches are kept for ``ACCEPTED_IDS_KEPT_VERSIONS``
    versions, so that a resent patch gets the outcome of the first delivery.
    A patch whose base is that many versions old or older is refused as
    ``expired_base``.  A patch is applied only if its base is the current
    version, so no resend is applied a second time, even after its id has been
    removed.
    """

    name = 'config'
    command_kinds = (commands.PatchConfig,)
    query_kinds = (queries.GetConfig, queries.GetConfigHistory)

    def __init__(self):
        self._version = FIRST_VERSION
        self._set_document(_EMPTY_DOCUMENT)
        # (fingerprint, version) of each accepted patch, and (fingerprint,
        # encoded outcome) of each refused one, by patch id, oldest first.
        self._accepted_ids = collections.OrderedDict()
        self._refused_ids = collections.OrderedDict()
        self._history = collections.deque()
        self._history_bytes = 0
        # The document that the first patch of the history was applied to;
        # earlier documents are rebuilt from it.
        self._oldest_document = _EMPTY_DOCUMENT

    @property
    def version(self):
        """Number of the current version, from ``FIRST_VERSION``."""
        return self._version

    @property
    def document(self):
        """Current document as a ``schema.Document``."""
        return self._document

    @property
    def document_json(self):
        """Current document as canonical JSON bytes."""
        return self._document_json

    def team_quotas(self):
        """Returns the quotas of the current document.

        Returns:
            A dict of ``messages.Resources`` by team, empty if no team is
            declared.
        """
        return self._quota_by_team

    def apply(self, index, command):
        """Accepts a patch as the next version, or refuses it.

        Args:
            index: its position in the log.
            command: a ``commands.PatchConfig``.

        Returns:
            An ``outcomes.ConfigAccepted``, ``ConfigConflict`` or ``Invalid``.
        """
        fingerprint = _fingerprint_patch(command)
        known_outcome = self._outcome_of_known_patch(command, fingerprint)
        if known_outcome is not None:
            return known_outcome
        outcome = self._evaluate_patch(command)
        if isinstance(outcome, outcomes.ConfigAccepted):
            self._remember_accepted_patch(command, fingerprint)
        elif len(command.patch_id) <= MAX_PATCH_ID_CHARS:
            self._remember_refused_patch(command, fingerprint, outcome)
        return outcome

    def query(self, query):
        """Returns one document version, or the latest accepted patches."""
        if isinstance(query, queries.GetConfigHistory):
            max_versions = max(0, query.limit)
            newest_versions = list(self._history)[::-1][:max_versions]
            return queries.ConfigHistory(newest_versions)
        if query.version in (0, self._version):
            return queries.ConfigDocument(self._version, self._document_json)
        return self._rebuild_document(query.version)

    def _rebuild_document(self, version):
        """Returns an earlier document, rebuilt from the history.

        It returns ``queries.NotFound`` for a version whose patches are not
        stored any more, and for one that does not exist yet.
        """
        oldest_version = self._version - len(self._history)
        if not oldest_version <= version < self._version:
            return queries.NotFound(f'configuration version {version}')
        document_value = self._oldest_document
        for config_version in self._history:
            if config_version.version > version:
                break
            document_value = _apply_patch(
                document_value, _merge.parse_json(config_version.patch)
            )
        return queries.ConfigDocument(
            version, _merge.encode_canonical(document_value)
        )

    def snapshot(self):
        """Returns the whole part as bytes."""
        return _STATE_CODEC.encode(
            _ConfigState(
                self._version,
                self._document_json,
                [
                    _AcceptedId(patch_id, *stored)
                    for patch_id, stored in self._accepted_ids.items()
                ],
                [
                    _RefusedId(patch_id, *stored)
                    for patch_id, stored in self._refused_ids.items()
                ],
                list(self._history),
                _merge.encode_canonical(self._oldest_document),
            )
        )

    def restore(self, data):
        """Replaces the whole part by what ``snapshot`` returned.

        Raises:
            errors.InvariantBreach: the snapshot has a lower version than the
                current one.
        """
        snapshot = _STATE_CODEC.decode(data)
        invariants.require(
            snapshot.version >= self._version,
            'config.version_never_goes_down',
            old=self._version,
            new=snapshot.version,
        )
        self._version = snapshot.version
        self._set_document(_merge.parse_json(snapshot.document))
        self._accepted_ids = collections.OrderedDict(
            (item.patch_id, (item.fingerprint, item.version))
            for item in snapshot.accepted
        )
        self._refused_ids = collections.OrderedDict(
            (item.patch_id, (item.fingerprint, item.outcome))
            for item in snapshot.refused
        )
        self._history = collections.deque(snapshot.history)
        self._oldest_document = _merge.parse_json(snapshot.oldest)
        self._history_bytes = sum(len(item.patch) for item in snapshot.history)

    # Evaluation

    def _outcome_of_known_patch(self, command, fingerprint):
        """Returns the outcome for a patch id seen before, or None."""
        accepted_patch = self._accepted_ids.get(command.patch_id)
        refused_patch = self._refused_ids.get(command.patch_id)
        known_patch = accepted_patch or refused_patch
        if known_patch is None:
            return None
        if known_patch[0] != fingerprint:
            return _invalid_outcome(
                'patch_id_reused',
                'patch_id',
                f'{command.patch_id!r} names another patch; choose a new id',
            )
        if accepted_patch is not None:
            return outcomes.ConfigAccepted(accepted_patch[1], repeated=True)
        return _outcome_of_refused_resend(
            outcomes.CODEC.decode(refused_patch[1])
        )

    def _evaluate_patch(self, command):
        refusal = self._invalid_command_outcome(command)
        if refusal is not None:
            return refusal
        if command.base != self._version:
            return outcomes.ConfigConflict(command.base, self._version)
        return self._accept_patch(command)

    def _invalid_command_outcome(self, command):
        """Returns the refusal of an invalid command, or None."""
        if not 0 < len(command.patch_id) <= MAX_PATCH_ID_CHARS:
            return _invalid_outcome(
                'bad_patch_id',
                'patch_id',
                f'expected 1 to {MAX_PATCH_ID_CHARS} characters',
            )
        if len(command.author) > MAX_AUTHOR_CHARS:
            return _invalid_outcome(
                'bad_author', 'author', f'over {MAX_AUTHOR_CHARS} characters'
            )
        if len(command.patch) > MAX_PATCH_BYTES:
            return _invalid_outcome(
                'patch_too_large', 'patch', f'over {MAX_PATCH_BYTES} bytes'
            )
        if command.base <= self._version - ACCEPTED_IDS_KEPT_VERSIONS:
            return _invalid_outcome(
                'expired_base',
                'base',
                'too old to tell whether this patch was accepted; '
                'read the history and patch the current version',
            )
        return None

    def _accept_patch(self, command):
        """Applies a patch to the document, or refuses an invalid result."""
        try:
            patch_value = _merge.parse_json(command.patch)
        except _merge.JsonError as exc:
            return _invalid_outcome('bad_json', 'patch', str(exc))
        if not isinstance(patch_value, dict):
            return _invalid_outcome(
                'bad_json', 'patch', 'expected a JSON object'
            )
        patched_value = _apply_patch(self._document_value, patch_value)
        try:
            _schema.check_document(patched_value)
        except _schema.SchemaError as exc:
            return _invalid_outcome('bad_field', exc.field, exc.detail)
        if len(_merge.encode_canonical(patched_value)) > MAX_DOCUMENT_BYTES:
            return _invalid_outcome(
                'document_too_large', '', f'over {MAX_DOCUMENT_BYTES} bytes'
            )
        self._version += 1
        self._set_document(patched_value)
        return outcomes.ConfigAccepted(self._version)

    def _set_document(self, document_value):
        self._document_value = document_value
        self._document_json = _merge.encode_canonical(document_value)
        self._document = _schema.check_document(document_value)
        self._quota_by_team = {
            name: messages.Resources(
                team.cpu_milli, team.memory_mib, team.accelerators
            )
            for name, team in self._document.teams.items()
        }

    # Known patch ids and history

    def _remember_accepted_patch(self, command, fingerprint):
        self._accepted_ids[command.patch_id] = (fingerprint, self._version)
        if len(self._accepted_ids) > ACCEPTED_IDS_KEPT_VERSIONS:
            self._accepted_ids.popitem(last=False)
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
            len(self._history) > MAX_HISTORY_VERSIONS
            or self._history_bytes > MAX_HISTORY_BYTES
        ):
            removed_patch_json = self._history.popleft().patch
            self._history_bytes -= len(removed_patch_json)
            self._oldest_document = _apply_patch(
                self._oldest_document, _merge.parse_json(removed_patch_json)
            )

    def _remember_refused_patch(self, command, fingerprint, outcome):
        self._refused_ids[command.patch_id] = (
            fingerprint,
            outcomes.CODEC.encode(outcome),
        )
        if len(self._refused_ids) > MAX_REFUSED_IDS:
            self._refused_ids.popitem(last=False)
