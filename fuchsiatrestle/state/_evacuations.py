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
# Number of orders about a data centre whose kinds are kept, to acknowledge an
# accepted one again.  They are sent again for a few seconds only.
MAX_KEPT_ORDERS = 64


class _DataCentreRow(records.Record, tag='dc'):
    """State of one data centre about which an order was agreed.

    Attributes:
        name: its name.
        order_count: number of the orders that were agreed.
        kept_orders: for the last of them, True for a start and False for an
            end, newest last.
        was_evacuated: True if one of all orders was a start.
    """

    name: str
    order_count: int
    kept_orders: list[bool]
    was_evacuated: bool

    def was_fulfilled(self, base, is_start):
        """Returns True if an order had its effect at or right after its base.

        Either the order numbered ``base`` was equal, so that there was nothing
        to do, or the one after it was.  Both hold for further copies of an
        accepted order, depending on when their base was read.  It is False as
        well if the kinds of these two are not kept any more.

        Args:
            base: number of the orders that were agreed when it was read.
            is_start: False for an end.
        """
        position = len(self.kept_orders) - (self.order_count - base)
        if position < 0:
            return False
        first_position = max(0, position - 1)
        return is_start in self.kept_orders[first_position : position + 1]

    def add_order(self, is_start):
        """Returns the state after one more order."""
        return _DataCentreRow(
            self.name,
            self.order_count + 1,
            [*self.kept_orders, is_start][-MAX_KEPT_ORDERS:],
            self.was_evacuated or is_start,
        )


class _EvacuationState(records.Record, tag='evacuations-1'):
    """Snapshot of the evacuations part."""

    data_centres: list[_DataCentreRow]


_STATE_CODEC = records.Codec(_EvacuationState)


class EvacuationsPart(_part.Part):
    """The data centres that are evacuated, and the orders that led to that.

    An order names the number of orders that was read when it arrived, and is
    accepted only if none was agreed since.  So an order that is carried out
    late undoes no later one.  Orders that change nothing count as well, as an
    earlier order of the other kind may still be under way.
    """

    name = 'evacuations'
    command_kinds = (commands.StartEvacuation, commands.EndEvacuation)
    query_kinds = (queries.GetEvacuations,)

    def __init__(self):
        # By name of the data centre.
        self._rows = {}

    @property
    def is_used(self):
        """True if an order about any data centre was agreed."""
        return bool(self._rows)

    def is_evacuated(self, data_centre):
        """Returns True if nothing may be started in a data centre."""
        row = self._rows.get(data_centre)
        return row is not None and row.kept_orders[-1]

    def was_evacuated(self, data_centre):
        """Returns True if a data centre is, or ever was, evacuated."""
        row = self._rows.get(data_centre)
        return row is not None and row.was_evacuated

    def list_evacuated_names(self):
        """Returns the names of the evacuated data centres, sorted."""
        return sorted(filter(self.is_evacuated, self._rows))

    def make_list(self, data_centres=(), is_offered=False):
        """Returns the ``queries.EvacuationList``.

        Args:
            data_centres: names of the data centres that may be evacuated.
            is_offered: True if evacuations are switched on.
        """
        views = [
            queries.EvacuationView(
                name, self.is_evacuated(name), self._count_orders(name)
            )
            for name in sorted({*data_centres, *self._rows})
        ]
        return queries.EvacuationList(views, is_offered, list(data_centres))

    def _count_orders(self, data_centre):
        row = self._rows.get(data_centre)
        return row.order_count if row else 0

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
        row = self._rows.get(name) or _DataCentreRow(name, 0, [], False)
        is_accepted = command.base == row.order_count
        is_superseded = False
        if is_accepted:
            if name not in self._rows and len(self._rows) >= MAX_DATA_CENTRES:
                return outcomes.Invalid(
                    'too_many_data_centres',
                    'data_centre',
                    f'at most {MAX_DATA_CENTRES} can be evacuated',
                )
            self._rows[name] = row = row.add_order(is_start)
        elif self.is_evacuated(name) != is_start:
            is_superseded = not row.was_fulfilled(command.base, is_start)
        return outcomes.EvacuationOutcome(
            name,
            self.is_evacuated(name),
            row.order_count,
            not is_accepted,
            is_superseded,
        )

    def query(self, query):
        """Returns the ``EvacuationList`` of what was ordered so far."""
        return self.make_list()

    def snapshot(self):
        """Returns the whole part as bytes."""
        return _STATE_CODEC.encode(_EvacuationState(list(self._rows.values())))

    def restore(self, data):
        """Replaces the whole part by what ``snapshot`` returned."""
        snapshot = _STATE_CODEC.decode(data)
        self._rows = {row.name: row for row in snapshot.data_centres}
