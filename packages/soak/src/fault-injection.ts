import {setTimeout as pause} from 'node:timers/promises';
import {SeededRandom, type Random} from '@apricotwood/clock';
import {FakeStoreMode, WorkerFault} from '@apricotwood/platform/standin';
import {CROWD_VARIANTS, openCrowd} from './crowds.js';
import type {HostProcess} from './host.js';
import {ODD_WRITERS} from './odd-entries.js';
import {FaultKind, type Fault} from './plan.js';
import {STORE_SUBJECT} from './promises.js';
import {LinkState, type Link} from './proxy.js';
import {ZONES, type SoakEnvironment} from './environment.js';
import type {WorkerEndpoint} from './worker-endpoint.js';

/** Variants of the link faults. */
const LINK_FAULTS = [LinkState.Delayed, LinkState.Reset, LinkState.Silent, LinkState.OneWay] as const;
/** Variants of `FaultKind.WorkerFails`. */
const WORKER_FAULTS = [
	WorkerFault.Reject, WorkerFault.Reset, WorkerFault.NoResponse, WorkerFault.Unframed, WorkerFault.Truncate, WorkerFault.ExtraResponse, WorkerFault.Slow, WorkerFault.ServerError, WorkerFault.UnframedReset,
] as const;

/** Faults with which a worker breaks off what it has run. */
const CUTTING_FAULTS: ReadonlySet<WorkerFault> = new Set([
	WorkerFault.Reset, WorkerFault.NoResponse, WorkerFault.Truncate, WorkerFault.UnframedReset, WorkerFault.CutHead, WorkerFault.EndlessHead, WorkerFault.EndlessBody,
]);
/** Variants of `FaultKind.WorkerEndless`. */
const ENDLESS_FAULTS = [WorkerFault.EndlessHead, WorkerFault.EndlessBody] as const;
/** Bounds of the limits that workers name, requests per second. */
const MIN_RATE_LIMIT = 0.5;
const MAX_RATE_LIMIT = 6;
/** Bounds of the times that workers tell hosts to wait, ms. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 4000;
const MS_PER_SECOND = 1000;
/** Variants of `FaultKind.HostIsolated` from which a whole zone is cut off, from 0 to 1. */
const WHOLE_ZONE_FROM = 2 / 3;
/** Path that crowds send their bodies to. */
const CROWD_ROUTE = '/load/crowd';
/** Longest time until what a restored store has lost is written again, ms. */
const MAX_REWRITE_DELAY_MS = 1500;

/** Selects an element. @param fraction from 0 to 1 (exclusive). */
function pick<T>(list: readonly T[], fraction: number): T {
	return list[Math.floor(fraction * list.length)]!;
}

type FaultInjector = (environment: SoakEnvironment, fault: Fault) => Promise<void>;

