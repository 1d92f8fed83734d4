"""The agreed state of one cell, as a function of its log."""

from fuchsiatrestle import errors
from fuchsiatrestle import invariants
from fuchsiatrestle import records
from fuchsiatrestle.state import _claims
from fuchsiatrestle.state import _config
from fuchsiatrestle.state import _documents
from fuchsiatrestle.state import _jobs
from fuchsiatrestle.state import _workflows
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries

__all__ = ('StateMachine', 'decode_command')


class _MachineState(records.Record, tag='machine-1'):
    applied: int
    parts: dict[str, bytes]


_STATE = records.Codec(_MachineState)


def _create_parts():
    config = _config.ConfigPart()
    jobs = _jobs.JobsPart(get_quotas=config.team_quotas)
    documents = _documents.DocumentsPart()
    return [
        config,
        _claims.ClaimsPart(),
        jobs,
        documents,
        _workflows.WorkflowsPart(documents),
    ]


def decode_command(entry):
    """Returns the command of a log entry.

    Raises:
        errors.DataDamaged: this version of the program does not know the
            command; going on would let replicas differ.
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
    replica.  The caller sees to it that a query is linearizable.
    """

    def __init__(self):
        self._applied = 0
        self._parts = {part.name: part for part in _create_parts()}
        self._by_command = {}
        self._by_query = {}
        for part in self._parts.values():
            self._by_command.update(dict.fromkeys(part.command_kinds, part))
            self._by_query.update(dict.fromkeys(part.query_kinds, part))

    @property
    def applied(self):
        """Index of the last applied log entry."""
        return self._applied

    @property
    def config(self):
        """The part with the numbered configuration."""
        return self._parts['config']

    @property
    def claims(self):
        """The part with the claims."""
        return self._parts['claims']

    @property
    def jobs(self):
        """The part with the jobs."""
        return self._parts['jobs']

    @property
    def workflows(self):
        """The part with the workflows."""
        return self._parts['workflows']

    def apply(self, index, command):
        """Applies one command.

        Args:
            index: its position in the log, right after the last one.
            command: a record of ``commands.CODEC``.

        Returns:
            A record of ``outcomes.CODEC``.
        """
        self.skip(index)
        return self._by_command[type(command)].apply(index, command)

    def skip(self, index):
        """Notes a log entry that holds no command."""
        invariants.require(
            index == self._applied + 1,
            'state.applied_in_order',
            applied=self._applied,
            index=index,
        )
        self._applied = index

    def query(self, query):
        """Answers a query with a record of ``queries.CODEC``."""
        part = self._by_query.get(type(query))
        if part is None:
            return queries.NotFound(f'query {type(query).__name__}')
        return part.query(query)

    def snapshot(self):
        """Returns the whole state as bytes."""
        parts = {name: part.snapshot() for name, part in self._parts.items()}
        return _STATE.encode(_MachineState(self._applied, parts))

    def restore(self, data):
        """Replaces the state by a snapshot that is not older.

        Raises:
            errors.DataDamaged: the bytes are no snapshot, or hold a part
                that this version of the program does not know.
        """
        try:
            state = _STATE.decode(data)
        except records.DecodeError as exc:
            raise errors.DataDamaged(str(exc), step='restore') from exc
        unknown = sorted(set(state.parts) - set(self._parts))
        if unknown:
            raise errors.DataDamaged(
                f'unknown parts {unknown!r}', step='restore'
            )
        invariants.require(
            state.applied >= self._applied,
            'state.applied_index_grows',
            applied=self._applied,
            index=state.applied,
        )
        self._applied = state.applied
        for name, part in self._parts.items():
            if name in state.parts:
                part.restore(state.parts[name])
