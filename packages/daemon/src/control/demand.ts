/** Demand that rises is followed fast, so that units come soon. */
const RISE_SMOOTHING_FACTOR = 0.5;
/** Demand that falls is followed slowly, so that a lull sends no units away. */
const FALL_SMOOTHING_FACTOR = 0.1;
/** Published figures are rounded to a power of this, so that small changes write nothing. */
const ROUNDING_BASE = 1.25;

type GroupDemand = {
	current: number;
	peak: number;
	smoothed: number;
};

/** Requests wanted at one time on this host, running and waiting, by group of demand. */
export class DemandTracker {
	readonly #byGroup = new Map<string, GroupDemand>();

	begin(group: string): void {
		const entry = this.#byGroup.get(group) ?? {current: 0, peak: 0, smoothed: 0};
		entry.current++;
		entry.peak = Math.max(entry.peak, entry.current);
		this.#byGroup.set(group, entry);
	}

	end(group: string): void {
		const entry = this.#byGroup.get(group);
		if (entry) {
			entry.current--;
		}
	}

	/** Demand since the last call, smoothed and rounded; groups without any are left out. */
	sample(): Record<string, number> {
		const demand: Record<string, number> = {};
		for (const [group, entry] of this.#byGroup) {
			entry.smoothed += (entry.peak > entry.smoothed ? RISE_SMOOTHING_FACTOR : FALL_SMOOTHING_FACTOR) * (entry.peak - entry.smoothed);
			entry.peak = entry.current;
			if (entry.smoothed < 0.5) {
				if (entry.current === 0) {
					this.#byGroup.delete(group);
				}

				continue;
			}

			demand[group] = roundToPower(entry.smoothed);
		}

		return demand;
	}
}

function roundToPower(value: number): number {
	const exponent = Math.round(Math.log(value) / Math.log(ROUNDING_BASE));
	return Math.round((ROUNDING_BASE ** exponent) * 10) / 10;
}
