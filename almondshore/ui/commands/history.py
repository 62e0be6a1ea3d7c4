"""The ``history`` command."""

from typing import Annotated

import msgspec
from cyclopts import Parameter

from almondshore.ui.context import Context
from almondshore.ui.output import print_json, print_table
from almondshore.ui.platform_errors import require
from almondshore.versions.publish import Publisher, VersionRecord

DEFAULT_LIMIT = 20


def history(
    *,
    limit: int = DEFAULT_LIMIT,
    json: bool = False,
    context: Annotated[Context, Parameter(parse=False)],
) -> int:
    """List the newest configuration versions with author, time and reason.

    :param limit: greatest number of versions to list
    :param json: print the versions as JSON
    """
    platform = context.platform()
    head = require(Publisher(platform=platform).current()).head
    stored = require(platform.list("config/version/"))
    records = [msgspec.msgpack.decode(item.value, type=VersionRecord) for item in stored]
    # A record above the head belongs to a version that was never published.
    records = [record for record in records if record.version <= head.version][::-1][:limit]
    if json:
        print_json(context.out, {"versions": [record._asdict() for record in records]})
        return 0
    rows = [
        (record.version, record.at.isoformat(timespec="seconds"), record.author, record.reason)
        for record in records
    ]
    print_table(context.out, ("version", "at", "author", "reason"), rows)
    return 0
