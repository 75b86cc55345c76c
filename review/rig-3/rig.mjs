/* eslint-disable camelcase, unicorn/no-process-exit -- the names of the pages; steps that follow each other; the exit code is the result */
// One small installation on loopback addresses: store, workers, hosts, callers and the record of what they saw.
import {Buffer} from 'node:buffer';
import {randomBytes, randomInt} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Host} from './host.mjs';
import {Store} from './store.mjs';
import {Worker} from './worker.mjs';

export const CONTACT_MS = 3000;
const ROUTE_COLUMNS = ['name', 'host', 'path_prefix', 'kind', 'timeout', 'target_latency', 'priority', 'service', 'max_attempts', 'session_affinity', 'allowed_regions', 'weighted_services'];
const SERVICE_COLUMNS = ['name', 'health_path', 'max_conns', 'warmup', 'warmup_per_s'];

/** Whether the disruption of the case is played. */
export const hasTrouble = process.env.TROUBLE !== '0';

export class Rig {
	#network = `127.${randomInt(32, 250)}.${randomInt(0, 250)}`;
	#nextIp = 1;
	#lines = [];
	#startMs = Date.now();
	directory = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	store = new Store();
	workers = [];
	hosts = [];
	/** What callers sent and saw. */
	calls = [];

	/** @param recordPath file of the record. */
	constructor(recordPath) {
		this.recordPath = recordPath;
	}

	/** A loopback address that nothing else of this rig uses. */
	drawIp() {
		return `${this.#network}.${this.#nextIp++}`;
	}

	note(text) {
		this.#lines.push(`${((Date.now() - this.#startMs) / 1000).toFixed(3)} ${text}`);
	}

	at(ms) {
		return ((ms - this.#startMs) / 1000).toFixed(3);
	}

	async startStore() {
		await this.store.start(this.drawIp());
	}

	putConfig(version, {routes, services, limits = {}}) {
		this.store.put('op', 'config', {
			version: `r${version}`,
			routes: {columns: ROUTE_COLUMNS, rows: routes},
			services: {columns: SERVICE_COLUMNS, rows: services},
			limits: {max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: '3s', idle_timeout: '15s', ...limits},
		});
	}

	async addWorker(options) {
		const worker = new Worker({store: this.store, ip: this.drawIp(), slots: 4, workMs: 100, ...options});
		this.workers.push(worker);
		await worker.start();
		return worker;
	}

	addHost(options) {
		const host = new Host({ip: this.drawIp(), storeAddress: this.store.address, directory: this.directory, ...options});
		this.hosts.push(host);
		host.start();
		return host;
	}

	async waitUntilReady() {
		const results = await Promise.all(this.hosts.map(async host => host.waitUntilReady()));
		if (results.includes(false)) {
			throw new Error('a host is not ready');
		}
	}

	/** Sends one request on a new connection and reads the whole answer. */
	async call(host, {method = 'GET', url, name = 'app.example', body, headers = {}, waitsMs = 3000, localAddress, agent = false, isChunked = false}) {
		const id = randomBytes(8).toString('hex');
		const call = {id, method, url, host: host.options.id, sentAtMs: Date.now(), status: undefined, signature: undefined, body: undefined, end: 'none'};
		this.calls.push(call);
		await new Promise(resolve => {
			const settle = end => {
				call.end = end;
				call.endedAtMs = Date.now();
				clearTimeout(timer);
				resolve();
			};

			const req = request({
				host: host.options.ip, port: 8641, method, path: url, agent, localAddress, setHost: false,
				headers: {host: name, 'request-id': id, 'request-deadline-ms': String(waitsMs), ...headers, ...formatLength(body, isChunked)},
			}, res => {
				call.status = res.statusCode;
				call.signature = res.headers['server-signature'];
				call.retryAfter = res.headers['retry-after'];
				const chunks = [];
				res.on('data', chunk => chunks.push(chunk));
				res.on('end', () => {
					call.body = Buffer.concat(chunks);
					settle('answered');
				});
				res.on('aborted', () => settle('cut'));
				res.on('error', () => settle('cut'));
			});
			const timer = setTimeout(() => {
				settle('deadline');
				req.destroy();
			}, waitsMs + 1000);
			req.on('error', error => {
				if (call.end === 'none') {
					settle(`error ${error.code}`);
				}
			});
			req.end(body);
		});
		return call;
	}

	/** Ends all that was started and writes the record. @param verdict lines at its head. */
	async stop(verdict) {
		for (const host of this.hosts) {
			host.signal('SIGCONT');
			host.signal('SIGKILL');
		}

		await Promise.all(this.hosts.map(async host => host.waitForExit(5000)));
		for (const worker of this.workers) {
			worker.stop();
		}

		this.store.stop();
		rmSync(this.directory, {recursive: true, force: true});
		writeFileSync(this.recordPath, `${[...verdict, '', ...this.#lines].join('\n')}\n`);
	}
}

/** Longest time of a case, ms. */
const MAX_CASE_MS = 110_000;
const ExitCode = {held: 0, broken: 1, notRun: 2};

/**
 * Runs a case and ends the process with its exit code.
 * @param play resolves with `{isBroken, lines, servedCount}`; a case in which no call was served could not run.
 */
export async function runCase(recordPath, play) {
	const rig = new Rig(recordPath);
	const giveUp = reason => {
		console.error(`the case could not run: ${reason}`);
		rmSync(rig.directory, {recursive: true, force: true});
		process.exit(ExitCode.notRun);
	};

	process.on('uncaughtException', error => giveUp(error.stack));
	process.on('unhandledRejection', error => giveUp(error?.stack));
	for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
		process.on(name, () => giveUp(name));
	}

	setTimeout(() => giveUp(`it takes longer than ${MAX_CASE_MS} ms`), MAX_CASE_MS).unref();
	let code = ExitCode.notRun;
	let verdict;
	try {
		const {isBroken, lines, servedCount} = await play(rig);
		if (servedCount === 0) {
			throw new Error('no call was served');
		}

		code = isBroken ? ExitCode.broken : ExitCode.held;
		verdict = [`disruption: ${hasTrouble ? 'played' : 'not played'}`, `rule: ${isBroken ? 'BROKEN' : 'held'}`, ...lines];
	} catch (error) {
		verdict = [`the case could not run: ${error.stack}`];
	}

	await rig.stop(verdict);
	console.log(verdict.join('\n'));
	process.exit(code);
}

function formatLength(body, isChunked) {
	if (isChunked) {
		return {'transfer-encoding': 'chunked'};
	}

	return body === undefined ? {} : {'content-length': Buffer.byteLength(body)};
}
