import {HeldBytes, type Intake} from '@apricotwood/admission';
import type {Clock, Random} from '@apricotwood/clock';
import {hashText} from '@apricotwood/routing';
import {
	Placer, TrafficSplitter, WarmupLimiter, type LoadTracker, type ReportInterval, type RetryBudget, type ShutdownDeadline, type WaitingRequests,
} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {Dialect} from '../dialect.js';
import type {MemberList} from '../peer/members.js';
import {Ingress} from '../request/ingress.js';
import {RequestForwarder} from '../request/request-forwarder.js';
import {RetryDetector} from '../request/retry-detector.js';
import type {RunningAttempt, SessionDeps} from '../request/session-deps.js';
import type {ShutdownReport} from '../request/shutdown-report.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import {computeMaxIdleConnections, type ConnectionPool} from '../upstream/pool.js';
import {HostPhase, type HostLifecycle} from './phase.js';
import type {WorkerService} from './worker-service.js';

/** Dependencies of `createIngress`. */
export type CallerServiceDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly dialect: Dialect;
	/** Limits upstream retries. */
	readonly retryBudget: RetryBudget;
	readonly members: MemberList;
	readonly state: ReplicatedState;
	readonly lifecycle: HostLifecycle;
	readonly load: LoadTracker;
	readonly workers: WorkerService;
	/** Connections to other hosts. */
	readonly peerPool: ConnectionPool;
	readonly intake: Intake;
	readonly shutdownDeadline: ShutdownDeadline;
	readonly shutdownReport: ShutdownReport;
	readonly reportInterval: ReportInterval;
	readonly waiting: WaitingRequests<() => void>;
	readonly running: Set<RunningAttempt>;
	/** Called with the hashes of worker and object when a request with an affinity key is sent. */
	readonly onObjectSent: (worker: number, object: number) => void;
	/** Called when a worker may have free capacity. */
	readonly onCapacityFreed: () => void;
};

/** Creates what serves the callers of a host: the HTTP server, and what its sessions share to place requests on workers or to pass them on. */
export function createIngress(deps: CallerServiceDeps): Ingress {
	return new Ingress(deps.state, createSessionDeps(deps), deps.intake);
}

function createSessionDeps(deps: CallerServiceDeps): SessionDeps {
	const {clock, random, log, metrics, dialect, members, workers: {access, statistics, reports}} = deps;
	return {
		clock,
		random,
		log,
		metrics,
		dialect,
		placer: createPlacer(deps),
		pool: access.pool,
		peerPool: deps.peerPool,
		forwarder: createForwarder(deps),
		hostId: members.self.id,
		load: deps.load,
		objectCaches: statistics.objectCaches,
		serviceTimes: statistics.serviceTimes,
		workerHealth: access.health,
		availability: access.availability,
		workerFeedback: access.feedback,
		reachability: access.reachability,
		crashDetector: access.crashDetector,
		crashGuard: reports.crashGuard,
		roundTrips: access.roundTrips,
		retryBudget: deps.retryBudget,
		trafficSplitter: new TrafficSplitter(),
		retryDetector: new RetryDetector(),
		heldBytes: new HeldBytes(),
		pacer: deps.intake.pacer,
		waiting: deps.waiting,
		running: deps.running,
		reportInterval: deps.reportInterval,
		shutdownReport: deps.shutdownReport,
		...createQueries(deps),
		onObjectSent: deps.onObjectSent,
		onCapacityFreed: deps.onCapacityFreed,
	};
}

function createPlacer({members, state, load, workers: {access, statistics}, shutdownDeadline}: CallerServiceDeps): Placer {
	const {objectCaches, serviceTimes, rateLimiter} = statistics;
	const {health, roundTrips, availability} = access;
	const {id, region} = members.self;
	return new Placer({region}, {
		fleet: state.fleet,
		load,
		objectCaches,
		serviceTimes,
		health,
		roundTrips,
		warmupLimiter: new WarmupLimiter(hashText(id)),
		availability,
		rateLimiter,
		shutdownDeadline,
		countHosts: () => members.count,
		warmupPerSecond: service => state.table?.getService(service)?.warmupPerSecond,
	});
}

function createForwarder({clock, random, workers: {access, isolation}, shutdownDeadline, members}: CallerServiceDeps): RequestForwarder {
	return new RequestForwarder({
		clock, random, reachability: access.reachability, isolation, shutdownDeadline, region: members.self.region,
	});
}

/** Creates what sessions ask of the configuration, of the number of hosts and of the phase of this one. */
function createQueries({state, members, lifecycle}: CallerServiceDeps): Pick<SessionDeps, 'maxBodyBytes' | 'maxIdleConnections' | 'countHosts' | 'getConfigVersion' | 'isLeaving'> {
	return {
		maxBodyBytes: () => state.table?.config.limits.maxBodyBytes ?? 0,
		maxIdleConnections: service => computeMaxIdleConnections(state.table?.getService(service)?.maxConnections, members.count),
		countHosts: () => members.count,
		getConfigVersion: () => state.table?.version,
		isLeaving: () => lifecycle.phase === HostPhase.Leaving || lifecycle.phase === HostPhase.Closing,
	};
}
