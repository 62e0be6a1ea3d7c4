"""Reads a YAML mapping as nodes by dotted key, with their positions for findings."""

from collections.abc import Collection

import yaml

from almondshore.core.findings import FindingList

MAX_FILE_BYTES = 256 * 1024


def read_nodes(
    data: bytes, known_keys: Collection[str], findings: FindingList
) -> dict[str, yaml.Node]:
    """Return the nodes of the known keys that the document sets.

    :param known_keys: dotted keys that may be set
    :param findings: receives syntax errors, unknown and duplicate keys, and sections that are not
        mappings
    """
    root = _compose(data, findings)
    if root is None:
        return {}
    nodes: dict[str, yaml.Node] = {}
    if not isinstance(root, yaml.MappingNode):
        add_finding(findings, root, "not-a-mapping", "the file must be a mapping of keys")
        return nodes
    sections = {key.rpartition(".")[0] for key in known_keys} - {""}
    _collect(root, "", set(known_keys), sections, nodes, findings)
    return nodes


def add_finding(findings: FindingList, node: yaml.Node, code: str, message: str) -> None:
    """Add a finding with the line and column at which a node starts."""
    mark = node.start_mark
    findings.add(line=mark.line + 1, column=mark.column + 1, code=code, message=message)


def _compose(data: bytes, findings: FindingList) -> yaml.Node | None:
    """Parse the document without constructing values; a syntax error becomes a finding."""
    if len(data) > MAX_FILE_BYTES:
        message = f"the file has {len(data)} bytes, more than {MAX_FILE_BYTES}"
        findings.add(line=0, column=0, code="file-too-large", message=message)
        return None
    try:
        return yaml.compose(data, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line, column = (mark.line + 1, mark.column + 1) if mark else (0, 0)
        findings.add(line=line, column=column, code="syntax", message=error.problem or "not YAML")
    except yaml.YAMLError as error:
        findings.add(line=0, column=0, code="syntax", message=str(error).splitlines()[0])
    except RecursionError:
        findings.add(line=0, column=0, code="syntax", message="the document is nested too deeply")
    return None


def _collect(
    mapping: yaml.MappingNode,
    prefix: str,
    known_keys: set[str],
    sections: set[str],
    nodes: dict[str, yaml.Node],
    findings: FindingList,
) -> None:
    """Add the nodes of a mapping's known keys to ``nodes``; recurse into its sections."""
    seen: set[str] = set()
    for key_node, value_node in mapping.value:
        if not isinstance(key_node, yaml.ScalarNode):
            add_finding(findings, key_node, "unknown-key", "a key must be a plain name")
            continue
        key = prefix + key_node.value
        if key in seen:
            add_finding(findings, key_node, "duplicate-key", f"{key} is set twice")
        elif key in known_keys:
            nodes[key] = value_node
        elif key not in sections:
            add_finding(findings, key_node, "unknown-key", f"{key} is not a setting")
        elif isinstance(value_node, yaml.MappingNode):
            _collect(value_node, f"{key}.", known_keys, sections, nodes, findings)
        else:
            add_finding(findings, value_node, "wrong-type", f"{key}: expected a mapping of keys")
        seen.add(key)
