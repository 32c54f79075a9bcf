"""A frozen grantor of a tenant's quota wakes and goes on granting beside the one that has taken over."""

import asyncio
import signal
import subprocess
import sys
from bisect import bisect_right
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from rig import ROOT, CannotRun, configuration, main, read_body, read_head, route, trouble  # noqa: E402

HOSTS = 12
RATE = BURST = 200  # As in the pages' example, the burst is a second of the rate.
WINDOW_S, EXCESS, SLACK = 5.0, 0.1, 20  # Bounds quota_window_s, quota_excess, quota_slack.
LIMIT = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
FREEZE_S = 4.0
FREEZES = 3
CALM_S = 12.0
MOST_WAIT_S = 0.05  # The tenant sends far more than its quota: its clients come back at once.


def grantor_among(rig):
    nodes = [f"{it.ip}:{rig.port('peer')}" for it in rig.hosts]
    tool = ROOT / "target" / "review-2" / "grantor"
    if not tool.exists():
        raise CannotRun("run review/build-2.sh first")
    node = subprocess.run([tool, "tenant", *nodes], capture_output=True, text=True, check=True).stdout.strip()
    return rig.hosts[nodes.index(node)]


async def ask(reader, writer, name):
    """One request on a kept connection. Returns the status and when to come back."""
    writer.write((f"GET /menu/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {name}\r\nX-Deadline-Ms: 2000\r\n"
                  "X-Api-Key: key\r\n\r\n").encode())
    line, fields = await read_head(reader)
    await read_body(reader, fields)
    return int(line.split(" ")[1]), float(fields.get("retry-after", MOST_WAIT_S)), fields.get("connection") == "close"


async def press(rig, host, sent, answers, is_over):
    """One client of the tenant: sends the next request as soon as it has an answer."""
    writer = None
    while not is_over.is_set():
        name = rig.new_id()
        sent[name] = rig.record.now()
        try:
            if writer is None:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, rig.port("outbound")), 1)
            status, wait, is_last = await asyncio.wait_for(ask(reader, writer, name), 2.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, wait, is_last = "none", MOST_WAIT_S, True
        answers[status] = answers.get(status, 0) + 1
        if is_last and writer is not None:
            writer.close()
            writer = None
        if status != 200:
            await asyncio.sleep(min(wait, MOST_WAIT_S))


def most_in_a_window(runs):
    """The most requests that were both sent and run within one window, and that window's end. `runs`: (run at, sent at)."""
    runs = sorted(runs)
    times = [it[0] for it in runs]
    worst, end = 0, 0.0
    for n, (time, _) in enumerate(runs):
        first = bisect_right(times, time - WINDOW_S)
        both = sum(sent > time - WINDOW_S for _, sent in runs[first:n + 1])
        if both > worst:
            worst, end = both, time
    return worst, end


async def case(rig):
    rig.bounds = {**rig.bounds, "strict_revoke": "true", "revoke_s": 5, "quota_window_s": 5, "quota_excess": EXCESS,
                  "quota_slack": SLACK}
    tenants = {"tenant": {"api_keys": ["key"], "priority": 1, "rate_per_s": RATE, "burst": BURST}}
    await rig.start(["shop"] * HOSTS, configuration(3, {"r1": route("shop", "/menu/")}, ["shop"], tenants=tenants))
    grantor = grantor_among(rig)
    rig.record.add(f"{grantor.name} grants the tenant's quota")
    await asyncio.sleep(6)
    note = rig.record.add
    rig.record.add = lambda text: None if text.startswith("server ") else note(text)  # Counted below instead.
    sent, answers, is_over = {}, {}, asyncio.Event()
    clients = [asyncio.create_task(press(rig, host, sent, answers, is_over))
               for host in rig.hosts for _ in range(10 if host is grantor else 1)]
    await asyncio.sleep(8)
    for _ in range(FREEZES):
        if trouble():
            grantor.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if trouble():
            grantor.signal(signal.SIGCONT)
        await asyncio.sleep(CALM_S)
    is_over.set()
    await asyncio.gather(*clients)

    runs = [(it[0], sent[it[1]]) for up in rig.upstreams for it in up.runs]
    for second in range(int(max(runs)[0]) + 1):
        note(f"second {second}: {sum(int(it[0]) == second for it in runs)} requests of the tenant ran")
    worst, end = most_in_a_window(runs)
    note(f"{len(sent)} sent, answers {answers}; at most {worst} sent and run in {WINDOW_S} s (up to {end:.1f} s), allowed {LIMIT:.0f}")
    return worst > LIMIT


main(case, HERE)
