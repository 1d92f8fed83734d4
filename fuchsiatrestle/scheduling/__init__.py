"""Batch scheduling of one cell, as a core without I/O.

How a control daemon mounts ``Scheduler``:

* Build one when the replica becomes the ready leader (its first own entry is
  committed and applied): ``Scheduler(machine.jobs, now_ms)``.  Drop it when
  the role changes; never use it again.  Keep it in the task that applies
  commands, because it reads the ``JobsPart`` directly.
* ``step(event, now_ms)`` takes ``Reports`` for each ``ReportBatch``,
  ``Applied`` right after each command applied to the state machine (whoever
  proposed it; other kinds are ignored), ``Rejected`` for a proposal that got
  no place in the log, and ``Tick`` at least every ``Policy.tick_ms``.
* ``ProposeBatch``: propose ``commands.CODEC.encode(effect.command)``.  If the
  replica answers ``Rejected(token)``, step ``Rejected``.  An accepted
  proposal is reported by ``Applied`` alone.
* ``AnswerReports``: send an ``OrderBatch(call_id, orders)`` to the entry, but
  only after a quorum confirmed the leadership in a round that began after
  the ``Reports`` event (a read index requested then).  Without that
  confirmation drop the effect.  Leases count from the report, so a leader
  that was replaced can not renew one beyond its successor's waiting time.
* ``why(job_id)`` answers ``GetJobReason`` and ``workers(now_ms)`` answers
  ``GetWorkers``, after the same confirmation as any linearizable read.
"""

from fuchsiatrestle.scheduling._policy import Policy
from fuchsiatrestle.scheduling._scheduler import Scheduler
from fuchsiatrestle.scheduling._values import AnswerReports
from fuchsiatrestle.scheduling._values import Applied
from fuchsiatrestle.scheduling._values import ProposeBatch
from fuchsiatrestle.scheduling._values import Rejected
from fuchsiatrestle.scheduling._values import Reports
from fuchsiatrestle.scheduling._values import SetGauges
from fuchsiatrestle.scheduling._values import Tick

__all__ = (
    'AnswerReports',
    'Applied',
    'Policy',
    'ProposeBatch',
    'Rejected',
    'Reports',
    'Scheduler',
    'SetGauges',
    'Tick',
)
