"""The ``status`` command."""

from typing import Annotated

from cyclopts import Parameter

from almondshore.ui.context import Context
from almondshore.ui.output import print_json, print_table
from almondshore.ui.platform_errors import require
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
    context.line(f"published version: {head.version}" + (f" by {head.author}" * bool(head.author)))
    rows = [
        (zone["zone"], zone["at"], len(zone["nodes"]), _versions(zone["versions"]))
        for zone in zones
    ]
    print_table(context.out, ("zone", "at", "nodes", "versions in effect"), rows)
    return 0


def _versions(versions: dict[str, int]) -> str:
    newest_first = sorted(versions.items(), key=lambda item: -int(item[0]))
    return ", ".join(f"{version} on {count} nodes" for version, count in newest_first)
