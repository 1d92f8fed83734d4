"""The collaborators of one scheduler, put together by its policy."""

from fuchsiatrestle.scheduling import _attempts
from fuchsiatrestle.scheduling import _dispatch
from fuchsiatrestle.scheduling import _evictions
from fuchsiatrestle.scheduling import _fleet
from fuchsiatrestle.scheduling import _interference
from fuchsiatrestle.scheduling import _leases
from fuchsiatrestle.scheduling import _mixes
from fuchsiatrestle.scheduling import _outbox
from fuchsiatrestle.scheduling import _placement
from fuchsiatrestle.scheduling import _preemption
from fuchsiatrestle.scheduling import _pressure
from fuchsiatrestle.scheduling import _quarantine
from fuchsiatrestle.scheduling import _shares
from fuchsiatrestle.scheduling import _sizes
from fuchsiatrestle.scheduling import _usage
from fuchsiatrestle.scheduling import _victims

__all__ = ('Assembly',)


class Assembly:
    """Everything a scheduler of one cell works with.

    Args:
        part: the jobs part, read only.
        policy: the ``Policy``.
        now_ms: start of this leader's term.
    """

    __slots__ = (
        'desk',
        'dispatcher',
        'evictions',
        'fleet',
        'leases',
        'mixes',
        'model',
        'outbox',
        'part',
        'policy',
        'preemptor',
        'pressure',
        'quarantine',
        'shares',
        'sizes',
        'usage',
        'victims',
    )

    def __init__(self, part, policy, now_ms):
        self.part = part
        self.policy = policy
        self.outbox = _outbox.Outbox(policy.max_batch, policy.max_in_flight)
        self.fleet = _fleet.Fleet(part, policy, now_ms)
        self.shares = _shares.TeamShares(part.quotas)
        self.mixes = _mixes.Mixes()
        self.model = _interference.InterferenceModel()
        self.quarantine = _quarantine.Quarantine()
        self.evictions = _evictions.Evictions(self.outbox, policy)
        self.leases = _leases.LeaseBook(
            policy.lease_ms + policy.lease_margin_ms, now_ms
        )
        self.sizes = self._make_sizes()
        self.usage = _usage.UsageBook(part, self.sizes)
        self.victims = _victims.Victims(
            part, self.usage, self.evictions, self.outbox
        )
        self.desk = _attempts.AttemptDesk(
            part, self.outbox, self.evictions, self.leases, policy
        )
        self.dispatcher = self._make_dispatcher()
        self.preemptor = _preemption.Preemptor(
            self.fleet, self.victims, self.evictions, policy
        )
        self.pressure = _pressure.PressureControl(
            part, self.usage, self.model, self.victims, self.evictions, policy
        )

    def _make_sizes(self):
        if not self.policy.learn_sizes:
            return _sizes.DeclaredSizes()
        return _sizes.LearnedSizes(
            self.part.capacities, self.part.quotas, self.policy.shrink_cpu
        )

    def _make_dispatcher(self):
        rule = _placement.FirstFit()
        if self.policy.model_interference:
            rule = _placement.LeastInterference(
                self.fleet, self.mixes, self.model, self.policy.max_tail_ratio
            )
        return _dispatch.Dispatcher(
            self.part,
            self.fleet,
            self.shares,
            self.outbox,
            self.sizes,
            rule,
            self.mixes,
            self.evictions,
            self.policy,
        )
