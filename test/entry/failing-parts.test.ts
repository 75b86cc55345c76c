import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {
	after, before, test,
} from 'node:test';
import {FakeStore, FakeWorker, createOperatorConfig} from '@apricotwood/platform/standin';
import {TestEntryHost, freePorts, waitUntil} from '../fixtures/test-entry-host.js';

const HOST_IP = '127.0.0.72';
const GRACE_MS = 3000;

const store = new FakeStore();
const worker = new FakeWorker('w1', 'board');

before(async () => {
	await store.start();
	store.putConfig(createOperatorConfig(2, ['board'], [['reports', 'a.example', '/reports/', 'idempotent', null, '600ms', 1, 'board', 2, false, [], null]]));
	await worker.start();
	store.putWorker(worker.id, worker.entry);
});

after(async () => {
	await worker.stop();
	await store.stop();
});

// LOST (issue 44): a part that kept failing ended the host at once, and with it each request in flight.
test('a host with a part that keeps failing answers the requests in flight before it ends', async () => {
	const ports = await freePorts(5);
	const occupied = createSocket('udp4').bind(ports[0], HOST_IP);
	await once(occupied, 'listening');
	const host = new TestEntryHost(HOST_IP, ports, store.address, {graceMs: GRACE_MS, lookupLifetimeMs: 500});
	const ended = host.host.run(new AbortController().signal).then(() => 'ended', (error: unknown) => (error as Error).name);
	await waitUntil('the host is ready', () => host.host.isReady && host.host.state.fleet.size === 1);
	// The part is given up after some 1.5 s.
	worker.processingMs = 2000;
	const {status, isTruncated} = await host.send('/reports/a', {headers: {'request-deadline-ms': '4000'}});
	const outcome = await ended;
	await once(occupied.close(), 'close');
	assert.deepEqual({status, isTruncated, outcome}, {status: 200, isTruncated: false, outcome: 'ChildGivenUp'});
	// By the host's own log: the caller, which shares its event loop, may see the last bytes only after the host has ended.
	const {running, cut} = host.logLines.find(({event}) => event === 'left') ?? {};
	assert.deepEqual({running, cut}, {running: 0, cut: 0});
	const events = host.logLines.map(({event}) => event).filter(event => event === 'leaving' || event === 'request' || event === 'left');
	assert.deepEqual(events, ['leaving', 'request', 'left']);
});
