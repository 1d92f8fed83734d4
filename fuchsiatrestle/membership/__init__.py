"""Configuration leases: which entries may serve, and under which version.

``ConfigLeaseHolder`` runs in an entry, ``ConfigLeaseGranter`` in the leader
of the control replicas.  Both are ``core.Core`` state machines without I/O.

A configuration version is agreed once the command that makes it is committed
in the log of the control replicas and applied.  It is in force at an entry
while the entry serves under it.  A term is the numbered period of one leader,
as in Raft.

Guarantees:

- an entry serves only while it holds a lease, and only under the
  configuration version that its holder has in force;
- when the granter reports that a version is in force everywhere, no entry
  serves under an older one;
- at most one process of an entry holds a lease at a time.
"""

from fuchsiatrestle.membership import _events
from fuchsiatrestle.membership._events import *
from fuchsiatrestle.membership import _granter
from fuchsiatrestle.membership._granter import *
from fuchsiatrestle.membership import _holder
from fuchsiatrestle.membership._holder import *

__all__ = _events.__all__ + _granter.__all__ + _holder.__all__
