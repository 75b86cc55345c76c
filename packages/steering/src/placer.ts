import type {Fleet, Worker} from './fleet.js';
import {CacheState} from './object-cache.js';
import {
	PlacementAction, PlacementReason, type Placement, type PlacementRequest,
} from './placement.js';
import type {WorkerRateLimiter} from './rate-limiter.js';
import type {ShutdownDeadline} from './shutdown-deadline.js';
import type {WarmupLimiter} from './warmup-limiter.js';
import {
	SendPurpose, Unavailability, type Obstacle, type WorkerAvailability,
} from './worker-availability.js';
import {
	WorkerEstimator, findCheapest, isLoadBelow, type WorkerEstimate, type WorkerEstimatorDeps,
} from './worker-estimator.js';
import {WorkerRanking, type WorkerRankingOptions} from './worker-ranking.js';

/** State that a `Placer` reads; it also records the requests that it sends, in `availability` and, to workers that are warming up, in `warmupLimiter`. */
export type PlacerDeps = WorkerEstimatorDeps & {
	readonly fleet: Fleet;
	readonly warmupLimiter: WarmupLimiter;
	readonly availability: WorkerAvailability;
	readonly rateLimiter: WorkerRateLimiter;
	readonly shutdownDeadline: ShutdownDeadline;
	/** Number of hosts that may send to the same workers, including this one. */
	readonly countHosts: () => number;
	/** Maximum requests per second to a worker of the service that is warming up, over all hosts; `undefined` for no limit. */
	readonly warmupPerSecond: (service: string) => number | undefined;
};

/** Load of a worker (in-flight requests), as a ratio of its slots, below which it gets requests that are expected to meet their target. */
const MAX_LOAD_RATIO = 2;
/** Load of a worker, as a ratio of its slots, below which a retry of a caller is sent although its response is expected after the target. Lower, so that requests that meet their target take precedence, but above 1, so that retries are not starved. */
const MAX_CALLER_RETRY_LOAD_RATIO = 1.25;
/** Load of a worker, as a ratio of its slots, below which it may get an object that is cached only at other workers. */
const MAX_NEW_COPY_LOAD_RATIO = 0.75;
/** Utilization of the warmed-up eligible workers, as a ratio of their slots, from which a cached object is not sent to a further worker: requests for objects that are not cached take longer and would add to an overload. New workers are exempt. */
const MAX_NEW_COPY_UTILIZATION = 0.85;
/** Number of tracked objects below which a worker is considered new and gets objects that are cached elsewhere. */
const NEW_WORKER_TRACKED_OBJECTS = 4;
/** Worker that may get a request later. */
type DeferredWorker = {
	readonly worker: Worker;
	readonly obstacle: Obstacle;
};

/** Lower bound of the reported time until a worker is available, ms. */
const MIN_AVAILABLE_IN_MS = 50;
/** Reported time until a worker is available when no eligible worker is warmed up, or this host has no share of any rate limit, ms. */
const NO_WORKER_AVAILABLE_IN_MS = 500;
const MS_PER_SECOND = 1000;
/** Fields of a placement for which no worker was evaluated. */
const NOT_EVALUATED = {
	worker: undefined, cacheState: CacheState.NotCached, reuseDistance: undefined, load: 0, waitMs: 0, serviceAndNetworkMs: 0,
};
const STOPPING: Placement = {
	...NOT_EVALUATED, action: PlacementAction.Reject, reason: PlacementReason.Stopping, availableInMs: 0,
};

/**
 * Decides whether a request is sent to a worker, waits or is rejected.
 *
 * A request takes about three times as long at a worker whose cache does not
 * hold the object, and the workers can only serve the load if most requests hit
 * the cache. Hosts of a region that see the same eligible workers therefore rank
 * the workers of an object in the same order. Among the top-ranked workers that
 * have the object, the cheapest gets the request; when it has reached its load
 * limit, the next worker in the ranking gets a copy, so that the number of copies
 * follows the demand. If no worker can take an object that is not cached, the
 * request waits or is rejected instead of adding to the overload.
 */
export class Placer {
	readonly #ranking: WorkerRanking;
	readonly #estimator: WorkerEstimator;

	constructor(options: WorkerRankingOptions, private readonly deps: PlacerDeps) {
		this.#ranking = new WorkerRanking(options, deps.fleet);
		this.#estimator = new WorkerEstimator(deps);
	}

