"""Calls the administration API of one of several entries.

Every call is idempotent: reads by nature, patches by ``patch_id``, jobs by
``job_id``.  So a call that got no answer is sent again through the next
entry, and only if none answers does it fail.
"""

import http.client
import json
import urllib.parse

from fuchsiatrestle import errors

__all__ = ('AdminClient', 'CallFailed', 'Reply')

MAX_ANSWER_BYTES = 64 * 1024 * 1024

_NOT_RUN = 'not-run'


class Reply:
    """Answer of an entry.

    Attributes:
        status: HTTP status code.
        value: decoded JSON.
        entry: ``IP:port`` of the answering entry.
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
        """Machine-readable reason of a refusal, empty if there is none."""
        return self.get('reason', '')

    def get(self, key, default=None):
        """Returns one member of the answer, if it is an object."""
        if isinstance(self.value, dict):
            return self.value.get(key, default)
        return default


class CallFailed(errors.Error):
    """No entry gave an outcome.

    Attributes:
        executed: False if the call certainly changed nothing, None if that
            is not known.
    """

    def __init__(self, reason, *, executed, step, peer):
        super().__init__(reason, step=step, peer=peer)
        self.executed = executed


class _Attempt:
    """How one try through one entry ended without an outcome."""

    __slots__ = ('certain', 'entry', 'reason')

    def __init__(self, entry, reason, certain):
        self.entry = entry
        self.reason = reason
        self.certain = certain


class AdminClient:
    """Client of the administration API.

    Args:
        entries: ``settings.Address`` values, tried in turn.
        timeout_s: time allowed to one try, in seconds.
    """

    def __init__(self, entries, timeout_s):
        self._entries = entries
        self._timeout_s = timeout_s

    def call(self, method, path, parameters=None, value=None):
        """Makes one call through the first entry that gives an outcome.

        Args:
            method: HTTP method.
            path: path of the call.
            parameters: query parameters by name.
            value: JSON value of the body, None for no body.

        Returns:
            The ``Reply``.

        Raises:
            CallFailed: no entry gave an outcome.
        """
        target = path
        if parameters:
            target += '?' + urllib.parse.urlencode(parameters)
        body = None if value is None else json.dumps(value).encode()
        failed = []
        for address in self._entries:
            outcome = self._try(address, method, target, body)
            if isinstance(outcome, Reply):
                return outcome
            failed.append(outcome)
        raise _call_failed(failed, f'{method} {path}')

    def call_each(self, method, path, value):
        """Yields the ``Reply`` or the ``CallFailed`` of each entry in turn."""
        body = json.dumps(value).encode()
        for address in self._entries:
            outcome = self._try(address, method, path, body)
            if isinstance(outcome, Reply):
                yield outcome
            else:
                yield _call_failed([outcome], f'{method} {path}')

    def _try(self, address, method, target, body):
        conn = http.client.HTTPConnection(
            address.host, address.port, timeout=self._timeout_s
        )
        try:
            conn.connect()
        except OSError as exc:
            conn.close()
            return _Attempt(str(address), f'can not connect: {exc}', True)
        try:
            return _exchange(conn, address, method, target, body)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            return _Attempt(
                str(address), f'no answer: {exc!r}', method == 'GET'
            )
        finally:
            conn.close()


def _exchange(conn, address, method, target, body):
    headers = {'Content-Type': 'application/json', 'Connection': 'close'}
    conn.request(method, target, body=body, headers=headers)
    response = conn.getresponse()
    value = json.loads(response.read(MAX_ANSWER_BYTES) or b'null')
    reply = Reply(response.status, value, str(address))
    if reply.status in (503, 504):
        certain = method == 'GET' or reply.get('outcome') == _NOT_RUN
        return _Attempt(str(address), reply.reason or 'no outcome', certain)
    return reply


def _call_failed(failed, step):
    reason = '; '.join(f'{item.entry}: {item.reason}' for item in failed)
    certain = all(item.certain for item in failed)
    return CallFailed(
        reason,
        executed=False if certain else None,
        step=step,
        peer=','.join(item.entry for item in failed),
    )
