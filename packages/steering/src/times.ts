import type {Route} from './config.js';

/** Expected work of a request, ms. */
export type WorkTimes = {
	/** At a worker that has handled the object lately. */
	readonly warmMs: number;
	readonly coldMs: number;
};

/** Weight of a new measurement. */
const SMOOTHING = 0.1;
/** First guesses, as parts of the route's target. */
const FIRST_WARM_PART = 0.45;
const FIRST_COLD_PART = 1.3;
/** A worker's slowness fades to none by half in this span, ms. */
const SLOWNESS_HALF_LIFE_MS = 2000;
const SLOWNESS_SMOOTHING = 0.35;
const MAX_SLOWNESS = 12;

type Slowness = {factor: number; atMs: number};

/** Measured work of routes, warm and cold, and how much slower than these each worker is. */
export class ServiceTimes {
	readonly #routes = new Map<string, {warmMs: number; coldMs: number}>();
	readonly #slowness = new Map<number, Slowness>();

	expect(route: Route, service: string): WorkTimes {
		return this.#of(route, service);
	}

	/** Takes the time from sending to the whole answer, ms. */
	record(route: Route, service: string, worker: number, isWarm: boolean, spanMs: number, nowMs: number): void {
		const times = this.#of(route, service);
		const expected = isWarm || !route.hasAffinity ? times.warmMs : times.coldMs;
		this.#recordSlowness(worker, spanMs / Math.max(1, expected), nowMs);
		// A slow worker's times are its own and not the route's.
		const part = this.slowness(worker, nowMs) > 2 ? SMOOTHING / 10 : SMOOTHING;
		if (isWarm || !route.hasAffinity) {
			times.warmMs += (spanMs - times.warmMs) * part;
		} else {
			times.coldMs += (spanMs - times.coldMs) * part;
		}
	}

	/** A request has run for `spanMs` and is not answered yet. */
	recordOverdue(worker: number, ratio: number, nowMs: number): void {
		if (ratio > this.slowness(worker, nowMs)) {
			this.#slowness.set(worker, {factor: Math.min(MAX_SLOWNESS, ratio), atMs: nowMs});
		}
	}

	/** How many times longer than expected the worker takes; 1 for one that is as fast as its peers. */
	slowness(worker: number, nowMs: number): number {
		const slowness = this.#slowness.get(worker);
		if (!slowness) {
			return 1;
		}

		const rest = 0.5 ** ((nowMs - slowness.atMs) / SLOWNESS_HALF_LIFE_MS);
		return 1 + ((slowness.factor - 1) * rest);
	}

	forget(worker: number): void {
		this.#slowness.delete(worker);
	}

	#recordSlowness(worker: number, ratio: number, nowMs: number): void {
		const before = this.slowness(worker, nowMs);
		const factor = before + ((Math.min(MAX_SLOWNESS, ratio) - before) * SLOWNESS_SMOOTHING);
		this.#slowness.set(worker, {factor: Math.max(0.7, factor), atMs: nowMs});
	}

	#of({name, targetMs}: Route, service: string): {warmMs: number; coldMs: number} {
		const key = `${name} ${service}`;
		let times = this.#routes.get(key);
		if (!times) {
			times = {warmMs: targetMs * FIRST_WARM_PART, coldMs: targetMs * FIRST_COLD_PART};
			this.#routes.set(key, times);
		}

		return times;
	}
}
