"""A prepared write whose data ends with a blank."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

REQUESTS = 20


async def case(make_site, has_trouble: bool) -> int:
    site = make_site(3)
    record = site.record
    if not await site.start():
        print("the daemons did not get ready")
        return 2
    changed = 0
    answered = 0
    for number in range(REQUESTS):
        daemon = site.daemons[number % len(site.daemons)]
        data = f"xkqp{number} " if has_trouble else f"xkqp{number}"
        text = f"EXECUTE s1 1a{number} {data}"
        request = f"q{number:04d}"
        try:
            async with asyncio.timeout(3.0):
                client = await standins.Client.open(
                    daemon.frontend, "post", "key-alpha"
                )
                await client.query(f"p{number:04d}", "PREPARE s1 WRITE q2c")
                record.add("requester", f"{request} sends {text!r}")
                _, outcome, _ = await client.query(request, text)
                client.close()
        except (standins.Broken, OSError, TimeoutError) as error:
            record.add("requester", f"{request} failed: {error!r}")
            continue
        record.add("requester", f"{request} answered {outcome}")
        answered += outcome.startswith("COMPLETE")
        for backend in site.backends:
            for ran_request, ran_text, _ in backend.runs:
                if ran_request != request:
                    continue
                # Only the name of the prepared statement may differ.
                sent_rest = text.split(" ", 2)[2]
                ran_rest = ran_text.split(" ", 2)[2]
                if sent_rest != ran_rest:
                    changed += 1
                    record.add(
                        "CHANGED", f"{request}: {sent_rest!r} as {ran_rest!r}"
                    )
    print(f"answered {answered}, changed {changed}")
    if answered < REQUESTS // 2:
        return 2
    return 1 if changed else 0


if __name__ == "__main__":
    standins.main(case, str(HERE))
