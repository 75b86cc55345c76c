/* eslint-disable no-await-in-loop -- the steps of a case follow each other, and some go on beside them */
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {runCase} from '../lib/case.mjs';
import {Client, HOST_NAME} from '../lib/client.mjs';
import {BOUNDS, REGIONS, createConfig} from '../lib/config.mjs';
import {Worker} from '../lib/worker.mjs';

/** Time that a worker needs for an upload; the site names 3,120 ms as the longest. */
const WORK_MS = 2600;
const CLIENT_DEADLINE_MS = 5000;
/** Times after the SIGTERM at which the clients send an upload, ms: later than 3 s, and while their look-up may still be used (three times its `ttl` of 1.5 s). */
const SEND_AFTER_MS = [3150, 3250, 3350];
/** Time from the SIGTERM to the SIGKILL (`grace`), ms. */
const GRACE_MS = 6000;

await runCase(fileURLToPath(new URL('.', import.meta.url)), {regions: REGIONS, bounds: BOUNDS}, async ({store, record, deployment, hasTrouble, closers}) => {
	store.put('op', 'config', createConfig(3, [
		{name: 'photos', kind: 'upload', timeout: null, target: '600ms', service: 'photo-intake'},
		{name: 'read', kind: 'idempotent', timeout: '1200ms', target: '600ms', service: 'catalogue'},
	]));
	const workers = [];
	for (const [index, service] of ['photo-intake', 'photo-intake', 'catalogue'].entries()) {
		const worker = await new Worker(store, record, {id: `i-${index}`, service, zone: 'burnaby', workMs: service === 'catalogue' ? 20 : WORK_MS}).start();
		workers.push(worker);
		closers.push(async () => worker.stop());
	}

	const leaving = await deployment.add({id: 'edge-burnaby-1', zone: 'burnaby', region: 'lower-mainland'});
	const other = await deployment.add({id: 'edge-burnaby-2', zone: 'burnaby', region: 'lower-mainland'});
	for (const host of [leaving, other]) {
		host.start();
	}

	await Promise.all([leaving.waitUntilReady(), other.waitUntilReady()]);
	await delay(4000);

	// Each client asks the directory, and has a connection open on which it has had an answer.
	const clients = SEND_AFTER_MS.map(() => new Client(record));
	for (const client of clients) {
		closers.push(() => client.close());
		const {addresses, ttl} = await other.resolve(HOST_NAME);
		record.write('client-resolves', {addresses, ttl});
		const first = await client.send(leaving.edge, {path: '/read/a', deadlineMs: 4000});
		if (first.status !== 200 || !addresses.includes(`${leaving.edge.host}:${leaving.edge.port}`)) {
			throw new Error('the deployment does not serve before the disruption');
		}
	}

	const startMs = Date.now();
	if (hasTrouble) {
		leaving.signal('SIGTERM');
		setTimeout(() => {
			leaving.kill();
		}, GRACE_MS);
	}

	const uploads = await Promise.all(clients.map(async (client, index) => {
		await delay(startMs + SEND_AFTER_MS[index] - Date.now());
		return client.send(leaving.edge, {method: 'POST', path: '/photos/1', body: 'x'.repeat(20_000), deadlineMs: CLIENT_DEADLINE_MS});
	}));
	let lost = 0;
	for (const upload of uploads) {
		const wasPassedOn = workers.some(({run}) => run.some(({id}) => id === upload.id));
		const isLost = wasPassedOn && !upload.isWhole && upload.tookMs < CLIENT_DEADLINE_MS;
		lost += Number(isLost);
		const sentAfterTermMs = upload.sentAtMs - startMs;
		record.write('judged', {
			request: upload.id, sentAfterTermMs, wasPassedOn, status: upload.status, error: upload.error, endedAfterTermMs: sentAfterTermMs + upload.tookMs, isLost,
		});
	}

	return lost === 0;
});
