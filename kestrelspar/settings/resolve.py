"""Resolves references in sections: classes, tenants, zones and kinds in the platform's settings, and secret files."""

from __future__ import annotations

import difflib
import ipaddress
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from kestrelspar.settings import kinds, schema
from kestrelspar.settings.conf import Conf, ConfSection
from kestrelspar.settings.lines import ConfError, ConfErrors
from snowlock import interface as api

if TYPE_CHECKING:
    import ssl

    from kestrelspar.keys import TlsStore  # keys imports ssl, which is loaded only if TLS is used

MAX_PASSWORD_LENGTH = 8  # bytes of an SMPP password


@dataclass(frozen=True, slots=True)
class Account:
    """An account with which a contractor may bind. ``tenant``, ``cls``, ``zone`` and ``kind`` are indices.

    ``zone`` and ``kind`` are those of the endpoint that the account is if it has a ``dest``.
    """

    system_id: str
    password: str
    tenant: int
    cls: int
    window: int
    dest: int | None = None  # destination whose messages are delivered to this account; None: none
    zone: int = 0
    kind: int = 0
    outbind: tuple[str, int] | None = None  # address to which an outbind is sent; None: none is sent
    networks: tuple[ipaddress.IPv4Network, ...] = ()  # from which it may bind; empty: any
    certificate: str = ""  # a name that the client's certificate must have; empty: not checked


@dataclass(frozen=True, slots=True)
class Gateway:
    """An SMPP gateway, which is a next hop. All times are in microseconds.

    ``zone``, ``kind``, ``inbound_class`` and ``inbound_tenant`` are indices.
    """

    name: str
    address: tuple[str, int]
    dest: int
    zone: int
    kind: int
    system_id: str
    password: str
    bind: str
    window: int
    response_timeout: int
    enquire_link_interval: int
    throttle_wait: int
    source_addr: str
    destination_addr: str
    split: str = "payload"
    coding: str = "raw"
    sessions: int = 1
    rate: int = 0
    rank: int = 0
    bind_retry_delay: int = 200_000
    max_bind_retry_delay: int = 30_000_000
    idle_unbind: int = 0  # 0: never
    stay_bound: bool = False
    outcome: str = "response"
    response_id: str = "text"
    receipt_id: str = "text"
    inbound: dict[str, int] = field(default_factory=dict)  # destinations by prefix of destination_addr
    inbound_class: int = 0
    inbound_tenant: int = 0
    outbind_system_id: str = ""
    outbind_password: str = ""
    tls: str = ""  # the section's label; empty: no TLS
    server_name: str = ""


@dataclass(frozen=True, slots=True)
class Smpp:
    """The SMPP front end. All times are in microseconds."""

    listen: tuple[str, int]
    system_id: str
    bind_timeout: int
    enquire_link_interval: int
    response_timeout: int
    receipt_hold: int
    max_sessions: int
    accounts: tuple[Account, ...]
    service_types: dict[str, int]
    destinations: dict[str, int]  # by prefix of destination_addr
    gateways: tuple[Gateway, ...]
    keep_ended: int = 0  # how long query_sm can find a message after its end; 0: not at all
    tls: str = ""  # the section's label; empty: no TLS
    parts_timeout: int = 10_000_000  # how long the parts of a long message are waited for; 0: they are not joined


@dataclass(frozen=True, slots=True)
class Registry:
    """A registry to follow, with its secrets."""

    label: str
    section: schema.Registry
    password: str = ""
    token: str = ""
    tls_context: Callable[[], ssl.SSLContext] | None = None  # returns the latest context; None: no TLS


class _NameResolver:
    """Resolves names and files of secrets, and collects the errors."""

    def __init__(self) -> None:
        self.errors: list[ConfError] = []

    def index_of(self, section: ConfSection, key: str, name: str, names: tuple[str, ...], what: str) -> int:
        """The index of a name in a list of the settings; 0 if no name is given or the list has no names.

        An unknown name is an error, with the index 0; ``what`` describes the name in that error.
        """
        if not name or not any(names):
            return 0
        if name in names:
            return names.index(name)
        matches = difflib.get_close_matches(name, names, 1, 0.6)
        suggestion = f"; did you mean {matches[0]}?" if matches else ""
        self.errors.append(section.error(key, f"unknown {what} {name!r:.40} (wanted: {', '.join(names)}{suggestion})"))
        return 0

    def secret(
        self, section: ConfSection, key: str, path: str, max_length: int = 4096, allow_hash: bool = False
    ) -> str:
        """Read the secret in a file; empty if there is no path or, which is an error, the file can't be read.

        A secret of more than ``max_length`` bytes is an error. With ``allow_hash``, an SMPP password (which a
        ``max_length`` of ``MAX_PASSWORD_LENGTH`` indicates) may be given as its hash.
        """
        if not path:
            return ""
        try:
            found = kinds.read_secret(path)
        except ValueError as error:
            self.errors.append(section.error(key, str(error)))
            return ""
        if max_length == MAX_PASSWORD_LENGTH and found.startswith("$scrypt$"):
            from kestrelspar import passwords  # loads OpenSSL (2.5 MB), so only if a hash is used

            if not allow_hash or not passwords.is_supported_hash(found):
                what = "holds a hash that can't be used" if allow_hash else "holds a hash, where a password is needed"
                self.errors.append(section.error(key, f"{path} {what}"))
        elif len(found.encode()) > max_length:
            self.errors.append(section.error(key, f"{path} holds more than {max_length} bytes"))
        return found

    def raise_errors(self) -> None:
        """Raise ``ConfErrors`` if there were errors."""
        if self.errors:
            raise ConfErrors(sorted(self.errors))


