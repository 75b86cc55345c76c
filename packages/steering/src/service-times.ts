import type {Route} from './config.js';
import {CacheState} from './object-cache.js';

/** Expected service times of a request, ms. Warm and cold refer to the object in the cache of the worker, not to the warm-up of the worker. */
export type ExpectedTimes = {
	/** At a worker that has the object in its cache. */
	readonly warmMs: number;
	/** At a worker that does not have the object in its cache. */
	readonly coldMs: number;
};

/** Weight of a new measurement in the service times. */
const TIME_SMOOTHING = 0.1;
/** Initial warm service time, as a ratio of the route's target. */
const INITIAL_WARM_RATIO = 0.45;
/** Initial cold service time, as a ratio of the route's target. */
const INITIAL_COLD_RATIO = 1.3;
/** Half-life with which a slowdown factor decays towards 1, ms. */
const SLOWDOWN_HALF_LIFE_MS = 2000;
/** Weight of a new measurement in the slowdown factor. */
const SLOWDOWN_SMOOTHING = 0.35;
/** Lower bound of the slowdown factor, the ratio of actual to expected time; below 1 the worker is faster than expected. */
const MIN_SLOWDOWN = 0.7;
/** Upper bound of the slowdown factor. */
const MAX_SLOWDOWN = 12;
/** Slowdown factor above which a worker's measurements do not update the service times of the route. */
const MAX_LEARNING_SLOWDOWN = 1.6;
/** Ratio of cold to warm service time that must be exceeded for a measurement to show whether the object was cached. */
const MIN_COLD_TO_WARM_RATIO = 2;

/** Service times of a route; `guessMs` is the part of `coldMs` that is left of the initial guess. */
type LearnedTimes = {warmMs: number; coldMs: number; guessMs: number};

/** Slowdown factor of a worker when it was last updated. */
type Slowdown = {factor: number; atMs: number};

/**
 * Estimates the warm and cold service times of routes, and the slowdown factor
 * of each worker relative to them. Times are monotonic ms, and workers are
 * identified by the hash of their id.
 */
export class ServiceTimeEstimator {
	readonly #timesByRouteAndService = new Map<string, LearnedTimes>();
	readonly #slowdowns = new Map<number, Slowdown>();

	/** Warm and cold service times by route and service, rounded to ms, for the log. */
	snapshot(): Record<string, [number, number]> {
		return Object.fromEntries(Array.from(this.#timesByRouteAndService, ([name, {warmMs, coldMs}]) => [name, [Math.round(warmMs), Math.round(coldMs)]]));
	}

	/** Expected service times of a route at a service. */
	estimate(route: Route, service: string): ExpectedTimes {
		return this.#timesFor(route, service);
	}

	/** Expected service times of a route at a worker, with its slowdown. */
	estimateAt(worker: number, route: Route, service: string, nowMs: number): ExpectedTimes {
		const {warmMs, coldMs, guessMs} = this.#timesFor(route, service);
		const slowdown = this.getSlowdown(worker, nowMs);
		// The slowdown was measured against the warm time; times the guess it would reject requests, which then could not correct it.
		return {warmMs: warmMs * slowdown, coldMs: Math.max(warmMs * slowdown, guessMs + ((coldMs - guessMs) * slowdown))};
	}

	/**
	 * Records the time of an answered request.
	 * @param cacheState expected state of the object in the worker's cache.
	 * @param responseMs measured time without the network round trip; includes the queueing time at the worker.
	 * @param waitMs expected queueing time at the worker. Only requests without one update the service times, because queueing times are only estimates.
	 * @returns whether the object was cached, always `true` for a route without affinity; `undefined` when a queueing time was expected, the worker is slow, or the two service times are too close to tell.
	 */
	record(route: Route, service: string, worker: number, cacheState: CacheState, responseMs: number, waitMs: number, nowMs: number): boolean | undefined {
		const times = this.#timesFor(route, service);
		const wasCached = !route.hasAffinity || responseMs < Math.sqrt(times.warmMs * times.coldMs);
		const expectedMs = wasCached || cacheState === CacheState.Cached ? times.warmMs : times.coldMs;
		this.#recordSlowdown(worker, responseMs / Math.max(1, expectedMs + waitMs), nowMs);
		if (waitMs > 0 || this.getSlowdown(worker, nowMs) > MAX_LEARNING_SLOWDOWN) {
			return undefined;
		}

		if (wasCached) {
			times.warmMs += (responseMs - times.warmMs) * TIME_SMOOTHING;
		} else {
			times.coldMs += (responseMs - times.coldMs) * TIME_SMOOTHING;
			times.guessMs *= 1 - TIME_SMOOTHING;
		}

		return times.coldMs > times.warmMs * MIN_COLD_TO_WARM_RATIO ? wasCached : undefined;
	}

	/** Raises the slowdown factor of a worker for a request that is still unanswered after `ratio` times its expected time. */
	recordOverdue(worker: number, ratio: number, nowMs: number): void {
		if (ratio > this.getSlowdown(worker, nowMs)) {
			this.#slowdowns.set(worker, {factor: Math.min(MAX_SLOWDOWN, ratio), atMs: nowMs});
		}
	}

	/** Slowdown factor of the worker: ratio of actual to expected time; 1 for a worker that is as fast as expected. */
	getSlowdown(worker: number, nowMs: number): number {
		const slowdown = this.#slowdowns.get(worker);
		if (!slowdown) {
			return 1;
		}

		const decay = 0.5 ** ((nowMs - slowdown.atMs) / SLOWDOWN_HALF_LIFE_MS);
		return 1 + ((slowdown.factor - 1) * decay);
	}

	/** Discards the slowdown factor of a worker, after a restart. */
	reset(worker: number): void {
		this.#slowdowns.delete(worker);
	}

	#recordSlowdown(worker: number, ratio: number, nowMs: number): void {
		const previous = this.getSlowdown(worker, nowMs);
		const factor = previous + ((Math.min(MAX_SLOWDOWN, ratio) - previous) * SLOWDOWN_SMOOTHING);
		this.#slowdowns.set(worker, {factor: Math.max(MIN_SLOWDOWN, factor), atMs: nowMs});
	}

	#timesFor({name, targetMs}: Route, service: string): LearnedTimes {
		const key = `${name} ${service}`;
		let times = this.#timesByRouteAndService.get(key);
		if (!times) {
			const guessMs = targetMs * INITIAL_COLD_RATIO;
			times = {warmMs: targetMs * INITIAL_WARM_RATIO, coldMs: guessMs, guessMs};
			this.#timesByRouteAndService.set(key, times);
		}

		return times;
	}
}
