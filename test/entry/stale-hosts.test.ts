import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {FakeWorker} from '@apricotwood/platform/standin';
import {send, type HttpResponse, type TestEntryHost} from '../fixtures/test-entry-host.js';
import {TestHostSetup} from '../fixtures/test-host-setup.js';

const worker = new FakeWorker('w1', 'board');
const setup = new TestHostSetup({worker});
let host: TestEntryHost;

before(async () => {
	await setup.start();
	host = await setup.startHost('127.0.0.81');
});

after(async () => {
	await setup.stop();
});

/** Sends a request as a host that passes it on does. */
async function forward(forwardedBy: string): Promise<HttpResponse> {
	const {ip, peerPort} = host.settings.entry.self;
	return send(`${ip}:${peerPort}`, '/read/x', {headers: {'x-forwarded-by-host': forwardedBy}});
}

test('a request that a host with a newer configuration passes on is rejected unrun, as it may belong to another service', async () => {
	const {version} = host.host.state.table!;
	const {status, headers} = await forward(`host-2;config=${version + 1}`);
	assert.equal(status, 503);
	assert.ok(Number(headers['retry-after']) > 0);
	assert.equal(worker.executedRequests.length, 0);
	for (const forwardedBy of [`host-2;config=${version}`, `host-2;config=${version - 1}`, 'host-of-an-earlier-build', 'host-2;config=odd']) {
		assert.equal((await forward(forwardedBy)).status, 200, forwardedBy); // eslint-disable-line no-await-in-loop
	}
});

test('an unknown route is answered 404 by a host that has all changes, and 503 while it knows that it lacks one', async () => {
	assert.equal((await host.send('/added-later/x')).status, 404);
	const {operations, workers} = host.host.state.reportStatus();
	const revision = operations.cursor + 1000;
	host.host.state.compareWithPeer({...operations, changedRevision: revision, cursor: revision}, workers);
	const {status, headers} = await host.send('/added-later/x');
	assert.equal(status, 503);
	assert.ok(Number(headers['retry-after']) > 0);
	assert.equal((await host.send('/read/x')).status, 200);
});
