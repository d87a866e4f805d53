"""Stand-ins for the cases of the second review: the platform's store, workers,
clients and the part of the platform that starts processes. Only the standard
library is used; all addresses are loopback addresses."""
import asyncio
import json
import logging
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time

# Connections that end while a handler reads are normal here.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def raise_descriptor_limit(wanted):
    """Raises the soft limit of this process; returns whether it suffices."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted and (hard == resource.RLIM_INFINITY or hard >= wanted):
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        soft = wanted
    return soft >= wanted


class Record:
    """Lines with the time since START (monotonic, the same in all processes)."""

    def __init__(self, path, start):
        self.file = open(path, "w")
        self.start = start

    def __call__(self, *words):
        at = time.monotonic() - self.start
        self.file.write("%9.3f  %s\n" % (at, " ".join(str(w) for w in words)))

    def close(self):
        self.file.close()


def merge_records(paths, to):
    lines = []
    for path in paths:
        if os.path.exists(path):
            with open(path) as f:
                lines += f.readlines()
    lines.sort(key=lambda line: float(line.split(None, 1)[0]))
    with open(to, "w") as f:
        f.writelines(lines)


async def read_head(reader):
    """Returns the first line of a message and its header fields."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields.setdefault(name.strip().lower(), value.strip())
    return lines[0], fields


async def read_body(reader, fields):
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return b""
    body = b""
    while True:
        n = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if n == 0:
            await reader.readuntil(b"\r\n")
            return body
        body += await reader.readexactly(n)
        await reader.readexactly(2)


class Store:
    """config/main, the list of servers, and the system's own objects."""

    def __init__(self):
        self.objects = {}
        self.revision = 10

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": 1,
                    "finalizers": [], "deleting": False}
        self.objects[kind, name] = {"metadata": metadata, "spec": spec,
                                    "status": None}
        return self.objects[kind, name]

    def answer(self, method, path, body):
        parts = path.split("/")  # "", "-", "objects", KIND and perhaps NAME
        kind, name = parts[3], parts[4] if len(parts) > 4 else None
        if method == "GET" and name is None:
            items = [o for (k, _), o in sorted(self.objects.items())
                     if k == kind]
            return 200, {"items": items, "has_more": False,
                         "at": self.revision}
        if method == "GET":
            o = self.objects.get((kind, name))
            return (200, o) if o else (404, {})
        given = json.loads(body)
        name = name or given["metadata"]["name"]
        present = self.objects.get((kind, name))
        revision = given.get("metadata", {}).get("revision")
        if method == "PUT" and present is None:
            return 404, {}
        if present and (method == "POST" or revision
                        not in (None, present["metadata"]["revision"])):
            return 409, present
        return 200, self.put(kind, name, given.get("spec"))

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                status, value = self.answer(method, target.split("?")[0], body)
                text = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d Status\r\nContent-Type: application"
                             b"/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Worker:
    """A worker: HANDLE (worker, fields, body, writer) answers one request."""

    def __init__(self, name, service, handle, record, zone="za"):
        self.name, self.service, self.handle = name, service, handle
        self.record, self.zone = record, zone

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=1 << 20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"service": self.service, "zone": self.zone, "version": "v1",
                "address": "127.0.0.1:%d" % self.port, "max_batch": 64,
                "state": "ready", "cold_left_ms": 0, "sequence": 1,
                "born": self.born}

    async def serve(self, reader, writer):
        try:
            while True:
                _, fields = await read_head(reader)
                body = await read_body(reader, fields)
                attempt = fields.get("jacinthward-attempt-id", "")
                expected = fields.get("jacinthward-expect-instance", self.name)
                if expected != self.name:
                    writer.write(b"HTTP/1.1 421 Status\r\nJacinthward-Attempt-"
                                 b"Id: %s\r\nJacinthward-Instance-Id: %s\r\n"
                                 b"Content-Length: 0\r\n\r\n"
                                 % (attempt.encode(), self.name.encode()))
                    continue
                self.record("run", attempt, "at", self.name)
                await self.handle(self, fields, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def response_head(worker, fields, more):
    attempt = fields["jacinthward-attempt-id"]
    return ("HTTP/1.1 200 OK\r\nJacinthward-Attempt-Id: %s\r\n"
            "Jacinthward-Response-Stamp: %s.%s\r\n%s\r\n"
            % (attempt, worker.name, attempt, more)).encode()


class Machine:
    """An edge machine, with one process as the deploy file starts it."""

    def __init__(self, number, ip, ports, seeds, store_port, folder,
                 memory_mb=110, max_fds=4100):
        self.name = "edge-za-%d" % number
        self.ip, self.ports, self.folder = ip, ports, folder
        self.memory_mb, self.max_fds = memory_mb, max_fds
        self.process = None
        self.settings = os.path.join(folder, self.name + ".ini")
        with open(os.path.join(REPO, "deploy/system.toml")) as f:
            run = [l for l in f if l.startswith("run = ")][0]
        self.command = run.split('"')[1].split()
        front, ready, low, high = ports
        with open(self.settings, "w") as f:
            f.write("""[instance]
id=%s
domain=za
region=ra
charts=charts

[gate]
dialect=platform
callers=%s:%d
ready=%s:%d
metrics=%s:%d
key_limit_ms=5000
grace_s=8
drain_ms=3000
retry_ratio=0.2
retry_slack=54
retry_window_s=10
memory_mb=%d

[peers]
listen=%s:%d
seeds=%s

[store]
address=127.0.0.1:%d

[domains]
za=ra
""" % (self.name, ip, front, ip, ready, ip, high, memory_mb, ip, low,
                "".join(s + ";" for s in seeds), store_port))

    def start(self):
        environment = {n: os.environ[n] for n in ("PATH", "HOME", "LANG")
                       if n in os.environ}
        environment["JACINTHWARD_CONFIG"] = self.settings
        limit = (self.max_fds, self.max_fds)
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=REPO, env=environment, stdout=log,
                stderr=log, preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, limit))

    def memory_kb(self):
        """Private memory of the process; pages of files are not counted."""
        try:
            with open("/proc/%d/status" % self.process.pid) as f:
                for line in f:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ports[1]), 1)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def free_ports(ips, n):
    """Returns N ports that are free on each of IPS."""
    while True:
        ports, sockets = [], []
        try:
            for _ in range(n):
                s = socket.socket()
                sockets.append(s)
                s.bind((ips[0], 0))
                ports.append(s.getsockname()[1])
                for ip in ips[1:]:
                    s = socket.socket()
                    sockets.append(s)
                    s.bind((ip, ports[-1]))
            return ports
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()


def make_machines(ips, store_port, folder, **options):
    ports = free_ports(ips, 4)
    seeds = ["%s:%d" % (ip, ports[2]) for ip in ips[:3]]
    return [Machine(i + 1, ip, ports, seeds, store_port, folder, **options)
            for i, ip in enumerate(ips)]


def temporary_folder():
    return tempfile.mkdtemp(prefix="jw-review-")


def exit_with(case):
    """Exits with what CASE returns, or 2 if it could not run. A signal that
    ends it, also if it comes again, ends what it has started too."""
    async def play():
        task = asyncio.ensure_future(case)
        told = []

        def end():
            if not told:
                task.cancel()
            told.append(True)

        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, end)
        return await task

    try:
        status = asyncio.run(play())
    except asyncio.CancelledError:
        print("the case could not run: it was told to end")
        status = 2
    except (OSError, IndexError, subprocess.SubprocessError) as error:
        print("the case could not run:", error)
        status = 2
    sys.exit(status)
