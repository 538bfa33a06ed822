"""Plots of the flood scenarios for docs/performance.md."""

from matplotlib.figure import Figure

PERCENTILES = [50, 75, 90, 95, 98, 99, 99.5]


def plot_low_flood(path, worlds):
    """Plot urgent latencies during a flood of the lowest rank.

    Parameters
    ----------
    path : pathlib.Path
    worlds : dict of (str, str) to World
        Keys are (deployment name, curve label).
    """
    names, figure, axes = _make_axes(worlds)
    for axis, name in zip(axes, names, strict=True):
        for (deployment, label), world in worlds.items():
            if deployment != name:
                continue
            values = [
                world.statistics.percentile_ms(world.urgent_rank, percent)
                for percent in PERCENTILES
            ]
            axis.plot(range(len(PERCENTILES)), values, "o-", label=label)
        axis.set_xticks(range(len(PERCENTILES)), PERCENTILES)
        axis.set_yscale("log")
        axis.set_title(name)
        axis.set_xlabel("percentile")
        axis.set_ylabel("urgent latency, ms")
        axis.legend(fontsize=7)
    _save(figure, path)


def plot_urgent_flood(path, worlds):
    """Plot the part of its floor share that each lower rank received."""
    names, figure, axes = _make_axes(worlds)
    for axis, name in zip(axes, names, strict=True):
        labels = [label for deployment, label in worlds if deployment == name]
        for index, label in enumerate(labels):
            world = worlds[(name, label)]
            rows = [load.row for load in world.deployment.ranks[1:]]
            received = [
                world.statistics.floor_share_received_percent(
                    row, world.deployment.slots_count
                )
                for row in rows
            ]
            positions = [
                position + index * 0.25 for position in range(len(rows))
            ]
            axis.bar(positions, received, 0.22, label=label)
        axis.axhline(100, color="black", linewidth=0.8)
        axis.set_xticks(
            [position + 0.25 for position in range(len(rows))],
            [f"{row.rank} (floor {row.floor_percent}%)" for row in rows],
        )
        axis.set_title(name)
        axis.set_ylabel("least part of the floor kept, %")
        axis.legend(fontsize=7)
    _save(figure, path)


def _make_axes(worlds):
    names = list(dict.fromkeys(name for name, _ in worlds))
    figure = Figure(figsize=(4.2 * len(names), 3.2))
    axes = figure.subplots(1, len(names), squeeze=False)
    return names, figure, axes[0]


def _save(figure, path):
    figure.tight_layout()
    # Without the software version the file is reproducible.
    figure.savefig(path, dpi=80, metadata={"Software": None})
