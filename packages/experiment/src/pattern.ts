import {parseOrThrow} from '@apricotwood/findings';
import * as z from 'zod';

const positive = z.number().positive('must be above 0');
const patternSchema = z.object({
	/** Region of each availability zone. */
	regions: z.record(z.string(), z.string()),
	/** Round trip between two regions, ms. */
	roundTripMs: z.number().min(0, 'must not be below 0'),
	services: z.array(z.object({
		name: z.string(),
		/** Objects that a worker remembers. */
		memory: positive,
		workers: z.array(z.object({id: z.string(), zone: z.string(), slots: positive})).min(1, 'must name a worker'),
	})),
	routes: z.array(z.object({
		name: z.string(),
		service: z.string(),
		targetMs: positive,
		timeoutMs: positive,
		priority: z.number().int().min(0, 'must not be below 0'),
		/** Work at a worker that remembers the object, and at one that does not, ms. */
		warmMs: positive,
		coldMs: positive,
	})),
	/** First tries of callers: ms from the start, index of the route, object, index of the zone among `regions`. */
	arrivals: z.array(z.tuple([z.number(), z.number().int(), z.string(), z.number().int()])),
});

/** A recorded load with the workers that bore it. */
export type LoadPattern = z.output<typeof patternSchema>;

/**
 * Checks a pattern as a whole.
 * @throws {FindingsError} with every finding and its place.
 */
export function parsePattern(value: unknown): LoadPattern {
	const checked = patternSchema.superRefine(({services, routes, arrivals, regions}, context) => {
		const names = new Set(services.map(({name}) => name));
		const zones = Object.keys(regions).length;
		for (const [index, {service}] of routes.entries()) {
			if (!names.has(service)) {
				context.addIssue({code: 'custom', path: ['routes', index, 'service'], message: `leads to ${service}, which is no service`});
			}
		}

		for (const [index, [, route, , zone]] of arrivals.entries()) {
			if (!routes[route] || zone < 0 || zone >= zones) {
				context.addIssue({code: 'custom', path: ['arrivals', index], message: 'names a route or zone that is not there'});
				break;
			}
		}
	});
	return parseOrThrow('pattern', checked, value);
}
