/** Width of a histogram bucket, as a ratio of the first timeout seen on the route. */
const BUCKET_WIDTH_RATIO = 0.025;
/** Index of the last bucket, which also counts all longer timeouts, so that absurd header values cannot stall the search for the range. */
const MAX_BUCKET = 1000;
/** A bucket belongs to the range of first attempts if its count is at least this ratio of the most common bucket's count. */
const MIN_DENSITY_RATIO = 0.25;
/** This many consecutive buckets with too few requests end the range of first attempts. */
const MAX_GAP_BUCKETS = 2;
/** Number of recorded requests on a route from which the computed range of first attempts is relied on; before, `EARLY_RETRY_RATIO` applies. */
const MIN_RANGE_REQUESTS = 60;
/** Until `MIN_RANGE_REQUESTS`, a timeout counts as a retry below this ratio of the highest bucket of the range. */
const EARLY_RETRY_RATIO = 0.6;
/** When the total reaches this many requests, it and all counts are halved, and counts below 1 are deleted, so that the histogram follows a change of the callers' timeouts. */
const DECAY_REQUESTS = 400;
/** The range of first attempts is recomputed after this many requests. */
const UPDATE_INTERVAL_REQUESTS = 20;

/** Histogram of the callers' remaining timeouts on a route. */
type TimeoutHistogram = {
	readonly bucketMs: number;
	total: number;
	requestsSinceUpdate: number;
	/** Decayed number of requests by bucket of the remaining timeout. */
	readonly counts: Map<number, number>;
	/** Range of first attempts, as the indices of its first and last bucket. */
	lowBucket: number;
	highBucket: number;
};

/**
 * Detects retries of callers and estimates the time since the first attempt
 * from the remaining timeout that a request announces.
 *
 * Callers of a route start with similar timeouts, at most a sixth below the
 * longest, and the remaining timeout shrinks with each retry. First attempts
 * therefore form a dense range of the histogram, with retries sparse below it.
 */
export class RetryDetector {
	readonly #histograms = new Map<string, TimeoutHistogram>();

	/** @param remainingTimeoutMs remaining timeout of the caller. @returns time since the caller's first attempt, ms; 0 for a first attempt. */
	estimateElapsedMs(route: string, remainingTimeoutMs: number): number {
		let histogram = this.#histograms.get(route);
		if (!histogram) {
			const bucketMs = Math.max(1, remainingTimeoutMs * BUCKET_WIDTH_RATIO);
			const bucket = Math.round(remainingTimeoutMs / bucketMs);
			histogram = {
				bucketMs, total: 0, requestsSinceUpdate: 0, counts: new Map(), lowBucket: bucket, highBucket: bucket,
			};
			this.#histograms.set(route, histogram);
		}

		recordTimeout(histogram, remainingTimeoutMs);
		const {lowBucket, highBucket, bucketMs, total} = histogram;
		// One bucket below the range is tolerated.
		const minFirstAttemptMs = (total < MIN_RANGE_REQUESTS ? highBucket * EARLY_RETRY_RATIO : lowBucket - 1) * bucketMs;
		return remainingTimeoutMs < minFirstAttemptMs ? ((lowBucket + highBucket) / 2 * bucketMs) - remainingTimeoutMs : 0;
	}
}

function recordTimeout(histogram: TimeoutHistogram, remainingTimeoutMs: number): void {
	const bucket = Math.min(MAX_BUCKET, Math.round(remainingTimeoutMs / histogram.bucketMs));
	histogram.counts.set(bucket, (histogram.counts.get(bucket) ?? 0) + 1);
	histogram.total++;
	histogram.requestsSinceUpdate++;
	if (histogram.total >= DECAY_REQUESTS) {
		decayCounts(histogram);
	}

	if (histogram.requestsSinceUpdate >= UPDATE_INTERVAL_REQUESTS) {
		updateRange(histogram);
	}
}

function decayCounts(histogram: TimeoutHistogram): void {
	histogram.total /= 2;
	for (const [bucket, count] of histogram.counts) {
		if (count < 1) {
			histogram.counts.delete(bucket);
		} else {
			histogram.counts.set(bucket, count / 2);
		}
	}
}

/** Recomputes the range of first attempts: the buckets around the most common one that have enough requests. */
function updateRange(histogram: TimeoutHistogram): void {
	histogram.requestsSinceUpdate = 0;
	let mode = histogram.highBucket;
	for (const [bucket, count] of histogram.counts) {
		if (count > (histogram.counts.get(mode) ?? 0)) {
			mode = bucket;
		}
	}

	const minCount = (histogram.counts.get(mode) ?? 0) * MIN_DENSITY_RATIO;
	histogram.lowBucket = findRangeEdge(histogram.counts, mode, -1, minCount);
	histogram.highBucket = findRangeEdge(histogram.counts, mode, 1, minCount);
}

/** Finds the last bucket of the range in one direction. */
function findRangeEdge(counts: ReadonlyMap<number, number>, mode: number, direction: 1 | -1, minCount: number): number {
	let edge = mode;
	for (let bucket = mode + direction, gap = 0; gap < MAX_GAP_BUCKETS; bucket += direction) {
		if ((counts.get(bucket) ?? 0) >= minCount) {
			edge = bucket;
			gap = 0;
		} else {
			gap++;
		}
	}

	return edge;
}
