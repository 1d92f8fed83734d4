"""Client of the administration API that tries several entries in turn.

A call that got no answer is sent again through the next entry, and fails only
if no entry answers.  Repeating it is safe: a read changes nothing, a patch is
recognised by its ``patch_id`` and a job by its ``job_id``.
"""

import http.client
import json
import urllib.parse

from fuchsiatrestle import errors

__all__ = ('AdminClient', 'CallFailed', 'Reply')

MAX_ANSWER_BYTES = 64 * 1024 * 1024

_OUTCOME_NOT_RUN = 'not-run'


class Reply:
    """Answer of an entry.

    Attributes:
        status: HTTP status code.
        value: decoded JSON body, None for an empty one.
        entry: ``IP:port`` of the entry that answered.
    """

    __slots__ = ('entry', 'status', 'value')

    def __init__(self, status, value, entry):
        self.status = status
        self.value = value
        self.entry = entry

    @property
    def ok(self):
        """True if the call was carried out."""
        return 200 <= self.status < 300

    @property
    def reason(self):
        """Machine-readable reason of a refusal, empty for a success."""
        return self.get('reason', '')

    def get(self, key, default=None):
        """Returns a member of the JSON object in the answer.

        Args:
            key: name of the member.
            default: returned if the answer is no object or lacks the member.
        """
        if isinstance(self.value, dict):
            return self.value.get(key, default)
        return default


class CallFailed(errors.Error):
    """No entry answered the call with an outcome.

    Attributes:
        executed: False if the call certainly changed nothing, None if it may
            have been carried out.
    """

    def __init__(self, reason, *, executed, step, peer):
        super().__init__(reason, step=step, peer=peer)
        self.executed = executed


class _FailedAttempt:
    """An attempt through one entry that gave no outcome.

    Attributes:
        entry: ``IP:port`` of the entry.
        reason: what went wrong, in one line.
        certainly_not_run: True if the call certainly changed nothing.
    """

    __slots__ = ('certainly_not_run', 'entry', 'reason')

    def __init__(self, entry, reason, certainly_not_run):
        self.entry = entry
        self.reason = reason
        self.certainly_not_run = certainly_not_run


class AdminClient:
    """Client of the administration API.

    Args:
        entry_addresses: list of ``settings.Address``, tried in turn.
        timeout_s: timeout of one attempt, in seconds.
    """

    def __init__(self, entry_addresses, timeout_s):
        self._entry_addresses = entry_addresses
        self._timeout_s = timeout_s

    def call(self, method, path, parameters=None, value=None):
        """Sends a call to one entry after the other until one answers.

        Args:
            method: HTTP method.
            path: path of the call.
            parameters: query parameters by name.
            value: JSON value of the body, None for no body.

        Returns:
            The ``Reply``.

        Raises:
            CallFailed: no entry answered with an outcome.
        """
        target = path
        if parameters:
            target += '?' + urllib.parse.urlencode(parameters)
        body = None if value is None else json.dumps(value).encode()
        failed_attempts = []
        for address in self._entry_addresses:
            outcome = self._try_entry(address, method, target, body)
            if isinstance(outcome, Reply):
                return outcome
            failed_attempts.append(outcome)
        raise _make_call_failed(failed_attempts, f'{method} {path}')

    def call_each(self, method, path, value):
        """Sends a call to each entry until the caller stops the iteration.

        Args:
            method: HTTP method.
            path: path of the call.
            value: JSON value of the body.

        Yields:
            The ``Reply`` or the ``CallFailed`` of each entry.
        """
        body = json.dumps(value).encode()
        for address in self._entry_addresses:
            outcome = self._try_entry(address, method, path, body)
            if isinstance(outcome, Reply):
                yield outcome
            else:
                yield _make_call_failed([outcome], f'{method} {path}')

    def _try_entry(self, address, method, target, body):
        """Returns the ``Reply`` of one entry, or a ``_FailedAttempt``."""
        conn = http.client.HTTPConnection(
            address.host, address.port, timeout=self._timeout_s
        )
        try:
            conn.connect()
        except OSError as exc:
            conn.close()
            return _FailedAttempt(
                str(address), f'can not connect: {exc}', True
            )
        try:
            return _send_request(conn, address, method, target, body)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            return _FailedAttempt(
                str(address), f'no answer: {exc!r}', method == 'GET'
            )
        finally:
            conn.close()


def _send_request(conn, address, method, target, body):
    """Returns the ``Reply``, or a ``_FailedAttempt`` for a 503 or 504."""
    headers = {'Content-Type': 'application/json', 'Connection': 'close'}
    conn.request(method, target, body=body, headers=headers)
    response = conn.getresponse()
    value = json.loads(response.read(MAX_ANSWER_BYTES) or b'null')
    reply = Reply(response.status, value, str(address))
    if reply.status in (503, 504):
        certainly_not_run = (
            method == 'GET' or reply.get('outcome') == _OUTCOME_NOT_RUN
        )
        return _FailedAttempt(
            str(address), reply.reason or 'no outcome', certainly_not_run
        )
    return reply


def _make_call_failed(failed_attempts, step):
    """Returns the ``CallFailed`` that sums up failed attempts."""
    reason = '; '.join(
        f'{attempt.entry}: {attempt.reason}' for attempt in failed_attempts
    )
    certainly_not_run = all(
        attempt.certainly_not_run for attempt in failed_attempts
    )
    return CallFailed(
        reason,
        executed=False if certainly_not_run else None,
        step=step,
        peer=','.join(attempt.entry for attempt in failed_attempts),
    )
