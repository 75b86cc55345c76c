/** Interval at which the lag is measured, ms. */
const TICK_MS = 20;

/** Measures for how long this process did not react. */
export class LagMeter {
	#lastMs = performance.now();
	#lagMs = 0;
	readonly #timer = setInterval(() => {
		this.#tick();
	}, TICK_MS);

	/** Ends the measurement. @returns the sum of all lags since the start, ms: host, worker and caller run here, so that one lag may meet each of them. */
	stop(): number {
		clearInterval(this.#timer);
		this.#tick();
		return this.#lagMs;
	}

	#tick(): void {
		const nowMs = performance.now();
		this.#lagMs += Math.max(0, nowMs - this.#lastMs - TICK_MS);
		this.#lastMs = nowMs;
	}
}
