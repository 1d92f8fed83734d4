"""Ledgers: what a stand-in saw, one JSON object a line.

Each line is written with one unbuffered call, so a line survives a kill of
the process.  Times are of the system-wide monotonic clock, in nanoseconds,
and compare across the processes of one machine.
"""

import os
import time

import msgspec

__all__ = (
    'CallLine',
    'FaultLine',
    'Ledger',
    'PatchLine',
    'RunLine',
    'VersionLine',
    'read_ledger',
)


class RunLine(msgspec.Struct, frozen=True):
    """A step of one request at an upstream.

    Attributes:
        event: ``begin`` or ``end``; ``leaving`` and ``ready`` stand for
            what the upstream announces from then on.
        request_id: identifier of the request, the same for a resend.
        attempt_id: identifier of the single call, if it came through.
        method: HTTP method.
        in_flight: requests in work, this one included.
        slots: requests the upstream takes at once.
        leaving: True if the upstream had announced that it leaves.
        time_ns: when.
    """

    event: str
    request_id: str
    attempt_id: str
    method: str
    in_flight: int
    slots: int
    leaving: bool
    time_ns: int


class CallLine(msgspec.Struct, frozen=True):
    """One call of a caller, from its first byte to its end.

    Attributes:
        request_id: identifier of the request, the same for a resend.
        attempt_id: identifier of this call.
        method: HTTP method.
        key: idempotency key, empty without one.
        entry: address called.
        status: HTTP status, 0 if no whole answer came.
        outcome: ``Fuchsiatrestle-Outcome`` of a refusal, else empty.
        reason: machine-readable reason of a refusal or of the break.
        answer: ``whole``, ``refused``, ``none``, ``cut`` or ``wrong``.
        start_ns: before the first byte.
        end_ns: when the call had ended.
    """

    request_id: str
    attempt_id: str
    method: str
    key: str
    entry: str
    status: int
    outcome: str
    reason: str
    answer: str
    start_ns: int
    end_ns: int


class PatchLine(msgspec.Struct, frozen=True):
    """One answer to an operator.

    Attributes:
        outcome: ``accepted``, ``conflict``, ``refused`` or ``unknown``.
        version: the accepted version, or the current one of a conflict.
    """

    patch_id: str
    base: int
    outcome: str
    version: int
    time_ns: int


class VersionLine(msgspec.Struct, frozen=True):
    """The version that an entry said it has in force."""

    entry: str
    version: int
    time_ns: int


class FaultLine(msgspec.Struct, frozen=True):
    """A fault that was brought about.

    Attributes:
        kind: ``kill``, ``stop``, ``freeze``, ``silence``, ``cut`` or a mode
            of an upstream.
        target: name of the process.
        since_ns: before it was brought about.
        done_ns: once it had been brought about.
        until_ns: when it was healed.
    """

    kind: str
    target: str
    since_ns: int
    done_ns: int
    until_ns: int


class Ledger:
    """Appends lines to a file.

    Args:
        path: the file, made if missing.
    """

    def __init__(self, path):
        self._file = os.open(path, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
        self._encoder = msgspec.json.Encoder()

    def write(self, line):
        """Appends one line."""
        os.write(self._file, self._encoder.encode(line) + b'\n')

    @staticmethod
    def now_ns():
        """Returns the time for a line."""
        return time.monotonic_ns()


def read_ledger(path, kind):
    """Returns the whole lines of a ledger; a cut last line is left out."""
    decoder = msgspec.json.Decoder(kind)
    with open(path, 'rb') as stream:
        data = stream.read()
    whole, _, _ = data.rpartition(b'\n')
    return [decoder.decode(line) for line in whole.splitlines()]
