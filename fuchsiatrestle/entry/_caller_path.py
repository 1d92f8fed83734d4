"""The parts of an entry that a caller's request passes through."""

from fuchsiatrestle import daemon
from fuchsiatrestle.entry import _callers
from fuchsiatrestle.entry import _claims
from fuchsiatrestle.entry import _connections
from fuchsiatrestle.entry import _router
from fuchsiatrestle import routing

__all__ = ('CallerPath',)


class CallerPath:
    """Core, connections, claims and the handler of callers' requests.

    Args:
        entry: name of the entry.
        incarnation: incarnation of this process.
        send: called with the name of a peer and a message for it.
        client: the ``control_client.ControlClient`` that agrees claims.
        is_healthy: called without arguments for the balancer's check.
        policy: the core's ``Policy``, None for the usual one.

    Attributes:
        router: the ``Router``.
        pool: the ``Pool``.
        claims: the ``ClaimsDesk``.
        handler: the ``CallersHandler``.
    """

    def __init__(
        self, entry, incarnation, send, client, is_healthy, policy=None
    ):
        core = routing.Core(entry, incarnation, daemon.now_ms(), policy)
        self.pool = _connections.Pool()
        self.claims = _claims.ClaimsDesk(entry, incarnation, client)
        self.router = _router.Router(core, self.pool, send, self.claims)
        self.claims.router = self.router
        self.handler = _callers.CallersHandler(
            self.router, self.pool, is_healthy
        )

    @property
    def tasks(self):
        """Functions of the tasks that have to run."""
        return (
            self.router.tick_forever,
            self.claims.claim_forever,
            self.claims.finish_forever,
        )
