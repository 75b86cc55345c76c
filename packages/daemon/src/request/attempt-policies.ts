import {Priority} from '@apricotwood/agreement';
import {AttemptPolicy} from './attempt-policy.js';

/** Latency quantile, 0 to 1, after which an attempt is hedged, by priority; `undefined` disables hedging. */
const HEDGE_QUANTILE: Readonly<Record<Priority, number | undefined>> = {
	[Priority.Latency]: 0.95,
	[Priority.Headroom]: undefined,
};

/** Retry and hedge policies of this host by service. */
export class AttemptPolicies {
	readonly #byService = new Map<string, AttemptPolicy>();
	#hedgeQuantile: number | undefined;

	/** Applies a priority; resets all budgets and latency estimates if the hedge quantile changes. */
	apply(priority: Priority): void {
		const quantile = HEDGE_QUANTILE[priority];
		if (quantile !== this.#hedgeQuantile) {
			this.#byService.clear();
		}

		this.#hedgeQuantile = quantile;
	}

	get(service: string): AttemptPolicy {
		let policy = this.#byService.get(service);
		if (!policy) {
			policy = new AttemptPolicy(this.#hedgeQuantile);
			this.#byService.set(service, policy);
		}

		return policy;
	}
}
