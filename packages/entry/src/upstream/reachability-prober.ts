import {sleep, type Clock, type Random} from '@apricotwood/clock';
import {
	SendPurpose, type Fleet, type ReachabilityTracker, type Worker, type WorkerAvailability,
} from '@apricotwood/steering';
import type {Metrics} from '@apricotwood/telemetry';
import {ProbeResult, probe, type Connector} from './connector.js';

/** Interval at which this host looks whether a probe is due, ms. */
const POLL_INTERVAL_MS = 100;
/** Number of workers in a sample. */
const SAMPLE_SIZE = 4;

/** Dependencies of `ReachabilityProber`. */
export type ReachabilityProberDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly metrics: Metrics;
	readonly fleet: Fleet;
	readonly availability: WorkerAvailability;
	readonly reachability: ReachabilityTracker;
	readonly connector: Connector;
	/** Called when a worker accepted a connection. */
	readonly onReached: () => void;
	/** Called when this host has become isolated from the workers. */
	readonly onIsolated: () => void;
};

/** Finds out whether this host reaches any worker: probes one if there is no traffic, and a sample if workers fail, until one accepts a connection. */
export class ReachabilityProber {
	constructor(private readonly deps: ReachabilityProberDeps) {}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, reachability} = this.deps;
		while (!signal.aborted) {
			if (reachability.isProbeDue(clock.monotonic())) {
				await this.#probeSample(reachability.isDoubtful ? SAMPLE_SIZE : 1); // eslint-disable-line no-await-in-loop
			}

			await sleep(clock, POLL_INTERVAL_MS, signal); // eslint-disable-line no-await-in-loop
		}
	}

	async #probeSample(size: number): Promise<void> {
		const {metrics, reachability, connector, onReached, onIsolated} = this.deps;
		const sample = this.#chooseSample(size);
		metrics.count('reachability.probes', sample.length);
		const results = await Promise.all(sample.map(async ({registration: {address}}) => probe(connector, address)));
		if (results.includes(ProbeResult.Accepted)) {
			onReached();
			return;
		}

		for (const {hash} of sample) {
			reachability.recordFailure(hash);
		}

		if (sample.length > 0 && reachability.recordFailedSample()) {
			onIsolated();
		}
	}

	/** Chooses workers at random, first those that have not failed. */
	#chooseSample(size: number): Worker[] {
		const {clock, fleet, availability, reachability, random} = this.deps;
		const nowMs = clock.monotonic();
		const candidates = [...fleet.all()].filter(worker => !availability.findObstacle(worker, SendPurpose.Probe, nowMs))
			.map(worker => ({worker, order: random.next() + Number(reachability.hasFailed(worker.hash))}));
		return candidates.toSorted((a, b) => a.order - b.order).slice(0, size).map(({worker}) => worker);
	}
}
