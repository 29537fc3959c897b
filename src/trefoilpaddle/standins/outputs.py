"""Outputs that depend on the input alone, which reveals mixed-up answers."""

import re
from typing import Final

import orjson
import xxhash

N_BLOCK_WORDS: Final = 32
"""Number of words in a block of the prefix cache."""

_MARK: Final = re.compile(r"mark:[0-9a-zA-Z-]{1,64}")
_ITEM_COUNT: Final = 3
_VOCABULARY: Final = (
    *("the", "guarantee", "bid", "bond", "tender", "strip", "crest", "order"),
    *("file", "clause", "bank", "school", "amount", "price", "hold", "page"),
    *("line", "squad", "size", "name", "date", "officer", "draft", "claim"),
    *("text", "client", "answer", "query", "stock", "badge", "invoice", "term"),
)


def digest(data: bytes) -> str:
    """Return the hexadecimal digest that identifies an input."""
    return xxhash.xxh3_64_hexdigest(data)


def marks(text: str) -> list[str]:
    """Return the distinct ``mark:…`` words of `text`, sorted.

    Marks pass through every stage, so that a test can trace its input through
    the pipeline.
    """
    return sorted(set(_MARK.findall(text)))


def canonical(body: bytes) -> bytes:
    """Return JSON `body` with sorted keys and no spaces; other bytes unchanged."""
    try:
        return orjson.dumps(orjson.loads(body), option=orjson.OPT_SORT_KEYS)
    except orjson.JSONDecodeError:
        return body


def call_output(path: str, body: bytes) -> dict[str, object]:
    """Return the answer of a pool or plain service to `body` at `path`."""
    work = canonical(body)
    key = digest(path.encode() + b"\0" + work)
    items = [
        f"{path.strip('/')} {' '.join(_words(f'{key}.{i}', 4))}"
        for i in range(_ITEM_COUNT)
    ]
    return {
        "path": path,
        "digest": key,
        "n_input_bytes": len(work),
        "items": items,
        "marks": marks(work.decode(errors="replace")),
    }


def n_output_tokens(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens of an engine's answer to `prompt`."""
    most = max(1, max_tokens)
    least = (most + 1) // 2
    return least + xxhash.xxh3_64_intdigest(prompt.encode()) % (most - least + 1)


def engine_output(prompt: str, max_tokens: int) -> list[str]:
    """Return the tokens of an engine's answer to `prompt`.

    The first token contains the prompt's digest and marks.
    """
    key = digest(prompt.encode())
    first = "/".join([f"d:{key}", *marks(prompt)])
    return [first, *_words(key, n_output_tokens(prompt, max_tokens) - 1)]


def prefix_hashes(prompt: str) -> list[int]:
    """Return the chained signed hash of each complete block of `prompt`."""
    words = prompt.split()
    hashes: list[int] = []
    state = xxhash.xxh3_64()
    for start in range(0, len(words) - N_BLOCK_WORDS + 1, N_BLOCK_WORDS):
        state.update(" ".join(words[start : start + N_BLOCK_WORDS]).encode())
        state.update(b"\0")
        value = state.intdigest()
        hashes.append(value - (1 << 64) if value >> 63 else value)
    return hashes


def _words(key: str, n_words: int) -> list[str]:
    seed = xxhash.xxh3_64_intdigest(key.encode())
    words: list[str] = []
    for i in range(n_words):
        seed = (seed * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        word = _VOCABULARY[(seed >> 33) % len(_VOCABULARY)]
        words.append(f"{word}{i}")
    return words
