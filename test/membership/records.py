"""Target records for tests."""

from almondshore.core.messages import TargetRecord, TargetState


def make_record(
    target,
    *,
    node=None,
    service="counter-app",
    version="v1",
    zone="zone-a",
    incarnation=1,
    state=TargetState.UP,
):
    return TargetRecord(
        target=target,
        node=node or f"node-{target}",
        service=service,
        version=version,
        address="10.0.0.1:7401",
        zone=zone,
        slots=10,
        incarnation=incarnation,
        state=state,
        control=f"control-{node or target}",
    )
