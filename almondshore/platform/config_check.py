"""Checks a configuration as the operator stores it, before it is put into force."""

import re
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from almondshore.core.decoding import decode_json
from almondshore.mesh.model import Route, RouteKind
from almondshore.platform import documents
from almondshore.platform.documents import (
    ConfigDocument,
    RouteDocument,
    ServiceDocument,
)
from almondshore.preflight.findings import ConfigFinding, Path, error, format_path, warning
from almondshore.preflight.places import Places
from almondshore.preflight.routes import check_routes, unused_services
from almondshore.preflight.tenants import Holder, check_capacity, check_tenants
from almondshore.tenants.table import Tenant

_ERROR_BYTE = re.compile(r"\(byte (\d+)\)")
# The place in a message of the decoder, such as " - at `$.limits.idle_timeout_s`".
_ERROR_PLACE = re.compile(r" - at `\$(.*)`\Z")
_PLACE_PART = re.compile(r"(\[\.\.\.\])|\.([^.\[]+)|\[(\d+)\]")
TENANTS = "tenants"
# Route type of the kind that the decoder also uses for types that it does not know.
ONCE_TYPE = "non_idempotent"
NO_SLOTS: Mapping[str, int] = {}


class CheckedConfig(NamedTuple):
    """Result of a check.

    :ivar document: decoded configuration, None if it cannot be put into force
    :ivar version: its version, 0 if it has none
    """

    places: Places
    findings: list[ConfigFinding]
    document: ConfigDocument | None
    version: int

    def position(self, finding: ConfigFinding) -> tuple[int, int]:
        """Return line and column of a finding."""
        return self.places.position(finding.path)


def check_config(raw: bytes, slots: Mapping[str, int] = NO_SLOTS) -> CheckedConfig:
    """Decode a configuration as nodes do and return all findings.

    :param slots: number of slots of each service, if known
    """
    text = raw.decode(errors="replace")
    try:
        members = decode_json(raw, dict[str, msgspec.Raw])
    except msgspec.MsgspecError as failure:
        places = Places(text="")
        match = _ERROR_BYTE.search(str(failure))
        if match is not None:
            before = raw[: int(match.group(1))].decode(errors="replace")
            places.text, places.offsets = text, {(): len(before)}
        return CheckedConfig(places, [error((), "malformed", str(failure))], None, 0)
    places = Places(text=text)
    findings = [
        error(path, "repeated-member", "the name occurs twice; only the last one has an effect")
        for path in places.repeated
        if not _may_hold_key(path)
    ]
    parts = _Parts(members)
    findings += parts.findings
    routes = parts.routes
    findings += check_routes(routes, parts.services)
    try:
        decoded = documents.decode_config(documents.replace_keys(raw))
        document = decode_json(documents.replace_keys(raw), ConfigDocument)
    except (msgspec.MsgspecError, ValueError) as failure:
        if not any(item.code == "malformed" for item in findings):
            findings.append(_malformed((), failure))
        return CheckedConfig(places, findings, None, 0)
    findings += unused_services([route for _, route in routes], parts.services)
    findings += _check_form(document, {route.name: route.kind for _, route in routes})
    holders = _holders(document)
    findings += check_tenants(holders)
    findings += check_capacity(holders, [route for _, route in routes], slots)
    return CheckedConfig(places, findings, document, decoded.version)


def compare(old: CheckedConfig, new: CheckedConfig) -> tuple[list[str], list[ConfigFinding]]:
    """Return the differences from the version in force, one line each, and findings in them.

    Of keys, only the numbers of those that were added and removed are stated.
    """
    if old.document is None or new.document is None:
        return [], []
    before, after = _parts_by_path(old.document), _parts_by_path(new.document)
    lines = [f"- {format_path(path)}" for path in before if path not in after]
    lines += [f"+ {format_path(path)}" for path in after if path not in before]
    for path, values in after.items():
        if path in before:
            changes = _changes(before[path], values)
            if changes:
                lines.append(f"~ {format_path(path)}: {', '.join(changes)}")
    findings = []
    if new.version < old.version or (new.version == old.version and lines):
        findings.append(
            error(
                ("version",),
                "version-not-higher",
                f"nodes ignore it, since version {old.version:08x} is in force",
            )
        )
    return lines, findings


