"""Order of target records: which of two records about a target is newer."""

import xxhash

from almondshore.core.messages import TargetRecord, TargetState


def order_key(record: TargetRecord) -> tuple:
    """Return a key that is higher for the newer of two records of one target.

    A higher incarnation wins, then the higher state. Records that differ only in other fields
    come from two owners of one target name; comparing all fields makes every node keep the same.
    """
    return (record.incarnation, record.state, record)


def is_newer(record: TargetRecord, known: TargetRecord | None) -> bool:
    """Return whether a record replaces the known one."""
    return known is None or order_key(record) > order_key(known)


def declared_dead(record: TargetRecord) -> TargetRecord:
    """Return the record that declares the target dead at its present incarnation."""
    return record._replace(state=TargetState.DEAD)


def record_hash(record: TargetRecord) -> int:
    """Return a 64-bit hash of a record; a zone's digest is the XOR over its records."""
    text = "\0".join(str(field) for field in record)
    return xxhash.xxh3_64_intdigest(text.encode())
