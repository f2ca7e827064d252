"""Parses and validates the operator's configuration, and computes digests that identify equal documents.

``parse_configuration`` rejects what the protocol specification calls invalid and nothing else: unknown fields are
ignored, ``null`` is equivalent to an absent optional field, and a number may be written with or without a fractional
part.
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
    """Return the JSON object in ``body``. Raises ``InvalidConfiguration`` if ``body`` is not a JSON object."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidConfiguration("", f"expected a JSON object: {error}") from error
    if type(document) is not dict:
        raise InvalidConfiguration("", f"expected a JSON object: found {type(document).__name__}")
    return document


def configuration_from(document: JsonObject) -> Configuration:
    """Return the validated configuration in a JSON object. Raises ``InvalidConfiguration``."""
    configuration = read_object(Configuration, document)
    check_configuration(configuration)
    return configuration


def parse_configuration(body: bytes) -> Configuration:
    """Return the validated configuration in the request ``body``. Raises ``InvalidConfiguration``."""
    return configuration_from(read_document(body))


def document_digest(document: JsonObject) -> bytes:
    """Return a SHA-256 digest of a JSON object that does not depend on the order of its fields."""
    return sha256(orjson.dumps(document, option=orjson.OPT_SORT_KEYS)).digest()


def body_digest(body: bytes) -> bytes:
    """Return a SHA-256 digest of the JSON object in ``body``, including unknown fields.

    It does not depend on the order of fields or on white space. Raises ``InvalidConfiguration``.
    """
    return document_digest(read_document(body))
