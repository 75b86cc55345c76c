import type {Worker} from './fleet.js';
import type {LoadTracker} from './load.js';
import {CacheState, type ObjectCacheModel} from './object-cache.js';
import type {PlacementRequest} from './placement.js';
import type {RoundTripTimes} from './round-trip-times.js';
import type {ServiceTimeEstimator} from './service-times.js';
import type {WorkerHealthTracker} from './worker-health.js';

/** Expected result of sending the request to a worker. */
export type WorkerEstimate = {
	readonly worker: Worker;
	readonly cacheState: CacheState;
	readonly reuseDistance: number | undefined;
	/** Whether the object is cached or probably cached at the worker, or the request has no object. */
	readonly isCached: boolean;
	readonly load: number;
	readonly waitMs: number;
	readonly serviceAndNetworkMs: number;
	/** Whether the response is expected before the target. */
	readonly meetsTarget: boolean;
	/** Whether the response is expected before the deadline. */
	readonly meetsDeadline: boolean;
	/** Expected time with a penalty for the worker's error rate, ms; the lowest is preferred. */
	readonly costMs: number;
};

/** State that a `WorkerEstimator` reads. */
export type WorkerEstimatorDeps = {
	readonly load: LoadTracker;
	readonly objectCaches: ObjectCacheModel;
	readonly serviceTimes: ServiceTimeEstimator;
	readonly health: WorkerHealthTracker;
	readonly roundTrips: RoundTripTimes;
};

/** Estimates when a worker would respond to a request, from its load, its cache, its speed and its distance. */
export class WorkerEstimator {
	constructor(private readonly deps: WorkerEstimatorDeps) {}

	/** Estimates the result of sending the request to the worker now. */
	estimate({route, service, objectHash, targetAtMs, deadlineAtMs}: PlacementRequest, worker: Worker, nowMs: number): WorkerEstimate {
		const {load, objectCaches, serviceTimes, health, roundTrips} = this.deps;
		const {warmMs, coldMs} = serviceTimes.estimateAt(worker.hash, route, service, nowMs);
		const reuseDistance = objectHash === undefined ? undefined : objectCaches.getReuseDistance(worker.hash, objectHash);
		const cacheState = objectHash === undefined ? CacheState.Cached : objectCaches.classify(service, reuseDistance);
		const isCached = cacheState !== CacheState.NotCached;
		const totalLoad = load.estimateTotal(worker.hash, nowMs);
		const waitMs = Math.max(0, totalLoad + 1 - worker.registration.slots) * warmMs / worker.registration.slots;
		const serviceAndNetworkMs = (isCached ? warmMs : coldMs) + roundTrips.get(worker.region);
		const errorPenaltyMs = health.getErrorRate(worker.hash) * serviceTimes.estimate(route, service).coldMs;
		return {
			worker,
			cacheState,
			reuseDistance,
			isCached,
			load: totalLoad,
			waitMs,
			serviceAndNetworkMs,
			meetsTarget: nowMs + waitMs + serviceAndNetworkMs <= targetAtMs,
			meetsDeadline: nowMs + waitMs + serviceAndNetworkMs <= deadlineAtMs,
			costMs: waitMs + serviceAndNetworkMs + errorPenaltyMs,
		};
	}
}

/** Returns the estimate with the lowest cost; `undefined` if there is none. */
export function findCheapest(estimates: readonly WorkerEstimate[]): WorkerEstimate | undefined {
	let best: WorkerEstimate | undefined;
	for (const estimate of estimates) {
		if (!best || estimate.costMs < best.costMs) {
			best = estimate;
		}
	}

	return best;
}

/** Whether the load of the worker is below `maxLoadRatio` times its slots. */
export function isLoadBelow({load, worker}: WorkerEstimate, maxLoadRatio: number): boolean {
	return load < worker.registration.slots * maxLoadRatio;
}
