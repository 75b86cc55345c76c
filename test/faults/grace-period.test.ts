import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Behaviour} from '@apricotwood/standin';
import {
	Rig, sendRequest, waitUntil, type RigOptions, type TestRequest,
} from '../fixtures/rig.js';

const GRACE_MS = 1600;
const SETTINGS = {lookup: {ttlMs: 1000, ticketTtlMs: 60_000}, request: {maxWaitMs: 1000}, shutdown: {graceMs: GRACE_MS}};
/** Stands for SIGTERM, which the test runner handles itself. */
const STOP_SIGNAL = 'SIGUSR2';
const HEADERS = {'apricotwood-member': 'club', connection: 'keep-alive'};
/** Its deadline, 60 s, lies after the end of the grace period. */
const UPLOAD: TestRequest = {
	method: 'PUT', path: '/s/locker/late', headers: HEADERS, body: 'x',
};

async function withRig(options: RigOptions, run: (rig: Rig) => Promise<void>): Promise<void> {
	const rig = await Rig.start({settings: SETTINGS, ...options});
	try {
		await run(rig);
	} finally {
		await rig.stop();
	}
}

/** Stops the first host while it cannot reach the platform, so that it keeps its units. @returns whether it ends within the grace period. */
async function stopInTime(rig: Rig): Promise<boolean> {
	await rig.disconnectHostFromPlatform(0);
	return Promise.race([rig.stopHost(0).then(() => true), delay(GRACE_MS, false)]);
}

const countStarted = (rig: Rig, path = '/late') => [...rig.workers.values()].flatMap(({startedPaths}) => startedPaths).filter(started => started === path).length;

async function assertRejected(port: number, request: TestRequest, outcome = 'not-run'): Promise<void> {
	const {status, headers, body} = await sendRequest(port, request);
	assert.deepEqual([status, headers['apricotwood-outcome'], headers.connection, (JSON.parse(body) as {code: string}).code], [503, outcome, 'close', 'stopping']);
}

test('after the signal, a request that may be cut at the end of the grace period is rejected unrun, here and for another host; one that fits is served', async () => {
	await withRig({zones: ['north-1', 'north-2']}, async rig => {
		let ticket = '';
		let octet = 0;
		await waitUntil(async () => {
			const {body} = await sendRequest(rig.hosts[1]!.port, {path: `/v1/lookup?service=desk&member=club&addr=127.0.0.${++octet % 250}`});
			const lookup = JSON.parse(body) as {hosts?: Array<{id: string}>; ticket: string};
			ticket = lookup.ticket;
			return lookup.hosts?.[0]?.id === 'host-2';
		});
		const stopped = stopInTime(rig);
		await assertRejected(rig.port, UPLOAD);
		await assertRejected(rig.port, {path: '/s/desk/late', headers: {...HEADERS, 'apricotwood-request-id': 'a', 'apricotwood-deadline-ms': '5000', 'apricotwood-ticket': ticket}}, 'unknown');
		assert.equal(countStarted(rig), 0);
		assert.equal((await sendRequest(rig.port, {...UPLOAD, headers: {...HEADERS, 'apricotwood-deadline-ms': '300'}})).status, 200);
		assert.equal(await stopped, true);
	});
});

test('a request that waits for units at the signal is rejected at once, not granted units and cut', async () => {
	await withRig({slots: 1, workersPerService: 1}, async rig => {
		rig.worker('locker-1').serviceMs = 400;
		const first = sendRequest(rig.port, UPLOAD);
		await waitUntil(() => countStarted(rig) === 1);
		const waiting = assertRejected(rig.port, UPLOAD);
		await delay(50);
		const stopped = stopInTime(rig);
		await waiting;
		assert.equal((await first).status, 200);
		assert.equal(countStarted(rig), 1);
		assert.equal(await stopped, true);
	});
});

const FURTHER_ATTEMPTS = [['retry', Behaviour.ResetAfter, 502], ['hedge', Behaviour.Answer, 200]] as const;
for (const [kind, behaviour, status] of FURTHER_ATTEMPTS) {
	test(`no ${kind} starts after the signal that may be cut at the end of the grace period`, async () => {
		await withRig({slots: 10}, async rig => {
			const workers = [rig.worker('board-1'), rig.worker('board-2')];
			for (const worker of workers) {
				worker.serviceMs = 100;
			}

			// A hedge needs a known latency, and free units: the limit of a worker that has just joined is low.
			await waitUntil(async () => {
				await Promise.all(Array.from({length: 6}, async () => sendRequest(rig.port, {path: '/s/board/x', headers: HEADERS})));
				return workers.reduce((sum, {runs}) => sum + runs.length, 0) > 150;
			});
			for (const worker of workers) {
				worker.behaviours = [behaviour];
				worker.serviceMs = 400;
			}

			const answer = sendRequest(rig.port, {path: '/s/board/late', headers: {...HEADERS, 'apricotwood-deadline-ms': '5000'}});
			await waitUntil(() => countStarted(rig) === 1);
			const stopped = stopInTime(rig);
			assert.equal((await answer).status, status);
			assert.equal(countStarted(rig), 1);
			assert.equal(await stopped, true);
		});
	});
}

