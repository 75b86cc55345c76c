/** A pending timer; `cancel` is idempotent. */
export interface Timer {
	cancel(): void;
}

/** Source of time. All instants are Unix milliseconds, all spans milliseconds. */
export interface Clock {
	/** Wall-clock time, comparable between hosts up to their clock skew. */
	now(): number;
	/** Monotonic time of this process, for measuring spans. */
	monotonic(): number;
	/** Calls `run` once after `delayMs`. */
	after(delayMs: number, callback: () => void): Timer;
}

/** The process's own clock. Timers do not keep the process alive. */
export class SystemClock implements Clock {
	now(): number {
		return Date.now();
	}

	monotonic(): number {
		return performance.now();
	}

	after(delayMs: number, callback: () => void): Timer {
		// Node keeps a list of timers for each distinct delay until that delay has passed, also when all are cancelled; whole milliseconds keep the lists few.
		const timeout = setTimeout(callback, Math.ceil(delayMs));
		timeout.unref();
		return {
			cancel() {
				clearTimeout(timeout);
			},
		};
	}
}

/**
 * Waits for a span of time.
 * Resolves early, without an error, when the signal is aborted.
 */
export async function sleep(clock: Clock, durationMs: number, signal?: AbortSignal): Promise<void> {
	if (signal?.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			timer.cancel();
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = clock.after(durationMs, finish);
		signal?.addEventListener('abort', finish, {once: true});
	});
}
