/** Time without a response after which another peer is asked as well, ms. */
const HEDGE_DELAY_MS = 200;
/** Maximum number of requests at the same time, each to another peer. */
const MAX_REQUESTS = 3;
/** Time for which a peer is not asked again after a failed request, ms. It doubles with each further failure, so that peers that do not respond do not take all turns. */
const FAILURE_PAUSE_MS = 2000;
const MAX_FAILURE_PAUSE_MS = 16_000;

/**
 * Decides which peers are asked for the missing changes of one data set. A peer
 * that does not respond causes a short delay only, as the next one that has the
 * changes is asked as well. Times are monotonic ms, and peers are identified by the
 * hash of their id.
 */
export class CatchUpSchedule {
	/** Start of each request in progress by peer. */
	readonly #startedAtMs = new Map<number, number>();
	/** Consecutive failed requests by peer, and the time before which it is not asked again. */
	readonly #failures = new Map<number, {readonly count: number; readonly pausedUntilMs: number}>();

	/** Whether a peer may be asked now. */
	canAsk(peer: number, nowMs: number): boolean {
		const isPaused = nowMs < (this.#failures.get(peer)?.pausedUntilMs ?? Number.NEGATIVE_INFINITY);
		const isInTurn = this.#startedAtMs.size < MAX_REQUESTS && [...this.#startedAtMs.values()].every(startedAtMs => nowMs - startedAtMs >= HEDGE_DELAY_MS);
		return !isPaused && isInTurn && !this.#startedAtMs.has(peer);
	}

	recordStart(peer: number, nowMs: number): void {
		this.#startedAtMs.set(peer, nowMs);
	}

	recordEnd(peer: number, hasFailed: boolean, nowMs: number): void {
		this.#startedAtMs.delete(peer);
		if (!hasFailed) {
			this.#failures.delete(peer);
			return;
		}

		const count = (this.#failures.get(peer)?.count ?? 0) + 1;
		this.#failures.set(peer, {count, pausedUntilMs: nowMs + Math.min(MAX_FAILURE_PAUSE_MS, FAILURE_PAUSE_MS * (2 ** (count - 1)))});
	}
}
