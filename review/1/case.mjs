/* eslint-disable no-await-in-loop -- the steps of a case follow each other, and some go on beside them */
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {runCase} from '../lib/case.mjs';
import {Client} from '../lib/client.mjs';
import {BOUNDS, REGIONS, createConfig} from '../lib/config.mjs';
import {Worker} from '../lib/worker.mjs';

const SLOTS = 2;
const QUEUE = 2;
/** Time of a request that fills the worker, and of any other one, ms. */
const LONG_WORK_MS = 300;
const SHORT_WORK_MS = 5;
/** Time from the requests that fill the worker to the booking, ms. */
const FILL_MS = 15;
/** Time between two short reads, ms. */
const READ_INTERVAL_MS = 25;
/** Spans of the disruption, and the share of its answers that the worker then sends twice, as the site has them. */
const SPANS = 4;
const SPAN_MS = 5000;
const EXTRA_RATIO = 0.03;
/** Times of the bookings in a span, ms. */
const BOOK_AT_MS = [1700, 3300];

await runCase(fileURLToPath(new URL('.', import.meta.url)), {regions: REGIONS, bounds: BOUNDS}, async ({store, record, deployment, hasTrouble, closers}) => {
	store.put('op', 'config', createConfig(3, [
		{
			name: 'book', kind: 'non_idempotent', timeout: '4000ms', target: '2000ms', service: 'dispatch',
		},
		{
			name: 'read', kind: 'idempotent', timeout: '4000ms', target: '2000ms', service: 'dispatch',
		},
	]));
	// One of the two workers is faulty; the zone of the other one is evacuated.
	store.put('op', 'evacuate/surrey', {});
	const [worker, other] = ['burnaby', 'surrey'].map(zone => new Worker(store, record, {
		id: `i-${zone}`, service: 'dispatch', zone, slots: SLOTS, queue: QUEUE, workMs: LONG_WORK_MS,
	}));
	for (const each of [worker, other]) {
		await each.start();
		closers.push(async () => each.stop());
	}

	const counts = {answers: 0, extras: 0};
	let isFaulty = false;
	let rejectedBookings = 0;
	const lastRejections = new Map();
	const {answer, shed} = worker;
	worker.answer = (...args) => {
		counts.answers++;
		answer.apply(worker, args);
	};

	worker.shed = request => {
		counts.answers++;
		if (request.url.startsWith('/book/')) {
			rejectedBookings++;
			lastRejections.set(request.req.socket, request.id);
		}

		shed.call(worker, request);
	};

	// The faulty worker sends a second copy of a rejection, late: just before the next answer on the same connection.
	worker.onReceived = ({id, req: {socket}}) => {
		const rejectedId = lastRejections.get(socket);
		lastRejections.delete(socket);
		if (rejectedId !== undefined && isFaulty && counts.extras + 1 <= counts.answers * EXTRA_RATIO) {
			counts.extras++;
			record.write('worker-extra', {worker: worker.id, copyOf: rejectedId, before: id});
			socket.write(`HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ${rejectedId}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
		}

		return false;
	};

	worker.getWorkMs = ({url}) => url === '/read/short' ? SHORT_WORK_MS : LONG_WORK_MS;
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
	const reads = [];
	const read = path => {
		reads.push(client.send(hosts[1].edge, {path, deadlineMs: 4000}));
	};

	const bookings = [];
	for (let span = 0; span < SPANS; span++) {
		const startMs = Date.now();
		Object.assign(counts, {answers: 0, extras: 0});
		isFaulty = hasTrouble;
		let isFilled = false;
		const reading = setInterval(() => {
			if (!isFilled) {
				read('/read/short');
			}
		}, READ_INTERVAL_MS);
		for (const bookAtMs of BOOK_AT_MS) {
			await delay(startMs + bookAtMs - Date.now());
			isFilled = true;
			await delay(READ_INTERVAL_MS);
			// Other clients fill the worker through the other host; this one does not know of it yet.
			for (let index = 0; index < SLOTS + QUEUE; index++) {
				read('/read/long');
			}

			await delay(FILL_MS);
			bookings.push(await client.send(hosts[0].edge, {
				method: 'POST', path: '/book/a', body: 'booking', deadlineMs: 4000, isFresh: true,
			}));
			isFilled = false;
		}

		await delay(startMs + SPAN_MS - Date.now());
		isFaulty = false;
		clearInterval(reading);
		record.write('span', counts);
		await delay(1000);
	}

	await Promise.all(reads);
	if (rejectedBookings === 0) {
		throw new Error('the worker has rejected no booking');
	}

	let broken = 0;
	for (const {id, status} of bookings) {
		const runs = worker.run.filter(request => request.id === id).length;
		const isBroken = (status === 503 || status === 429) && runs > 0;
		broken += Number(isBroken);
		record.write('judged', {
			request: id, status, runs, isBroken,
		});
	}

	return broken === 0;
});
