const STEP_PART = 0.05;
const MIN_STEP_MS = 0.05;

/**
 * Running estimate of one quantile in constant memory: it steps up after a
 * larger sample and down after a smaller one, in the ratio that balances at the
 * quantile (stochastic approximation, Robbins and Monro 1951).
 */
export class QuantileEstimate {
	#value: number | undefined;
	#count = 0;

	/** @param quantile between 0 and 1, such as 0.95. */
	constructor(private readonly quantile: number) {}

	/** The estimate; `undefined` before `minCount` samples. */
	value(minCount = 20): number | undefined {
		return this.#count < minCount ? undefined : this.#value;
	}

	record(sample: number): void {
		this.#count++;
		if (this.#value === undefined) {
			this.#value = sample;
			return;
		}

		const step = Math.max(MIN_STEP_MS, this.#value * STEP_PART);
		this.#value += sample > this.#value ? step * this.quantile : -step * (1 - this.quantile);
	}
}
