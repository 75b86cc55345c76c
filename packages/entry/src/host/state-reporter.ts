import process from 'node:process';
import {sleep, type Clock} from '@apricotwood/clock';
import type {
	CrashTracker, ObjectCacheModel, ReachabilityTracker, ServiceTimeEstimator, WaitingRequests,
} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';
import type {MemberList} from '../peer/members.js';
import type {RunningAttempt} from '../request/session-deps.js';
import type {WaitingRetrier} from '../request/waiting-retrier.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import type {SourcePoller} from '../state/source-poller.js';

/** Interval between two log lines with the state of this host, ms. */
const REPORT_INTERVAL_MS = 5000;

/** Dependencies of `StateReporter`. */
export type StateReporterDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly members: MemberList;
	readonly state: ReplicatedState;
	readonly sourcePoller: SourcePoller;
	readonly waiting: WaitingRequests<() => void>;
	readonly running: ReadonlySet<RunningAttempt>;
	readonly waitingRetrier: WaitingRetrier;
	readonly reachability: ReachabilityTracker;
	readonly crashes: CrashTracker;
	readonly objectCaches: ObjectCacheModel;
	readonly serviceTimes: ServiceTimeEstimator;
};

function toMb(bytes: number): number {
	return Math.round(bytes / 1024 / 1024);
}

/** Logs periodically what a host assumes about the cluster (event `beliefs`), for analysis of incidents. */
export class StateReporter {
	constructor(private readonly deps: StateReporterDeps) {}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await sleep(this.deps.clock, REPORT_INTERVAL_MS, signal); // eslint-disable-line no-await-in-loop
			this.#report();
		}
	}

	/**
	 * Logs one line. Field `reads`: whether this host is the one that reads the
	 * source; `memory`: learned capacity of the workers' object caches by service, in
	 * objects; `lagMs`: longest lag of the event loop since the last line;
	 * `quarantined`: fingerprints of requests that crash workers; `rssMb` to
	 * `externalMb`: memory use of this process.
	 */
	#report(): void {
		const {clock, log, members, state, sourcePoller, waiting, running, waitingRetrier, reachability, crashes, objectCaches, serviceTimes} = this.deps;
		const nowMs = clock.monotonic();
		const {rss, heapUsed, external} = process.memoryUsage();
		log.info({
			event: 'beliefs',
			hosts: members.count,
			ready: members.ready(nowMs).map(({entry}) => entry.id),
			reads: members.rank(nowMs, sourcePoller.isFailing).overall === 0,
			config: state.table?.version,
			ageMs: Math.round(state.ageMs()),
			operationsAgeMs: Math.round(nowMs - state.operations.freshAtMs),
			workersAgeMs: Math.round(nowMs - state.workers.freshAtMs),
			epoch: state.epoch,
			waiting: waiting.size,
			running: running.size,
			isIsolated: reachability.isIsolated,
			quarantined: crashes.listQuarantined(nowMs),
			lagMs: Math.round(waitingRetrier.takeMaxLagMs()),
			memory: objectCaches.listCapacities(),
			times: serviceTimes.snapshot(),
			rssMb: toMb(rss),
			heapMb: toMb(heapUsed),
			externalMb: toMb(external),
		});
	}
}
