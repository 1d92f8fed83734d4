"""Tests that the deploy file, its templates and packages fit the programs."""

import math
import pathlib
import re
import tempfile
import tomllib
import unittest

from fuchsiatrestle.platform import _programs
from fuchsiatrestle.platform import _settings
from fuchsiatrestle import settings

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLACEHOLDER = re.compile(r'\{\{([a-z_.0-9]+)\}\}')
SECTION = re.compile(r'\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)


def _placeholder_values(folder):
    """Returns the values that the platform fills in, by placeholder."""
    return {
        'seed_nodes': '10.1.0.16:8166,10.2.0.32:8166,10.3.0.38:8166',
        'ip': '10.1.0.16',
        'internal_ports.0': '7720',
        'zone': 'dc-a',
        'listen_addrs.front': '10.1.0.16:8161',
        'listen_addrs.ready': '10.1.0.16:8167',
        'listen_addrs.control': '10.1.0.16:8166',
        'bounds.grace_s': '6',
        'bounds.max_hold_ms': '6000',
        'heartbeat_ms': '1500',
        'data_dir': folder,
        'bootstrap': 'false',
        'fault_tolerance.machines': '1',
        'bounds.evacuation_ms': '5000',
        'zones': {'dc-a': {}, 'dc-b': {}},
    }


def _render_section(match, values):
    """Returns a section once for each of its entries, with their keys.

    A section of a name without a value is empty.
    """
    value = values.get(match[1])
    if value is None:
        return ''
    if not isinstance(value, dict):
        return match[2]
    last_key = list(value)[-1]
    return ''.join(
        match[2]
        .replace('{{@}}', key)
        .replace('{{,}}', '' if key == last_key else ',')
        for key in value
    )


def _count_replicas(role_table, vm_count):
    """Returns how many VMs of a data centre run a role."""
    if 'share' in role_table:
        return math.ceil(role_table['share'] * vm_count)
    return min(role_table['count'], vm_count)


class DeployTest(unittest.TestCase):
    def setUp(self):
        text = (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        self.deploy = tomllib.loads(text)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def _load(self, role, omitted_name=''):
        """Returns the settings of a role from its filled-in template.

        Args:
            role: name of the role.
            omitted_name: placeholder for which the platform has no value.
        """
        template = ROOT / self.deploy['roles'][role]['template']
        values = _placeholder_values(self.folder)
        values.pop(omitted_name, None)
        text = SECTION.sub(
            lambda match: _render_section(match, values),
            template.read_text(encoding='utf-8'),
        )
        text = PLACEHOLDER.sub(lambda match: values[match[1]], text)
        path = pathlib.Path(self.folder) / f'{role}.ini'
        path.write_text(text, encoding='utf-8')
        return settings.load(path, _programs.PROGRAMS[role].sections)

    def test_each_role_names_its_program(self):
        for role, role_table in self.deploy['roles'].items():
            words = role_table['run'].split()
            self.assertEqual('fuchsiatrestle.platform', words[2])
            self.assertIn(words[3], _programs.PROGRAMS)
            self.assertEqual(role, words[3])

    def test_settings_of_the_entry(self):
        cfg = self._load('entry')
        control_addresses = _settings.make_control_addresses(cfg)
        self.assertEqual(
            ['10.1.0.16:7720', '10.2.0.32:7720', '10.3.0.38:7720'],
            list(control_addresses),
        )
        self.assertEqual(6.0, cfg.get('platform', 'grace_s'))

    def test_settings_of_control(self):
        cfg = _settings.make_control_daemon_settings(self._load('control'))
        self.assertEqual('10.1.0.16:7720', cfg.get('control', 'name'))
        self.assertTrue(cfg.get('control', 'open_membership'))
        self.assertEqual(6000, cfg.get('workers', 'longest_lease_ms'))
        self.assertEqual(150, cfg.get('timing', 'heartbeat_ms'))
        self.assertFalse(cfg.get('control', 'may_found'))
        self.assertEqual(1, cfg.get('control', 'tolerated_losses'))

    def test_evacuations_are_offered_where_the_platform_names_a_bound(self):
        cfg = _settings.make_control_daemon_settings(self._load('control'))
        self.assertEqual(5000, cfg.get('workflows', 'evacuation_ms'))
        self.assertEqual(('dc-a', 'dc-b'), cfg.get('control', 'data_centres'))
        cfg = self._load('control', 'bounds.evacuation_ms')
        self.assertEqual(0, cfg.get('workflows', 'evacuation_ms'))

    def test_control_keeps_a_quorum_after_the_losses_to_be_borne(self):
        role_table = self.deploy['roles']['control']
        for core_vms_by_data_centre, lost_count in (
            ((2, 2, 1), 1),
            ((2, 1, 1, 1), 1),
            ((3, 2, 2, 2), 2),
            ((3, 3, 3), 2),
        ):
            with self.subTest(core_vms=core_vms_by_data_centre):
                replica_count = sum(
                    _count_replicas(role_table, vm_count)
                    for vm_count in core_vms_by_data_centre
                )
                self.assertGreater(
                    replica_count - lost_count, replica_count // 2
                )

    def test_metrics_are_where_the_deploy_file_says(self):
        for role, role_table in self.deploy['roles'].items():
            port, _, path = role_table['metrics'].partition('/')
            listen = self._load(role).get('metrics', 'listen')
            self.assertEqual((int(port), 'metrics'), (listen.port, path))

    def test_packages_are_those_of_the_project(self):
        pinned = (ROOT / 'constraints.txt').read_text(encoding='utf-8')
        deployed = (ROOT / 'deploy/requirements.txt').read_text('utf-8')
        self.assertLessEqual(set(deployed.split()), set(pinned.split()))
        project = tomllib.loads((ROOT / 'pyproject.toml').read_text('utf-8'))
        dependencies = set(project['project']['dependencies'])
        self.assertLessEqual(dependencies, set(deployed.split()))


if __name__ == '__main__':
    unittest.main()
