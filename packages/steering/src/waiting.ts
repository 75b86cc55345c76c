import type {Random} from '@apricotwood/clock';

/** Maximum wait for a worker, as a ratio of the time until the deadline of the request. */
const MAX_WAIT_RATIO = 0.35;
/** Maximum retry delay, as a ratio of the remaining time of the caller, because callers do not wait for longer delays. `MIN_RETRY_AFTER_MS` takes precedence. */
const MAX_RETRY_AFTER_RATIO = 1 / 3;
/** Maximum random increase of the retry delay, as a ratio of the expected time until a worker is available. */
const RETRY_AFTER_JITTER = 0.5;
/** Minimum retry delay, ms. */
const MIN_RETRY_AFTER_MS = 20;

/** Computes the latest time until which a request may wait for a worker, ms, on the same clock as the arguments. */
export function computeWaitUntilMs(startMs: number, deadlineAtMs: number): number {
	return startMs + ((deadlineAtMs - startMs) * MAX_WAIT_RATIO);
}

/**
 * Computes the delay after which a rejected caller should retry, ms. The delay
 * has jitter, so that the callers of a burst do not all retry at the same time.
 * @param availableInMs expected time until a worker is available.
 * @param remainingMs time for which the caller still waits for a response.
 */
export function computeRetryAfterMs(availableInMs: number, remainingMs: number, random: Random): number {
	const spreadMs = availableInMs * (1 + (RETRY_AFTER_JITTER * random.next()));
	return Math.max(MIN_RETRY_AFTER_MS, Math.min(spreadMs, remainingMs * MAX_RETRY_AFTER_RATIO));
}

/** A request that waits for a worker. */
export type Waiter<T> = {
	readonly item: T;
	readonly service: string;
	/** 0 is the highest priority. */
	readonly priority: number;
	/** Target for the response, monotonic ms. */
	readonly targetAtMs: number;
	/** Whether the caller has been rejected before and retries. */
	readonly isCallerRetry: boolean;
};

/**
 * Holds requests that wait for a worker and orders them for the next attempt to
 * place them: first those whose target has not passed, then by priority, then
 * callers that retry, then by the target.
 *
 * Without this order, during a short peak, requests that have missed their
 * target would take the slots of those that could still meet it.
 */
export class WaitingRequests<T> {
	readonly #waiters = new Set<Waiter<T>>();

	/** @param capacity number of requests from which `isFull` is set; `add` does not enforce it. */
	constructor(private readonly capacity: number) {}

	get size(): number {
		return this.#waiters.size;
	}

	get isFull(): boolean {
		return this.#waiters.size >= this.capacity;
	}

	/** Number of waiting requests for a service that precede a new one of the same priority. */
	countBefore(service: string, priority: number): number {
		let count = 0;
		for (const waiter of this.#waiters) {
			count += waiter.service === service && waiter.priority <= priority ? 1 : 0;
		}

		return count;
	}

	add(waiter: Waiter<T>): void {
		this.#waiters.add(waiter);
	}

	delete(waiter: Waiter<T>): void {
		this.#waiters.delete(waiter);
	}

	/** All waiting requests, in the order in which they should be placed. */
	listByPriority(nowMs: number): Array<Waiter<T>> {
		return [...this.#waiters].toSorted((a, b) => compareWaiters(a, b, nowMs));
	}
}

function compareWaiters<T>(a: Waiter<T>, b: Waiter<T>, nowMs: number): number {
	return rankLateness(a, nowMs) - rankLateness(b, nowMs)
		|| a.priority - b.priority
		|| Number(b.isCallerRetry) - Number(a.isCallerRetry)
		|| a.targetAtMs - b.targetAtMs;
}

function rankLateness<T>({targetAtMs}: Waiter<T>, nowMs: number): number {
	return targetAtMs > nowMs ? 0 : 1;
}
