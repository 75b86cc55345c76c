import type {Clock} from '@apricotwood/clock';
import type {Attempt} from '../upstream/attempt.js';
import type {Admission, Placement} from './admission.js';

/** An attempt in progress. */
export type RunningAttempt = {
	readonly placement: Placement;
	/** Monotonic ms. */
	readonly startedMs: number;
};

/** Dependencies of `RunningAttempts`. */
export type RunningAttemptsDeps = {
	readonly clock: Clock;
	readonly admission: Admission;
};

/** Delay before the units of a cancelled attempt are released, ms; gives the worker time to see the cancellation. */
const CANCEL_RELEASE_DELAY_MS = 50;

/** Attempts of one request that are in progress, with the units that they hold. */
export class RunningAttempts {
	readonly #running = new Map<Attempt, RunningAttempt>();

	constructor(private readonly deps: RunningAttemptsDeps) {}

	get size(): number {
		return this.#running.size;
	}

	/** The attempts at present; a copy, as cancelling one removes it. */
	list(): Attempt[] {
		return [...this.#running.keys()];
	}

	/** Names of the workers that the attempts are sent to. */
	listWorkers(): string[] {
		return Array.from(this.#running.values(), ({placement}) => placement.link.worker.name);
	}

	get(attempt: Attempt): RunningAttempt | undefined {
		return this.#running.get(attempt);
	}

	add(attempt: Attempt, placement: Placement): void {
		this.#running.set(attempt, {placement, startedMs: this.deps.clock.monotonic()});
	}

	/** Removes an attempt that has ended; its units are still to be released. */
	take(attempt: Attempt): RunningAttempt | undefined {
		const running = this.#running.get(attempt);
		this.#running.delete(attempt);
		return running;
	}

	/** Cancels an attempt, and releases its units when its worker can know. */
	cancel(attempt: Attempt): void {
		const running = this.take(attempt);
		attempt.cancel();
		if (!running) {
			return;
		}

		if (!attempt.wasSent) {
			this.release(running);
			return;
		}

		this.deps.clock.after(CANCEL_RELEASE_DELAY_MS, () => {
			this.release(running);
		});
	}

	/** Releases the units of an attempt that has ended. */
	release({placement}: RunningAttempt): void {
		placement.units.release();
		placement.link.end();
		this.deps.admission.admitWaiters();
	}
}
