"""The sections of ``kestrelspar.conf``, one struct each: keys with their kinds, bounds, defaults and help texts.

A key in the file has the name of its field, with dashes. A field without a default is required. A tuple takes several
words and may be repeated. A dict takes ``key NAME VALUE`` and may be repeated. Times are in microseconds.
"""

from __future__ import annotations

import ipaddress
from typing import Annotated, ClassVar

from msgspec import Struct

from kestrelspar.settings.kinds import (
    MS,
    SECOND,
    address,
    choice,
    duration,
    format_quantity,
    number,
    path,
    secret,
    size,
    switch,
    text,
)

Address = tuple[str, int]
HOUR = 3_600 * SECOND
MAX_NAME_LENGTH = 60  # characters of the name of a courier or broker in a datagram


class Section(Struct, frozen=True, kw_only=True):
    """Base class of all sections."""

    TITLE: ClassVar[str] = ""
    LABELED: ClassVar[bool] = False  # whether there may be several sections, each with a label

    def errors(self) -> list[tuple[str, str]]:
        """Errors that no single key shows, such as contradictions between keys: (key, what is wrong)."""
        return []


class Log(Section, frozen=True, kw_only=True):
    """Log lines on standard output, one for each event."""

    TITLE: ClassVar[str] = "log"
    format: Annotated[str, choice("format of a log line", "logfmt", "json")] = "logfmt"
    level: Annotated[
        str, choice("lowest severity of the events that are logged", "debug", "info", "warning", "error")
    ] = "info"


class Plugins(Section, frozen=True, kw_only=True):
    """Scripts with one rule in each line, run when a message arrives and when it ends."""

    TITLE: ClassVar[str] = "plugins"
    enabled: Annotated[bool, switch("whether to run the scripts")] = False
    scripts: Annotated[tuple[str, ...], path("scripts, run in this order")] = ()


class Map(Section, frozen=True, kw_only=True):
    """A transport map of the operators, used beside that of discovery; `kestrelspar nginx import` writes one."""

    TITLE: ClassVar[str] = "map"
    LABELED: ClassVar[bool] = True
    file: Annotated[str, path("map in JSON")]


class Tls(Section, frozen=True, kw_only=True):
    """A certificate with its key, and trusted authorities; other sections refer to its label. Reloaded on SIGHUP."""

    TITLE: ClassVar[str] = "tls"
    LABELED: ClassVar[bool] = True
    certificate: Annotated[str, path("own certificate with its chain, PEM")] = ""
    key: Annotated[
        str, path("private key, PEM, which only its owner may read; default: in the file of the certificate")
    ] = ""
    authorities: Annotated[
        str, path("certificate authorities that are trusted for peers' certificates, PEM; default: none")
    ] = ""
    minimum: Annotated[str, choice("oldest TLS version that is accepted", "1.2", "1.3")] = "1.2"
    clients: Annotated[
        str, choice("for a listener: whether clients present a certificate", "none", "wanted", "required")
    ] = "none"

    def errors(self) -> list[tuple[str, str]]:
        """A key without a certificate, and client certificates without authorities to check them."""
        found = []
        if self.key and not self.certificate:
            found.append(("key", "needs a certificate, too"))
        if self.clients != "none" and not self.authorities:
            found.append(("clients", "can't be checked without authorities"))
        return found


