import type {Clock, Random} from '@apricotwood/clock';
import {hashText} from '@apricotwood/routing';
import {
	AttemptOutcome, BackoffTracker, DrainTracker, ReachabilityTracker, RoundTripTimes, WorkerHealthTracker, WorkerAvailability, type RateLimitTracker, type Worker, type WorkerRateLimiter,
} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {Dialect} from '../dialect.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import type {Connector} from '../upstream/connector.js';
import {CrashDetector} from '../upstream/crash-detector.js';
import {HealthChecker} from '../upstream/health-checker.js';
import {ConnectionPool} from '../upstream/pool.js';
import {ReachabilityProber} from '../upstream/reachability-prober.js';
import {WorkerFeedback} from '../upstream/worker-feedback.js';

/** Dependencies of `WorkerAccess`. */
export type WorkerAccessDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly dialect: Dialect;
	readonly state: ReplicatedState;
	/** Hash of this host's id. */
	readonly hostHash: number;
	readonly rateLimits: RateLimitTracker;
	readonly rateLimiter: WorkerRateLimiter;
	readonly connector: Connector;
	/** Called when a worker has crashed. @param fingerprints requests that ran there. */
	readonly onCrash: (worker: Worker, fingerprints: readonly string[]) => void;
	/** Called when a worker has said for the first time that it is leaving. */
	readonly onDraining: (worker: Worker) => void;
	/** Called when this host has lost its path to all workers, or reaches one again. */
	readonly onIsolationChange: (isIsolated: boolean) => void;
};

/** The connections of a host to the workers, and what it learns from them: whether workers are healthy, have crashed, or cannot be reached from here at all. */
export class WorkerAccess {
	readonly health = new WorkerHealthTracker();
	readonly drains = new DrainTracker();
	readonly backoffs: BackoffTracker;
	readonly availability: WorkerAvailability;
	readonly feedback: WorkerFeedback;
	readonly reachability = new ReachabilityTracker();
	readonly roundTrips = new RoundTripTimes();
	readonly pool: ConnectionPool;
	readonly crashDetector: CrashDetector;
	readonly #healthChecker: HealthChecker;
	readonly #prober: ReachabilityProber;

	constructor(private readonly deps: WorkerAccessDeps) {
		const {state, rateLimiter} = deps;
		this.backoffs = new BackoffTracker(deps.hostHash);
		this.availability = new WorkerAvailability({
			fleet: state.fleet, drains: this.drains, backoffs: this.backoffs, health: this.health, rateLimiter,
		});
		this.feedback = new WorkerFeedback({
			...deps,
			fleet: state.fleet,
			drains: this.drains,
			backoffs: this.backoffs,
			onDraining: worker => {
				this.pool.removeWorker(worker.registration.id);
				deps.onDraining(worker);
			},
		});
		this.pool = new ConnectionPool({
			...deps,
			onConnect: (worker, durationMs) => {
				this.#recordReached();
				this.#recordRoundTrip(worker, durationMs);
			},
			onConnectFailure: worker => {
				this.reachability.recordFailure(hashText(worker));
			},
		});
		this.crashDetector = new CrashDetector({
			...deps,
			findWorker: id => state.fleet.get(id),
			isLeaving: worker => this.availability.isLeaving(worker),
			isPathInDoubt: () => this.reachability.isDoubtful,
			onCrash: (worker, fingerprints) => {
				this.#handleCrash(worker, fingerprints);
			},
		});
		this.#healthChecker = new HealthChecker({
			...deps, workerHealth: this.health, workerFeedback: this.feedback, availability: this.availability, reachability: this.reachability,
		});
		this.#prober = new ReachabilityProber({
			...deps,
			fleet: state.fleet,
			availability: this.availability,
			reachability: this.reachability,
			onReached: () => {
				this.#recordReached();
			},
			onIsolated: () => {
				this.#handleIsolationChange(true);
			},
		});
	}

	/** Checks the health of workers until the signal is aborted. */
	async runHealthChecks(signal: AbortSignal): Promise<void> {
		await this.#healthChecker.run(signal);
	}

	/** Probes whether workers can be reached, until the signal is aborted. */
	async runProbes(signal: AbortSignal): Promise<void> {
		await this.#prober.run(signal);
	}

	#recordReached(): void {
		if (this.reachability.recordConnect(this.deps.clock.monotonic())) {
			this.#handleIsolationChange(false);
		}

		this.crashDetector.settle(false);
	}

	#recordRoundTrip(worker: string, durationMs: number): void {
		const region = this.deps.state.fleet.get(worker)?.region;
		if (region !== undefined) {
			this.roundTrips.record(region, durationMs);
		}
	}

	#handleCrash(worker: Worker, fingerprints: readonly string[]): void {
		this.health.recordAttempt(worker.hash, AttemptOutcome.Unreachable, this.deps.clock.monotonic());
		this.deps.onCrash(worker, fingerprints);
	}

	#handleIsolationChange(isIsolated: boolean): void {
		this.deps.log.warn({event: 'isolation', isIsolated});
		if (isIsolated) {
			this.crashDetector.settle(true);
			// Connections that were opened before may be silent.
			this.pool.close();
		} else {
			this.health.forgetUnreachable();
		}

		this.deps.onIsolationChange(isIsolated);
	}
}
