"""Lists the placement policies of a deployment, and its placer."""

from fuchsiatrestle.workflows import _admission
from fuchsiatrestle.workflows import _evacuation
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _size_balance
from fuchsiatrestle.workflows import _slow_workers
from fuchsiatrestle.workflows import _stragglers

__all__ = ('make_placer', 'make_policies')


def make_policies(features, dispatch_state):
    """Returns the list of the policies that are switched on.

    Args:
        features: ``Features``.
        dispatch_state: ``DispatchState``.
    """
    policies = []
    if features.evacuation_ms:
        policies.append(_evacuation.EvacuationPolicy(dispatch_state))
    if features.refuses_overload:
        policies.append(
            _admission.AdmissionPolicy(
                dispatch_state, features.learns_run_times
            )
        )
    if features.copies_stragglers:
        policies.append(_slow_workers.SlowWorkers(dispatch_state))
        policies.append(_stragglers.StragglerCopies(dispatch_state))
    if features.balances_sizes:
        policies.append(_size_balance.SizeBalancePolicy(dispatch_state))
    return policies


def make_placer(policies, interference_model):
    """Returns the ``Placer`` of the first policy with one, else ``BestFit``.

    Args:
        policies: list of the ``PlacementPolicy`` values in force.
        interference_model: the ``InterferenceModel``.
    """
    for policy in policies:
        placer = policy.make_placer(interference_model)
        if placer is not None:
            return placer
    return _placement.BestFit(interference_model)
