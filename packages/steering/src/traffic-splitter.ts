import {hashText, toUnitInterval} from '@apricotwood/routing';
import type {Route} from './config.js';

/** Number of requests at which the counts are halved, so that older requests have less influence on the correction. */
const HISTORY_REQUESTS = 200;
/** Proportional gain of the correction: a deficit of 5 percentage points in a share widens its hash range by 20. */
const DEFICIT_GAIN = 4;

/** Requests served so far, in total and by service. */
type AssignedCounts = {
	total: number;
	readonly byService: Map<string, number>;
};

/**
 * Distributes the requests of a route over its services by weight.
 *
 * Requests for one object go to the same service as far as the weights allow,
 * because splitting each object over several services would multiply the
 * objects that workers have to cache. When the hashes of the objects do not
 * match the weights, the boundaries between the services' hash ranges move in
 * proportion to the deficit observed so far, which corrects the shares.
 */
export class TrafficSplitter {
	readonly #countsByRoute = new Map<string, AssignedCounts>();

	/**
	 * Chooses the service for a request.
	 * @param object the requested object; `undefined` when the request has none.
	 * @param randomPoint random number from 0 to 1 that is used when the request has no object.
	 */
	chooseService(route: Route, object: string | undefined, randomPoint: number): string {
		const [first] = route.shares;
		if (route.shares.length === 1 && first) {
			return first.service;
		}

		const counts = this.#countsFor(route);
		const point = object === undefined ? randomPoint : toUnitInterval(hashText(object, hashText(route.name)));
		const service = pickService(route, counts, point);
		recordAssigned(counts, service);
		return service;
	}

	/** Counts of a route; they are reset when its shares change. */
	#countsFor({name, shares}: Route): AssignedCounts {
		const key = `${name} ${shares.map(({service, weight}) => `${service}=${weight}`).join(' ')}`;
		let counts = this.#countsByRoute.get(key);
		if (!counts) {
			counts = {total: 0, byService: new Map()};
			this.#countsByRoute.set(key, counts);
		}

		return counts;
	}
}

function pickService({shares}: Route, counts: AssignedCounts, point: number): string {
	let totalWeight = 0;
	for (const {weight} of shares) {
		totalWeight += weight;
	}

	let upperBound = 0;
	for (const {service, weight} of shares) {
		const targetShare = weight / totalWeight;
		const assignedShare = counts.total === 0 ? targetShare : (counts.byService.get(service) ?? 0) / counts.total;
		// After only a few requests the served shares are not significant yet.
		const confidence = Math.min(1, counts.total / 40);
		upperBound += Math.max(0, targetShare + ((targetShare - assignedShare) * DEFICIT_GAIN * confidence));
		if (point < upperBound) {
			return service;
		}
	}

	return shares.at(-1)!.service;
}

function recordAssigned(counts: AssignedCounts, service: string): void {
	if (counts.total >= HISTORY_REQUESTS) {
		counts.total /= 2;
		for (const [name, count] of counts.byService) {
			counts.byService.set(name, count / 2);
		}
	}

	counts.total++;
	counts.byService.set(service, (counts.byService.get(service) ?? 0) + 1);
}
