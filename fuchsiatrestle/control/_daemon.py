"""The control daemon: opens data folder and listener, runs the tasks."""

import os

import curio

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _events
from fuchsiatrestle.control import _orders
from fuchsiatrestle.control import _refusals
from fuchsiatrestle.control import _replica_task
from fuchsiatrestle.control import _service
from fuchsiatrestle.control import _storage
from fuchsiatrestle import daemon
from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import link
from fuchsiatrestle.net import tls
from fuchsiatrestle import settings
from fuchsiatrestle import workflows

__all__ = ('ControlDaemon',)

REPLICA_TICK_INTERVAL_S = 0.05
STATE_TICK_INTERVAL_S = 0.1
# The longest time that a stop waits for another replica to take over.
LEADERSHIP_TRANSFER_TIMEOUT_S = 3.0
# Time before the link is closed, for messages in its send queues to leave.
SEND_DRAIN_S = 0.2
# Limits of the events that wait for the state task, and of the commands in
# them; further calls are refused as overloaded.
MAX_STATE_BACKLOG_EVENTS = 10000
MAX_STATE_BACKLOG_BYTES = 16 * 1024 * 1024

# Calls that the service answers; each carries a ``call_id``.
_CALL_MESSAGES = (
    messages.ProposeCommand,
    messages.AskQuery,
    messages.RenewConfigLease,
    messages.ReleaseConfigLease,
    messages.ReportBatch,
    messages.ChangeMember,
    messages.ShowMembers,
    messages.AnnounceWorker,
    messages.WithdrawWorker,
)

# Messages for the ``ControlClient`` of this process, most of them answers.
_CLIENT_MESSAGES = (
    messages.CommandOutcome,
    messages.ControlRefused,
    messages.MemberList,
    messages.MembersView,
    messages.Noted,
    messages.QueryAnswer,
)

_REPLICA_MESSAGES = (
    messages.AppendReply,
    messages.AppendRequest,
    messages.Hello,
    messages.InstallReply,
    messages.InstallRequest,
    messages.MemberRemoved,
    messages.StopNotice,
    messages.TimeoutNow,
    messages.VoteReply,
    messages.VoteRequest,
)

REFUSED_MISDIRECTED = metrics.declare(
    'refused.call_misdirected', 'Messages that are not meant for control.'
)
REFUSED_WITHOUT_DRIVER = metrics.declare(
    'refused.order_undriven', 'Orders for workers that nothing carries out.'
)

LOG = logs.get_logger(__name__)


