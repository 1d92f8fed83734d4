"""Demonstration: the whole system on loopback, step by step.

``python -m standins.demo`` starts three control replicas, two entries, three
upstreams and two workers, sends requests, two conflicting patches and a batch
job, and stops everything.  The exit status is 1 as soon as a step fails.
"""

import json
import os
import sys
import tempfile
import time

from absl import flags
import curio

from fuchsiatrestle import errors
from fuchsiatrestle.net import http
from standins import _answers
from standins import _cluster
from standins import _processes
from standins import _programs

__all__ = ('Demo', 'main')

JOB_ID = 'reprice-demo'
JOB_TIMEOUT_S = 60.0
JOB_RUN_MS = 1000
CALL_TIMEOUT_S = 5.0


def _require(condition, text):
    if not condition:
        raise errors.Error(text, step='demo')


class Demo:
    """Runs the steps and prints a line for each result.

    Args:
        cluster: the ``Cluster``.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._admin_client = cluster.make_admin_client()
        self._started_s = time.monotonic()

    def run(self):
        """Runs all steps.

        Raises:
            errors.Error: a step had another result than expected.
        """
        self._start_cluster()
        self._configure()
        self._answer_requests()
        self._submit_conflicting_patches()
        self._run_job()

    def stop(self):
        """Stops all processes and checks that all exited with status 0.

        Raises:
            errors.Error: a process had another exit status.
        """
        exit_statuses = self._cluster.stop()
        self._print_step(
            f'stopped {len(exit_statuses)} processes with SIGTERM'
        )
        nonzero_statuses = {
            name: status for name, status in exit_statuses.items() if status
        }
        _require(
            not nonzero_statuses,
            f'exit status other than 0: {nonzero_statuses}',
        )
        self._print_step('every process ended with exit status 0')

    def _print_step(self, text):
        elapsed_s = time.monotonic() - self._started_s
        print(f'[{elapsed_s:6.2f} s] {text}', flush=True)

    # Steps

    def _start_cluster(self):
        cluster = self._cluster
        self._print_step(f'files lie in {cluster.folder}')
        cluster.start()
        control_view = cluster.wait_for_leader()
        voters = ', '.join(control_view['voters'])
        self._print_step(
            f'started {len(cluster.processes)} processes; leader is'
            f' {control_view["leader"]} of {voters}'
        )

    def _configure(self):
        version = self._cluster.configure()
        self._print_step(f'first configuration accepted as version {version}')
        self._cluster.wait_until_in_force(version)
        entry_count = len(self._cluster.entries)
        self._print_step(
            f'version {version} is in force on {entry_count} entries'
        )
        self._cluster.wait_for_upstreams()
        self._print_step(
            'all upstreams have announced themselves to all entries'
        )
        self._cluster.wait_for_workers()
        self._print_step('all workers have reported')

    def _answer_requests(self):
        for name, addresses in self._cluster.entry_addresses.items():
            request_id = f'demo-{name}'
            response = curio.run(_send_request, addresses.callers, request_id)
            _require(response.status == 200, f'{name}: {response.body!r}')
            is_whole = _answers.is_whole_answer(response.body, request_id)
            _require(
                is_whole, f'{name} gave another answer: {response.body!r}'
            )
            upstream = json.loads(response.body)['upstream']
            self._print_step(f'GET through {name}: 200, run by {upstream}')

    def _send_patch(self, base_version, patch_id, deadline_ms):
        service = {_cluster.SERVICE: {'deadline_ms': deadline_ms}}
        parameters = {
            'base': base_version,
            'patch_id': patch_id,
            'author': 'demo',
        }
        return self._admin_client.call(
            'PATCH', '/v1/config', parameters, {'services': service}
        )

    def _submit_conflicting_patches(self):
        base_version = self._cluster.fetch_status()['control'][
            'config_version'
        ]
        first_reply = self._send_patch(base_version, 'ann-1', 1500)
        _require(first_reply.ok, f'first patch: {first_reply.value}')
        version = first_reply.get('version')
        self._print_step(
            f'patch ann-1 on {base_version}: accepted as version {version}'
        )
        second_reply = self._send_patch(base_version, 'bob-1', 1700)
        _require(
            second_reply.status == 409, f'second patch: {second_reply.value}'
        )
        current_version = second_reply.get('current')
        _require(
            current_version == version,
            f'conflict names version {current_version}',
        )
        self._print_step(
            f'patch bob-1 on {base_version}: refused,'
            f' current is {current_version}'
        )
        resent_reply = self._send_patch(base_version, 'ann-1', 1500)
        _require(
            resent_reply.get('version') == version,
            f'resend: {resent_reply.value}',
        )
        _require(resent_reply.get('repeated'), f'resend: {resent_reply.value}')
        self._print_step(
            f'patch ann-1 sent again: version {version}, as before'
        )
        self._cluster.wait_until_in_force(version)
        self._print_step(f'version {version} is in force everywhere')

    def _get_job(self):
        return self._admin_client.call('GET', f'/v1/jobs/{JOB_ID}').value

    def _submit_job(self, submitted_ms):
        job = {
            'job_id': JOB_ID,
            'team': _cluster.TEAM,
            'job_class': 'reprice',
            'size': {'cpu_milli': 2000, 'memory_mib': 2048},
            'submitted_ms': submitted_ms,
            'run_ms': JOB_RUN_MS,
            'command': f'sleep {JOB_RUN_MS}',
        }
        reply = self._admin_client.call(
            'POST', '/v1/jobs', value={'jobs': [job]}
        )
        _require(reply.ok, f'submit: {reply.value}')
        outcome = reply.value['jobs'][0]
        _require(not outcome['reason'], f'submit: {outcome}')
        return outcome

    def _run_job(self):
        submitted_ms = int(time.time() * 1000)
        outcome = self._submit_job(submitted_ms)
        self._print_step(f'job {JOB_ID} submitted: {outcome["state"]}')
        resent = self._submit_job(submitted_ms)
        _require(resent['repeated'], f'second submission: {resent}')
        self._print_step(f'job {JOB_ID} submitted again: the same job')
        shown_states = []

        def find_ended_job():
            job = self._get_job()
            if job['state'] not in shown_states:
                shown_states.append(job['state'])
                self._print_step(
                    f'job {JOB_ID}: {job["state"]}, attempt'
                    f' {job["attempt"]} on {job["worker"] or "no worker"}'
                )
            return job if job['state'] in ('done', 'failed', 'parked') else 0

        job = _processes.wait_until(
            find_ended_job, JOB_TIMEOUT_S, 'the job ends'
        )
        _require(job['state'] == 'done', f'job: {job}')
        for line in job['history']:
            self._print_step(f'    {line}')


async def _send_request(address, request_id):
    client = http.Client(address, CALL_TIMEOUT_S)
    try:
        return await client.call('GET', f'/{_cluster.SERVICE}/{request_id}')
    finally:
        client.close()


def _make_flags():
    flag_values = flags.FlagValues()
    flags.DEFINE_bool('keep', False, 'stay up until Ctrl-C', flag_values)
    flags.DEFINE_string(
        'folder',
        '',
        'where files go (default: a temporary folder)',
        flag_values,
    )
    return flag_values


def _print_commands(cluster):
    admin_addresses = ' '.join(str(addr) for addr in cluster.admin_addresses)
    print(f'\nexport FUCHSIATRESTLE_ENTRIES="{admin_addresses}"')
    print('fuchsiatrestle-ctl status')
    callers_address = cluster.caller_addresses[0]
    print(f'curl http://{callers_address}/{_cluster.SERVICE}/1')
    print('Ctrl-C stops everything.', flush=True)


def _run_demo(folder, keep):
    cluster = _cluster.Cluster(folder)
    demo = Demo(cluster)
    try:
        demo.run()
        if keep:
            _print_commands(cluster)
            curio.run(_programs.wait_for_stop_signal)
        demo.stop()
    except errors.Error as exc:
        print(f'failed: {exc}', file=sys.stderr)
        return 1
    finally:
        cluster.kill()
    return 0


def main(argv):
    """Runs the demonstration; returns the exit status."""
    cfg = _programs.parse_flags(_make_flags(), argv, __doc__)
    if cfg.folder:
        os.makedirs(cfg.folder, exist_ok=True)
        return _run_demo(os.path.abspath(cfg.folder), cfg.keep)
    with tempfile.TemporaryDirectory(prefix='fuchsiatrestle-') as folder:
        return _run_demo(folder, cfg.keep)


if __name__ == '__main__':
    sys.exit(main(sys.argv))
