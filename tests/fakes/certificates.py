"""Certificates of a throw-away authority for tests of TLS."""

import os

import trustme

from fuchsiatrestle.net import tls

__all__ = ('Authority',)


class Authority:
    """Signs certificates and keeps their files in one folder."""

    def __init__(self, folder):
        self._folder = folder
        self._authority = trustme.CA()
        self._root = os.path.join(folder, f'{id(self)}.pem')
        self._authority.cert_pem.write_to_path(self._root)

    def issue(self, name):
        """Returns the ``TlsFiles`` of a process called ``name``."""
        issued = self._authority.issue_cert(name)
        certificate = os.path.join(self._folder, f'{name}.pem')
        key = os.path.join(self._folder, f'{name}.key')
        issued.cert_chain_pems[0].write_to_path(certificate)
        issued.private_key_pem.write_to_path(key)
        return tls.TlsFiles(certificate, key, self._root)
