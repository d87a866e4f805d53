"""Stand-ins for the platform, its store, workers and clients of a small
deployment, on loopback addresses, and the start of the project's program as the
deploy file says. Python standard library only; one asyncio loop."""
import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# The figures of sites/pwsa-rtk.toml, as DEPLOY.md shows them in settings.
CONTRACT = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000,
    "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_timeout_ms": 3000,
    "grace_period_s": 8, "loss_slack_ms": 200, "config_apply_ms": 3000,
    "rollback_slack_ms": 250, "max_stretch_ms": 6000, "strict_revoke": True,
    "revoke_timeout_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "budget_slack": 54, "recovery_s": 12,
    "pass_ms": 400, "reuse_window_s": 6.7,
}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def now():
    return time.monotonic()


class Record:
    """Writes record.txt: one line for each thing that happened."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def line(self, what, *fields):
        self.file.write("%9.3f %s %s\n" % (now() - self.start, what,
                                           " ".join(str(f) for f in fields)))

    def close(self):
        self.file.close()


# --- HTTP -------------------------------------------------------------------

async def read_head(reader):
    """Returns the first line and the fields, names in lower case; None at the
    end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def response(status, fields, body=b""):
    head = ["HTTP/1.1 %d x" % status]
    head += ["%s: %s" % f for f in fields.items()]
    head.append("Content-Length: %d" % len(body))
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


# --- The platform's store ----------------------------------------------------

class Store:
    """The object API of PROTOCOL.md: reads, and writes by the test itself. A
    copy of all objects is kept with each write, so that a drill can go back."""

    def __init__(self, record, ip):
        self.record = record
        self.ip = ip
        self.objects = {}  # (kind, name): object
        self.revision = 1
        self.era = 1
        self.history = []  # (time, objects, revision)
        self.server = None
        self.writers = set()
        self.port = 0
        self.busy = False  # all calls get 503
        self.reads = {}  # kind: futures of those that wait for a read

    async def read_of(self, kind):
        """Waits until a list or object of KIND has been read."""
        future = asyncio.get_running_loop().create_future()
        self.reads.setdefault(kind, []).append(future)
        await future

    async def open(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def write(self, kind, name, spec):
        """Writes an object, as the operator or a worker does. Returns the time
        of the acknowledgement."""
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["metadata"]["created"] if old else self.revision
        self.objects = dict(self.objects)
        self.objects[(kind, name)] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created": created, "finalizers": [],
                         "deleting": False},
            "spec": spec, "status": None}
        at = now()
        self.history.append((at, self.objects, self.revision))
        return at

    def remove(self, kind, name):
        self.revision += 1
        self.objects = dict(self.objects)
        self.objects.pop((kind, name), None)
        at = now()
        self.history.append((at, self.objects, self.revision))
        return at

    def go_back(self, at):
        """Returns to what the store was at the time AT, in a new era."""
        for time_of, objects, revision in self.history:
            if time_of <= at:
                self.objects, self.revision = objects, revision
        self.history = [(now(), self.objects, self.revision)]
        self.era += 1

    def answer(self, method, target):
        url = urlsplit(target)
        parts = [unquote(p) for p in url.path.split("/") if p]
        query = parse_qs(url.query)
        if self.busy:
            return 503, {}
        if method != "GET" or parts[:2] != ["-", "objects"] or len(parts) < 3:
            return 404, {}
        if len(parts) == 4:
            found = self.objects.get((parts[2], parts[3]))
            return (200, found) if found else (404, {})
        if "watch" in query:
            return 410, {}
        names = sorted(n for k, n in self.objects if k == parts[2])
        after = query.get("after_rev", [""])[0]
        names = [n for n in names if n > after]
        return 200, {"items": [self.objects[(parts[2], n)]
                               for n in names[:50]],
                     "has_more": len(names) > 50, "at": self.revision}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                await read_body(reader, fields)
                method, target, _ = line.split(" ")
                status, body = self.answer(method, target)
                await asyncio.sleep(0.004)  # an answer takes 4 ms
                writer.write(response(
                    status, {"Content-Type": "application/json",
                             "Store-Era": self.era}, json.dumps(body).encode()))
                await writer.drain()
                if status == 200:
                    for future in self.reads.pop(target.split("/")[3], []):
                        if not future.done():
                            future.set_result(None)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# --- Workers -----------------------------------------------------------------

