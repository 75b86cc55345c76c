import type {Random} from '@apricotwood/clock';

/** Part of a request's time that it may wait for room. */
const MAX_WAIT_PART = 0.35;
/** Part of the time left that a caller waits before it comes back, as callers do at most. */
const MAX_RETURN_PART = 1 / 3;
const RETURN_SPREAD = 0.5;
const MIN_RETURN_MS = 20;

/** Instant until which a request may wait for room. */
export function waitUntilMs(startMs: number, endAtMs: number): number {
	return startMs + ((endAtMs - startMs) * MAX_WAIT_PART);
}

/**
 * When a rejected caller should come back, ms from now: spread over the time in
 * which room is expected. Answers a burst whose callers would all return at once.
 * @param leftMs time that the caller still waits.
 */
export function returnAfterMs(roomInMs: number, leftMs: number, random: Random): number {
	const spreadMs = roomInMs * (1 + (RETURN_SPREAD * random.next()));
	return Math.max(MIN_RETURN_MS, Math.min(spreadMs, leftMs * MAX_RETURN_PART));
}

/** A request that waits for room. */
export type Waiter<T> = {
	readonly item: T;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic ms at which the answer loses most of its value. */
	readonly targetAtMs: number;
	/** Whether the caller has been rejected before. */
	readonly isReturning: boolean;
};

/**
 * Requests that wait for room, in the order in which they are tried: those that
 * can still make their target before those that cannot, urgent kinds first,
 * callers that come back before newcomers, then by the time that is left.
 *
 * Answers a short peak at warm workers: without an order, requests that are
 * lost already take the slots of those that could still be answered in time.
 */
export class WaitingList<T> {
	readonly #waiters = new Set<Waiter<T>>();

	/** @param capacity most requests that wait. */
	constructor(private readonly capacity: number) {}

	get size(): number {
		return this.#waiters.size;
	}

	get isFull(): boolean {
		return this.#waiters.size >= this.capacity;
	}

	add(waiter: Waiter<T>): void {
		this.#waiters.add(waiter);
	}

	delete(waiter: Waiter<T>): void {
		this.#waiters.delete(waiter);
	}

	/** All waiters in the order in which they are to be tried. */
	inOrder(nowMs: number): Array<Waiter<T>> {
		return [...this.#waiters].toSorted((a, b) => compare(a, b, nowMs));
	}
}

function compare<T>(a: Waiter<T>, b: Waiter<T>, nowMs: number): number {
	return rank(a, nowMs) - rank(b, nowMs)
		|| a.priority - b.priority
		|| Number(b.isReturning) - Number(a.isReturning)
		|| a.targetAtMs - b.targetAtMs;
}

function rank<T>({targetAtMs}: Waiter<T>, nowMs: number): number {
	return targetAtMs > nowMs ? 0 : 1;
}
