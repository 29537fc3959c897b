"""Generates the inputs of requests from their seeds, which keeps traces small."""

import random
from typing import Final

import orjson

from .trace import InputKind, Request

_WORDS: Final = {
    InputKind.TENDER_FILE: (
        "licitatie contractor beneficiar garantie suma termen lucrari autoritate "
        "oferta participare valabilitate executare plata cerere conforme anexa"
    ),
    InputKind.CLAUSE_PAIR: (
        "counter-guarantee clause demand issuer instructing party expiry amount "
        "reduction governing law presentation undertaking irrevocable against"
    ),
    InputKind.BENEFICIARY_QUERY: (
        "stare garantie expira prelungire plata cand beneficiar suma ramasa numar"
    ),
    InputKind.SQUAD_SHEET: (
        "home away strip junior senior scheduler sleeve crest number name medium "
        "small large navy maroon training shorts socks"
    ),
    InputKind.BADGE_NOTE: (
        "crest thread outline motto thistle lion gold navy stitch width left chest"
    ),
    InputKind.SHORT_QUERY: "delivery date sizes left crest proof order club total",
    InputKind.STOCK_HOLD: "hold strip navy medium junior shorts",
}


def prefix_text(request: Request) -> str:
    """Return the text that all requests with the same prefix name share."""
    if not request.prefix:
        return ""
    rng = random.Random(f"prefix:{request.prefix}")
    return _text(rng, request.kind, request.n_prefix_words)


def input_text(request: Request) -> str:
    """Return the text of a request: shared prefix, unique marker, own words."""
    rng = random.Random(f"input:{request.input_seed}")
    own = _text(rng, request.kind, request.n_words)
    mark = f"mark:{request.input_seed:x}"
    return " ".join(part for part in (prefix_text(request), mark, own) if part)


def body_of(request: Request) -> tuple[bytes, str]:
    """Return the body of a request and its content type."""
    text = input_text(request)
    if request.kind is InputKind.STOCK_HOLD:
        return orjson.dumps({"hold": text}), "application/json"
    return text.encode(), "text/plain"


def _text(rng: random.Random, kind: InputKind, n_words: int) -> str:
    return " ".join(rng.choices(_WORDS[kind].split(), k=n_words))
