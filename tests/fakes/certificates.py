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
        self._authority_path = os.path.join(folder, f'{id(self)}.pem')
        self._authority.cert_pem.write_to_path(self._authority_path)

    def issue(self, name):
        """Issues a certificate to a process and writes it and its key.

        Args:
            name: name of the process, which the certificate proves.

        Returns:
            The ``tls.TlsFiles`` of the process.
        """
        issued = self._authority.issue_cert(name)
        certificate_path = os.path.join(self._folder, f'{name}.pem')
        key_path = os.path.join(self._folder, f'{name}.key')
        issued.cert_chain_pems[0].write_to_path(certificate_path)
        issued.private_key_pem.write_to_path(key_path)
        return tls.TlsFiles(certificate_path, key_path, self._authority_path)
