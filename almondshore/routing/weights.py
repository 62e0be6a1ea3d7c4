"""Random choice by weight."""

import random
from collections.abc import Sequence


def pick_weighted(rng: random.Random, choices: Sequence[tuple[str, float]]) -> str:
    """Return a random name, with a probability in proportion to its weight.

    :param choices: names and weights, at least one; a single one is returned without a random draw
    """
    if len(choices) == 1:
        return choices[0][0]
    point = rng.random() * sum(weight for _, weight in choices)
    for name, weight in choices:
        point -= weight
        if point < 0:
            return name
    return choices[-1][0]