class _Parts:
    """Decodes each part of a configuration by itself, to find all malformed ones.

    :ivar routes: routes that can be decoded, also those with the prefix of another one
    :ivar services: path of each service
    """

    def __init__(self, members: Mapping[str, msgspec.Raw]):
        self.findings: list[ConfigFinding] = []
        self.routes: list[tuple[Path, Route]] = []
        self.services: dict[str, Path] = {}
        base = {**members, "routes": {}, "services": {}, TENANTS: None}
        self._decode((), base)
        limits = {"max_header_bytes": 1, "max_body_bytes": 1}
        limits |= {"header_timeout_s": 1, "idle_timeout_s": 1}
        empty = {"version": "0", "routes": {}, "services": {}, "limits": limits}
        for kind in ("routes", "services", TENANTS):
            if kind not in members:
                if kind != TENANTS:
                    self.findings.append(error((kind,), "malformed", f"{kind} is missing"))
                continue
            try:
                entries = decode_json(members[kind], dict[str, msgspec.Raw] | None) or {}
            except msgspec.MsgspecError as failure:
                self.findings.append(_malformed((kind,), failure))
                continue
            for name, entry in entries.items():
                config = self._decode((kind, name), {**empty, kind: {name: entry}})
                if config is not None and kind == "routes":
                    found = [
                        route
                        for by_prefix in config.routes.hosts.values()
                        for route in by_prefix.values()
                    ]
                    self.routes.append(((kind, name), found[0]))
                if kind == "services":
                    self.services[name] = (kind, name)
                if kind in _FIELDS:
                    self._check_names((kind, name), entry, _FIELDS[kind])

    def _decode(self, path: Path, document: Mapping[str, Any]) -> Any:
        try:
            raw = documents.replace_keys(msgspec.json.encode(document))
            return documents.decode_config(raw)
        except (msgspec.MsgspecError, ValueError) as failure:
            self.findings.append(_malformed(path, failure))
            return None

    def _check_names(self, path: Path, entry: msgspec.Raw, known: tuple[str, ...]) -> None:
        try:
            given = decode_json(entry, dict[str, msgspec.Raw])
        except msgspec.MsgspecError:
            # Reported by the decoder.
            return
        for name in given.keys() - set(known):
            self.findings.append(
                warning((*path, name), "unknown-member", "nodes do not know this member")
            )


_FIELDS = {
    "routes": RouteDocument.__struct_fields__,
    "services": ServiceDocument.__struct_fields__,
}


def _malformed(path: Path, failure: Exception) -> ConfigFinding:
    """Return the finding for an error of the decoder, at the place that its message states."""
    message = str(failure)
    if not path and message.startswith("invalid literal for int()"):
        return error(("version",), "malformed", "the version is not a hexadecimal number")
    place = _ERROR_PLACE.search(message)
    if place is not None:
        message = message[: place.start()]
        inner: list[str | int] = []
        for name_of_entry, name, index in _PLACE_PART.findall(place.group(1)):
            if not name_of_entry:
                inner.append(name or int(index))
            elif inner and len(path) > 1:
                inner.append(path[1])
        if path[:1] == (TENANTS,) and inner and isinstance(inner[0], int):
            inner.insert(0, "api_keys")
        path = tuple(inner) if tuple(inner[: len(path)]) == path else (*path, *inner)
    return error(path, "malformed", message)


def _may_hold_key(path: Path) -> bool:
    """Return whether a member name may be a key that was written in the wrong place."""
    return path[0] == TENANTS and len(path) > 2


def _check_form(
    document: ConfigDocument, kinds: Mapping[str, RouteKind]
) -> Iterator[ConfigFinding]:
    """Check values that the decoder replaces, so that they do not reach the decoded form.

    :param kinds: kind of each route as it was decoded
    """
    for name, raw in document.routes.items():
        route = decode_json(raw, RouteDocument)
        path = ("routes", name)
        if kinds[name] is RouteKind.ONCE and route.route_type != ONCE_TYPE:
            yield warning(
                (*path, "route_type"),
                "unknown-route-type",
                f"{route.route_type!r} is treated as non_idempotent",
            )
        if route.max_attempts < 1:
            yield error((*path, "max_attempts"), "no-attempts", "nodes run a request once at least")
    for name, service in document.services.items():
        path = ("services", name)
        if service.warmup_s < 0 or service.warmup_per_s < 0:
            yield error(path, "negative-warmup", "warmup_s or warmup_per_s is negative")
        elif service.warmup_s > 0 and not service.warmup_per_s:
            yield warning(path, "warmup-without-rate", "without warmup_per_s there is no limit")
    for name, value in _fields(document.limits).items():
        if value <= 0:
            yield error(("limits", name), "zero-limit", f"{name} is not above 0")


def _holders(document: ConfigDocument) -> list[Holder]:
    """Return the tenants with the digests of their keys, in the order of the document."""
    holders = []
    for name, tenant in (document.tenants or {}).items():
        path = (TENANTS, name)
        digests = [
            ((*path, "api_keys", number), bytes.fromhex(digest))
            for number, digest in enumerate(tenant.key_digests)
        ]
        values = Tenant(name, tenant.priority, tenant.rate_per_s or 0.0, tenant.burst or 0.0)
        holders.append(Holder(path, values, digests))
    return holders


def _parts_by_path(document: ConfigDocument) -> dict[Path, dict[str, Any]]:
    """Return the values of each route, service and tenant, and of the limits."""
    parts: dict[Path, dict[str, Any]] = {("limits",): _fields(document.limits)}
    for name, raw in document.routes.items():
        parts["routes", name] = _fields(decode_json(raw, RouteDocument))
    for name, service in document.services.items():
        parts["services", name] = _fields(service)
    for name, tenant in (document.tenants or {}).items():
        parts[TENANTS, name] = _fields(tenant)
    return parts


def _changes(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[str]:
    changes = []
    for name, value in after.items():
        old = before[name]
        if old == value:
            continue
        if name == "key_digests":
            added, removed = len(set(value) - set(old)), len(set(old) - set(value))
            if added or removed:
                changes.append(f"keys +{added} -{removed}")
        else:
            changes.append(f"{name} {_show(old)} -> {_show(value)}")
    return changes


def _show(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _fields(struct: msgspec.Struct) -> dict[str, Any]:
    return msgspec.structs.asdict(struct)
