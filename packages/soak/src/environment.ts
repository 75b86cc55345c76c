import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {
	FakeStoreMode, FakeStore, WorkerFault, callerAddress, createOperatorConfig, createIdempotentRoute,
} from '@apricotwood/platform/standin';
import {WORKER_IP_VARIABLE} from './build.js';
import {HostProcess, STOP_TIMEOUT_MS} from './host.js';
import {HostStops} from './host-stops.js';
import {FaultKind} from './plan.js';
import {Link} from './proxy.js';
import {createLongRoutes} from './routes.js';
import {CRASHING_PATH, WorkerEndpoint} from './worker-endpoint.js';
import {
	createRecords, type ChangeNotice, type CrashingRequest, type Disturbance, type HostStop, type Period, type SoakRecords,
} from './records.js';

/** Size and files of an environment. */
export type EnvironmentOptions = {
	/** Number of host processes. */
	readonly hostCount: number;
	/** Path of the bundle that the hosts run. */
	readonly program: string;
	/** Path of the bundle of an earlier build. Every other host begins with it, and a host that is stopped starts again with the other build. @default none */
	readonly oldProgram?: string;
	/** Directory for the settings and logs of the hosts. */
	readonly directory: string;
};

/** Availability zones. */
export const ZONES = ['a1', 'a2', 'b1'] as const;
/** Region of each availability zone. */
export const REGIONS: Readonly<Record<string, string>> = {a1: 'a', a2: 'a', b1: 'b'};
const SERVICES = ['board', 'desk'] as const;
const WORKERS_PER_SERVICE = 4;
/** Routes for calls that take up to seconds. */
const LONG_ROUTES = createLongRoutes(SERVICES[0]);
/** Time limit for all hosts to become ready after the start, ms. */
const START_TIMEOUT_MS = 30_000;
/** Time limit for all hosts to become ready after the last fault, ms. */
const RECOVERY_TIMEOUT_MS = 15_000;
/** Second octet of the first loopback network. The process id selects the network to try first, so that parallel runs use different ones. */
const FIRST_NETWORK_OCTET = 20;
/** Number of loopback networks. */
const NETWORK_COUNT = 200;
/** First third octet of the addresses of hosts, and of their links to workers. */
const HOST_SUBNET = 0;
const WORKER_LINK_SUBNET = 100;
/** Number of host addresses per third octet. */
const HOSTS_PER_SUBNET = 250;
/** Port that a run binds on an address of its network to reserve the network. */
const RESERVATION_PORT = 7600;

/** Store, workers, links and host processes of one run, with the records of what happens in it. */
export class SoakEnvironment {
	readonly records: SoakRecords = createRecords();
	readonly store = new FakeStore();
	readonly hosts: HostProcess[] = [];
	/** Links to the store by host id. */
	readonly storeLinks = new Map<string, Link>();
	/** Links to the hosts by the address that the directories return to callers. */
	readonly callerLinks = new Map<string, Link>();
	readonly workerEndpoints: WorkerEndpoint[] = [];
	readonly evacuatedZones = new Set<string>();
	/** Id of each host by the address of its links to the workers. */
	readonly #hostIdByLinkIp = new Map<string, string>();
	/** Ends the record of each host that runs the earlier build. */
	readonly #endsOfOldBuilds = new Map<string, () => void>();
	readonly hostStops = new HostStops(this);
	/** Stops and starts of hosts that are in progress. */
	readonly #restarts = new Map<HostProcess, Promise<void>>();
	#configVersion = 1;
	readonly #extraRoutes: Array<readonly unknown[]> = [...LONG_ROUTES];

	constructor(private readonly options: EnvironmentOptions) {}

