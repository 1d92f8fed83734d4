"""Requests through the real daemons while entries and upstreams fail."""

import json
import socket
import time

from standins import _checks
from standins import _ledgers
from tests.standins import systems

LOAD_S = 6.0
FAULT_DELAY_S = 2.0
SOCKET_TIMEOUT_S = 10.0

MALFORMED = (
    b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
    b'GET /quotes/1\r\n\r\n',
    b'GET  HTTP/1.1\r\nHost: a\r\n\r\n',
    b'GET / HTTP/1.1\r\n\r\n',
    b'POST /quotes/1 HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n',
    b'POST /q HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
    b'Content-Length: 2\r\n\r\n',
    b'POST /q HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n',
    b'GET / HTTP/1.1\r\nHost: a\r\n' + b'X: ' + b'y' * 70000 + b'\r\n\r\n',
    b'PATCH /v1/config?base=1&patch_id=p HTTP/1.1\r\nHost: a\r\n'
    b'Content-Length: 2\r\n\r\n{{',
    b'POST /v1/announcements HTTP/1.1\r\nHost: a\r\n'
    b'Content-Length: 2\r\n\r\n[]',
    b'\x00' * 512,
    b'',
)


def _make_fault_line(kind, target, since_ns, done_ns):
    return _ledgers.FaultLine(
        kind, target, since_ns, done_ns, time.monotonic_ns()
    )


def _send_raw(address, data):
    """Sends raw bytes; returns all that the listener answers."""
    with socket.create_connection(
        (address.host, address.port), SOCKET_TIMEOUT_S
    ) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        answer = b''
        try:
            while chunk := sock.recv(65536):
                answer += chunk
        except ConnectionResetError:
            pass
        return answer


class EntryFailureTest(systems.SystemTest):
    def test_killed_entry_under_load(self):
        """No request runs twice, and the other entry goes on answering."""
        caller = self.start_callers('kill', LOAD_S)
        time.sleep(FAULT_DELAY_S)
        killed_ns = time.monotonic_ns()
        self.cluster.entries['e1'].kill()
        caller.wait()
        calls = caller.read_calls()
        self.assert_no_request_breach(calls)
        surviving_address = str(self.cluster.entry_addresses['e2'].callers)
        later_calls = [
            line
            for line in calls
            if line.start_ns > killed_ns and line.entry == surviving_address
        ]
        whole_answers = [
            line for line in later_calls if line.answer == 'whole'
        ]
        self.assertGreater(
            len(whole_answers), len(later_calls) // 2, later_calls[:5]
        )

    def test_planned_stop_of_an_entry_under_load_cuts_nothing(self):
        """Every call that reached the entry is answered; exit status 0."""
        for name in self.cluster.upstreams:
            self.cluster.set_upstream_mode(name, 'slow')
        caller = self.start_callers('stop', LOAD_S, callers=16)
        time.sleep(FAULT_DELAY_S)
        since_ns = time.monotonic_ns()
        exit_status = self.cluster.entries['e1'].stop()
        stop_fault = _make_fault_line(
            'stop', 'e1', since_ns, time.monotonic_ns()
        )
        caller.wait()
        self.assertEqual(0, exit_status)
        calls = caller.read_calls()
        calls_during_stop = [
            line
            for line in self.cluster.group_calls_by_entry(calls)['e1']
            if since_ns < line.end_ns and line.status
        ]
        self.assertTrue(
            calls_during_stop, 'no call ended after the stop began'
        )
        self.assert_no_request_breach(calls, [stop_fault])

    def test_leaving_upstream_gets_nothing_new(self):
        """An entry frozen during the announcement sends nothing new either."""
        caller = self.start_callers('leave', 10.0, mix='read')
        time.sleep(FAULT_DELAY_S)
        self.cluster.set_upstream_mode('u1', 'leaving')
        self.cluster.entries['e1'].freeze()
        time.sleep(5.0)
        self.cluster.entries['e1'].resume()
        caller.wait()
        runs = self.cluster.read_runs_by_upstream()
        leaving_since_ns = [
            line.time_ns for line in runs['u1'] if line.event == 'leaving'
        ][0]
        lines_before_leaving = [
            line for line in runs['u1'] if line.time_ns < leaving_since_ns
        ]
        self.assertTrue(lines_before_leaving, 'u1 ran nothing before it left')
        self.assertEqual([], _checks.check_leaving(runs))


