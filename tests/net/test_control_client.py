"""Tests of the client of the control replicas."""

import unittest

import curio
from returns import result

from fuchsiatrestle import messages
from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import link
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes

COMMAND = commands.PatchConfig(1, 'p', b'{}')
ACCEPTED = outcomes.CODEC.encode(outcomes.ConfigAccepted(2))


class _FakeLink:
    """Answers what is sent by a script: one item for each sending.

    An item is ``'accept'``, ``'lose'``, ``'down'`` (the stream breaks) or a
    (reason, leader) pair of a refusal.
    """

    incarnation = 5
    name = 'e1'

    def __init__(self, script):
        self._script = list(script)
        self.client = None
        self.sent = []

    def connect(self, peer, address):
        """Does nothing."""

    def send(self, peer, message):
        """Notes the message and answers as the script says."""
        self.sent.append((peer, message))
        self._answer = (peer, message, self._script.pop(0))

    async def answer(self):
        """Hands the last answer over, in a task of its own."""
        while True:
            await curio.sleep(0.001)
            pending, self._answer = getattr(self, '_answer', None), None
            if pending:
                await self._deliver(*pending)

    async def _deliver(self, peer, message, item):
        call_id = message.call_id
        if item == 'accept':
            found = messages.CommandOutcome(call_id, ACCEPTED)
        elif item == 'lose':
            return
        elif item == 'down':
            await self.client.handle(link.PeerDown(peer))
            return
        else:
            found = messages.ControlRefused(call_id, *item)
        await self.client.handle(link.Inbound(peer, 1, found))


async def _propose(script, deadline_ms):
    lnk = _FakeLink(script)
    controls = dict.fromkeys(('c1', 'c2', 'c3'))
    lnk.client = control_client.ControlClient(lnk, controls)
    task = await curio.spawn(lnk.answer)
    found = await lnk.client.propose(COMMAND, deadline_ms)
    await task.cancel()
    return found, [peer for peer, _ in lnk.sent]


async def _propose_to_unlisted():
    """The leader dialled this process before it was known to be one."""
    lnk = _FakeLink([('not_leader', 'c9'), 'accept'])
    client = control_client.ControlClient(lnk, {'c1': 'a1'}, str.upper)
    lnk.client = client
    await client.handle(link.PeerUp('c9'))
    await client.handle(link.PeerUp('c1'))
    task = await curio.spawn(lnk.answer)
    found = await client.propose(COMMAND, 2000)
    await task.cancel()
    return found, [peer for peer, _ in lnk.sent]


class ControlClientTest(unittest.TestCase):
    def test_learns_a_leader_whose_stream_is_up_already(self):
        found, peers = curio.run(_propose_to_unlisted)
        self.assertIsInstance(found, result.Success)
        self.assertEqual(['c1', 'c9'], peers)

    def _propose(self, script, deadline_ms=20000):
        return curio.run(
            curio.timeout_after, 60, _propose, script, deadline_ms
        )

    def test_finds_the_leader(self):
        cases = (
            (['accept'], ['c1']),
            ([('not_leader', 'c3'), 'accept'], ['c1', 'c3']),
            ([('not_leader', ''), 'accept'], ['c1', 'c2']),
            ([('not_leader', 'c9'), 'accept'], ['c1', 'c2']),
            ([('overloaded', ''), 'accept'], ['c1', 'c1']),
            (['lose', 'accept'], ['c1', 'c2']),
            (['down', 'accept'], ['c1', 'c2']),
            ([('stopping', 'c2'), 'accept'], ['c1', 'c2']),
        )
        for script, peers in cases:
            with self.subTest(script=script):
                found, asked = self._propose(script)
                expected = result.Success(outcomes.ConfigAccepted(2))
                self.assertEqual(expected, found)
                self.assertEqual(peers, asked)

    def test_says_whether_a_failed_call_may_have_run(self):
        refused = ('not_leader', '')
        cases = (
            ([('bad_request', '')], 'bad_request', False),
            (['lose', ('bad_request', '')], 'bad_request', None),
            (['down', ('bad_request', '')], 'bad_request', None),
            ([('unknown', ''), ('bad_request', '')], 'bad_request', None),
            ([refused, ('bad_request', '')], 'bad_request', False),
            ([('overloaded', ''), ('last_voter', '')], 'last_voter', False),
        )
        for script, reason, executed in cases:
            with self.subTest(script=script):
                failure = self._propose(script)[0].failure()
                self.assertEqual(reason, failure.reason)
                self.assertIs(executed, failure.executed)
                self.assertEqual('ProposeCommand', failure.step)

    def test_gives_up_at_its_deadline(self):
        failure = self._propose(['lose'] * 9, 100)[0].failure()
        self.assertEqual('timeout', failure.reason)
        self.assertIsNone(failure.executed)

    def test_an_answer_to_an_earlier_process_is_not_taken(self):
        lnk = _FakeLink([])
        client = control_client.ControlClient(lnk, {'c1': None})
        stale = messages.CommandOutcome(1, ACCEPTED)
        event = link.Inbound('c1', 1, stale)
        self.assertFalse(curio.run(client.handle, event))
