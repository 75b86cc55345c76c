/** A longer round trip than before is believed this slowly: most of it is load and loss, not distance. */
const GROWTH = 0.02;

/** Round trips to the workers of each region, from the time that new connections take. */
export class Distances {
	readonly #roundTrips = new Map<string, number>();

	record(region: string, roundTripMs: number): void {
		const known = this.#roundTrips.get(region);
		this.#roundTrips.set(region, known === undefined || roundTripMs < known ? roundTripMs : known + ((roundTripMs - known) * GROWTH));
	}

	/** Round trip to a region, ms; 0 until one was measured. */
	to(region: string): number {
		return this.#roundTrips.get(region) ?? 0;
	}
}
