/** A request that may be started. */
export type TimedRequest = {
	/** Monotonic ms. */
	readonly deadlineAtMs: number;
};

/** Time after its deadline by which a request has ended in any case, ms. */
const RESPONSE_MARGIN_MS = 200;

/**
 * The time at which this host resets what is in flight, and which requests it may
 * still start. A request that is cut then may have run; one that is not started
 * can be sent to another host.
 */
export class StopDeadline {
	#endAtMs = Number.POSITIVE_INFINITY;

	/** Monotonic ms; infinite until `set` is called. */
	get endAtMs(): number {
		return this.#endAtMs;
	}

	get isSet(): boolean {
		return this.#endAtMs !== Number.POSITIVE_INFINITY;
	}

	set(endAtMs: number): void {
		this.#endAtMs = endAtMs;
	}

	/** Whether an attempt, a hop to another host or a wait for units may start: the deadline of the request bounds its end. */
	allows({deadlineAtMs}: TimedRequest): boolean {
		return deadlineAtMs + RESPONSE_MARGIN_MS <= this.#endAtMs;
	}
}
