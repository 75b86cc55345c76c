import {hashText} from '@apricotwood/routing';
import type {Route} from './config.js';
import {CacheCapacityEstimator} from './cache-capacity.js';
import {RequestCounts} from './request-counts.js';

/** Maximum number of objects tracked for each worker, cached or not. */
const MAX_TRACKED_OBJECTS = 400;
/** Reuse distance below which an object is expected to be cached, as a ratio of the estimated cache capacity; from there up to the capacity it is only probably cached. */
const CACHED_CAPACITY_RATIO = 0.5;

/** Expected state of an object in a worker's cache. */
export enum CacheState {
	/** The reuse distance is below half of the estimated cache capacity. */
	Cached = 'sure',
	/** The reuse distance is from half of the estimated cache capacity up to all of it. */
	ProbablyCached = 'likely',
	/** The object was not sent to the worker, or is probably evicted. */
	NotCached = 'cold',
}

/** Computes the hash of an object. Objects with the same name in different routes or services get different hashes, because a worker caches the result for each route. */
export function hashObject({name}: Route, service: string, object: string): number {
	return hashText(object, hashText(`${service} ${name}`));
}

/** Objects for which one worker was sent requests, least recently used first. */
class RecentObjects {
	readonly #objects = new Set<number>();

	/** Marks an object as the most recently used one. */
	touch(object: number): void {
		this.#objects.delete(object);
		this.#objects.add(object);
		if (this.#objects.size > MAX_TRACKED_OBJECTS) {
			const [oldest] = this.#objects;
			this.#objects.delete(oldest!);
		}
	}

	get size(): number {
		return this.#objects.size;
	}

	/** Number of other objects sent after this one; `undefined` when it is not tracked. */
	getReuseDistance(object: number): number | undefined {
		if (!this.#objects.has(object)) {
			return undefined;
		}

		let position = 0;
		for (const other of this.#objects) {
			if (other === object) {
				break;
			}

			position++;
		}

		return this.#objects.size - 1 - position;
	}
}

/**
 * Models which objects are in the caches of which workers, from the requests
 * that all hosts have sent. A worker caches few objects and evicts the least
 * recently used one; the capacity is learned for each service from responses
 * that were fast (object cached) or slow (not cached). Workers and objects are
 * identified by their hashes.
 */
export class ObjectCacheModel {
	readonly #recentByWorker = new Map<number, RecentObjects>();
	readonly #capacities = new Map<string, CacheCapacityEstimator>();
	readonly #requestCounts = new RequestCounts();

	/** Estimated cache capacity of a worker of the service, in objects. */
	getCapacity(service: string): number {
		return this.#estimatorFor(service).capacity;
	}

	/** Learned cache capacities by service, in objects, for the log. */
	listCapacities(): Record<string, number> {
		return Object.fromEntries(Array.from(this.#capacities, ([service, {capacity}]) => [service, capacity]));
	}

	/** Records that a request for the object was sent to the worker. */
	record(worker: number, object: number): void {
		let recent = this.#recentByWorker.get(worker);
		if (!recent) {
			recent = new RecentObjects();
			this.#recentByWorker.set(worker, recent);
		}

		recent.touch(object);
		this.#requestCounts.record(worker, object);
	}

	/** Records several sent requests. @param pairs worker and object hashes, alternating. */
	recordAll(pairs: readonly number[]): void {
		for (let index = 0; index + 1 < pairs.length; index += 2) {
			this.record(pairs[index]!, pairs[index + 1]!);
		}
	}

	/**
	 * Number of workers whose caches the object may occupy: its share of the recent
	 * requests, as a ratio of all that the workers cache together.
	 * @param workers hashes of the workers that may cache it.
	 */
	computeFairCopies(service: string, object: number, workers: readonly number[]): number {
		let requests = 0;
		for (const worker of workers) {
			requests += this.#requestCounts.getByWorker(worker);
		}

		return this.getCapacity(service) * workers.length * this.#requestCounts.getByObject(object) / Math.max(1, requests);
	}

	/** Number of objects tracked for the worker. */
	countTracked(worker: number): number {
		return this.#recentByWorker.get(worker)?.size ?? 0;
	}

	/** Number of other objects sent to the worker since this one; `undefined` when it is not tracked. */
	getReuseDistance(worker: number, object: number): number | undefined {
		return this.#recentByWorker.get(worker)?.getReuseDistance(object);
	}

	/** Expected cache state of an object with this reuse distance. */
	classify(service: string, reuseDistance: number | undefined): CacheState {
		const capacity = this.getCapacity(service);
		if (reuseDistance === undefined || reuseDistance >= capacity) {
			return CacheState.NotCached;
		}

		return reuseDistance < capacity * CACHED_CAPACITY_RATIO ? CacheState.Cached : CacheState.ProbablyCached;
	}

	/**
	 * Updates the estimated cache capacity from one response.
	 * @param reuseDistance distance when the request was sent; `undefined` if the object was not tracked.
	 * @param wasCached whether the response was fast, as for a cached object.
	 */
	learnCapacity(service: string, reuseDistance: number | undefined, wasCached: boolean): void {
		if (reuseDistance !== undefined) {
			this.#estimatorFor(service).record(reuseDistance, wasCached);
		}
	}

	/** Discards the objects of a worker, which has an empty cache after a restart. */
	reset(worker: number): void {
		this.#recentByWorker.delete(worker);
	}

	#estimatorFor(service: string): CacheCapacityEstimator {
		let estimator = this.#capacities.get(service);
		if (!estimator) {
			estimator = new CacheCapacityEstimator();
			this.#capacities.set(service, estimator);
		}

		return estimator;
	}
}
