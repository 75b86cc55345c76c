/** How an adaptive limit reacts. */
export type AdaptiveLimitOptions = {
	/** Span over which a joining worker reaches its whole limit, ms. @default 5000 */
	readonly rampMs?: number;
	/** A latency above this multiple of the baseline counts as slow. @default 3 */
	readonly slowFactor?: number;
	/** Latencies below this are never slow, ms. @default 50 */
	readonly slowFloorMs?: number;
};

const DEFAULT_RAMP_MS = 5000;
const DEFAULT_SLOW_FACTOR = 3;
const DEFAULT_SLOW_FLOOR_MS = 50;
const SHED_DECREASE_FACTOR = 0.5;
const SLOW_DECREASE_FACTOR = 0.9;
/** Recovery of the limit for each good answer, as a part of the whole. */
const FRACTION_INCREASE_STEP = 0.02;
const MIN_FRACTION = 0.1;
const LATENCY_EWMA_WEIGHT = 0.2;
const BASELINE_EWMA_WEIGHT = 0.01;
/** Makes up for rounding errors, so that a whole part yields the whole grant. */
const ROUNDING_EPSILON = 1e-9;
/** Two cuts of the limit are at least this far apart, ms. */
const MIN_DECREASE_INTERVAL_MS = 200;

/**
 * Part of a worker's granted units that are used, by additive increase and
 * multiplicative decrease (Chiu and Jain 1989). Sheds and slow answers cut it,
 * good answers raise it; it never exceeds the grant.
 */
export class AdaptiveLimit {
	#fraction = 1;
	#rampStartMs: number;
	#lastDecreaseMs = Number.NEGATIVE_INFINITY;
	#latencyMs: number | undefined;
	#baselineMs: number | undefined;
	readonly #rampMs: number;
	readonly #slowFactor: number;
	readonly #slowFloorMs: number;

	/** @param joinedAtMs when the worker joined, monotonic ms; its ramp starts there. */
	constructor(joinedAtMs: number, options: AdaptiveLimitOptions = {}) {
		this.#rampStartMs = joinedAtMs;
		this.#rampMs = options.rampMs ?? DEFAULT_RAMP_MS;
		this.#slowFactor = options.slowFactor ?? DEFAULT_SLOW_FACTOR;
		this.#slowFloorMs = options.slowFloorMs ?? DEFAULT_SLOW_FLOOR_MS;
	}

	/** Smoothed latency of answers, ms. */
	get latencyMs(): number | undefined {
		return this.#latencyMs;
	}

	/** Units of a grant that may be used now: at least 1 of a grant of 1 or more, at most the grant. */
	usableUnits(granted: number, nowMs: number): number {
		if (granted === 0) {
			return 0;
		}

		const rampFraction = Math.min(1, (nowMs - this.#rampStartMs) / this.#rampMs);
		return Math.max(1, Math.min(granted, Math.floor((granted * this.#fraction * Math.max(0, rampFraction)) + ROUNDING_EPSILON)));
	}

	/** Starts the ramp again, for a worker that comes back with cold caches. */
	reset(nowMs: number): void {
		this.#rampStartMs = nowMs;
		this.#fraction = 1;
		this.#baselineMs = undefined;
		this.#latencyMs = undefined;
	}

	recordResponse(latencyMs: number, nowMs: number): void {
		this.#latencyMs = updateAverage(this.#latencyMs, latencyMs, LATENCY_EWMA_WEIGHT);
		const isSlow = this.#baselineMs !== undefined
			&& this.#latencyMs > Math.max(this.#slowFloorMs, this.#baselineMs * this.#slowFactor);
		if (isSlow) {
			this.#decrease(SLOW_DECREASE_FACTOR, nowMs);
		} else {
			this.#fraction = Math.min(1, this.#fraction + FRACTION_INCREASE_STEP);
		}

		// Falls at once and rises slowly, so that a worker that turns slow does not become its own measure.
		this.#baselineMs = this.#baselineMs === undefined || latencyMs < this.#baselineMs
			? latencyMs
			: updateAverage(this.#baselineMs, latencyMs, BASELINE_EWMA_WEIGHT);
	}

	recordShed(nowMs: number): void {
		this.#decrease(SHED_DECREASE_FACTOR, nowMs);
	}

	#decrease(factor: number, nowMs: number): void {
		if (nowMs - this.#lastDecreaseMs < MIN_DECREASE_INTERVAL_MS) {
			return;
		}

		this.#lastDecreaseMs = nowMs;
		this.#fraction = Math.max(MIN_FRACTION, this.#fraction * factor);
	}
}

/** One step of an exponentially weighted moving average. */
function updateAverage(previous: number | undefined, sample: number, weight: number): number {
	return previous === undefined ? sample : previous + (weight * (sample - previous));
}
