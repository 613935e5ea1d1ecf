"""The settings change shortly after machines were started."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

DAEMONS = 3
ROUNDS = 3
AFTER_S = 0.25  # From the start of a process to its SIGHUP.


async def case(make_site, has_trouble: bool) -> int:
    site = make_site(DAEMONS)
    record = site.record
    if not await site.start():
        print("the daemons did not get ready")
        return 2
    ended = {daemon.name: 0 for daemon in site.daemons}

    async def restart(daemon) -> None:
        """Stops and starts a daemon; the settings change as it starts."""
        daemon.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(daemon.wait(), standins.GRACE_S)
        except TimeoutError:
            daemon.kill()
            await daemon.wait()
        await asyncio.sleep(standins.RESTART_S)
        await daemon.start()
        await asyncio.sleep(AFTER_S)
        if has_trouble:
            text = daemon.settings() + "# changed\n"
            daemon.path.write_text(text, encoding="utf-8")
            daemon.signal(signal.SIGHUP)
        try:
            code = await asyncio.wait_for(daemon.wait(), 2.0)
        except TimeoutError:
            return
        ended[daemon.name] += 1
        record.add("ENDED", f"{daemon.name} by itself, code {code}")
        await asyncio.sleep(standins.RESTART_S)
        await daemon.start()

    for _ in range(ROUNDS):
        for daemon in site.daemons:
            await restart(daemon)
            if not await daemon.wait_ready():
                print(f"{daemon.name} did not get ready")
                return 2
    thrice = [name for name, count in ended.items() if count >= 3]
    print(f"ended by themselves: {ended}")
    return 1 if len(thrice) >= 2 else 0


if __name__ == "__main__":
    standins.main(case, str(HERE))
