"""Base classes of the errors that almondshore raises."""

from collections.abc import Sequence

from almondshore.core.findings import Finding


class AlmondshoreError(Exception):
    """Base class of all errors raised by almondshore."""


class UserError(AlmondshoreError):
    """An error whose message is shown to the operator without a traceback."""


class InvalidInputError(UserError):
    """Input was refused because of one or more findings.

    :ivar findings: the findings, in file order
    """

    def __init__(self, findings: Sequence[Finding]):
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = list(findings)


class CodecError(AlmondshoreError):
    """A message is malformed, of an unknown kind or format, or exceeds the size limit."""


class ListenError(UserError):
    """A listener could not be opened.

    :ivar address: the configured ``ip:port``
    :ivar cause: error text of the operating system or the transport library
    """

    def __init__(self, address: str, cause: str):
        super().__init__(f"cannot listen on {address}: {cause}")
        self.address = address
        self.cause = cause
