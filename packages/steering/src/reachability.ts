/** Number of workers that fail in a row from which it is doubtful whether this host reaches any. */
const DOUBTFUL_FAILURES = 2;
/** Time without any sign of a worker after which one is probed, ms. */
const IDLE_PROBE_AFTER_MS = 1000;

/**
 * Tells whether this host reaches workers at all, from the connections that it
 * opens. Several workers that fail in a row may have crashed together; only when a
 * sample of the others fails as well, the host takes itself to be isolated.
 * Connections that were opened before may live on meanwhile, so responses on them
 * are no proof of the contrary. Times are monotonic ms.
 */
export class ReachabilityTracker {
	readonly #failed = new Set<number>();
	#isIsolated = false;
	#lastSignMs = Number.NEGATIVE_INFINITY;

	/** Whether no worker can be reached. */
	get isIsolated(): boolean {
		return this.#isIsolated;
	}

	/** Whether several workers failed and none has accepted a connection since. */
	get isDoubtful(): boolean {
		return this.#isIsolated || this.#failed.size >= DOUBTFUL_FAILURES;
	}

	/** Whether a worker should be probed although nothing is wrong, because there was no traffic. */
	isProbeDue(nowMs: number): boolean {
		return this.#failed.size > 0 || nowMs - this.#lastSignMs >= IDLE_PROBE_AFTER_MS;
	}

	/** Whether the worker has failed since another one accepted a connection. */
	hasFailed(worker: number): boolean {
		return this.#failed.has(worker);
	}

	/** Records that a worker accepted a connection, which ends an isolation. @returns whether it ended. */
	recordConnect(nowMs: number): boolean {
		const wasIsolated = this.#isIsolated;
		this.#failed.clear();
		this.#isIsolated = false;
		this.#lastSignMs = nowMs;
		return wasIsolated;
	}

	/** Records that no connection to the worker could be opened. @param worker hash of the worker's id. */
	recordFailure(worker: number): void {
		this.#failed.add(worker);
	}

	/** Records a response on a connection, old or new. */
	recordResponse(nowMs: number): void {
		this.#lastSignMs = nowMs;
	}

	/** Records that all workers of a sample failed. @returns whether the host is isolated since. */
	recordFailedSample(): boolean {
		const isNew = this.isDoubtful && !this.#isIsolated;
		this.#isIsolated ||= this.isDoubtful;
		return isNew;
	}
}
