import type {Clock} from '@apricotwood/clock';

/** Token bucket: admits `perSecond` calls a second on average and bursts of up to `capacity` calls. */
export class TokenBucket {
	#tokens: number;
	#refilledAtMs: number;

	constructor(private readonly clock: Clock, private readonly perSecond: number, private readonly capacity: number) {
		this.#tokens = capacity;
		this.#refilledAtMs = clock.monotonic();
	}

	/** Whether no token is available now. */
	get isEmpty(): boolean {
		this.#refill();
		return this.#tokens < 1;
	}

	/** Consumes a token if one is available. @returns whether a token was consumed. */
	tryTake(): boolean {
		if (this.isEmpty) {
			return false;
		}

		this.#tokens--;
		return true;
	}

	#refill(): void {
		const nowMs = this.clock.monotonic();
		this.#tokens = Math.min(this.capacity, this.#tokens + ((nowMs - this.#refilledAtMs) * this.perSecond / 1000));
		this.#refilledAtMs = nowMs;
	}
}
