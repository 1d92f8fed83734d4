"""Certificates of a temporary authority for tests of TLS."""

import os

import trustme

from fuchsiatrestle.net import tls

__all__ = ('Authority',)


class Authority:
    """Certificate authority that writes its files to one folder.

    Args:
        folder: path of the folder.
    """

    def __init__(self, folder):
        self._folder = folder
        self._authority = trustme.CA()
        self._root = os.path.join(folder, f'{id(self)}.pem')
        self._authority.cert_pem.write_to_path(self._root)

    def issue(self, name):
        """Writes key and certificate of a name; returns the ``TlsFiles``."""
        issued = self._authority.issue_cert(name)
        certificate = os.path.join(self._folder, f'{name}.pem')
        key = os.path.join(self._folder, f'{name}.key')
        issued.cert_chain_pems[0].write_to_path(certificate)
        issued.private_key_pem.write_to_path(key)
        return tls.TlsFiles(certificate, key, self._root)