class Smpp(Section, frozen=True, kw_only=True):
    """The SMPP 3.4 front end."""

    TITLE: ClassVar[str] = "smpp"
    enabled: Annotated[bool, switch("whether the front end is on")] = False
    listen: Annotated[Address, address("address at which contractors bind")] = ("127.0.0.1", 2775)
    tls: Annotated[str, text("label of the section tls for its listener; none: without TLS", 100)] = ""
    system_id: Annotated[str, text("own system_id in bind responses", 15)] = "kestrelspar"
    bind_within: Annotated[
        int, duration("time-out after which a connection without a bind is closed", 100 * MS, HOUR)
    ] = 5 * SECOND
    enquire_link: Annotated[int, duration("silence after which an enquire_link is sent", 100 * MS, HOUR)] = 30 * SECOND
    response: Annotated[int, duration("time-out for a response of a contractor", 10 * MS, HOUR)] = 5 * SECOND
    receipt_hold: Annotated[int, duration("how long delivery of a receipt is attempted", SECOND, 168 * HOUR)] = HOUR
    keep_ended: Annotated[
        int, duration("how long query_sm finds an ended message, also after restarts; 0s: not at all", 0, 720 * HOUR)
    ] = HOUR
    join: Annotated[bool, switch("whether the parts of a long message are joined into one message")] = True
    parts_within: Annotated[
        int,
        duration(
            "time-out for the parts of a long message; if some are missing, each part ends separately", SECOND, HOUR
        ),
    ] = 10 * SECOND
    most_sessions: Annotated[int, number("maximum number of concurrent sessions", 1, 100_000)] = 64
    service_type: Annotated[dict[str, str], text("message class for a service_type", 40)] = {}
    destination: Annotated[dict[str, int], number("destination for a prefix of destination_addr", 0, 2**31)] = {}


class SmppAccount(Section, frozen=True, kw_only=True):
    """An account with which a contractor may bind. The label is its system_id."""

    TITLE: ClassVar[str] = "smpp-account"
    LABELED: ClassVar[bool] = True
    password_file: Annotated[
        str, secret("its password, at most 8 bytes, or its hash as `kestrelspar smpp passwd` prints it")
    ]
    networks: Annotated[
        tuple[str, ...], text("networks from which it may bind, like 10.1.0.0/16; default: any", 18)
    ] = ()
    certificate: Annotated[
        str, text("name that the client's certificate must have; none: any name, or no certificate", 200)
    ] = ""
    message_class: Annotated[str, text("class of messages without a service_type", 40, 1)]
    tenant: Annotated[str, text("its tenant, as named in the settings; default: the first one", 200)] = ""
    window: Annotated[int, number("maximum number of submits and receipts in flight", 1, 10_000)] = 10
    destination: Annotated[
        int, number("destination whose messages are delivered to its bound receivers; -1: none", -1, 2**31)
    ] = -1
    zone: Annotated[
        str, text("zone of that destination's endpoint, as named in the settings; default: the first one")
    ] = ""
    type: Annotated[
        str, text("kind of that destination's endpoint, as named in the settings; default: the first one")
    ] = ""
    outbind: Annotated[
        tuple[Address, ...],
        address("address to which an outbind is sent if messages wait while the account is not bound; at most one"),
    ] = ()

    def errors(self) -> list[tuple[str, str]]:
        """More than one address, and invalid networks."""
        found = [("outbind", "names more than one address (wanted: one HOST:PORT)")] if len(self.outbind) > 1 else []
        for network in self.networks:
            try:
                ipaddress.IPv4Network(network)
            except ValueError as error:
                found.append(("networks", f"{error} (wanted: a network like 10.1.0.0/16)"))
        return found


