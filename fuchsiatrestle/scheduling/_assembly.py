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
        team_shares: the ``TeamShares``.
        work_reservations: the ``WorkReservations``.
        interference_model: the ``InterferenceModel``.
        quarantine: the ``Quarantine``.
        evictions: the ``Evictions``.
        lease_tracker: the ``LeaseTracker``.
        size_rule: the ``SizeRule``.
        usage_tracker: the ``UsageTracker``.
        victim_selector: the ``VictimSelector``.
        reconciler: the ``AttemptReconciler``.
        dispatcher: the ``Dispatcher``.
        preemptor: the ``Preemptor``.
        pressure_controller: the ``PressureController``.
    """

    __slots__ = (
        'dispatcher',
        'evictions',
        'fleet',
        'interference_model',
        'jobs_part',
        'lease_tracker',
        'outbox',
        'policy',
        'preemptor',
        'pressure_controller',
        'quarantine',
        'reconciler',
        'work_reservations',
        'size_rule',
        'team_shares',
        'usage_tracker',
        'victim_selector',
    )

    def __init__(self, jobs_part, policy, now_ms):
        self.jobs_part = jobs_part
        self.policy = policy
        self.outbox = _outbox.Outbox(policy.max_batch, policy.max_in_flight)
        self.fleet = _fleet.Fleet(jobs_part, policy, now_ms)
        self.team_shares = _shares.TeamShares(jobs_part.team_quotas)
        self.work_reservations = _reserved_work.WorkReservations()
        self.interference_model = _interference.InterferenceModel()
        self.quarantine = _quarantine.Quarantine()
        self.evictions = _evictions.Evictions(self.outbox, policy)
        self.lease_tracker = _leases.LeaseTracker(
            policy.lease_ms + policy.lease_margin_ms, now_ms
        )
        self.size_rule = self._make_size_rule()
        self.usage_tracker = _usage.UsageTracker(jobs_part, self.size_rule)
        self.victim_selector = _victims.VictimSelector(
            jobs_part, self.usage_tracker, self.evictions, self.outbox
        )
        self.reconciler = _attempts.AttemptReconciler(
            jobs_part, self.outbox, self.evictions, self.lease_tracker, policy
        )
        self.dispatcher = self._make_dispatcher()
        self.preemptor = _preemption.Preemptor(
            self.fleet, self.victim_selector, self.evictions, policy
        )
        self.pressure_controller = _pressure.PressureController(
            jobs_part,
            self.usage_tracker,
            self.interference_model,
            self.victim_selector,
            self.evictions,
            policy,
        )

    def _make_size_rule(self):
        if not self.policy.learn_sizes:
            return _sizes.DeclaredSizes()
        return _sizes.LearnedSizes(
            self.jobs_part.capacities,
            self.jobs_part.team_quotas,
            self.policy.shrink_cpu,
        )

    def _make_dispatcher(self):
        placement_rule = _placement.FirstFit()
        if self.policy.model_interference:
            placement_rule = _placement.LeastInterference(
                self.fleet,
                self.work_reservations,
                self.interference_model,
                self.policy.max_tail_ratio,
            )
        return _dispatch.Dispatcher(
            self.jobs_part,
            self.fleet,
            self.team_shares,
            self.outbox,
            self.size_rule,
            placement_rule,
            self.work_reservations,
            self.evictions,
            self.policy,
        )
