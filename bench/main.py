"""Run all benchmarks, print one table and write it as JSON: ``make bench``."""

import json
import sys
from pathlib import Path

from rich.console import Console
from rich.table import Table

from bench import convergence, daemon, hop, mesh_path, moves, requests
from bench.rows import BenchRow

MODULES = (hop, mesh_path, daemon, requests, convergence, moves)
RESULT_FILE = Path("build/bench.json")
MISSED = frozenset({"missed", "FAIL", "fail"})


def main() -> None:
    """Run every benchmark; the exit code is 0 even if a target is missed."""
    rows: list[tuple[str, BenchRow]] = []
    for module in MODULES:
        name = module.__name__.rpartition(".")[2]
        sys.stderr.write(f"running bench.{name}\n")
        rows += [(name, row) for row in module.run()]
    table = Table("benchmark", *BenchRow._fields)
    for name, row in rows:
        table.add_row(name, *row)
    Console(width=160).print(table)
    RESULT_FILE.parent.mkdir(exist_ok=True)
    RESULT_FILE.write_text(
        json.dumps([{"benchmark": name, **row._asdict()} for name, row in rows], indent=1)
    )
    missed = sum(row.verdict in MISSED for _, row in rows)
    print(f"{len(rows)} figures, {missed} targets missed; written to {RESULT_FILE}")


if __name__ == "__main__":
    main()
