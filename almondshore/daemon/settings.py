"""Settings of almondshored: a YAML file merged with the defaults, each key validated."""

from datetime import timedelta
from importlib.resources import files
from pathlib import Path
from typing import Any, NamedTuple

import yaml

from almondshore.core.errors import InvalidInputError
from almondshore.core.findings import FindingList
from almondshore.daemon.fields import (
    Field,
    FieldError,
    address,
    addresses,
    choice,
    http_url,
    identifier,
    integer,
    milliseconds,
)
from almondshore.daemon.yaml_nodes import add_finding, read_nodes

DEFAULTS_NAME = "config_default.yaml"
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")


class ListenSettings(NamedTuple):
    """Listening addresses, ``ip:port``.

    :ivar caller: HTTP for callers from outside (hop 1)
    :ivar internal: HTTP for calls of the targets on this host, whose deadline and attempt
        headers are trusted (hop 1)
    :ivar peer: HTTP for other nodes (hop 2)
    :ivar control: control messages of other nodes
    :ivar admin: HTTP for health, metrics, status, announcements and drain
    """

    caller: str
    internal: str
    peer: str
    control: str
    admin: str


class PlatformSettings(NamedTuple):
    """Base URL of the platform and timeout of each call to it."""

    url: str
    timeout: timedelta


class RelaySettings(NamedTuple):
    """Sizing of relays and their backlogs.

    :ivar nodes_per_slot: nodes of an availability zone for each relay slot
    :ivar backlog_deltas: number of deltas kept for lagging subscribers; a subscriber that needs
        older ones is sent a snapshot
    :ivar backlog_bytes: maximum total size of these deltas
    :ivar snapshots_per_second: maximum rate at which a relay sends snapshots
    """

    nodes_per_slot: int
    backlog_deltas: int
    backlog_bytes: int
    snapshots_per_second: int


class LimitSettings(NamedTuple):
    """Limits on requests and tables.

    :ivar queue_length: maximum number of requests that wait for the slots of a target
    :ivar max_body_bytes: maximum size of a request or response body
    :ivar max_header_bytes: maximum total size of the headers of a request
    :ivar tenants: maximum number of tenants with a limit and a metric of their own
    """

    queue_length: int
    max_body_bytes: int
    max_header_bytes: int
    tenants: int


class LogSettings(NamedTuple):
    """Logging.

    :ivar level: lowest level that is written, one of ``LOG_LEVELS``
    """

    level: str


class Settings(NamedTuple):
    """All settings of one node.

    :ivar peers: control addresses of other nodes, without the node's own
    :ivar drain_timeout: maximum duration of a drain
    """

    node: str
    zone: str
    listen: ListenSettings
    platform: PlatformSettings
    peers: tuple[str, ...]
    relay: RelaySettings
    limits: LimitSettings
    drain_timeout: timedelta
    log: LogSettings


FIELDS: dict[str, Field] = {
    "node": identifier(),
    "zone": identifier(),
    "listen.caller": address(any_interface=True),
    "listen.internal": address(),
    "listen.peer": address(),
    "listen.control": address(),
    "listen.admin": address(any_interface=True),
    "platform.url": http_url(),
    "platform.timeout_ms": milliseconds(10, 60_000),
    "peers": addresses(),
    "relay.nodes_per_slot": integer(1, 10_000),
    "relay.backlog_deltas": integer(1, 10_000),
    "relay.backlog_bytes": integer(1024, 64 * 1024 * 1024),
    "relay.snapshots_per_second": integer(1, 10_000),
    "limits.queue_length": integer(1, 100_000),
    "limits.max_body_bytes": integer(1024, 1024 * 1024 * 1024),
    "limits.max_header_bytes": integer(1024, 1024 * 1024),
    "limits.tenants": integer(1, 100_000),
    "drain_timeout_ms": milliseconds(0, 3_600_000),
    "log.level": choice(LOG_LEVELS),
}


def load_settings(path: str | Path) -> Settings:
    """Read a settings file and merge it with the defaults.

    :raises InvalidInputError: with all findings, if anything in the file is wrong
    """
    name = str(path)
    findings = FindingList(file=name)
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        findings.add(line=0, column=0, code="unreadable", message=str(error.strerror or error))
        raise InvalidInputError(findings.sorted()) from error
    return parse_settings(data, name=name)


def parse_settings(data: bytes, *, name: str) -> Settings:
    """Parse settings in YAML and merge them with the defaults.

    :param name: file name shown in findings
    :raises InvalidInputError: with all findings, if anything is wrong
    """
    default_findings = FindingList(file=DEFAULTS_NAME)
    default_data = files("almondshore.daemon").joinpath(DEFAULTS_NAME).read_bytes()
    values = _convert(read_nodes(default_data, FIELDS, default_findings), default_findings)
    findings = FindingList(file=name)
    nodes = read_nodes(data, FIELDS, findings)
    defaults = {key: value for key, value in values.items() if key not in nodes}
    values = defaults | _convert(nodes, findings)
    if not any(item.code == "syntax" for item in findings.items):
        _check_missing({*values, *nodes}, findings)
    _check_listen_addresses(values, nodes, findings)
    if default_findings or findings:
        raise InvalidInputError(default_findings.sorted() + findings.sorted())
    return _build(values)


def _convert(nodes: dict[str, yaml.Node], findings: FindingList) -> dict[str, Any]:
    """Return the valid values by key; each invalid one becomes a finding."""
    values: dict[str, Any] = {}
    for key, node in nodes.items():
        try:
            values[key] = FIELDS[key](node)
        except FieldError as error:
            add_finding(findings, error.node, error.code, f"{key}: {error.message}")
    return values


def _check_missing(present: set[str], findings: FindingList) -> None:
    for key in FIELDS:
        if key not in present:
            message = f"{key} has no default and must be set"
            findings.add(line=0, column=0, code="missing", message=message)


def _check_listen_addresses(
    values: dict[str, Any], nodes: dict[str, yaml.Node], findings: FindingList
) -> None:
    """Add a finding for each listener that shares its address with another one."""
    key_by_address: dict[str, str] = {}
    for key in (f"listen.{name}" for name in ListenSettings._fields):
        first_key = key_by_address.setdefault(values[key], key) if key in values else key
        if first_key != key:
            node = nodes.get(key) or nodes[first_key]
            message = f"{key} and {first_key} are both {values[key]}"
            add_finding(findings, node, "address-in-use", message)


def _build(values: dict[str, Any]) -> Settings:
    """Build the settings from validated values by dotted key."""

    def section(prefix: str) -> dict[str, Any]:
        """Return the values under a prefix by field name; the suffix ``_ms`` is removed."""
        return {
            key.removeprefix(prefix).removesuffix("_ms"): value
            for key, value in values.items()
            if key.startswith(prefix)
        }

    listen = ListenSettings(**section("listen."))
    return Settings(
        node=values["node"],
        zone=values["zone"],
        listen=listen,
        platform=PlatformSettings(**section("platform.")),
        peers=tuple(peer for peer in values["peers"] if peer != listen.control),
        relay=RelaySettings(**section("relay.")),
        limits=LimitSettings(**section("limits.")),
        drain_timeout=values["drain_timeout_ms"],
        log=LogSettings(**section("log.")),
    )