test('a request without end does not hold up the stop: at its end the connection is reset and a line logged', async () => {
	await withRig({}, async rig => {
		const unused = connect(rig.port, '127.0.0.1').on('error', () => {});
		for (const name of ['locker-1', 'locker-2']) {
			rig.worker(name).behaviours = [Behaviour.Silent];
		}

		const outcome = sendRequest(rig.port, {...UPLOAD, headers: {...HEADERS, 'apricotwood-request-id': 'endless'}}).then(() => 'answered', (error: unknown) => (error as Error).message);
		await waitUntil(() => countStarted(rig) === 1);
		const isInTime = await stopInTime(rig);
		unused.destroy();
		await Promise.all(Array.from(rig.workers.values(), async worker => worker.stop()));
		assert.equal(isInTime, true);
		assert.equal(await outcome, 'read ECONNRESET');
		const {ageMs, upstreams, ...line} = rig.logLines.find(({event}) => event === 'cut')!;
		assert.deepEqual([line.reqId, line.isSent, /^locker-[12]$/.test(String(upstreams)), Number(ageMs) > 1000], ['endless', true, true, true]);
	});
});

test('a request after the last one has ended is not started while the host releases its units, and its connection is closed', async () => {
	await withRig({settings: {...SETTINGS, lookup: {ttlMs: 50, ticketTtlMs: 60_000}}}, async rig => {
		const stopped = stopInTime(rig);
		await waitUntil(() => rig.logLines.some(({phase}) => phase === 'stopped'));
		await assertRejected(rig.port, {path: '/s/board/x', headers: HEADERS});
		assert.equal(await stopped, true);
	});
});

test('a repeat of an id that has run is not rejected as not run by the host that ran it, once it has stopped', async () => {
	await withRig({settings: {...SETTINGS, lookup: {ttlMs: 50, ticketTtlMs: 60_000}}}, async rig => {
		const booking = {method: 'POST', path: '/s/desk/late', body: 'x', headers: {...HEADERS, 'apricotwood-request-id': 'a', 'apricotwood-ticket': await rig.ticket('desk')}};
		assert.equal((await sendRequest(rig.port, booking)).status, 200);
		const stopped = stopInTime(rig);
		await waitUntil(() => rig.logLines.some(({phase}) => phase === 'stopped'));
		await assertRejected(rig.port, booking, 'unknown');
		await assertRejected(rig.port, {...booking, path: '/s/board/x', method: 'GET'});
		assert.equal(await stopped, true);
	});
});

test('a background task that keeps failing ends the host by the same drain, with an end for requests in flight', async () => {
	const rig = await Rig.start({settings: SETTINGS});
	rig.worker('locker-1').behaviours = [Behaviour.Silent];
	rig.worker('locker-2').behaviours = [Behaviour.Silent];
	const cut = assert.rejects(sendRequest(rig.port, UPLOAD), /read ECONNRESET/);
	await waitUntil(() => countStarted(rig) === 1);
	rig.platform.hosts.list = async () => {
		throw new TypeError('injected fault');
	};

	await waitUntil(() => rig.logLines.some(({phase}) => phase === 'draining'));
	const ended = assert.rejects(async () => rig.stopHost(0), /host-list/).then(() => true);
	assert.equal(await Promise.race([ended, delay(GRACE_MS, false)]), true);
	await cut;
	await Promise.all(Array.from(rig.workers.values(), async worker => worker.stop()));
});

// The platform counts the grace period from the signal.
test('a host that notices the stop signal late ends within the grace period of the signal', async () => {
	await withRig({}, async rig => {
		for (const name of ['locker-1', 'locker-2']) {
			rig.worker(name).behaviours = [Behaviour.Silent];
		}

		const cut = assert.rejects(sendRequest(rig.port, UPLOAD), /ECONNRESET/);
		await waitUntil(() => countStarted(rig) === 1);
		await delay(300);
		const ended = once(process, STOP_SIGNAL).then(async () => rig.stopHost(0));
		// In this phase of the event loop, timers run before the signal is read.
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
		process.kill(process.pid, STOP_SIGNAL);
		const signalAtMs = performance.now();
		while (performance.now() < signalAtMs + 600) {
			// The event loop is blocked.
		}

		await ended;
		const tookMs = performance.now() - signalAtMs;
		await cut;
		await Promise.all(Array.from(rig.workers.values(), async worker => worker.stop()));
		assert.ok(tookMs < GRACE_MS, `ended ${Math.round(tookMs)} ms after the signal`);
	});
});
