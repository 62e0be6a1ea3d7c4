"""Settings of a node, read from a YAML file and validated key by key."""

from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from almondshore.core.errors import InvalidInputError
from almondshore.core.findings import FindingList
from almondshore.daemon.fields import (
    Field,
    FieldError,
    address,
    boolean,
    identifier,
    number,
    string,
)
from almondshore.daemon.yaml_nodes import add_finding, read_nodes
from almondshore.mesh.model import Address
from almondshore.mesh.rollout import ExposureBound


class QuotaBound(NamedTuple):
    """Requests of a tenant that may run in a time window beyond its quota.

    :ivar window: length of the window
    :ivar overage: share of the quota
    :ivar slack: number of requests
    """

    window: timedelta = timedelta(seconds=5)
    overage: float = 0.1
    slack: float = 20.0


class WarmupBound(NamedTuple):
    """Requests that a cold target may get in a second.

    :ivar factor: multiple of the rate that it bears
    :ivar slack: number of requests beyond that
    """

    factor: float = 1.5
    slack: float = 8.0


class Bounds(NamedTuple):
    """Bounds that the operator of the deployment sets.

    :ivar drain: longest time in which a draining target gets new requests
    :ivar grace: time from the stop signal until the process is killed
    :ivar retry_ratio: allowed retries of all nodes as a share of the requests to a service
    :ivar retry_window: time window in which retries are counted
    :ivar retry_floor: retries that are always allowed in a window, for all nodes together
    :ivar exposure: requests that a faulty version may get in its rollout
    :ivar evacuation: longest time until an evacuated zone gets no more requests, None where zones
        are not evacuated
    :ivar quota: how far a tenant may exceed its quota
    :ivar warmup: how far cold targets may be loaded beyond the rate that they bear
    """

    drain: timedelta
    grace: timedelta
    retry_ratio: float
    retry_window: timedelta
    retry_floor: int
    exposure: ExposureBound = ExposureBound()
    evacuation: timedelta | None = None
    quota: QuotaBound = QuotaBound()
    warmup: WarmupBound = WarmupBound()


class MeshSettings(NamedTuple):
    """All settings of one node.

    :ivar service: service of the target on this host
    :ivar app: address of that target
    :ivar outbound: listen address for requests that originate on this host
    :ivar inbound: listen address for requests of other nodes
    :ivar ready: listen address for readiness checks
    :ivar control: listen address for announcements of the target
    :ivar metrics: listen address for metrics and status
    :ivar quotas: listen address for datagrams about quotas, None without quotas over all nodes
    :ivar link_mbps: bandwidth of the host's link; nodes with high bandwidth watch the store on
        behalf of others
    :ivar first_start: whether all nodes start for the first time, with nothing in the store but
        what the operator has written
    :ivar memory_mb: memory of the host in megabytes, 0 if it is not known; read at the start only
    """

    node: str
    zone: str
    service: str
    app: Address
    outbound: Address
    inbound: Address
    ready: Address
    control: Address
    metrics: Address
    store: Address
    bounds: Bounds
    link_mbps: float = 0.0
    first_start: bool = False
    quotas: Address | None = None
    memory_mb: float = 0.0


MAX_LINK_MBPS = 1_000_000
MAX_MEMORY_MB = 1_000_000
FIELDS: dict[str, Field] = {
    "node": identifier(),
    "zone": identifier(),
    "service": identifier(),
    "app": address(),
    "listen.outbound": address(),
    "listen.inbound": address(),
    "listen.ready": address(),
    "listen.control": address(),
    "listen.metrics": address(),
    "listen.quotas": address(),
    "store": address(),
    "link_mbps": number(0, MAX_LINK_MBPS),
    "first_start": boolean(),
    "bounds": string(),
    "memory_mb": number(0, MAX_MEMORY_MB),
}
# Settings that may be left out; their values are then those of ``MeshSettings``.
OPTIONAL_FIELDS = frozenset(("listen.quotas", "memory_mb"))


DecodeBounds = Callable[[str], Bounds]


def load_mesh_settings(path: str | Path, decode_bounds: DecodeBounds) -> MeshSettings:
    """Read a settings file.

    :param decode_bounds: decodes the deployment's notation of the bounds; raises ValueError
    :raises InvalidInputError: with all findings, if anything in the file is wrong
    """
    findings = FindingList(file=str(path))
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        findings.add(line=0, column=0, code="unreadable", message=str(error.strerror or error))
        raise InvalidInputError(findings.sorted()) from error
    return parse_mesh_settings(data, findings, decode_bounds)


def parse_mesh_settings(
    data: bytes, findings: FindingList, decode_bounds: DecodeBounds
) -> MeshSettings:
    """Parse settings given as YAML.

    :param findings: receives all errors, with their positions
    :raises InvalidInputError: with all findings, if anything is wrong
    """
    nodes = read_nodes(data, FIELDS, findings)
    values = {}
    for key, field in FIELDS.items():
        if key not in nodes and key in OPTIONAL_FIELDS:
            continue
        if key not in nodes:
            message = f"{key} has no default and must be set"
            findings.add(line=0, column=0, code="missing", message=message)
            continue
        try:
            values[key] = field(nodes[key])
        except FieldError as error:
            add_finding(findings, error.node, error.code, f"{key}: {error.message}")
    bounds = None
    if "bounds" in values:
        try:
            bounds = decode_bounds(values["bounds"])
        except ValueError as error:
            add_finding(findings, nodes["bounds"], "malformed", f"bounds: {error}")
    if findings or bounds is None:
        raise InvalidInputError(findings.sorted())

    def parse_address(key: str) -> Address:
        host, _, port = values[key].rpartition(":")
        return host, int(port)

    return MeshSettings(
        node=values["node"],
        zone=values["zone"],
        service=values["service"],
        app=parse_address("app"),
        outbound=parse_address("listen.outbound"),
        inbound=parse_address("listen.inbound"),
        ready=parse_address("listen.ready"),
        control=parse_address("listen.control"),
        metrics=parse_address("listen.metrics"),
        store=parse_address("store"),
        bounds=bounds,
        link_mbps=values["link_mbps"],
        first_start=values["first_start"],
        quotas=parse_address("listen.quotas") if "listen.quotas" in values else None,
        memory_mb=values.get("memory_mb", 0.0),
    )
