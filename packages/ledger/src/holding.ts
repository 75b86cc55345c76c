import type {Clock} from '@apricotwood/clock';

/** A rate's unit stays in use for this long after it was taken. */
const RATE_WINDOW_MS = 1000;

/**
 * The units of one resource that this host holds. Work starts only on a unit
 * that is granted and not in use, so the sum over all hosts stays in the limit.
 */
export class Holding {
	#granted = 0;
	#inUse = 0;
	/** Most units wanted at one time since the last `takeDemand`, in use and refused together. */
	#peakDemand = 0;

	/** Units that this host may use. */
	get granted(): number {
		return this.#granted;
	}

	get inUse(): number {
		return this.#inUse;
	}

	get free(): number {
		return Math.max(0, this.#granted - this.inUse);
	}

	/** Changes the grant. It may fall below the units in use; then nothing new starts until they are back. */
	setGranted(units: number): void {
		this.#granted = units;
	}

	/** Takes units, or none of them when too few are free. */
	tryAcquire(units: number): boolean {
		this.recordDemand(units);
		if (units > this.free) {
			return false;
		}

		this.#inUse += units;
		return true;
	}

	/** Notes demand for units that were asked for elsewhere, such as by a waiting request. */
	recordDemand(units: number): void {
		this.#peakDemand = Math.max(this.#peakDemand, this.inUse + units);
	}

	release(units: number): void {
		this.#inUse -= units;
		if (this.#inUse < 0) {
			throw new RangeError('more units given back than were taken');
		}
	}

	/** Most units wanted at one time since the last call. */
	takePeakDemand(): number {
		const demand = Math.max(this.#peakDemand, this.inUse);
		this.#peakDemand = this.inUse;
		return demand;
	}
}

/** Units of a rate per second: each is in use for one second after it was taken, so that it can move to another host only then. */
export class RateHolding extends Holding {
	readonly #acquiredAtMs: number[] = [];
	#oldestIndex = 0;

	constructor(private readonly clock: Clock) {
		super();
	}

	override get inUse(): number {
		this.#releaseExpired();
		return super.inUse;
	}

	override tryAcquire(units: number): boolean {
		if (!super.tryAcquire(units)) {
			return false;
		}

		for (let index = 0; index < units; index++) {
			this.#acquiredAtMs.push(this.clock.monotonic());
		}

		return true;
	}

	/** Gives nothing back: the window does. */
	override release(_units: number): void {}

	/** Milliseconds until the oldest unit in use is free again; 0 when one is free now. */
	get retryAfterMs(): number {
		if (this.free > 0) {
			return 0;
		}

		const oldest = this.#acquiredAtMs[this.#oldestIndex];
		return oldest === undefined ? RATE_WINDOW_MS : Math.ceil(oldest + RATE_WINDOW_MS - this.clock.monotonic());
	}

	#releaseExpired(): void {
		const cutoffMs = this.clock.monotonic() - RATE_WINDOW_MS;
		let expired = 0;
		for (let acquiredAtMs = this.#acquiredAtMs[this.#oldestIndex]; acquiredAtMs !== undefined && acquiredAtMs <= cutoffMs; acquiredAtMs = this.#acquiredAtMs[this.#oldestIndex]) {
			this.#oldestIndex++;
			expired++;
		}

		if (expired > 0) {
			super.release(expired);
		}

		if (this.#oldestIndex > 1024 && this.#oldestIndex * 2 > this.#acquiredAtMs.length) {
			this.#acquiredAtMs.splice(0, this.#oldestIndex);
			this.#oldestIndex = 0;
		}
	}
}
