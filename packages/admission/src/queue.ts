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

export type QueueOptions = {
	readonly clock: Clock;
	/** Most requests waiting at one time. */
	readonly maxLength: number;
	/** Longest wait, ms. */
	readonly maxWaitMs: number;
};

type Waiter = {
	/** Takes the units it needs; `false` while there are too few. */
	readonly tryTake: () => boolean;
	readonly settle: (result: WaitResult) => void;
};

const SMOOTHING = 0.1;

/** Short first-in-first-out queue of one service, bounded by length, wait and each request's deadline. */
export class WaitQueue {
	readonly #waiters: Waiter[] = [];
	/** Smoothed gap between two admissions from the queue, ms. */
	#gapMs: number | undefined;
	#lastAdmittedMs: number | undefined;

	constructor(private readonly options: QueueOptions) {}

	get length(): number {
		return this.#waiters.length;
	}

	/** Milliseconds until a request that comes now would likely be admitted. */
	get expectedWaitMs(): number {
		return (this.#waiters.length + 1) * (this.#gapMs ?? 0);
	}

	/**
	 * Waits until `tryTake` takes its units.
	 * @param leftMs time until the request's deadline.
	 */
	async wait(leftMs: number, tryTake: () => boolean, signal?: AbortSignal): Promise<WaitResult> {
		const limitMs = Math.min(leftMs, this.options.maxWaitMs);
		if (signal?.aborted) {
			return WaitResult.Cancelled;
		}

		if (this.#waiters.length >= this.options.maxLength || limitMs <= 0 || this.expectedWaitMs > limitMs) {
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

			const waiter: Waiter = {tryTake, settle};
			const timer: Timer = this.options.clock.after(limitMs, () => {
				settle(WaitResult.Expired);
			});
			signal?.addEventListener('abort', onAbort, {once: true});
			this.#waiters.push(waiter);
		});
	}

	/** Admits waiting requests in order, for as long as the first finds its units; called when units come back. */
	pump(): void {
		if (this.#waiters.length === 0) {
			this.#lastAdmittedMs = undefined;
			return;
		}

		for (let first = this.#waiters[0]; first?.tryTake(); first = this.#waiters[0]) {
			this.#recordAdmission();
			first.settle(WaitResult.Admitted);
		}
	}

	#recordAdmission(): void {
		const nowMs = this.options.clock.monotonic();
		if (this.#lastAdmittedMs !== undefined) {
			const gapMs = nowMs - this.#lastAdmittedMs;
			this.#gapMs = this.#gapMs === undefined ? gapMs : this.#gapMs + (SMOOTHING * (gapMs - this.#gapMs));
		}

		this.#lastAdmittedMs = nowMs;
	}

	#remove(waiter: Waiter): void {
		const index = this.#waiters.indexOf(waiter);
		if (index !== -1) {
			this.#waiters.splice(index, 1);
		}
	}
}
