import assert from 'node:assert/strict';
import {
	after, afterEach, before, test,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {FakeClock} from '@apricotwood/clock';
import {MemberList, Registration, type SteeringSource} from '@apricotwood/entry';
import {FakeStoreMode} from '@apricotwood/platform/standin';
import {NOOP_LOG} from '@apricotwood/telemetry';
import {RawWorker} from '../fixtures/raw-worker.js';
import {waitUntil} from '../fixtures/test-entry-host.js';
import {TestHostSetup} from '../fixtures/test-host-setup.js';

/** Time from the stop signal to the end of a host, ms: far below the timeout of a health check. */
const GRACE_MS = 20;
/** Time for the last log lines of a host that has ended, ms. */
const LAST_LINES_MS = 50;

/** Says that its address belongs to another worker, so that it is checked, and answers no health check. */
const worker = new RawWorker((socket, _request, head) => {
	if (!head.startsWith('GET /health')) {
		socket.write('HTTP/1.1 421 Misdirected\r\nInstance-Id: w2\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n');
	}
});
const setup = new TestHostSetup({worker});

before(async () => setup.start());

after(async () => setup.stop());

afterEach(async () => {
	setup.store.mode = FakeStoreMode.Healthy;
	await setup.stopHosts();
});

// The class of "The client is destroyed" (docs/incidents, 2026-12-05-lost-around-sigterm).
test('a host that ends during a health check logs no failure of the worker', async () => {
	const host = await setup.startHost('127.0.0.93', {graceMs: GRACE_MS});
	await host.send('/read/x');
	await waitUntil('the worker is checked', () => worker.requestHeads.some(head => head.startsWith('GET /health')));
	await host.stop();
	await delay(LAST_LINES_MS);
	assert.deepEqual(host.logLines.filter(({event}) => event === 'check'), []);
});

test('a host that ends while it registers logs no failure of the source', async () => {
	setup.store.mode = FakeStoreMode.Unresponsive;
	const calls = setup.store.calls.length;
	const host = await setup.beginHost('127.0.0.94', {graceMs: GRACE_MS});
	await waitUntil('the host registers', () => setup.store.calls.slice(calls).includes('GET /v1/rows-get hosts'));
	await host.stop();
	await delay(LAST_LINES_MS);
	assert.deepEqual(host.logLines.filter(({event}) => event === 'register-failed'), []);
});

/** Source that fails, or does not answer until the signal is aborted. */
class FailingSource implements SteeringSource {
	isSilent = false;

	async register(_self: unknown, signal: AbortSignal): Promise<never> {
		if (!this.isSilent) {
			throw new Error('source is busy');
		}

		return new Promise((_resolve, reject) => {
			signal.addEventListener('abort', () => {
				reject(signal.reason as Error);
			}, {once: true});
		});
	}

	async readHosts(): Promise<never> {
		throw new Error('not used');
	}

	async readWorkers(): Promise<never> {
		throw new Error('not used');
	}

	async readOperations(): Promise<never> {
		throw new Error('not used');
	}
}

test('a registration that fails is logged and the seeds are contacted; one that ends with its host is not, and nobody is told of it', async () => {
	const self = {
		id: 'h', ip: '10.0.0.1', peerPort: 1, callerAddress: '10.0.0.1:2', zone: 'a1', region: 'a', startedMs: 1,
	};
	const clock = new FakeClock();
	const source = new FailingSource();
	const calls: string[] = [];
	const registration = new Registration({
		clock,
		source,
		self,
		members: new MemberList(self),
		log: {
			...NOOP_LOG, warn({event}) {
				calls.push(String(event));
			},
		},
		getEpoch: () => 0,
		onRegistered() {},
		onFailure() {
			calls.push('seeds');
		},
		onAttempt() {
			calls.push('attempt');
		},
	});
	const stop = new AbortController();
	const run = registration.run(stop.signal);
	await clock.advanceAsync(50, 10);
	source.isSilent = true;
	await clock.advanceAsync(200, 10);
	assert.deepEqual(calls, ['register-failed', 'seeds', 'attempt']);
	stop.abort();
	await run;
	assert.deepEqual(calls, ['register-failed', 'seeds', 'attempt']);
});