	/** Places the request at the current time; sending to a worker that is warming up, or that names a rate limit, counts against its limit. */
	place(req: PlacementRequest, nowMs: number): Placement {
		if (!this.deps.shutdownDeadline.allows(req)) {
			return STOPPING;
		}

		const sendable: Worker[] = [];
		const deferred: DeferredWorker[] = [];
		for (const worker of this.#listCandidates(req)) {
			const obstacle = this.deps.availability.findObstacle(worker, SendPurpose.Request, nowMs);
			if (!obstacle) {
				sendable.push(worker);
			} else if (isTemporary(obstacle)) {
				deferred.push({worker, obstacle});
			}
		}

		if (sendable.length === 0 && deferred.length > 0) {
			return this.#awaitTurn(req, deferred, nowMs);
		}

		const placement = this.#choose(req, sendable, nowMs);
		if (placement.worker) {
			this.deps.availability.recordSend(placement.worker, nowMs);
		}

		return placement;
	}

	/** Chooses among workers to which this host may send now. */
	#choose(req: PlacementRequest, eligible: readonly Worker[], nowMs: number): Placement {
		const warmedUp = eligible.filter(worker => worker.warmupEndMs <= nowMs);
		if (warmedUp.length === 0) {
			return this.#placeOnWarmingWorker(req, eligible, nowMs);
		}

		const estimates = this.#rank(req, warmedUp).map(worker => this.#estimator.estimate(req, worker, nowMs));
		const bestCached = findCheapest(estimates.filter(({isCached}) => isCached));
		const [first] = estimates;
		if (bestCached && first && this.#shouldSeedCache(first)) {
			return toSendPlacement(first, PlacementReason.NewWorker);
		}

		if (first?.meetsDeadline && this.deps.rateLimiter.isCheckDue(first.worker, nowMs)) {
			return toSendPlacement(first, PlacementReason.RateLimitCheck);
		}

		if (bestCached?.meetsTarget && isLoadBelow(bestCached, MAX_LOAD_RATIO)) {
			return toSendPlacement(bestCached, PlacementReason.Cached);
		}

		if (bestCached?.meetsDeadline && isLoadBelow(bestCached, req.isCallerRetry ? MAX_CALLER_RETRY_LOAD_RATIO : 1)) {
			return toSendPlacement(bestCached, req.isCallerRetry ? PlacementReason.CallerRetry : PlacementReason.FreeSlot);
		}

		const newCopy = this.#findNewCopy(req, estimates, warmedUp, nowMs);
		if (newCopy) {
			return toSendPlacement(newCopy, bestCached ? PlacementReason.NewCopy : PlacementReason.FirstCopy);
		}

