"""Creation of the objects that one scheduler consists of."""

from fuchsiatrestle.scheduling import _attempts
from fuchsiatrestle.scheduling import _dispatch
from fuchsiatrestle.scheduling import _evictions
from fuchsiatrestle.scheduling import _fleet
from fuchsiatrestle.scheduling import _interference
from fuchsiatrestle.scheduling import _leases
from fuchsiatrestle.scheduling import _outbox
from fuchsiatrestle.scheduling import _placement
from fuchsiatrestle.scheduling import _preemption
from fuchsiatrestle.scheduling import _pressure
from fuchsiatrestle.scheduling import _quarantine
from fuchsiatrestle.scheduling import _reserved_work
from fuchsiatrestle.scheduling import _shares
from fuchsiatrestle.scheduling import _sizes
from fuchsiatrestle.scheduling import _usage
from fuchsiatrestle.scheduling import _victims

__all__ = ('Assembly',)


class Assembly:
    """Creates and holds the objects of one scheduler.

    The policy decides which rules choose reservation sizes and workers.

    Args:
        jobs_part: the ``JobsPart`` of the replicated state, read only.
        policy: the ``Policy``.
        now_ms: monotonic time at which this leader's scheduler starts.

    Attributes:
        jobs_part: the ``JobsPart``.
        policy: the ``Policy``.
        outbox: the ``Outbox``.
        fleet: the ``Fleet``.
        shares: the ``TeamShares``.
        reserved_work: the ``ReservedWork``.
        model: the ``InterferenceModel``.
        quarantine: the ``Quarantine``.
        evictions: the ``Evictions``.
        leases: the ``LeaseTracker``.
        sizes: the ``SizeRule``.
        usage: the ``UsageTracker``.
        victims: the ``VictimSelector``.
        reconciler: the ``AttemptReconciler``.
        dispatcher: the ``Dispatcher``.
        preemptor: the ``Preemptor``.
        pressure: the ``PressureController``.
    """

    __slots__ = (
        'dispatcher',
        'evictions',
        'fleet',
        'jobs_part',
        'leases',
        'model',
        'outbox',
        'policy',
        'preemptor',
        'pressure',
        'quarantine',
        'reconciler',
        'reserved_work',
        'shares',
        'sizes',
        'usage',
        'victims',
    )

    def __init__(self, jobs_part, policy, now_ms):
        self.jobs_part = jobs_part
        self.policy = policy
        self.outbox = _outbox.Outbox(policy.max_batch, policy.max_in_flight)
        self.fleet = _fleet.Fleet(jobs_part, policy, now_ms)
        self.shares = _shares.TeamShares(jobs_part.team_quotas)
        self.reserved_work = _reserved_work.ReservedWork()
        self.model = _interference.InterferenceModel()
        self.quarantine = _quarantine.Quarantine()
        self.evictions = _evictions.Evictions(self.outbox, policy)
        self.leases = _leases.LeaseTracker(
            policy.lease_ms + policy.lease_margin_ms, now_ms
        )
        self.sizes = self._make_sizes()
        self.usage = _usage.UsageTracker(jobs_part, self.sizes)
        self.victims = _victims.VictimSelector(
            jobs_part, self.usage, self.evictions, self.outbox
        )
        self.reconciler = _attempts.AttemptReconciler(
            jobs_part, self.outbox, self.evictions, self.leases, policy
        )
        self.dispatcher = self._make_dispatcher()
        self.preemptor = _preemption.Preemptor(
            self.fleet, self.victims, self.evictions, policy
        )
        self.pressure = _pressure.PressureController(
            jobs_part,
            self.usage,
            self.model,
            self.victims,
            self.evictions,
            policy,
        )

    def _make_sizes(self):
        if not self.policy.learn_sizes:
            return _sizes.DeclaredSizes()
        return _sizes.LearnedSizes(
            self.jobs_part.capacities,
            self.jobs_part.team_quotas,
            self.policy.shrink_cpu,
        )

    def _make_dispatcher(self):
        rule = _placement.FirstFit()
        if self.policy.model_interference:
            rule = _placement.LeastInterference(
                self.fleet,
                self.reserved_work,
                self.model,
                self.policy.max_tail_ratio,
            )
        return _dispatch.Dispatcher(
            self.jobs_part,
            self.fleet,
            self.shares,
            self.outbox,
            self.sizes,
            rule,
            self.reserved_work,
            self.evictions,
            self.policy,
        )
