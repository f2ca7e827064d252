"""Pools of prefix blocks: which tenants may use each other's blocks, by the configuration in force. No I/O.

Servers and stores keep blocks under the text of ``Cache-Salt``, which is all that tells blocks of different tenants
apart; they don't know tenants, and keep blocks over changes of the configuration. So the text names the pool:

- an isolated tenant has a pool of its own, named after it;
- the tenants that aren't isolated share one pool, named after the set of those that are.

Hence all blocks of a shared pool were made by tenants that are outside the set of its name, whenever that was, and are
used under a configuration with the same set alone. Every router works out the same names from the configuration.
"""

from collections.abc import Iterable
from hashlib import blake2b
from urllib.parse import quote

SHARED_POOL_OF_ALL = b""  # of the tenants while none is isolated
SHARED_POOL_MARK = b"+"  # begins the name of a shared pool; ``quote`` leaves it in no name of a tenant
NAMELESS_TENANT = b"%"  # the pool of an isolated tenant with an empty name; ``quote`` gives no such text
DIGEST_BYTES = 12


def tenant_pool(name: bytes) -> bytes:
    """The pool of an isolated tenant. Different names give different pools."""
    return quote(name, safe="").encode() or NAMELESS_TENANT


def shared_pool(isolated_names: Iterable[bytes]) -> bytes:
    """The pool of the tenants that are not isolated, by the names of those that are."""
    pools = sorted({tenant_pool(name) for name in isolated_names})
    if not pools:
        return SHARED_POOL_OF_ALL
    return SHARED_POOL_MARK + blake2b(b",".join(pools), digest_size=DIGEST_BYTES).hexdigest().encode()


def cache_salt(pool: bytes, version: int) -> bytes:
    """The salt of a pool's blocks for one version of a model's weights."""
    return b"v%d.%s" % (version, pool)