class ControlDaemon(daemon.Daemon):
    """One control replica.

    Args:
        cfg: checked ``settings.Settings``.
        files: ``agreement.Files`` that accesses the data folder; None for the
            file system.
        driver: ``workflows.Driver`` that carries orders to the workers; None
            for a replica that drives no workers.

    Attributes:
        client: ``ControlClient`` for code in the same process that calls the
            leader, which may be this replica or another one.

    Raises:
        errors.SettingsInvalid: ``peers`` lacks the name of this replica, and
            ``open_membership`` is off.
    """

    def __init__(self, cfg, files=None, driver=None):
        self._cfg = cfg
        self._files = files
        self._driver = driver
        self._open_membership = cfg.get('control', 'open_membership')
        self._name = cfg.get('control', 'name')
        self._peer_addresses = cfg.get('control', 'peers')
        # The queue itself is unbounded.  ``_route_message`` refuses calls
        # while it holds ``MAX_STATE_BACKLOG_EVENTS`` events.  All other
        # events are put without this check; what the replica task adds is
        # bounded by its limit on uncommitted entries instead.
        self._state_inbox = curio.Queue()
        # Size of the commands in the calls that the queue holds.
        self._state_backlog_bytes = 0
        # None until ``start``.
        self._replica_task = None
        # The newest committed ``messages.MemberList``.
        self._member_list = None
        # ``errors.IdentityReplaced`` once the group has replaced the replica.
        self._replacement_error = None
        self._check_name_in_peers()
        self._link = link.Link(
            self._name,
            daemon.new_incarnation(),
            cfg.get('control', 'link'),
            tls.load_tls_files(cfg),
        )
        self.client = control_client.ControlClient(
            self._link,
            {**self._peer_addresses, self._name: cfg.get('control', 'link')},
            settings.Address.parse if self._open_membership else None,
        )

    def _check_name_in_peers(self):
        if (
            self._name not in self._peer_addresses
            and not self._open_membership
        ):
            raise daemon.make_setting_error(
                self._cfg, 'control', 'name', 'not listed in peers'
            )

    def reload(self, cfg):
        """Takes over ``peers`` if the membership is open."""
        if self._open_membership:
            self.set_initial_replicas(cfg.get('control', 'peers'))

    def set_initial_replicas(self, replica_addresses):
        """Replaces the replicas to which a newcomer turns to join.

        Args:
            replica_addresses: ``settings.Address`` of each, by name.
        """
        self.client.set_initial_replicas(replica_addresses)
        if self._replica_task is not None:
            self._replica_task.inbox.put(
                agreement.SetInitialMembers(list(replica_addresses))
            )

    # Start

    async def start(self):
        """Opens the data folder and the link listener, starts the storage.

        Raises:
            errors.SettingsInvalid: the data folder or the link address can
                not be used.
            errors.DataDamaged: the data folder holds a damaged record.
        """
        folder = self._open_folder()
        try:
            await self._link.start()
        except errors.Error as exc:
            folder.close()
            raise daemon.make_setting_error(
                self._cfg, 'control', 'link', exc.reason
            ) from exc
        self._build_tasks(folder)
        self.client.connect()
        if self._driver is not None:
            await self._driver.start(self._put_worker_answer)

    def _open_folder(self):
        path = self._cfg.get('control', 'data_folder')
        nonce = int.from_bytes(os.urandom(8), 'big')
        try:
            return agreement.DataFolder.open(
                path,
                self._name,
                nonce,
                self._files,
                self._cfg.get('control', 'may_found'),
            )
        except errors.StorageFailed as exc:
            raise daemon.make_setting_error(
                self._cfg, 'control', 'data_folder', exc.reason
            ) from exc

    def _build_tasks(self, folder):
        state = folder.state
        self._service = _service.Service(
            self._name,
            self._cfg.get('control', 'snapshot_entries'),
            state.snapshot,
            self._make_worker_timing(),
            self._make_workflow_features(),
            log_bytes=self._cfg.get('state', 'log_bytes'),
            large_workflow_bytes=self._cfg.get(
                'state', 'large_workflow_bytes'
            ),
            small_workflow_bytes=self._cfg.get(
                'state', 'small_workflow_bytes'
            ),
        )
        replica = agreement.Replica(
            self._cfg.get('control', 'cell'),
            state,
            list(self._peer_addresses),
            self._make_replica_config(),
            int.from_bytes(os.urandom(8), 'big'),
            daemon.monotonic_ms(),
        )
        self._replica_task = _replica_task.ReplicaTask(
            replica, self._link, self._state_inbox, self._connect_members
        )
        self._order_task = _orders.OrderTask(
            self._replica_task.leadership, self._driver
        )
        self._storage = _storage.StorageThread(
            folder, self._replica_task.inbox.put
        )
        self._replica_task.attach_storage(self._storage)
        self._storage.start()
        LOG.info(
            'folder_opened',
            extra={
                'identity': state.identity,
                'term': state.hard_state.term,
                'entries': len(state.entries),
            },
        )

    def _make_replica_config(self):
        return agreement.ReplicaConfig(
            heartbeat_ms=self._cfg.get('timing', 'heartbeat_ms'),
            election_min_ms=self._cfg.get('timing', 'election_min_ms'),
            election_max_ms=self._cfg.get('timing', 'election_max_ms'),
            auto_admit_unlisted=self._open_membership,
            replaced_voter_ms=self._cfg.get('timing', 'replaced_voter_ms'),
            lost_voter_ms=self._cfg.get('timing', 'lost_voter_ms'),
            tolerated_losses=self._cfg.get('control', 'tolerated_losses'),
            max_kept_bytes=self._cfg.get('state', 'log_bytes') // 2,
        )

    def _make_worker_timing(self):
        return workflows.Timing(
            **{
                key: self._cfg.get('workers', key)
                for key in (
                    'lease_ms',
                    'longest_lease_ms',
                    'announce_ms',
                )
            }
        )

    def _make_workflow_features(self):
        return workflows.Features(
            evacuation_ms=self._cfg.get('workflows', 'evacuation_ms'),
            data_centres=self._cfg.get('control', 'data_centres'),
            refuses_overload=self._cfg.get('workflows', 'refuse_overload'),
            learns_run_times=self._cfg.get('workflows', 'learn_run_times'),
            copies_stragglers=self._cfg.get('workflows', 'copy_stragglers'),
            balances_sizes=self._cfg.get('workflows', 'balance_sizes'),
        )

    def _connect_members(self, index, names):
        """Has the link keep a stream to each named member of the group.

        Streams to replicas that are no members any more are given up, and
        the processes that call this replica are told, once this is committed.

        Args:
            index: log index of the change, None while it is not committed.
            names: names of all members.
        """
        for name in names:
            self.client.add_replica(name)
        if index is None or not names or not self._open_membership:
            return
        self._member_list = messages.MemberList(index, names)
        self.client.update_members(index, names)
        for peer in self.client.connected_peers.difference(names):
            self._link.send(peer, self._member_list)

    def _send_member_list(self, peer):
        if self._member_list is not None:
            self._link.send(peer, self._member_list)

    # Work

    async def serve(self, stop_requested):
        """Runs the tasks until a stop is requested or one of them fails.

        A leader hands leadership to another replica before it stops.

        Args:
            stop_requested: ``curio.Event``.

        Raises:
            errors.StorageFailed: the data folder failed.
            errors.IdentityReplaced: the group goes on without the identity of
                this replica.
        """
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(self._receive_messages)
                await tasks.spawn(self._replica_task.run)
                await tasks.spawn(self._run_state_task)
                await tasks.spawn(self._order_task.run)
                await tasks.spawn(self._tick_replica)
                await tasks.spawn(self._tick_state)
                await tasks.spawn(self._stop_gracefully, stop_requested)
            if tasks.exception:
                raise tasks.exception
            if self._replacement_error and not stop_requested.is_set():
                raise self._replacement_error
        finally:
            if self._driver is not None:
                await self._driver.stop()
            await curio.run_in_thread(self._storage.stop)
            await self._link.stop()

    async def _receive_messages(self):
        while True:
            event = await self._link.receive()
            if isinstance(event, link.ReceivedMessage):
                if not isinstance(event.message, _CLIENT_MESSAGES):
                    await self._route_message(event.peer, event.message)
                    continue
            elif isinstance(event, link.PeerUp):
                self._send_member_list(event.peer)
            await self.client.handle_event(event)

    async def _route_message(self, peer, message):
        if isinstance(message, _REPLICA_MESSAGES):
            event = agreement.MessageReceived(peer, message)
            self._replica_task.inbox.put(event)
        elif not isinstance(message, _CALL_MESSAGES):
            metrics.count(REFUSED_MISDIRECTED)
        elif (
            self._state_inbox.qsize() >= MAX_STATE_BACKLOG_EVENTS
            or self._state_backlog_bytes >= MAX_STATE_BACKLOG_BYTES
        ):
            _refusals.count_refusal('overloaded')
            refusal = messages.ControlRefused(
                message.call_id, 'overloaded', ''
            )
            self._link.send(peer, refusal)
        else:
            self._state_backlog_bytes += _count_command_bytes(message)
            await self._state_inbox.put(_events.Call(peer, message))

    async def _run_state_task(self):
        """Passes events to the service and carries out its effects.

        Returns once the group has replaced this replica.

        Raises:
            errors.Error: the data folder failed.
        """
        while True:
            event = await self._state_inbox.get()
            if isinstance(event, _events.Call):
                self._state_backlog_bytes -= _count_command_bytes(
                    event.message
                )
            for effect in self._service.step(event, daemon.monotonic_ms()):
                await self._carry_out_effect(effect)
            if isinstance(event, _events.DataFolderFailed):
                # Gives the link time to send the refusals before the process
                # ends.
                await curio.sleep(SEND_DRAIN_S)
                if isinstance(event.error, errors.IdentityReplaced):
                    self._replacement_error = event.error
                    return
                raise event.error

    async def _carry_out_effect(self, effect):
        if isinstance(effect, _events.SendToPeer):
            self._link.send(effect.peer, effect.message)
        elif isinstance(effect, _events.SendToReplica):
            self._replica_task.inbox.put(effect.event)
        elif isinstance(effect, _events.OrderWorker):
            await self._send_order(effect.order)
        elif isinstance(effect, _events.ConnectPeer):
            address = settings.Address.parse(effect.address)
            self._link.connect(effect.name, address)

    async def _put_worker_answer(self, answer):
        await self._state_inbox.put(_events.WorkerAnswered(answer))

    async def _send_order(self, order):
        if self._driver is None:
            metrics.count(REFUSED_WITHOUT_DRIVER)
            LOG.error('order_without_driver', extra={'worker': order.worker})
            return
        await self._order_task.send(order)

    async def _tick_replica(self):
        while True:
            await curio.sleep(REPLICA_TICK_INTERVAL_S)
            self._replica_task.inbox.put(agreement.Tick())

    async def _tick_state(self):
        while True:
            await curio.sleep(STATE_TICK_INTERVAL_S)
            if self._service.is_leading:
                tick = _events.Tick(daemon.epoch_ms())
                await self._state_inbox.put(tick)

    # Stop

    async def _stop_gracefully(self, stop_requested):
        await stop_requested.wait()
        self._replica_task.inbox.put(agreement.PrepareStop())
        if self._replica_task.role == 'leader':
            async with curio.ignore_after(LEADERSHIP_TRANSFER_TIMEOUT_S):
                while self._replica_task.role == 'leader':
                    await curio.sleep(REPLICA_TICK_INTERVAL_S)
        await curio.sleep(SEND_DRAIN_S)


def _count_command_bytes(message):
    """Returns the size of the command that a call carries, in bytes."""
    if isinstance(message, messages.ProposeCommand):
        return len(message.command)
    return 0