class SmppGateway(Section, frozen=True, kw_only=True):
    """An SMPP gateway, which is a next hop. The label is its name."""

    TITLE: ClassVar[str] = "smpp-gateway"
    LABELED: ClassVar[bool] = True
    address: Annotated[Address, address("address at which it listens")]
    tls: Annotated[str, text("label of the section tls for calls to it; none: without TLS", 100)] = ""
    server_name: Annotated[str, text("name that its certificate must have; default: its address", 200)] = ""
    destination: Annotated[int, number("destination that it serves", 0, 2**31)]
    system_id: Annotated[str, text("own system_id at the gateway", 15)]
    password_file: Annotated[str, secret("password for that system_id, at most 8 bytes")]
    zone: Annotated[str, text("its zone, as named in the settings; default: the first one")] = ""
    type: Annotated[str, text("its kind, as named in the settings; default: the first one")] = ""
    bind: Annotated[
        str,
        choice(
            "type of bind; pair: transmitters, and one receiver if something is to be received",
            "transmitter",
            "transceiver",
            "pair",
        ),
    ] = "transceiver"
    sessions: Annotated[int, number("maximum number of sessions, opened as needed", 1, 64)] = 1
    window: Annotated[int, number("maximum number of submits in flight on each session", 1, 10_000)] = 10
    rate: Annotated[
        int, number("agreed rate in submits per second over all sessions; 0: learned from its refusals", 0, 100_000)
    ] = 0
    rank: Annotated[
        int, number("priority; a standby has a higher number and is used if no gateway with a lower one works", 0, 100)
    ] = 0
    bind_wait: Annotated[
        int,
        duration("delay after a failed bind; it doubles each time, and half of it is random", 10 * MS, HOUR),
    ] = 200 * MS
    bind_wait_most: Annotated[
        int, duration("maximum of that delay; also used after a refused account", 10 * MS, HOUR)
    ] = 30 * SECOND
    idle_unbind: Annotated[int, duration("idle time after which a session is unbound; 0s: never", 0, 24 * HOUR)] = 0
    stay_bound: Annotated[bool, switch("whether a session stays bound while nothing is sent")] = False
    outcome: Annotated[
        str, choice("what ends a message: the response of the gateway, or its delivery receipt", "response", "receipt")
    ] = "response"
    response_id: Annotated[str, choice("format of message ids in its responses", "text", "hex", "decimal")] = "text"
    receipt_id: Annotated[str, choice("format of message ids in its receipts", "text", "hex", "decimal")] = "text"
    inbound: Annotated[
        dict[str, int],
        number("destination for messages from the gateway, by a prefix of their destination_addr", 0, 2**31),
    ] = {}
    inbound_class: Annotated[str, text("class of messages from the gateway; default: the first one", 40)] = ""
    inbound_tenant: Annotated[str, text("tenant of messages from the gateway; default: the first one", 200)] = ""
    outbind_system_id: Annotated[str, text("system_id of its outbind requests", 15)] = ""
    outbind_password_file: Annotated[str, secret("password of its outbind requests, at most 8 bytes")] = ""
    response: Annotated[int, duration("time-out for a response", 10 * MS, HOUR)] = 10 * SECOND
    enquire_link: Annotated[int, duration("silence after which an enquire_link is sent", 100 * MS, HOUR)] = 30 * SECOND
    throttle_wait: Annotated[int, duration("delay after a throttling status", 10 * MS, HOUR)] = SECOND
    split: Annotated[
        str,
        choice(
            "how a text longer than one short message is sent: in one message_payload, or in parts",
            "payload",
            "udh",
            "sar",
        ),
    ] = "payload"
    coding: Annotated[
        str,
        choice(
            "how a body that arrived by another protocol is sent: unchanged, or as text in the smallest "
            "alphabet (GSM 03.38, Latin-1, UCS-2)",
            "raw",
            "text",
        ),
    ] = "raw"
    source_addr: Annotated[str, text("source address of messages without one", 20)] = ""
    destination_addr: Annotated[str, text("destination address of messages without one", 20)] = ""

    def errors(self) -> list[tuple[str, str]]:
        """Keys that need a receiver, and incomplete or contradictory pairs of keys."""
        found = []
        can_receive = self.bind != "transmitter"
        for key, needed in (
            ("outcome", self.outcome == "receipt"),
            ("inbound", bool(self.inbound)),
            ("stay-bound", self.stay_bound),
        ):
            if needed and not can_receive:
                found.append((key, "can't be received by a transmitter (wanted: bind transceiver, or bind pair)"))
        if (self.response_id == "text") != (self.receipt_id == "text"):
            found.append(("receipt-id", "and response-id are both text, or both numbers (hex, decimal)"))
        if bool(self.outbind_system_id) != bool(self.outbind_password_file):
            found.append(("outbind-system-id", "and outbind-password-file go together"))
        if self.bind_wait > self.bind_wait_most:
            found.append(("bind-wait", f"is more than bind-wait-most, {format_quantity(self.bind_wait_most)}"))
        return found


