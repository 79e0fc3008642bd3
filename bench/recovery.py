#!/usr/bin/env python3
"""How long a key is not served after a loss, and how long a configuration takes to be in force everywhere.

usage: bench/recovery.py    (after scripts/build; no demo may be up)
Brings scripts/demo up, loses servers and daemons of different cells by SIGKILL, and measures from the
signal to the first booking that is done. Ends what it started.
"""
import http.client
import json
import os
import signal
import subprocess
import sys
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, "build")
DEMO = os.path.join(ROOT, "scripts", "demo")


def get(url):
    try:
        with urllib.request.urlopen(url, timeout=2) as answer:
            return json.load(answer)
    except OSError:
        return {}


def book(url, key):
    try:
        connection = http.client.HTTPConnection(url[len("http://"):], timeout=10)
        connection.request("POST", f"/reservations/{key}", b"x")
        answer = connection.getresponse()
        answer.read()
        return answer.getheader("Hawthornlug-Outcome"), answer.getheader("Hawthornlug-Server")
    except OSError:
        return "connection-error", None


def explain(manifest, key):
    for it in manifest["daemons"]:
        doc = get(f"{it['url']}/-/explain?service=reservations&key={key}")
        if doc.get("source") == "attached daemon":
            return doc
    return {}


def until_served(entry, key, begun):
    tries = 0
    while time.monotonic() - begun < 20:
        tries += 1
        if book(entry, key)[0] == "done":
            return time.monotonic() - begun, tries
    return float("inf"), tries


def lose(manifest, key, what):
    doc = explain(manifest, key)
    attached = doc["attached"]["id"]
    entry = next(it["url"] for it in manifest["daemons"] if it["domain"] != doc["domain"])
    book(entry, key)
    name, group = (doc["owner"], "servers") if what == "server" else (attached, "daemons")
    victim = next(it for it in manifest[group] if it["id"] == name)
    begun = time.monotonic()
    os.kill(victim["pid"], signal.SIGKILL)
    manifest[group] = [it for it in manifest[group] if it["id"] != name]
    return until_served(entry, key, begun)


def keys_of_domains(manifest):
    """One key for each failure domain."""
    keys = {}
    for n in range(400):
        doc = explain(manifest, f"key-{n}")
        keys.setdefault(doc.get("domain"), f"key-{n}")
        if len(keys) == 4:
            break
    return list(keys.values())


def show(name, values):
    texts = ", ".join(f"{seconds:.2f} s" for seconds, _ in values)
    print(f"{name:56} {texts}")


def platform(manifest, faults):
    request = urllib.request.Request(manifest["platform"]["url"] + "/control",
                                     json.dumps(faults).encode())
    urllib.request.urlopen(request).read()


def round_of(what, platform_down):
    subprocess.run([DEMO, "up", "maurice"], check=True, stdout=subprocess.DEVNULL)
    try:
        with open(os.path.join(BUILD, "demo", "manifest.json")) as file:
            manifest = json.load(file)
        time.sleep(7)  # Cells settle at their preferred daemons.
        keys = keys_of_domains(manifest)
        if platform_down:
            platform(manifest, {"down": True})
        values = [lose(manifest, key, what) for key in keys]
        show(f"{what} lost" + (", platform down" if platform_down else ""), values)
        if what == "daemon" and not platform_down:
            in_force(manifest)
    finally:
        subprocess.run([DEMO, "down"], check=True, stdout=subprocess.DEVNULL)


def in_force(manifest):
    values = []
    source = os.path.join(ROOT, "examples", "maurice.yaml")
    with open(source) as file:
        text = file.read()
    for n in range(5):
        changed = os.path.join(BUILD, "demo", f"config-{n}.yaml")
        with open(changed, "w") as file:
            file.write(text.replace("deadline_ms: 2500", f"deadline_ms: {2501 + n}"))
        begun = time.monotonic()
        subprocess.run([os.path.join(BUILD, "hawthornlug"), "apply", "--wait", "--platform",
                        manifest["platform"]["url"], changed], check=True, stdout=subprocess.DEVNULL)
        values.append((time.monotonic() - begun, 1))
    show("configuration in force on all live daemons (apply --wait)", values)


def main():
    round_of("server", False)
    round_of("server", True)
    round_of("daemon", False)


if __name__ == "__main__":
    sys.exit(main())
