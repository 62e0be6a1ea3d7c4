"""Runs a case and turns its result into an exit status."""

import asyncio
import os
import signal
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
    status = EXIT_CANNOT_RUN
    deployment = None
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _interrupt)
    try:
        deployment = Deployment(record=record)
        play = asyncio.wait_for(scenario(deployment, record, trouble), TIME_LIMIT_S)
        findings = asyncio.new_event_loop().run_until_complete(play)
        status = _report(findings, record, trouble)
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add("case_cannot_run", reason=repr(error))
        print(f"cannot run: {error!r}")
    except Exception:
        traceback.print_exc()
    finally:
        if deployment is not None:
            logs = os.environ.get("KEEP_LOGS")
            deployment.close(keep_logs=Path(logs) if logs else None)
        _exit(status)


def _interrupt(number: int, _frame: object) -> None:
    raise CannotRunError(signal.Signals(number).name)


def _report(findings: list[str], record: Record, trouble: bool) -> int:
    """Print and record the findings; returns the exit status."""
    for finding in findings:
        record.add("finding", text=finding)
        print(finding)
    held = not findings
    record.add("result", rule="held" if held else "broken", trouble=trouble)
    print("rule held" if held else "rule broken")
    return EXIT_HELD if held else EXIT_BROKEN


def _exit(status: int) -> None:
    """Exit without waiting for the stand-ins' tasks: a cancelled ``wait_for`` may go on waiting."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
