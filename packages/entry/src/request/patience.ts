/** Callers' times wander; differences below this are no sign of an earlier try, ms. */
const TOLERANCE_MS = 20;
/** A route's longest wait is forgotten after this many requests without one as long. */
const MEMORY_REQUESTS = 2000;

/** Tells how long ago a caller first tried, from the time that it still waits: callers of a route start with the same time. */
export class Patience {
	readonly #longest = new Map<string, {ms: number; since: number}>();

	/** @returns time since the caller's first try, ms; 0 for a first try. */
	spent(route: string, waitsMs: number): number {
		const longest = this.#longest.get(route);
		if (!longest || waitsMs >= longest.ms || longest.since > MEMORY_REQUESTS) {
			this.#longest.set(route, {ms: waitsMs, since: 0});
			return 0;
		}

		longest.since++;
		const spentMs = longest.ms - waitsMs;
		return spentMs > TOLERANCE_MS ? spentMs : 0;
	}
}
