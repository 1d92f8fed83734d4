"""Replicated log of one cell, by the Raft algorithm.

A cell is a set of control replicas with the entries and workers that they
control.  Its replicas form one agreement group, in which each is a voter or a
learner.  A replica outside the group sends hellos, messages with its identity
and group, to take part in founding the group or to join it.

``Replica`` is the core without I/O; ``DataFolder`` stores its durable state.
The daemon runs one task that owns the replica::

    folder = DataFolder.open(path, name, identity_nonce)
    replica = Replica(cell, folder.state, initial_names, cfg, seed, now_ms)
    for effect in replica.step(event, now_ms):
        ...

and carries out the effects in order:

* ``SendToPeer``: pass the message to the link of the named peer;
* ``PersistChanges``, ``RestoreSnapshot``: queue them for the storage thread,
  which passes all queued ones to ``DataFolder.write_effects`` and reports
  ``WritesSynced`` with its result; a ``RestoreSnapshot`` also replaces the
  state machine, at once and in order with ``ApplyEntries``;
* ``ApplyEntries``: apply the entries of kind ``command``;
* ``ProposalAppended``, ``RequestRejected``, ``ReadReady``, ``RoleChanged``:
  answer callers.

To compact the log, call ``replica.make_snapshot(applied_index, data)``, let
the storage thread call ``DataFolder.save_snapshot`` with the result, after
the writes requested earlier, then step a ``CompactLog`` event.
``errors.StorageFailed`` and ``errors.InvariantBreach`` end the process.  On
start the state machine is restored from ``folder.state.snapshot``; later
entries are passed by ``ApplyEntries`` again once they are committed.
"""

from fuchsiatrestle.agreement import _events
from fuchsiatrestle.agreement import _files
from fuchsiatrestle.agreement import _folder
from fuchsiatrestle.agreement import _replica
from fuchsiatrestle.agreement import _settings
from fuchsiatrestle.agreement import _voters
from fuchsiatrestle.agreement._events import *
from fuchsiatrestle.agreement._files import *
from fuchsiatrestle.agreement._folder import *
from fuchsiatrestle.agreement._inspection import read_folder
from fuchsiatrestle.agreement._replica import *
from fuchsiatrestle.agreement._settings import *
from fuchsiatrestle.agreement._stored import FolderState
from fuchsiatrestle.agreement._voters import *

__all__ = (
    _events.__all__
    + _files.__all__
    + _folder.__all__
    + _replica.__all__
    + _settings.__all__
    + _voters.__all__
    + ('FolderState', 'read_folder')
)
