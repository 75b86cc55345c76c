import type {AttemptDurations} from './attempt-durations.js';
import type {Route} from './config.js';

/** A request that may be started. */
export type TimedRequest = {
	readonly route: Route;
	readonly service: string;
	/** Deadline of the response, monotonic ms. */
	readonly deadlineAtMs: number;
};

/** Time after its deadline by which a request has ended in any case, ms. */
const RESPONSE_GRACE_MS = 200;

/**
 * The time at which this host ends, and which requests it may still start. A request
 * that is in flight when the host ends is cut, and its caller cannot know whether it
 * has run; one that is not started can be sent to another host.
 */
export class ShutdownDeadline {
	#endAtMs = Number.POSITIVE_INFINITY;

	constructor(private readonly durations: AttemptDurations) {}

	/** Sets the time at which the host ends, monotonic ms. */
	set(endAtMs: number): void {
		this.#endAtMs = endAtMs;
	}

	/**
	 * Whether a request that is started now has its response before the host ends. Its
	 * deadline decides, or how long requests of its route take where that is known.
	 */
	allows({route, service, deadlineAtMs}: TimedRequest, nowMs: number): boolean {
		if (deadlineAtMs + RESPONSE_GRACE_MS <= this.#endAtMs) {
			return true;
		}

		const longestMs = this.durations.estimateLongest(route, service);
		return longestMs !== undefined && nowMs + longestMs <= this.#endAtMs;
	}
}
