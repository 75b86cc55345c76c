import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {runCase} from '../lib/case.mjs';
import {Client} from '../lib/client.mjs';
import {BOUNDS, REGIONS, createConfig} from '../lib/config.mjs';
import {Worker} from '../lib/worker.mjs';

const SLOTS = 2;
const QUEUE = 2;
/** Time of a request at the worker, ms. */
const WORK_MS = 300;
/** Time from the requests that fill the worker to the booking, ms. */
const FILL_MS = 15;
const ROUNDS = 5;

await runCase(fileURLToPath(new URL('.', import.meta.url)), {regions: REGIONS, bounds: BOUNDS}, async ({store, record, deployment, hasTrouble, closers}) => {
	store.put('op', 'config', createConfig(3, [
		{name: 'book', kind: 'non_idempotent', timeout: '4000ms', target: '2000ms', service: 'dispatch'},
		{name: 'read', kind: 'idempotent', timeout: '4000ms', target: '2000ms', service: 'dispatch'},
	]));
	const worker = await new Worker(store, record, {
		id: 'i-0', service: 'dispatch', zone: 'burnaby', slots: SLOTS, queue: QUEUE, workMs: WORK_MS,
	}).start();
	closers.push(async () => worker.stop());

	// The faulty worker sends a second copy of an answer, late: just before the next one on the same connection.
	const lastRejections = new Map();
	const shed = worker.shed.bind(worker);
	worker.shed = request => {
		lastRejections.set(request.req.socket, request.id);
		shed(request);
	};

	worker.onReceived = request => {
		const {socket} = request.req;
		const id = lastRejections.get(socket);
		if (hasTrouble && id !== undefined) {
			record.write('worker-extra', {worker: worker.id, copyOf: id, before: request.id});
			socket.write(`HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
		}

		lastRejections.delete(socket);
		return false;
	};

	const hosts = [];
	for (const zone of ['burnaby', 'surrey']) {
		const host = await deployment.add({id: `edge-${zone}-1`, zone, region: 'lower-mainland'});
		host.start();
		hosts.push(host);
	}

	await Promise.all(hosts.map(async host => host.waitUntilReady()));
	await delay(4000);
	const client = new Client(record);
	closers.push(() => client.close());
	const bookings = [];
	for (let round = 0; round < ROUNDS; round++) {
		// Other clients fill the worker through the other host; this one does not know of it yet.
		const reads = Array.from({length: SLOTS + QUEUE}, async () => client.send(hosts[1].edge, {path: '/read/a', deadlineMs: 4000, isFresh: true}));
		await delay(FILL_MS);
		bookings.push(await client.send(hosts[0].edge, {method: 'POST', path: '/book/a', body: `booking ${round}`, deadlineMs: 4000, isFresh: true}));
		await Promise.all(reads);
		await delay(1500);
	}

	let broken = 0;
	for (const {id, status} of bookings) {
		const runs = worker.run.filter(request => request.id === id).length;
		const isBroken = (status === 503 || status === 429) && runs > 0;
		broken += Number(isBroken);
		record.write('judged', {request: id, status, runs, isBroken});
	}

	return broken === 0;
});
