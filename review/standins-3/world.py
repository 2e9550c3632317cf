"""Stand-ins for the platform's store, a service's databases and the promotion interface, and a runner of the project's
program, for the scripts of this review. Standard library only; every address is a loopback address.

Written from PROTOCOL.md and DEPLOY.md. Where the pages are silent, the stand-ins behave like sound servers.
"""

import asyncio
import copy
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/jasminepass-platform")
LOOPBACK = "127.0.0.1"


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's object store."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}  # (kind, name) -> {"spec", "status", "revision", "created"}
        self.history = []  # (revision, kind, object, deleted)
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def shown(self, kind, name):
        o = self.objects[kind, name]
        meta = {"name": name, "revision": o["revision"], "createdRev": o["created"], "finalizers": [],
                "deletionPending": False}
        return {"meta": meta, "spec": o["spec"], "status": o["status"]}

    def put(self, kind, name, spec):
        spec, old = copy.deepcopy(spec), self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return
        self.revision += 1
        created = old["created"] if old else self.revision
        self.objects[kind, name] = {"spec": spec, "status": None, "revision": self.revision, "created": created}
        self.log(kind, self.shown(kind, name), False)

    def delete(self, kind, name):
        shown = self.shown(kind, name)
        del self.objects[kind, name]
        self.revision += 1
        shown["meta"]["revision"] = self.revision
        self.log(kind, shown, True)

    def log(self, kind, shown, deleted):
        self.history.append((self.revision, kind, shown, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ")
                length = 0
                for line in head[1:]:
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                body = json.loads(await reader.readexactly(length)) if length else None
                status, answer = await self.call(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 0\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = path.strip("/").split("/")
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == "GET" and name is None and "watch" in query:
            since, until = int(query["watch"]), time.monotonic() + int(query.get("waitMs", 0)) / 1e3
            while True:
                events = [{"object": o, "deleted": d} for r, k, o, d in self.history if k == kind and r > since]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "atRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if method == "GET" and name is None:
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            return 200, {"items": [self.shown(kind, n) for n in names], "hasMore": False, "atRev": self.revision}
        if method == "POST":
            name = body["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self.shown(kind, name)
            self.put(kind, name, body.get("spec"))
            return 200, self.shown(kind, name)
        if (kind, name) not in self.objects:
            return 404, {}
        if method == "GET":
            return 200, self.shown(kind, name)
        expected = (body or {}).get("meta", {}).get("revision") or query.get("revision")
        if expected is not None and int(expected) != self.objects[kind, name]["revision"]:
            return 409, self.shown(kind, name)
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        self.put(kind, name, body.get("spec"))
        return 200, self.shown(kind, name)


class Database:
    """One database of a service."""

    def __init__(self, group, name, zone, role):
        self.group, self.name, self.zone = group, name, zone
        self.role, self.term = role, 1
        self.log = []  # (term, number, session of the stand-in, statement ids)
        self.lag = 0.06
        self.deaf = False
        self.incoming = []
        self.connections = set()
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.running = True
        self.failing_commits = 0

    def position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{self.term}.0"

    def pair(self):
        return self.log[-1][:2] if self.log else (self.term, 0)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0, limit=1 << 21)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.register()
        self.tasks = [asyncio.ensure_future(self.receive()), asyncio.ensure_future(self.beat())]

    def register(self):
        self.sequence += 1
        self.group.store.put("servers", self.name, {
            "service": self.group.service, "address": self.address, "zone": self.zone, "version": "v1", "capacity": 8,
            "state": self.state, "coldLeftMs": 0, "dbRole": self.role, "sequence": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    def follow(self, leader):
        """Becomes a replica of `leader`; what it has beyond that log is rolled back."""
        kept = [e for e in self.log if e in leader.log]
        gone = [e for e in self.log if e not in leader.log]
        if gone:
            self.group.record.note(f"{self.name} rolls back {', '.join(' '.join(e[2]) for e in gone)}")
        self.role, self.term, self.log, self.incoming = "replica", leader.term, kept, []
        missing = [e for e in leader.log if e not in kept]
        self.incoming = [(time.monotonic() + self.lag, e) for e in missing]

    async def receive(self):
        while True:
            await asyncio.sleep(0.005)
            while self.incoming and self.incoming[0][0] <= time.monotonic() and self.role == "replica":
                self.log.append(self.incoming.pop(0)[1])

    def commit(self, ids):
        entry = (self.term, self.pair()[1] + 1, tuple(ids))
        self.log.append(entry)
        self.group.commits.append((time.monotonic(), self.name, tuple(ids)))
        self.group.record.note(f"{self.name} commits {self.position()} of {' '.join(ids)}")
        for other in self.group.members:
            if other is not self and other.role == "replica" and self.group.leader() is self:
                other.incoming.append((time.monotonic() + other.lag, entry))

    async def serve(self, reader, writer):
        c = {"number": self.group.next_connection(), "tenant": None, "values": {}, "prepared": {}, "tx": None}
        self.connections.add(writer)
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                out = await self.handle(c, line)
                if out is None:
                    break
                writer.write("".join(text + "\r\n" for text in out).encode())
                await writer.drain()
                if out[-1].startswith("ERROR MISROUTED"):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, c, line):
        word, _, rest = line.partition(" ")
        if word == "START":
            fields = rest.split(" ")
            if fields[0] != self.group.service or (len(fields) > 2 and fields[2] != self.name):
                return [f"ERROR MISROUTED {self.name}"]
            c["tenant"] = fields[1]
            return [f"READY I {self.position()}"]
        if word != "QUERY":
            return None
        id, _, text = rest.partition(" ")
        answer = await self.run(c, id, text)
        if id != "-":
            self.group.ran(self, c, id, text, answer)
        state = "I" if c["tx"] is None else ("E" if c["tx"]["failed"] else "T")
        return answer + [f"READY {state} {self.position()}"]

    def roll_back(self, c):
        """Ends a transaction without its writes. What was set or prepared inside of it is undone, too, as in most
        databases."""
        c["values"], c["prepared"] = c["tx"]["values"], c["tx"]["prepared"]
        c["tx"] = None

    async def run(self, c, id, text):
        done = [f"COMPLETE {self.name}.{id}"] if id != "-" else ["COMPLETE -"]
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        tx = c["tx"]
        if tx and tx["failed"] and word not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED the transaction failed"]
        if tx and tx["plain"] and self.role != "primary" and not (word == "ROLLBACK" or word == "COMMIT" and not tx["ids"]):
            tx["failed"] = True
            return [f"ERROR READONLY {self.name}"]
        if after and tuple(map(int, after.split("."))) > self.pair():
            return [f"ERROR LAGGING {self.name}"]
        if word == "STATUS":
            role = [f"DATAROW {self.role} {self.term} {self.position()} 0 0 0 {len(self.connections)}"]
            return role + done
        if word in ("PAUSE", "RESUME", "DEMOTE"):
            if word == "DEMOTE" and self.role == "primary" and int(rest) > self.term:
                self.role = "replica"
                self.register()
            return [f"DATAROW {self.role} {self.term} {self.position()} 0 0 0 {len(self.connections)}"] + done
        if word == "BEGIN":
            if rest != "READ" and self.role != "primary":
                return [f"ERROR READONLY {self.name}"]
            c["tx"] = {"plain": rest != "READ", "ids": [], "failed": False, "values": dict(c["values"]),
                       "prepared": dict(c["prepared"])}
            return done
        if word == "ROLLBACK":
            if tx:
                self.roll_back(c)
            return done
        if word == "SET":
            name, _, value = rest.partition(" ")
            c["values"][name] = value
            return done
        if word == "PREPARE":
            name, access, _ = rest.split(" ", 2)
            c["prepared"][name] = access
            return done
        if word == "DEALLOC":
            c["prepared"].pop(rest, None)
            return done
        if word == "RESET":
            c["values"].clear()
            c["prepared"].clear()
            return done
        if word == "COMMIT":
            if tx is None:
                return ["ERROR MALFORMED no transaction"]
            await asyncio.sleep(self.group.work)
            if self.failing_commits > 0:
                self.failing_commits -= 1
                self.roll_back(c)
                return ["ERROR FAILED the transaction could not be committed"]
            c["tx"] = None
            if tx["ids"]:
                self.commit(tx["ids"])
            return done
        access = word
        if word == "EXECUTE":
            access = c["prepared"].get(rest.split(" ")[0])
            if access is None:
                return ["ERROR NOSUCHSTMT no such name"]
        if access == "WRITE":
            if self.role != "primary":
                if tx:
                    tx["failed"] = True
                return [f"ERROR READONLY {self.name}"]
            await asyncio.sleep(self.group.work)
            if tx:
                tx["ids"].append(id)
            else:
                self.commit([id])
            return done
        await asyncio.sleep(self.group.work)
        return [f"DATAROW {self.name}:{self.position()}"] + done


class Group:
    """A service with its databases; the first one is the primary."""

    def __init__(self, store, record, service, zones, work=0.005):
        self.store, self.record, self.service, self.work = store, record, service, work
        self.connection = 0
        self.runs = []
        self.commits = []  # (time, database, statement ids)
        self.members = [Database(self, f"i-{service}{n}", zone, "replica" if n else "primary")
                        for n, zone in enumerate(zones)]

    def leader(self):
        primaries = [m for m in self.members if m.role == "primary" and m.running]
        return max(primaries, key=lambda m: m.term, default=None)

    def next_connection(self):
        self.connection += 1
        return self.connection

    async def start(self):
        for member in self.members:
            await member.start()

    def ran(self, database, c, id, text, answer):
        run = {"at": time.monotonic(), "database": database.name, "tenant": c["tenant"], "connection": c["number"],
               "id": id, "text": text, "values": dict(c["values"]), "log": database.pair(), "answer": answer[-1]}
        self.runs.append(run)
        self.record.note(f"{database.name} (log {database.position()}, connection {c['number']}, tenant {c['tenant']}) "
                         f"got {id} {text} -> {answer[-1]}")

    def run_of(self, id):
        return [run for run in self.runs if run["id"] == id]


class Platform:
    """The platform's interface for promotions. It does not check fences (`requireFencing` is false)."""

    def __init__(self, record, promote_s=0.3):
        self.record, self.promote_s = record, promote_s
        self.groups = {}
        self.calls = []  # (time, token, holder, service, database, status)
        self.effects = []  # (time, service, database)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                body = json.loads(await reader.readexactly(int(headers["content-length"])))
                status = self.promote(body["service"], body["id"], int(headers["jasminepass-fencing-token"]),
                                      headers["jasminepass-lease-holder"])
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def promote(self, service, name, token, holder):
        group = self.groups[service]
        found = [m for m in group.members if m.name == name and m.running]
        status = 200 if found else 409
        highest = max([call[1] for call in self.calls], default=0)
        lower = f", lower than {highest}, which the platform has seen" if token < highest else ""
        self.calls.append((time.monotonic(), token, holder, service, name, status))
        self.record.note(f"platform got POST /promote {service} {name} from {holder} under token {token}{lower} -> {status}")
        if found and group.leader() is not found[0]:
            asyncio.ensure_future(self.take_effect(group, found[0]))
        return status

    async def take_effect(self, group, member):
        await asyncio.sleep(self.promote_s)
        if not member.running or group.leader() is member:
            return
        old = group.leader()
        member.role, member.term = "primary", max(m.term for m in group.members) + 1
        member.incoming.clear()
        self.effects.append((time.monotonic(), group.service, member.name))
        self.record.note(f"{member.name} leads term {member.term} with {member.position()}")
        member.register()
        for other in group.members:
            if other is not member and other is not old:
                other.follow(member)
        await asyncio.sleep(1)
        # The old primary goes on until a second after it can reach the new one.
        if old is not None and old.role == "primary" and old.term < member.term:
            old.follow(member)
            old.register()


class CutPath:
    """A machine's path to the platform's interface. When armed, it is cut as the next request is on its way, for
    `cut_s`. New connections are refused meanwhile. The bytes that are held up arrive with the first retransmission
    after the cut, unless their sender has reset the connection."""

    def __init__(self, record, target):
        self.record, self.target = record, target
        self.cut_s, self.armed, self.cut_until = 0, False, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{self.port}"

    async def serve(self, reader, writer):
        out = None
        try:
            data = await reader.read(65536)
            if data and self.armed:
                self.armed = False
                return await self.hold(data, reader)
            host, port = self.target.address.split(":")
            back, out = await asyncio.open_connection(host, int(port))
            while data:
                out.write(data)
                head = await back.readuntil(b"\r\n\r\n")
                writer.write(head)
                await writer.drain()
                data = await reader.read(65536)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if out:
                out.close()

    async def hold(self, data, reader):
        sent = time.monotonic()
        self.record.note(f"the path to the platform is cut for {self.cut_s} s, with a request on its way")
        self.server.close()
        # Retransmissions after 0.2 s, then twice as long each time.
        arrives, pause = 0.2, 0.4
        while arrives < self.cut_s:
            arrives, pause = arrives + pause, pause * 2
        asyncio.ensure_future(self.heal(sent))
        try:
            rest = await reader.read()
            self.record.note(f"the sender has closed the connection after {time.monotonic() - sent:.3f} s")
            data += rest
        except ConnectionError:
            self.record.note("the sender has reset the connection: the bytes are lost")
            return
        await asyncio.sleep(max(0, sent + arrives - time.monotonic()))
        self.record.note("the request that was held up arrives")
        host, port = self.target.address.split(":")
        back, out = await asyncio.open_connection(host, int(port))
        out.write(data)
        await back.readuntil(b"\r\n\r\n")
        out.close()

    async def heal(self, sent):
        await asyncio.sleep(max(0, sent + self.cut_s - time.monotonic()))
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.record.note("the path to the platform is whole again")


def free_port(kinds=(socket.SOCK_STREAM, socket.SOCK_DGRAM)):
    """A port below the ephemeral ones that is free now."""
    free_port.last = getattr(free_port, "last", 13000 + os.getpid() * 97 % 180 * 100)
    while True:
        free_port.last += 1
        try:
            for kind in kinds:
                with socket.socket(socket.AF_INET, kind) as s:
                    s.bind((LOOPBACK, free_port.last))
            return free_port.last
        except OSError:
            pass


class Vm:
    """A process of the deploy file."""

    def __init__(self, name, zone, zones, store, platform, folder, bounds):
        self.name, self.folder = name, folder
        front, ready, peers = free_port(), free_port(), free_port()
        self.front, self.ready = front, ready
        places = "\n".join(f'{z} = "{r}"' for z, r in zones.items())
        limits = "\n".join(f"{k} = {v}" for k, v in bounds.items())
        self.settings = os.path.join(folder, name + ".toml")
        with open(self.settings, "w") as f:
            f.write(f'''nodeName = "{name}"
role = "front"
machineClass = "front"
serves = ["front"]
ip = "{LOOPBACK}"
zone = "{zone}"
region = "{zones[zone]}"
internalPorts = [{peers},{peers}]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entrypoint = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","tenants","quota","platform"]
[zones]
{places}
[listenAddrs]
front = "{LOOPBACK}:{front}"
ready = "{LOOPBACK}:{ready}"
[limits]
cpuShare = 0.25
cpus = 1
memoryMb = 260
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
{limits}
[platform]
address = "{store.address}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
[cloudApi]
address = "{platform.address}"
ratePerS = 50.0
duties = ["promotion"]
dutyPerS = 50.0
''')
        self.process = None

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "a")
        env = {"PATH": os.environ.get("PATH", ""), "JASMINEPASS_SETTINGS": self.settings}
        self.process = subprocess.Popen([PROGRAM, "front"], cwd=ROOT, env=env, stdout=log, stderr=log)

    async def wait_ready(self, limit=30):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Requester:
    """A requester's session."""

    def __init__(self, record, name):
        self.record, self.name, self.count = record, name, 0

    async def open(self, vm, host, key):
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, vm.front, limit=1 << 21)
        self.writer.write(f"START {host} {key}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readline(), 10)).decode().strip()
        self.record.note(f"{self.name} START {host} {key} at {vm.name} -> {line}")
        return line

    async def query(self, text, limit=15):
        """Sends a statement. Returns its id, the outcome line and the state after it."""
        self.count += 1
        id = f"{self.name}{self.count}"
        self.record.note(f"{self.name} sends {id} {text}")
        self.writer.write(f"QUERY {id} {text}\r\n".encode())
        outcome, state = await self.answer(id, limit)
        return id, outcome, state

    async def send_ahead(self, texts):
        """Sends statements together, without waiting for the answers. Returns their ids."""
        ids = []
        for text in texts:
            self.count += 1
            ids.append(f"{self.name}{self.count}")
            self.record.note(f"{self.name} sends {ids[-1]} {text}")
            self.writer.write(f"QUERY {ids[-1]} {text}\r\n".encode())
        await self.writer.drain()
        return ids

    async def answer(self, id, limit=15):
        """Reads the next answer, which is that to the statement `id`. Returns the outcome line and the state."""
        rows, outcome, state = [], None, "closed"
        while True:
            line = (await asyncio.wait_for(self.reader.readline(), limit)).decode().strip()
            if not line:
                outcome = outcome or "CLOSED"
                break
            if line.startswith("READY"):
                state = line.split(" ")[1]
                break
            if line.startswith("DATAROW"):
                rows.append(line)
            else:
                outcome = line
        self.record.note(f"{self.name} gets for {id}: {' | '.join(rows + [outcome])}; state {state}")
        return outcome, state

    def close(self):
        self.writer.close()


BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 5000, "ackMs": 6000, "catchUpS": 4, "drainMs": 7000,
          "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "downgradeMs": 250, "outerMs": 15000,
          "revokeStrict": "false", "revokeMs": 5000, "quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20,
          "recoveryS": 12, "requireFencing": "false", "thawMs": 300}


def main(folder, script, limit=110):
    """Runs `script(record, folder, trouble)`, a coroutine that returns whether the rule held. Exits with 0 if it held,
    1 if it was broken, and 2 if the case could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    scratch = tempfile.mkdtemp(prefix="jasminepass-review-")
    vms = []

    def stopped(*_):
        for vm in vms:
            vm.end()
        os._exit(2)

    signal.signal(signal.SIGTERM, stopped)
    signal.signal(signal.SIGINT, stopped)
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise RuntimeError("the program is not built")
        held = asyncio.run(asyncio.wait_for(script(record, scratch, trouble, vms), limit))
        code = 0 if held else 1
    except Exception as e:  # whatever kept the case from running
        record.note(f"could not run: {type(e).__name__} {e}")
        code = 2
    finally:
        for vm in vms:
            vm.end()
        if os.environ.get("KEEP"):
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.note({0: "the rule held", 1: "the rule was broken", 2: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)  # without waiting for what the stand-ins still do
