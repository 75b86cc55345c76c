// Workers come and leave while one of two hosts stands still for some seconds; the other one is undisturbed.
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	addHost, addWorker, awaitReady, createConfig, createDeployment, runCase, send,
} from '../6/rig.mjs';

const ZONES = {kelowna: 'okanagan', vernon: 'okanagan'};
const ROUNDS = 8;
/** Time for which a host stands still, ms. */
const FREEZE_MS = 2700;
/** Time from the stop to the removal of a worker's entry, ms. */
const REMOVAL_AFTER_MS = 1900;
const PAUSE_MS = 6000;
/** The bound `drain`. */
const DRAIN_MS = 2000;
/** Time for which a worker serves on after its entry was removed, ms. */
const SERVE_ON_MS = 6000;
/** Clients of each host, and the time between two requests of one, ms. */
const CLIENTS = 8;
const REQUEST_GAP_MS = 30;
/** Objects that the requests are for. */
const OBJECTS = 24;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({recorder, isTroubled, setDeployment}) => {
	const deployment = await createDeployment(ZONES);
	setDeployment(deployment);
	const {store, hosts} = deployment;
	const removedMs = new Map();
	const late = [];
	let created = 0;
	let served = 0;
	const start = async () => {
		const worker = await addWorker(deployment, {id: `w-${created++}`, service: 'lookup', zone: Object.keys(ZONES)[created % 2]});
		worker.workMs = 30;
		worker.onEvent = (event, {id}, detail) => {
			served += event === 'run' ? 1 : 0;
			const afterMs = Date.now() - (removedMs.get(id) ?? Infinity);
			if (event === 'run' && afterMs > DRAIN_MS) {
				late.push({worker: id, request: detail.id, afterMs});
			}
		};

		return worker;
	};

	const current = [];
	for (let index = 0; index < 4; index++) {
		current.push(await start()); // eslint-disable-line no-await-in-loop
	}

	store.put('op', 'config', createConfig(1, [['read', '/read/', 'idempotent', 'lookup']], ['lookup'], {hasAffinity: true}));
	for (const [index, zone] of Object.keys(ZONES).entries()) {
		const host = addHost(deployment, {id: `h-${index}`, zone});
		host.storeAddress = await store.open(host); // eslint-disable-line no-await-in-loop
		host.start();
	}

	await awaitReady(hosts);
	await sleep(3500);
	recorder.write('both hosts are ready');
	let isOver = false;
	let stopped;
	const traffic = async (host, client) => {
		for (let index = 0; !isOver; index++) { // eslint-disable-line no-unmodified-loop-condition
			if (host !== stopped) {
				const headers = {
					host: 'a.example', 'request-id': `${host.id}-${client}-${index}`, 'request-deadline-ms': '4000', 'affinity-key': String((index * 7) % OBJECTS),
				};
				await send({ip: host.ip, path: `/read/${client}-${index}`, headers}); // eslint-disable-line no-await-in-loop
			}

			await sleep(REQUEST_GAP_MS); // eslint-disable-line no-await-in-loop
		}
	};

	const callers = hosts.flatMap(host => Array.from({length: CLIENTS}, async (_, client) => traffic(host, client)));
	for (let round = 0; round < ROUNDS; round++) {
		// The host that reads the store first learns of the new worker; the other one stands still from then on.
		const added = await start(); // eslint-disable-line no-await-in-loop
		current.push(added);
		// eslint-disable-next-line no-await-in-loop
		const reader = await new Promise(resolve => {
			store.onFeed = ({host, table, rows}) => {
				if (table === 'servers' && rows.some(({key}) => key === added.id)) {
					store.onFeed = () => {};
					const other = hosts.find(candidate => candidate !== host);
					if (isTroubled) {
						stopped = other;
						other.signal('SIGSTOP');
					}

					resolve(host);
				}
			};
		});
		const other = hosts.find(host => host !== reader);
		recorder.write(`worker ${added.id} is added${isTroubled ? `; host ${other.id} stands still` : ''}`);
		await sleep(REMOVAL_AFTER_MS); // eslint-disable-line no-await-in-loop
		const old = current.shift();
		old.leave(SERVE_ON_MS);
		removedMs.set(old.id, Date.now());
		recorder.write(`the entry of worker ${old.id} is removed`);
		await sleep(FREEZE_MS - REMOVAL_AFTER_MS); // eslint-disable-line no-await-in-loop
		if (isTroubled) {
			other.signal('SIGCONT');
			stopped = undefined;
			recorder.write(`host ${other.id} goes on`);
		}

		const lateBefore = late.length;
		await sleep(PAUSE_MS); // eslint-disable-line no-await-in-loop
		// The rule is for requests that the host sent which was not stopped.
		const counted = late.slice(lateBefore).filter(({request}) => request.startsWith(reader.id));
		recorder.write(`requests that host ${reader.id} sent to worker ${old.id} later than ${DRAIN_MS} ms after the removal: ${counted.length}`);
		for (const entry of late.slice(lateBefore)) {
			entry.isCounted = counted.includes(entry);
		}
	}

	isOver = true;
	await Promise.all(callers);
	if (served === 0) {
		throw new Error('no request was run');
	}

	const counted = late.filter(({isCounted}) => isCounted);
	for (const {worker, request, afterMs} of counted.slice(0, 20)) {
		recorder.write(`worker ${worker} runs request ${request} ${afterMs} ms after the removal of its entry`);
	}

	recorder.write(`runs later than ${DRAIN_MS} ms after the removal, sent by the undisturbed host: ${counted.length}; allowed: 0`);
	return counted.length > 0;
});
