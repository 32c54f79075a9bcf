"""The tables that a run prints."""

import statistics


def milliseconds(value) -> str:
    return "-" if value is None else f"{value / 1000:.2f}"


def percentile(stream: dict | None, kind: str, name: str):
    """Microseconds, or None where there are no samples."""
    return stream[kind][name] if stream and stream[kind] else None


def added(stream: dict, direct: dict | None, name: str):
    """What the way through stairspur takes beyond the way to the backend server itself, at one percentile."""
    through, straight = percentile(stream, "wayUs", name), percentile(direct, "wayUs", name)
    return None if through is None or straight is None else through - straight


def refused_text(stream: dict) -> str:
    refused = sorted(stream["refused"].items(), key=lambda it: -it[1])
    return ", ".join(f"{name} {count}" for name, count in refused) or "-"


def class_table(report: dict, direct: dict[str, dict]) -> list[str]:
    """A line for each class, in the order of the ranks."""
    header = (f"{'class':<17}{'hops':>5}{'offered':>9}{'on time':>9}{'late':>6}{'wrong':>7}{'missing':>9}{'lost':>6}"
              f"{'added p50':>11}{'added p99':>11}{'direct p50':>12}{'direct p99':>12}  refused by outcome/reason")
    lines = [header]
    for name, it in report["streams"].items():
        straight = direct.get(name)
        lines.append(
            f"{it['class']:<17}{it['hops']:>5}{it['offered']:>9}{it['onTime']:>9}{it['late']:>6}{it['wrong']:>7}"
            f"{it['missing']:>9}{it['lost']:>6}"
            f"{milliseconds(added(it, straight, 'p50')):>11}{milliseconds(added(it, straight, 'p99')):>11}"
            f"{milliseconds(percentile(straight, 'latencyUs', 'p50')):>12}"
            f"{milliseconds(percentile(straight, 'latencyUs', 'p99')):>12}  {refused_text(it)}")
    return lines


def cost_lines(cpu_seconds: float, calls: int, runs: int, resident: list[float]) -> list[str]:
    """CPU time of all nodes over the load, and their memory at its end."""
    if not calls or not runs:
        return []
    median = statistics.median(resident) if resident else 0.0
    return [f"CPU of the nodes: {1000 * cpu_seconds / calls:.3f} ms a caller's call, "
            f"{1000 * cpu_seconds / runs:.3f} ms a run at a backend server ({calls} calls, {runs} runs)",
            f"resident memory of a node: median {median:.1f} MiB, most {max(resident, default=0):.1f} MiB "
            f"({len(resident)} nodes)"]


def on_time_share(stream: dict, bucket_ms: int, start: float, end: float) -> float | None:
    """Share of the calls due between `start` and `end` (seconds of the run) that were answered whole and on time."""
    first, last = int(start * 1000 / bucket_ms), int(end * 1000 / bucket_ms)
    offered = sum(stream["offeredTimeline"][first:last])
    return sum(stream["onTimeTimeline"][first:last]) / offered if offered else None


def recovery_seconds(stream: dict, bucket_ms: int, since: float, share: float = 0.95) -> float | None:
    """Seconds from `since` until each later bucket but the last has that share on time. None: not within the run."""
    first = int(since * 1000 / bucket_ms)
    offered, on_time = stream["offeredTimeline"], stream["onTimeTimeline"]
    recovered = first
    for n in range(first, len(offered) - 1):
        good = on_time[n] if n < len(on_time) else 0
        if good < share * offered[n]:
            recovered = n + 1
    if recovered >= len(offered) - 1:
        return None
    return (recovered - first) * bucket_ms / 1000
