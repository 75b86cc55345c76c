import type {Random} from '@apricotwood/clock';

/** Bounds of the time that most calls take at a worker, ms. */
const MIN_SHORT_MS = 10;
const MAX_SHORT_MS = 90;
/** Bounds of the time that the others take, ms. */
const MIN_LONG_MS = 600;
const MAX_LONG_MS = 3100;
/** Ratio of long calls at first, and once the workers have become slow. */
const RARE_RATIO = 0.02;
const SLOW_RATIO = 0.4;
/** Latest time after the stop signal at which the workers become slow, ms. */
const MAX_SLOW_AFTER_MS = 4500;

/** Draws how long calls take: mostly tens of ms, rarely seconds, and from a moment after the stop signal on often seconds, as with objects that are not cached, slow workers or large bodies. */
export class WorkTimes {
	/** Time from which long calls are frequent, Unix ms. */
	readonly slowFromMs: number;

	/** @param stopAtMs time of the stop signal, Unix ms. */
	constructor(private readonly random: Random, stopAtMs: number) {
		this.slowFromMs = stopAtMs + (MAX_SLOW_AFTER_MS * random.next());
	}

	/** Draws the time that a call takes which is sent at `atMs`, ms. */
	draw(atMs: number): number {
		const isLong = this.random.next() < (atMs < this.slowFromMs ? RARE_RATIO : SLOW_RATIO);
		return Math.round(isLong ? this.#drawBetween(MIN_LONG_MS, MAX_LONG_MS) : this.#drawBetween(MIN_SHORT_MS, MAX_SHORT_MS));
	}

	#drawBetween(minMs: number, maxMs: number): number {
		return minMs + ((maxMs - minMs) * this.random.next());
	}
}
