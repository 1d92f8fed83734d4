"""Tests of finding the leader, retrying and failing calls to control."""

import unittest

import curio
from returns import result

from fuchsiatrestle import messages
from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import link
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes

COMMAND = commands.PatchConfig(1, 'p', b'{}')
ENCODED_OUTCOME = outcomes.CODEC.encode(outcomes.ConfigAccepted(2))


class _FakeLink:
    """A link that answers each message sent with the next reply of a script.

    A reply is ``'accept'``, ``'lose'`` (no answer), ``'down'`` (the stream
    breaks) or the (reason, leader) pair of a refusal.
    """

    incarnation = 5
    name = 'e1'

    def __init__(self, script):
        self._script = list(script)
        self.client = None
        self.sent_messages = []
        self.connected_peers = set()

    def connect(self, peer, address):
        """Records the peer."""
        self.connected_peers.add(peer)

    def disconnect(self, peer):
        """Forgets the peer."""
        self.connected_peers.discard(peer)

    def send(self, peer, message):
        """Records the message, to be answered by ``answer_messages``."""
        self.sent_messages.append((peer, message))
        self._unanswered = (peer, message, self._script.pop(0))

    async def answer_messages(self):
        """Delivers replies until cancelled; runs in a task of its own."""
        while True:
            await curio.sleep(0.001)
            unanswered, self._unanswered = (
                getattr(self, '_unanswered', None),
                None,
            )
            if unanswered:
                await self._deliver(*unanswered)

    async def _deliver(self, peer, message, reply):
        call_id = message.call_id
        if reply == 'accept':
            outcome = messages.CommandOutcome(call_id, ENCODED_OUTCOME)
        elif reply == 'lose':
            return
        elif reply == 'down':
            await self.client.handle_event(link.PeerDown(peer))
            return
        else:
            outcome = messages.ControlRefused(call_id, *reply)
        await self.client.handle_event(link.ReceivedMessage(peer, 1, outcome))


async def _propose(script, timeout_ms):
    fake_link = _FakeLink(script)
    replicas = dict.fromkeys(('c1', 'c2', 'c3'))
    fake_link.client = control_client.ControlClient(fake_link, replicas)
    task = await curio.spawn(fake_link.answer_messages)
    outcome = await fake_link.client.propose(COMMAND, timeout_ms)
    await task.cancel()
    return outcome, [peer for peer, _ in fake_link.sent_messages]


async def _propose_to_unlisted_leader():
    """Proposes while the leader is unlisted but has a stream already.

    The stream came up before the client learned that the peer is a replica,
    so no further ``PeerUp`` reports it.
    """
    fake_link = _FakeLink([('not_leader', 'c9'), 'accept'])
    client = control_client.ControlClient(fake_link, {'c1': 'a1'}, str.upper)
    fake_link.client = client
    await client.handle_event(link.PeerUp('c9'))
    await client.handle_event(link.PeerUp('c1'))
    task = await curio.spawn(fake_link.answer_messages)
    outcome = await client.propose(COMMAND, 2000)
    await task.cancel()
    return outcome, [peer for peer, _ in fake_link.sent_messages]


