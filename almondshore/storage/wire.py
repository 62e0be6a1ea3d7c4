"""JSON documents of the platform's object API; values are encoded as base64."""

from typing import TypedDict

from almondshore.storage.port import StoredObject


class ObjectDocument(TypedDict):
    """A stored object."""

    key: str
    value: bytes
    revision: int
    write_id: str


class ObjectResponse(TypedDict):
    """Response to a read or write of one object; None if it contains no object."""

    object: ObjectDocument | None


class ListResponse(TypedDict):
    """Response to a list call."""

    objects: list[ObjectDocument]


class WatchResponse(TypedDict):
    """Response to a watch call."""

    position: int
    objects: list[ObjectDocument]


class PutRequest(TypedDict):
    """Request body of a write."""

    value: bytes


def to_document(stored: StoredObject) -> ObjectDocument:
    """Convert an object to its JSON document."""
    return ObjectDocument(**stored._asdict())


def from_document(document: ObjectDocument) -> StoredObject:
    """Convert a JSON document to an object."""
    return StoredObject(**document)
