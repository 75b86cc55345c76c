import type {Clock, Random} from '@apricotwood/clock';
import type {CallerLimits} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {MemberList} from '../peer/members.js';
import type {SteeringSource} from '../source.js';
import {ReplicatedState} from '../state/replicated-state.js';
import {SourcePoller} from '../state/source-poller.js';
import type {WorkerListener} from '../state/worker-replica.js';
import {HostEvent, HostPhase, type HostLifecycle} from './phase.js';

/** Dependencies of a `HostState`. */
export type HostStateDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly source: SteeringSource;
	/** Region of each availability zone, by the zone's name. */
	readonly regions: ReadonlyMap<string, string>;
	/** Longest time from the confirmation of a change until it must be in force, ms. */
	readonly changeDeadlineMs: number;
	readonly members: MemberList;
	readonly lifecycle: HostLifecycle;
	readonly workerListener: WorkerListener;
	/** Called with the limits of the active configuration after each update. */
	readonly onLimits: (limits: CallerLimits) => void;
	/** Tells the other hosts at once that the state or the phase of this host has changed. */
	readonly announce: () => void;
};

/** The state of a host and what follows it: the poller that reads the source, and the host's reaction to an update. */
export class HostState {
	readonly replica: ReplicatedState;
	readonly poller: SourcePoller;

	constructor(private readonly deps: HostStateDeps) {
		const {clock, log, metrics, regions, members, workerListener, announce} = deps;
		this.replica = new ReplicatedState(clock, log, metrics, {
			onWorkerStart(id) {
				workerListener.onWorkerStart(id);
			},
			onWorkerRemoved(id) {
				workerListener.onWorkerRemoved(id);
			},
			onUpdateApplied: () => {
				this.#handleUpdate();
			},
		}, regions);
		this.poller = new SourcePoller({
			...deps,
			state: this.replica,
			rank: () => members.rank(clock.monotonic(), this.poller.isFailing),
			onStateChange: announce,
		}, {changeDeadlineMs: deps.changeDeadlineMs});
	}

	/** Applies the limits of the configuration; the first complete state makes the host ready. */
	#handleUpdate(): void {
		const {lifecycle, log, onLimits, announce} = this.deps;
		const {table, isLoaded, fleet} = this.replica;
		if (!table) {
			return;
		}

		onLimits(table.config.limits);
		if (isLoaded && lifecycle.phase === HostPhase.Loading) {
			lifecycle.send(HostEvent.Loaded);
			log.info({event: 'ready', config: table.version, workers: fleet.size});
			announce();
		}
	}
}
