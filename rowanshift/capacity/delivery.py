"""What a change of the configuration takes on the wire: the whole against a difference. No I/O."""

import time
import zlib
from typing import Any

import orjson

from rowanshift.capacity.hollow import changed, configuration
from rowanshift.capacity.sizes import update
from rowanshift.dataplane.routing_table import parse_routing_table
from rowanshift.wire.codec import FRAME_HEADER

DIFFERENCE_HEAD = FRAME_HEADER.size + 16 + 8 + 8 + 4  # frame, stamp, base's revision, revision, length


def difference(before: dict[str, Any], after: dict[str, Any]) -> bytes:
    """What a record of a difference would carry, compressed: rows that are new or changed, names gone."""
    made = {}
    for kind in ("routes", "backends", "tenants"):
        old = {row["name"]: row for row in before[kind]}
        new = {row["name"]: row for row in after[kind]}
        rows = [row for name, row in new.items() if old.get(name) != row]
        gone = [name for name in old if name not in new]
        if rows or gone:
            made[kind] = {"put": rows, "gone": gone}
    return zlib.compress(orjson.dumps(made), 1)


def measured(tenants: int, routes: int, pools: int) -> dict[str, float]:
    """Bytes of the body, of the whole as sent, of differences; CPU seconds to compress and to read."""
    before = configuration(tenants, routes, pools)
    after = changed(before, 2)
    body = orjson.dumps(after)
    at = time.process_time()
    packed = zlib.compress(body, 1)
    packed_at = time.process_time()
    parse_routing_table(2, zlib.decompress(packed), {})
    read_at = time.process_time()
    apart = difference(before, after)
    moved = after["routes"][0] | {"timeoutMs": 16000} if routes else None
    route = difference(before, before | {"routes": [moved, *before["routes"][1:]]}) if moved else b""
    return {
        "body": len(body),
        "packed": len(packed),
        "whole": update(1, len(packed)),
        "tenant_difference": DIFFERENCE_HEAD + len(apart),
        "route_difference": DIFFERENCE_HEAD + len(route) if moved else 0,
        "compress_cpu_s": round(packed_at - at, 6),
        "read_cpu_s": round(read_at - packed_at, 6),
    }
