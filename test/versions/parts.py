"""Configuration parts and messages for tests."""

from almondshore.core.messages import ConfigDelta, ConfigSnapshot
from almondshore.rules.compile import encode_part
from almondshore.rules.model import ServicePart
from almondshore.versions.config import diff_parts, make_configuration


def service_part(name, version="v1"):
    part = ServicePart(name=name, version=version, routes=[], move=None, allowed={})
    return {f"service/{name}": encode_part(part)}


def snapshot(version, parts):
    configuration = make_configuration(version, parts)
    return ConfigSnapshot(version, configuration.digest, dict(parts))


def delta(base, version, changes):
    """Return the delta that applies changes to a configuration; None removes a part."""
    parts = {**base.parts, **changes}
    parts = {name: data for name, data in parts.items() if data is not None}
    digest = make_configuration(version, parts).digest
    return ConfigDelta(version, digest, base.version, base.digest, changes)


def make_chain(length):
    """Return the configurations of versions 0 to ``length``, each with one changed part."""
    chain = [make_configuration(0, {})]
    for version in range(1, length + 1):
        changed = service_part(f"service-{version % 5}", f"v{version}")
        chain.append(make_configuration(version, {**chain[-1].parts, **changed}))
    return chain


def delta_between(old, new):
    """Return the delta between two configurations."""
    changes = diff_parts(old.parts, new.parts)
    return ConfigDelta(new.version, new.digest, old.version, old.digest, changes)


def snapshot_of(configuration):
    """Return the snapshot of a configuration."""
    return ConfigSnapshot(configuration.version, configuration.digest, dict(configuration.parts))
