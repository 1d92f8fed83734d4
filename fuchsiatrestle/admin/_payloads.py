"""JSON bodies of the administration API.

Request bodies refuse unknown fields, so that a misspelt one is reported
instead of ignored.  ``docs/ADMIN-API.md`` shows names, fields and the first
line of the docstring of each request body.
"""

import typing

import msgspec

from fuchsiatrestle import messages
from fuchsiatrestle.state import commands

__all__ = (
    'CancelBody',
    'DrainBody',
    'EntryStatus',
    'JobBody',
    'MemberBody',
    'ResolveBody',
    'SizeBody',
    'SubmitBody',
    'UpstreamView',
)

MAX_JOBS_PER_CALL = 1000
MAX_PRIORITY = 9
MAX_AMOUNT = 10**9
MAX_EPOCH_MS = 10**14
MAX_COMMAND_CHARS = 4096

_NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$'

Name = typing.Annotated[str, msgspec.Meta(pattern=_NAME_PATTERN)]
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_PRIORITY)]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH_MS)]
SubmittedMs = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_EPOCH_MS)]
CommandText = typing.Annotated[str, msgspec.Meta(max_length=MAX_COMMAND_CHARS)]
_JobCountPerCall = msgspec.Meta(min_length=1, max_length=MAX_JOBS_PER_CALL)


# Requests


class _Body(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of request bodies."""


class SizeBody(_Body):
    """Reservation of a job in every dimension of a worker.

    Attributes:
        cpu_milli: processor time, in thousandths of a CPU core.
        memory_mib: memory, in MiB.
        accelerators: whole accelerators.
    """

    cpu_milli: Amount
    memory_mib: Amount
    accelerators: Amount = 0

    def to_record(self):
        """Returns the ``messages.Resources``."""
        return messages.Resources(
            self.cpu_milli, self.memory_mib, self.accelerators
        )


class JobBody(_Body):
    """A batch job as submitted, see ``commands.JobSpec``.

    ``submitted_ms`` is set once by the submitter and kept on a resend.  The
    state of control holds a limited number of ended jobs.  It refuses a job
    whose ``submitted_ms`` is not later than that of an ended job which it has
    dropped, as the submitted job may be that one and may have run.
    """

    job_id: Name
    team: Name
    size: SizeBody
    submitted_ms: SubmittedMs
    job_class: Name = 'default'
    priority: Priority = 5
    idempotent: bool = True
    deadline_ms: Milliseconds = 0
    run_ms: Milliseconds = 0
    command: CommandText = ''
    urgent: bool = False
    data_centre: str = ''

    def to_record(self):
        """Returns the ``commands.JobSpec``."""
        job_fields = msgspec.structs.asdict(self)
        job_fields['size'] = self.size.to_record()
        return commands.JobSpec(**job_fields)


class SubmitBody(_Body):
    """Jobs to accept, each with its own outcome."""

    jobs: typing.Annotated[list[JobBody], _JobCountPerCall]
    author: str = ''


class CancelBody(_Body):
    """Jobs to cancel with one command."""

    job_ids: typing.Annotated[list[Name], _JobCountPerCall]
    author: str = ''


class ResolveBody(_Body):
    """Parked jobs to end or to queue again, as an operator decided.

    Attributes:
        resolution: state that the jobs get: ``done``, ``failed`` or
            ``queued``, which runs them again; a job that is not idempotent
            and may have run is never queued again.
    """

    job_ids: typing.Annotated[list[Name], _JobCountPerCall]
    resolution: typing.Literal['done', 'failed', 'queued']
    author: str = ''


class MemberBody(_Body):
    """Adds or removes one control replica.

    Attributes:
        change: ``add`` or ``remove``.
        name: name of the control replica.
        address: ``IP:port`` of its link listener, for ``add``.
    """

    change: typing.Literal['add', 'remove']
    name: Name
    address: str = ''


class DrainBody(_Body):
    """Names the entry to stop, so that a load-balanced call stops no other.

    A load balancer may pass the call to any entry; one that is not the named
    entry refuses it.
    """

    entry: Name


# Answers about the entry itself


class EntryStatus(msgspec.Struct, frozen=True):
    """The answering entry.

    Attributes:
        entry: its name.
        data_centre: its data centre.
        incarnation: number drawn when the process started.
        version: configuration version that it has in force, 0 for none.
        lease_ms: time left of its configuration lease, in milliseconds; 0
            without one.
        ready: True if the load balancer's health check passes.
        draining: True once a graceful stop has begun.
        in_flight: number of requests sent to upstreams and not yet answered.
        queued: number of requests waiting for a slot.
    """

    entry: str
    data_centre: str
    incarnation: int
    version: int
    lease_ms: int
    ready: bool
    draining: bool
    in_flight: int = 0
    queued: int = 0


class UpstreamView(msgspec.Struct, frozen=True):
    """One upstream as the answering entry sees it.

    Attributes:
        service: name of its service.
        address: its ``IP:port``.
        data_centre: its data centre.
        state: ``ready`` or ``leaving`` as announced, ``silent`` if the newest
            announcement is too old to be used, or ``shunned`` while it is
            excluded after failures or slow answers.
        slots: number of slots that the upstream announced.
        share: number of slots that this entry may use now, borrowed ones
            included.
        in_flight: number of slots that this entry uses now.
        age_ms: time in milliseconds since any entry last heard from the
            upstream.
    """

    service: str
    address: str
    data_centre: str
    state: str
    slots: int
    share: int
    in_flight: int
    age_ms: int
