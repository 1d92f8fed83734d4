"""Ledgers: files in which a stand-in records events as JSON lines.

Each line is written with one unbuffered call, so that it survives a kill of
the process.  Times are nanoseconds of the system-wide monotonic clock and can
be compared across the processes of one machine.
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
    """An event at an upstream.

    Attributes:
        event: ``begin`` or ``end`` of a request, or the state that the
            upstream announces from then on, ``leaving`` or ``ready``.
        request_id: identifier of the request, the same for a resend; empty
            for a state.
        attempt_id: identifier of the single call, empty if its header did
            not arrive.
        method: HTTP method, empty for a state.
        in_flight: requests being processed, this one included.
        slots: number of requests at once that the upstream announces.
        leaving: True if the upstream announces that it leaves.
        time_ns: time of the event.
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
    """One call of a caller.

    Attributes:
        request_id: identifier of the request, the same for a resend.
        attempt_id: identifier of this call.
        method: HTTP method.
        key: idempotency key, empty without one.
        entry: address of the called entry.
        status: HTTP status, 0 if no complete answer arrived.
        outcome: ``Fuchsiatrestle-Outcome`` of a refusal, else empty.
        reason: machine-readable reason of a refusal, or failed step and
            reason of a broken call.
        answer: ``whole`` or ``wrong`` for status 200, ``refused`` for any
            other status, ``none`` if no complete answer arrived.
        start_ns: time before the first byte is sent.
        end_ns: time after the call has ended.
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
    """The outcome of one configuration patch sent by an operator.

    Attributes:
        patch_id: identifier of the patch, the same for a resend.
        base: version that the patch applies to.
        outcome: ``accepted``, ``conflict``, ``refused``, or ``unknown`` if no
            entry answered.
        version: the accepted version, the current one of a conflict, else 0.
        time_ns: time of the answer.
    """

    patch_id: str
    base: int
    outcome: str
    version: int
    time_ns: int


class VersionLine(msgspec.Struct, frozen=True):
    """The configuration version in force at an entry.

    Attributes:
        entry: name of the entry.
        version: version that the entry reports.
        time_ns: time of the answer.
    """

    entry: str
    version: int
    time_ns: int


class FaultLine(msgspec.Struct, frozen=True):
    """An injected fault.

    Attributes:
        kind: ``kill``, ``stop``, ``freeze``, ``silence``, ``cut`` or a mode
            of an upstream.
        target: name of the affected process.
        since_ns: time before the fault was injected.
        done_ns: time after it was injected.
        until_ns: time after it was healed.
    """

    kind: str
    target: str
    since_ns: int
    done_ns: int
    until_ns: int


class Ledger:
    """Appends lines to a ledger file.

    Args:
        path: path of the file, created if missing.
    """

    def __init__(self, path):
        self._file = os.open(path, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
        self._encoder = msgspec.json.Encoder()

    def write(self, line):
        """Appends a line, a ``msgspec.Struct``."""
        os.write(self._file, self._encoder.encode(line) + b'\n')

    @staticmethod
    def now_ns():
        """Returns the current time for a line, in nanoseconds."""
        return time.monotonic_ns()


def read_ledger(path, line_type):
    """Returns the lines of a ledger, without an incomplete last one.

    Args:
        path: path of the ledger file.
        line_type: class of its lines.
    """
    decoder = msgspec.json.Decoder(line_type)
    with open(path, 'rb') as stream:
        data = stream.read()
    complete_lines, _, _ = data.rpartition(b'\n')
    return [decoder.decode(line) for line in complete_lines.splitlines()]
