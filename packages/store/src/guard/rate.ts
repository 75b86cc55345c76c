import type {Clock} from '@apricotwood/clock';

/** Token bucket: `perSecond` calls a second on average, `burst` at once. */
export class RateBudget {
	#tokens: number;
	#filledAtMs: number;

	constructor(private readonly clock: Clock, private readonly perSecond: number, private readonly burst: number) {
		this.#tokens = burst;
		this.#filledAtMs = clock.monotonic();
	}

	/** Takes one call from the budget, if there is one. */
	take(): boolean {
		const nowMs = this.clock.monotonic();
		this.#tokens = Math.min(this.burst, this.#tokens + ((nowMs - this.#filledAtMs) * this.perSecond / 1000));
		this.#filledAtMs = nowMs;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