class Registry(Section, frozen=True, kw_only=True):
    """A list of endpoints in a key-value registry, followed by watches or blocking reads."""

    TITLE: ClassVar[str] = "registry"
    LABELED: ClassVar[bool] = True
    type: Annotated[str, choice("protocol of the registry", "etcd", "consul")]
    servers: Annotated[tuple[Address, ...], address("its members; if one fails, the next one is used")]
    prefix: Annotated[str, text("prefix of the keys that form the list", 500, 1)]
    tls: Annotated[str, text("label of the section tls for calls to it; none: without TLS", 100)] = ""
    server_name: Annotated[str, text("name that its members' certificates must have; default: their address", 200)] = ""
    enabled: Annotated[bool, switch("whether to follow the registry")] = True
    patience: Annotated[
        int, duration("age at which a list that no response has confirmed is stale", SECOND, 24 * HOUR)
    ] = 30 * SECOND
    on_stale: Annotated[
        str,
        choice(
            "what to do with a stale list: continue to use it, or be not ready and defer new messages", "serve", "defer"
        ),
    ] = "serve"
    answer_within: Annotated[
        int, duration("time-out for a response; the member then counts as failed", 100 * MS, HOUR)
    ] = 5 * SECOND
    check: Annotated[int, duration("etcd: interval at which the list is checked during a watch", 100 * MS, HOUR)] = (
        10 * SECOND
    )
    wait: Annotated[int, duration("consul: how long a read blocks if nothing changes", SECOND, 600 * SECOND)] = (
        10 * SECOND
    )
    consistency: Annotated[
        str, choice("consul: consistency mode, that is, which members may respond", "default", "consistent", "stale")
    ] = "default"
    page: Annotated[int, number("etcd: maximum number of entries in a page", 1, 10_000)] = 500
    username: Annotated[str, text("etcd: user name for authentication", 200)] = ""
    password_file: Annotated[str, secret("etcd: password of that user")] = ""
    token_file: Annotated[str, secret("consul: token for reading the keys below the prefix")] = ""
    keep: Annotated[
        int,
        size(
            "disk space for saving the last good list, for use after a start without the registry; 0B: none",
            0,
            1_000_000_000,
        ),
    ] = 1_000_000

    def errors(self) -> list[tuple[str, str]]:
        """No servers, keys of the other protocol, incomplete credentials, a short ``patience``, and a wrong prefix."""
        found = []
        if not self.servers:
            found.append(("servers", "names no server (wanted: one HOST:PORT or more)"))
        if self.type == "consul" and (self.username or self.password_file):
            found.append(("username", "is etcd's (wanted with consul: token-file)"))
        if self.type == "etcd" and self.token_file:
            found.append(("token-file", "is consul's (wanted with etcd: username and password-file)"))
        if self.type == "etcd" and bool(self.username) != bool(self.password_file):
            found.append(("username", "and password-file go together"))
        max_silence, name = (2 * self.check, "check") if self.type == "etcd" else (2 * self.wait, "wait")
        if max_silence > self.patience:
            found.append(
                (
                    name,
                    f"is more than half of patience, {format_quantity(self.patience)}: an unchanged list would be "
                    "stale",
                )
            )
        if self.type == "consul" and self.prefix.startswith("/"):
            found.append(("prefix", "begins with / (wanted: consul's keys have none in front)"))
        return found


