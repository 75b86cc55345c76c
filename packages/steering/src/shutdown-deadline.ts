/** Options of a {@link ShutdownDeadline}. */
export type ShutdownDeadlineOptions = {
	/** Time after its deadline by which a request has ended in any case, ms. */
	readonly marginMs: number;
};

/**
 * The time at which this host ends, and which requests it may still start. A request
 * that is in flight when the host ends is cut, and its caller cannot know whether it
 * has run; one that is not started can be sent to another host. Only the deadline of
 * a request bounds how long it takes: earlier requests of its route may have been
 * short because their objects were cached or their bodies small.
 */
export class ShutdownDeadline {
	readonly #marginMs: number;
	#endAtMs = Number.POSITIVE_INFINITY;

	constructor({marginMs}: ShutdownDeadlineOptions) {
		this.#marginMs = marginMs;
	}

	/** Time at which what is in flight is reset, monotonic ms; infinite until `set` is called. */
	get endAtMs(): number {
		return this.#endAtMs;
	}

	get isSet(): boolean {
		return this.#endAtMs !== Number.POSITIVE_INFINITY;
	}

	/** Sets the time at which the host ends, monotonic ms. */
	set(endAtMs: number): void {
		this.#endAtMs = endAtMs;
	}

	/** From now on, nothing is started any more. */
	close(): void {
		this.#endAtMs = Number.NEGATIVE_INFINITY;
	}

	/** Whether a request that is started now has ended before the host. @param deadlineAtMs deadline of the request, monotonic ms. */
	allows({deadlineAtMs}: {readonly deadlineAtMs: number}): boolean {
		return deadlineAtMs + this.#marginMs <= this.#endAtMs;
	}
}
