"""A service with syncReplicas = 1: one replica receives nothing for a while, and the primary and the other replica, which
stand in one zone, crash for seven seconds. Rule LOST: an acknowledged commit isn't in the log of the database that is
promoted."""

import os, sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standins"))
from fleet import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEAF_S, CRASH_AFTER_S, CRASH_S = 6.5, 1.5, 7.0


async def writes(fleet, front, number, acked):
    """A requester that sends one write after another."""
    session, count = None, 0
    while True:
        if session is None:
            session = Session(front)
            if not await session.open("job-assign", "key-a"):
                session.close()
                session = None
                await asyncio.sleep(0.1)
                continue
        count += 1
        qid = "w%d-%d" % (number, count)
        code, _, state = await session.query(qid, "WRITE %d x%d" % (number, count))
        fleet.record.write(front.name, qid, "WRITE ->", code)
        if code == "OK":
            acked[qid] = fleet.record.now()
        if code is None or state != "I":
            session.close()
            session = None
        await asyncio.sleep(0.04)


async def run(record, fleets):
    fleet = Fleet(record, fleets, {"uusimaa-a": "uusimaa", "pirkanmaa-a": "pirkanmaa"})
    await fleet.store.start()
    group = Group(record, fleet.store, "dispatch-db", ["i-db1", "i-db2", "i-db3"],
                  ["uusimaa-a", "uusimaa-a", "pirkanmaa-a"], sync=1, lag_s=0.02, promote_s=0.3)
    await group.start()
    cloud = Cloud(record, [group])
    await cloud.start()
    fleet.cloud_address = cloud.address
    fleet.store.put("config", "main", configuration(1, "dispatch-db", sync=1))
    for name, zone in (("front-a-1", "uusimaa-a"), ("front-a-2", "uusimaa-a"), ("front-b-1", "pirkanmaa-a")):
        fleet.add(name, zone).start()
    if not await fleet.until_ready(fleet.fronts, 25):
        record.say("the processes were not ready in time")
        return 2
    acked = {}
    for number in range(6):
        asyncio.ensure_future(writes(fleet, fleet.fronts[number % 3], number, acked))
    await asyncio.sleep(5)
    before = len(acked)
    db1, db2, db3 = group.members
    if TROUBLE:
        db3.deaf_until = time.monotonic() + DEAF_S
        record.say("i-db3 receives nothing for", DEAF_S, "s")
    await asyncio.sleep(CRASH_AFTER_S)
    for member in (db1, db2) if TROUBLE else (db1,):
        member.crash()
    await asyncio.sleep(CRASH_S)
    for member in (db1, db2):
        if not member.up:
            await member.restart()
    await asyncio.sleep(6)
    if before < 20:
        record.say("the case did not run: %d writes before" % before)
        return 2
    lost = []
    for moment, term, name, log in group.promotions:
        kept = {qid for entry in log for qid in entry[2]}
        gone = [qid for qid, at in acked.items() if at < moment and qid not in kept]
        record.say("%s was promoted at %.3f for term %d without %d of %d acknowledged commits" % (
            name, moment, term, len(gone), sum(at < moment for at in acked.values())))
        lost += gone
    for qid in lost[:5]:
        record.say("LOST: %s, acknowledged at %.3f" % (qid, acked[qid]))
    record.say("%d promotes, %d writes acknowledged in all" % (len(group.promotions), len(acked)))
    return 1 if lost else 0


if __name__ == "__main__":
    main(run, __file__)
