"""Answers of the stand-in upstreams.

The payload is computed from the request id, so that a caller can tell a
complete answer from one that is truncated or belongs to another request.
"""

import hashlib

import msgspec

__all__ = ('encode_answer_body', 'is_whole_answer')

DEFAULT_PAYLOAD_BYTES = 512


class AnswerBody(msgspec.Struct, frozen=True):
    """JSON body of an answer.

    Attributes:
        request_id: identifier of the answered request.
        upstream: address of the upstream that ran the request.
        payload: text computed from the request id.
    """

    request_id: str
    upstream: str
    payload: str


def _make_payload(request_id, payload_bytes):
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return (digest * (payload_bytes // len(digest) + 1))[:payload_bytes]


def encode_answer_body(
    request_id, upstream, payload_bytes=DEFAULT_PAYLOAD_BYTES
):
    """Returns the JSON body of the answer to a request, as bytes.

    Args:
        request_id: identifier of the answered request.
        upstream: address of the upstream that ran the request.
        payload_bytes: length of the payload.
    """
    payload = _make_payload(request_id, payload_bytes)
    return msgspec.json.encode(AnswerBody(request_id, upstream, payload))


def is_whole_answer(body, request_id, payload_bytes=DEFAULT_PAYLOAD_BYTES):
    """Returns True if ``body`` is the complete answer to ``request_id``."""
    try:
        answer = msgspec.json.decode(body, type=AnswerBody)
    except msgspec.DecodeError:
        return False
    expected = _make_payload(request_id, payload_bytes)
    return answer.request_id == request_id and answer.payload == expected