class ControlClientTest(unittest.TestCase):
    def test_learns_a_leader_whose_stream_is_up_already(self):
        outcome, called_peers = curio.run(_propose_to_unlisted_leader)
        self.assertIsInstance(outcome, result.Success)
        self.assertEqual(['c1', 'c9'], called_peers)

    def _propose(self, script, timeout_ms=20000):
        return curio.run(curio.timeout_after, 60, _propose, script, timeout_ms)

    def test_each_attempt_tells_the_age_of_the_request(self):
        """An older copy must not seem newer, as its first attempt failed."""

        async def propose_held_back():
            fake_link = _FakeLink(['down', 'accept'])
            client = control_client.ControlClient(
                fake_link, dict.fromkeys(('c1', 'c2'))
            )
            fake_link.client = client
            task = await curio.spawn(fake_link.answer_messages)
            await client.propose(COMMAND, 2000, 700)
            await task.cancel()
            return [message.age_ms for _, message in fake_link.sent_messages]

        first_age_ms, second_age_ms = curio.run(propose_held_back)
        self.assertGreaterEqual(first_age_ms, 700)
        self.assertGreaterEqual(
            second_age_ms, first_age_ms + control_client.RETRY_DELAY_MS
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
        for script, expected_peers in cases:
            with self.subTest(script=script):
                outcome, called_peers = self._propose(script)
                expected = result.Success(outcomes.ConfigAccepted(2))
                self.assertEqual(expected, outcome)
                self.assertEqual(expected_peers, called_peers)

    def test_failure_tells_whether_the_call_may_have_run(self):
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

    def test_fails_with_timeout_at_its_deadline(self):
        failure = self._propose(['lose'] * 9, 100)[0].failure()
        self.assertEqual('timeout', failure.reason)
        self.assertIsNone(failure.executed)

    # Members of the group

    def _make_client(self, replicas):
        fake_link = _FakeLink([])
        client = control_client.ControlClient(fake_link, replicas, str.upper)
        client.connect()
        for name in replicas:
            curio.run(client.handle_event, link.PeerUp(name))
        return fake_link, client

    def _receive(self, client, peer, message):
        event = link.ReceivedMessage(peer, 1, message)
        self.assertFalse(curio.run(client.handle_event, event))

    def test_uses_the_members_that_a_replica_names(self):
        fake_link, client = self._make_client({'c1': 'C1', 'c2': 'C2'})
        self._receive(client, 'c2', messages.MemberList(7, ['c2', 'c3']))
        self.assertEqual({'c2', 'c3'}, fake_link.connected_peers)
        self.assertEqual('c2', client.target_replica)

    def test_older_list_of_a_removed_replica_brings_nobody_back(self):
        fake_link, client = self._make_client({'c1': 'C1', 'c2': 'C2'})
        self._receive(client, 'c2', messages.MemberList(7, ['c2', 'c3']))
        self._receive(client, 'c2', messages.MemberList(6, ['c1', 'c2']))
        self._receive(client, 'c9', messages.MemberList(9, ['c9']))
        self.assertEqual({'c2', 'c3'}, fake_link.connected_peers)

    def test_dials_the_seeds_again_once_no_member_is_reached(self):
        fake_link, client = self._make_client({'c1': 'C1', 'c2': 'C2'})
        self._receive(client, 'c2', messages.MemberList(7, ['c2']))
        curio.run(client.handle_event, link.PeerDown('c2'))
        self.assertEqual({'c1', 'c2'}, fake_link.connected_peers)

    def test_dials_new_seeds_while_it_knows_no_member(self):
        fake_link, client = self._make_client({'c1': 'C1'})
        client.set_initial_replicas({'c5': 'C5'})
        self.assertEqual({'c1', 'c5'}, fake_link.connected_peers)

    def test_call_to_a_replica_that_is_removed_goes_to_another_at_once(self):
        async def propose():
            fake_link = _FakeLink(['lose', 'accept'])
            fake_link.client = client = control_client.ControlClient(
                fake_link, {'c1': 'C1', 'c2': 'C2'}, str.upper
            )
            for name in ('c1', 'c2'):
                await client.handle_event(link.PeerUp(name))
            task = await curio.spawn(fake_link.answer_messages)
            call = await curio.spawn(client.propose, COMMAND, 900)
            await curio.sleep(0.01)
            client.update_members(7, ['c2'])
            await client.handle_event(link.PeerDown('c1'))
            outcome = await call.join()
            await task.cancel()
            return outcome

        self.assertIsInstance(curio.run(propose), result.Success)

    def test_ignores_an_answer_to_an_earlier_process(self):
        fake_link = _FakeLink([])
        client = control_client.ControlClient(fake_link, {'c1': None})
        stale_answer = messages.CommandOutcome(1, ENCODED_OUTCOME)
        event = link.ReceivedMessage('c1', 1, stale_answer)
        self.assertFalse(curio.run(client.handle_event, event))
