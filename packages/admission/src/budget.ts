/** A budget's size. */
export type AttemptBudgetOptions = {
	/** Extra attempts allowed for each request, on average. */
	readonly ratio: number;
	/** Most extra attempts saved up. */
	readonly burst: number;
};

/** Retries: at most a tenth of the traffic. */
export const RETRY_BUDGET: AttemptBudgetOptions = {ratio: 0.1, burst: 10};
/** Hedges: at most a twentieth of the traffic. */
export const HEDGE_BUDGET: AttemptBudgetOptions = {ratio: 0.05, burst: 5};

/** Token bucket filled by requests and drained by extra attempts, so that these stay a fixed share of traffic. */
export class AttemptBudget {
	#tokens: number;

	constructor(private readonly options: AttemptBudgetOptions) {
		this.#tokens = options.burst;
	}

	recordRequest(): void {
		this.#tokens = Math.min(this.options.burst, this.#tokens + this.options.ratio);
	}

	/** Takes one extra attempt, if there is one. */
	tryConsume(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
