"""A primary crashes for three seconds. As a VM replaces it, all processes are killed right after the store has confirmed
the fencing token; they start again, and so does the primary. Rule RECOVER: of the requests sent later than recoveryS
after the machines are back, less than a quarter is served."""

import os, sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standins"))
from fleet import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# "lost": the store's answer to the first write of the token is lost instead, and all processes are killed 10 s later.
LOST_ANSWER = os.environ.get("WAY") == "lost"
RECOVERY_S = 12
CRASH_S = 3.0
OBSERVE_S = 20


async def requests(fleet, front, number, seen):
    """A requester that opens a session for each of its requests; `seen` gets (second of sending, whether served)."""
    count = 0
    while True:
        count += 1
        qid, sent, code = "q%d-%d" % (number, count), fleet.record.now(), None
        text = "WRITE %d x" % count if count % 4 == 0 else "READ %d" % number
        session = Session(front)
        if await session.open(("job-assign", "coverage-review")[number % 2], "key-a"):
            code, _, _ = await session.query(qid, text, 3.0)
        session.close()
        fleet.record.write(front.name, qid, text, "->", code)
        seen.append((sent, code == "OK"))
        await asyncio.sleep(0.1)


async def run(record, fleets):
    fleet = Fleet(record, fleets, {"uusimaa-a": "uusimaa", "pirkanmaa-a": "pirkanmaa"})
    await fleet.store.start()
    group = Group(record, fleet.store, "dispatch-db", ["i-db1", "i-db2", "i-db3"],
                  ["uusimaa-a", "pirkanmaa-a", "uusimaa-a"], promote_s=0.3)
    primary = group.members[0]
    await group.start()
    cloud = Cloud(record, [group])
    await cloud.start()
    fleet.cloud_address = cloud.address
    fleet.store.put("config", "main", configuration(1, "dispatch-db"))
    fleet.store.delay_s = 0.010  # the store is in another zone
    for name, zone in (("front-a-1", "uusimaa-a"), ("front-a-2", "uusimaa-a"), ("front-b-1", "pirkanmaa-a")):
        fleet.add(name, zone).start()
    if not await fleet.until_ready(fleet.fronts, 25):
        record.say("the processes were not ready in time")
        return 2
    seen, killed = [], asyncio.get_event_loop().create_future()
    for number in range(12):
        asyncio.ensure_future(requests(fleet, fleet.fronts[number % 3], number // 3, seen))
    await asyncio.sleep(6)

    def kill_all():
        record.say("all processes are killed; token in the store:", ("duties", "promotion") in fleet.store.objects)
        for front in fleet.fronts:
            front.process.kill()
        for front in fleet.fronts:
            front.kill()
        killed.set_result(record.now())

    def written(kind, name):
        if (kind, name) == ("duties", "promotion") and not killed.done():
            # The answer is on its way for 10 ms.
            asyncio.get_event_loop().call_soon(kill_all)

    async def back_later():
        await asyncio.sleep(CRASH_S)
        await primary.restart()

    if TROUBLE and LOST_ANSWER:
        fleet.store.loses_answer = lambda kind: kind == "duties"
        primary.crash()
        await asyncio.sleep(2.2)
        await primary.restart()
        await asyncio.sleep(10)
        record.say("served in the last 5 s: %d of %d" % (
            sum(ok for sent, ok in seen if sent > record.now() - 5), sum(sent > record.now() - 5 for sent, _ in seen)))
        kill_all()
        fault = killed.result()
    elif TROUBLE:
        fleet.store.on_write = written
        primary.crash()
        asyncio.ensure_future(back_later())
        fault = await asyncio.wait_for(killed, 10)
    else:
        kill_all()
        fault = killed.result()
    await asyncio.sleep(1)
    for front in fleet.fronts:
        front.start()
    back = record.now()
    record.say("all processes start again")
    await asyncio.sleep(RECOVERY_S + OBSERVE_S)
    ready = [await front.is_ready() for front in fleet.fronts]
    before = [ok for sent, ok in seen if sent < fault - 3]
    after = [ok for sent, ok in seen if sent > back + RECOVERY_S]
    record.say("before the final fault %d of %d served; later than %d s after it %d of %d" % (
        sum(before), len(before), RECOVERY_S, sum(after), len(after)))
    record.say("ready: %d of %d; %s leads term %d, up: %s; promotions requested: %d" % (
        sum(ready), len(ready), group.leader.name, group.term, group.leader.up, len(cloud.calls)))
    if len(before) < 20 or sum(before) * 4 < len(before) or not after or cloud.calls:
        return 2
    return 1 if sum(after) * 4 < len(after) else 0


if __name__ == "__main__":
    main(run, __file__)
