import type {Route} from './config.js';
import {Warmth} from './warmth.js';

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
const MIN_SLOWNESS = 0.7;
const MAX_SLOWNESS = 12;
/** A worker slower than this tells nothing of the route's times. */
const SLOW = 1.6;
/** Cold work that is not longer than warm work by this factor tells nothing of what a worker remembers. */
const MIN_CONTRAST = 2;

type Slowness = {factor: number; atMs: number};

/** Measured work of routes, warm and cold, and how much slower than these each worker is. Instants are monotonic ms. */
export class ServiceTimes {
	readonly #routes = new Map<string, {warmMs: number; coldMs: number}>();
	readonly #slowness = new Map<number, Slowness>();

	/** Times of all routes, warm and cold, rounded to ms. */
	all(): Record<string, [number, number]> {
		return Object.fromEntries(Array.from(this.#routes, ([name, {warmMs, coldMs}]) => [name, [Math.round(warmMs), Math.round(coldMs)]]));
	}

	expect(route: Route, service: string): WorkTimes {
		return this.#of(route, service);
	}

	/**
	 * Takes the time of an answered request.
	 * @param warmth what was expected of it.
	 * @param workMs its time without the way there and back.
	 * @param waitMs the wait that was expected at the worker. Only requests without one tell the route's times: the waits are guesses.
	 * @returns whether the object was found warm; `undefined` where the time does not tell.
	 */
	record(route: Route, service: string, worker: number, warmth: Warmth, workMs: number, waitMs: number, nowMs: number): boolean | undefined {
		const times = this.#of(route, service);
		const wasWarm = !route.hasAffinity || workMs < Math.sqrt(times.warmMs * times.coldMs);
		const expectedMs = wasWarm || warmth === Warmth.Sure ? times.warmMs : times.coldMs;
		this.#recordSlowness(worker, workMs / Math.max(1, expectedMs + waitMs), nowMs);
		if (waitMs > 0 || this.slowness(worker, nowMs) > SLOW) {
			return undefined;
		}

		if (wasWarm) {
			times.warmMs += (workMs - times.warmMs) * SMOOTHING;
		} else {
			times.coldMs += (workMs - times.coldMs) * SMOOTHING;
		}

		return times.coldMs > times.warmMs * MIN_CONTRAST ? wasWarm : undefined;
	}

	/** A request has run for `ratio` times the expected span and is not answered yet. */
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
		this.#slowness.set(worker, {factor: Math.max(MIN_SLOWNESS, factor), atMs: nowMs});
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
