import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {FakeStore, FakeWorker, createOperatorConfig} from '@apricotwood/platform/standin';
import {TestEntryHost, freePorts, waitUntil} from '../fixtures/test-entry-host.js';

/** Time from the stop signal to the end of the host, ms. */
const GRACE_MS = 6000;
/** Time for which callers use a look-up, ms; longer than the grace period. */
const LOOKUP_LIFETIME_MS = 9000;
/** Time after the stop signal at which a caller comes, ms: later than three quarters of the grace period. */
const LATE_MS = 4700;

const store = new FakeStore();
const worker = new FakeWorker('w1', 'board');
let host: TestEntryHost;

before(async () => {
	await store.start();
	store.putConfig(createOperatorConfig(2, ['board']));
	await worker.start();
	store.putWorker('w1', worker.entry);
	host = await new TestEntryHost('127.0.0.161', await freePorts(5), store.address, {graceMs: GRACE_MS, lookupLifetimeMs: LOOKUP_LIFETIME_MS}).start();
	await waitUntil('the host is ready', () => host.host.isReady && host.host.state.fleet.size === 1);
	// The host learns that requests are short.
	for (let index = 0; index < 20; index++) {
		await host.send('/read/x');
	}
});

after(async () => {
	await host.stop();
	await worker.stop();
	await store.stop();
});

// LOST: the listener had closed, and callers with a look-up that names this host were refused, while the process went on.
test('a caller with an earlier look-up that comes late in the grace period is served if there is time, and else told to go elsewhere', async () => {
	host.beginShutdown();
	await delay(LATE_MS);
	const [short, long] = await Promise.all(['300', '1400'].map(async deadline => host.send('/read/x', {headers: {'request-deadline-ms': deadline}})));
	assert.equal(short!.status, 200);
	assert.equal(long!.status, 503);
	assert.ok(Number(long!.headers['retry-after']) < 0.5);
	assert.equal(long!.headers.connection, 'close');
});
