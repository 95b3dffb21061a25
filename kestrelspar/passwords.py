"""Account passwords as salted hashes: scrypt (RFC 7914) in the PHC string format."""

from __future__ import annotations

import base64
import hashlib
import hmac
import os
import re

# Cost parameters of scrypt: with these, a check takes about 4 MB and 10 ms, during which the event loop is blocked.
LOG_N, R, P = 12, 8, 1
MAX_LOG_N = 15  # of a hash made elsewhere: it may cost more, but must not block the event loop for long
_PHC = re.compile(r"\$scrypt\$ln=(\d{1,2}),r=(\d{1,2}),p=(\d)\$([A-Za-z0-9+/]{8,64})\$([A-Za-z0-9+/]{22,128})")


def is_hash(text: str) -> bool:
    """Whether the text is marked as a hash rather than a password in clear text, be it supported or not."""
    return text.startswith("$scrypt$")


def is_supported_hash(text: str) -> bool:
    """Whether the hash is well-formed and ``Verifier.matches`` can check it at an acceptable cost."""
    match = _PHC.fullmatch(text)
    return match is not None and 4 <= int(match[1]) <= MAX_LOG_N and 1 <= int(match[2]) <= 16 and int(match[3]) == 1


def hash_password(password: str) -> str:
    """Hashes a password with a random salt."""
    salt = os.urandom(16)
    return f"$scrypt$ln={LOG_N},r={R},p={P}${_to_base64(salt)}${_to_base64(_scrypt(password, salt, LOG_N, R, P, 32))}"


class Verifier:
    """Verifies passwords; caches successful checks, as a contractor may bind many sessions with one password."""

    def __init__(self) -> None:
        self._key = os.urandom(32)  # one for each verifier, so that its cached digests are of no use elsewhere
        self._verified: dict[str, bytes] = {}  # by stored hash: keyed digest of the password that matched it

    def matches(self, stored: str, password: str) -> bool:
        """Whether the password matches the stored one, which is clear text or a hash; False for an unsupported hash."""
        if not is_hash(stored):
            return hmac.compare_digest(stored.encode(), password.encode())
        digest = hashlib.blake2b(password.encode(), key=self._key).digest()
        cached = self._verified.get(stored)
        if cached is not None and hmac.compare_digest(cached, digest):
            return True
        match = _PHC.fullmatch(stored)
        if match is None or not is_supported_hash(stored):
            return False
        salt, expected = _from_base64(match[4]), _from_base64(match[5])
        computed = _scrypt(password, salt, int(match[1]), int(match[2]), int(match[3]), len(expected))
        if not hmac.compare_digest(computed, expected):
            return False
        self._verified[stored] = digest
        return True


def _scrypt(password: str, salt: bytes, log_n: int, r: int, p: int, size: int) -> bytes:
    return hashlib.scrypt(
        password.encode(), salt=salt, n=1 << log_n, r=r, p=p, dklen=size, maxmem=256 * r * (1 << log_n)
    )


def _to_base64(data: bytes) -> str:
    return base64.b64encode(data).decode().rstrip("=")


def _from_base64(text: str) -> bytes:
    return base64.b64decode(text + "=" * (-len(text) % 4))
