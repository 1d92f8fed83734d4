"""Tests of keyed requests that are sent again through another entry."""

import unittest
from unittest import mock

import curio
from returns import result

from fuchsiatrestle.control import _service
from fuchsiatrestle.entry import _claims
from fuchsiatrestle.entry import _exchange
from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import http
from fuchsiatrestle import routing
from fuchsiatrestle.routing import _admission
from fuchsiatrestle import settings
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from tests.fakes import entry_world
from tests.fakes import ports

SCENARIO_TIMEOUT_S = 60
# Longer than a resend needs to reach control.
FINISH_DELAY_S = 0.15


class _LateFinishClient:
    """Control client that records the end of claims late.

    Args:
        client: the client that it stands before.
    """

    def __init__(self, client):
        self._client = client

    async def propose(self, command, timeout_ms=1000):
        """Proposes a command, after a delay if it finishes claims."""
        if isinstance(command, commands.FinishClaims):
            await curio.sleep(FINISH_DELAY_S)
        return await self._client.propose(command, timeout_ms)


class _LimitedClient:
    """Control client that refuses too large commands, as control does.

    Attributes:
        recorded_keys: keys of the claims whose end was recorded.
    """

    def __init__(self):
        self.recorded_keys = []

    async def propose(self, command, timeout_ms=1000):
        """Accepts a command unless it is larger than control takes."""
        if len(commands.CODEC.encode(command)) > _service.MAX_COMMAND_BYTES:
            return result.Failure(
                control_client.CallFailure(
                    'bad_request', step='propose', peer='c1', executed=False
                )
            )
        self.recorded_keys += [claim.key for claim in command.claims]
        return result.Success(outcomes.Done())


class _TwoEntries:
    """Two entries with one upstream; the first one finishes claims late."""

    async def start(self):
        *entry_ports, upstream_port = ports.find_free_ports(3)
        control = entry_world.FakeControl(['e1', 'e2'])
        self.entries = [
            entry_world.EntryProcess(f'e{number}', port, control, number)
            for number, port in enumerate(entry_ports, start=1)
        ]
        claim_batcher = self.entries[0].caller_path.claim_batcher
        claim_batcher._client = _LateFinishClient(claim_batcher._client)
        self.upstream = entry_world.ScriptedUpstream(
            upstream_port, self.entries
        )
        for entry in self.entries:
            await entry.start()
        await self.upstream.start()
        while not all(self._has_slots(entry) for entry in self.entries):
            await curio.sleep(0.01)

    def _has_slots(self, entry):
        now_ms = entry_world.daemon.monotonic_ms()
        return any(
            status.allotted_slots
            for status in entry.router.core.upstream_statuses(now_ms)
        )

    async def post(self, entry_index, key):
        """Sends a keyed request that is not idempotent to an entry."""
        address = settings.Address(
            entry_world.HOST, self.entries[entry_index].port
        )
        client = http.Client(address, 5.0)
        headers = [(b'x-id', key.encode()), (b'idempotency-key', key.encode())]
        response = await client.call(
            'POST', f'/quotes/{key}', b'credit', headers
        )
        client.close()
        return response

    async def stop(self):
        for entry in self.entries:
            await entry.kill()
        await self.upstream.stop()


def _run_scenario(scenario):
    async def main():
        world = _TwoEntries()
        await world.start()
        try:
            return await scenario(world)
        finally:
            await world.stop()

    with entry_world.short_terms():
        return curio.run(curio.timeout_after, SCENARIO_TIMEOUT_S, main)


class ResendTest(unittest.TestCase):
    def test_a_resend_before_the_end_is_recorded_gets_the_answer(self):
        async def scenario(world):
            first_response = await world.post(0, 'credit')
            second_response = await world.post(1, 'credit')
            self.assertEqual(
                (200, 200), (first_response.status, second_response.status)
            )
            self.assertEqual(first_response.body, second_response.body)
            self.assertEqual(['credit'], world.upstream.executed_ids)

        _run_scenario(scenario)

    def test_a_resend_during_the_run_is_refused_in_the_end(self):
        async def scenario(world):
            gate = entry_world.Gate()
            world.upstream.gates['wait'] = gate
            first_call = await curio.spawn(world.post, 0, 'credit')
            while not gate.arrived_count:
                await curio.sleep(0.001)
            # Shorter than the progress timeout of the first call.
            with mock.patch.object(_admission, 'HELD_CLAIM_PAUSES_MS', (9,)):
                second_response = await world.post(1, 'credit')
            await gate.open()
            first_response = await first_call.join()
            self.assertEqual(
                (200, 409), (first_response.status, second_response.status)
            )
            self.assertIn(b'claim_held', second_response.body)
            third_response = await world.post(1, 'credit')
            self.assertEqual(first_response.body, third_response.body)
            self.assertEqual(['credit'], world.upstream.executed_ids)

        _run_scenario(scenario)


class FinishTest(unittest.TestCase):
    def test_ends_with_large_answers_are_recorded(self):
        keys = [f'k{number}' for number in range(_claims.MAX_BATCH_ITEMS)]
        client = _LimitedClient()

        async def main():
            batcher = _claims.ClaimBatcher('e1', 1, client)
            for key in keys:
                answer = bytes(_exchange.MAX_STORED_BODY_BYTES)
                await batcher.queue_finish(
                    routing.FinishClaim('quotes', key, 'done', 200, answer)
                )
            sender = await curio.spawn(batcher.send_finishes_forever)
            await batcher.flush_finishes()
            await sender.cancel()

        curio.run(main)
        self.assertEqual(keys, client.recorded_keys)


if __name__ == '__main__':
    unittest.main()
