"""Checks of messages whose content a replica would otherwise rely on."""

from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import records

__all__ = ('find_append_fault',)

_ENTRY_KINDS = ('command', 'voters', 'noop')


def find_append_fault(request):
    """Returns what is wrong with the entries of an append, or ''.

    Args:
        request: the ``AppendRequest``.
    """
    if request.prev_index < 0 or request.prev_term < 0:
        return 'prev_index'
    index, term = request.prev_index, request.prev_term
    for entry in request.entries:
        if entry.index != index + 1:
            return 'index'
        if not term <= entry.term <= request.term:
            return 'term'
        if entry.kind not in _ENTRY_KINDS:
            return 'kind'
        if entry.kind == 'voters' and not _holds_voters(entry):
            return 'voters'
        index, term = entry.index, entry.term
    return ''


def _holds_voters(entry):
    try:
        voters = _voters.decode_voters(entry.data)
    except records.DecodeError:
        return False
    return isinstance(voters, _voters.Voters) and bool(voters.voters)