class KeyedRequestTest(systems.SystemTest):
    def _post_with_key(self, entry, request_id, body=b'{"amount": 1}'):
        headers = [(b'idempotency-key', request_id.encode())]
        target = f'/quotes/{request_id}'
        return self.call_entry(entry, 'POST', target, body, headers)

    def _find_begin_lines(self, request_id):
        return [
            line
            for line in self.read_all_runs()
            if line.request_id == request_id and line.event == 'begin'
        ]

    def test_resend_through_the_other_entry_runs_once(self):
        first_answer = self._post_with_key('e1', 'credit-1')
        second_answer = self._post_with_key('e2', 'credit-1')
        self.assertEqual(
            (200, 200), (first_answer.status, second_answer.status)
        )
        self.assertEqual(first_answer.body, second_answer.body)
        self.assertEqual(1, len(self._find_begin_lines('credit-1')))

    def test_key_used_for_another_request_is_refused(self):
        self._post_with_key('e1', 'credit-2')
        other_answer = self._post_with_key('e2', 'credit-2', b'{"amount": 2}')
        self.assertEqual(422, other_answer.status, other_answer.body)
        self.assertEqual(1, len(self._find_begin_lines('credit-2')))

    def test_resend_after_the_entry_died_runs_at_most_once(self):
        """The upstream is still running it when its entry is killed."""
        for name in self.cluster.upstreams:
            self.cluster.set_upstream_mode(name, 'freeze')
        caller = self.start_callers('dying', 1.0, mix='keyed', callers=2)
        time.sleep(FAULT_DELAY_S)
        for process in self.cluster.entries.values():
            process.kill()
        for name in self.cluster.upstreams:
            self.cluster.set_upstream_mode(name, 'normal')
        for process in self.cluster.entries.values():
            process.start()
        caller.wait()
        self.cluster.wait_until_in_force(2)
        self.cluster.wait_for_upstreams()
        request_ids = {line.request_id for line in caller.read_calls()}
        self.assertTrue(request_ids)
        for request_id in sorted(request_ids):
            self._post_with_key('e1', request_id)
            self._post_with_key('e2', request_id)
        self.assertEqual([], _checks.check_run_once(self.read_all_runs()))


class MalformedInputTest(systems.SystemTest):
    def _iterate_ports(self):
        for name, addresses in self.cluster.entry_addresses.items():
            for kind in ('callers', 'platform', 'admin', 'link'):
                yield f'{name} {kind}', getattr(addresses, kind)
        for name, address in self.cluster.control_addresses.items():
            yield f'{name} link', address

    def test_malformed_bytes_on_every_port_disturb_nobody(self):
        caller = self.start_callers('calm', LOAD_S)
        for port_name, address in self._iterate_ports():
            for data in MALFORMED:
                with self.subTest(place=port_name, data=data[:40]):
                    answer = _send_raw(address, data)
                    self._assert_refused(port_name, data, answer)
        caller.wait()
        calls = caller.read_calls()
        self.assert_no_request_breach(calls)
        failed_calls = [line for line in calls if line.answer != 'whole']
        self.assertEqual([], failed_calls[:3])
        for process in self.cluster.processes.values():
            self.assertTrue(process.running, process.name)
        self.assert_clean_stop()

    def _assert_refused(self, port_name, data, answer):
        """Checks that an HTTP port answers data with 4xx and a reason.

        Nothing is checked for link ports, which do not speak HTTP, and for
        empty data, which need no answer.
        """
        if 'link' in port_name or not data:
            return
        head, _, body = answer.partition(b'\r\n\r\n')
        status = int(head.split()[1])
        self.assertTrue(400 <= status < 500, head)
        self.assertTrue(json.loads(body)['reason'])
