/* eslint-disable camelcase, no-await-in-loop -- names of the platform; attempts follow each other */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, openSync, closeSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {closeServer, listen} from './net.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const READY_TIMEOUT_MS = 15_000;
/** Path of the deploy file. */
const DEPLOY_FILE = path.join(ROOT, 'deploy/system.toml');
const PORT_COUNT = 5;

/** Reads the command of the program and the port of its metrics from the deploy file. */
function readDeployFile() {
	const text = readFileSync(DEPLOY_FILE, 'utf8');
	return {
		runWords: /^run = "([^"]+)"/m.exec(text)[1].split(' '),
		metricsPort: Number(/^metrics = "(\d+)\//m.exec(text)[1]),
	};
}

/** Finds a loopback address on which the port of the metrics is free, and further free ports there. */
async function findAddress() {
	const {metricsPort} = readDeployFile();
	for (;;) {
		const ip = `127.${100 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}.${2 + Math.floor(Math.random() * 250)}`;
		const servers = Array.from({length: PORT_COUNT + 1}, () => createServer());
		try {
			const [, ...addresses] = await Promise.all(servers.map(async (server, index) => listen(server, ip, index === 0 ? metricsPort : 0)));
			return {ip, ports: addresses.map(address => Number(address.split(':')[1]))};
		} catch {
			// Another program uses the port on this address.
		} finally {
			await Promise.all(servers.filter(server => server.listening).map(async server => closeServer(server)));
		}
	}
}

/** A process of the project's program, started with the command of the deploy file. */
export class Host {
	#child;

	constructor(deployment, {id, zone, region}) {
		Object.assign(this, {deployment, id, zone, region});
	}

	async prepare() {
		const {ip, ports: [edge, ready, directory, peer, lastPeer]} = await findAddress();
		this.ip = ip;
		this.edge = {host: ip, port: edge};
		this.readyUrl = `http://${ip}:${ready}/v1/readiness`;
		this.directoryUrl = `http://${ip}:${directory}/v1/resolve`;
		const {regions, folder, store, bounds} = this.deployment;
		this.settingsPath = path.join(folder, `${this.id}.json`);
		writeFileSync(this.settingsPath, JSON.stringify({
			node: this.id,
			role: 'entry',
			machine_class: 'edge',
			serves: ['edge', 'directory'],
			ip,
			zone: this.zone,
			region: this.region,
			zones: regions,
			listen_addrs: {edge_addr: `${ip}:${edge}`, ready_addr: `${ip}:${ready}`, directory: `${ip}:${directory}`},
			internal_ports: [Math.min(peer, lastPeer), Math.max(peer, lastPeer)],
			seed_nodes: [],
			bootstrap: true,
			discovery: 'platform',
			entry: 'directory',
			heartbeat: '1500ms',
			bounds,
			platform: {
				addr: store.address, form: 'table', writes_per_s: 400, reads_per_s: 2000, tx: '4ms', partition_writes_s: 250, row_bytes: 65_536, across: true, history: '20s',
			},
		}));
	}

	start() {
		const {folder, record} = this.deployment;
		const log = openSync(path.join(folder, `${this.id}.log`), 'a');
		const {PATH, HOME, LANG} = process.env;
		const [program, ...args] = readDeployFile().runWords;
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: ROOT, env: {PATH, HOME, LANG, APRICOTWOOD_SETTINGS: this.settingsPath}, stdio: ['ignore', log, log],
		});
		closeSync(log);
		this.#child = child;
		this.exited = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				record.write('host-exit', {host: this.id, code, signal});
				resolve();
			});
		});
		record.write('host-start', {host: this.id, pid: child.pid});
	}

	signal(name) {
		this.deployment.record.write('signal', {host: this.id, name});
		this.#child?.kill(name);
	}

	async waitUntilReady() {
		const endMs = Date.now() + READY_TIMEOUT_MS;
		while (Date.now() < endMs) {
			try {
				const {status} = await fetch(this.readyUrl, {signal: AbortSignal.timeout(500)});
				if (status === 200) {
					this.deployment.record.write('host-ready', {host: this.id});
					return;
				}
			} catch {
				// The process does not listen yet.
			}

			await delay(50);
		}

		throw new Error(`${this.id} is not ready after ${READY_TIMEOUT_MS} ms`);
	}

	/** Asks the directory of this host as a client does. */
	async resolve(name) {
		const res = await fetch(`${this.directoryUrl}?name=${name}&region=${this.region}&zone=${this.zone}`, {signal: AbortSignal.timeout(1000)});
		return res.json();
	}

	kill() {
		if (this.#child?.exitCode === null && this.#child.signalCode === null) {
			this.#child.kill('SIGKILL');
		}
	}
}

/** Settings and processes of a small deployment. */
export class Deployment {
	hosts = [];

	constructor(store, record, {regions, bounds}) {
		Object.assign(this, {store, record, regions, bounds});
		this.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	}

	async add(options) {
		const host = new Host(this, options);
		await host.prepare();
		this.hosts.push(host);
		return host;
	}

	/** Ends all processes. */
	async stop() {
		for (const host of this.hosts) {
			host.kill();
		}

		await Promise.all(this.hosts.map(({exited}) => exited));
		rmSync(this.folder, {recursive: true, force: true});
	}

	/** Ends all processes without waiting for their ends. */
	killNow() {
		for (const host of this.hosts) {
			host.kill();
		}

		rmSync(this.folder, {recursive: true, force: true});
	}
}
