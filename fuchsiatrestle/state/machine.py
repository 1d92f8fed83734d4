"""State machine of one cell: its state is a function of its log."""

from fuchsiatrestle import errors
from fuchsiatrestle import invariants
from fuchsiatrestle import records
from fuchsiatrestle.state import _claims
from fuchsiatrestle.state import _config
from fuchsiatrestle.state import _documents
from fuchsiatrestle.state import _evacuations
from fuchsiatrestle.state import _jobs
from fuchsiatrestle.state import _workflows
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries

__all__ = ('StateMachine', 'decode_command')


class _MachineState(records.Record, tag='machine-1'):
    """Snapshot of the whole state.

    Attributes:
        applied: index of the last applied log entry.
        parts: snapshot of each part, by the name of the part.
    """

    applied: int
    parts: dict[str, bytes]


_STATE_CODEC = records.Codec(_MachineState)


def _create_parts():
    config = _config.ConfigPart()
    jobs = _jobs.JobsPart(get_quotas=config.team_quotas)
    documents = _documents.DocumentsPart()
    evacuations = _evacuations.EvacuationsPart()
    return [
        config,
        _claims.ClaimsPart(),
        jobs,
        documents,
        evacuations,
        _workflows.WorkflowsPart(documents, evacuations),
    ]


def decode_command(entry):
    """Decodes the command of a log entry.

    Raises:
        errors.DataDamaged: this version of the program does not know the
            command; if it skipped the entry, its state would differ from that
            of the other replicas.
    """
    try:
        return commands.CODEC.decode(entry.data)
    except records.DecodeError as exc:
        raise errors.DataDamaged(
            f'unknown command at log index {entry.index}: {exc}', step='apply'
        ) from exc


class StateMachine:
    """Applies commands in log order and answers queries.

    Equal sequences of commands give equal states and equal outcomes on every
    replica.  The state machine answers a query from its current state; the
    caller must ensure that the query is linearizable.
    """

    def __init__(self):
        self._applied_index = 0
        self._parts = {part.name: part for part in _create_parts()}
        self._part_by_command = {}
        self._part_by_query = {}
        for part in self._parts.values():
            self._part_by_command.update(
                dict.fromkeys(part.command_kinds, part)
            )
            self._part_by_query.update(dict.fromkeys(part.query_kinds, part))

    @property
    def applied_index(self):
        """Index of the last applied log entry."""
        return self._applied_index

    @property
    def config(self):
        """The ``ConfigPart`` with the numbered configuration."""
        return self._parts['config']

    @property
    def claims(self):
        """The ``ClaimsPart`` with the claims on idempotency keys."""
        return self._parts['claims']

    @property
    def jobs(self):
        """The ``JobsPart`` with the batch jobs and their workers."""
        return self._parts['jobs']

    @property
    def evacuations(self):
        """The ``EvacuationsPart`` with the evacuated data centres."""
        return self._parts['evacuations']

    @property
    def workflows(self):
        """The ``WorkflowsPart`` with the workflows and their workers."""
        return self._parts['workflows']

    def apply(self, index, command):
        """Applies one command.

        Args:
            index: its position in the log, one more than ``applied_index``.
            command: a record of ``commands.CODEC``.

        Returns:
            A record of ``outcomes.CODEC``.

        Raises:
            errors.InvariantBreach: the index does not follow
                ``applied_index``.
        """
        self.skip_entry(index)
        return self._part_by_command[type(command)].apply(index, command)

    def skip_entry(self, index):
        """Advances ``applied_index`` over a log entry that has no command.

        Args:
            index: position of the entry, one more than ``applied_index``.

        Raises:
            errors.InvariantBreach: the index does not follow
                ``applied_index``.
        """
        invariants.require(
            index == self._applied_index + 1,
            'state.applied_in_order',
            applied=self._applied_index,
            index=index,
        )
        self._applied_index = index

    def query(self, query):
        """Answers a query from the current state.

        Args:
            query: a record of ``queries.CODEC``.

        Returns:
            A record of ``queries.CODEC``; ``queries.NotFound`` if no part
            answers queries of this kind.
        """
        part = self._part_by_query.get(type(query))
        if part is None:
            return queries.NotFound(f'query {type(query).__name__}')
        return part.query(query)

    def snapshot(self):
        """Returns the whole state as bytes."""
        parts = {name: part.snapshot() for name, part in self._parts.items()}
        return _STATE_CODEC.encode(_MachineState(self._applied_index, parts))

    def restore(self, data):
        """Replaces the state by that of a snapshot.

        Args:
            data: what ``snapshot`` returned, on this or another replica.

        Raises:
            errors.DataDamaged: the bytes are no snapshot, or contain a part
                that this version of the program does not know.
            errors.InvariantBreach: the snapshot is older than the state.
        """
        try:
            snapshot = _STATE_CODEC.decode(data)
        except records.DecodeError as exc:
            raise errors.DataDamaged(str(exc), step='restore') from exc
        unknown_part_names = sorted(set(snapshot.parts) - set(self._parts))
        if unknown_part_names:
            raise errors.DataDamaged(
                f'unknown parts {unknown_part_names!r}', step='restore'
            )
        invariants.require(
            snapshot.applied >= self._applied_index,
            'state.applied_index_grows',
            applied=self._applied_index,
            index=snapshot.applied,
        )
        self._applied_index = snapshot.applied
        for name, part in self._parts.items():
            if name in snapshot.parts:
                part.restore(snapshot.parts[name])
