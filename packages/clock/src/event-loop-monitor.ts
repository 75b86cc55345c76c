import type {Clock} from './clock.js';

/** Tells since when what the event loop handles now may have been waiting, by the runs of a regular timer. */
export class EventLoopMonitor {
	/** The latest two runs, monotonic ms. */
	#runsAtMs: readonly [number, number] = [Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY];

	constructor(private readonly clock: Clock) {}

	/** To be called by a regular timer; the longer its interval, the earlier `readUntilMs`. */
	recordRun(): void {
		this.#runsAtMs = [this.#runsAtMs[1], this.clock.monotonic()];
	}

	/**
	 * Time before which whatever the event loop handles now cannot have come, monotonic
	 * ms. After it was blocked, it runs its timers before it reads what has come
	 * meanwhile, so the latest run but one counts.
	 */
	get readUntilMs(): number {
		return Math.min(this.#runsAtMs[0], this.clock.monotonic());
	}
}