const INJECTORS: Readonly<Record<FaultKind, FaultInjector>> = {
	[FaultKind.HostKill]: async (environment, fault) => cutHost(environment, fault, async host => {
		host.sendSignal('SIGKILL');
		await pause(fault.forMs);
		host.start();
	}),
	async [FaultKind.HostStop](environment, fault) {
		const host = selectHost(environment, fault);
		await withDisturbance(environment, fault, host.options.id, async () => environment.restartHost(host));
	},
	[FaultKind.HostStopLongCalls]: async (environment, fault) => environment.hostStops.stop(selectHost(environment, fault), createRandom(fault)),
	[FaultKind.HostStopsInTurn]: async (environment, fault) => environment.hostStops.stopInTurn(createRandom(fault)),
	[FaultKind.HostPause]: async (environment, fault) => cutHost(environment, fault, async host => {
		host.sendSignal('SIGSTOP');
		await pause(fault.forMs);
		host.sendSignal('SIGCONT');
	}),
	async [FaultKind.HostReload](environment, fault) {
		selectHost(environment, fault).sendSignal('SIGHUP');
	},
	[FaultKind.StoreLink]: async (environment, fault) =>
		disturbLink(environment, fault, environment.storeLinks.get(selectHost(environment, fault).options.id)!, selectHost(environment, fault).options.id),
	[FaultKind.CallerLink]: async (environment, fault) =>
		disturbLink(environment, fault, environment.callerLinks.get(selectHost(environment, fault).address)!, selectHost(environment, fault).options.id),
	[FaultKind.WorkerLink]: async (environment, fault) => disturbLink(environment, fault, selectEndpoint(environment, fault).links, selectEndpoint(environment, fault).id),
	[FaultKind.StoreBusy]: async (environment, fault) => setStoreMode(environment, fault, FakeStoreMode.Unavailable),
	[FaultKind.StoreSilent]: async (environment, fault) => setStoreMode(environment, fault, FakeStoreMode.Unresponsive),
	[FaultKind.StoreLosesAnswers]: async (environment, fault) => withDisturbance(environment, fault, STORE_SUBJECT, async () => {
		environment.store.dropsWriteResponses = true;
		await pause(fault.forMs);
		environment.store.dropsWriteResponses = false;
	}),
	[FaultKind.StoreForgets]: async (environment, fault) => withDisturbance(environment, fault, STORE_SUBJECT, async () => {
		environment.store.compact();
	}),
	[FaultKind.StoreRestore]: async (environment, fault) => withDisturbance(environment, fault, STORE_SUBJECT, async () => {
		environment.store.makeCopy();
		await pause(fault.forMs);
		environment.store.restoreCopy();
		await pause(MAX_REWRITE_DELAY_MS * fault.how);
		environment.rewriteStore();
	}),
	[FaultKind.WorkerFails]: async (environment, fault) => failWorker(environment, fault, pick(WORKER_FAULTS, fault.how)),
	[FaultKind.WorkerEndless]: async (environment, fault) => failWorker(environment, fault, pick(ENDLESS_FAULTS, fault.how)),
	[FaultKind.WorkerRepeats]: async (environment, fault) => failWorker(environment, fault, WorkerFault.LateRejection),
	[FaultKind.WorkerCutsHeads]: async (environment, fault) => failWorker(environment, fault, WorkerFault.CutHead),
	[FaultKind.OddEntry]: leaveOddEntry,
	[FaultKind.WorkerLimit]: limitWorker,
	[FaultKind.WorkerLeaving]: leaveByResponse,
	[FaultKind.WorkerBackoff]: rejectWithBackoff,
	[FaultKind.WorkerDrain]: async (environment, fault) => withdrawWorker(environment, fault, 'draining', endpoint => {
		endpoint.register('draining');
	}),
	[FaultKind.WorkerGone]: async (environment, fault) => withdrawWorker(environment, fault, 'gone', endpoint => {
		endpoint.unregister();
	}),
	// No disturbance is recorded: ordinary callers are owed what they are owed without the crowd.
	[FaultKind.Crowd]: async (environment, fault) => openCrowd(selectHost(environment, fault).address, CROWD_ROUTE, pick(CROWD_VARIANTS, fault.how), fault.forMs),
	[FaultKind.HostIsolated]: isolateHosts,
	async [FaultKind.CrashingRequest](environment, fault) {
		const request = environment.recordCrashingRequest();
		await pause(fault.forMs);
		request.untilMs = Date.now();
	},
	[FaultKind.AddressReuse]: reuseAddress,
	async [FaultKind.ConfigChange](environment) {
		environment.recordNotice('route-added', environment.addRoute());
	},
	async [FaultKind.Evacuation](environment, fault) {
		const zone = pick(ZONES, fault.target);
		if (environment.evacuatedZones.has(zone)) {
			return;
		}

		environment.evacuatedZones.add(zone);
		environment.store.evacuate(zone);
		const notice = environment.recordNotice('evacuated', zone);
		await pause(fault.forMs);
		notice.untilMs = Date.now();
		environment.store.endEvacuation(zone);
		environment.evacuatedZones.delete(zone);
	},
};

/** Injects one fault and waits until it is undone. */
export async function injectFault(environment: SoakEnvironment, fault: Fault): Promise<void> {
	await INJECTORS[fault.kind](environment, fault);
}

function selectHost(environment: SoakEnvironment, {target}: Fault): HostProcess {
	return pick(environment.hosts, target);
}

function selectEndpoint(environment: SoakEnvironment, {target}: Fault): WorkerEndpoint {
	return pick(environment.workerEndpoints, target);
}

/** Kills or pauses a host. */
async function cutHost(environment: SoakEnvironment, fault: Fault, run: (host: HostProcess) => Promise<void>): Promise<void> {
	const host = selectHost(environment, fault);
	await withDisturbance(environment, fault, host.options.id, async () => run(host), true);
}

/** Random numbers for what a fault draws itself. */
function createRandom({how}: Fault): Random {
	return new SeededRandom(Math.floor(how * (2 ** 32)));
}

async function setStoreMode(environment: SoakEnvironment, fault: Fault, mode: FakeStoreMode): Promise<void> {
	await withDisturbance(environment, fault, STORE_SUBJECT, async () => {
		environment.store.mode = mode;
		await pause(fault.forMs);
		environment.store.mode = FakeStoreMode.Healthy;
	});
}

/** Runs `withdraw` and registers the worker as restarted after the duration of the fault. */
async function withdrawWorker(environment: SoakEnvironment, fault: Fault, what: 'draining' | 'gone', withdraw: (endpoint: WorkerEndpoint) => void): Promise<void> {
	const endpoint = selectEndpoint(environment, fault);
	if (endpoint.isLeaving) {
		return;
	}

	endpoint.isLeaving = true;
	const notice = environment.recordNotice(what, endpoint.id);
	withdraw(endpoint);
	await pause(fault.forMs);
	notice.untilMs = Date.now();
	endpoint.registerNewIncarnation();
	endpoint.isLeaving = false;
}

