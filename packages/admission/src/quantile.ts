const STEP_FRACTION = 0.05;
const MIN_STEP_MS = 0.05;

/**
 * Running estimate of one quantile in constant memory: it steps up after a
 * larger sample and down after a smaller one, in the ratio that balances at the
 * quantile (stochastic approximation, Robbins and Monro 1951).
 */
export class QuantileEstimator {
	#estimate: number | undefined;
	#sampleCount = 0;

	/** @param quantile between 0 and 1, such as 0.95. */
	constructor(private readonly quantile: number) {}

	/** The estimate; `undefined` before `minCount` samples. */
	value(minSamples = 20): number | undefined {
		return this.#sampleCount < minSamples ? undefined : this.#estimate;
	}

	record(sample: number): void {
		this.#sampleCount++;
		if (this.#estimate === undefined) {
			this.#estimate = sample;
			return;
		}

		const step = Math.max(MIN_STEP_MS, this.#estimate * STEP_FRACTION);
		this.#estimate += sample > this.#estimate ? step * this.quantile : -step * (1 - this.quantile);
	}
}
