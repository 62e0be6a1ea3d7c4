"""Checks of tenants, their keys and their quotas."""

from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import NamedTuple

from almondshore.mesh.model import Route
from almondshore.preflight.findings import ConfigFinding, Path, error, warning
from almondshore.tenants.table import Tenant, digest_key


class Holder(NamedTuple):
    """A tenant as the configuration describes it.

    :ivar path: path of the tenant in the document
    :ivar digests: digests of its keys with the path of each key
    """

    path: Path
    tenant: Tenant
    digests: Sequence[tuple[Path, bytes]]


def check_tenants(holders: Sequence[Holder]) -> Iterator[ConfigFinding]:
    """Check the tenants of a configuration. Findings name tenants and places, never keys."""
    holder_of: dict[bytes, Holder] = {}
    empty = digest_key(b"")
    for holder in holders:
        if not holder.digests:
            yield warning(
                holder.path, "tenant-without-keys", "no request can be identified as this tenant's"
            )
        for path, digest in holder.digests:
            first = holder_of.setdefault(digest, holder)
            if digest == empty:
                yield error(path, "empty-key", "the key is empty")
            elif first is not holder:
                name = first.tenant.name
                yield error(path, "key-of-two-tenants", f"tenant {name} holds the same key")
        if len({digest for _, digest in holder.digests}) < len(holder.digests):
            yield warning(holder.path, "repeated-key", "a key is listed more than once")
        yield from _check_quota(holder.path, holder.tenant)


def check_capacity(
    holders: Sequence[Holder], routes: Collection[Route], slots: Mapping[str, int]
) -> Iterator[ConfigFinding]:
    """Compare each tenant's rate with the requests that all slots together can carry.

    A request is assumed to occupy a slot for no longer than the latency objective of its route;
    the capacity of a service is based on the shortest objective of the routes that lead to it.

    :param slots: number of slots of each service; there is no result unless all services that
        routes lead to are contained
    """
    objective_s: dict[str, float] = {}
    for route in routes:
        for share in route.shares:
            if share.weight > 0 and route.objective:
                seconds = route.objective.total_seconds()
                objective_s[share.service] = min(seconds, objective_s.get(share.service, seconds))
    if not objective_s or not objective_s.keys() <= slots.keys():
        return
    capacity = sum(slots[name] / seconds for name, seconds in objective_s.items())
    for holder in holders:
        rate = holder.tenant.rate_per_s
        if rate > capacity:
            yield warning(
                holder.path,
                "quota-above-capacity",
                f"the rate of {rate:g}/s is above the {capacity:g}/s that the slots can carry",
            )


def _check_quota(path: Path, tenant: Tenant) -> Iterator[ConfigFinding]:
    rate, burst = tenant.rate_per_s, tenant.burst
    if rate < 0 or burst < 0:
        yield error(path, "negative-quota", "the rate or the burst is negative")
    elif 0 < burst < 1:
        yield error(path, "burst-below-one", f"a burst of {burst:g} admits no request")
    elif rate and not burst:
        yield warning(
            path, "burst-below-one", "a rate without a burst admits no two requests at once"
        )
    elif burst and not rate:
        yield warning(path, "burst-without-rate", "the burst has no effect without a rate")
