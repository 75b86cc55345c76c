const LOG10_E = Math.LOG10E;
const MEAN_SMOOTHING_FACTOR = 0.1;
const MIN_MEAN_INTERVAL_MS = 200;

/**
 * Suspicion of one peer by the phi accrual method (Hayashibara et al. 2004),
 * with exponentially distributed gaps: phi = gap / mean gap * log10(e). It grows
 * with silence, so that one lost message does not condemn a peer.
 */
export class PhiAccrualDetector {
	#lastMessageMs: number;
	#meanIntervalMs: number;

	constructor(nowMs: number, expectedIntervalMs: number) {
		this.#lastMessageMs = nowMs;
		this.#meanIntervalMs = expectedIntervalMs;
	}

	get lastMessageMs(): number {
		return this.#lastMessageMs;
	}

	recordMessage(nowMs: number): void {
		const intervalMs = nowMs - this.#lastMessageMs;
		this.#lastMessageMs = nowMs;
		this.#meanIntervalMs = Math.max(MIN_MEAN_INTERVAL_MS, this.#meanIntervalMs + (MEAN_SMOOTHING_FACTOR * (intervalMs - this.#meanIntervalMs)));
	}

	/** 0 just after a message; 1 means that one such silence in ten is mere delay, 3 one in a thousand. */
	phi(nowMs: number): number {
		return (nowMs - this.#lastMessageMs) / this.#meanIntervalMs * LOG10_E;
	}
}
