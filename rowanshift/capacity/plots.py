"""Plots of sweeps, drawn with matplotlib (the extra ``plots``)."""

from pathlib import Path
from typing import Any

from rowanshift.capacity.errors import NoPlots
from rowanshift.capacity.results import Results, Sweep


def load_pyplot() -> Any:
    """Imports pyplot for file output. Raises ``NoPlots`` if matplotlib is not installed."""
    try:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot
    except ImportError as error:
        raise NoPlots("--plots needs matplotlib: install rowanshift[plots]") from error
    return pyplot


def plot_sweeps(results: Results, folder: Path) -> list[Path]:
    """Writes one PNG file per sweep with fitted metrics, and one panel per metric: its points, and its line unless
    that was rejected."""
    pyplot = load_pyplot()
    folder.mkdir(parents=True, exist_ok=True)
    return [plot_sweep(pyplot, sweep, folder / f"{sweep.name}.png") for sweep in results.sweeps if sweep.lines]


def plot_sweep(pyplot: Any, sweep: Sweep, path: Path) -> Path:
    names = [name for name in sweep.lines if any(step.metrics[name] for step in sweep.steps)]
    figure, panels = pyplot.subplots(-(-len(names) // 4), 4, figsize=(18, 3.2 * -(-len(names) // 4)), squeeze=False)
    xs = [step.x for step in sweep.steps]
    for name, panel in zip(names, panels.flat, strict=False):
        fit = sweep.lines[name]
        panel.plot(xs, [step.metrics[name] for step in sweep.steps], "o")
        if not fit.refused:
            panel.plot(xs, [fit.at(x) for x in xs], "-")
        panel.set_xscale("log")
        panel.set_title(f"{name}{': no line' if fit.refused else ''}", fontsize=9)
    for panel in list(panels.flat)[len(names) :]:
        panel.set_visible(False)
    figure.suptitle(f"{sweep.name}: by {sweep.variable}")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
    return path
