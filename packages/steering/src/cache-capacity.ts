/** Reuse distances that are distinguished; longer ones count as the longest. */
const MAX_DISTANCE = 400;
/** Capacity that is assumed without observations, in objects. */
const INITIAL_CAPACITY = 24;
/** Lower bound of the estimate, in objects. */
const MIN_CAPACITY = 8;
/** Probability that a response is fast if the object is cached; the others are slowed down by load. */
const FAST_IF_CACHED = 0.8;
/** Probability that a response is fast although the object is not cached. */
const FAST_IF_NOT_CACHED = 0.1;
/** Log-likelihood ratio (cached to not cached) of a fast response. */
const FAST_EVIDENCE = Math.log(FAST_IF_CACHED / FAST_IF_NOT_CACHED);
/** Log-likelihood ratio of a slow response. */
const SLOW_EVIDENCE = Math.log((1 - FAST_IF_CACHED) / (1 - FAST_IF_NOT_CACHED));
/** Log-likelihood ratio per reuse distance of the assumption that the capacity is the initial one. */
const PRIOR_EVIDENCE = 0.1;
/** Number of observations after which all evidence is halved, so that the estimate follows a change. */
const DECAY_OBSERVATIONS = 1000;

/**
 * Estimates how many objects the workers of a service cache, from the reuse
 * distances of requests and whether their responses were fast.
 *
 * A cache that evicts the least recently used object has those with a reuse
 * distance below its capacity. The estimate is the most likely such limit. A
 * slow response alone is weak evidence, because load slows down responses at
 * any distance.
 */
export class CacheCapacityEstimator {
	/** Sum of the log-likelihood ratios by reuse distance. */
	readonly #evidence = new Float64Array(MAX_DISTANCE);
	#observations = 0;
	#capacity: number | undefined;

	/** Estimated capacity, in objects. */
	get capacity(): number {
		this.#capacity ??= this.#findMostLikely();
		return this.#capacity;
	}

	/** @param wasFast whether the response was as fast as one for a cached object. */
	record(reuseDistance: number, wasFast: boolean): void {
		this.#evidence[Math.min(reuseDistance, MAX_DISTANCE - 1)]! += wasFast ? FAST_EVIDENCE : SLOW_EVIDENCE;
		this.#capacity = undefined;
		this.#observations++;
		if (this.#observations >= DECAY_OBSERVATIONS) {
			this.#observations /= 2;
			for (let distance = 0; distance < MAX_DISTANCE; distance++) {
				this.#evidence[distance]! /= 2;
			}
		}
	}

	#findMostLikely(): number {
		let best = MIN_CAPACITY;
		let bestLikelihood = Number.NEGATIVE_INFINITY;
		let likelihood = 0;
		for (let capacity = 1; capacity <= MAX_DISTANCE; capacity++) {
			likelihood += this.#evidence[capacity - 1]! + (capacity <= INITIAL_CAPACITY ? PRIOR_EVIDENCE : -PRIOR_EVIDENCE);
			if (capacity >= MIN_CAPACITY && likelihood > bestLikelihood) {
				best = capacity;
				bestLikelihood = likelihood;
			}
		}

		return best;
	}
}
