"""A request that crashes workers comes again after all processes were killed at
once, twice."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
from deployment import Clients, Deployment, LIMITS, Worker, main, now

HOST = "rtk.example"
KEY = "n2ctnfzs989anu6wsjnb"
CRASHER = "/status/crasher"
WORKERS = 6
BACK_S = 4.0  # until a worker that has crashed is back
EXPIRES_S = 3.6  # three heartbeats, until its old entry is removed
STABLE_S = 4.0  # stable_window_ms
AGAIN_S = 0.8  # between two times that the request comes
KILLS = 2
RESTART_S = 0.8
COMES_S = 14.0  # for so long it comes again and again
QUIET_S = 6.0  # from a start until it comes again


def config():
    return {
        "version": 7, "limits": LIMITS,
        "routes": [{"name": "r-status", "host": HOST,
                    "path_prefix": "/status/", "route_type": "idempotent",
                    "timeout_ms": 1000, "target_latency_ms": 200,
                    "priority": 2, "service": "accounts", "max_attempts": 2,
                    "public": False, "session_affinity": False}],
        "services": [{"name": "accounts", "health_path": "/health",
                      "max_conns": 100, "protocol": "h1", "tls_mode": False}],
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


class CrashingWorker(Worker):
    """Crashes under a request for CRASHER, 20 ms after it has begun."""

    crashed = None  # called with the attempt

    async def open(self):
        self.writers = set()
        await super().open()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def run(self, line, fields):
        if line.split(" ")[1] != CRASHER or fields.get(
                "jacinthward-expect-instance", self.name) != self.name:
            return await super().run(line, fields)
        attempt = fields.get("jacinthward-attempt-id", "")
        self.runs.append((now(), attempt, "-"))
        self.record.line("run", attempt, "worker=" + self.name, "crashes it")
        await asyncio.sleep(0.02)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.crashed(self, attempt)
        raise ConnectionError


async def case(record, trouble):
    deployment = Deployment(record)
    clients = Clients(record, HOST)
    store = deployment.store
    tasks = set()
    arrivals = []  # (time, attempt)
    crashes = []  # times
    lives = [0]

    def spawn(coroutine):
        task = asyncio.create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    async def start_worker(zone):
        lives[0] += 1
        worker = CrashingWorker(record, deployment.network + ".2",
                              "i-%d" % lives[0], "accounts", zone)
        worker.crashed = on_crash
        await worker.open()
        deployment.workers.append(worker)
        store.write("servers", worker.name, worker.entry())

    async def come_back(worker):
        await asyncio.sleep(EXPIRES_S)
        store.remove("servers", worker.name)
        await asyncio.sleep(BACK_S - EXPIRES_S)
        await start_worker(worker.zone)

    def on_crash(worker, attempt):
        crashes.append(now())
        record.line("crashed", worker.name, "under", attempt)
        spawn(come_back(worker))

    async def usual():
        n = 0
        while True:
            n += 1
            spawn(clients.call(
                deployment.instances[n % 3].front, "GET", "/status/%d" % n,
                KEY))
            await asyncio.sleep(0.05)

    async def comes_for(seconds):
        end = now() + seconds
        n = 0
        while now() < end:
            n += 1
            spawn(clients.call(deployment.instances[n % 3].front, "GET",
                               CRASHER, KEY))
            await asyncio.sleep(AGAIN_S)

    in_touch_from = 0.0
    spans = []  # in which all machines are in touch
    try:
        deployment.add_instances(3)
        await store.open()
        for i in range(WORKERS):
            await start_worker(list(deployment.zones)[i % 3])
        store.write("config", "main", config())
        for instance in deployment.instances:
            await instance.start()
        if not await deployment.all_ready():
            return None
        in_touch_from = now() + STABLE_S
        background = spawn(usual())
        await asyncio.sleep(STABLE_S + 1.0)
        await comes_for(COMES_S)
        for _ in range(KILLS):
            if trouble:
                spans.append((in_touch_from, now()))
                for instance in deployment.instances:
                    instance.signal(signal.SIGKILL)
                for instance in deployment.instances:
                    await instance.wait()
                await asyncio.sleep(RESTART_S)
                for instance in deployment.instances:
                    await instance.start()
                in_touch_from = now() + STABLE_S
            else:
                await asyncio.sleep(RESTART_S)
            await asyncio.sleep(QUIET_S)
            await comes_for(COMES_S)
        spans.append((in_touch_from, now()))
        background.cancel()
        for worker in deployment.workers:
            arrivals += [(at, attempt) for at, attempt, tenant in worker.runs
                         if tenant == "-"]
    finally:
        for task in list(tasks):
            task.cancel()
        await deployment.close()

    crashes.sort()
    if len(crashes) < 3:
        return None
    late = 0
    for at, attempt in sorted(arrivals):
        in_touch = any(start <= at <= end for start, end in spans)
        if at > crashes[2] + STABLE_S and in_touch:
            late += 1
            record.line("late", attempt, "%.3f s after the third crash"
                        % (at - crashes[2]))
    served = sum(a.status == 200 for a in clients.answers.values())
    record.line("counts", "served=%d" % served, "crashes=%d" % len(crashes),
                "retries too late=%d" % late)
    print("workers crashed: %d; retries later than the stable window after the"
          " third: %d" % (len(crashes), late))
    return late <= 3 if served else None


main(os.path.dirname(os.path.abspath(__file__)), case)