class Worker:
    """A sound worker of a plain service: runs each request for work_ms."""

    def __init__(self, record, ip, name, service, zone, work_ms=15, slots=6):
        self.record = record
        self.ip, self.port = ip, 0
        self.name, self.service, self.zone = name, service, zone
        self.work_ms, self.slots = work_ms, slots
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, attempt id, tenant)
        self.running = 0
        self.leaves = False  # and says so in all its answers
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0,
                                                 limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        if self.server is not None:
            self.server.close()

    def entry(self, state="ready"):
        return {"service": self.service, "address": "%s:%d" % (self.ip,
                                                               self.port),
                "zone": self.zone, "version": "v1", "max_batch": self.slots,
                "state": state, "cold_left_ms": 0, "sequence": 1,
                "born": self.born}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                await read_body(reader, fields)
                task = asyncio.create_task(self.run(line, fields))
                while not task.done():
                    await asyncio.wait([task], timeout=0.01)
                    if reader.at_eof() or writer.transport.is_closing():
                        task.cancel()  # the caller has left
                if task.cancelled():
                    break
                writer.write(task.result())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run(self, line, fields):
        attempt = fields.get("jacinthward-attempt-id", "")
        echo = {"Jacinthward-Attempt-Id": attempt,
                "Jacinthward-Instance-Id": self.name}
        if self.leaves:
            echo["Server-Leaving"] = 1
        expected = fields.get("jacinthward-expect-instance", self.name)
        if expected != self.name:
            return response(421, echo | {"Jacinthward-Not-Executed": 1})
        if self.running >= 4 * self.slots:
            return response(503, echo | {"Jacinthward-Not-Executed": 1})
        self.running += 1
        tenant = fields.get("jacinthward-tenant", "-")
        self.runs.append((now(), attempt, tenant))
        self.record.line("run", attempt, "worker=" + self.name,
                         "tenant=" + tenant, line.split(" ")[0])
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
        return response(200, echo | {"Jacinthward-Response-Stamp":
                                     "%s.%s" % (self.name, attempt)},
                        b"x" * 800)


# --- Clients -----------------------------------------------------------------

class Answer:
    def __init__(self, attempt, sent):
        self.attempt, self.sent = attempt, sent
        self.status = 0  # 0: no complete answer
        self.stamp = None
        self.ended = 0.0
        self.connected = False


class Clients:
    def __init__(self, record, host):
        self.record, self.host = record, host
        self.answers = {}
        self.number = 0

    async def call(self, address, method, path, key=None, body=b"",
                   deadline_ms=2000):
        """Sends a request on a connection of its own."""
        self.number += 1
        attempt = "%016x" % (0x5eed0000 + self.number)
        answer = Answer(attempt, now())
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*address, limit=1 << 20), 1.0)
        except (OSError, asyncio.TimeoutError):
            return answer
        answer.connected = True
        answer.sent = now()
        self.answers[attempt] = answer
        head = ["%s %s HTTP/1.1" % (method, path), "Host: " + self.host,
                "Jacinthward-Attempt-Id: " + attempt,
                "Jacinthward-Deadline-Ms: %d" % deadline_ms]
        if key is not None:
            head.append("Authorization: Token " + key)
        if body:
            head.append("Content-Length: %d" % len(body))
        self.record.line("sent", attempt, "to=%s:%d" % address, method, path,
                         "key=" + (key or "-"))
        try:
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await asyncio.wait_for(read_head(reader),
                                          deadline_ms / 1000)
            if head is not None:
                await asyncio.wait_for(read_body(reader, head[1]), 2.0)
                answer.status = int(head[0].split(" ")[1])
                answer.stamp = head[1].get("jacinthward-response-stamp")
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.TimeoutError, OSError):
            pass
        answer.ended = now()
        writer.close()
        self.record.line("answered", attempt, "status=%d" % answer.status)
        return answer


# --- Instances ---------------------------------------------------------------

def render(template, fields):
    """Fills in a template as DEPLOY.md says, as far as the project's uses it."""

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(v) for v in value)
        if isinstance(value, dict):
            return json.dumps(value)
        return str(value)

    def find(path, scopes):
        if path in (".", "@"):
            return scopes[0].get(path)
        for scope in scopes:
            value = scope
            for part in path.split("."):
                if isinstance(value, list) and part.isdigit():
                    value = value[int(part)] if int(part) < len(value) else None
                elif isinstance(value, dict):
                    value = value.get(part)
                else:
                    value = None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill(part, scopes):
        def expand(match):
            sign, name, inner = match.groups()
            value = find(name, scopes)
            if sign == "^":
                return fill(inner, scopes) if not value else ""
            if isinstance(value, dict):
                return "".join(fill(inner, [{".": v, "@": k}] + scopes)
                               for k, v in value.items())
            if isinstance(value, list):
                return "".join(fill(inner, [{".": v, "@": i}] + scopes)
                               for i, v in enumerate(value))
            return fill(inner, scopes) if value else ""

        part = section.sub(expand, part)
        return re.sub(r"\{\{([^}#^/]+)\}\}",
                      lambda m: text(find(m.group(1), scopes)), part)

    return fill(template, [fields])


