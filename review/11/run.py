"""The path to the platform is cut while a promotion request is on its way: it arrives after later ones."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from world import BOUNDS, CutPath, Group, Platform, Requester, Store, Vm, main  # noqa: E402

ZONES = {"sask-yxe": "sask", "alta-yyc": "alta", "mb-ywg": "manitoba"}
CUT_S = 6.4
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "quotes", "pathPrefix": "/", "type": "primary", "timeoutMs": 1000,
                "targetLatencyMs": 500, "priority": 1, "service": "ledger", "maxAttempts": 2, "public": False}],
    "services": [{"name": "ledger", "healthPath": "/health", "maxConns": 36, "protocol": "h1", "tls": False,
                  "syncReplicas": 0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
               "txIdleMs": 3000},
    "tenants": [{"name": "dealer", "apiKeys": ["key-1"], "priority": 1, "ratePerS": 100, "burst": 100}],
}


async def write_on(record, vm, name, acknowledged, until):
    """Writes one quote after another, in sessions that are opened again after an error."""
    session = 0
    while time.monotonic() < until():
        session += 1
        requester = Requester(record, f"{name}{session}-")
        try:
            if (await requester.open(vm, "quotes", "key-1")).startswith("READY"):
                while time.monotonic() < until():
                    id, outcome, state = await requester.query(f"WRITE quote{name} price")
                    if outcome.startswith("COMPLETE"):
                        acknowledged.append((time.monotonic(), id))
                    elif state != "I":
                        break
                    await asyncio.sleep(0.05)
            requester.close()
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)


async def until_true(condition, limit):
    end = time.monotonic() + limit
    while not condition() and time.monotonic() < end:
        await asyncio.sleep(0.02)
    return condition()


async def script(record, scratch, trouble, vms):
    store, platform = Store(record), Platform(record, promote_s=1.0)
    await store.start()
    await platform.start()
    group = Group(store, record, "ledger", list(ZONES))
    platform.groups["ledger"] = group
    await group.start()
    store.put("config", "main", CONFIG)
    paths = []
    for n, zone in enumerate(ZONES):
        path = CutPath(record, platform)
        path.cut_s = CUT_S
        await path.start()
        paths.append(path)
        vms.append(Vm(f"front-{zone}-{n}", zone, ZONES, store, path, scratch, BOUNDS))
    for vm in vms:
        vm.start()
    for vm in vms:
        if not await vm.wait_ready():
            raise RuntimeError(f"{vm.name} is not ready")
    acknowledged, end = [], [float("inf")]
    writers = [asyncio.ensure_future(write_on(record, vm, name, acknowledged, lambda: end[0]))
               for vm, name in zip(vms, "abc")]
    await asyncio.sleep(3)
    for path in paths:
        path.armed = trouble
    # Planned work: the databases of the service are replaced one after the other, the primary first.
    first = group.leader()
    first.state = "draining"
    first.register()
    record.note(f"{first.name} reports draining")
    if not await until_true(lambda: len(platform.effects) > 0, 25):
        raise RuntimeError("the first primary was not replaced")
    await asyncio.sleep(1)
    second = group.leader()
    second.state = "draining"
    second.register()
    record.note(f"{second.name} reports draining")
    if not await until_true(lambda: len(platform.effects) > 1, 25):
        raise RuntimeError("the second primary was not replaced")
    await asyncio.sleep(9 if trouble else 4)
    end[0] = 0
    await asyncio.wait(writers, timeout=5)
    held = True
    highest = 0
    for at, token, holder, service, name, status in platform.calls:
        if token < highest:
            record.note(f"ONE: {holder} sent token {token} for {name}; the platform had seen {highest}")
            held = False
        highest = max(highest, token)
    taken = {id: (at, name) for at, name, ids in group.commits for id in ids}
    bad = []
    for at, id in acknowledged:
        ran_at, name = taken[id]
        leaders = [leader for moment, _, leader in platform.effects if moment < ran_at]
        if leaders and leaders[-1] != name:
            bad.append(id)
    if bad:
        held = False
        record.note(f"ONE: {len(bad)} writes were committed at the old primary after a promote had taken effect, and "
                    f"acknowledged: {' '.join(bad)}")
    return held


main(FOLDER, script)
