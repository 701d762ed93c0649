"""CONFIG: an answer without end is passed on past the route's timeout.

One endpoint of a service answers with bodies that never end. Requesters read
them until their time limit. Meanwhile other requesters send orders to another
service, whose endpoints are sound, through the same gateway.

With ``SPEED=0`` in the environment, the endpoint is not held to the speed of
a machine's link.
"""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))
import testbed

COMMON = pathlib.Path(__file__).resolve().parents[1] / 'common'
ORDER_ENDPOINTS = 4
REQUESTERS = 20
ORDER_PAUSE_S = 0.2
# The times of `standing-order` and `route-sheet` in the site file of the
# grown deployment.
TIMEOUT_S = 2.5
ORDER_LIMIT_MS = 5000
SHEET_LIMIT_S = 6.0
LATE_S = 0.5
SHEETS = 12
SHEET_GAP_S = 2.0
# The speed of a machine's link in Mbit/s (`link-mbps`).
SPEED = os.environ.get('SPEED', '700')


async def send_orders(
    bed: testbed.Testbed,
    gateway: testbed.Gateway,
    answers: list[testbed.Answer],
    stop: asyncio.Event,
) -> None:
    conn = testbed.Conn(gateway.host, gateway.front, bed=bed)
    while not stop.is_set():
        answers.append(
            await conn.request(
                'POST', '/order/1', limit_ms=ORDER_LIMIT_MS, body=b'z' * 300
            )
        )
        await asyncio.sleep(ORDER_PAUSE_S)
    conn.close()


async def probe(
    bed: testbed.Testbed,
    gateway: testbed.Gateway,
    statuses: list[int],
    stop: asyncio.Event,
) -> None:
    while not stop.is_set():
        statuses.append(await bed.probe(gateway))
        await asyncio.sleep(1)


async def case(bed: testbed.Testbed, trouble: bool) -> bool:
    await bed.start_store()
    await bed.configure(
        {
            'order': testbed.route(
                'order', 'orders', 'unsafe', timeout_s=TIMEOUT_S
            ),
            'sheet': testbed.route(
                'sheet', 'dispatch', 'download', timeout_s=TIMEOUT_S
            ),
        },
        {'orders': {'max-conns': 248}, 'dispatch': {'max-conns': 248}},
        testbed.LIMITS,
    )
    for number in range(ORDER_ENDPOINTS):
        await testbed.Endpoint(bed, f'i-order-{number}', 'orders').start()
    program = ['python3', str(COMMON / 'endless.py')]
    ending = [] if trouble else ['whole']
    bed.launch('endless', [*program, 'server', 'i-sheet', SPEED, *ending])
    port = int(await bed.first_line('endless'))
    await testbed.Endpoint(
        bed, 'i-sheet', 'dispatch', port=port, listen=False
    ).start()
    gateway = bed.start_gateway('front-1')
    await bed.wait_ready(gateway)
    await asyncio.sleep(1)
    stop = asyncio.Event()
    answers: list[testbed.Answer] = []
    statuses: list[int] = []
    tasks = [
        asyncio.create_task(send_orders(bed, gateway, answers, stop))
        for _ in range(REQUESTERS)
    ]
    tasks.append(asyncio.create_task(probe(bed, gateway, statuses, stop)))
    await asyncio.sleep(4)
    since = time.monotonic()
    for number in range(SHEETS):
        bed.note('sheet-sent', number=number)
        bed.launch(
            f'sheet-{number}',
            [
                *program,
                'client',
                gateway.host,
                str(gateway.front),
                f'/sheet/{number}',
                str(SHEET_LIMIT_S),
            ],
        )
        await asyncio.sleep(SHEET_GAP_S)
    sheets = [await bed.first_line(f'sheet-{n}') for n in range(SHEETS)]
    for number, text in enumerate(sheets):
        bed.say(f'sheet {number}: {text}')
    stop.set()
    await asyncio.gather(*tasks)
    bed.say(f'answers of the readiness address, 0 for none: {statuses}')
    times = [a.ended_at - a.sent_at for a in answers if a.sent_at >= since]
    served = sum(a.status == 200 for a in answers if a.sent_at >= since)
    bed.say(f'{served} of {len(times)} orders served')
    # A sheet without an end had no answer until its requester left.
    times += [
        float(text.split()[-2])
        for text in sheets
        if not text.startswith('closed')
    ]
    unanswered = [time for time in times if time > TIMEOUT_S]
    late = [time for time in unanswered if time > TIMEOUT_S + LATE_S]
    bed.say(
        f'{len(times)} requests, {len(unanswered)} without a final answer '
        f'after {TIMEOUT_S} s, {len(late)} of these after {LATE_S} s more'
    )
    return len(late) >= 8 and len(late) > len(unanswered) / 4


testbed.main(case, __file__)
