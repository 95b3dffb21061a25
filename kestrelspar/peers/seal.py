"""Datagrams between couriers: sealed by a keyed hash, and opened only if whole, ours, meant for us and new. No I/O.

Theory of operation. A datagram is ``KP1``, a byte that names the key, a hash over all that follows, and the words.
What arrives is checked from the cheapest on, and dropped at the first check that fails, each counted by its kind: a
flood of forged ones costs a hash each. The receiver's name is under the hash, so that what was said to one can't be
replayed to another. Of each sender the highest life and a window of sequence numbers are held: what was heard once,
or is older than the window, is a replay. A sender's life rises with each start, so its sequence may begin anew.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter

import msgspec

from kestrelspar.peers.words import Bare, Datagram, Said, Word

MARK = b"KP1"
MOST = 1_200  # bytes of a datagram: fits any path without fragments
TAG = 16
HEAD = len(MARK) + 1 + TAG
WINDOW = 1_024  # sequence numbers behind the highest that may still come, once each
SENDERS = 4_096  # whose sequence is held; with a key, more could be made up

_encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Datagram).decode


def _bare(word: Word) -> Word | Bare:
    """A member of no group goes without the item for it: couriers that know none send and read the same bytes."""
    if type(word) is not Said or word.group:
        return word
    return Bare(word.name, word.host, word.port, word.number, word.life, word.inc, word.stand)


def encode(word: Word) -> bytes:
    """One word, as it goes into a datagram."""
    return _encode(_bare(word))


class Dropped(Exception):
    """A datagram that is not taken; its one argument is the kind."""


def keys(secrets: list[str]) -> list[bytes]:
    """Keys of full length from what the files say."""
    return [hashlib.blake2b(secret.encode(), digest_size=32, person=b"kestrelspar key").digest() for secret in secrets]


def _tag(key: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(data, key=key, digest_size=TAG).digest()


def _mark(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=1, person=b"kp key").digest()


class Sealer:
    """Seals what one courier says, and opens what it hears. ``keys``: 16 to 64 bytes each; the first one seals."""

    def __init__(self, name: str, life: int, keys: list[bytes]) -> None:
        self.name, self.life = name, life
        self.dropped: Counter[str] = Counter()
        self._seq = 0
        self._heard: dict[str, tuple[int, int, int]] = {}  # by sender: life, highest sequence, those behind it
        self.rekey(keys)

    def rekey(self, keys: list[bytes]) -> None:
        """Other keys from now on."""
        self._keys = keys

    def seal(self, to: str, words: list[Word]) -> bytes:
        """The datagram; ``ValueError`` where it would be too large."""
        self._seq += 1
        body = _encode((self.name, self.life, to, self._seq, [_bare(word) for word in words]))  # a ``Datagram``
        if HEAD + len(body) > MOST:
            raise ValueError(f"{HEAD + len(body)} bytes in a datagram")
        key = self._keys[0]
        return MARK + _mark(key) + _tag(key, body) + body

    @staticmethod
    def size(words: list[Word], names: int) -> int:
        """Bytes that a datagram with these words takes at most, between names of so many bytes together."""
        return HEAD + 40 + names + len(_encode([_bare(word) for word in words]))

    def open(self, data: bytes) -> Datagram:
        """What was said; ``Dropped`` with the kind of what is wrong."""
        try:
            return self._open(data)
        except Dropped as dropped:
            self.dropped[dropped.args[0]] += 1
            raise

    def _open(self, data: bytes) -> Datagram:
        if len(data) > MOST:
            raise Dropped("oversized")
        if len(data) <= HEAD or not data.startswith(MARK):
            raise Dropped("foreign")
        mark, tag, body = data[3:4], data[4:HEAD], data[HEAD:]
        if not any(_mark(key) == mark and hmac.compare_digest(_tag(key, body), tag) for key in self._keys):
            raise Dropped("forged")
        try:
            told = decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            raise Dropped("unreadable") from None
        if told.to != self.name:
            raise Dropped("misdirected")
        self._new(told)
        return told

    def _new(self, told: Datagram) -> None:
        """Guards against replays: each sequence number of a life is heard once."""
        life, highest, behind = self._heard.get(told.sender, (0, 0, 0))
        if told.life < life:
            raise Dropped("old-life")
        if told.life > life:
            if told.sender not in self._heard and len(self._heard) >= SENDERS:
                raise Dropped("too-many")
            self._heard[told.sender] = told.life, told.seq, 1
            return
        ahead = told.seq - highest
        if ahead > 0:
            behind = (behind << min(ahead, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self._heard[told.sender] = life, told.seq, behind
            return
        if -ahead >= WINDOW or behind >> -ahead & 1:
            raise Dropped("replayed")
        self._heard[told.sender] = life, highest, behind | 1 << -ahead
