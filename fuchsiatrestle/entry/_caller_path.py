"""Builds the objects of an entry that a caller's request passes through."""

from fuchsiatrestle import daemon
from fuchsiatrestle.entry import _callers
from fuchsiatrestle.entry import _claims
from fuchsiatrestle.entry import _connections
from fuchsiatrestle.entry import _router
from fuchsiatrestle import routing

__all__ = ('CallerPath',)


class CallerPath:
    """Routing core, connection pool, claims and handler of callers' requests.

    The entry daemon, the benchmarks and the tests share it.

    Args:
        entry: name of the entry.
        incarnation: incarnation of this process.
        send_to_peer: function that is called with the name of another entry
            and a message; it queues the message and returns at once.
        client: the ``control_client.ControlClient`` that proposes claims.
        is_healthy: function without arguments that returns True while the load
            balancer should send callers to this entry.
        policy: the routing core's ``Policy`` for the choice of an upstream,
            None for the default.

    Attributes:
        router: the ``Router``, which owns the routing core.
        pool: the ``ConnectionPool`` of connections to upstreams.
        claim_batcher: the ``ClaimBatcher``.
        handler: the ``CallersHandler`` for the callers' listener.
    """

    def __init__(
        self, entry, incarnation, send_to_peer, client, is_healthy, policy=None
    ):
        core = routing.Core(entry, incarnation, daemon.monotonic_ms(), policy)
        self.pool = _connections.ConnectionPool()
        self.claim_batcher = _claims.ClaimBatcher(entry, incarnation, client)
        self.router = _router.Router(
            core, self.pool, send_to_peer, self.claim_batcher
        )
        self.claim_batcher.router = self.router
        self.handler = _callers.CallersHandler(
            self.router, self.pool, is_healthy
        )

    @property
    def task_functions(self):
        """Coroutine functions that run as tasks while the entry serves."""
        return (
            self.router.tick_forever,
            self.claim_batcher.send_claims_forever,
            self.claim_batcher.send_finishes_forever,
        )
