"""Stand-ins for the platform's store, its interface for promotions, the databases and requesters, and the start of
the project's own processes. Python's standard library only; every address is a loopback address."""

import asyncio, json, os, re, shutil, signal, socket, subprocess, sys, tempfile, time
from urllib.parse import urlsplit, parse_qs

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/jasminepass-platform")
HOST = "127.0.0.1"
HANDSHAKE_S = 0.012  # a new connection occupies a database for so long


def free_ports(count):
    """Ports below the ephemeral range that nothing listens on now."""
    found, port = [], 12000 + (os.getpid() * 1237) % 19000
    while len(found) < count:
        port += 1
        if port > 31900:
            port = 12000
        try:
            with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            found.append(port)
        except OSError:
            pass
    return found


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, *words):
        self.file.write("%9.3f  %s\n" % (self.now(), " ".join(str(word) for word in words)))

    def say(self, *words):
        self.write(*words)
        print("%9.3f  %s" % (self.now(), " ".join(str(word) for word in words)), flush=True)

    def close(self):
        self.file.close()


async def read_http(reader):
    """Reads a request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or 0)
    body = await reader.readexactly(length) if length else b""
    return method, target, headers, body


def http_answer(status, body, headers=()):
    extra = "".join("%s: %s\r\n" % pair for pair in headers)
    head = "HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n%s\r\n" % (
        status, len(body), extra)
    return head.encode() + body


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record, self.revision, self.era = record, 100, 0
        self.objects = {}  # (kind, name) -> [spec as bytes, revision]
        self.history = []  # (revision, kind, object as bytes, deleted)
        self.changed = asyncio.Event()
        self.is_down = False
        self.delay_s = 0.0  # one way to the store
        self.loses_answer = None  # says of a kind whether the answer to its next write is lost
        self.on_write = None  # called with kind and name when a write of the system has taken effect

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % (HOST, self.server.sockets[0].getsockname()[1])

    def object_bytes(self, name, spec, revision):
        meta = {"name": name, "revision": revision, "createdRev": 1, "finalizers": [], "deletionPending": False}
        return b'{"meta":' + json.dumps(meta).encode() + b',"spec":' + spec + b',"status":null}'

    def put(self, kind, name, spec):
        """Writes an object; `spec` is a value or the bytes that stand for it."""
        spec = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        present = self.objects.get((kind, name))
        if present and present[0] == spec:
            return self.object_bytes(name, spec, present[1])
        self.revision += 1
        self.objects[kind, name] = [spec, self.revision]
        data = self.object_bytes(name, spec, self.revision)
        self.note(kind, data, False)
        return data

    def write(self, kind, name, document):
        data = self.put(kind, name, document.get("spec"))
        self.record.write("store: the system writes", kind, name, json.dumps(document.get("spec")))
        if self.on_write:
            self.on_write(kind, name)
        return data

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            spec, _ = self.objects.pop((kind, name))
            self.revision += 1
            self.note(kind, self.object_bytes(name, spec, self.revision), True)

    def note(self, kind, data, deleted):
        self.history.append((self.revision, kind, data, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    break
                await asyncio.sleep(self.delay_s)
                status, body = await self.answer(*request)
                if request[0] != "GET" and self.loses_answer and self.loses_answer(request[1].split("/")[2]):
                    self.loses_answer = None
                    self.record.say("store: a write is done, its answer is lost:", request[0], request[1])
                    await asyncio.sleep(3600)
                await asyncio.sleep(self.delay_s)
                writer.write(http_answer(status, body, [("Store-Era", self.era)]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        if self.is_down:
            return 503, b"{}"
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [part for part in url.path.split("/") if part][1:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
            items = [self.object_bytes(n, spec, rev) for (k, n), (spec, rev) in sorted(self.objects.items())
                     if k == kind and n > query.get("after", "")]
            return 200, b'{"items":[' + b",".join(items) + b'],"hasMore":false,"atRev":%d}' % self.revision
        if method == "POST":
            document = json.loads(body)
            name = document["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self.object_bytes(name, *self.objects[kind, name])
            return 200, self.write(kind, name, document)
        if (kind, name) not in self.objects:
            return 404, b"{}"
        spec, revision = self.objects[kind, name]
        if method == "GET":
            return 200, self.object_bytes(name, spec, revision)
        document = json.loads(body) if body else {}
        expected = query.get("revision", document.get("meta", {}).get("revision"))
        if expected is not None and int(expected) != revision:
            return 409, self.object_bytes(name, spec, revision)
        if method == "PUT":
            return 200, self.write(kind, name, document)
        self.remove(kind, name)
        return 200, b"{}"

    async def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if since > self.revision:
                return 410, b"{}"
            events = [b'{"object":' + data + b',"deleted":' + (b"true" if deleted else b"false") + b"}"
                      for rev, k, data, deleted in self.history if rev > since and k == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                at = self.revision if events else max(since, self.revision)
                return 200, b'{"events":[' + b",".join(events) + b'],"atRev":%d}' % at
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Group:
    """The databases of one service: the log of each, who leads, and the promotions."""

    def __init__(self, record, store, service, names, zones, sync=0, lag_s=0.06, promote_s=1.0, slots=3,
                 work_s=0.008):
        self.record, self.store, self.service, self.sync = record, store, service, sync
        self.lag_s, self.promote_s = lag_s, promote_s
        self.members = [Database(self, name, zone, slots, work_s) for name, zone in zip(names, zones)]
        self.term, self.leader = 1, self.members[0]
        self.leader.is_primary = True
        for member in self.members:
            member.term = 1
        self.commits = []  # (second, database, entry of the log)
        self.promotions = []  # (second, term, database, end of its log)

    async def start(self):
        for member in self.members:
            await member.start()

    async def promote(self, member):
        """The database leads the next term after a while, with what it has received and nothing more."""
        if self.leader is member and member.is_primary and member.up:
            return
        await asyncio.sleep(self.promote_s)
        if not member.up:
            return
        self.term += 1
        self.leader = member
        member.term, member.is_primary = self.term, True
        for other in self.members:
            other.paused_by = None  # a promote ends every pause
        self.promotions.append((self.record.now(), self.term, member.name, list(member.log)))
        self.record.say("platform:", member.name, "leads term", self.term, "with", len(member.log), "commits")
        member.write_entry()
        for other in self.members:
            if other is not member:
                asyncio.ensure_future(self.step_down(other, self.term, 1.0 if other.is_primary else 0.05))

    async def step_down(self, member, term, after):
        await asyncio.sleep(after)
        while not member.up:
            await asyncio.sleep(0.1)
        if self.term == term and member is not self.leader:
            member.follow(self.leader)


class Database:
    """A database that speaks the line protocol."""

    def __init__(self, group, name, zone, slots, work_s):
        self.group, self.name, self.zone, self.slots, self.work_s = group, name, zone, slots, work_s
        self.is_primary, self.term, self.log = False, 0, []  # log: (term, number, statement ids)
        self.paused_by, self.deaf_until, self.up, self.dark = None, 0.0, False, False
        self.busy, self.connections, self.sequence, self.state = 0, set(), 0, "ready"
        self.received = asyncio.Event()
        self.delay_s = 0.0  # one way to the database
        self.on_status = None  # called after a status query was answered

    def position(self):
        return "%d.%d" % self.log[-1][:2] if self.log else "%d.0" % 1

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up, self.born = True, int(time.time() * 1000)
        self.write_entry()
        self.beat = asyncio.ensure_future(self.heartbeats())

    def write_entry(self):
        self.sequence += 1
        self.group.store.put("servers", self.name, {
            "service": self.group.service, "address": "%s:%d" % (HOST, self.port), "zone": self.zone,
            "version": "v1", "capacity": self.slots, "state": self.state, "coldLeftMs": 0,
            "sequence": self.sequence, "born": self.born,
            "dbRole": "primary" if self.is_primary else "replica"})

    async def heartbeats(self):
        silence = 0
        while True:
            await asyncio.sleep(1.2)
            if self.up and not self.dark:
                silence = 0
                self.write_entry()
            else:
                silence += 1
                if silence == 3:
                    self.group.store.remove("servers", self.name)

    def crash(self):
        """Ends all connections; the log stays."""
        self.up = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.group.record.say(self.name, "crashes with", len(self.log), "commits in its log")

    async def restart(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 21)
        self.up, self.busy, self.born = True, 0, int(time.time() * 1000)
        if self.group.leader is not self:
            self.follow(self.group.leader)
        self.write_entry()
        self.group.record.say(self.name, "is back as", "primary" if self.is_primary else "replica")

    def follow(self, leader):
        """Becomes a replica of the leader; what the leader doesn't have is rolled back."""
        was = len(self.log)
        common = 0
        while common < min(len(self.log), len(leader.log)) and self.log[common] == leader.log[common]:
            common += 1
        if was > common:
            self.group.record.say(self.name, "rolls back", was - common, "commits")
        self.is_primary, self.term = False, self.group.term
        self.log = list(leader.log)
        self.write_entry()

    async def replicate(self, entry):
        """Sends a commit to the replicas; returns once as many have received it as `sync` says."""
        done = [asyncio.ensure_future(self.send_to(other, entry)) for other in self.group.members if other is not self]
        if self.group.sync:
            await asyncio.wait(done, return_when=asyncio.FIRST_COMPLETED)

    async def send_to(self, other, entry):
        term = self.term
        await asyncio.sleep(self.group.lag_s * (1 if other.name < self.name else 1.3))
        while (not other.up or other.paused_by or time.monotonic() < other.deaf_until
               or (other.log and other.log[-1][1] < entry[1] - 1)):
            if not self.up or not self.is_primary or other.is_primary:
                return await asyncio.sleep(3600)  # never received, so it never counts
            await asyncio.sleep(0.005)
        if self.up and self.is_primary and not other.is_primary and term == self.term and (
                not other.log or other.log[-1][1] == entry[1] - 1):
            other.log.append(entry)
        elif entry not in other.log:
            await asyncio.sleep(3600)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        session = {"tx": None, "who": "-"}
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                if self.dark:
                    await asyncio.sleep(3600)
                text = line[:-2].decode()
                await asyncio.sleep(2 * self.delay_s + (HANDSHAKE_S if text.startswith("START") else 0))
                reply = await self.answer(text, session)
                if reply is None:
                    break
                writer.write(reply.encode())
                await writer.drain()
                if self.on_status and text.endswith(" STATUS"):
                    self.on_status(self)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def ready(self, session):
        return "READY %s %s\r\n" % ("T" if session["tx"] is not None else "I", self.position())

    async def answer(self, line, session):
        word, _, rest = line.partition(" ")
        if word == "TERMINATE":
            return None
        if word == "START":
            fields = rest.split(" ")
            if fields[0] != self.group.service or (len(fields) > 2 and fields[2] != self.name):
                return "ERROR MISROUTED %s\r\n" % self.name
            session["who"] = fields[1]
            return self.ready(session)
        qid, _, text = rest.partition(" ")
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        verb, _, tail = text.partition(" ")
        error = lambda code: "ERROR %s %s\r\n" % (code, self.name) + self.ready(session)
        if after and verb in ("READ", "BEGIN", "EXECUTE"):
            have = tuple(map(int, self.position().split(".")))
            if have < tuple(map(int, after.split("."))):
                return error("LAGGING")
        if verb in ("STATUS", "PAUSE", "DEMOTE", "RESUME"):
            if verb == "PAUSE" and int(tail) > self.term and not self.is_primary:
                self.paused_by = int(tail)
            if verb == "RESUME":
                self.paused_by = None
            if verb == "DEMOTE" and int(tail) > self.term:
                self.is_primary = False
                self.write_entry()
            row = "DATAROW %s %d %s %d 0 %d %d\r\n" % (
                "primary" if self.is_primary else "replica", self.term, self.position(), self.term, self.busy,
                len(self.connections))
            return row + "COMPLETE -\r\n" + self.ready(session)
        if verb in ("SET", "PREPARE", "DEALLOC", "RESET"):
            return "COMPLETE -\r\n" + self.ready(session)
        if verb == "ROLLBACK":
            session["tx"] = None
            return "COMPLETE -\r\n" + self.ready(session)
        if verb == "BEGIN":
            if tail != "READ" and not self.is_primary:
                return error("READONLY")
            session["tx"] = []
            return "COMPLETE -\r\n" + self.ready(session)
        if self.busy >= self.slots:
            return error("BUSY")
        self.busy += 1
        try:
            await asyncio.sleep(self.work_s)
            if not self.up:
                return None
            if verb == "READ":
                self.group.record.write(self.name, "runs", qid, text, "at", self.position())
                return "DATAROW %s\r\nCOMPLETE r.%s.%s\r\n" % (self.position(), self.name, qid) + self.ready(session)
            if not self.is_primary:
                return error("READONLY")
            if verb == "WRITE" and session["tx"] is not None:
                session["tx"].append(qid)
                return "COMPLETE r.%s.%s\r\n" % (self.name, qid) + self.ready(session)
            ids, session["tx"] = (session["tx"], None) if verb == "COMMIT" else ([qid], None)
            if ids:
                entry = (self.term, len(self.log) + 1, tuple(ids))
                self.log.append(entry)
                self.group.commits.append((self.group.record.now(), self.name, entry))
                self.group.record.write(self.name, "commits", "%d.%d" % entry[:2], *ids)
                await self.replicate(entry)
                if not self.up:
                    return None
            return "COMPLETE r.%s.%s\r\n" % (self.name, qid) + self.ready(session)
        finally:
            self.busy -= 1


