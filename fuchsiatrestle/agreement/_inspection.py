"""Read-only access to a data folder, for operators."""

import os

from fuchsiatrestle.agreement import _files
from fuchsiatrestle.agreement import _recovery
from fuchsiatrestle import errors

__all__ = ('read_folder',)


def read_folder(path, files=None):
    """Reads a data folder and verifies every checksum; changes nothing.

    Args:
        path: the folder.
        files: ``Files`` to read through, ``OsFiles`` if None.

    Returns:
        The ``Recovery`` of the folder.

    Raises:
        errors.DataDamaged: the content is damaged in another way than by a
            torn last write; the text names file and offset.
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
