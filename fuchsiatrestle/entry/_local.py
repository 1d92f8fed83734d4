"""The entry's own view of itself, for the administration API."""

from fuchsiatrestle import admin
from fuchsiatrestle import daemon

__all__ = ('LocalView',)


class LocalView(admin.Local):
    """What this entry knows of itself and of the upstreams.

    Args:
        entry: the ``_daemon.EntryDaemon``.
    """

    def __init__(self, entry):
        self._entry = entry

    def status(self):
        """Returns the ``admin.EntryStatus``."""
        entry = self._entry
        core = entry.router.core
        now_ms = daemon.now_ms()
        return admin.EntryStatus(
            entry=entry.name,
            data_centre=entry.data_centre,
            incarnation=entry.incarnation,
            version=core.configuration.version,
            lease_ms=int(entry.holder.remaining_ms(now_ms)),
            ready=entry.is_healthy(),
            draining=entry.draining,
            in_flight=core.in_flight,
            queued=core.queued,
        )

    def upstreams(self):
        """Returns a list of ``admin.UpstreamView``."""
        core = self._entry.router.core
        return [
            admin.UpstreamView(
                service=status.announcement.service,
                address=status.announcement.address,
                data_centre=status.announcement.data_centre,
                state=status.state,
                slots=status.announcement.slots,
                share=status.share,
                in_flight=status.in_use,
                age_ms=int(status.age_ms),
            )
            for status in core.upstream_statuses(daemon.now_ms())
        ]

    async def drain(self):
        """Starts the graceful stop."""
        await self._entry.request_stop()
