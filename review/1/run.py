"""The VM that replaces a crashed primary stands still for 2.1 s while it collects positions. Rule ONE: a write is
committed at the old primary after a promote has taken effect, and acknowledged to the requester."""

import os, signal, sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standins"))
from fleet import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S = 2.1


async def writes(fleet, group, front, number, acked):
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
        fleet.record.write(front.name, "<-", qid, "WRITE")
        code, _, state = await session.query(qid, "WRITE %d x%d" % (number, count))
        fleet.record.write(front.name, "->", qid, code)
        if code == "OK":
            acked[qid] = fleet.record.now()
        if code is None or state != "I":
            session.close()
            session = None
        await asyncio.sleep(0.03)


async def run(record, fleets):
    fleet = Fleet(record, fleets, {"uusimaa-a": "uusimaa", "pirkanmaa-a": "pirkanmaa"})
    await fleet.store.start()
    group = Group(record, fleet.store, "dispatch-db", ["i-db1", "i-db2", "i-db3"],
                  ["pirkanmaa-a", "pirkanmaa-a", "uusimaa-a"], promote_s=1.0)
    db1, db2, db3 = group.members
    db2.delay_s = 0.020  # db2 is in the other region
    await group.start()
    cloud = Cloud(record, [group])
    await cloud.start()
    fleet.cloud_address = cloud.address
    fleet.store.put("config", "main", configuration(1, "dispatch-db"))
    for name, zone in (("front-a-1", "uusimaa-a"), ("front-a-2", "uusimaa-a"), ("front-a-3", "uusimaa-a"),
                       ("front-b-1", "pirkanmaa-a"), ("front-b-2", "pirkanmaa-a")):
        fleet.add(name, zone).start()
    first = fleet.fronts[0]  # the first witness by name replaces primaries
    if not await fleet.until_ready(fleet.fronts, 25):
        record.say("the processes were not ready in time")
        return 2
    acked = {}
    # No requester uses the VM that stands still, so that none is excused.
    tasks = [asyncio.ensure_future(writes(fleet, group, front, number, acked))
             for number, front in enumerate(fleet.fronts[1:] * 2)]
    await asyncio.sleep(5)
    before = len(acked)
    frozen = []

    def stop_soon(database):
        database.on_status = None
        if TROUBLE:
            asyncio.get_event_loop().call_later(0.008, stop)

    def stop():
        first.signal(signal.SIGSTOP)
        frozen.append(record.now())
        asyncio.get_event_loop().call_later(FREEZE_S, lambda: first.signal(signal.SIGCONT))

    # The replicas are asked for their position only while a primary is replaced.
    db3.on_status = stop_soon
    db1.crash()
    await asyncio.sleep(7)
    await db1.restart()
    await asyncio.sleep(5)
    for task in tasks:
        task.cancel()
    return judge(record, group, cloud, acked, before, frozen)


def judge(record, group, cloud, acked, before, frozen):
    for moment, term, name, log in group.promotions:
        record.say("promote in effect at %.3f: %s leads term %d with %d commits" % (moment, name, term, len(log)))
    if not group.promotions or before < 20 or (TROUBLE and not frozen):
        record.say("the case did not run: %d promotes, %d writes before" % (len(group.promotions), before))
        return 2
    late = []
    for moment, name, entry in group.commits:
        for since, term, leader, _ in group.promotions:
            if entry[0] < term and moment > since:
                late += [(qid, moment, name, leader, since) for qid in entry[2] if qid in acked]
    for qid, moment, name, leader, since in late[:5]:
        record.say("ONE: %s was committed at %s at %.3f, after %s had taken over at %.3f; acknowledged at %.3f" % (
            qid, name, moment, leader, since, acked[qid]))
    kept = {qid for entry in group.leader.log for qid in entry[2]}
    lost = [qid for qid in acked if qid not in kept]
    record.say("%d promotes by %d holders, %d writes acknowledged, %d of them at an old primary, %d not in the log "
               "of the primary now" % (len(group.promotions), len({call[1] for call in cloud.calls}), len(acked),
                                       len(late), len(lost)))
    return 1 if late else 0


if __name__ == "__main__":
    main(run, __file__)