class Peers(Section, frozen=True, kw_only=True):
    """Budgets shared with other couriers over UDP. Their number, and this one's place, are platform settings."""

    TITLE: ClassVar[str] = "peers"
    enabled: Annotated[bool, switch("whether this courier communicates with others")] = False
    listen: Annotated[Address, address("address at which datagrams are received (UDP)")] = ("127.0.0.1", 2770)
    advertise: Annotated[
        tuple[Address, ...],
        address("address given to others, if not the one listened on: behind NAT or a relay; at most one"),
    ] = ()
    seed: Annotated[
        dict[str, Address],
        address("a courier to contact first, by its name; this address takes precedence over reported ones"),
    ] = {}
    key_file: Annotated[
        tuple[str, ...],
        secret(
            "key shared by all couriers, 16 bytes of text or more; a second one is also accepted while keys are changed"
        ),
    ] = ()
    group: Annotated[
        str, text("group of couriers that know each other and share budgets; default: all are one group", 60)
    ] = ""
    region: Annotated[str, text("its region: it uses the brokers of this region", MAX_NAME_LENGTH - 2)] = ""
    broker: Annotated[
        dict[str, Address],
        address(
            "a process that relays observations of endpoints between couriers, by "
            "REGION/NAME; list those of all regions, the same at all couriers and "
            "brokers"
        ),
    ] = {}
    couriers: Annotated[
        int, number("for a broker: number of couriers; a courier has it from the platform's settings", 1, 1_000_000)
    ] = 1_000_000
    broker_bytes_per_second: Annotated[int, size("upper bound of what a broker sends", 10_000, 1_000_000_000)] = (
        1_000_000
    )
    bytes_per_second: Annotated[int, size("upper bound of what this courier sends", 2_000, 1_000_000_000)] = 20_000
    period: Annotated[
        int, duration("interval of the probes, each to one of the other couriers", 100 * MS, 60 * SECOND)
    ] = SECOND
    term: Annotated[
        int,
        duration("how long a loan of a budget may be used; the same at all couriers", 500 * MS, 600 * SECOND),
    ] = 3 * SECOND
    drift: Annotated[int, number("maximum drift of clocks in parts per thousand; the same at all couriers", 1, 200)] = (
        10
    )
    spend: Annotated[
        int,
        number(
            "percentage of a limit that couriers share; the rest is for calls that the network bunches",
            1,
            100,
        ),
    ] = 90
    again: Annotated[
        int,
        number(
            "percentage of that shared part which second and later attempts of all couriers together may use; "
            "100: no separate bound. The same at all couriers",
            1,
            100,
        ),
    ] = 100
    held: Annotated[
        int, number("maximum percentage of all endpoints that reports of other couriers may restrict", 0, 100)
    ] = 50

    def errors(self) -> list[tuple[str, str]]:
        """Too few or too many keys or addresses, and errors of the brokers.

        Brokers read their keys also if the section is off.
        """
        found = self._broker_errors()
        if not self.enabled <= len(self.key_file) <= 2:
            found.append(("key-file", f"names {len(self.key_file)} files (wanted: the key's, or two while it changes)"))
        if len(self.advertise) > 1:
            found.append(("advertise", "names more than one address (wanted: one HOST:PORT)"))
        return found

    def _broker_errors(self) -> list[tuple[str, str]]:
        """Invalid names of group, region and brokers, two brokers at one address, and a region without a broker."""
        found = []
        for key, text_value in (("group", self.group), ("region", self.region)):
            if text_value != "".join(text_value.split()) or not text_value.isprintable() or "/" in text_value:
                found.append((key, f"{text_value!r:.60} is not a word (wanted: no blanks, and no /)"))
        names_by_address: dict[Address, str] = {}
        regions = []
        for name, broker_address in self.broker.items():
            region, slash, broker_name = name.partition("/")
            if not (region and slash and broker_name) or "/" in broker_name or len(name) > MAX_NAME_LENGTH:
                found.append(
                    (
                        f"broker {name}",
                        f"is not the name of a broker (wanted: REGION/NAME, at most {MAX_NAME_LENGTH} characters)",
                    )
                )
            elif region not in regions:
                regions.append(region)
            if names_by_address.setdefault(broker_address, name) != name:
                found.append((f"broker {name}", f"has the address of {names_by_address[broker_address]}"))
        if not self.region and (self.group or self.broker):
            found.append(
                (
                    "group" if self.group else "broker",
                    "needs a region (wanted: key region" + (f", one of {', '.join(regions)})" if regions else ")"),
                )
            )
        elif self.broker and self.region not in regions:
            found.append(
                (
                    "region",
                    f"has no broker (wanted: one of {', '.join(regions) or 'some'}, or a line broker "
                    f"{self.region}/NAME)",
                )
            )
        return found

    def advertised_address(self) -> Address:
        """The address that others use."""
        return self.advertise[0] if self.advertise else self.listen


SECTIONS: dict[str, type[Section]] = {
    struct.TITLE: struct for struct in (Log, Plugins, Map, Tls, Registry, Smpp, SmppAccount, SmppGateway, Peers)
}
