/** Smoothing factor for a measurement above the current estimate; low because longer times are mostly caused by load and packet loss, not by distance. */
const INCREASE_SMOOTHING = 0.02;

/** Estimates the network round-trip time to the workers of each region, from the time it takes to open connections. */
export class RoundTripTimes {
	readonly #roundTrips = new Map<string, number>();

	/** Adds a measurement: a shorter one replaces the estimate, a longer one raises it slowly. */
	record(region: string, roundTripMs: number): void {
		const previousMs = this.#roundTrips.get(region);
		this.#roundTrips.set(region, previousMs === undefined || roundTripMs < previousMs ? roundTripMs : previousMs + ((roundTripMs - previousMs) * INCREASE_SMOOTHING));
	}

	/** Estimated round-trip time to a region, ms; 0 before the first measurement. */
	get(region: string): number {
		return this.#roundTrips.get(region) ?? 0;
	}
}
