"""Lists the placement policies of a deployment."""

from fuchsiatrestle.workflows import _admission
from fuchsiatrestle.workflows import _evacuation
from fuchsiatrestle.workflows import _slow_workers
from fuchsiatrestle.workflows import _stragglers

__all__ = ('make_policies',)


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
    return policies
