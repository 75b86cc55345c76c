/** Demand that rises is followed fast, so that units come soon. */
const RISE = 0.5;
/** Demand that falls is followed slowly, so that a lull sends no units away. */
const FALL = 0.1;
/** Published figures are rounded to a power of this, so that small changes write nothing. */
const QUANTUM = 1.25;

type Gauge = {
	current: number;
	peak: number;
	smoothed: number;
};

/** Requests wanted at one time on this host, running and waiting, by group of demand. */
export class DemandTracker {
	readonly #gauges = new Map<string, Gauge>();

	begin(group: string): void {
		const gauge = this.#gauges.get(group) ?? {current: 0, peak: 0, smoothed: 0};
		gauge.current++;
		gauge.peak = Math.max(gauge.peak, gauge.current);
		this.#gauges.set(group, gauge);
	}

	end(group: string): void {
		const gauge = this.#gauges.get(group);
		if (gauge) {
			gauge.current--;
		}
	}

	/** Demand since the last call, smoothed and rounded; groups without any are left out. */
	sample(): Record<string, number> {
		const demand: Record<string, number> = {};
		for (const [group, gauge] of this.#gauges) {
			gauge.smoothed += (gauge.peak > gauge.smoothed ? RISE : FALL) * (gauge.peak - gauge.smoothed);
			gauge.peak = gauge.current;
			if (gauge.smoothed < 0.5) {
				if (gauge.current === 0) {
					this.#gauges.delete(group);
				}

				continue;
			}

			demand[group] = quantise(gauge.smoothed);
		}

		return demand;
	}
}

function quantise(value: number): number {
	const steps = Math.round(Math.log(value) / Math.log(QUANTUM));
	return Math.round((QUANTUM ** steps) * 10) / 10;
}
