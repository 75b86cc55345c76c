import {
	HEDGE_BUDGET, QuantileEstimator, RETRY_BUDGET, AttemptBudget,
} from '@apricotwood/admission';

/** Retry and hedge budgets and hedge delay of one service on this host. */
export class AttemptPolicy {
	readonly retryBudget = new AttemptBudget(RETRY_BUDGET);
	readonly hedgeBudget = new AttemptBudget(HEDGE_BUDGET);
	readonly latency: QuantileEstimator;

	/** @param hedgeQuantile latency quantile, 0 to 1, after which an attempt is hedged; `undefined` disables hedging. */
	constructor(readonly hedgeQuantile: number | undefined) {
		this.latency = new QuantileEstimator(hedgeQuantile ?? 0.99);
	}

	/** Delay before a hedge, ms; `undefined` if hedging is disabled or no latency is known. */
	get hedgeDelayMs(): number | undefined {
		return this.hedgeQuantile === undefined ? undefined : this.latency.value();
	}
}
