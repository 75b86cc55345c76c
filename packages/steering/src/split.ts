import {hashText, toUnit} from '@apricotwood/routing';
import type {Route} from './config.js';

/** Requests over which the shares served so far are compared with the weights; older ones fade. */
const MEMORY_REQUESTS = 200;
/** How strongly a share's deficit moves its bound: a deficit of 5 in 100 moves it by 20. */
const CORRECTION = 4;

type Tally = {
	total: number;
	readonly byService: Map<string, number>;
};

/**
 * Divides a route's requests over its services by weight.
 *
 * Answers a split route whose objects are warm at some workers: an object's
 * requests keep to one service as far as the weights allow, because splitting
 * each object over both services would double the objects that workers have to
 * remember. Where the objects' hashes miss the weights, the bounds between
 * services move by the deficit seen so far, so that the shares hold.
 */
export class ServiceSplit {
	readonly #tallies = new Map<string, Tally>();

	/** @param object the object of the request; `undefined` spreads requests evenly by `fallback`. */
	choose(route: Route, object: string | undefined, fallback: number): string {
		const [first] = route.shares;
		if (route.shares.length === 1 && first) {
			return first.service;
		}

		const tally = this.#tallyOf(route);
		const point = object === undefined ? fallback : toUnit(hashText(object, hashText(route.name)));
		const service = pick(route, tally, point);
		record(tally, service);
		return service;
	}

	#tallyOf({name, shares}: Route): Tally {
		const key = `${name} ${shares.map(({service, weight}) => `${service}=${weight}`).join(' ')}`;
		let tally = this.#tallies.get(key);
		if (!tally) {
			tally = {total: 0, byService: new Map()};
			this.#tallies.set(key, tally);
		}

		return tally;
	}
}

function pick({shares}: Route, tally: Tally, point: number): string {
	let whole = 0;
	for (const {weight} of shares) {
		whole += weight;
	}

	let upper = 0;
	for (const {service, weight} of shares) {
		const goal = weight / whole;
		const served = tally.total === 0 ? goal : (tally.byService.get(service) ?? 0) / tally.total;
		// Early on a few requests say little about the shares.
		const trust = Math.min(1, tally.total / 40);
		upper += Math.max(0, goal + ((goal - served) * CORRECTION * trust));
		if (point < upper) {
			return service;
		}
	}

	return shares.at(-1)!.service;
}

function record(tally: Tally, service: string): void {
	if (tally.total >= MEMORY_REQUESTS) {
		tally.total /= 2;
		for (const [name, count] of tally.byService) {
			tally.byService.set(name, count / 2);
		}
	}

	tally.total++;
	tally.byService.set(service, (tally.byService.get(service) ?? 0) + 1);
}
