import {build, type Histogram} from 'hdr-histogram-js';
import {StatsD} from 'hot-shots';

/** Longest latency that histograms tell apart, microseconds. */
const MAX_LATENCY_US = 600_000_000;
const US_PER_MS = 1000;
const SIGNIFICANT_DIGITS = 2;
const REPORTED_PERCENTILES = [50, 90, 99, 99.9] as const;

export type MetricsOptions = {
	/** StatsD receiver; metrics are only kept when it is not set. */
	readonly host: string | undefined;
	readonly port: number;
	/** Fields of every metric. */
	readonly tags: Readonly<Record<string, string>>;
};

/** Counters, gauges and latency histograms, gathered here and sent over UDP by `report`. */
export class Metrics {
	readonly #client: StatsD | undefined;
	readonly #counters = new Map<string, number>();
	readonly #gauges = new Map<string, number>();
	readonly #latencies = new Map<string, Histogram>();

	constructor({host, port, tags}: MetricsOptions) {
		if (host !== undefined) {
			this.#client = new StatsD({
				host, port, prefix: 'apricotwood.', globalTags: {...tags}, maxBufferSize: 1200, errorHandler() {},
			});
			(this.#client.socket as unknown as {unref?: () => void}).unref?.();
		}
	}

	count(name: string, by = 1): void {
		this.#counters.set(name, (this.#counters.get(name) ?? 0) + by);
	}

	gauge(name: string, value: number): void {
		this.#gauges.set(name, value);
	}

	latency(name: string, spanMs: number): void {
		let histogram = this.#latencies.get(name);
		if (!histogram) {
			histogram = build({highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, bitBucketSize: 32});
			this.#latencies.set(name, histogram);
		}

		histogram.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, Math.round(spanMs * US_PER_MS))));
	}

	/** All figures since the last report, by name. */
	snapshot(): Record<string, number> {
		const figures: Record<string, number> = {};
		for (const [name, value] of [...this.#counters, ...this.#gauges]) {
			figures[name] = value;
		}

		for (const [name, histogram] of this.#latencies) {
			for (const percentile of REPORTED_PERCENTILES) {
				figures[`${name}.p${percentile}`] = histogram.getValueAtPercentile(percentile) / US_PER_MS;
			}
		}

		return figures;
	}

	/** Sends all figures and starts counters and histograms afresh. */
	report(): void {
		if (this.#client) {
			for (const [name, value] of this.#counters) {
				this.#client.increment(name, value);
			}

			for (const [name, value] of this.#gauges) {
				this.#client.gauge(name, value);
			}

			this.#reportLatencies(this.#client);
		}

		this.#counters.clear();
		for (const histogram of this.#latencies.values()) {
			histogram.reset();
		}
	}

	async close(): Promise<void> {
		this.report();
		const client = this.#client;
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