class Instance:
    """One process of the role that the deploy file declares, and its settings.
    """

    def __init__(self, deployment, number, zone):
        self.deployment = deployment
        self.name = "edge-%s-%d" % (zone, number)
        self.ip = "%s.%d" % (deployment.network, 10 + number)
        self.zone = zone
        self.process = None
        self.contract = dict(CONTRACT)
        self.exits = []  # (time, exit status)

    @property
    def front(self):
        return self.ip, self.deployment.ports["front"]

    @property
    def ready(self):
        return self.ip, self.deployment.ports["ready"]

    def settings(self):
        d = self.deployment
        return {
            "node": self.name, "node_role": "gate", "machine_class": "edge",
            "served_classes": ["edge", "control"], "bind_ip": self.ip,
            "zone": self.zone, "region": d.zones[self.zone],
            "port_range": [d.ports["first"], d.ports["last"]],
            "seed_nodes": ["%s:%d" % (i.ip, d.ports["control"])
                           for i in d.instances[:3]],
            "bootstrap": True, "zones": d.zones,
            "bind_addrs": {"front": "%s:%d" % self.front,
                           "ready": "%s:%d" % self.ready,
                           "control": "%s:%d" % (self.ip,
                                                 d.ports["control"])},
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 110,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "contract_params": self.contract,
            "provider": {"address": "%s:%d" % (d.store.ip, d.store.port),
                         "form": "objects", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "ttl_min_ms": 1000},
        }

    def write_settings(self):
        """Fills in the template and returns the path of the settings file."""
        d = self.deployment
        with open(os.path.join(REPOSITORY, d.role["template"]),
                  encoding="utf-8") as file:
            template = file.read()
        path = os.path.join(d.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(template, self.settings()))
        return path

    async def start(self):
        d = self.deployment
        path = self.write_settings()
        out = open(os.path.join(d.folder, self.name + ".log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["JACINTHWARD_CONFIG"] = path
        self.process = await asyncio.create_subprocess_exec(
            *d.role["run"].split(" "), cwd=REPOSITORY, env=env, stdout=out,
            stderr=out, start_new_session=True)
        out.close()
        d.record.line("start", self.name, "pid=%d" % self.process.pid)

    def signal(self, number):
        if self.process.returncode is None:
            self.deployment.record.line("signal", self.name, number.name)
            self.process.send_signal(number)

    async def wait(self):
        status = await self.process.wait()
        self.exits.append((now(), status))
        self.deployment.record.line("ended", self.name, "status=%d" % status)
        return status

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.ready), 1.0)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return head is not None and " 200 " in head[0] + " "


class Deployment:
    def __init__(self, record):
        self.record = record
        pid = os.getpid()
        self.network = "127.%d.%d" % (1 + (pid >> 8) % 250, pid % 256)
        self.temporary = tempfile.TemporaryDirectory(prefix="jacinthward-")
        self.folder = self.temporary.name
        self.zones = {"kgn-a": "kgn", "mbj-a": "mbj", "kgn-b": "kgn"}
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["gate"]
        self.store = Store(record, self.network + ".1")
        self.workers = []
        self.instances = []
        self.ports = {}

    def add_instances(self, n):
        for i in range(n):
            self.instances.append(
                Instance(self, i, list(self.zones)[i % len(self.zones)]))
        for name in ("front", "ready", "control", "first", "last"):
            self.ports[name] = self.free_port()

    def free_port(self):
        """Returns a port that is free at all instances, for TCP and UDP."""
        for port in range(20000, 30000, 7):
            if port in self.ports.values():
                continue
            try:
                for instance in self.instances:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as s:
                            s.bind((instance.ip, port))
                return port
            except OSError:
                continue
        raise RuntimeError("no free port")

    async def add_worker(self, name, service, zone, **options):
        worker = Worker(self.record, self.network + ".2", name, service, zone,
                        **options)
        await worker.open()
        self.workers.append(worker)
        self.store.write("servers", name, worker.entry())
        return worker

    def write_servers(self):
        for worker in self.workers:
            self.store.write("servers", worker.name, worker.entry())

    async def all_ready(self, limit_s=20):
        end = now() + limit_s
        while now() < end:
            if all([await i.is_ready() for i in self.instances]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self):
        """Ends all that was started."""
        for instance in self.instances:
            if instance.process and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        for worker in self.workers:
            worker.close()
        await self.store.close()
        if os.environ.get("KEEP"):
            import shutil
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        self.temporary.cleanup()


def main(folder, case):
    """Runs CASE (record, trouble), which returns whether the rule held, None if
    the case could not run; exits as the issue asks."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("case", "trouble=%d" % trouble)

    async def play():
        """Ends all processes also if the script itself is told to end."""
        task = asyncio.ensure_future(case(record, trouble))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, 110)

    try:
        held = asyncio.run(play())
    except asyncio.CancelledError:
        held = None
    except (OSError, RuntimeError, asyncio.TimeoutError) as error:
        record.line("error", repr(error))
        held = None
    status = 2 if held is None else 0 if held else 1
    record.line("result", "exit=%d" % status)
    record.close()
    print("exit %d: %s" % (status, {0: "the rule held", 1: "the rule was broken",
                                    2: "the case could not run"}[status]))
    sys.exit(status)
