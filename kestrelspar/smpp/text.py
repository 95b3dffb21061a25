"""Texts in SMPP's alphabets: GSM 03.38 with its extension table, Latin-1, UCS-2. No I/O."""

from __future__ import annotations

import gsm0338  # type: ignore[import-untyped]

from kestrelspar.smpp.parts import BINARY, GSM, LATIN_1, UCS_2

_codec = gsm0338.Codec()


def coded(body: bytes) -> tuple[int, bytes]:
    """The data_coding and octets for a body that came by another wire: UTF-8 in the smallest alphabet that has all
    its letters, anything else as binary. GSM letters are one octet each, not packed, as SMPP carries them."""
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return BINARY, body
    try:
        found = bytes(_codec.encode(text)[0])
        if _codec.decode(found)[0] == text:
            return GSM, found
    except (UnicodeError, ValueError, KeyError):
        pass
    try:
        return LATIN_1, text.encode("latin-1")
    except UnicodeEncodeError:
        return UCS_2, text.encode("utf-16-be")
