"""Replicated log of one cell: core, write-ahead log, snapshots, voters.

``Replica`` is the core without I/O; ``DataFolder`` keeps what it must not
forget.  The daemon around them runs one task that owns the replica::

    folder = DataFolder.open(path, name, nonce)
    replica = Replica(cell, folder.state, names, cfg, seed, now_ms)
    for effect in replica.step(event, now_ms):
        ...

and carries out the effects in order:

* ``Send``: hand the message to the link, peer by name;
* ``Write``, ``Restore``: queue for the storage thread, which passes all that
  wait to ``DataFolder.carry_out`` and reports ``Synced`` with its result; a
  ``Restore`` also replaces the state machine, at once and in order with
  ``Apply``;
* ``Apply``: apply the entries of kind ``command``;
* ``Accepted``, ``Rejected``, ``ReadReady``, ``RoleChanged``: answer callers.

To compact, take ``replica.make_snapshot(applied_index, data)``, have the
storage thread call ``DataFolder.save_snapshot`` with it, in order with the
writes asked for before, then step ``Compact``.  ``errors.StorageFailed`` and
``errors.InvariantBreach`` end the process.  On start the state machine begins
from ``folder.state.snapshot``; the entries behind it come again through
``Apply`` once committed.
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
