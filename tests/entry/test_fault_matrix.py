"""Fault matrix of the request path: every fault at every step.

It guards against requests that run twice, that ran although they were refused,
that get another request's answer, and that leave a slot or connection in use.
Each cell stops three requests (GET, POST, POST with an idempotency key) at the
step, injects the fault, lets them continue, and sends the keyed one again
through the other entry.  ``python -m tests.entry.test_fault_matrix`` writes
the table in ``docs/REQUEST-PATH-MATRIX.md``.
"""

import json
import pathlib
import socket
import sys
import unittest

import curio
import h11

from tests.fakes import entry_world
from tests.fakes import ports

TABLE_PATH = pathlib.Path('docs/REQUEST-PATH-MATRIX.md')
PARALLEL_CELLS = 6
STEP_REACHED_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 6.0
SETTLE_TIMEOUT_S = 8.0
FREEZE_DURATION_S = 0.8

REQUEST_KINDS = ('get', 'post', 'key')
# Letters of the table by outcome.
LETTER_BY_OUTCOME = {
    'answered': 'A',
    'not-run': 'N',
    'unknown': 'U',
    'cut': 'C',
    'refused connection': 'R',
    'left': 'L',
}


# Callers


class Reply:
    """Answer or failure that a caller got.

    Attributes:
        outcome: ``answered``, the value of the outcome header of a refusal, or
            how the connection failed.
        status: HTTP status, 0 without one.
        body: body of the answer, bytes.
    """

    __slots__ = ('body', 'outcome', 'status')

    def __init__(self, outcome, status=0, body=b''):
        self.outcome = outcome
        self.status = status
        self.body = body


def _encode_request(kind, request_id, body):
    method = 'GET' if kind == 'get' else 'POST'
    lines = [
        f'{method} /quotes/{request_id} HTTP/1.1',
        'host: a',
        f'x-id: {request_id}',
    ]
    if kind == 'key':
        lines.append(f'idempotency-key: {request_id}')
    if kind != 'get':
        lines.append(f'content-length: {len(body)}')
    head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
    return head, b'' if kind == 'get' else body


class Caller:
    """One caller with one request.

    Args:
        kind: one of ``REQUEST_KINDS``.
        request_id: value of the ``x-id`` header, and of the key if there is
            one.
        port: port of the entry.
        hold_step: step of the entry before which the caller stops sending:
            ``accept``, ``read_head`` or ``read_body``; any other text for
            none.
        body: body of a POST, bytes.

    Attributes:
        gate: gate at which it waits before ``hold_step``.
    """

    def __init__(self, kind, request_id, port, hold_step='', body=b'small'):
        self.kind = kind
        self.request_id = request_id
        self.gate = entry_world.Gate()
        self._port = port
        self._hold_step = hold_step
        self._head, self._body = _encode_request(kind, request_id, body)
        self._sock = None

    async def call(self):
        """Sends the request and returns the ``Reply``."""
        try:
            self._sock = await curio.open_connection(
                entry_world.HOST, self._port
            )
        except OSError:
            return Reply('refused connection')
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                await self._send_request()
                return await self._receive_reply()
        except OSError:
            return Reply('cut')
        except curio.TaskTimeout:
            return Reply('silent')
        finally:
            await self._sock.close()

    async def leave(self):
        """Shuts the connection down."""
        if self._sock is not None and self._sock._socket is not None:
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    async def _wait_before(self, step):
        if self._hold_step == step:
            await self.gate.wait_open()

    async def _send_request(self):
        await self._wait_before('accept')
        await self._sock.sendall(self._head[:15])
        await self._wait_before('read_head')
        await self._sock.sendall(self._head[15:] + self._body[:2])
        await self._wait_before('read_body')
        await self._sock.sendall(self._body[2:])

    async def _receive_reply(self):
        conn = h11.Connection(h11.CLIENT)
        method = 'GET' if self.kind == 'get' else 'POST'
        conn.send(
            h11.Request(method=method, target='/', headers=[('host', 'a')])
        )
        conn.send(h11.EndOfMessage())
        head, body = None, b''
        while True:
            try:
                event = conn.next_event()
            except h11.RemoteProtocolError:
                return Reply('cut')
            if event is h11.NEED_DATA:
                conn.receive_data(await self._sock.recv(65536))
            elif type(event) is h11.Response:
                head = event
            elif type(event) is h11.Data:
                body += event.data
            elif type(event) is h11.EndOfMessage:
                return _decode_reply(head, body)
            else:
                return Reply('cut')


