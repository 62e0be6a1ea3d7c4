"""Rendezvous hashing: assigns keys to members so that a membership change moves few keys."""

from collections.abc import Iterable

import xxhash


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Order members by preference for a key.

    Removing a member leaves the relative order of the others unchanged, so only the keys of the
    removed member move.

    :param key: the key to place
    :param members: member names
    :return: all members, most preferred first
    """
    return sorted(
        members,
        key=lambda member: (xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode()), member),
        reverse=True,
    )


def choose(key: str, members: Iterable[str]) -> str | None:
    """Return the most preferred member for a key, or None if there are no members."""
    return max(
        members,
        key=lambda member: (xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode()), member),
        default=None,
    )
