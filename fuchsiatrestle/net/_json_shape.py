"""Limits on a JSON body that are checked before it is decoded.

Some tens of thousands of empty objects fit into a body of 262,144 bytes.
Decoded, they take many times that memory.  The number of values is counted in
the encoded form with calls that run at the speed of a copy.
"""

import re

__all__ = ('exceeds_shape',)

# The possessive repeats keep the time linear in the size of the body.
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
_NO_BRACKETS = bytes(set(range(256)) - set(b'[]{}'))
_TO_SQUARE_BRACKETS = bytes.maketrans(b'{}', b'[]')


def exceeds_shape(body, max_values, max_depth):
    """Returns True if a JSON body has too many values or nests too deeply.

    Bytes that are not JSON get some answer; decoding them refuses them.

    Args:
        body: the body, bytes.
        max_values: maximum number of values, which counts members of objects,
            items of arrays and the outermost value.
        max_depth: maximum number of arrays and objects within one another.
    """
    # Each value takes at least one byte beside its separator.
    may_have_many_values = len(body) > 2 * max_values
    open_count = body.count(b'[') + body.count(b'{')
    if not may_have_many_values and open_count <= max_depth:
        return False
    if may_have_many_values:
        # A value and its key are two strings at most.  This also bounds the
        # number of pieces into which the body is split below.
        if body.count(b'"') > 4 * max_values:
            return True
        if open_count + body.count(b',') > max_values:
            # Separators within strings do not count.
            body = _STRING.sub(b'', body)
            open_count = body.count(b'[') + body.count(b'{')
            if open_count + body.count(b',') > max_values:
                return True
    return open_count > max_depth and _is_deep(body, max_depth)


def _is_deep(body, max_depth):
    """Returns True if brackets nest deeper than ``max_depth``."""
    if b'"' in body:
        body = _STRING.sub(b'', body)
    brackets = body.translate(_TO_SQUARE_BRACKETS, _NO_BRACKETS)
    for _ in range(max_depth):
        # One pass removes the innermost level everywhere.
        brackets = brackets.replace(b'[]', b'')
        if not brackets:
            return False
    return bool(brackets)
