"""Answers of the stand-in upstreams, which callers can check whole."""

import hashlib

import msgspec

__all__ = ('make_body', 'matches')

DEFAULT_BYTES = 512


class AnswerBody(msgspec.Struct, frozen=True):
    """Body of an answer.

    Attributes:
        request_id: the request it belongs to.
        upstream: address that ran it.
        payload: text that follows from the request.
    """

    request_id: str
    upstream: str
    payload: str


def _payload(request_id, size):
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return (digest * (size // len(digest) + 1))[:size]


def make_body(request_id, upstream, size=DEFAULT_BYTES):
    """Returns the JSON body that answers a request."""
    payload = _payload(request_id, size)
    return msgspec.json.encode(AnswerBody(request_id, upstream, payload))


def matches(body, request_id, size=DEFAULT_BYTES):
    """True if ``body`` is the whole answer to this very request."""
    try:
        answer = msgspec.json.decode(body, type=AnswerBody)
    except msgspec.DecodeError:
        return False
    expected = _payload(request_id, size)
    return answer.request_id == request_id and answer.payload == expected
