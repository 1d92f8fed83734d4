"""Scheduling of batch jobs in one cell, without I/O.

``Scheduler`` is a decision core (see ``fuchsiatrestle.core``): it handles
events and returns effects, which its caller carries out.  In this package
"core" otherwise means a processor core.

How the control daemon runs ``Scheduler``:

* Build a new scheduler, ``Scheduler(machine.jobs, now_ms)``, when the replica
  becomes the ready leader, that is, once the first log entry of its own term
  is committed and applied.  Discard it when the role changes.  Use it only in
  the task that applies commands, because it reads the ``JobsPart`` directly.
* Call ``step(event, now_ms)`` with ``ReportsReceived`` for each
  ``ReportBatch``; with ``CommandApplied`` right after each command is applied
  to the state machine, whoever proposed it (commands that are not about jobs
  or workers are ignored); with ``ProposalRejected`` for a proposal that got no
  place in the log; and with ``Tick`` at least every ``Policy.tick_ms``.
* For a ``ProposeBatch`` effect, propose
  ``commands.CODEC.encode(effect.command)``.  If the replica rejects it, step
  ``ProposalRejected`` with its token.  For an accepted proposal
  ``CommandApplied`` is the only answer.
* For an ``AnswerReports`` effect, send an ``OrderBatch`` with its ``call_id``
  and ``worker_orders`` to the entry that forwarded the reports, but only after
  a quorum has confirmed the leadership in a round that began after the
  ``ReportsReceived`` event (a read index requested after it).  Without that
  confirmation drop the effect.  Workers count a lease from their report, so a
  replaced leader can't renew one for longer than its successor waits before it
  ends the worker's attempts.
* ``find_job_reason(job_id)`` answers ``GetJobReason`` and
  ``list_workers(now_ms)`` answers ``GetWorkers``, after the same confirmation
  as any linearizable read.
"""

from fuchsiatrestle.scheduling._policy import Policy
from fuchsiatrestle.scheduling._scheduler import Scheduler
from fuchsiatrestle.scheduling._values import AnswerReports
from fuchsiatrestle.scheduling._values import CommandApplied
from fuchsiatrestle.scheduling._values import ProposalRejected
from fuchsiatrestle.scheduling._values import ProposeBatch
from fuchsiatrestle.scheduling._values import ReportsReceived
from fuchsiatrestle.scheduling._values import SetGauges
from fuchsiatrestle.scheduling._values import Tick

__all__ = (
    'AnswerReports',
    'CommandApplied',
    'Policy',
    'ProposalRejected',
    'ProposeBatch',
    'ReportsReceived',
    'Scheduler',
    'SetGauges',
    'Tick',
)
