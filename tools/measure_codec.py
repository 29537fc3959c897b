"""Print the time to encode and decode one start frame.

Run it with ``python -m tools.measure_codec``.
"""

import timeit

from trefoilpaddle.protocol.frames import LENGTH_BYTES, decode, encode
from trefoilpaddle.protocol.gen.stage.ttypes import Start

N_ROUNDS = 20_000
N_REPEATS = 5
MICROSECONDS = 1_000_000


def main() -> None:
    start = Start(
        attempt_id=b"a" * 16,
        request_id="entry-1-gateway.1f.2e",
        pipeline="draft-guarantee",
        stage="generate",
        service_name="draft",
        entry="banca-nord.drafting",
        owner="banca-nord",
        class_of_work="drafting",
        path="/v1/completions",
        body=b"x" * 100,
    )
    frame = encode(start)
    payload = frame[LENGTH_BYTES:]
    written = min(
        timeit.repeat(lambda: encode(start), number=N_ROUNDS, repeat=N_REPEATS)
    )
    read = min(
        timeit.repeat(lambda: decode(payload), number=N_ROUNDS, repeat=N_REPEATS)
    )
    print(f"write {MICROSECONDS * written / N_ROUNDS:.1f} us")
    print(f"read {MICROSECONDS * read / N_ROUNDS:.1f} us, {len(frame)} bytes")


if __name__ == "__main__":
    main()
