/** Shortest interval, ms. */
const MIN_INTERVAL_MS = 40;
/** Longest interval, ms. */
const MAX_INTERVAL_MS = 200;
/** Interval, as a ratio of the mean duration of a request at a worker. */
const DURATION_RATIO = 0.4;
/** Weight of a new response in the means. */
const SMOOTHING = 0.02;
/** Ratio of responses from workers without a free slot from which the interval follows the duration; below, it grows to the longest one. */
const CONTENTION_FULL_RATIO = 0.2;

/**
 * Determines how often a host reports its in-flight requests to its peers. The
 * more workers are full, the closer it comes to several times during a request: a
 * report that is older than the requests that it counts says little about the load
 * of a worker.
 */
export class ReportInterval {
	#meanDurationMs = 0;
	#fullRatio = 0;

	/**
	 * Records a response.
	 * @param durationMs time from sending the request to the end of the response, ms.
	 * @param wasFull whether the worker had no free slot when it responded.
	 */
	record(durationMs: number, wasFull: boolean): void {
		this.#meanDurationMs += (durationMs - this.#meanDurationMs) * (this.#meanDurationMs === 0 ? 1 : SMOOTHING);
		this.#fullRatio += (Number(wasFull) - this.#fullRatio) * SMOOTHING;
	}

	/** Time between two reports, ms. */
	get ms(): number {
		const shortMs = Math.max(MIN_INTERVAL_MS, Math.min(MAX_INTERVAL_MS, this.#meanDurationMs * DURATION_RATIO));
		const contention = Math.min(1, this.#fullRatio / CONTENTION_FULL_RATIO);
		return MAX_INTERVAL_MS - ((MAX_INTERVAL_MS - shortMs) * contention);
	}
}
