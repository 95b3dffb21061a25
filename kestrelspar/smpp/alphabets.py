"""Encodes text in the alphabets of SMPP: GSM 03.38 with its extension table, Latin-1, UCS-2. No I/O."""

from __future__ import annotations

import gsm0338  # type: ignore[import-untyped]

from kestrelspar.smpp.parts import BINARY, GSM, LATIN_1, UCS_2

_codec = gsm0338.Codec()


def encode_text(body: bytes) -> tuple[int, bytes]:
    """The data_coding and octets for the body of a message that was not submitted by SMPP.

    UTF-8 text is converted to the first of GSM, Latin-1 and UCS-2 that has all its characters; a body that is not UTF-8
    is sent as binary. As usual in SMPP, GSM characters are not packed: each takes one octet, or two from the extension
    table.
    """
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return BINARY, body
    try:
        encoded = bytes(_codec.encode(text)[0])
        # The codec passes U+001B on as the escape octet, which the receiver would read as the start of an escape
        # sequence.
        if _codec.decode(encoded)[0] == text:
            return GSM, encoded
    except (UnicodeError, ValueError, KeyError):
        pass
    try:
        return LATIN_1, text.encode("latin-1")
    except UnicodeEncodeError:
        return UCS_2, text.encode("utf-16-be")
