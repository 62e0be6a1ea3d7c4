"""Restores of the store from a copy, and the check that lost entries come back."""

from datetime import timedelta

import eventlet

from almondshore.platform import names
from soak.cluster import Cluster

# Entries must be back 2 s after a restored store responds. The rest is a margin for the stand-in,
# which runs in one process with all targets and callers.
RESTORED_WITHIN_S = 2.5
MAX_OPERATOR_DELAY_S = 1.5


def restore_store(cluster: Cluster, *, age_s: float | None, away_s: float) -> None:
    """Restore the store, and check the entries of nodes that no other fault concerns meanwhile.

    :param age_s: age of the copy; None for one that was made before any entry was written
    :param away_s: for how long the store is unavailable
    """
    store = cluster.store
    present = store.objects.get(names.TARGET_KIND, {})
    checked = {
        host: (host.target_id(), host.process)
        for host in cluster.hosts
        if host.target_id() in present
    }
    revision = cluster.first_revision if age_s is None else None
    store.restore(seconds=age_s, revision=revision, away=timedelta(seconds=away_s))
    cluster.on_store_restored()
    era = store.era
    eventlet.spawn_after(
        away_s + cluster.rng.uniform(0.0, MAX_OPERATOR_DELAY_S), cluster.write_again
    )
    ends_at = cluster.clock.monotonic() + timedelta(seconds=away_s + RESTORED_WITHIN_S)
    while cluster.clock.monotonic() < ends_at:
        eventlet.sleep(0.05)
        if store.era != era or cluster.store_faults:
            return
        checked = {
            host: state
            for host, state in checked.items()
            if state == (host.target_id(), host.process) and host.is_undisturbed()
        }
    cluster.restored_entries += len(checked)
    for host, (target, _) in checked.items():
        entry = store.get(names.TARGET_KIND, target)
        cluster.checker.check_restored(host.name, target, entry)
