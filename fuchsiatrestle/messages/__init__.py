"""Messages between the system's own processes.

Every message is a ``records.Record``, and ``CODEC`` encodes and decodes all
of them.  A link sends them in a ``Frame``, which carries one or several.
Commands, outcomes, queries and results travel as bytes, encoded by the codecs
of ``fuchsiatrestle.state``.

The control replicas of a cell replicate a log of commands.  The leader is the
replica that leads the current term, as in Raft.  A command is agreed once its
log entry is committed; the agreed state is the state after all committed
commands.  An incarnation is the number of one start of a process.

``call_id`` is chosen by the sender of a request and returned by its answer.
"""

from fuchsiatrestle.messages import _agreement
from fuchsiatrestle.messages import _announcements
from fuchsiatrestle.messages import _control
from fuchsiatrestle.messages import _frames
from fuchsiatrestle.messages import _routing
from fuchsiatrestle.messages import _workers
from fuchsiatrestle.messages._agreement import *
from fuchsiatrestle.messages._announcements import *
from fuchsiatrestle.messages._control import *
from fuchsiatrestle.messages._frames import *
from fuchsiatrestle.messages._routing import *
from fuchsiatrestle.messages._workers import *
from fuchsiatrestle import records

__all__ = (
    _agreement.__all__
    + _announcements.__all__
    + _control.__all__
    + _frames.__all__
    + _routing.__all__
    + _workers.__all__
    + ('CODEC',)
)

CODEC = records.Codec(
    *_agreement.RECORD_CLASSES,
    *_announcements.RECORD_CLASSES,
    *_control.RECORD_CLASSES,
    *_routing.RECORD_CLASSES,
    *_frames.RECORD_CLASSES,
)
