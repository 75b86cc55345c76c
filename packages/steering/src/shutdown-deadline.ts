import type {AttemptDurations} from './attempt-durations.js';
import type {Route} from './config.js';

/** A request that may be started. */
export type TimedRequest = {
	readonly route: Route;
	readonly service: string;
	/** Deadline of the response, monotonic ms. */
	readonly deadlineAtMs: number;
};

/** An attempt at a worker that is in progress. */
export type StartedAttempt = {
	readonly route: Route;
	readonly service: string;
	/** Monotonic ms. */
	readonly startAtMs: number;
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

	/** @param running attempts of this host that are in progress. */
	constructor(private readonly durations: AttemptDurations, private readonly running: Iterable<StartedAttempt>) {}

	/** Sets the time at which the host ends, monotonic ms. */
	set(endAtMs: number): void {
		this.#endAtMs = endAtMs;
	}

	/**
	 * Whether a request that is started now has its response before the host ends. Its
	 * deadline decides, or how long requests of its route take where
	 * that is known, those in progress included.
	 */
	allows({route, service, deadlineAtMs}: TimedRequest, nowMs: number): boolean {
		if (deadlineAtMs + RESPONSE_GRACE_MS <= this.#endAtMs) {
			return true;
		}

		const longestMs = this.durations.estimateLongest(route, service, this.#getLongestRunningMs(route, service, nowMs));
		return longestMs !== undefined && nowMs + longestMs <= this.#endAtMs;
	}

	/** Time for which the longest attempt of a route that is in progress has run, ms; 0 if there is none. */
	#getLongestRunningMs(route: Route, service: string, nowMs: number): number {
		let longestMs = 0;
		for (const attempt of this.running) {
			if (attempt.route.name === route.name && attempt.service === service) {
				longestMs = Math.max(longestMs, nowMs - attempt.startAtMs);
			}
		}

		return longestMs;
	}
}
