import type {Clock, Timer} from '@apricotwood/clock';

/** How a wait in the queue ended. */
export enum WaitResult {
	/** Room was found; the units are taken. */
	Admitted = 'admitted',
	/** The longest wait or the deadline passed. */
	Expired = 'expired',
	/** The queue is full, or the wait would outlast the deadline. */
	Refused = 'refused',
	/** The caller left. */
	Cancelled = 'cancelled',
}

export type WaitQueueOptions = {
	readonly clock: Clock;
	/** Most requests waiting at one time. */
	readonly maxLength: number;
	/** Longest wait, ms. */
	readonly maxWaitMs: number;
};

type Waiter = {
	/** Takes the units it needs; `false` while there are too few. */
	readonly tryAcquire: () => boolean;
	readonly settle: (result: WaitResult) => void;
};

const INTERVAL_EWMA_WEIGHT = 0.1;

/** Short first-in-first-out queue of one service, bounded by length, wait and each request's deadline. */
export class WaitQueue {
	readonly #waiters: Waiter[] = [];
	/** Smoothed gap between two admissions from the queue, ms. */
	#admissionIntervalMs: number | undefined;
	#lastAdmittedAtMs: number | undefined;

	constructor(private readonly options: WaitQueueOptions) {}

	get length(): number {
		return this.#waiters.length;
	}

	/** Milliseconds until a request that comes now would likely be admitted. */
	get expectedWaitMs(): number {
		return (this.#waiters.length + 1) * (this.#admissionIntervalMs ?? 0);
	}

	/**
	 * Waits until `tryTake` takes its units.
	 * @param remainingMs time until the request's deadline.
	 */
	async wait(remainingMs: number, tryAcquire: () => boolean, signal?: AbortSignal): Promise<WaitResult> {
		const timeoutMs = Math.min(remainingMs, this.options.maxWaitMs);
		if (signal?.aborted) {
			return WaitResult.Cancelled;
		}

		if (this.#waiters.length >= this.options.maxLength || timeoutMs <= 0 || this.expectedWaitMs > timeoutMs) {
			return WaitResult.Refused;
		}

		return new Promise(resolve => {
			const onAbort = () => {
				settle(WaitResult.Cancelled);
			};

			const settle = (result: WaitResult) => {
				timer.cancel();
				signal?.removeEventListener('abort', onAbort);
				this.#remove(waiter);
				resolve(result);
			};

			const waiter: Waiter = {tryAcquire: tryAcquire, settle};
			const timer: Timer = this.options.clock.after(timeoutMs, () => {
				settle(WaitResult.Expired);
			});
			signal?.addEventListener('abort', onAbort, {once: true});
			this.#waiters.push(waiter);
		});
	}

	/** Admits waiting requests in order, for as long as the first finds its units; called when units come back. */
	admitWaiters(): void {
		if (this.#waiters.length === 0) {
			this.#lastAdmittedAtMs = undefined;
			return;
		}

		for (let first = this.#waiters[0]; first?.tryAcquire(); first = this.#waiters[0]) {
			this.#recordAdmission();
			first.settle(WaitResult.Admitted);
		}
	}

	#recordAdmission(): void {
		const nowMs = this.options.clock.monotonic();
		if (this.#lastAdmittedAtMs !== undefined) {
			const intervalMs = nowMs - this.#lastAdmittedAtMs;
			this.#admissionIntervalMs = this.#admissionIntervalMs === undefined ? intervalMs : this.#admissionIntervalMs + (INTERVAL_EWMA_WEIGHT * (intervalMs - this.#admissionIntervalMs));
		}

		this.#lastAdmittedAtMs = nowMs;
	}

	#remove(waiter: Waiter): void {
		const index = this.#waiters.indexOf(waiter);
		if (index !== -1) {
			this.#waiters.splice(index, 1);
		}
	}
}
