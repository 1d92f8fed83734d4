"""Commands: the records that change the agreed state when applied.

``CODEC`` encodes and decodes the commands in log entries.
"""

from fuchsiatrestle import records
from fuchsiatrestle.state.commands import _claims
from fuchsiatrestle.state.commands import _config
from fuchsiatrestle.state.commands import _evacuations
from fuchsiatrestle.state.commands import _jobs
from fuchsiatrestle.state.commands import _starts
from fuchsiatrestle.state.commands import _workflows
from fuchsiatrestle.state.commands._claims import *
from fuchsiatrestle.state.commands._config import *
from fuchsiatrestle.state.commands._evacuations import *
from fuchsiatrestle.state.commands._jobs import *
from fuchsiatrestle.state.commands._starts import *
from fuchsiatrestle.state.commands._workflows import *

__all__ = (
    _claims.__all__
    + _config.__all__
    + _evacuations.__all__
    + _jobs.__all__
    + _starts.__all__
    + _workflows.__all__
    + ('CODEC', 'RECORD_CLASSES')
)

RECORD_CLASSES = (
    _claims.RECORD_CLASSES
    + _config.RECORD_CLASSES
    + _evacuations.RECORD_CLASSES
    + _jobs.RECORD_CLASSES
    + _workflows.RECORD_CLASSES
)
CODEC = records.Codec(*RECORD_CLASSES)
