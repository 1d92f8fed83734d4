"""Reads a data folder in place, for operators; changes nothing on disk."""

import os

from fuchsiatrestle.agreement import _files
from fuchsiatrestle.agreement import _recovery
from fuchsiatrestle import errors

__all__ = ('read_folder',)


def read_folder(path, files=None):
    """Returns what a data folder holds, every checksum checked.

    Args:
        path: the folder.
        files: ``Files`` to read through, ``OsFiles`` if None.

    Returns:
        A ``Recovery``.

    Raises:
        errors.DataDamaged: with file and offset.
        errors.StorageFailed: the folder can not be read.
    """
    try:
        return _recovery.Recovery(
            files or _files.OsFiles(), os.path.abspath(path)
        )
    except OSError as exc:
        raise errors.StorageFailed(
            f'{path}: {exc.strerror or exc}', step='read_folder'
        ) from exc
