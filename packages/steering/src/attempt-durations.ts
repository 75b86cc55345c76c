import type {Route} from './config.js';

/** Number of latest durations that are kept for a route and a service. */
const MAX_SAMPLES = 64;
/** Number of durations from which the longest one is taken for that of the route. */
const MIN_SAMPLES = 8;
/** The longest of the kept durations is raised by this factor, as the next request may take longer. */
const SAFETY_FACTOR = 1.5;
/** The same while few durations are known: a request takes about three times as long at a worker that has not cached its object. */
const FEW_SAMPLES_FACTOR = 4;

/** Keeps how long workers took to respond, queueing and network included, to tell how long a request may take. */
export class AttemptDurations {
	readonly #samplesByKey = new Map<string, number[]>();

	/** @param durationMs time from the start of an attempt to its complete response, ms. */
	record(route: Route, service: string, durationMs: number): void {
		const key = createKey(route, service);
		const samples = this.#samplesByKey.get(key) ?? [];
		samples.push(durationMs);
		if (samples.length > MAX_SAMPLES) {
			samples.shift();
		}

		this.#samplesByKey.set(key, samples);
	}

	/**
	 * Time within which nearly all requests of a route get their response, ms; `undefined` if none was seen.
	 * @param runningMs time for which the longest attempt in progress has run, ms; 0 if there is none.
	 */
	estimateLongest(route: Route, service: string, runningMs: number): number | undefined {
		const samples = this.#samplesByKey.get(createKey(route, service)) ?? [];
		const longestMs = Math.max(runningMs, ...samples);
		return samples.length === 0 ? undefined : longestMs * (samples.length < MIN_SAMPLES ? FEW_SAMPLES_FACTOR : SAFETY_FACTOR);
	}
}

function createKey({name}: Route, service: string): string {
	return `${name} ${service}`;
}
