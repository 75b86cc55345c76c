/** Bounds on the retries of all hosts together. A retry is a further attempt by a host; when a caller repeats a request, its first attempt is not a retry. */
export type RetryBudgetOptions = {
	/** Allowed retries, as a ratio of the requests of a service. */
	readonly ratio: number;
	/** Allowed retries in addition, per service and window, for all hosts together. */
	readonly extra: number;
	/** Length of the sliding window, ms. */
	readonly windowMs: number;
};

/** Factor on the bound. The margin is needed because the window moves in steps of a bucket, and because a retry that arrives late is counted in a later window at the receiver. */
const SAFETY_FACTOR = 0.85;
/** Number of buckets of the sliding window. */
const BUCKET_COUNT = 10;

/** Requests and retries of one service in the sliding window. */
type WindowCounts = {
	/** Number of the current bucket since time 0. */
	bucket: number;
	readonly requests: number[];
	readonly retries: number[];
};

/**
 * Limits the retries of this host to its share of the bound for all hosts: a
 * ratio of its own requests and an even share of the additional retries.
 * Without the limit, workers that fail or shed many requests at once would cause
 * every request to be sent twice, which would overload the healthy workers.
 *
 * The counts do not outlive the process. A host that has started again may have
 * used up its share before, so its budget is closed for the length of a window.
 */
export class RetryBudget {
	readonly #windows = new Map<string, WindowCounts>();

	/**
	 * @param closedUntilMs time before which no retry is allowed, monotonic ms. @default none
	 */
	constructor(private readonly options: RetryBudgetOptions, private closedUntilMs = Number.NEGATIVE_INFINITY) {}

	/** Allows retries from now on. */
	open(): void {
		this.closedUntilMs = Number.NEGATIVE_INFINITY;
	}

	/** Counts a request, which raises the budget. */
	recordRequest(service: string, nowMs: number): void {
		const counts = this.#currentWindow(service, nowMs);
		counts.requests[counts.bucket % BUCKET_COUNT]!++;
	}

	/** Takes one retry from the budget. @returns `false` when the budget is used up or closed. */
	tryTake(service: string, hostCount: number, nowMs: number): boolean {
		if (nowMs < this.closedUntilMs) {
			return false;
		}

		const counts = this.#currentWindow(service, nowMs);
		const allowed = SAFETY_FACTOR * ((this.options.ratio * sum(counts.requests)) + (this.options.extra / Math.max(1, hostCount)));
		if (sum(counts.retries) + 1 > allowed) {
			return false;
		}

		counts.retries[counts.bucket % BUCKET_COUNT]!++;
		return true;
	}

	/** Counts of the service, after dropping the buckets that have left the window. */
	#currentWindow(service: string, nowMs: number): WindowCounts {
		const bucket = Math.floor(nowMs * BUCKET_COUNT / this.options.windowMs);
		let counts = this.#windows.get(service);
		if (!counts) {
			counts = {bucket, requests: Array.from<number>({length: BUCKET_COUNT}).fill(0), retries: Array.from<number>({length: BUCKET_COUNT}).fill(0)};
			this.#windows.set(service, counts);
		}

		for (let steps = 0; counts.bucket < bucket && steps < BUCKET_COUNT; steps++) {
			counts.bucket++;
			counts.requests[counts.bucket % BUCKET_COUNT] = 0;
			counts.retries[counts.bucket % BUCKET_COUNT] = 0;
		}

		counts.bucket = bucket;
		return counts;
	}
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