		return waitOrReject(bestCached ?? findCheapest(estimates)!, req, nowMs);
	}

	/** Workers that the request may use, available or not. */
	#listCandidates({service, route: {homeRegions}, excludedIds}: PlacementRequest): Worker[] {
		return this.deps.fleet.listByService(service).filter(worker => !excludedIds.has(worker.registration.id)
			&& (homeRegions.length === 0 || homeRegions.includes(worker.region)));
	}

	#rank({objectHash, randomKey, service, route}: PlacementRequest, workers: readonly Worker[]): Worker[] {
		return this.#ranking.rank(workers, objectHash ?? randomKey, service, route.kind);
	}

	/**
	 * Whether the first-ranked worker gets this object although it is cached
	 * elsewhere, because only a few objects are tracked for it. Otherwise a new
	 * worker would get no requests until the others reach their load limits, and
	 * its cache would be empty at that point.
	 */
	#shouldSeedCache(first: WorkerEstimate): boolean {
		return !first.isCached && first.meetsDeadline && isLoadBelow(first, MAX_NEW_COPY_LOAD_RATIO) && this.deps.objectCaches.countTracked(first.worker.hash) < NEW_WORKER_TRACKED_OBJECTS;
	}

	/** First worker in the ranking that may get the object although it is not cached there. */
	#findNewCopy(req: PlacementRequest, estimates: readonly WorkerEstimate[], workers: readonly Worker[], nowMs: number): WorkerEstimate | undefined {
		const candidates = estimates.filter(({isCached, meetsDeadline}) => !isCached && meetsDeadline);
		const copies = estimates.filter(({isCached}) => isCached).length;
		if (copies === 0) {
			return candidates.find(estimate => isLoadBelow(estimate, 1));
		}

		const newCopy = candidates.find(estimate => isLoadBelow(estimate, MAX_NEW_COPY_LOAD_RATIO));
		return newCopy && this.#hasRoomForCopy(req, copies, workers) && this.#computeUtilization(workers, nowMs) < MAX_NEW_COPY_UTILIZATION ? newCopy : undefined;
	}

	/** Whether the caches of the workers have room for one more copy of the object beside all others that are in demand. */
	#hasRoomForCopy({service, objectHash}: PlacementRequest, copies: number, workers: readonly Worker[]): boolean {
		return objectHash === undefined || copies + 1 <= this.deps.objectCaches.computeFairCopies(service, objectHash, workers.map(({hash}) => hash));
	}

	/** Ratio of occupied slots to all slots of the workers. */
	#computeUtilization(workers: readonly Worker[], nowMs: number): number {
		let load = 0;
		let slots = 0;
		for (const {hash, registration} of workers) {
			load += Math.min(registration.slots, this.deps.load.estimateTotal(hash, nowMs));
			slots += registration.slots;
		}

		return load / Math.max(1, slots);
	}

	/**
	 * Places a request when this host has used up its shares of the rate limits of all
	 * eligible workers, or these have told it to wait: the request waits if its turn
	 * comes in time. Otherwise it is rejected at once.
	 */
	#awaitTurn(req: PlacementRequest, deferred: readonly DeferredWorker[], nowMs: number): Placement {
		const {rateLimiter, serviceTimes, roundTrips} = this.deps;
		let nextSendMs = Number.POSITIVE_INFINITY;
		let rate = 0;
		let region = '';
		let reason = PlacementReason.RateLimited;
		for (const {worker, obstacle} of deferred) {
			const {untilMs} = obstacle;
			rate += rateLimiter.getRate(worker, nowMs);
			if (untilMs < nextSendMs) {
				nextSendMs = untilMs;
				({region} = worker);
				reason = obstacle.reason === Unavailability.Backoff ? PlacementReason.Backoff : PlacementReason.RateLimited;
			}
		}

		const turnMs = rate === 0 ? Number.POSITIVE_INFINITY : nextSendMs + (req.waitingBefore * MS_PER_SECOND / rate);
		const serviceAndNetworkMs = serviceTimes.estimate(req.route, req.service).warmMs + roundTrips.get(region);
		const canWait = turnMs <= req.waitUntilMs && turnMs + serviceAndNetworkMs <= computeLatestMs(req);
		return {
			action: canWait ? PlacementAction.Wait : PlacementAction.Reject,
			reason,
			worker: undefined,
			cacheState: CacheState.NotCached,
			reuseDistance: undefined,
			load: 0,
			waitMs: Number.isFinite(turnMs) ? turnMs - nowMs : 0,
			serviceAndNetworkMs,
			availableInMs: Number.isFinite(turnMs) ? Math.max(MIN_AVAILABLE_IN_MS, turnMs - nowMs) : NO_WORKER_AVAILABLE_IN_MS,
		};
	}

	/** Places a request when no eligible worker is warmed up: on one that is warming up and whose rate limit admits it. */
	#placeOnWarmingWorker(req: PlacementRequest, eligible: readonly Worker[], nowMs: number): Placement {
		const base = {...NOT_EVALUATED, availableInMs: NO_WORKER_AVAILABLE_IN_MS};
		if (eligible.length === 0) {
			return {...base, action: PlacementAction.Reject, reason: PlacementReason.NoWorker};
		}

		const {warmupLimiter, countHosts, warmupPerSecond} = this.deps;
		const perSecond = warmupPerSecond(req.service);
		for (const worker of this.#rank(req, eligible)) {
			const load = this.deps.load.estimateTotal(worker.hash, nowMs);
			if (load < worker.registration.slots && warmupLimiter.canSend(worker, perSecond, countHosts(), nowMs)) {
				warmupLimiter.recordSend(worker, perSecond, countHosts(), nowMs);
				return {
					...base, action: PlacementAction.Send, reason: PlacementReason.WarmupQuota, worker, load,
				};
			}
		}

		return {...base, action: PlacementAction.Reject, reason: PlacementReason.AllWarmingUp};
	}
}

/** Whether requests may wait for the end of the obstacle. */
function isTemporary({reason}: Obstacle): boolean {
	return reason === Unavailability.RateLimited || reason === Unavailability.Backoff;
}

function toSendPlacement({worker, cacheState, reuseDistance, load, waitMs, serviceAndNetworkMs}: WorkerEstimate, reason: PlacementReason): Placement {
	return {
		action: PlacementAction.Send, reason, worker, cacheState, reuseDistance, load, waitMs, serviceAndNetworkMs, availableInMs: 0,
	};
}

/** Latest time for the response to a request that waits, monotonic ms. */
function computeLatestMs({targetAtMs, deadlineAtMs, isCallerRetry}: PlacementRequest): number {
	return isCallerRetry ? deadlineAtMs : Math.min(targetAtMs, deadlineAtMs);
}

function waitOrReject(best: WorkerEstimate, req: PlacementRequest, nowMs: number): Placement {
	const {cacheState, reuseDistance, load, waitMs, serviceAndNetworkMs} = best;
	const isLate = nowMs > req.waitUntilMs || nowMs + serviceAndNetworkMs > computeLatestMs(req);
	return {
		action: isLate ? PlacementAction.Reject : PlacementAction.Wait,
		reason: isLate ? PlacementReason.Late : PlacementReason.Full,
		worker: undefined,
		cacheState,
		reuseDistance,
		load,
		waitMs,
		serviceAndNetworkMs,
		availableInMs: Math.max(MIN_AVAILABLE_IN_MS, waitMs),
	};
}
