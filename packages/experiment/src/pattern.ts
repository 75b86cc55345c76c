import {parseOrThrow} from '@apricotwood/findings';
import * as z from 'zod';

const positive = z.number().positive('must be above 0');
const patternSchema = z.object({
	/** Region of each availability zone. */
	regions: z.record(z.string(), z.string()),
	/** Round-trip time between two regions, ms. */
	roundTripMs: z.number().min(0, 'must not be below 0'),
	services: z.array(z.object({
		name: z.string(),
		/** Number of objects that a worker remembers. */
		memory: positive,
		workers: z.array(z.object({id: z.string(), zone: z.string(), slots: positive})).min(1, 'must name at least 1 worker'),
	})),
	routes: z.array(z.object({
		name: z.string(),
		service: z.string(),
		/** Time within which a call should be answered, and time after which it times out, ms. */
		targetMs: positive,
		timeoutMs: positive,
		/** 0 is the most urgent. */
		priority: z.number().int().min(0, 'must not be below 0'),
		/** Mean work time at a worker that remembers the object, and at one that does not, ms. */
		warmMs: positive,
		coldMs: positive,
	})),
	/** Calls without their retries: ms since the start, index in `routes`, object, index of the zone among the keys of `regions`. */
	arrivals: z.array(z.tuple([z.number(), z.number().int(), z.string(), z.number().int()])),
});

/** Recorded load, together with the regions, workers and routes that served it. */
export type LoadPattern = z.output<typeof patternSchema>;

/**
 * Validates a load pattern: its shape first, then references to services, routes and zones.
 * @throws {FindingsError} with the findings and their places; of invalid arrivals only the first is listed.
 */
export function parsePattern(value: unknown): LoadPattern {
	const checked = patternSchema.superRefine(({services, routes, arrivals, regions}, context) => {
		const serviceNames = new Set(services.map(({name}) => name));
		const zoneCount = Object.keys(regions).length;
		for (const [index, {service}] of routes.entries()) {
			if (!serviceNames.has(service)) {
				context.addIssue({code: 'custom', path: ['routes', index, 'service'], message: `refers to ${service}, which is not a service of this pattern`});
			}
		}

		for (const [index, [, route, , zone]] of arrivals.entries()) {
			if (!routes[route] || zone < 0 || zone >= zoneCount) {
				context.addIssue({code: 'custom', path: ['arrivals', index], message: 'names a route or zone that is not there'});
				break;
			}
		}
	});
	return parseOrThrow('pattern', checked, value);
}
