"""Mutual TLS on links: every process proves its name with a certificate.

All processes of a cell hold a certificate of one authority whose DNS name is
the name of the process.  Both ends check the other's certificate; the
accepting end also checks that frames carry the name it certifies.
"""

import ssl

from fuchsiatrestle import errors
from fuchsiatrestle import settings

__all__ = (
    'SECTION',
    'TlsFiles',
    'certified_names',
    'files_from_settings',
)

SECTION = settings.Section(
    'tls',
    settings.TextOption('certificate', ''),
    settings.TextOption('key', ''),
    settings.TextOption('authority', ''),
)


def files_from_settings(cfg):
    """Returns the ``TlsFiles`` of a settings file, None without TLS.

    Raises:
        errors.SettingsInvalid: some files are named and others are not, or
            one can not be used.
    """
    paths = [
        cfg.get('tls', key) for key in ('certificate', 'key', 'authority')
    ]
    if not any(paths):
        return None
    if not all(paths):
        raise errors.SettingsInvalid(
            f'{cfg.path}: [tls] certificate, key and authority go together',
            step='load_settings',
        )
    files = TlsFiles(*paths)
    try:
        files.server_context()
    except OSError as exc:
        raise errors.SettingsInvalid(
            f'{cfg.path}: [tls] {paths!r}: {exc}', step='load_settings'
        ) from exc
    return files


def certified_names(certificate):
    """Returns the DNS names of a peer certificate as ``ssl`` gives it."""
    names = (certificate or {}).get('subjectAltName', ())
    return {value for kind, value in names if kind == 'DNS'}


class TlsFiles:
    """Paths of the PEM files that a process proves its name with.

    Args:
        certificate: chain of this process.
        key: its private key.
        authority: certificate of the authority that signs all peers.
    """

    __slots__ = ('authority', 'certificate', 'key')

    def __init__(self, certificate, key, authority):
        self.certificate = certificate
        self.key = key
        self.authority = authority

    def server_context(self):
        """Returns a context for a listener that demands certificates."""
        return self._context(ssl.PROTOCOL_TLS_SERVER)

    def client_context(self):
        """Returns a context that checks the name of the peer dialled."""
        return self._context(ssl.PROTOCOL_TLS_CLIENT)

    def _context(self, protocol):
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(self.certificate, self.key)
        context.load_verify_locations(self.authority)
        context.set_alpn_protocols(['h2'])
        return context
