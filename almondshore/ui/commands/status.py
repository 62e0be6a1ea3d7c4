"""The ``status`` command."""

from typing import Annotated

from cyclopts import Parameter

from almondshore.ui.context import Context
from almondshore.ui.output import print_json, print_table, printable
from almondshore.ui.platform_errors import require
from almondshore.ui.waiting import describe_versions
from almondshore.ui.zones import read_zones
from almondshore.versions.publish import Publisher


def status(*, json: bool = False, context: Annotated[Context, Parameter(parse=False)]) -> int:
    """Show the published version and the versions in effect in each zone.

    :param json: print the status as JSON
    """
    platform = context.platform()
    head = require(Publisher(platform=platform).current()).head
    zones = read_zones(platform)
    if json:
        print_json(context.out, {"version": head.version, "author": head.author, "zones": zones})
        return 0
    author = f" by {printable(head.author)}" if head.author else ""
    context.print_line(f"published version: {head.version}{author}")
    rows = [
        (zone["zone"], zone["at"], len(zone["nodes"]), describe_versions(zone)) for zone in zones
    ]
    print_table(context.out, ("zone", "at", "nodes", "versions in effect"), rows)
    return 0
