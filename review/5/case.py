"""The settings change to a grace period with a fraction, and an instance is
stopped and started."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
from deployment import Deployment, LIMITS, main, now

HOST = "rtk.example"
KEY = "n2ctnfzs989anu6wsjnb"
STARTS = 4  # of the process, after its end
RESTART_S = 0.5
READY_S = 6.0  # from a start


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


async def case(record, trouble):
    deployment = Deployment(record)
    try:
        deployment.add_instances(4)
        await deployment.store.open()
        for i, zone in enumerate(deployment.zones):
            await deployment.add_worker("i-%d" % i, "accounts", zone)
        deployment.store.write("config", "main", config())
        for instance in deployment.instances:
            await instance.start()
        if not await deployment.all_ready():
            return None
        changed = deployment.instances[1]
        if trouble:
            changed.contract["grace_period_s"] = 7.5
        record.line("settings", changed.name, "grace_period_s = %s"
                    % changed.contract["grace_period_s"])
        changed.write_settings()
        changed.signal(signal.SIGHUP)
        await asyncio.sleep(1.0)
        changed.signal(signal.SIGTERM)
        await changed.wait()
        for _ in range(STARTS):
            await asyncio.sleep(RESTART_S)
            await changed.start()
            end = now() + READY_S
            while now() < end and changed.process.returncode is None:
                if await changed.is_ready():
                    record.line("ready", changed.name)
                    print("the process is ready again")
                    return True
                await asyncio.sleep(0.1)
            if changed.process.returncode is None:
                return None
            await changed.wait()
        print("the process did not start: it ended %d times by itself"
              % STARTS)
        return False
    finally:
        await deployment.close()


main(os.path.dirname(os.path.abspath(__file__)), case)
