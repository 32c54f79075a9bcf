"""A node that wakes with an older configuration runs orders twice: the route that makes them unsafe is new to it."""

import asyncio
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from rig import Upstream, configuration, main, route, trouble  # noqa: E402

CONFIG_S = 2.0  # Bound `config_s` of the settings.
FREEZE_S = 4.0
LOST_SHARE, LOST_X = 0.6, 0.4  # `answer_lost` with `reset`: at this share of the servers this part of the answers.
ORDERS = 40
ROUNDS = 5
OTHER_ROUTES = 350  # `big_config`: count = 350. Its size makes a change take some milliseconds.


class LosesAnswers(Upstream):
    """Runs a request, and resets the connection in place of some answers."""

    loses = False

    async def answer(self, method, target, fields, body, writer):
        if self.loses and random.random() < LOST_X:
            await asyncio.sleep(self.seconds)
            self.rig.record.add(f"server {self.instance} loses the answer to {fields['x-attempt-id']}")
            writer.transport.abort()
            raise ConnectionError
        await super().answer(method, target, fields, body, writer)


async def case(rig):
    routes = {"menu": route("shop", "/menu/", kind="safe", attempts=3)}
    for n in range(OTHER_ROUTES):
        routes[f"other{n}"] = route("shop", f"/other{n}/")
    await rig.start(["shop"] * 6, configuration(3, routes, ["shop"]), server=LosesAnswers)
    await asyncio.sleep(4)
    frozen = rig.hosts[0]
    losers = random.sample(rig.upstreams, round(LOST_SHARE * len(rig.upstreams)))
    orders, version = {}, 3
    for n in range(ROUNDS):
        if trouble():
            frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(0.05)
        # The operator adds a route for orders below the menu. The store acknowledges it at once.
        version += 4
        prefix = f"/menu/order{n}/"
        routes[f"order{n}"] = route("shop", prefix, kind="unsafe", attempts=3)
        rig.configure(configuration(version, routes, ["shop"]))
        acknowledged = rig.record.now()
        await asyncio.sleep(CONFIG_S + 0.1)
        for it in losers:
            it.loses = True
        # Sent more than `config_s` after the acknowledgement, by clients of the frozen machine, which know of one missed answer
        # about its readiness so far.
        sent = [asyncio.create_task(rig.request(frozen, "POST", prefix + str(k), body=b"one meal")) for k in range(ORDERS)]
        await asyncio.sleep(FREEZE_S - (rig.record.now() - acknowledged) - 0.05)
        if trouble():
            frozen.signal(signal.SIGCONT)
        for name, status, _, _ in await asyncio.gather(*sent):
            orders[name] = status
        for it in losers:
            it.loses = False
        await asyncio.sleep(4)

    runs = {}
    for it in rig.upstreams:
        for run in it.runs:
            runs[run[1]] = runs.get(run[1], 0) + 1
    twice = {name: (runs[name], status) for name, status in orders.items() if runs.get(name, 0) > 1}
    for name, (n, status) in twice.items():
        rig.record.add(f"order {name} ran {n} times; its client got {status}")
    rig.record.add(f"{len(orders)} orders sent, {sum(it in runs for it in orders)} ran, {len(twice)} of them more than once")
    return bool(twice)


main(case, HERE)
