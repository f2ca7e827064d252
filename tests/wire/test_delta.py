"""Deltas of byte strings: round trips, sizes, and malformed deltas."""

import random
import unittest
from contextlib import suppress

import orjson

from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.control_state import ControlState
from rowanshift.wire.delta import (
    COPY,
    LITERAL,
    MAX_BLOCK_BYTES,
    OPERATION,
    apply_delta,
    make_delta,
    split_into_blocks,
)
from rowanshift.wire.errors import MalformedDelta

MAX_BYTES = 1 << 24


def configuration(revision: int, routes: int = 400, tenants: int = 1000, timeout: int = 5000) -> bytes:
    """A configuration of the size at which frequent changes must be supported; the middle route has ``timeout``."""
    rows = [
        {
            "name": f"r-{n}",
            "hostname": f"h{n % 7}.example",
            "pathPrefix": f"/p{n}/",
            "routeType": "streaming",
            "timeoutMs": timeout if n == routes // 2 else 5000,
            "targetLatencyMs": 600,
            "priority": 1,
            "backend": "s",
            "retries": 2,
        }
        for n in range(routes)
    ]
    tenants = [{"name": f"t-{n}", "apiKeys": [f"key-{n}-a", f"key-{n}-b"]} for n in range(tenants)]
    fields = {"revision": revision, "routes": rows, "backends": [{"name": "s"}], "tenants": tenants}
    return orjson.dumps(fields)


class RoundTrip(unittest.TestCase):
    def test_random_changes(self) -> None:
        random_source = random.Random(3)
        for _ in range(300):
            old = b"".join(
                random_source.choice((b'{"a":1},', b"},", b"x" * 900, random_source.randbytes(50))) for _ in range(40)
            )
            new = bytearray(old)
            for _ in range(random_source.randrange(6)):
                offset = random_source.randrange(len(new) + 1)
                new[offset : offset + random_source.randrange(300)] = random_source.randbytes(
                    random_source.randrange(80)
                )
            self.assertEqual(apply_delta(old, make_delta(old, bytes(new)), MAX_BYTES), bytes(new))

    def test_short_strings(self) -> None:
        for old, new in ((b"", b""), (b"", b"a"), (b"a", b""), (b"ab", b"ab"), (b"},},", b"},"), (b"},", b"},},},")):
            self.assertEqual(apply_delta(old, make_delta(old, new), MAX_BYTES), new)

    def test_blocks_cover_all_bytes_in_order(self) -> None:
        data = b"x" * (3 * MAX_BLOCK_BYTES + 5) + b"},},{}" + b"y" * MAX_BLOCK_BYTES
        self.assertEqual(b"".join(data[block] for block in split_into_blocks(data)), data)
        self.assertLessEqual(max(block.stop - block.start for block in split_into_blocks(data)), MAX_BLOCK_BYTES)


class Sizes(unittest.TestCase):
    def test_the_delta_of_a_small_change_is_small(self) -> None:
        before, _ = put_config(ControlState(), "0", configuration(1))
        for revision in range(2, 400):
            before = ControlState(before.revision, before.config, {}, before.orders.with_order(revision, bytes(32)))
        after, _ = put_config(before, "1", configuration(500, timeout=7000))
        old, new = before.pack(), after.pack()
        delta = make_delta(old, new)
        self.assertEqual(apply_delta(old, delta, MAX_BYTES), new)
        self.assertGreater(len(new), 100_000)
        self.assertLess(len(delta), 6 * MAX_BLOCK_BYTES)

    def test_equal_strings_give_a_single_operation(self) -> None:
        data = configuration(1)
        self.assertEqual(len(make_delta(data, data)), OPERATION.size)


class MalformedDeltas(unittest.TestCase):
    def test_invalid_deltas_are_refused(self) -> None:
        old = b"abcdef"
        for delta in (
            b"\0",
            OPERATION.pack(COPY, 0, 7),
            OPERATION.pack(COPY, 9, 1),
            OPERATION.pack(LITERAL, 0, 3) + b"ab",
            OPERATION.pack(7, 0, 1),
            OPERATION.pack(COPY, 0, 6)[:-1],
        ):
            with self.subTest(delta=delta), self.assertRaises(MalformedDelta):
                apply_delta(old, delta, MAX_BYTES)

    def test_a_result_beyond_the_limit_is_refused(self) -> None:
        delta = OPERATION.pack(COPY, 0, 6) * 3
        self.assertEqual(len(apply_delta(b"abcdef", delta, 18)), 18)
        with self.assertRaises(MalformedDelta):
            apply_delta(b"abcdef", delta, 17)

    def test_a_damaged_delta_is_applied_or_refused(self) -> None:
        random_source, old = random.Random(4), configuration(1, 20, 20)
        delta = make_delta(old, configuration(2, 20, 20, 9000))
        for _ in range(2000):
            damaged = bytearray(delta)
            damaged[random_source.randrange(len(damaged))] = random_source.randrange(256)
            with suppress(MalformedDelta):
                apply_delta(old, bytes(damaged), MAX_BYTES)


if __name__ == "__main__":
    unittest.main()
