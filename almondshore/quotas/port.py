"""Interface of the quotas to the request path."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from almondshore.tenants.table import Tenant


class Granted(NamedTuple):
    """The request is within the quota of its tenant; a token has been taken for it."""


class Limited(NamedTuple):
    """The request is over the quota of its tenant.

    :ivar retry_after: time after which another request is likely to be granted
    """

    retry_after: timedelta


class QuotaClient(ABC):
    """Grants requests within the quotas that hold over all nodes."""

    @abstractmethod
    def take(self, tenant: Tenant, on_decision: Callable[[Granted | Limited], None]) -> None:
        """Take a token for a request.

        :param on_decision: called once, possibly before this method returns
        """

    @abstractmethod
    def give_back(self, tenant: Tenant, taken_at: timedelta | None = None) -> None:
        """Return the token of a request that was not served and will not run.

        :param taken_at: monotonic time at which it was taken, None if not known
        """


class UnlimitedQuota(QuotaClient):
    """Grants every request."""

    def take(self, tenant: Tenant, on_decision: Callable[[Granted | Limited], None]) -> None:
        """Grant the request."""
        on_decision(Granted())

    def give_back(self, tenant: Tenant, taken_at: timedelta | None = None) -> None:
        """Do nothing: no tokens are counted."""
