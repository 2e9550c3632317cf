"""A stop that never ends by itself: SIGTERM while operations of a tenant wait for tokens for longer than the statement's
time limit."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standins-3"))
from world import BOUNDS, Group, Platform, Requester, Store, Vm, main  # noqa: E402

ZONES = {"sask-yxe": "sask", "alta-yyc": "alta", "mb-ywg": "manitoba"}
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "quotes", "pathPrefix": "/", "type": "primary", "timeoutMs": 3000,
                "targetLatencyMs": 12000, "priority": 1, "service": "ledger", "maxAttempts": 2, "public": False}],
    "services": [{"name": "ledger", "healthPath": "/health", "maxConns": 36, "protocol": "h1", "tls": False,
                  "syncReplicas": 0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
               "txIdleMs": 3000},
    "tenants": [{"name": "dealer", "apiKeys": ["key-1"], "priority": 1, "ratePerS": 2, "burst": 2}],
}


async def write_on(record, vm, name):
    """Writes in sessions that are opened again after they were closed; more than the tenant's rate."""
    session = 0
    while True:
        session += 1
        requester = Requester(record, f"{name}{session}-")
        try:
            if (await requester.open(vm, "quotes", "key-1")).startswith("READY"):
                state = "I"
                while state == "I":
                    _, _, state = await requester.query("WRITE quote1 price")
                    await asyncio.sleep(0.05)
            requester.close()
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.1)


def processor_s(vm):
    """Processor time that a machine's process has used."""
    with open(f"/proc/{vm.process.pid}/stat") as f:
        fields = f.read().rsplit(") ", 1)[1].split(" ")
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def script(record, scratch, trouble, vms):
    store, platform = Store(record), Platform(record)
    await store.start()
    await platform.start()
    group = Group(store, record, "ledger", list(ZONES))
    platform.groups["ledger"] = group
    await group.start()
    store.put("config", "main", CONFIG)
    for n, zone in enumerate(ZONES):
        vms.append(Vm(f"front-{zone}-{n}", zone, ZONES, store, platform, scratch, BOUNDS))
    for vm in vms:
        vm.start()
    for vm in vms:
        if not await vm.wait_ready():
            raise RuntimeError(f"{vm.name} is not ready")
    vm = vms[1]
    writers = [asyncio.ensure_future(write_on(record, vm, f"a{n}-")) for n in range(16)]
    await asyncio.sleep(7)
    began, used = time.monotonic(), {}
    if trouble:
        vm.process.send_signal(signal.SIGTERM)
        record.note(f"SIGTERM to {vm.name}")
    while time.monotonic() < began + BOUNDS["graceS"] and vm.process.poll() is None:
        used[time.monotonic() - began] = processor_s(vm)
        await asyncio.sleep(0.05)
    for writer in writers:
        writer.cancel()
    if vm.process.poll() is not None:
        record.note(f"{vm.name} ended by itself after {time.monotonic() - began:.2f} s")
        return True
    late = [s for at, s in used.items() if at >= 5.5]
    record.note(f"{vm.name} has not ended after {BOUNDS['graceS']} s; it used {used[max(used)] - late[0]:.2f} s of a "
                f"processor in the last {max(used) - min(at for at in used if at >= 5.5):.2f} s")
    return not trouble or used[max(used)] - late[0] < 0.2


main(FOLDER, script)
