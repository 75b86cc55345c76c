import type {HeldBytes, ReadPacer} from '@apricotwood/admission';
import type {Clock, Random} from '@apricotwood/clock';
import type {
	RoundTripTimes, LoadTracker, Placer, ReachabilityTracker, ReportInterval, RetryBudget, TrafficSplitter, ServiceTimeEstimator, WaitingRequests, ObjectCacheModel, WorkerAvailability, WorkerHealthTracker,
} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {Dialect} from '../dialect.js';
import type {CrashDetector} from '../upstream/crash-detector.js';
import type {ConnectionPool} from '../upstream/pool.js';
import type {WorkerFeedback} from '../upstream/worker-feedback.js';
import type {CrashGuard} from './crash-guard.js';
import type {RequestForwarder} from './request-forwarder.js';
import type {RetryDetector} from './retry-detector.js';
import type {ShutdownReport} from './shutdown-report.js';

/** An attempt that is waiting for a response. */
export type RunningAttempt = {
	/** Monotonic ms. */
	readonly startAtMs: number;
	/** Hash of the worker's id. */
	readonly worker: number;
	/** Expected duration of the attempt, ms. */
	readonly expectedMs: number;
};

/** Dependencies that all sessions of a host share. */
export type SessionDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly dialect: Dialect;
	readonly placer: Placer;
	readonly pool: ConnectionPool;
	/** Connections to other hosts. */
	readonly peerPool: ConnectionPool;
	readonly forwarder: RequestForwarder;
	/** Id of this host. */
	readonly hostId: string;
	readonly load: LoadTracker;
	readonly objectCaches: ObjectCacheModel;
	readonly serviceTimes: ServiceTimeEstimator;
	readonly workerHealth: WorkerHealthTracker;
	readonly availability: WorkerAvailability;
	readonly workerFeedback: WorkerFeedback;
	readonly reachability: ReachabilityTracker;
	readonly crashDetector: CrashDetector;
	readonly crashGuard: CrashGuard;
	readonly roundTrips: RoundTripTimes;
	readonly retryBudget: RetryBudget;
	readonly trafficSplitter: TrafficSplitter;
	readonly retryDetector: RetryDetector;
	readonly waiting: WaitingRequests<() => void>;
	readonly running: Set<RunningAttempt>;
	readonly reportInterval: ReportInterval;
	readonly maxBodyBytes: () => number;
	/** What this host holds of long bodies. */
	readonly heldBytes: HeldBytes;
	readonly pacer: ReadPacer;
	/** Returns the upper bound of idle connections to each worker of a service. */
	readonly maxIdleConnections: (service: string) => number;
	/** Returns the number of all known hosts, including this one and hosts that no longer run; the connection limit of workers and the fixed part of the retry budget are divided by it. */
	readonly countHosts: () => number;
	/** Returns the version of the active configuration, for logging. */
	readonly getConfigVersion: () => number | undefined;
	readonly shutdownReport: ShutdownReport;
	/** Whether the host is shutting down and callers should use other hosts. */
	readonly isLeaving: () => boolean;
	/** Called with the hashes of worker and object when a request with an affinity key is sent. */
	readonly onObjectSent: (worker: number, object: number) => void;
	/** Called when a worker may have free capacity. */
	readonly onCapacityFreed: () => void;
};
