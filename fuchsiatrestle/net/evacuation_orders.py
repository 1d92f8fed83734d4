"""Orders of operators to evacuate a data centre, or to end that.

An order may be sent twice and to several daemons, and may be late.  It is
agreed only if no other order was agreed since it arrived, for which the number
of agreed orders about the data centre is read first; see
``docs/design/evacuation.md``.
"""

import curio
from returns import pipeline
from returns import result

from fuchsiatrestle import daemon
from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.net import control_client
from fuchsiatrestle import pauses
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries

__all__ = ('NOT_FOUND_REASONS', 'EvacuationOrders')

# An operator turns to another daemon after a second without an answer.  An
# order has to be based on the state that was agreed before that.
MAX_ORDER_AGE_MS = 900
# Time from the arrival of an order to its proposal.  If the network has held
# it back until its operator gave up, the end of the connection comes right
# after it, and ``http.Server`` cancels the call within 200 ms.
MIN_HANDLING_S = 0.25

# Reasons that the same order would be refused for again.
NOT_FOUND_REASONS = ('not_offered', 'unknown_data_centre')

ACCEPTED_ORDERS = metrics.declare(
    'evacuations.acknowledged', 'Orders about evacuations acknowledged.'
)
UNKNOWN_DATA_CENTRE = metrics.declare(
    'refused.unknown_data_centre',
    'Orders to evacuate a data centre that the settings do not list (404).',
)
LATE_ORDERS = metrics.declare(
    'refused.evacuation_late',
    'Orders about evacuations that had waited in a paused process (503).',
)

LOG = logs.get_logger(__name__)


class EvacuationOrders:
    """Carries out orders about evacuations through the control leader.

    Args:
        client: the ``control_client.ControlClient``, or another object with
            its ``query`` and ``propose``.
        data_centres: names of those that may be evacuated; None if the
            settings of the leader tell.
        pause_detector: ``pauses.PauseDetector``, by default a new one.
        read_now_ms: function that returns the monotonic time, in
            milliseconds.
        min_handling_s: see ``MIN_HANDLING_S``.
    """

    def __init__(
        self,
        client,
        data_centres=None,
        pause_detector=None,
        read_now_ms=daemon.monotonic_ms,
        min_handling_s=MIN_HANDLING_S,
    ):
        self._client = client
        self._data_centres = data_centres
        self._pause_detector = pause_detector or pauses.PauseDetector()
        self._read_now_ms = read_now_ms
        self._min_handling_s = min_handling_s

    def check_pause(self):
        """Notices a suspension; to be called at short intervals."""
        self._pause_detector.check(self._read_now_ms())

    async def order(self, data_centre, *, is_start, received_ms):
        """Starts or ends an evacuation.

        Args:
            data_centre: name of the data centre.
            is_start: False to end the evacuation.
            received_ms: monotonic time at which the order arrived at this
                machine; 0 if it is unknown.

        Returns:
            ``Success`` of the ``outcomes.EvacuationOutcome``, or ``Failure``
            of a ``control_client.CallFailure``, whose reason may be one of
            ``NOT_FOUND_REASONS``.
        """
        order_result = await self._order(
            data_centre, is_start, received_ms or self._read_now_ms()
        )
        _report_result(data_centre, is_start, order_result)
        return order_result

    async def _order(self, data_centre, is_start, received_ms):
        if self._data_centres is not None:
            if data_centre not in self._data_centres:
                return _refuse_unknown()
        if self._remaining_ms(received_ms) <= 0:
            return _refuse_late()
        query_result = await self._client.query(
            queries.GetEvacuations(), self._remaining_ms(received_ms)
        )
        if not pipeline.is_successful(query_result):
            return query_result
        evacuations = query_result.unwrap()
        if self._data_centres is None:
            if not evacuations.offered:
                return _make_refusal('not_offered', 'evacuation_ms is 0')
            if data_centre not in evacuations.data_centres:
                return _refuse_unknown()
        if self._remaining_ms(received_ms) <= 0:
            return _refuse_late()
        await curio.sleep(self._min_handling_s)
        remaining_ms = self._remaining_ms(received_ms)
        if remaining_ms <= 0:
            return _refuse_late()
        make_command = (
            commands.StartEvacuation if is_start else commands.EndEvacuation
        )
        # Proposed also if it is fulfilled: an earlier order of the other kind
        # may be under way, and must not be accepted after this one.
        call_result = await self._client.propose(
            make_command(
                data_centre, evacuations.find_order_count(data_centre)
            ),
            remaining_ms,
        )
        if pipeline.is_successful(call_result):
            outcome = call_result.unwrap()
            if isinstance(outcome, outcomes.Invalid):
                return _make_refusal(outcome.reason, outcome.detail)
            if outcome.superseded:
                return _make_refusal('superseded', 'a later order was agreed')
        return call_result

    def _remaining_ms(self, received_ms):
        """Returns for how long an order may still be worked on.

        It is 0 for one that arrived before the machine was suspended.

        Args:
            received_ms: monotonic time at which it arrived.
        """
        now_ms = self._read_now_ms()
        if self._pause_detector.has_resumed_since(received_ms, now_ms):
            return 0
        return max(0, MAX_ORDER_AGE_MS - (now_ms - received_ms))


def _report_result(data_centre, is_start, order_result):
    """Logs an order with its result, and counts an acknowledged one."""
    log_fields = {
        'data_centre': data_centre,
        'order': 'start' if is_start else 'end',
    }
    if pipeline.is_successful(order_result):
        outcome = order_result.unwrap()
        metrics.count(ACCEPTED_ORDERS)
        LOG.info(
            'evacuation_acknowledged',
            extra={
                **log_fields,
                'evacuated': outcome.evacuated,
                'orders': outcome.order_count,
                'repeated': outcome.repeated,
            },
        )
        return
    failure = order_result.failure()
    LOG.warning(
        'evacuation_refused',
        extra={
            **log_fields,
            'reason': failure.reason,
            'detail': failure.detail,
        },
    )


def _make_refusal(reason, detail):
    return result.Failure(
        control_client.CallFailure(
            reason,
            detail,
            step='order_evacuation',
            peer='local',
            executed=False,
        )
    )


def _refuse_unknown():
    metrics.count(UNKNOWN_DATA_CENTRE)
    return _make_refusal(
        'unknown_data_centre', 'the settings do not list this data centre'
    )


def _refuse_late():
    metrics.count(LATE_ORDERS)
    return _make_refusal('late', 'the order had waited too long')
