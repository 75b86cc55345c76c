import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {FakeWorker} from '@apricotwood/platform/standin';
import {waitUntil, type TestEntryHost} from '../fixtures/test-entry-host.js';
import {TestHostSetup} from '../fixtures/test-host-setup.js';

const worker = new FakeWorker('w1', 'board');
const setup = new TestHostSetup({worker});
const {store} = setup;

/** Depth of nesting at which a recursive reader exhausts its stack. */
const DEEP = 200_000;

function createEntry(fields: Record<string, unknown>): Record<string, unknown> {
	return {...worker.createEntry('ready'), ...fields};
}

/** Entries that name no worker to use, by what is odd about them; a text is written as it is. */
const ODD_WORKERS: Readonly<Record<string, () => unknown>> = {
	'port-out-of-range': () => createEntry({addr: '127.0.0.1:99999'}),
	'port-0': () => createEntry({addr: '127.0.0.1:0'}),
	'octet-out-of-range': () => createEntry({addr: '999.1.1.1:80'}),
	'no-slots': () => createEntry({info: {service: 'board', zone: 'a1', version: 'v1', slots: 0}}),
	'many-slots': () => createEntry({info: {service: 'board', zone: 'a1', version: 'v1', slots: 1e15}}),
	'long-zone': () => createEntry({info: {service: 'board', zone: 'z'.repeat(60_000), version: 'v1', slots: 4}}),
	'cold-for-ever': () => createEntry({status: {state: 'ready', sequence: 1, cold_remaining: `${'9'.repeat(400)}s`}}),
	'cold-for-long': () => createEntry({status: {state: 'ready', sequence: 1, cold_remaining: '1000000000000000s'}}),
	'negative-sequence': () => createEntry({status: {state: 'ready', sequence: -1, cold_remaining: '0ms'}}),
	'huge-birth': () => createEntry({born: 1e300}),
	'number-too-large': () => JSON.stringify(createEntry({born: 7})).replace('"born":7', '"born":1e400'),
	'deeply-nested': () => JSON.stringify(createEntry({info: 'DEEP'})).replace('"DEEP"', '['.repeat(DEEP) + ']'.repeat(DEEP)),
	'id with\r\nline breaks': () => createEntry({}),
	'id-\u20AC': () => createEntry({}),
};
/** Port of the peers of a host that cannot be sent to. */
const ODD_PORTS = [99_999, -1, 1.5, 0];

before(async () => setup.start());

after(async () => setup.stop());

function findFailures(host: TestEntryHost): unknown[] {
	return host.logLines.filter(({event}) => event === 'part-failed' || event === 'request-failed' || event === 'failed');
}

/** Checks that requests are served; on a busy machine a worker may be taken for too slow for one. */
async function assertServes(host: TestEntryHost, count: number): Promise<void> {
	let late = 0;
	for (let index = 0; index < count; index++) {
		const {status, body} = await host.send('/read/x', {headers: {'affinity-key': String(index)}});
		const isLate = status === 503 && (JSON.parse(body) as {error: string}).error === 'late';
		late += Number(isLate);
		assert.ok(status === 200 || isLate, `answered ${status}: ${body}`);
	}

	assert.ok(late < count / 10, `${late} of ${count} were rejected as late`);
}

// LOST (report of another operator): hosts that read an odd entry among those of the workers ended again and again, or stopped following the list.
test('odd entries among those of the workers name no worker, harm no request and no part of a host, and the others hold', async t => {
	const host = await setup.startHost('127.0.0.73');
	for (const [id, create] of Object.entries(ODD_WORKERS)) {
		store.putWorker(id, create());
	}

	const other = new FakeWorker('w2', 'board', 'a2');
	await other.start();
	t.after(async () => other.stop());
	store.putWorker(other.id, other.entry);
	await waitUntil('the host follows the list', () => host.host.state.fleet.get('w2') !== undefined);
	assert.deepEqual(new Set(Array.from(host.host.state.fleet.all(), ({registration}) => registration.id)), new Set(['w1', 'w2']));
	await assertServes(host, 100);
	const named = host.logLines.filter(({event}) => event === 'unreadable-row').map(({key}) => key);
	assert.equal(named.length, Object.keys(ODD_WORKERS).length);
	assert.deepEqual(new Set(named), new Set(Object.keys(ODD_WORKERS)));
	assert.deepEqual(findFailures(host), []);
	store.deleteWorker(other.id);
	await waitUntil('the host follows the list', () => host.host.state.fleet.get('w2') === undefined);
});

test('an odd entry in the place of a good one ends the use of the worker until it writes a good one again', async t => {
	const host = await setup.startHost('127.0.0.74');
	const replaced = new FakeWorker('w3', 'board');
	await replaced.start();
	t.after(async () => replaced.stop());
	for (let round = 0; round < 2; round++) {
		store.putWorker(replaced.id, replaced.entry);
		await waitUntil('the worker is known', () => host.host.state.fleet.get('w3') !== undefined);
		store.putWorker(replaced.id, {...replaced.entry, addr: '127.0.0.1:99999'});
		await waitUntil('the worker is not used', () => host.host.state.fleet.get('w3') === undefined);
	}

	assert.deepEqual(findFailures(host), []);
});

// The same cause in another table: each host that started after such a row ended again and again.
test('odd entries among those of the hosts end no host that starts after them', async () => {
	for (const [index, peerPort] of ODD_PORTS.entries()) {
		store.putHost(`odd-${index}`, {
			id: `odd-${index}`, ip: '127.0.0.99', peerPort, callerAddress: '127.0.0.99:80', zone: 'a1', region: 'a', startedMs: 1,
		});
	}

	const host = await setup.startHost('127.0.0.75');
	await waitUntil('the host has sent heartbeats', () => host.logLines.some(({event}) => event === 'registered'));
	await assertServes(host, 20);
	assert.deepEqual(findFailures(host), []);
	assert.deepEqual([...host.host.members.all()].filter(({entry}) => entry.id.startsWith('odd-')), []);
});
