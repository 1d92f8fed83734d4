"""JSON parsing, canonical JSON and JSON merge patches (RFC 7396)."""

import hashlib
import re

import msgspec

__all__ = (
    'JsonError',
    'apply_patches',
    'digest_document',
    'encode_canonical',
    'merge_patch',
    'parse_json',
)

MAX_NESTING_LEVELS = 8
DIGEST_BYTES = 12

# A JSON string; brackets in it don't count as nesting.
_JSON_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)


class JsonError(ValueError):
    """A text is not valid JSON, or is nested too deeply."""


def _nesting_depth(json_text):
    """Returns the deepest nesting of arrays and objects in a JSON text."""
    depth = max_depth = 0
    for char in _JSON_STRING_PATTERN.sub(b'', json_text):
        if char in b'[{':
            depth += 1
            max_depth = max(max_depth, depth)
        elif char in b']}':
            depth -= 1
    return max_depth


def parse_json(json_text):
    """Returns the value of a JSON text.

    The nesting depth is limited here, because the limit of the decoder
    depends on the stack size: two replicas could decide differently about
    the same text.

    Args:
        json_text: JSON as bytes.

    Raises:
        JsonError: the text can not be decoded, or is nested deeper than
            ``MAX_NESTING_LEVELS``.
    """
    if _nesting_depth(json_text) > MAX_NESTING_LEVELS:
        raise JsonError(f'nested deeper than {MAX_NESTING_LEVELS} levels')
    try:
        return msgspec.json.decode(json_text)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise JsonError(str(exc)) from exc


def encode_canonical(value):
    """Encodes a value as JSON with sorted keys and no white space.

    Equal values give equal bytes on every replica.
    """
    return msgspec.json.encode(value, order='deterministic')


def merge_patch(target, patch):
    """Applies a JSON merge patch to a decoded JSON value.

    A member that is None in the patch is removed; objects are merged
    recursively; any other value replaces the one in ``target``.

    Returns:
        The patched value; ``target`` and ``patch`` are not modified.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, patch_value in patch.items():
        if patch_value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), patch_value)
    return merged


def apply_patches(document_json, patches_json):
    """Applies JSON merge patches to a document, in their order.

    Args:
        document_json: the document as JSON bytes.
        patches_json: the patches as JSON bytes.

    Returns:
        The patched document as canonical JSON bytes.

    Raises:
        JsonError: the document or a patch can not be decoded.
    """
    document_value = parse_json(document_json)
    for patch_json in patches_json:
        document_value = merge_patch(document_value, parse_json(patch_json))
    return encode_canonical(document_value)


def digest_document(document_json):
    """Returns a hash of ``DIGEST_BYTES`` bytes of a document.

    Args:
        document_json: the document as canonical JSON bytes.
    """
    return hashlib.blake2b(document_json, digest_size=DIGEST_BYTES).digest()
