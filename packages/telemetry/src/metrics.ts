import int32 from 'hdr-histogram-js/dist/Int32Histogram.js';
import type {StatsD} from 'hot-shots';

// Imported by file because the library's index also loads its WebAssembly build and log encoding.
const {default: Int32Histogram} = int32;

/** Upper bound of the latency histograms, microseconds; longer latencies are recorded as this value. */
const MAX_LATENCY_US = 600_000_000;
const US_PER_MS = 1000;
const LATENCY_SIGNIFICANT_DIGITS = 2;
const REPORTED_PERCENTILES = [50, 90, 99, 99.9] as const;

/** Collects counters, gauges and latency histograms; `report` sends them to StatsD over UDP. */
export class Metrics {
	readonly #counters = new Map<string, number>();
	readonly #gauges = new Map<string, number>();
	readonly #latencies = new Map<string, InstanceType<typeof Int32Histogram>>();

	/** @param client created by `createStatsdClient`; without a client nothing is sent. */
	constructor(private readonly client?: StatsD) {}

	count(name: string, increment = 1): void {
		this.#counters.set(name, (this.#counters.get(name) ?? 0) + increment);
	}

	gauge(name: string, value: number): void {
		this.#gauges.set(name, value);
	}

	latency(name: string, durationMs: number): void {
		let histogram = this.#latencies.get(name);
		if (!histogram) {
			histogram = new Int32Histogram(1, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS);
			this.#latencies.set(name, histogram);
		}

		histogram.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, Math.round(durationMs * US_PER_MS))));
	}

	/** Returns all current values by name, with latency percentiles in ms. Counters and histograms cover the time since the last report. */
	snapshot(): Record<string, number> {
		const values: Record<string, number> = {};
		for (const [name, value] of [...this.#counters, ...this.#gauges]) {
			values[name] = value;
		}

		for (const [name, histogram] of this.#latencies) {
			for (const percentile of REPORTED_PERCENTILES) {
				values[`${name}.p${percentile}`] = histogram.getValueAtPercentile(percentile) / US_PER_MS;
			}
		}

		return values;
	}

	/** Sends all values, then resets counters and histograms. */
	report(): void {
		if (this.client) {
			for (const [name, value] of this.#counters) {
				this.client.increment(name, value);
			}

			for (const [name, value] of this.#gauges) {
				this.client.gauge(name, value);
			}

			this.#reportLatencies(this.client);
		}

		this.#counters.clear();
		for (const histogram of this.#latencies.values()) {
			histogram.reset();
		}
	}

	async close(): Promise<void> {
		this.report();
		const {client} = this;
		if (!client) {
			return;
		}

		await new Promise<void>(resolve => {
			client.close(() => {
				resolve();
			});
		});
	}

	#reportLatencies(client: StatsD): void {
		for (const [name, histogram] of this.#latencies) {
			if (histogram.totalCount === 0) {
				continue;
			}

			for (const percentile of REPORTED_PERCENTILES) {
				client.gauge(`${name}.p${percentile}`, histogram.getValueAtPercentile(percentile) / US_PER_MS);
			}
		}
	}
}
