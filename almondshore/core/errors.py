"""Base classes of the errors that almondshore raises."""

from collections.abc import Sequence

from almondshore.core.findings import Finding


class AlmondshoreError(Exception):
    """Base class of all errors raised by almondshore."""


class UserError(AlmondshoreError):
    """An error whose message is shown to the operator without a traceback."""


class InvalidInputError(UserError):
    """Input was refused because of one or more findings.

    :ivar findings: the findings, in the order of the file
    """

    def __init__(self, findings: Sequence[Finding]):
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = list(findings)


class CodecError(AlmondshoreError):
    """A message from another node could not be decoded."""


class ListenError(UserError):
    """A listener could not be opened.

    :ivar address: the ``ip:port`` of the settings
    :ivar cause: the error of the system
    """

    def __init__(self, address: str, cause: str):
        super().__init__(f"cannot listen on {address}: {cause}")
        self.address = address
        self.cause = cause
