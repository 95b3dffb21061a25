"""TLS certificates and keys: loaded from files, validated, monitored for expiry, and reloaded on SIGHUP."""

from __future__ import annotations

import os
import ssl
import stat
from dataclasses import dataclass, replace
from datetime import UTC, datetime
from functools import partial

from kestrelspar.runtime import logs
from kestrelspar.runtime.loop import SECOND, Loop
from kestrelspar.settings import schema
from kestrelspar.settings.conf import Conf
from kestrelspar.settings.lines import ConfError, ConfErrors
from kestrelspar.settings.resolve import Registry

DAY = 86_400 * SECOND
EXPIRY_WARNING_DAYS = 30  # a warning is logged from this many days before the expiry
TLS_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
CLIENT_VERIFICATION = {"none": ssl.CERT_NONE, "wanted": ssl.CERT_OPTIONAL, "required": ssl.CERT_REQUIRED}


class TlsFileError(ValueError):
    """An unusable certificate or key file; ``key`` is the setting that names the file."""

    def __init__(self, key: str, text: str) -> None:
        super().__init__(text)
        self.key = key


@dataclass(frozen=True, slots=True)
class TlsContexts:
    """The TLS contexts that were built from the files of one section."""

    server: ssl.SSLContext | None  # None if no certificate is configured
    client: ssl.SSLContext
    expires_at: datetime | None  # the earliest expiry in the configured certificate chain; None: no certificate


def read(section: schema.Tls) -> TlsContexts:
    """Builds the contexts of a section from its files; ``TlsFileError`` says which file is unusable, and why."""
    # Without a file of its own, the key is in the certificate's file. Whichever holds the key must be private.
    key, file = ("key", section.key) if section.key else ("certificate", section.certificate)
    if file:
        try:
            mode = stat.S_IMODE(os.stat(file).st_mode)
        except OSError as error:
            raise TlsFileError(key, f"{file} can't be read: {error.strerror}") from None
        if mode & 0o077:
            raise TlsFileError(key, f"{file} may be read by others, mode {mode:03o} (wanted: 600 or less)")
    expires_at = _expiry(section.certificate) if section.certificate else None
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    contexts = [client]
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER) if section.certificate else None
    if server is not None:
        server.verify_mode = CLIENT_VERIFICATION[section.clients]
        # No session tickets: connections are long-lived, so resumption gains nothing, and a ticket would be input that
        # no reader waits for.
        server.num_tickets = 0
        contexts.append(server)
    for context in contexts:
        context.minimum_version = TLS_VERSIONS[section.minimum]
        context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
        if section.certificate:
            try:
                context.load_cert_chain(section.certificate, section.key or None)
            except (OSError, ssl.SSLError) as error:
                why = error.reason if isinstance(error, ssl.SSLError) else error.strerror
                raise TlsFileError("certificate", f"{section.certificate} and its key are unusable: {why}") from None
        if section.authorities:
            try:
                context.load_verify_locations(section.authorities)
            except (OSError, ssl.SSLError) as error:
                why = error.reason if isinstance(error, ssl.SSLError) else error.strerror
                raise TlsFileError("authorities", f"{section.authorities} can't be read: {why}") from None
    return TlsContexts(server, client, expires_at)


def _expiry(file: str) -> datetime:
    from cryptography import x509  # imported only where a certificate is configured

    try:
        with open(file, "rb") as opened:
            certificates = x509.load_pem_x509_certificates(opened.read(1_000_000))
        return min(certificate.not_valid_after_utc for certificate in certificates)
    except OSError as error:
        raise TlsFileError("certificate", f"{file} can't be read: {error.strerror}") from None
    except ValueError:
        raise TlsFileError("certificate", f"{file} holds no certificate (wanted: PEM)") from None


class TlsStore:
    """The contexts of all ``tls`` sections. New connections use the latest ones; existing connections keep theirs.

    A section that is removed at a reload keeps its last contexts until the next start.
    """

    def __init__(self, conf: Conf) -> None:
        """Loads all files; raises ``ConfErrors``, which names each section with an unusable file, its first one.

        References to a section that does not exist, or has no certificate for the listener, are errors, too.
        """
        self._contexts: dict[str, TlsContexts] = {}
        self._load(conf)

    def _load(self, conf: Conf) -> None:
        contexts: dict[str, TlsContexts] = {}
        errors: list[ConfError] = []
        for section in conf.sections_of(schema.Tls):
            assert isinstance(section.values, schema.Tls)
            try:
                contexts[section.label] = read(section.values)
            except TlsFileError as error:
                errors.append(section.error(error.key, str(error)))
        for title, key, section in [
            (s.TITLE, "tls", t)
            for s in (schema.Smpp, schema.SmppGateway, schema.Registry)
            for t in (conf.sections_of(s) if s.LABELED else [conf.section(s)])
        ]:
            name = getattr(section.values, key)
            if name and name not in {t.label for t in conf.sections_of(schema.Tls)}:
                errors.append(section.error(key, f"there is no section tls {name}"))
            elif name and title == "smpp" and name in contexts and contexts[name].server is None:
                errors.append(section.error(key, f"tls {name} has no certificate, which a listener requires"))
        if errors:
            raise ConfErrors(sorted(errors))
        # Removed sections stay, as settings that are read only at the start may still name them.
        self._contexts |= contexts

    def reload_files(self, conf: Conf) -> None:
        """Reads the files again; if it raises ``ConfErrors``, all current contexts stay in use."""
        self._load(conf)
        for label in self._contexts:
            logs.event("tls-read", section=label)
        self.log_expiry()

    def server(self, label: str) -> ssl.SSLContext:
        """The latest context for incoming connections of a section, which has a certificate."""
        context = self._contexts[label].server
        assert context is not None
        return context

    def client(self, label: str) -> ssl.SSLContext:
        """The latest context for outgoing connections of a section."""
        return self._contexts[label].client

    def log_expiry(self) -> None:
        """Logs certificates that have expired or expire within ``EXPIRY_WARNING_DAYS`` days."""
        now = datetime.now(UTC)
        for label, context in self._contexts.items():
            if context.expires_at is None or (context.expires_at - now).days >= EXPIRY_WARNING_DAYS:
                continue
            days = (context.expires_at - now).days
            if days < 0:
                logs.error("tls-certificate-expired", section=label, since=context.expires_at.isoformat())
            else:
                logs.warn("tls-certificate-expires", section=label, at=context.expires_at.isoformat(), days=days)

    def watch(self, loop: Loop) -> None:
        """Checks for expiring certificates at the start and once a day; ends if there is no section at the start."""
        if not self._contexts:
            return
        while True:
            self.log_expiry()
            loop.sleep(DAY)

    def with_tls(self, registries: list[Registry]) -> list[Registry]:
        """Returns the registries; those that use TLS get a function that returns the latest context."""
        return [replace(r, tls_context=partial(self.client, r.section.tls)) if r.section.tls else r for r in registries]
