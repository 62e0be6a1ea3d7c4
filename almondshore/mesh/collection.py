"""Collects the results of the targets of a service that has a rollout."""

from collections.abc import Callable
from datetime import timedelta

import eventlet
import msgspec

from almondshore.core.decoding import decode_json
from almondshore.core.logs import log_event
from almondshore.mesh.directory import Directory
from almondshore.mesh.evidence import sum_counts
from almondshore.mesh.judgement import median_ms
from almondshore.mesh.model import Address, Rollout
from almondshore.mesh.peers import EVIDENCE_PATH, Evidence, PeerClient

# Nodes respond within a few milliseconds, busy ones within 100 ms. A decision does not wait for one
# that is suspended or cut off.
EVIDENCE_TIMEOUT = timedelta(milliseconds=250)


class EvidenceCollector:
    """Asks the nodes of a service for the results of their targets.

    :param local_evidence: returns the results of the local target
    """

    def __init__(
        self,
        *,
        node: Address,
        directory: Directory,
        client: PeerClient,
        local_evidence: Callable[[], Evidence],
    ):
        self.node = node
        self.directory = directory
        self.client = client
        self.local_evidence = local_evidence

    def rank_nodes(self, rollout: Rollout) -> list[Address]:
        """Return the reachable nodes of the service, those of the new version first."""
        targets = [
            target
            for target in self.directory.targets.values()
            if target.service == rollout.service
            and (target.node == self.node or self.directory.is_reachable(target.node))
        ]
        targets.sort(key=lambda target: (target.version != rollout.version, target.node))
        return list(dict.fromkeys(target.node for target in targets))

    def nodes_of(self, service: str, version: str) -> list[Address]:
        """Return the other nodes of the targets of a version."""
        targets = self.directory.targets.values()
        nodes = {
            item.node for item in targets if (item.service, item.version) == (service, version)
        }
        return sorted(nodes - {self.node})

    def is_alone(self, service: str, evidence: list[Evidence]) -> bool:
        """Return whether no other node has sent evidence, though others are known."""
        known = sum(item.service == service for item in self.directory.targets.values())
        return len(evidence) == 1 and known > 1

    def collect(self, nodes: list[Address]) -> list[Evidence]:
        """Return the evidence of all nodes that respond."""
        pool = eventlet.GreenPool(len(nodes) or 1)
        responses = pool.imap(self._fetch, nodes)
        return [item for item in responses if item is not None] or [self.local_evidence()]

    def _fetch(self, node: Address) -> Evidence | None:
        if node == self.node:
            return self.local_evidence()
        body = self.client.get(node, EVIDENCE_PATH, timeout=EVIDENCE_TIMEOUT)
        if body is None:
            return None
        try:
            return decode_json(body, Evidence)
        except msgspec.MsgspecError as error:
            log_event("evidence_malformed", level="ERROR", peer=node, error=error)
            return None


def log_evidence(rollout: Rollout, evidence: list[Evidence], **fields: object) -> None:
    """Log what a decision about a rollout is based on."""
    parts = {
        "new": [item for item in evidence if item.version == rollout.version],
        "old": [item for item in evidence if item.version != rollout.version],
    }
    for name, items in parts.items():
        total = sum_counts(counts for item in items for counts in item.routes.values())
        fields |= {
            f"{name}_targets": len(items),
            f"{name}_sent": sum(item.sent for item in items),
            f"{name}_results": total.requests,
            f"{name}_failures": total.failures,
            f"{name}_broken": total.broken,
            f"{name}_median_ms": median_ms(total.times),
            f"{name}_unfinished": sum(total.unfinished.values()),
            f"{name}_unfinished_median_ms": median_ms(total.unfinished),
        }
    log_event(
        "rollout_evidence",
        service=rollout.service,
        version=rollout.version,
        share=rollout.share,
        nodes_answered=len(evidence),
        **fields,
    )