class Cloud:
    """The platform's interface for promotions."""

    def __init__(self, record, groups):
        self.record, self.groups, self.calls, self.is_down = record, groups, [], False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % (HOST, self.server.sockets[0].getsockname()[1])

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    break
                _, _, headers, body = request
                document = json.loads(body)
                holder = headers.get("jasminepass-lease-holder")
                token = int(headers.get("jasminepass-fencing-token", "0"))
                self.calls.append((self.record.now(), holder, token, document["service"], document["id"]))
                group = next(g for g in self.groups if g.service == document["service"])
                member = next((m for m in group.members if m.name == document["id"]), None)
                status = 503 if self.is_down else 200 if member and member.up else 409
                self.record.say("platform: promote", document["service"], "to", document["id"], "from", holder,
                                "token", token, "->", status)
                if status == 200:
                    asyncio.ensure_future(group.promote(member))
                writer.write(http_answer(status, b"{}"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


SETTINGS = """nodeName = "{name}"
role = "front"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "{region}"
internalPorts = [{peer},{peer}]
seeds = []
bootstrap = {bootstrap}
countsAsLoss = false
discovery = "platform"
entrypoint = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","tenants","quota","platform"]
[zones]
{zones}
[listenAddrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
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
seedLagS = 3
reuseAfterS = 2
contactMs = 5000
ackMs = 6000
catchUpS = 4
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 4000
downgradeMs = 250
outerMs = 15000
revokeStrict = false
revokeMs = 5000
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
recoveryS = 12
requireFencing = false
thawMs = 300
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
[cloudApi]
address = "{cloud}"
ratePerS = 50.0
duties = ["promotion"]
dutyPerS = 50.0
"""


class Front:
    """A machine that runs one process of the deploy file."""

    def __init__(self, fleet, name, zone):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.front, self.ready, self.peer = free_ports_for(fleet, 3)
        self.process, self.first = None, True
        self.file = os.path.join(fleet.folder, name + ".toml")
        self.log = open(os.path.join(fleet.folder, name + ".log"), "ab")

    def start(self):
        zones = "\n".join('%s = "%s"' % pair for pair in self.fleet.zones.items())
        text = SETTINGS.format(name=self.name, zone=self.zone, region=self.fleet.zones[self.zone], peer=self.peer,
                               bootstrap="true" if self.first and self.fleet.first else "false", zones=zones,
                               front=self.front, ready=self.ready, store=self.fleet.store.address,
                               cloud=self.fleet.cloud_address)
        with open(self.file, "w") as file:
            file.write(text)
        self.first = False
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["JASMINEPASS_SETTINGS"] = self.file
        self.process = subprocess.Popen([PROGRAM, "front"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.fleet.record.say(self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, self.ready), 0.5)
            writer.write(b"GET /ready HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


def free_ports_for(fleet, count):
    ports = []
    while len(ports) < count:
        for port in free_ports(count + len(fleet.ports) + 3):
            if port not in fleet.ports and len(ports) < count:
                fleet.ports.add(port)
                ports.append(port)
    return ports


class Fleet:
    """Everything of a run, and its end."""

    def __init__(self, record, fleets, zones):
        self.record, self.zones, self.ports, self.fronts, self.first = record, zones, set(), [], True
        fleets.append(self)
        self.folder = tempfile.mkdtemp(prefix="jasminepass-review-")
        self.store = Store(record)

    def add(self, name, zone):
        front = Front(self, name, zone)
        self.fronts.append(front)
        return front

    async def until_ready(self, fronts, limit_s):
        until = time.monotonic() + limit_s
        waiting = list(fronts)
        while waiting and time.monotonic() < until:
            for front in waiting:
                if front.process.poll() is not None:
                    # Something else took one of its ports meanwhile.
                    front.front, front.ready, front.peer = free_ports_for(self, 3)
                    front.first = self.first
                    front.start()
            waiting = [front for front in waiting if not await front.is_ready()]
            await asyncio.sleep(0.1)
        return not waiting

    def stop(self):
        for front in self.fronts:
            if front.process and front.process.poll() is None:
                front.process.send_signal(signal.SIGCONT)
            front.kill()
            front.log.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Session:
    """A requester's session. An operation's answer is (code, rows, state); code is None where there was none."""

    def __init__(self, front):
        self.front = front

    async def open(self, host, key, limit_s=2.0):
        try:
            self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(HOST, self.front.front), 1.0)
            self.writer.write(("START %s %s\r\n" % (host, key)).encode())
            line = await asyncio.wait_for(self.reader.readline(), limit_s)
            return line.startswith(b"READY")
        except (OSError, asyncio.TimeoutError):
            return False

    async def query(self, qid, text, limit_s=10.0):
        rows, code = [], None
        try:
            self.writer.write(("QUERY %s %s\r\n" % (qid, text)).encode())
            until = time.monotonic() + limit_s
            while True:
                line = await asyncio.wait_for(self.reader.readline(), max(0.01, until - time.monotonic()))
                if not line.endswith(b"\r\n"):
                    return None, rows, None
                word, _, rest = line[:-2].decode().partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word == "COMPLETE":
                    code = "OK"
                elif word == "ERROR":
                    code = rest.split(" ")[0]
                elif word == "READY":
                    return code, rows, rest.split(" ")[0]
        except (OSError, asyncio.TimeoutError):
            return None, rows, None

    def close(self):
        if hasattr(self, "writer"):
            self.writer.close()


def configuration(version, service, sync=0, max_conns=22):
    """The configuration that the operator wrote."""
    route = lambda host, kind, stale: dict(
        {"name": host, "host": host, "service": service, "type": kind, "timeoutMs": 1000, "targetLatencyMs": 600,
         "priority": 1, "public": False}, **({"maxStalenessMs": stale} if stale else {}))
    return {"version": version,
            "routes": [route("job-assign", "primary", None), route("coverage-review", "read_your_writes", 2500)],
            "services": [{"name": service, "maxConns": max_conns, "syncReplicas": sync}],
            "limits": {"txIdleMs": 5000},
            "tenants": [{"name": "tenant-a", "apiKeys": ["key-a"], "ratePerS": 400, "burst": 800}]}


def main(run, script):
    """Runs a case and ends the script with its code: 0 held, 1 broken, 2 could not run. All processes that it started
    are ended, also if it takes too long or is asked to stop."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt"))
    fleets = []

    def finish(code):
        for fleet in fleets:
            fleet.stop()
        record.say({0: "held", 1: "BROKEN", 2: "could not run"}[code])
        record.close()
        sys.stdout.flush()
        os._exit(code)

    def give_up(number, _):
        record.say("ended by", signal.Signals(number).name)
        finish(2)

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, give_up)
    signal.alarm(112)

    async def whole():
        try:
            code = await run(record, fleets)
        except Exception as error:
            record.say("the case could not run:", repr(error))
            code = 2
        finish(code)

    asyncio.run(whole())
