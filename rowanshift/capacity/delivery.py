"""Bytes on the wire of a configuration change, sent in full or as a difference. No I/O."""

import time
import zlib
from typing import Any

import orjson

from rowanshift.capacity.hollow import generate_configuration, with_changed_tenant_key
from rowanshift.capacity.sizes import update
from rowanshift.dataplane.routing_table import parse_routing_table
from rowanshift.wire.codec import FRAME_HEADER

DIFFERENCE_HEADER_BYTES = FRAME_HEADER.size + 16 + 8 + 8 + 4  # frame, state version, base revision, revision, length


def encode_difference(before: dict[str, Any], after: dict[str, Any]) -> bytes:
    """Returns the compressed body of a difference record: new and changed rows, and the names of removed rows."""
    changes = {}
    for kind in ("routes", "backends", "tenants"):
        old = {row["name"]: row for row in before[kind]}
        new = {row["name"]: row for row in after[kind]}
        rows = [row for name, row in new.items() if old.get(name) != row]
        removed = [name for name in old if name not in new]
        if rows or removed:
            changes[kind] = {"put": rows, "gone": removed}
    return zlib.compress(orjson.dumps(changes), 1)


def measure(tenants: int, routes: int, pools: int) -> dict[str, float]:
    """Returns the bytes of the body, of the full update and of differences, and the CPU seconds to compress and to
    parse."""
    before = generate_configuration(tenants, routes, pools)
    after = with_changed_tenant_key(before, 2)
    body = orjson.dumps(after)
    started = time.process_time()
    packed = zlib.compress(body, 1)
    packed_at = time.process_time()
    parse_routing_table(2, zlib.decompress(packed), {})
    read_at = time.process_time()
    tenant_difference = encode_difference(before, after)
    changed_route = after["routes"][0] | {"timeoutMs": 16000} if routes else None
    route_difference = (
        encode_difference(before, before | {"routes": [changed_route, *before["routes"][1:]]}) if changed_route else b""
    )
    return {
        "body": len(body),
        "packed": len(packed),
        "whole": update(1, len(packed)),
        "tenant_difference": DIFFERENCE_HEADER_BYTES + len(tenant_difference),
        "route_difference": DIFFERENCE_HEADER_BYTES + len(route_difference) if changed_route else 0,
        "compress_cpu_s": round(packed_at - started, 6),
        "read_cpu_s": round(read_at - packed_at, 6),
    }
