import type {BackoffTracker} from './backoff-tracker.js';
import type {DrainTracker} from './drain-tracker.js';
import {WorkerState, type Fleet, type Worker} from './fleet.js';
import type {WorkerRateLimiter} from './rate-limiter.js';
import type {WorkerHealthTracker} from './worker-health.js';

/** What this host wants to send to a worker. */
export enum SendPurpose {
	/** A request that is being placed. */
	Request = 'request',
	/** A request that was placed before and can be sent now, as its connection is open. */
	PlacedRequest = 'placed-request',
	/** A health check. */
	HealthCheck = 'health-check',
	/** A connection without a request, to find out whether the worker can be reached. */
	Probe = 'probe',
}

/** Why a worker is not available. */
export enum Unavailability {
	/** The worker is leaving, or its zone is evacuated. */
	OutOfService = 'out-of-service',
	/** Attempts have failed, and no health check has passed since. */
	Unhealthy = 'unhealthy',
	/** The worker has told this host to wait. */
	Backoff = 'backoff',
	/** This host has used up its share of the limit that the worker names. */
	RateLimited = 'rate-limited',
}

/** Reason why nothing may be sent to a worker now. */
export type Obstacle = {
	readonly reason: Unavailability;
	/** Time from which it may be sent, monotonic ms; `Infinity` if that is not known. */
	readonly untilMs: number;
};

/** State that a `WorkerAvailability` reads. */
export type WorkerAvailabilityDeps = {
	readonly fleet: Fleet;
	readonly drains: DrainTracker;
	readonly backoffs: BackoffTracker;
	readonly health: WorkerHealthTracker;
	readonly rateLimiter: WorkerRateLimiter;
};

const OUT_OF_SERVICE: Obstacle = {reason: Unavailability.OutOfService, untilMs: Number.POSITIVE_INFINITY};
const UNHEALTHY: Obstacle = {reason: Unavailability.Unhealthy, untilMs: Number.POSITIVE_INFINITY};

/**
 * Decides whether this host may send something to a worker now. Each path to a
 * worker asks here, so that what the operators, the worker itself and earlier
 * attempts say of it holds on all of them. Times are monotonic ms.
 */
export class WorkerAvailability {
	constructor(private readonly deps: WorkerAvailabilityDeps) {}

	/** Finds out why nothing may be sent now. @returns `undefined` if it may be sent; call `recordSend` then. */
	findObstacle(worker: Worker, purpose: SendPurpose, nowMs: number): Obstacle | undefined {
		const {fleet, health} = this.deps;
		if (!fleet.isInService(worker) || this.isLeaving(worker)) {
			return OUT_OF_SERVICE;
		}

		if (purpose === SendPurpose.Request && !health.isHealthy(worker.hash, nowMs)) {
			return UNHEALTHY;
		}

		// A request that was placed before has counted as a trial and as a turn already.
		const isCounted = purpose === SendPurpose.PlacedRequest;
		const backoffEndMs = isCounted ? this.deps.backoffs.getEndMs(worker) : this.deps.backoffs.getNextSendMs(worker);
		if (backoffEndMs > nowMs) {
			return {reason: Unavailability.Backoff, untilMs: backoffEndMs};
		}

		return isCounted || purpose === SendPurpose.Probe ? undefined : this.#findRateLimit(worker, nowMs);
	}

	/** Whether the worker is leaving, so that it gets nothing more and is expected to end. */
	isLeaving(worker: Worker): boolean {
		return worker.registration.state !== WorkerState.Ready || this.deps.drains.isDraining(worker);
	}

	/** Records a request or a health check that is sent. */
	recordSend(worker: Worker, nowMs: number): void {
		this.deps.rateLimiter.recordSend(worker, nowMs);
		this.deps.backoffs.recordSend(worker, nowMs);
	}

	#findRateLimit(worker: Worker, nowMs: number): Obstacle | undefined {
		const untilMs = this.deps.rateLimiter.getNextSendMs(worker, nowMs);
		return untilMs <= nowMs ? undefined : {reason: Unavailability.RateLimited, untilMs};
	}
}
