"""Decoding of the bounds that the platform sets for its deployments."""

from almondshore.mesh.rollout import ExposureBound
from almondshore.mesh.settings import Bounds, QuotaBound, WarmupBound
from almondshore.platform.durations import from_seconds

# Deployments without rollouts do not set the bound.
DEFAULT_EXPOSURE = ExposureBound()
DEFAULT_QUOTA = QuotaBound()
DEFAULT_WARMUP = WarmupBound()


def decode_bounds(text: str) -> Bounds:
    """Decode ``name=value`` pairs separated by commas; unknown names are ignored.

    :raises ValueError: if a bound is missing or malformed; the message names it
    """
    pairs = dict(item.strip().split("=", 1) for item in text.split(",") if "=" in item)

    def number(name: str, default: float | None = None) -> float:
        if name not in pairs and default is not None:
            return default
        if name not in pairs:
            raise ValueError(f"{name} is missing")
        try:
            return float(pairs[name])
        except ValueError:
            raise ValueError(f"{name}: {pairs[name]!r} is not a number") from None

    return Bounds(
        drain=from_seconds(number("drain_s")),
        grace=from_seconds(number("grace_s")),
        retry_ratio=number("retry_budget_ratio"),
        retry_window=from_seconds(number("budget_window_s")),
        # Not a minimum, despite its name: this many retries are allowed in addition to the ratio.
        retry_floor=int(number("budget_min_retries")),
        exposure=ExposureBound(
            share=number("exposure_share", DEFAULT_EXPOSURE.share),
            slack=int(number("exposure_slack", DEFAULT_EXPOSURE.slack)),
        ),
        evacuation=from_seconds(number("evacuate_s")) if "evacuate_s" in pairs else None,
        quota=QuotaBound(
            window=from_seconds(number("quota_window_s", DEFAULT_QUOTA.window.total_seconds())),
            overage=number("quota_overage", DEFAULT_QUOTA.overage),
            slack=number("quota_slack", DEFAULT_QUOTA.slack),
        ),
        warmup=WarmupBound(
            factor=number("warmup_overage", DEFAULT_WARMUP.factor),
            slack=number("warmup_slack", DEFAULT_WARMUP.slack),
        ),
    )
