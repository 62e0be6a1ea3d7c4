"""When an ordinary node tries to become a relay."""

import math
import random
from datetime import timedelta

from almondshore.core.clock import Clock

# With these two figures one node in 170 tries within the first 2 s and the others hear of its
# success; in a zone of four nodes the first try comes after about 7 s.
MAX_ATTEMPT_DELAY = timedelta(seconds=9)
DENSITY_DOUBLING_TIME = timedelta(seconds=1)


class Candidacy:
    """Delays the attempt to take a relay slot, so that few nodes of a zone try at once.

    The delay has an exponentially rising density (feedback suppression): the more nodes wait,
    the earlier the first of them tries, and the number of tries before the others hear of it
    hardly depends on how many they are.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        max_delay: timedelta = MAX_ATTEMPT_DELAY,
        doubling_time: timedelta = DENSITY_DOUBLING_TIME,
    ):
        self.clock = clock
        self.rng = rng
        self.max_delay = max_delay
        self.doubling_time = doubling_time
        self.due: timedelta | None = None

    def should_attempt(self, connected: bool, *, has_usable_relay: bool = False) -> bool:
        """Return whether to try now; call it on each tick.

        :param connected: whether a relay of the own zone answers this node
        :param relay_to_try: whether a known relay of the own zone has not been tried lately; the
            attempt then waits for its answer
        """
        now = self.clock.monotonic()
        if connected:
            self.due = None
            return False
        if self.due is None:
            self.due = now + self._delay()
            return False
        if now < self.due or has_usable_relay:
            return False
        self.due = now + self._delay()
        return True

    def postpone(self, until: timedelta) -> None:
        """Wait until another holder's lease can expire before the next attempt.

        :param until: time of the own monotonic clock
        """
        self.due = max(until, self.clock.monotonic()) + self._delay()

    def _delay(self) -> timedelta:
        doublings = self.max_delay / self.doubling_time
        return self.doubling_time * math.log2(1 + self.rng.random() * (2**doublings - 1))
