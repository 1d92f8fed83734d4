"""The daemons authenticate each other by TLS certificates."""

import tempfile
import unittest

from standins import _cluster
from tests.fakes import certificates


class TlsTest(unittest.TestCase):
    def test_daemons_agree_and_stop_over_tls(self):
        folder = tempfile.TemporaryDirectory(prefix='fuchsiatrestle-')
        self.addCleanup(folder.cleanup)
        authority = certificates.Authority(folder.name)
        cluster = _cluster.Cluster(
            folder.name, issue_tls_files=authority.issue
        )
        self.addCleanup(cluster.kill)
        cluster.start(('controls', 'entries'))
        version = cluster.configure()
        cluster.wait_until_in_force(version)
        statuses = cluster.stop()
        self.assertEqual({0}, set(statuses.values()), statuses)
