"""JSON documents of the platform's object API; values travel as base64."""

from typing import TypedDict

from almondshore.storage.port import StoredObject


class ObjectDocument(TypedDict):
    """A stored object."""

    key: str
    value: bytes
    revision: int
    write_id: str


class ObjectResponse(TypedDict):
    """Answer to a read or write of one object; None if there is no object to show."""

    object: ObjectDocument | None


class ListResponse(TypedDict):
    """Answer to a list call."""

    objects: list[ObjectDocument]


class WatchResponse(TypedDict):
    """Answer to a watch call."""

    position: int
    objects: list[ObjectDocument]


class PutRequest(TypedDict):
    """Body of a write."""

    value: bytes


def to_document(stored: StoredObject) -> ObjectDocument:
    """Convert an object to its JSON document."""
    return ObjectDocument(**stored._asdict())


def from_document(document: ObjectDocument) -> StoredObject:
    """Convert a JSON document to an object."""
    return StoredObject(**document)
