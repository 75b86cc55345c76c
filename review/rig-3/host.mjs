/* eslint-disable camelcase, no-await-in-loop -- the names of the pages; steps that follow each other; the exit code is the result */
// Starts hosts as processes of their own, with the command of the deploy file.
import {spawn} from 'node:child_process';
import {openSync, closeSync, readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const repository = path.resolve(import.meta.dirname, '../..');
const [, command] = /^run = "(.*)"$/m.exec(readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8'));
const hosts = new Set();

process.once('exit', () => {
	for (const host of hosts) {
		host.signal('SIGKILL');
	}
});

export class Host {
	#child;
	exits = [];

	/** @param options `id`, `ip`, `zone`, `zones`, `storeAddress`, `directory`, `bounds`. */
	constructor(options) {
		this.options = options;
		hosts.add(this);
	}

	get address() {
		return `${this.options.ip}:8641`;
	}

	get isRunning() {
		return this.#child !== undefined;
	}

	get pid() {
		return this.#child?.pid;
	}

	start() {
		const {id, ip, zone, zones, storeAddress, directory, bounds = {}} = this.options;
		const settingsPath = path.join(directory, `${id}.json`);
		writeFileSync(settingsPath, JSON.stringify({
			node: id,
			role: 'entry',
			machine_class: 'edge',
			serves: ['edge', 'directory'],
			ip,
			zone,
			region: zones[zone],
			internal_ports: [7620, 7635],
			seed_nodes: [],
			bootstrap: true,
			discovery: 'platform',
			entry: 'directory',
			heartbeat: '1500ms',
			zones,
			listen_addrs: {edge_addr: `${ip}:8641`, ready_addr: `${ip}:8640`, directory: `${ip}:8644`},
			limits: {cpu_share: 0.54, vcpus: 1, memory_mb: 350, max_fds: 4100, bandwidth_mbps: 1000},
			fault_tolerance: {machines: 1, zones: 1, regions: 1},
			bounds: {
				contact: '3000ms', ack: '4000ms', drain: '2000ms', grace: '6s', loss_slack: '200ms', config_apply: '2000ms', budget_ratio: 0.2, budget_window: '10s', budget_extra: 60, evacuation: '5000ms', ttl_max: '5s', ...bounds,
			},
			platform: {addr: storeAddress, form: 'table', writes_per_s: 400, reads_per_s: 2000, row_bytes: 65_536, history: '20s'},
		}));
		const log = openSync(path.join(directory, `${id}.log`), 'a');
		const [program, ...args] = command.split(' ');
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: repository, env: {PATH: process.env.PATH, HOME: process.env.HOME, APRICOTWOOD_SETTINGS: settingsPath}, stdio: ['ignore', log, log],
		});
		closeSync(log);
		this.#child = child;
		child.on('exit', (code, signal) => {
			this.exits.push({code, signal, atMs: Date.now()});
			if (this.#child === child) {
				this.#child = undefined;
			}
		});
	}

	signal(name) {
		this.#child?.kill(name);
	}

	async isReady() {
		return new Promise(resolve => {
			const req = get({host: this.options.ip, port: 8640, path: '/v1/readiness', timeout: 500, agent: false}, res => {
				res.resume();
				resolve(res.statusCode === 200);
			});
			req.on('timeout', () => req.destroy());
			req.on('error', () => resolve(false));
		});
	}

	async waitUntilReady(timeoutMs = 20_000) {
		const untilMs = Date.now() + timeoutMs;
		while (Date.now() < untilMs) {
			if (await this.isReady()) {
				return true;
			}

			await sleep(50);
		}

		return false;
	}

	async waitForExit(timeoutMs) {
		const untilMs = Date.now() + timeoutMs;
		while (this.#child && Date.now() < untilMs) {
			await sleep(10);
		}

		return !this.#child;
	}
}
