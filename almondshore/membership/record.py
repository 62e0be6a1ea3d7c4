"""Ordering and hashing of target records."""

import xxhash

from almondshore.core.messages import TargetRecord, TargetState


def order_key(record: TargetRecord) -> tuple:
    """Return a sort key that is higher for the newer of two records of one target.

    The record with the higher incarnation is newer; at the same incarnation, the one with the
    higher state. Records that differ only in other fields come from two owners of the same target
    name; comparing all fields makes every node keep the same one.
    """
    return (record.incarnation, record.state, record)


def is_newer(record: TargetRecord, known: TargetRecord | None) -> bool:
    """Return whether a record replaces the known one."""
    return known is None or order_key(record) > order_key(known)


def declared_dead(record: TargetRecord) -> TargetRecord:
    """Return a record that marks the target as dead at its current incarnation."""
    return record._replace(state=TargetState.DEAD)


def record_hash(record: TargetRecord) -> int:
    """Return a 64-bit hash of a record; a zone's digest is the XOR over its records."""
    text = "\0".join(str(field) for field in record)
    return xxhash.xxh3_64_intdigest(text.encode())
