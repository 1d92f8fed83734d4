"""Tells whether this replica still leads a term for certain."""

from fuchsiatrestle import pauses

__all__ = ('Leadership', 'read_suspended_ms')

read_suspended_ms = pauses.read_suspended_ms


class Leadership:
    """The term that this replica leads, and until when that is confirmed.

    The replica task publishes both; other tasks only read them.
    """

    __slots__ = (
        '_confirmed_since_ms',
        '_confirmed_until_ms',
        '_led_term',
        '_pause_detector',
    )

    def __init__(self):
        self._led_term = None
        self._confirmed_since_ms = 0
        self._confirmed_until_ms = 0
        # The name is looked up at each call, as tests replace the function.
        self._pause_detector = pauses.PauseDetector(
            lambda: read_suspended_ms()
        )

    def publish(self, replica):
        """Takes over the state of the ``agreement.Replica`` after a step."""
        is_leader = replica.role.name == 'leader'
        self._led_term = replica.term if is_leader else None
        self._confirmed_until_ms = replica.leadership_confirmed_until_ms
        self._confirmed_since_ms = (
            self._confirmed_until_ms - replica.cfg.election_min_ms
        )

    def leads(self, term):
        """Returns True if this replica led a term at its last event.

        Another replica may have been elected since.
        """
        return term == self._led_term

    def may_order(self, term, now_ms):
        """Returns True if no other replica can have been elected since.

        The machine must not have been suspended since the round was sent
        that confirms the leadership.

        Args:
            term: the term of the dispatcher that made the order.
            now_ms: monotonic time, in milliseconds.
        """
        has_resumed = self._pause_detector.has_resumed_since(
            self._confirmed_since_ms, now_ms
        )
        return (
            term == self._led_term
            and now_ms < self._confirmed_until_ms
            and not has_resumed
        )