def smpp(conf: Conf, settings: api.Settings) -> Smpp | None:
    """The SMPP front end, or None if it is off. Raises ``ConfErrors``."""
    smpp_section = conf.section(schema.Smpp)
    smpp_values = conf.values_of(schema.Smpp)
    if not smpp_values.enabled:
        return None
    resolver = _NameResolver()
    classes = tuple(c.name for c in settings.classes)
    tenants = tuple(t.name for t in settings.tenants)
    accounts, gateways = [], []
    for section in conf.sections_of(schema.SmppAccount):
        account = section.values
        assert isinstance(account, schema.SmppAccount)
        if len(section.label.encode()) > 15:
            resolver.errors.append(section.error("", f"{section.label!r:.40} is longer than a system_id of 15 bytes"))
        accounts.append(
            Account(
                section.label,
                resolver.secret(
                    section, "password-file", account.password_file, MAX_PASSWORD_LENGTH, not account.outbind
                ),
                resolver.index_of(section, "tenant", account.tenant, tenants, "tenant"),
                resolver.index_of(section, "message-class", account.message_class, classes, "class"),
                account.window,
                None if account.destination < 0 else account.destination,
                resolver.index_of(section, "zone", account.zone, settings.zones, "zone"),
                resolver.index_of(section, "type", account.type, settings.kinds, "type"),
                account.outbind[0] if account.outbind else None,
                tuple(ipaddress.IPv4Network(network) for network in account.networks),
                account.certificate,
            )
        )
        if account.certificate and not smpp_values.tls:
            resolver.errors.append(section.error("certificate", "can't be checked without smpp.tls"))
    for section in conf.sections_of(schema.SmppGateway):
        gateway = section.values
        assert isinstance(gateway, schema.SmppGateway)
        gateways.append(
            Gateway(
                section.label,
                gateway.address,
                gateway.destination,
                resolver.index_of(section, "zone", gateway.zone, settings.zones, "zone"),
                resolver.index_of(section, "type", gateway.type, settings.kinds, "type"),
                gateway.system_id,
                resolver.secret(section, "password-file", gateway.password_file, MAX_PASSWORD_LENGTH),
                gateway.bind,
                gateway.window,
                gateway.response,
                gateway.enquire_link,
                gateway.throttle_wait,
                gateway.source_addr,
                gateway.destination_addr,
                gateway.split,
                gateway.coding,
                gateway.sessions,
                gateway.rate,
                gateway.rank,
                gateway.bind_wait,
                gateway.bind_wait_most,
                gateway.idle_unbind,
                gateway.stay_bound or bool(gateway.inbound),
                gateway.outcome,
                gateway.response_id,
                gateway.receipt_id,
                dict(gateway.inbound),
                resolver.index_of(section, "inbound-class", gateway.inbound_class, classes, "class")
                if gateway.inbound
                else 0,
                resolver.index_of(section, "inbound-tenant", gateway.inbound_tenant, tenants, "tenant"),
                gateway.outbind_system_id,
                resolver.secret(section, "outbind-password-file", gateway.outbind_password_file, MAX_PASSWORD_LENGTH),
                gateway.tls,
                gateway.server_name,
            )
        )
    service_types = {
        name: resolver.index_of(smpp_section, "service-type", cls, classes, "class")
        for name, cls in smpp_values.service_type.items()
    }
    resolver.raise_errors()
    return Smpp(
        smpp_values.listen,
        smpp_values.system_id,
        smpp_values.bind_within,
        smpp_values.enquire_link,
        smpp_values.response,
        smpp_values.receipt_hold,
        smpp_values.most_sessions,
        tuple(accounts),
        service_types,
        dict(smpp_values.destination),
        tuple(gateways),
        smpp_values.keep_ended,
        smpp_values.tls,
        smpp_values.parts_within if smpp_values.join else 0,
    )


def registries(conf: Conf) -> list[Registry]:
    """The registries to follow, which are those that are enabled, with their secrets. Raises ``ConfErrors``."""
    resolver, found = _NameResolver(), []
    for section in conf.sections_of(schema.Registry):
        registry = section.values
        assert isinstance(registry, schema.Registry)
        if registry.enabled:
            found.append(
                Registry(
                    section.label,
                    registry,
                    resolver.secret(section, "password-file", registry.password_file),
                    resolver.secret(section, "token-file", registry.token_file),
                )
            )
    resolver.raise_errors()
    return found


def peer_keys(conf: Conf, broker: bool = False) -> list[str]:
    """The secrets from which couriers derive the keys of their datagrams.

    The first one is for datagrams that are sent; datagrams received may use any. Empty for a courier if the section is
    off; a broker needs a key even then. Raises ``ConfErrors``.
    """
    section, resolver = conf.section(schema.Peers), _NameResolver()
    peers = conf.values_of(schema.Peers)
    if not peers.enabled and not broker:
        return []
    if not peers.key_file:
        resolver.errors.append(section.error("key-file", "names 0 files (wanted: the key's, or two while it changes)"))
    found = [resolver.secret(section, "key-file", file) for file in peers.key_file]
    resolver.errors += [
        section.error("key-file", f"holds {len(secret)} bytes (wanted: 16 or more)")
        for secret in found
        if secret and len(secret.encode()) < 16
    ]
    resolver.raise_errors()
    return found


def keys(conf: Conf) -> TlsStore | None:
    """The contexts of the ``tls`` sections. Raises ``ConfErrors``.

    None, without importing ssl, if there is no such section and no other section refers to one.
    """
    tls_users = [*conf.sections_of(schema.Registry), *conf.sections_of(schema.SmppGateway), conf.section(schema.Smpp)]
    if not conf.sections_of(schema.Tls) and not any(getattr(section.values, "tls", "") for section in tls_users):
        return None
    from kestrelspar.keys import TlsStore

    return TlsStore(conf)
