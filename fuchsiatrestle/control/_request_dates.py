"""Dates of requests by the leader's clock.

Entries date the requests that they receive, and their clocks may be ahead.  A
request that an entry has held back would then seem to be later than the
refusal of a newer attempt, and run.
"""

import msgspec

from fuchsiatrestle.state import commands

__all__ = ('RequestDates',)

# Field with the date of the request, by command class.
_DATE_FIELDS = {
    commands.SubmitWorkflow: 'submitted_ms',
    commands.CancelWorkflow: 'cancelled_ms',
    commands.CancelJobs: 'cancelled_ms',
}


class RequestDates:
    """Limits the dates in commands to the time of their receipt."""

    __slots__ = ('_wall_offset_ms',)

    def __init__(self):
        # Wall time at monotonic time 0; None before the first tick.
        self._wall_offset_ms = None

    def handle_tick(self, wall_ms, now_ms):
        """Stores the difference of the two clocks of this process.

        Args:
            wall_ms: time since the epoch, in milliseconds.
            now_ms: monotonic time, in milliseconds.
        """
        self._wall_offset_ms = wall_ms - now_ms

    def find_wall_ms(self, now_ms):
        """Returns the time since the epoch, None before the first tick.

        Args:
            now_ms: monotonic time, in milliseconds.
        """
        if self._wall_offset_ms is None:
            return None
        return self._wall_offset_ms + now_ms

    def limit_date(self, command, age_ms, now_ms):
        """Returns a command whose date is not after the receipt.

        An earlier date is kept: the leader may have held the command back,
        too, and its own clock may be ahead.

        Args:
            command: the command of a call.
            age_ms: time for which the sender had had the request when it sent
                the call, in milliseconds.
            now_ms: monotonic time, in milliseconds.
        """
        field_name = _DATE_FIELDS.get(type(command))
        wall_ms = self.find_wall_ms(now_ms)
        if field_name is None or wall_ms is None:
            return command
        latest_ms = max(0, wall_ms - age_ms)
        if getattr(command, field_name) <= latest_ms:
            return command
        return msgspec.structs.replace(command, **{field_name: latest_ms})
