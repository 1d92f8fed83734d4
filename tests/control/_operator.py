"""Operator that patches and queries a control group from a test."""

import itertools

import curio
import msgspec
from returns import result

from fuchsiatrestle import messages
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from tests.fakes import control_groups
from tests.fakes import entries
from tests.fakes import waiting

__all__ = ('Operator', 'run')


def run(corofunc, *args):
    """Runs a coroutine function in curio; fails it after a long timeout."""
    return curio.run(
        curio.timeout_after, waiting.DEFAULT_TIMEOUT_S * 2, corofunc, *args
    )


class Operator:
    """An entry process that renews its lease and patches the configuration.

    Args:
        group: the ``ControlGroup``.
        name: name of the entry, also the author of its patches.

    Attributes:
        entry: the ``FakeEntry``.
        outcomes: (command, first outcome) of every patch, by patch id.
    """

    def __init__(self, group, name='e1'):
        self._address = control_groups.free_address()
        self.entry = entries.FakeEntry(name, self._address, group.addresses)
        self._patch_numbers = itertools.count(1)
        self.name = name
        self.outcomes = {}

    async def __aenter__(self):
        await self.entry.start()
        return self

    async def __aexit__(self, *args):
        await self.entry.stop()

    # Calls

    async def query(self, query):
        """Repeats a query until it succeeds and returns the result."""
        return await waiting.wait_for(
            lambda: self._query_once(query), type(query).__name__
        )

    async def _query_once(self, query):
        """Returns the result of a query, None for a failure."""
        call_result = await self.entry.client.query(query, 2000)
        return (
            call_result.unwrap()
            if isinstance(call_result, result.Success)
            else None
        )

    async def get_status(self):
        """Returns the ``StatusView``."""
        return await self.query(queries.GetStatus())

    async def add_to_configuration(self):
        """Adds this entry to the configuration."""
        entry = {'address': str(self._address)}
        patch = {'entries': {self.name: entry}}
        await self.submit_patch(
            patch, (await self.get_status()).config_version
        )

    async def has_lease(self):
        """True while this entry holds a lease."""
        return self.entry.is_held()

    async def submit_patch(self, patch, base_version, patch_id=None):
        """Sends a patch until there is an outcome, and records the outcome.

        Args:
            patch: JSON value of the merge patch.
            base_version: version that it builds on.
            patch_id: identifier of the patch, generated if None.

        Returns:
            The outcome record.
        """
        patch_id = patch_id or f'{self.name}-{next(self._patch_numbers)}'
        encoded_patch = msgspec.json.encode(patch)
        command = commands.PatchConfig(
            base_version, patch_id, encoded_patch, self.name
        )

        async def submit_once():
            call_result = await self.entry.client.propose(command, 2000)
            if isinstance(call_result, result.Success):
                return call_result.unwrap()
            return None

        outcome = await waiting.wait_for(submit_once, f'outcome of {patch_id}')
        self.outcomes[patch_id] = (command, outcome)
        return outcome

    async def submit_patches(self, count):
        """Adds ``count`` versions, each built on the one before.

        Returns:
            The number of the last version.
        """
        version = (await self.get_status()).config_version
        for number in range(count):
            patch = {'teams': {'t': {'cpu_milli': number, 'memory_mib': 1}}}
            outcome = await self.submit_patch(patch, version)
            assert isinstance(outcome, outcomes.ConfigAccepted), outcome
            version = outcome.version
        return version

    async def change_member(self, change, name):
        """Adds or removes a control replica; returns the ``MembersView``.

        Args:
            change: ``add`` or ``remove``.
            name: name of the control replica.
        """
        views = []

        async def submit_once():
            message = messages.ChangeMember(0, change, name)
            call_result = await self.entry.client.call(message, 2000)
            if isinstance(call_result, result.Success):
                views.append(call_result.unwrap())
            return bool(views)

        await waiting.wait_for(submit_once, f'{change} {name}')
        return views[-1]

    async def get_members(self):
        """Returns the ``MembersView``, None for a failure."""
        call_result = await self.entry.client.call(
            messages.ShowMembers(0), 2000
        )
        return (
            call_result.unwrap()
            if isinstance(call_result, result.Success)
            else None
        )

    async def wait_for_status(self, condition, description):
        """Waits until the status meets a condition; returns the status.

        Args:
            condition: function of the ``StatusView``.
            description: what is waited for, for the error message.
        """

        async def find_matching_view():
            view = await self._query_once(queries.GetStatus())
            return view if view and condition(view) else None

        return await waiting.wait_for(find_matching_view, description)

    # Checks

    async def verify_outcomes(self, test):
        """Resends every patch and checks that its outcome is the first one.

        Args:
            test: the ``unittest.TestCase``.
        """
        for command, first_outcome in list(self.outcomes.values()):
            repeated_outcome = await self.resend_patch(command)
            test.assertIs(type(first_outcome), type(repeated_outcome))
            if isinstance(first_outcome, outcomes.ConfigAccepted):
                test.assertEqual(
                    first_outcome.version, repeated_outcome.version
                )
                test.assertTrue(repeated_outcome.repeated)

    async def resend_patch(self, command):
        """Sends a patch again until there is an outcome; returns it."""

        async def submit_once():
            call_result = await self.entry.client.propose(command, 2000)
            if isinstance(call_result, result.Success):
                return call_result.unwrap()
            return None

        return await waiting.wait_for(
            submit_once, f'outcome of resent {command.patch_id}'
        )