def _decode_reply(head, body):
    if head.status_code == 200:
        return Reply('answered', 200, body)
    outcome = dict(head.headers).get(b'fuchsiatrestle-outcome', b'none')
    return Reply(outcome.decode(), head.status_code, body)


# Cells


class Cell:
    """Run of one fault at one step.

    Attributes:
        problems: texts of the checks that failed.
        replies: ``Reply`` by kind of request.
        resent_reply: ``Reply`` to the keyed request that was sent again.
    """

    def __init__(self, fault, step):
        self.fault = fault
        self.step = step
        self.problems = []
        self.replies = {}
        self.resent_reply = None

    async def run(self):
        """Runs the cell and adds what is wrong to ``problems``."""
        free_ports = ports.find_free_ports(4)
        self.control = entry_world.FakeControl(['e1', 'e2'])
        self.entries = [
            entry_world.EntryProcess(
                f'e{n + 1}', free_ports[n], self.control, 1
            )
            for n in range(2)
        ]
        first, second = self.entries
        first.peers['e2'] = second
        second.peers['e1'] = first
        self.upstreams = [
            entry_world.ScriptedUpstream(port, self.entries, 4, 16)
            for port in free_ports[2:]
        ]
        for process in (*self.entries, *self.upstreams):
            await process.start()
        try:
            await self._wait_until(
                self._entries_are_settled,
                SETTLE_TIMEOUT_S,
                'entries are settled',
            )
            await self._send_requests()
            await self._wait_until(
                self._nothing_is_left, SETTLE_TIMEOUT_S, 'nothing is left over'
            )
            self._check_cell()
        finally:
            for process in (*self.entries, *self.upstreams):
                await process.thaw()
            for entry in self.entries:
                if entry.alive:
                    await entry.kill()
            for upstream in self.upstreams:
                await upstream.stop()

    async def _wait_until(self, condition, timeout_s, condition_name):
        async with curio.ignore_after(timeout_s):
            while not condition():
                await curio.sleep(0.01)
            return
        self.problems.append(f'timed out: {condition_name}')

    def _entries_are_settled(self):
        return all(
            len(statuses) == 2 and all(s.allotted_slots >= 2 for s in statuses)
            for statuses in map(self._statuses, self.entries)
        )

    def _statuses(self, entry):
        return entry.router.core.upstream_statuses(
            entry_world.daemon.monotonic_ms()
        )

    def _nothing_is_left(self):
        for entry in self.entries:
            if not entry.alive:
                continue
            if (
                entry.router.core.pending_count
                or entry.server.open_connection_count
            ):
                return False
            if any(status.used_slots for status in self._statuses(entry)):
                return False
        return True

    # The requests

    async def _send_requests(self):
        port = self.entries[0].port
        body = entry_world.LONG_BODY if self.step == 'write' else b'small'
        self.callers = [
            Caller(kind, f'{kind}1', port, self.step, body)
            for kind in REQUEST_KINDS
        ]
        occupying_tasks = []
        if self.step == 'reuse':
            await self._open_idle_connections(port)
            await self._inject_fault()
        gate = self._install_gate()
        if self.step == 'queue':
            occupying_tasks = await self._fill_slots(port)
        tasks = [await curio.spawn(caller.call) for caller in self.callers]
        if self.step != 'reuse':
            await self._wait_until(
                self._step_reached_condition(gate),
                STEP_REACHED_TIMEOUT_S,
                'step is reached',
            )
            await self._inject_fault()
        if gate is not None:
            await gate.open()
        for caller in self.callers:
            await caller.gate.open()
        for caller, task in zip(self.callers, tasks, strict=True):
            self.replies[caller.kind] = await task.join()
        for task in occupying_tasks:
            await task.join()
        resending_caller = Caller(
            'key', 'key1', self.entries[1].port, '', body
        )
        self.resent_reply = await resending_caller.call()

    async def _open_idle_connections(self, port):
        """Sends requests, so that the entry has connections to reuse."""
        for number in range(2):
            tasks = [
                await curio.spawn(Caller('get', f'warm{number}{n}', port).call)
                for n in range(3)
            ]
            for task in tasks:
                await task.join()

    async def _fill_slots(self, port):
        """Occupies every slot that the first entry has or may borrow."""
        tasks = [
            await curio.spawn(Caller('post', f'busy{n}', port).call)
            for n in range(6)
        ]
        await curio.sleep(0.1)
        return tasks

    def _install_gate(self):
        """Returns the gate at the step, None if there is none."""
        gate = entry_world.Gate()
        if self.step in ('choose', 'connect', 'answer'):
            self.entries[0].gates[self.step] = gate
        elif self.step == 'claim':
            self.control.gate = gate
        elif self.step in ('write', 'wait', 'answer_head', 'answer_body'):
            gate_name = self.step.replace('answer_', 'read_')
            for upstream in self.upstreams:
                upstream.gates[gate_name] = gate
        elif self.step == 'queue':
            for upstream in self.upstreams:
                upstream.gates['wait'] = gate
        else:
            return None
        return gate

    def _step_reached_condition(self, gate):
        """Returns a function that is true once enough requests wait.

        Args:
            gate: the gate at the step, as ``_install_gate`` returned it.
        """
        entry = self.entries[0]
        if self.step in ('accept', 'read_head', 'read_body'):
            return lambda: all(
                c.gate.arrived_count
                for c in self.callers
                if (
                    c.gate.arrived_count
                    or c.kind != 'get'
                    or self.step != 'read_body'
                )
            )
        if self.step == 'queue':
            return lambda: entry.router.core.queued_count >= 2
        required_count = 1 if self.step == 'claim' else len(REQUEST_KINDS)
        return lambda: gate.arrived_count >= required_count

    # Faults

    async def _inject_fault(self):
        await getattr(self, '_fault_' + self.fault.replace(' ', '_'))()

    async def _fault_upstream_killed(self):
        await self.upstreams[0].stop()

    async def _fault_upstream_frozen(self):
        for upstream in self.upstreams:
            upstream.freeze()
        await curio.spawn(self._thaw_later, self.upstreams, daemon=True)

    async def _thaw_later(self, processes):
        await curio.sleep(FREEZE_DURATION_S)
        for process in processes:
            await process.thaw()

    async def _fault_black_holed(self):
        self.upstreams[0].black_holed = True

    async def _set_mode(self, mode):
        for upstream in self.upstreams:
            upstream.mode = mode

    async def _fault_half_answer(self):
        await self._set_mode('half')

    async def _fault_late_answer(self):
        await self._set_mode('late')

    async def _fault_wrong_length(self):
        await self._set_mode('wrong length')

    async def _fault_refuses(self):
        await self._set_mode('refuses')

    async def _fault_garbage(self):
        await self._set_mode('garbage')

    async def _fault_leaving(self):
        self.upstreams[0].state = 'leaving'
        for _ in self.entries:
            await self.upstreams[0].announce_once()
        await curio.sleep(0.1)

    async def _fault_announced_anew(self):
        upstream = self.upstreams[0]
        upstream.incarnation += 1
        for _ in self.entries:
            await upstream.announce_once()
        await curio.sleep(0.1)

    async def _fault_entry_killed(self):
        await self.entries[0].kill()

    async def _fault_entry_frozen(self):
        self.entries[0].freeze()
        await curio.sleep(FREEZE_DURATION_S)
        await self.entries[0].thaw()

    async def _fault_cut_from_control(self):
        self.entries[0].reaches_control = False
        await curio.sleep(0.5)

    async def _fault_planned_stop(self):
        await curio.spawn(self.entries[0].stop, daemon=True)
        await curio.sleep(0.05)

    async def _fault_caller_gone(self):
        for caller in self.callers:
            await caller.leave()
        await curio.sleep(0.3)

    # Checks

    def _require(self, condition, text):
        if not condition:
            self.problems.append(text)

    def _check_cell(self):
        executed_ids = [
            request_id
            for up in self.upstreams
            for request_id in up.executed_ids
        ]
        for kind, reply in self.replies.items():
            self._check_reply(kind, reply)
            if reply.outcome == 'not-run' and kind != 'key':
                count = executed_ids.count(f'{kind}1')
                self._require(not count, f'{kind} was refused but ran')
        self._require(executed_ids.count('post1') <= 1, 'post ran twice')
        self._require(executed_ids.count('key1') <= 1, 'key ran twice')
        self._check_reply('key', self.resent_reply)
        if (
            'not-run'
            == self.resent_reply.outcome
            == self.replies['key'].outcome
        ):
            self._require(
                'key1' not in executed_ids, 'key was refused but ran'
            )
        for upstream in self.upstreams:
            self._require(
                upstream.max_in_flight <= upstream.slots, 'slots exceeded'
            )
            self._require(
                upstream.max_connections <= upstream.connections,
                'connections exceeded',
            )

    def _check_reply(self, kind, reply):
        if reply.outcome == 'answered':
            expected_body = f'{kind}1 answered'.encode()
            self._require(
                reply.body == expected_body, f'{kind} got {reply.body!r}'
            )
            return
        if reply.outcome in ('not-run', 'unknown'):
            reason = json.loads(reply.body).get('reason')
            self._require(reason, f'{kind} got no reason')
            return
        if self.fault == 'caller gone':
            reply.outcome = 'left'
            return
        is_failure_allowed = self.fault == 'entry killed'
        if reply.outcome == 'refused connection':
            is_failure_allowed = self.fault in ('entry killed', 'planned stop')
        self._require(is_failure_allowed, f'{kind} got {reply.outcome}')

    @property
    def text(self):
        """Text of the cell in the table."""
        if self.problems:
            return 'FAILED: ' + '; '.join(self.problems)
        outcome_letters = [
            LETTER_BY_OUTCOME.get(self.replies[kind].outcome, '?')
            for kind in REQUEST_KINDS
        ]
        outcome_letters.append(
            '/' + LETTER_BY_OUTCOME.get(self.resent_reply.outcome, '?')
        )
        return ''.join(outcome_letters)