/** Cuts one host, or in a third of the cases all of its zone, off from the workers. */
async function isolateHosts(environment: SoakEnvironment, fault: Fault): Promise<void> {
	const {hosts, workerEndpoints} = environment;
	const selected = selectHost(environment, fault);
	const isZone = fault.how > WHOLE_ZONE_FROM;
	const doesReset = fault.how * 2 % 1 < 0.5;
	const ends: Array<() => void> = [];
	for (const [index, host] of hosts.entries()) {
		if (host !== selected && !(isZone && host.options.zone === selected.options.zone)) {
			continue;
		}

		ends.push(environment.recordIsolation(host.options.id));
		for (const {links} of workerEndpoints) {
			const link = links.get(index);
			ends.push(link.startFault(LinkState.Refusing));
			if (doesReset) {
				link.resetConnections();
			}
		}
	}

	await pause(fault.forMs);
	for (const end of ends) {
		end();
	}
}

/** Writes an entry that cannot be used among those of the workers or hosts; that of a worker is removed after the duration of the fault. */
async function leaveOddEntry({store}: SoakEnvironment, fault: Fault): Promise<void> {
	const id = `odd-${fault.atMs}`;
	pick(ODD_WRITERS, fault.how)(store, id, 'board');
	await pause(fault.forMs);
	store.deleteWorker(id);
}

/** Makes a worker of another service respond at the worker's address for the duration of the fault. */
async function reuseAddress(environment: SoakEnvironment, fault: Fault): Promise<void> {
	const endpoint = selectEndpoint(environment, fault);
	const otherEndpoint = environment.workerEndpoints.find(({service}) => service !== endpoint.service)!;
	await withDisturbance(environment, fault, endpoint.id, async () => {
		endpoint.servingWorker = otherEndpoint.worker;
		endpoint.links.resetConnections();
		await pause(fault.forMs);
		endpoint.servingWorker = endpoint.worker;
		endpoint.links.resetConnections();
	}, true);
}

async function failWorker(environment: SoakEnvironment, fault: Fault, workerFault: WorkerFault): Promise<void> {
	const {worker, id} = selectEndpoint(environment, fault);
	await withDisturbance(environment, fault, id, async () => {
		worker.fault = workerFault;
		await pause(fault.forMs);
		worker.fault = WorkerFault.None;
	}, CUTTING_FAULTS.has(workerFault));
}

/** Makes a worker name a limit for the duration of the fault, unless it names one already. */
async function limitWorker(environment: SoakEnvironment, fault: Fault): Promise<void> {
	const {worker, id} = selectEndpoint(environment, fault);
	if (worker.rateLimit !== undefined) {
		return;
	}

	const perSecond = MIN_RATE_LIMIT + ((MAX_RATE_LIMIT - MIN_RATE_LIMIT) * fault.how);
	worker.rateLimit = perSecond;
	const end = environment.recordPeriod(environment.records.limits, period => ({...period, worker: id, perSecond}));
	await pause(fault.forMs);
	end();
	worker.rateLimit = undefined;
}

/** Makes a worker say in its responses that it is leaving, while its entry in the store stays, and start again after the duration of the fault. */
async function leaveByResponse(environment: SoakEnvironment, fault: Fault): Promise<void> {
	const endpoint = selectEndpoint(environment, fault);
	if (endpoint.isLeaving) {
		return;
	}

	endpoint.isLeaving = true;
	endpoint.worker.isDraining = true;
	const end = environment.recordPeriod(environment.records.leavings, period => ({...period, worker: endpoint.id}));
	await pause(fault.forMs);
	end();
	endpoint.worker.isDraining = false;
	endpoint.registerNewIncarnation();
	endpoint.isLeaving = false;
}

/** Makes a worker reject all requests and tell the hosts to wait, for the duration of the fault. */
async function rejectWithBackoff(environment: SoakEnvironment, fault: Fault): Promise<void> {
	const {worker, id} = selectEndpoint(environment, fault);
	if (worker.retryAfter !== undefined) {
		return;
	}

	const retryAfterMs = Math.round(MIN_RETRY_AFTER_MS + ((MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS) * fault.how));
	worker.retryAfter = String(retryAfterMs / MS_PER_SECOND);
	const end = environment.recordPeriod(environment.records.backoffs, period => ({...period, worker: id, retryAfterMs}));
	await pause(fault.forMs);
	end();
	worker.retryAfter = undefined;
}

async function disturbLink(environment: SoakEnvironment, fault: Fault, link: Pick<Link, 'startFault'>, subject: string): Promise<void> {
	const state = pick(LINK_FAULTS, fault.how);
	await withDisturbance(environment, fault, subject, async () => {
		const endFault = link.startFault(state);
		await pause(fault.forMs);
		endFault();
	}, fault.kind !== FaultKind.StoreLink && state !== LinkState.Delayed);
}

/** Records a disturbance of the subject for as long as `run` takes. @param endsCalls see `Disturbance`. */
async function withDisturbance(environment: SoakEnvironment, {kind}: Fault, subject: string, run: () => Promise<void>, endsCalls = false): Promise<void> {
	const disturbance = environment.recordDisturbance(kind, subject, endsCalls);
	await run();
	disturbance.untilMs = Date.now();
}
