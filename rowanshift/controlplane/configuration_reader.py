"""Reads the operator's configuration from JSON and checks it; digests tell whether two documents are the same.

``parse_configuration`` refuses what the protocol's page calls invalid and nothing else: fields it does not know are
ignored, ``null`` stands for an absent field wherever a field may be absent, and a number may be written with or without
a fraction.
"""

from __future__ import annotations

from hashlib import sha256
from typing import Any

import orjson

from rowanshift.controlplane.configuration import Configuration
from rowanshift.controlplane.configuration_checks import check_configuration
from rowanshift.controlplane.configuration_fields import read_object
from rowanshift.controlplane.errors import InvalidConfiguration

JsonObject = dict[str, Any]


def read_document(body: bytes) -> JsonObject:
    """The JSON object in ``body``. Raises ``InvalidConfiguration`` where there is none."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidConfiguration("", f"can't be read whole: {error}") from error
    if type(document) is not dict:
        raise InvalidConfiguration("", "can't be read whole: no JSON object")
    return document


def configuration_from(document: JsonObject) -> Configuration:
    """The configuration in a JSON object, checked. Raises ``InvalidConfiguration``."""
    configuration = read_object(Configuration, document)
    check_configuration(configuration)
    return configuration


def parse_configuration(body: bytes) -> Configuration:
    """The configuration in the operator's ``body``, checked. Raises ``InvalidConfiguration``."""
    return configuration_from(read_document(body))


def document_digest(document: JsonObject) -> bytes:
    """32 bytes that are equal for equal JSON objects, whatever the order of their fields."""
    return sha256(orjson.dumps(document, option=orjson.OPT_SORT_KEYS)).digest()


def body_digest(body: bytes) -> bytes:
    """32 bytes that are equal for bodies that hold the very same configuration, unknown fields included.

    The order of an object's fields and the space between them don't count. Raises ``InvalidConfiguration``.
    """
    return document_digest(read_document(body))
