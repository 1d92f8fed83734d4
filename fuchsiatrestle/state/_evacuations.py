"""Part of the agreed state with the data centres that are evacuated."""

from fuchsiatrestle import records
from fuchsiatrestle.state import _part
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries

__all__ = ('EvacuationsPart',)

# Bounds the state.  Data centres that the settings do not list are refused
# before a command is proposed.
MAX_DATA_CENTRES = 1000


class _DataCentreRow(records.Record, tag='dc'):
    """Stored form of one data centre that was evacuated at least once."""

    name: str
    change_count: int


class _EvacuationState(records.Record, tag='evacuations-1'):
    """Snapshot of the evacuations part."""

    data_centres: list[_DataCentreRow]


_STATE_CODEC = records.Codec(_EvacuationState)


class EvacuationsPart(_part.Part):
    """Number of changes of each data centre; it is evacuated while it is odd.

    An order names the number that was read when it arrived, and changes the
    state only if there were no changes since.  So an order that is carried
    out late undoes no later one.  As the changes alternate, the change after
    that number did what a late order asks for.
    """

    name = 'evacuations'
    command_kinds = (commands.StartEvacuation, commands.EndEvacuation)
    query_kinds = (queries.GetEvacuations,)

    def __init__(self):
        self._change_counts = {}

    @property
    def is_used(self):
        """True if any data centre is, or ever was, evacuated."""
        return bool(self._change_counts)

    def is_evacuated(self, data_centre):
        """Returns True if nothing may be started in a data centre."""
        return self._change_counts.get(data_centre, 0) % 2 == 1

    def was_evacuated(self, data_centre):
        """Returns True if a data centre is, or ever was, evacuated."""
        return data_centre in self._change_counts

    def evacuated_names(self):
        """Returns the names of the evacuated data centres, sorted."""
        return sorted(filter(self.is_evacuated, self._change_counts))

    def make_list(self, data_centres=(), is_offered=False):
        """Returns the ``queries.EvacuationList``.

        Args:
            data_centres: names of the data centres that may be evacuated.
            is_offered: True if evacuations are switched on.
        """
        views = [
            queries.EvacuationView(
                name, self.is_evacuated(name), self._change_counts.get(name, 0)
            )
            for name in sorted({*data_centres, *self._change_counts})
        ]
        return queries.EvacuationList(views, is_offered, list(data_centres))

    # Methods of ``_part.Part``

    def apply(self, index, command):
        """Starts or ends an evacuation.

        Args:
            index: its position in the log.
            command: a ``StartEvacuation`` or ``EndEvacuation``.

        Returns:
            An ``outcomes.EvacuationOutcome``, or ``outcomes.Invalid`` if there
            are too many data centres.
        """
        name = command.data_centre
        is_start = isinstance(command, commands.StartEvacuation)
        change_count = self._change_counts.get(name, 0)
        is_repeated = (
            command.base != change_count or self.is_evacuated(name) == is_start
        )
        if not is_repeated:
            if (
                name not in self._change_counts
                and len(self._change_counts) >= MAX_DATA_CENTRES
            ):
                return outcomes.Invalid(
                    'too_many_data_centres',
                    'data_centre',
                    f'at most {MAX_DATA_CENTRES} can be evacuated',
                )
            change_count += 1
            self._change_counts[name] = change_count
        return outcomes.EvacuationOutcome(
            name, self.is_evacuated(name), change_count, is_repeated
        )

    def query(self, query):
        """Returns the ``EvacuationList`` of what was evacuated so far."""
        return self.make_list()

    def snapshot(self):
        """Returns the whole part as bytes."""
        return _STATE_CODEC.encode(
            _EvacuationState(
                [
                    _DataCentreRow(name, change_count)
                    for name, change_count in self._change_counts.items()
                ]
            )
        )

    def restore(self, data):
        """Replaces the whole part by what ``snapshot`` returned."""
        snapshot = _STATE_CODEC.decode(data)
        self._change_counts = {
            row.name: row.change_count for row in snapshot.data_centres
        }
