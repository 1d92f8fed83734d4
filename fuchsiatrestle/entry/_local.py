"""Connects the administration API with the entry that serves it."""

from fuchsiatrestle import admin
from fuchsiatrestle import daemon

__all__ = ('LocalEntryAdapter',)


class LocalEntryAdapter(admin.LocalEntry):
    """Implements ``admin.LocalEntry`` for an entry daemon.

    Args:
        entry_daemon: the ``_daemon.EntryDaemon``.
    """

    def __init__(self, entry_daemon):
        self._entry_daemon = entry_daemon

    def get_status(self):
        """Returns the ``admin.EntryStatus`` of this moment."""
        entry_daemon = self._entry_daemon
        core = entry_daemon.router.core
        now_ms = daemon.monotonic_ms()
        return admin.EntryStatus(
            entry=entry_daemon.name,
            data_centre=entry_daemon.data_centre,
            incarnation=entry_daemon.incarnation,
            version=core.configuration.version,
            lease_ms=int(entry_daemon.lease_holder.remaining_ms(now_ms)),
            ready=entry_daemon.is_healthy(),
            draining=entry_daemon.is_draining,
            in_flight=core.in_flight_count,
            queued=core.queued_count,
        )

    def list_upstreams(self):
        """Returns a list of ``admin.UpstreamView``, one for each upstream."""
        core = self._entry_daemon.router.core
        return [
            admin.UpstreamView(
                service=status.announcement.service,
                address=status.announcement.address,
                data_centre=status.announcement.data_centre,
                state=status.state,
                slots=status.announcement.slots,
                share=status.allotted_slots,
                in_flight=status.used_slots,
                age_ms=int(status.age_ms),
            )
            for status in core.upstream_statuses(daemon.monotonic_ms())
        ]

    async def drain(self):
        """Starts the graceful stop of this entry and returns at once."""
        await self._entry_daemon.request_stop()
