"""Runs a case and turns its result into an exit status."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from common.deployment import CannotRunError, Deployment
from common.record import Record

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_CANNOT_RUN = 2
TIME_LIMIT_S = 110.0
Scenario = Callable[[Deployment, Record, bool], Awaitable[list[str]]]


def main(scenario: Scenario, folder: Path) -> None:
    """Run a scenario, write ``record.txt`` into the folder and exit.

    :param scenario: returns the findings that break the rule; its last argument says whether the
        disruption is played
    """
    record = Record(path=folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        findings = asyncio.run(_run(scenario, record, trouble))
    except (TimeoutError, CannotRunError, OSError) as error:
        record.add("case_cannot_run", reason=repr(error))
        print(f"cannot run: {error!r}")
        sys.exit(EXIT_CANNOT_RUN)
    except Exception:
        traceback.print_exc()
        sys.exit(EXIT_CANNOT_RUN)
    for finding in findings:
        record.add("finding", text=finding)
        print(finding)
    held = not findings
    record.add("result", rule="held" if held else "broken", trouble=trouble)
    print("rule held" if held else "rule broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)


async def _run(scenario: Scenario, record: Record, trouble: bool) -> list[str]:
    deployment = Deployment(record=record)
    logs = os.environ.get("KEEP_LOGS")
    try:
        return await asyncio.wait_for(scenario(deployment, record, trouble), TIME_LIMIT_S)
    finally:
        deployment.close(keep_logs=Path(logs) if logs else None)