	/** Starts everything and waits until all hosts are ready. @throws if a host is not ready in time. */
	async start(): Promise<void> {
		await this.store.start();
		this.#writeConfig();
		const network = await reserveNetwork();
		const ips = createHostIps(network, HOST_SUBNET, this.options.hostCount);
		const linkIps = createHostIps(network, WORKER_LINK_SUBNET, this.options.hostCount);
		for (const service of SERVICES) {
			for (let index = 0; index < WORKERS_PER_SERVICE; index++) {
				const zone = ZONES[index % ZONES.length]!;
				this.workerEndpoints.push(new WorkerEndpoint(`${service}${index}-${zone}`, service, zone, this.store, linkIps, () => this.#recordCrash(`${service}${index}-${zone}`)));
			}
		}

		await Promise.all(this.workerEndpoints.map(async endpoint => endpoint.start()));
		for (const [index, ip] of ips.entries()) {
			await this.#addHost(`host-${index}`, ip, ZONES[index % ZONES.length]!, ips.slice(0, 2), linkIps[index]!); // eslint-disable-line no-await-in-loop
		}

		for (const host of this.hosts) {
			host.start();
		}

		const unreadyHosts = await this.#waitUntilReady(START_TIMEOUT_MS);
		if (unreadyHosts.length > 0) {
			throw new Error(`hosts not ready after ${START_TIMEOUT_MS} ms: ${unreadyHosts.join(', ')}`);
		}
	}

	/** Adds a route to the configuration. @returns its path prefix. */
	addRoute(): string {
		const name = `new${this.#extraRoutes.length - LONG_ROUTES.length}`;
		this.#extraRoutes.push(createIdempotentRoute(name, 'desk'));
		this.#writeConfig();
		return `/${name}/`;
	}

	/** Writes again what the operator and the workers have written to the store. */
	rewriteStore(): void {
		this.#writeConfig();
		for (const zone of ZONES) {
			if (this.evacuatedZones.has(zone)) {
				this.store.evacuate(zone);
			} else {
				this.store.endEvacuation(zone);
			}
		}

		for (const endpoint of this.workerEndpoints) {
			endpoint.rewrite();
		}
	}

	/** Records the start of a disturbance; the caller sets its end. @param endsCalls see `Disturbance`. */
	recordDisturbance(kind: FaultKind, subject: string, endsCalls = false): Disturbance {
		const disturbance = {
			kind, subject, endsCalls, fromMs: Date.now(), untilMs: Number.POSITIVE_INFINITY,
		};
		this.records.disturbances.push(disturbance);
		return disturbance;
	}

	/** Records in `periods` that something holds from now on. @returns a function that ends it. */
	recordPeriod<T extends Period>(periods: T[], create: (period: Period) => T): () => void {
		const period = create({fromMs: Date.now(), untilMs: Number.POSITIVE_INFINITY});
		periods.push(period);
		return () => {
			period.untilMs = Date.now();
		};
	}

	/** Records a new request that crashes workers, which callers send from now on; the caller sets the end. */
	recordCrashingRequest(): CrashingRequest {
		const {crashingRequests} = this.records;
		const request = {url: `${CRASHING_PATH}${crashingRequests.length}?filler=0`, fromMs: Date.now(), untilMs: Number.POSITIVE_INFINITY};
		crashingRequests.push(request);
		return request;
	}

	/** Records that a host reaches no worker from now on. @returns a function that ends it. */
	recordIsolation(host: string): () => void {
		const isolation = {
			kind: FaultKind.HostIsolated, subject: host, fromMs: Date.now(), untilMs: Number.POSITIVE_INFINITY,
		};
		this.records.isolations.push(isolation);
		return () => {
			isolation.untilMs = Date.now();
		};
	}

	/** Records that a worker is down. @returns a function that ends it. */
	#recordCrash(worker: string): () => void {
		const disturbance = this.recordDisturbance(FaultKind.CrashingRequest, worker, true);
		return () => {
			disturbance.untilMs = Date.now();
		};
	}

	/** Records a change in the store; the caller sets the time at which it is reverted. */
	recordNotice(what: ChangeNotice['what'], subject: string): ChangeNotice {
		const notice: ChangeNotice = {
			what, subject, atMs: Date.now(), untilMs: undefined,
		};
		this.records.notices.push(notice);
		return notice;
	}

	/** Stops a host by SIGTERM, as operators do, and starts it again after its exit, with the other build if there are two. Kills it if it does not exit in time. A host that is being stopped gets another signal. */
	async restartHost(host: HostProcess): Promise<void> {
		const running = this.#restarts.get(host);
		if (running) {
			host.sendSignal('SIGTERM');
			await running;
			return;
		}

		const restart = this.#restart(host);
		this.#restarts.set(host, restart);
		await restart;
		this.#restarts.delete(host);
	}

	async #restart(host: HostProcess): Promise<void> {
		const stop: HostStop = {host: host.options.id, atMs: Date.now(), endAtMs: undefined};
		this.records.stops.push(stop);
		host.sendSignal('SIGTERM');
		if (await host.waitForExit(STOP_TIMEOUT_MS)) {
			stop.endAtMs = Date.now();
		} else {
			host.sendSignal('SIGKILL');
			await host.waitForExit(STOP_TIMEOUT_MS);
		}

		this.#switchBuild(host);
		host.start();
	}

	#switchBuild(host: HostProcess): void {
		const {program, oldProgram} = this.options;
		// Another stop of the host that overlapped has started it already.
		if (oldProgram === undefined || host.isRunning) {
			return;
		}

