"""Estimates how long the tasks of the steps of a workflow run.

Declared estimates are off by a factor of 0.2 to 0.9 in either direction.  With
more work than room, what is placed first is decided by slack and lateness,
which are then off by as much.
"""

import abc

from fuchsiatrestle import logs
from fuchsiatrestle import metrics

__all__ = (
    'DeclaredEstimates',
    'LearnedEstimates',
    'RunTimeReport',
    'StepEstimates',
)

# Interval of the reports.  Each logs one line at most.
REPORT_INTERVAL_MS = 1000
# A kind whose median is off by more than this share of the declared estimate,
# in thousandths, counts as declared too short or too long.
MAX_DEVIATION_PERMILLE = 200

KNOWN_KINDS = metrics.declare(
    'workflows.run_time_kinds',
    'Kinds of tasks whose run times are known well enough to be used.',
)
SHORT_ESTIMATES = metrics.declare(
    'workflows.estimates_too_short',
    'Kinds of tasks that run over 20% longer than declared.',
)
LONG_ESTIMATES = metrics.declare(
    'workflows.estimates_too_long',
    'Kinds of tasks that run over 20% shorter than declared.',
)

LOG = logs.get_logger(__name__)


class StepEstimates(abc.ABC):
    """Estimated run times of the tasks of a workflow's steps.

    Attributes:
        may_change: True if the estimates of a workflow change over time.
    """

    may_change = True

    @abc.abstractmethod
    def estimate_steps_ms(self, workflow):
        """Returns the estimated run time of a task of each step.

        Args:
            workflow: the ``Workflow``.

        Returns:
            A list of milliseconds by step number.
        """


class DeclaredEstimates(StepEstimates):
    """The estimates that callers declare."""

    may_change = False

    def estimate_steps_ms(self, workflow):
        return [step.estimate_ms for step in workflow.spec.steps]


class LearnedEstimates(StepEstimates):
    """Medians of the run times of earlier tasks.

    The tasks of the step itself are the best evidence, then those of the same
    kind; while neither is known, the declared estimate holds.

    Args:
        workflow_store: the part of the replicated state with the workflows.
    """

    def __init__(self, workflow_store):
        self._workflow_store = workflow_store

    def estimate_steps_ms(self, workflow):
        return [
            self._estimate_step_ms(workflow, step_number, step)
            for step_number, step in enumerate(workflow.spec.steps)
        ]

    def _estimate_step_ms(self, workflow, step_number, step):
        median_ms = workflow.median_run_ms(step_number)
        if median_ms is not None:
            return median_ms
        return self._workflow_store.run_times.estimate_ms(
            workflow.queue.name, step_number, step
        )


class RunTimeReport:
    """Reports what is learned, once a second at most.

    Each report sets the gauges and logs one kind of tasks whose median has
    changed since it was logged last, the one that was logged longest ago.

    Args:
        workflow_store: the part of the replicated state with the workflows.
    """

    def __init__(self, workflow_store):
        self._workflow_store = workflow_store
        self._reported_ms = 0
        # Median when a kind was logged, by kind; longest ago first.
        self._logged_medians = {}

    def report_if_due(self, wall_ms):
        """Reports unless the last report was less than a second ago.

        Args:
            wall_ms: time since the epoch; it may be set back.
        """
        if 0 <= wall_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return
        self._reported_ms = wall_ms
        kinds = self._workflow_store.run_times.list_kind_estimates()
        metrics.gauge(KNOWN_KINDS, len(kinds))
        metrics.gauge(
            SHORT_ESTIMATES,
            sum(
                kind.median_permille > 1000 + MAX_DEVIATION_PERMILLE
                for kind in kinds
            ),
        )
        metrics.gauge(
            LONG_ESTIMATES,
            sum(
                kind.median_permille < 1000 - MAX_DEVIATION_PERMILLE
                for kind in kinds
            ),
        )
        self._log_changed_kind(kinds)

    def _log_changed_kind(self, kinds):
        kind_by_name = {kind.name: kind for kind in kinds}
        # Kinds that were dropped from the state are dropped here as well.
        self._logged_medians = {
            name: median_permille
            for name, median_permille in self._logged_medians.items()
            if name in kind_by_name
        }
        new_names = [
            name for name in kind_by_name if name not in self._logged_medians
        ]
        for name in new_names + list(self._logged_medians):
            kind = kind_by_name[name]
            if kind.median_permille != self._logged_medians.get(name):
                self._log_kind(kind)
                return

    def _log_kind(self, kind):
        self._logged_medians.pop(kind.name, None)
        self._logged_medians[kind.name] = kind.median_permille
        LOG.info(
            'run_times_learned',
            extra={
                'image': kind.image,
                'queue': kind.queue_name,
                'step': kind.step_number,
                'samples': kind.sample_count,
                'median_ratio': f'{kind.median_permille / 1000:.3f}',
            },
        )