# Each is injected by the method of ``Cell`` named ``_fault_`` and the words.
FAULTS = (
    'upstream killed',
    'upstream frozen',
    'black holed',
    'half answer',
    'late answer',
    'wrong length',
    'leaving',
    'announced anew',
    'refuses',
    'garbage',
    'entry killed',
    'entry frozen',
    'cut from control',
    'planned stop',
    'caller gone',
)
# At ``queue`` the requests wait for a slot.  At ``reuse`` the fault comes
# before the requests, while idle connections are open.
STEPS = (
    'accept',
    'read_head',
    'read_body',
    'queue',
    'choose',
    'connect',
    'claim',
    'write',
    'wait',
    'answer_head',
    'answer_body',
    'answer',
    'reuse',
)


async def _run_cells(cells):
    remaining_cells = list(cells)

    async def run_remaining():
        while remaining_cells:
            cell = remaining_cells.pop()
            try:
                await cell.run()
            except Exception as exc:
                cell.problems.append(repr(exc))

    async with curio.TaskGroup() as group:
        for _ in range(PARALLEL_CELLS):
            await group.spawn(run_remaining)


def run_matrix(faults=FAULTS, steps=STEPS):
    """Runs the cells; returns them by (fault, step)."""
    cells = {(f, s): Cell(f, s) for f in faults for s in steps}
    with entry_world.short_terms():
        curio.run(_run_cells, cells.values())
    return cells


