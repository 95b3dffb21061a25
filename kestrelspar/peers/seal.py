"""Authentication of datagrams between couriers, with protection against replays. No I/O.

Theory of operation. A datagram consists of ``KP1``, one byte that identifies the key, a keyed hash over all that
follows, and the body: an encoded ``Datagram``. Incoming datagrams are checked in the order of cost, and dropped at the
first check that fails, so each forged datagram of a flood costs no more than its hash; each kind of failure is counted.
The receiver's name is covered by the hash, so a datagram can't be replayed to another receiver. For each sender the
highest epoch and a window of sequence numbers are stored: a number that was received already, or is older than the
window, is a replay. Datagrams of an earlier epoch are dropped, too. A sender's epoch rises with each start, so its
sequence numbers may start again.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter

import msgspec

from kestrelspar.peers.messages import Datagram, MemberUpdate, PeerMessage, UngroupedMemberUpdate

MAGIC = b"KP1"
MAX_DATAGRAM_BYTES = 1_200  # small enough to need no fragmentation on any path
TAG_SIZE = 16  # bytes of the keyed hash
HEADER_BYTES = len(MAGIC) + 1 + TAG_SIZE  # bytes before the body
REPLAY_WINDOW = 1_024  # sequence numbers below the highest that are still accepted, once each
MAX_SENDERS = 4_096  # max senders that are tracked: whoever has a key could make up any number of names

_encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Datagram).decode


def _to_wire(message: PeerMessage) -> PeerMessage | UngroupedMemberUpdate:
    """The message to encode: for a member without a group the form from before groups existed, otherwise as it is.

    Couriers that don't support groups accept that form.
    """
    if type(message) is not MemberUpdate or message.group:
        return message
    return UngroupedMemberUpdate(
        message.name, message.host, message.port, message.number, message.epoch, message.incarnation, message.state
    )


def encode(message: PeerMessage) -> bytes:
    """The bytes of one message in a datagram."""
    return _encode(_to_wire(message))


class DatagramRejectedError(Exception):
    """A datagram was rejected; the only argument is the kind of failure, a key of ``Sealer.dropped``."""


def keys(secrets: list[str]) -> list[bytes]:
    """Derive keys of 32 bytes from the contents of the key files."""
    return [hashlib.blake2b(secret.encode(), digest_size=32, person=b"kestrelspar key").digest() for secret in secrets]


def _tag(key: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(data, key=key, digest_size=TAG_SIZE).digest()


def _key_id(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=1, person=b"kp key").digest()


class Sealer:
    """Seals the datagrams that a process sends, and verifies and decodes those that it receives.

    ``keys``: 16 to 64 bytes each; datagrams are sealed with the first one, and opened with any.
    """

    def __init__(self, name: str, epoch: int, keys: list[bytes]) -> None:
        self.name, self.epoch = name, epoch
        self.dropped: Counter[str] = Counter()
        self._seq = 0
        # By sender: epoch, highest sequence number, and a bit set of the numbers received up to it.
        self._received: dict[str, tuple[int, int, int]] = {}
        self.rekey(keys)

    def rekey(self, keys: list[bytes]) -> None:
        """Replace the keys."""
        self._keys = keys

    def seal(self, to: str, messages: list[PeerMessage]) -> bytes:
        """Return the sealed datagram for the receiver ``to``; ``ValueError`` if larger than ``MAX_DATAGRAM_BYTES``."""
        self._seq += 1
        # The fields of a ``Datagram``, in its order.
        body = _encode((self.name, self.epoch, to, self._seq, [_to_wire(message) for message in messages]))
        if HEADER_BYTES + len(body) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram too large: {HEADER_BYTES + len(body)} of at most {MAX_DATAGRAM_BYTES} bytes")
        key = self._keys[0]
        return MAGIC + _key_id(key) + _tag(key, body) + body

    @staticmethod
    def size(messages: list[PeerMessage], name_bytes: int) -> int:
        """Upper bound of a datagram's size in bytes; ``name_bytes``: length of both names together."""
        # 40: bytes for the epoch, the sequence number, and the length prefixes of the names and of the array.
        return HEADER_BYTES + 40 + name_bytes + len(_encode([_to_wire(message) for message in messages]))

    def open(self, data: bytes) -> Datagram:
        """Verify and decode a datagram; raises ``DatagramRejectedError`` with the kind of failure, and counts it."""
        try:
            return self._open(data)
        except DatagramRejectedError as error:
            self.dropped[error.args[0]] += 1
            raise

    def _open(self, data: bytes) -> Datagram:
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError("oversized")
        if len(data) <= HEADER_BYTES or not data.startswith(MAGIC):
            raise DatagramRejectedError("foreign")
        key_id, tag, body = data[3:4], data[4:HEADER_BYTES], data[HEADER_BYTES:]
        if not any(_key_id(key) == key_id and hmac.compare_digest(_tag(key, body), tag) for key in self._keys):
            raise DatagramRejectedError("forged")
        try:
            datagram = decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            raise DatagramRejectedError("unreadable") from None
        if datagram.to != self.name:
            raise DatagramRejectedError("misdirected")
        self._check_replay(datagram)
        return datagram

    def _check_replay(self, datagram: Datagram) -> None:
        """Accept each sequence number of an epoch only once."""
        epoch, highest, received = self._received.get(datagram.sender, (0, 0, 0))
        if datagram.epoch < epoch:
            raise DatagramRejectedError("old-life")
        if datagram.epoch > epoch:
            if datagram.sender not in self._received and len(self._received) >= MAX_SENDERS:
                raise DatagramRejectedError("too-many")
            self._received[datagram.sender] = datagram.epoch, datagram.seq, 1
            return
        ahead = datagram.seq - highest
        if ahead > 0:
            received = (received << min(ahead, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self._received[datagram.sender] = epoch, datagram.seq, received
            return
        if -ahead >= REPLAY_WINDOW or received >> -ahead & 1:
            raise DatagramRejectedError("replayed")
        self._received[datagram.sender] = epoch, highest, received | 1 << -ahead
