import {sleep, type Clock, type Random} from '@apricotwood/clock';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {SteeringSource} from '../source.js';
import {DataSetPoller} from './data-set-poller.js';
import {createReadSchedule, type ReaderRank} from './read-schedule.js';
import type {ReplicatedState} from './replicated-state.js';

/** Options of a `SourcePoller`. */
export type SourcePollerOptions = {
	/** Longest time from the confirmation of a change in the source until it must be in force on every host, ms. @default 3000 */
	readonly changeDeadlineMs?: number;
};

const DEFAULT_CHANGE_DEADLINE_MS = 3000;
/** Time for which a host waits for a peer to send a change that it has heard of, ms. The operations are small and change rarely; the workers change often. */
const OPERATIONS_PEER_WAIT_MS = 300;
const WORKERS_PEER_WAIT_MS = 600;
/** Time between two checks for data whose grace period has ended, ms. */
const SWEEP_INTERVAL_MS = 100;

export type SourcePollerDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly source: SteeringSource;
	readonly state: ReplicatedState;
	/** Returns the rank of this host among the readers. */
	readonly rank: () => ReaderRank;
	/** Called after each read that changed the state, so that peers can be notified at once. */
	readonly onStateChange: () => void;
};

/**
 * Polls the source and applies its updates to the replicated state. Normally
 * only the live host of rank 0 reads, and the others receive its updates from
 * peers. A host whose data gets too old, or that waits too long for a change
 * that it has heard of, reads the source itself: every host in time for the
 * deadline of changes, whatever the number of hosts and whoever does not
 * respond. This replaces a failed reader and serves an isolated host without
 * coordination. The operations and the workers are read independently.
 */
export class SourcePoller {
	readonly #operations: DataSetPoller;
	readonly #workers: DataSetPoller;

	constructor(private readonly deps: SourcePollerDeps, {changeDeadlineMs = DEFAULT_CHANGE_DEADLINE_MS}: SourcePollerOptions = {}) {
		const {source, state} = deps;
		this.#operations = new DataSetPoller({
			...deps,
			schedule: createReadSchedule(changeDeadlineMs, OPERATIONS_PEER_WAIT_MS),
			dataSet: {
				name: 'operations',
				status: state.operations,
				async read(startAtMs, signal) {
					state.applyOperations(await source.readOperations(state.operations.cursor || undefined, signal), startAtMs);
				},
			},
		});
		this.#workers = new DataSetPoller({
			...deps,
			schedule: createReadSchedule(changeDeadlineMs, WORKERS_PEER_WAIT_MS),
			dataSet: {
				name: 'workers',
				status: state.workers,
				async read(startAtMs, signal) {
					state.applyWorkers(await source.readWorkers(state.workers.cursor || undefined, signal), startAtMs);
				},
			},
		});
	}

	/** Whether the last completed read of the operations or of the workers failed, or was so slow that another host should read. */
	get isFailing(): boolean {
		return this.#operations.isFailing || this.#workers.isFailing;
	}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.#operations.run(signal), this.#workers.run(signal), this.#sweep(signal)]);
	}

	async #sweep(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.deps.state.sweep();
			await sleep(this.deps.clock, SWEEP_INTERVAL_MS, signal); // eslint-disable-line no-await-in-loop
		}
	}
}
