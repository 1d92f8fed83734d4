"""The soak run waits for a settled system before it reads the state."""

import unittest
from unittest import mock

from fuchsiatrestle import errors
from standins import soak


class SettleTest(unittest.TestCase):
    def _settled(self, cluster):
        run = soak.Soak.__new__(soak.Soak)
        run.cluster = cluster
        run._breaches = []
        run._wait_until_settled()
        return run._breaches

    def _cluster(self):
        cluster = mock.Mock()
        cluster.wait_for_leader.return_value = {'config_version': 7}
        cluster.status.return_value = {'control': {'jobs': {'done': 3}}}
        return cluster

    def test_waits_for_every_entry_before_state_is_read(self):
        cluster = self._cluster()
        self.assertEqual([], self._settled(cluster))
        cluster.wait_in_force.assert_called_once_with(7)

    def test_an_entry_that_stays_away_is_a_breach(self):
        cluster = self._cluster()
        cluster.wait_in_force.side_effect = errors.Error('e2', step='wait')
        self.assertEqual(1, len(self._settled(cluster)))
