"""Mutual TLS on links: every process proves its name with a certificate.

All processes of a cell have certificates signed by one authority; the DNS name
in a certificate is the name of the process. Both ends of a stream verify the
certificate of the other. The dialling end checks it against the name of the
peer, the accepting end against the sender named in the first frame.
"""

import ssl

from fuchsiatrestle import errors
from fuchsiatrestle import settings

__all__ = (
    'SECTION',
    'TlsFiles',
    'certified_names',
    'load_tls_files',
)

SECTION = settings.Section(
    'tls',
    settings.TextOption('certificate', ''),
    settings.TextOption('key', ''),
    settings.TextOption('authority', ''),
)


def load_tls_files(cfg):
    """Returns the ``TlsFiles`` named in the settings, None without TLS.

    Args:
        cfg: settings loaded with ``SECTION``.

    Raises:
        errors.SettingsInvalid: only some of the three files are named, or
            one of them can not be used.
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
    tls_files = TlsFiles(*paths)
    try:
        tls_files.server_context()
    except OSError as exc:
        raise errors.SettingsInvalid(
            f'{cfg.path}: [tls] {paths!r}: {exc}', step='load_settings'
        ) from exc
    return tls_files


def certified_names(certificate):
    """Returns the set of the DNS names in the certificate of a peer.

    Args:
        certificate: dictionary that ``ssl.SSLSocket.getpeercert`` returned;
            None for a peer without a certificate.
    """
    alternative_names = (certificate or {}).get('subjectAltName', ())
    return {
        name for name_type, name in alternative_names if name_type == 'DNS'
    }


class TlsFiles:
    """Paths of the PEM files with which a process authenticates itself.

    Args:
        certificate_path: path of the certificate chain of this process.
        key_path: path of its private key.
        authority_path: path of the certificate of the authority that signed
            the certificates of all peers.
    """

    __slots__ = ('authority_path', 'certificate_path', 'key_path')

    def __init__(self, certificate_path, key_path, authority_path):
        self.certificate_path = certificate_path
        self.key_path = key_path
        self.authority_path = authority_path

    def server_context(self):
        """Returns an SSL context for accepting peers with certificates."""
        return self._make_context(ssl.PROTOCOL_TLS_SERVER)

    def client_context(self):
        """Returns an SSL context that verifies the name of a dialled peer."""
        return self._make_context(ssl.PROTOCOL_TLS_CLIENT)

    def _make_context(self, protocol):
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(self.certificate_path, self.key_path)
        context.load_verify_locations(self.authority_path)
        context.set_alpn_protocols(['h2'])
        return context
