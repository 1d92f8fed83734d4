"""The soak run waits for a settled system before it reads the state."""

import unittest
from unittest import mock

from fuchsiatrestle import errors
from standins import soak


class SettleTest(unittest.TestCase):
    def _collect_breaches(self, cluster):
        """Returns the breaches of the settling phase with a cluster."""
        soak_run = soak.Soak.__new__(soak.Soak)
        soak_run.cluster = cluster
        soak_run._breaches = []
        soak_run._wait_until_settled()
        return soak_run._breaches

    def _make_cluster(self):
        cluster = mock.Mock()
        cluster.wait_for_leader.return_value = {'config_version': 7}
        cluster.fetch_status.return_value = {'control': {'jobs': {'done': 3}}}
        return cluster

    def test_waits_for_every_entry_before_state_is_read(self):
        cluster = self._make_cluster()
        self.assertEqual([], self._collect_breaches(cluster))
        cluster.wait_until_in_force.assert_called_once_with(7)

    def test_an_entry_that_stays_away_is_a_breach(self):
        cluster = self._make_cluster()
        cluster.wait_until_in_force.side_effect = errors.Error(
            'e2', step='wait'
        )
        self.assertEqual(1, len(self._collect_breaches(cluster)))
