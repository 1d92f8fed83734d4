"""Drives a control group from a test: patches, questions and waiting."""

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
    """Runs a coroutine in curio with a generous time limit."""
    return curio.run(
        curio.timeout_after, waiting.PATIENCE_S * 2, corofunc, *args
    )


class Operator:
    """An entry with a lease that also patches the configuration."""

    def __init__(self, group, name='e1'):
        self._address = control_groups.free_address()
        self.entry = entries.FakeEntry(name, self._address, group.addresses)
        self._numbers = itertools.count(1)
        self.name = name
        self.outcomes = {}

    async def __aenter__(self):
        await self.entry.start()
        return self

    async def __aexit__(self, *args):
        await self.entry.stop()

    # Calls

    async def ask(self, query):
        """Returns the result of a query, asked until it is answered."""
        return await waiting.wait_for(
            lambda: self._ask(query), type(query).__name__
        )

    async def _ask(self, query):
        found = await self.entry.client.ask(query, 2000)
        return found.unwrap() if isinstance(found, result.Success) else None

    async def status(self):
        """Returns the ``StatusView``."""
        return await self.ask(queries.GetStatus())

    async def admit(self):
        """Adds this entry to the configuration."""
        entry = {'address': str(self._address)}
        value = {'entries': {self.name: entry}}
        await self.patch(value, (await self.status()).config_version)

    async def is_held(self):
        """True while this entry holds a lease."""
        return self.entry.is_held()

    async def patch(self, value, base, patch_id=None):
        """Submits until there is an outcome; remembers and returns it."""
        patch_id = patch_id or f'{self.name}-{next(self._numbers)}'
        data = msgspec.json.encode(value)
        command = commands.PatchConfig(base, patch_id, data, self.name)

        async def submit():
            found = await self.entry.client.propose(command, 2000)
            if isinstance(found, result.Success):
                return found.unwrap()
            return None

        outcome = await waiting.wait_for(submit, f'outcome of {patch_id}')
        self.outcomes[patch_id] = (command, outcome)
        return outcome

    async def patch_many(self, count):
        """Adds ``count`` versions, each on the one before."""
        version = (await self.status()).config_version
        for number in range(count):
            value = {'teams': {'t': {'cpu_milli': number, 'memory_mib': 1}}}
            outcome = await self.patch(value, version)
            assert isinstance(outcome, outcomes.ConfigAccepted), outcome
            version = outcome.version
        return version

    async def change_member(self, change, name):
        """Changes the control replicas; returns the ``MembersView``."""
        views = []

        async def submit():
            message = messages.ChangeMember(0, change, name)
            found = await self.entry.client.call(message, 2000)
            if isinstance(found, result.Success):
                views.append(found.unwrap())
            return bool(views)

        await waiting.wait_for(submit, f'{change} {name}')
        return views[-1]

    async def members(self):
        """Returns the ``MembersView``, None without an answer."""
        found = await self.entry.client.call(messages.ShowMembers(0), 2000)
        return found.unwrap() if isinstance(found, result.Success) else None

    async def wait_for_status(self, condition, what):
        """Waits until the status meets a condition."""

        async def check():
            view = await self._ask(queries.GetStatus())
            return view if view and condition(view) else None

        return await waiting.wait_for(check, what)

    # Checks

    async def verify_outcomes(self, test):
        """Resends every patch; each has to have its first outcome still."""
        for command, first in list(self.outcomes.values()):
            again = await self.patch_again(command)
            test.assertIs(type(first), type(again))
            if isinstance(first, outcomes.ConfigAccepted):
                test.assertEqual(first.version, again.version)
                test.assertTrue(again.repeated)

    async def patch_again(self, command):
        """Resends a patch and returns the outcome."""

        async def submit():
            found = await self.entry.client.propose(command, 2000)
            if isinstance(found, result.Success):
                return found.unwrap()
            return None

        return await waiting.wait_for(submit, f'again {command.patch_id}')
