import type {Clock, Timer} from './clock.js';

type PendingTimer = {
	readonly dueMs: number;
	readonly callback: () => void;
	isCancelled: boolean;
};

/** Clock for tests whose time moves only by `advance`. Timers fire by due time, and in creation order if due at the same time. */
export class FakeClock implements Clock {
	#nowMs: number;
	/** Ordered by due time, the earliest timer last; of those due at the same time, the oldest last. */
	readonly #pending: PendingTimer[] = [];

	constructor(startMs = 1_700_000_000_000) {
		this.#nowMs = startMs;
	}

	now(): number {
		return this.#nowMs;
	}

	monotonic(): number {
		return this.#nowMs;
	}

	after(delayMs: number, callback: () => void): Timer {
		const timer: PendingTimer = {dueMs: this.#nowMs + Math.max(0, delayMs), callback, isCancelled: false};
		this.#pending.splice(this.#findPosition(timer.dueMs), 0, timer);
		return {
			cancel() {
				timer.isCancelled = true;
			},
		};
	}

	/** Moves time forward by `durationMs`, firing each timer at its due time. */
	advance(durationMs: number): void {
		const endMs = this.#nowMs + durationMs;
		for (let next = this.#pending.at(-1); next && next.dueMs <= endMs; next = this.#pending.at(-1)) {
			this.#pending.pop();
			if (!next.isCancelled) {
				this.#nowMs = Math.max(this.#nowMs, next.dueMs);
				next.callback();
			}
		}

		this.#nowMs = endMs;
	}

	/** Moves time forward in steps of `stepMs`, running pending promise callbacks after each step. */
	async advanceAsync(durationMs: number, stepMs = 10): Promise<void> {
		for (let remainingMs = durationMs; remainingMs > 0; remainingMs -= stepMs) {
			this.advance(Math.min(stepMs, remainingMs));
			await new Promise<void>(resolve => { // eslint-disable-line no-await-in-loop
				setImmediate(resolve);
			});
		}
	}

	/** Index of the first timer that is due at `dueMs` or earlier. */
	#findPosition(dueMs: number): number {
		let low = 0;
		let high = this.#pending.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#pending[middle]!.dueMs > dueMs) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}
