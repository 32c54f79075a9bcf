"""An acknowledged DELETE is forgotten when all processes are killed at once, and a late heartbeat brings the server back."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from rig import CannotRun, configuration, main, route, trouble  # noqa: E402

DRAIN_S = 2.0  # Bound `drain_s` of the settings.
STABLE_S = 3.0  # Bound `stable_s`: after it a machine without disruption is in touch.


async def case(rig):
    await rig.start(["shop"] * 6, configuration(3, {"r1": route("shop", "/menu/")}, ["shop"]))
    await asyncio.sleep(STABLE_S + 1)
    leaving = rig.upstreams[0]
    for n in range(18):
        await rig.request(rig.hosts[n % 6], "GET", "/menu/before")
    if not leaving.runs:
        raise CannotRun("the server got no work before it left")

    # A heartbeat is on its way, and will arrive some seconds late. Meanwhile the server leaves, as some do, by DELETE alone.
    leaving.beats.cancel()
    late = leaving.heartbeat()
    rig.record.add(f"server {leaving.instance} sends heartbeat {late.decode()}, which will be late")
    if await leaving.send("DELETE", b"") != 200:
        raise CannotRun("the DELETE was not acknowledged")
    left = rig.record.now()
    if trouble():
        await asyncio.gather(*[it.kill() for it in rig.hosts])
        await asyncio.sleep(0.5)
        for it in rig.hosts:
            await it.start()
    await asyncio.sleep(2.0)
    await leaving.send("PUT", late)
    rig.record.add("the late heartbeat has arrived")
    await rig.until_ready()
    await asyncio.sleep(STABLE_S + 0.5)

    # The server serves on for many seconds. All machines have been in touch for a while.
    for n in range(60):
        await rig.request(rig.hosts[n % 6], "GET", "/menu/after")
    late_runs = [it for it in leaving.runs if it[0] > left + DRAIN_S]
    rig.record.add(f"{len(late_runs)} requests reached {leaving.instance} more than {DRAIN_S} s after its DELETE was acknowledged")
    return bool(late_runs)


main(case, HERE)
