import type {Clock, Timer} from './clock.js';

type Entry = {
	readonly dueMs: number;
	readonly order: number;
	readonly run: () => void;
};

/** A clock that moves only when told to; timers fire in order of their due time. */
export class FakeClock implements Clock {
	#nowMs: number;
	#order = 0;
	readonly #pending = new Set<Entry>();

	constructor(startMs = 1_700_000_000_000) {
		this.#nowMs = startMs;
	}

	now(): number {
		return this.#nowMs;
	}

	monotonic(): number {
		return this.#nowMs;
	}

	after(delayMs: number, run: () => void): Timer {
		const entry: Entry = {dueMs: this.#nowMs + Math.max(0, delayMs), order: this.#order++, run};
		this.#pending.add(entry);
		return {
			cancel: () => {
				this.#pending.delete(entry);
			},
		};
	}

	/** Moves time forward by `spanMs`, firing each timer at its own instant. */
	advance(spanMs: number): void {
		const endMs = this.#nowMs + spanMs;
		for (let next = this.#earliest(); next && next.dueMs <= endMs; next = this.#earliest()) {
			this.#pending.delete(next);
			this.#nowMs = Math.max(this.#nowMs, next.dueMs);
			next.run();
		}

		this.#nowMs = endMs;
	}

	/** Moves time like `advance`, letting promise callbacks run between steps of `stepMs`. */
	async advanceAsync(spanMs: number, stepMs = 10): Promise<void> {
		for (let leftMs = spanMs; leftMs > 0; leftMs -= stepMs) {
			this.advance(Math.min(stepMs, leftMs));
			await new Promise<void>(resolve => { // eslint-disable-line no-await-in-loop
				setImmediate(resolve);
			});
		}
	}

	#earliest(): Entry | undefined {
		let best: Entry | undefined;
		for (const entry of this.#pending) {
			if (!best || entry.dueMs < best.dueMs || (entry.dueMs === best.dueMs && entry.order < best.order)) {
				best = entry;
			}
		}

		return best;
	}
}
