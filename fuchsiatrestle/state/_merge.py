"""JSON merge patch (RFC 7396) on decoded JSON values."""

import hashlib
import re

import msgspec

__all__ = (
    'JsonInvalid',
    'apply_patches',
    'canonical',
    'digest',
    'merge',
    'parse',
)

MAX_DEPTH = 8
DIGEST_BYTES = 12

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)


class JsonInvalid(ValueError):
    """The text is no JSON, or nested too deeply."""


def _depth(text):
    depth = deepest = 0
    for char in _STRING.sub(b'', text):
        if char in b'[{':
            depth += 1
            deepest = max(deepest, depth)
        elif char in b']}':
            depth -= 1
    return deepest


def parse(text):
    """Returns the value of a JSON text.

    The depth is bounded here, because the decoder's own limit depends on the
    stack and could differ between two replicas.

    Raises:
        JsonInvalid: the text can not be decoded.
    """
    if _depth(text) > MAX_DEPTH:
        raise JsonInvalid(f'nested deeper than {MAX_DEPTH} levels')
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise JsonInvalid(str(exc)) from exc


def canonical(value):
    """Returns the one JSON text of a value: keys sorted, no white space."""
    return msgspec.json.encode(value, order='deterministic')


def merge(target, patch):
    """Returns ``target`` with ``patch`` merged in; changes neither."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge(merged.get(key), value)
    return merged


def apply_patches(text, patches):
    """Returns the canonical text of a JSON text after merge patches.

    Raises:
        JsonInvalid: a text can not be decoded.
    """
    value = parse(text)
    for patch in patches:
        value = merge(value, parse(patch))
    return canonical(value)


def digest(text):
    """Returns a short digest of a document's canonical text."""
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
