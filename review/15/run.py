"""A route is moved to another service and back while a replica lags: the session no longer sees its own commit."""

import asyncio
import copy
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from world import BOUNDS, Group, Platform, Requester, Store, Vm, main  # noqa: E402

ZONES = {"sask-yxe": "sask", "alta-yyc": "alta", "mb-ywg": "manitoba"}
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "delivery", "pathPrefix": "/", "type": "read_your_writes", "timeoutMs": 1000,
                "targetLatencyMs": 1000, "priority": 2, "service": "ledger", "maxAttempts": 2,
                "maxStalenessMs": 5000, "public": False}],
    "services": [{"name": name, "healthPath": "/health", "maxConns": 36, "protocol": "h1", "tls": False,
                  "syncReplicas": 0} for name in ("ledger", "annex")],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
               "txIdleMs": 3000},
    "tenants": [{"name": "dealer", "apiKeys": ["key-1"], "priority": 1, "ratePerS": 100, "burst": 100}],
}


async def script(record, scratch, trouble, vms):
    store, platform = Store(record), Platform(record)
    await store.start()
    await platform.start()
    groups = {}
    for name in ("ledger", "annex"):
        groups[name] = platform.groups[name] = Group(store, record, name, list(ZONES), work=0.024)
        await groups[name].start()
    config = copy.deepcopy(CONFIG)
    store.put("config", "main", config)
    for n, zone in enumerate(ZONES):
        vms.append(Vm(f"front-{zone}-{n}", zone, ZONES, store, platform, scratch, BOUNDS))
    for vm in vms:
        vm.start()
    for vm in vms:
        if not await vm.wait_ready():
            raise RuntimeError(f"{vm.name} is not ready")
    # The machine in the zone of a replica reads there.
    requester = Requester(record, "a")
    if not (await requester.open(vms[1], "delivery", "key-1")).startswith("READY"):
        raise RuntimeError("no session")
    for n in range(10):
        await requester.query(f"WRITE slot{n} early")
        await requester.query(f"READ slot{n}")
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    for member in groups["ledger"].members[1:]:
        member.lag = 6.0  # replicas fall behind, for at most 7 s
    record.note("the replicas of ledger fall behind by 6 s")

    async def move(service):
        config["version"] += 5
        config["routes"][0]["service"] = service
        store.put("config", "main", copy.deepcopy(config))
        record.note(f"the store has confirmed version {config['version']}: delivery goes to {service}")
        await asyncio.sleep(0.5)

    own = await requester.query("WRITE slot20 mine")
    if trouble:
        await move("annex")
    other = await requester.query("WRITE slot21 mine")
    if trouble:
        await move("ledger")
    reads = [await requester.query("READ slot20") for _ in range(5)]
    held = True
    committed = {id: n for _, n, ids in groups["ledger"].commits for id in ids}
    if not own[1].startswith("COMPLETE") or own[0] not in committed:
        raise RuntimeError("the session's commit was not acknowledged")
    number = next(e[1] for e in groups["ledger"].members[0].log if own[0] in e[2])
    for id, outcome, _ in reads:
        for run in groups["ledger"].run_of(id):
            if outcome.startswith("COMPLETE") and run["answer"].startswith("COMPLETE") and run["log"][1] < number:
                record.note(f"STALE: {id} ran at {run['database']} on a log up to {run['log']}, without the session's "
                            f"commit {own[0]} ({number})")
                held = False
    return held


main(FOLDER, script)
