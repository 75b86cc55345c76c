/* eslint-disable no-await-in-loop -- steps that follow each other */
// The workers of one service send answers without end; the machine that calls them runs out of memory.
import {readFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker as Thread} from 'node:worker_threads';
import {hasTrouble, runCase} from '../rig-3/rig.mjs';

const LOAD_MS = 20_000;
const THREADS = 4;
const WORKERS_PER_THREAD = 1;
const SLOTS = 100;
const HEARTBEAT_MS = 1500;
const READERS_PER_HOST = 200;
const READ_TIMEOUT_MS = 10_000;
const READ_PAUSE_MS = 500;
const BOOKERS_PER_HOST = 20;
const BOOKING_WORK_MS = 500;
/** Connections without an answer that the rule allows. */
const MAX_LOST = 3;

/** Starts a thread with some workers of the service `files` and registers them. */
async function startThread(rig, names, isEndless) {
	const workers = names.map(id => ({id, ip: rig.drawIp()}));
	const thread = new Thread(new URL('../rig-3/endless-workers.mjs', import.meta.url), {workerData: {workers, isEndless}});
	let sequence = 0;
	const addresses = [];
	const report = () => {
		sequence++;
		for (const {id, address} of addresses) {
			rig.store.put('servers', id, {
				addr: address, born: 1, info: {service: 'files', zone: 'a', version: 'v1', slots: SLOTS}, status: {state: 'ready', sequence, cold_remaining: '0ms'}, // eslint-disable-line camelcase
			});
		}
	};

	await new Promise(resolve => {
		thread.on('message', message => {
			addresses.push(message);
			if (addresses.length === workers.length) {
				resolve();
			}
		});
	});
	report();
	setInterval(report, HEARTBEAT_MS);
}

/** Reads a file and drops what it reads. @returns how it ended. */
async function readFile(host, id) {
	return new Promise(resolve => {
		const req = request({
			host: host.options.ip, port: 8641, path: `/files/${id}`, agent: false, setHost: false, headers: {host: 'app.example', 'request-id': id, 'request-deadline-ms': String(READ_TIMEOUT_MS)},
		}, res => {
			res.resume();
			res.on('end', () => resolve(String(res.statusCode)));
			res.on('error', () => resolve('cut'));
		});
		req.on('error', error => resolve(error.code));
		setTimeout(() => req.destroy(), READ_TIMEOUT_MS);
		req.end();
	});
}

await runCase(new URL('record.txt', import.meta.url).pathname, async rig => {
	await rig.startStore();
	rig.putConfig(12, {
		routes: [
			['files', 'app.example', '/files/', 'idempotent', '10s', '1500ms', 1, 'files', 2, false, [], null],
			['book', 'app.example', '/book/', 'non_idempotent', '15s', '1500ms', 0, 'desk', 2, false, [], null],
		],
		services: [['files', '/health', 1000, '1s', 20], ['desk', '/health', 360, '1s', 20]],
	});
	for (let index = 0; index < THREADS; index++) {
		const isEndless = hasTrouble;
		await startThread(rig, Array.from({length: WORKERS_PER_THREAD}, (_, number) => `files-${index}-${number}`), isEndless);
	}

	for (let index = 0; index < 12; index++) {
		await rig.addWorker({id: `desk-${index}`, service: 'desk', zone: 'a', workMs: BOOKING_WORK_MS, slots: 6});
	}

	const hosts = ['host-1', 'host-2'].map(id => rig.addHost({id, zone: 'a', zones: {a: 'r'}}));
	await rig.waitUntilReady();
	await sleep(2000);

	const untilMs = Date.now() + LOAD_MS;
	const isOn = () => Date.now() < untilMs && hosts.every(({isRunning}) => isRunning);
	const reads = new Map();
	const read = async (host, name) => {
		await sleep(0);
		for (let count = 0; isOn(); count++) {
			const end = await readFile(host, `${name}-${count}`);
			reads.set(end, (reads.get(end) ?? 0) + 1);
			await sleep(READ_PAUSE_MS);
		}
	};

	const book = async (host, name) => {
		// Each keeps its connection.
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let count = 0; isOn(); count++) {
			const call = await rig.call(host, {
				method: 'POST', url: `/book/${name}-${count}`, body: '{}', waitsMs: 15_000, agent,
			});
			call.isOnKeptConnection = count > 0;
			await sleep(50);
		}

		agent.destroy();
	};

	const peaks = new Map();
	const watch = async () => {
		while (isOn()) {
			for (const {options: {id}, pid} of hosts) {
				peaks.set(id, /VmHWM:\s*(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? peaks.get(id));
			}

			await sleep(100);
		}
	};

	await Promise.all([
		watch().catch(() => {}),
		...hosts.slice(0, 1).flatMap(host => Array.from({length: READERS_PER_HOST}, async (_, index) => read(host, `r${host.options.id}-${index}`))),
		...hosts.flatMap(host => Array.from({length: BOOKERS_PER_HOST}, async (_, index) => book(host, `${host.options.id}-${index}`))),
	]);
	const ends = hosts.flatMap(({options: {id}, exits}) => exits.map(exit => ({id, ...exit})));
	for (const {id, code, signal, atMs} of ends) {
		rig.note(`${rig.at(atMs)} the process of ${id} ends by itself, code ${code}, signal ${signal}`);
	}

	const runs = new Map(rig.workers.flatMap(worker => worker.arrivals.map(run => [run.id, run])));
	const lost = rig.calls.filter(call => call.isOnKeptConnection && runs.get(call.id)?.ran && call.end !== 'answered' && call.end !== 'deadline');
	for (const call of rig.calls) {
		rig.note(`${rig.at(call.sentAtMs)} ${call.id} POST ${call.url} to ${call.host}: ${call.status ?? call.end}${runs.get(call.id)?.ran ? `, run by ${runs.get(call.id).worker}` : ''}`);
	}

	return {
		servedCount: rig.calls.filter(({status}) => status === 200).length,
		isBroken: lost.length > MAX_LOST,
		lines: [
			`host processes that ended by themselves: ${ends.map(({id, signal, code, atMs}) => `${id} (${signal ?? code}) at ${rig.at(atMs)}`).join(', ') || 'none'}`,
			`bookings on kept connections that sound workers ran and whose connection was closed without an answer: ${lost.length} (allowed: ${MAX_LOST})`,
			`peak of the resident memory: ${[...peaks].map(([id, kilobytes]) => `${id} ${Math.round(kilobytes / 1024)} MB`).join(', ')}`,
			`reads by their end: ${[...reads].map(([end, count]) => `${end} ${count}`).join(', ')}`,
		],
	};
});