def write_table(cells):
    """Writes the page with the table of all cells."""
    lines = [
        '# Fault matrix of the request path',
        '',
        'Written by `python -m tests.entry.test_fault_matrix`. A cell shows',
        'what the callers of GET, POST and POST with a key got, and after the',
        'slash the keyed one sent again through the other entry:',
        '',
        '- A: whole answer; N: refused as not run; U: refused as unknown;',
        '- C: cut off (allowed: the entry was killed);',
        '- R: connection refused, nothing sent (allowed: the entry was killed',
        '  or had stopped listening);',
        '- L: the caller had left.',
        '',
        'After each cell the checks in the test have passed (proved), or the',
        'cell says FAILED.',
        '',
        '| fault | ' + ' | '.join(STEPS) + ' |',
        '|---' * (len(STEPS) + 1) + '|',
    ]
    for fault in FAULTS:
        row = [cells[fault, step].text for step in STEPS]
        lines.append(f'| {fault} | ' + ' | '.join(row) + ' |')
    TABLE_PATH.write_text('\n'.join(lines) + '\n', encoding='utf-8')


class FaultMatrixTest(unittest.TestCase):
    def test_every_fault_at_every_step(self):
        for (fault, step), cell in run_matrix().items():
            with self.subTest(fault=fault, step=step):
                self.assertEqual([], cell.problems)


def main(args):
    """Runs the matrix, or the cells of one fault and one step."""
    faults = [fault for fault in FAULTS if not args or fault == args[0]]
    steps = [step for step in STEPS if len(args) < 2 or step == args[1]]
    cells = run_matrix(faults, steps)
    for (fault, step), cell in cells.items():
        print(f'{fault:18} {step:12} {cell.text}')
    if not args:
        write_table(cells)
    return 1 if any(cell.problems for cell in cells.values()) else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
