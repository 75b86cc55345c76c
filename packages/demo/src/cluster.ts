import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {type Agreement} from '@apricotwood/agreement';
import {SystemClock} from '@apricotwood/clock';
import {
	StandinWorker, createAgreement, createInitialPatch, zonesOf, type Deployment,
} from '@apricotwood/standin';

const READY_POLL_MS = 50;
const CLUSTER_KEY = 'a-cluster-key-on-loopback-only';

export type ClusterOptions = {
	readonly deployment: Deployment;
	readonly hosts: number;
	/** Time that a stand-in worker takes for a request, ms. */
	readonly serviceMs: number;
	/** Least severe level that hosts log. @default error */
	readonly logLevel?: string;
	/** Whether the hosts' output is shown. @default false */
	readonly inheritOutput?: boolean;
};

/** An entry host in a process of its own. */
export type HostProcess = {
	readonly id: string;
	readonly region: string;
	readonly zone: string;
	readonly port: number;
	readonly pid: number;
	readonly child: ChildProcess;
};

/** A deployment as plain processes on loopback: hosts, a stand-in platform, and workers in this process. For development only. */
export class Cluster {
	readonly hosts: HostProcess[] = [];
	readonly workers = new Map<string, StandinWorker>();
	#platform: ChildProcess | undefined;
	platformPort = 0;
	#settingsFolder = '';

	private constructor(private readonly options: ClusterOptions) {}

	static async start(options: ClusterOptions): Promise<Cluster> {
		const cluster = new Cluster(options);
		cluster.#settingsFolder = await mkdtemp(join(tmpdir(), 'apricotwood-'));
		await cluster.#startPlatform();
		await cluster.#startWorkers();
		await Promise.all(Array.from({length: options.hosts}, async (_, index) => cluster.addHost(index)));
		const status = await cluster.post('/v1/agreement/patches', createInitialPatch(cluster.buildAgreement()));
		if (status !== 200) {
			throw new Error(`the first patch was answered with status ${status}`);
		}

		await cluster.waitUntilUnitsHeld();
		return cluster;
	}

	buildAgreement(): Agreement {
		return createAgreement(this.options.deployment, name => ({address: '127.0.0.1', port: this.workers.get(name)?.port ?? 1}));
	}

	/** Starts one more host; hosts go round the zones of the deployment. */
	async addHost(index: number): Promise<HostProcess> {
		const {deployment, logLevel = 'error', inheritOutput: inheritOutput = false} = this.options;
		const zones = deployment.regions.flatMap(region => zonesOf(region).map(zone => ({region, zone})));
		const location = zones[index % zones.length] ?? {region: '', zone: ''};
		const id = `host-${index + 1}`;
		const port = await findFreePort();
		const file = join(this.#settingsFolder, `${id}.json`);
		await writeFile(file, JSON.stringify({
			id, ...location, listen: {address: '127.0.0.1', port}, platform: {origin: `http://127.0.0.1:${this.platformPort}`}, clusterKey: CLUSTER_KEY, log: {level: logLevel},
		}));
		const child = fork(fileURLToPath(import.meta.resolve('@apricotwood/daemon/bin')), ['--config', file], {stdio: ['ignore', inheritOutput ? 'inherit' : 'ignore', 'inherit', 'ipc']});
		await waitUntilReachable(port);
		const host: HostProcess = {
			id, ...location, port, pid: child.pid ?? 0, child,
		};
		this.hosts.push(host);
		return host;
	}

	/** Waits until every host has an agreement in force and every worker's units are held. */
	async waitUntilUnitsHeld(): Promise<void> {
		for (;;) {
			const {resources} = await this.get<{resources: Array<{key: string; limit: number; held: Record<string, number>}>}>('/v1/ledger'); // eslint-disable-line no-await-in-loop
			const workers = resources.filter(({key}) => key.startsWith('worker/'));
			const areAllUnitsHeld = workers.length > 0 && workers.every(({limit, held}) => Object.values(held).reduce((sum, units) => sum + units, 0) === limit);
			if (areAllUnitsHeld) {
				return;
			}

			await delay(READY_POLL_MS); // eslint-disable-line no-await-in-loop
		}
	}

	async get<T>(path: string, host = this.hosts[0]): Promise<T> {
		const res = await fetch(`http://127.0.0.1:${host?.port}${path}`);
		return res.json() as Promise<T>;
	}

	/** @returns the status. */
	async post(path: string, body: unknown, host = this.hosts[0]): Promise<number> {
		const res = await fetch(`http://127.0.0.1:${host?.port}${path}`, {method: 'POST', body: JSON.stringify(body)});
		await res.text();
		return res.status;
	}

	/** Switches faults of the platform, or asks for its counts. */
	async callPlatform<T>(path: string, body: unknown = {}): Promise<T> {
		const res = await fetch(`http://127.0.0.1:${this.platformPort}${path}`, {method: 'POST', body: JSON.stringify(body)});
		return ((await res.json()) as {result: T}).result;
	}

	killPlatform(): void {
		this.#platform?.kill('SIGKILL');
	}

	/** Ends one host without warning. */
	async killHost(host: HostProcess): Promise<void> {
		this.hosts.splice(this.hosts.indexOf(host), 1);
		host.child.kill('SIGKILL');
		await once(host.child, 'exit');
	}

	/** Stops all hosts gracefully, then everything else. */
	async stop(isGraceful = false): Promise<void> {
		await Promise.all(this.hosts.map(async ({child}) => {
			const exited = once(child, 'exit');
			child.kill(isGraceful ? 'SIGTERM' : 'SIGKILL');
			await exited;
		}));
		this.killPlatform();
		await Promise.all(Array.from(this.workers.values(), async worker => worker.stop()));
		await rm(this.#settingsFolder, {recursive: true});
	}

	async #startPlatform(): Promise<void> {
		const child = fork(fileURLToPath(new URL('platform.js', import.meta.resolve('@apricotwood/demo'))));
		const [message] = await once(child, 'message') as [{port: number}];
		this.platformPort = message.port;
		this.#platform = child;
	}

	async #startWorkers(): Promise<void> {
		const clock = new SystemClock();
		for (const {name, workers, slots} of this.options.deployment.services) {
			for (let index = 1; index <= workers; index++) {
				const worker = new StandinWorker({
					name: `${name}-${index}`, clock, slots, serviceMs: this.options.serviceMs,
				});
				this.workers.set(worker.name, worker);
				await worker.start(); // eslint-disable-line no-await-in-loop
			}
		}
	}
}

async function findFreePort(): Promise<number> {
	const probe = new StandinWorker({name: 'probe', clock: new SystemClock(), slots: 1});
	await probe.start();
	const {port} = probe;
	await probe.stop();
	return port;
}

async function waitUntilReachable(port: number): Promise<void> {
	for (;;) {
		try {
			const res = await fetch(`http://127.0.0.1:${port}/livez`); // eslint-disable-line no-await-in-loop
			await res.text(); // eslint-disable-line no-await-in-loop
			return;
		} catch {
			await delay(READY_POLL_MS); // eslint-disable-line no-await-in-loop
		}
	}
}
