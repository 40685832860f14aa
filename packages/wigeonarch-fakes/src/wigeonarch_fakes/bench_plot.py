"""Plots of the policy benchmark; needs the optional extra `bench`."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from wigeonarch_fakes.bench_report import Results

FIGURES: Final = (("stall_mean", "mean load stall (s)"), ("fill", "batch fill"))
INCHES_PER_WORKLOAD: Final = 0.9


def write_plot(results: Results, path: Path) -> bool:
    """Writes bar charts of the main figures as PNG; False without the plotting library."""
    try:
        import matplotlib
    except ImportError:
        return False
    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(results.summaries)
    policies = list(results.summaries[names[0]])
    width = max(8.0, INCHES_PER_WORKLOAD * len(names))
    drawing, axes = pyplot.subplots(len(FIGURES), 1, figsize=(width, 9.0), sharex=True)
    for axis, (figure, title) in zip(axes, FIGURES, strict=True):
        for number, policy in enumerate(policies):
            places = [place + number / (len(policies) + 1) for place in range(len(names))]
            heights = [results.summaries[name][policy][figure].mean for name in names]
            axis.bar(places, heights, 1 / (len(policies) + 1), label=policy)
        axis.set_ylabel(title)
    axes[0].set_yscale("symlog")
    axes[0].legend(fontsize="small", ncols=len(policies))
    axes[-1].set_xticks(range(len(names)), names, rotation=60, ha="right", fontsize="small")
    drawing.tight_layout()
    drawing.savefig(path)
    pyplot.close(drawing)
    return True
