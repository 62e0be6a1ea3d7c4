"""The ``history`` command."""

from typing import Annotated

from cyclopts import Parameter
from cyclopts.validators import Number

from almondshore.ui.context import Context
from almondshore.ui.output import print_json, print_table
from almondshore.ui.platform_errors import require
from almondshore.versions.publish import Publisher

DEFAULT_LIMIT = 20
# Each version costs two reads.
MAX_LIMIT = 1000


def history(
    *,
    limit: Annotated[int, Parameter(validator=Number(gte=1, lte=MAX_LIMIT))] = DEFAULT_LIMIT,
    rules: int | None = None,
    json: bool = False,
    context: Annotated[Context, Parameter(parse=False)],
) -> int:
    """List the newest configuration versions with author, time and reason.

    :param limit: maximum number of versions to list
    :param rules: print the rules file of this version instead of the list
    :param json: print the versions as JSON
    """
    publisher = Publisher(platform=context.platform())
    if rules is not None:
        context.out.write(require(publisher.rules_text(rules)).decode("utf-8-sig"))
        return 0
    newest = require(publisher.current()).head.version
    versions = range(newest, max(newest - limit, 0), -1)
    records = [require(publisher.record(version)) for version in versions]
    if json:
        print_json(context.out, {"versions": [record._asdict() for record in records]})
        return 0
    rows = [
        (record.version, record.at.isoformat(timespec="seconds"), record.author, record.reason)
        for record in records
    ]
    print_table(context.out, ("version", "at", "author", "reason"), rows)
    return 0