		const isOld = host.program === oldProgram;
		host.program = isOld ? program : oldProgram;
		if (isOld) {
			this.#endsOfOldBuilds.get(host.options.id)?.();
		} else {
			this.#recordOldBuild(host.options.id);
		}
	}

	#recordOldBuild(host: string): void {
		this.#endsOfOldBuilds.set(host, this.recordPeriod(this.records.oldBuilds, period => ({...period, host})));
	}

	/** Clears all faults and waits until all hosts are ready. @returns ids and process states of hosts that are not ready in time. */
	async clearFaults(): Promise<string[]> {
		this.store.mode = FakeStoreMode.Healthy;
		this.store.dropsWriteResponses = false;
		for (const link of [...this.storeLinks.values(), ...this.callerLinks.values(), ...this.workerEndpoints.map(endpoint => endpoint.links)]) {
			link.clearFaults();
		}

		for (const endpoint of this.workerEndpoints) {
			endpoint.worker.fault = WorkerFault.None;
			endpoint.register('ready');
		}

		for (const zone of ZONES) {
			this.store.endEvacuation(zone);
		}

		for (const host of this.hosts) {
			host.sendSignal('SIGCONT');
			host.start();
		}

		return this.#waitUntilReady(RECOVERY_TIMEOUT_MS);
	}

	/** Stops everything and collects the requests that the workers executed. */
	async stop(): Promise<void> {
		for (const host of this.hosts) {
			host.sendSignal('SIGCONT');
			host.sendSignal('SIGKILL');
		}

		await Promise.all(this.hosts.map(async host => host.waitForExit(STOP_TIMEOUT_MS)));
		const links = [...this.storeLinks.values(), ...this.callerLinks.values()];
		await Promise.all([...links, ...this.workerEndpoints].map(async component => component.stop()));
		await this.store.stop();
		this.records.runs.push(...this.workerEndpoints.flatMap(({worker}) => worker.executedRequests));
		this.records.arrivals.push(...this.workerEndpoints.flatMap(({id: worker, worker: {receivedRequests}}) => receivedRequests.map(({id, atMs, headAtMs, from}) => ({
			id, worker, atMs, headAtMs, sender: this.#hostIdByLinkIp.get(from ?? ''),
		}))));
	}

	/** @returns ids and process states of hosts that are not ready in time. */
	async #waitUntilReady(timeoutMs: number): Promise<string[]> {
		const deadlineMs = Date.now() + timeoutMs;
		const unreadyHosts: string[] = [];
		for (const host of this.hosts) {
			let isReady = await host.isReady(); // eslint-disable-line no-await-in-loop
			while (!isReady && Date.now() < deadlineMs) {
				await pause(50); // eslint-disable-line no-await-in-loop
				isReady = await host.isReady(); // eslint-disable-line no-await-in-loop
			}

			if (!isReady) {
				unreadyHosts.push(`${host.options.id}: ${host.describeState()}`);
			}
		}

		return unreadyHosts;
	}

	async #addHost(id: string, ip: string, zone: string, seeds: readonly string[], workerLinkIp: string): Promise<void> {
		const storeLink = await new Link(() => this.store.address).start();
		const callerLink = await new Link(() => callerAddress(ip)).start();
		this.storeLinks.set(id, storeLink);
		this.callerLinks.set(callerAddress(ip), callerLink);
		this.#hostIdByLinkIp.set(workerLinkIp, id);
		const {program, oldProgram = program} = this.options;
		const isOld = oldProgram !== program && this.hosts.length % 2 === 1;
		if (isOld) {
			this.#recordOldBuild(id);
		}

		this.hosts.push(new HostProcess({
			id, ip, zone, storeAddress: storeLink.address, seeds, regionByZone: REGIONS,
		}, isOld ? oldProgram : program, path.resolve(this.options.directory), {[WORKER_IP_VARIABLE]: workerLinkIp}, exit => {
			this.records.exits.push(exit);
		}));
	}

	#writeConfig(): void {
		this.#configVersion++;
		this.store.putConfig(createOperatorConfig(this.#configVersion, SERVICES, this.#extraRoutes));
	}
}

/** Creates an address for each host. */
function createHostIps(network: number, subnet: number, hostCount: number): string[] {
	return Array.from({length: hostCount}, (_, index) => `127.${network}.${subnet + Math.floor(index / HOSTS_PER_SUBNET)}.${(index % HOSTS_PER_SUBNET) + 1}`);
}

/** Reserves a loopback network for this run. @returns its second octet. @throws if all networks are in use. */
async function reserveNetwork(): Promise<number> {
	for (let attempt = 0; attempt < NETWORK_COUNT; attempt++) {
		const network = FIRST_NETWORK_OCTET + ((process.pid + attempt) % NETWORK_COUNT);
		const reservation = createServer();
		const isFree = await new Promise<boolean>(resolve => { // eslint-disable-line no-await-in-loop
			reservation.on('error', () => {
				resolve(false);
			});
			reservation.listen(RESERVATION_PORT, `127.${network}.255.1`, () => {
				resolve(true);
			});
		});
		if (isFree) {
			// The port stays bound until this process exits.
			reservation.unref();
			return network;
		}
	}

	throw new Error('all loopback networks are in use');
}
