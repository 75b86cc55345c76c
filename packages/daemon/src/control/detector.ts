const LOG10_E = Math.LOG10E;
const SMOOTHING = 0.1;
const MIN_MEAN_MS = 200;

/**
 * Suspicion of one peer by the phi accrual method (Hayashibara et al. 2004),
 * with exponentially distributed gaps: phi = gap / mean gap * log10(e). It grows
 * with silence, so that one lost message does not condemn a peer.
 */
export class SuspicionLevel {
	#lastHeardMs: number;
	#meanGapMs: number;

	constructor(nowMs: number, expectedGapMs: number) {
		this.#lastHeardMs = nowMs;
		this.#meanGapMs = expectedGapMs;
	}

	get lastHeardMs(): number {
		return this.#lastHeardMs;
	}

	recordHeard(nowMs: number): void {
		const gapMs = nowMs - this.#lastHeardMs;
		this.#lastHeardMs = nowMs;
		this.#meanGapMs = Math.max(MIN_MEAN_MS, this.#meanGapMs + (SMOOTHING * (gapMs - this.#meanGapMs)));
	}

	/** 0 just after a message; 1 means that one such silence in ten is mere delay, 3 one in a thousand. */
	phi(nowMs: number): number {
		return (nowMs - this.#lastHeardMs) / this.#meanGapMs * LOG10_E;
	}
}
