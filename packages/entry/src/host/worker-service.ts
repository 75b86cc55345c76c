import type {Clock, Random} from '@apricotwood/clock';
import {hashText} from '@apricotwood/routing';
import {CrashTracker, type SendingHosts} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {Dialect} from '../dialect.js';
import {IsolationReports} from '../peer/isolation-reports.js';
import type {MemberList} from '../peer/members.js';
import type {CrashHistorySource} from '../source.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import type {WorkerListener} from '../state/worker-replica.js';
import {createTcpConnector, type Connector} from '../upstream/connector.js';
import {createHostReports, type HostReports} from './host-reports.js';
import {WorkerAccess} from './worker-access.js';
import {WorkerStatistics} from './worker-statistics.js';

/** Dependencies of a `WorkerService`. */
export type WorkerServiceDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly dialect: Dialect;
	/** Opens the connections to workers. @default TCP */
	readonly connector?: Connector;
	/** Keeps the histories of requests that crash workers. @default nowhere */
	readonly crashHistorySource?: CrashHistorySource;
	readonly members: MemberList;
	readonly state: ReplicatedState;
	/** Returns the hosts that may send to workers now. */
	readonly findSendingHosts: (nowMs: number) => SendingHosts;
	/** Sends what there is to report to the other hosts at once. */
	readonly sendReports: () => void;
	/** Called when waiting requests may have a worker, or have to be passed on. */
	readonly onPathChange: () => void;
};

/** What reaches the workers, what is known of them, and what of it this host and the others report to each other. */
export class WorkerService implements WorkerListener {
	readonly statistics: WorkerStatistics;
	readonly isolation: IsolationReports;
	readonly access: WorkerAccess;
	readonly crashes = new CrashTracker();
	readonly reports: HostReports;

	constructor(private readonly deps: WorkerServiceDeps) {
		const {clock, members, findSendingHosts} = deps;
		this.statistics = new WorkerStatistics(members.hash, findSendingHosts);
		this.isolation = new IsolationReports(members, clock);
		this.access = this.#createAccess();
		this.reports = this.#createReports();
	}

	/** Discards what is known of an earlier incarnation of a worker. */
	onWorkerStart(id: string): void {
		this.access.drains.reset(this.deps.state.fleet.get(id)!);
		this.#reset(id);
	}

	/** Discards what is known of a worker, and closes its idle connections. */
	onWorkerRemoved(id: string): void {
		this.#reset(id);
		this.access.pool.removeWorker(id);
	}

	#reset(id: string): void {
		this.statistics.reset(id);
		this.access.health.reset(hashText(id));
	}

	#createAccess(): WorkerAccess {
		const {members, connector, sendReports} = this.deps;
		const {rateLimits, rateLimiter} = this.statistics;
		return new WorkerAccess({
			...this.deps,
			hostHash: members.hash,
			rateLimits,
			rateLimiter,
			connector: connector ?? createTcpConnector(),
			onCrash: (worker, fingerprints) => {
				this.reports.crashGuard.recordCrash(worker, fingerprints);
			},
			onDraining: worker => {
				this.reports.drainReports.recordOwn(worker);
				sendReports();
			},
			onIsolationChange: isIsolated => {
				this.#handleIsolationChange(isIsolated);
			},
		});
	}

	#createReports(): HostReports {
		return createHostReports({
			...this.deps,
			crashes: this.crashes,
			drains: this.access.drains,
			rateLimits: this.statistics.rateLimits,
			isolation: this.isolation,
			hostHash: this.deps.members.hash,
			canSendTrials: () => !this.access.reachability.isIsolated,
			onCrashChange: this.deps.sendReports,
		});
	}

	/** Tells the other hosts that this one has lost its path to all workers, or reaches one again. */
	#handleIsolationChange(isIsolated: boolean): void {
		this.isolation.recordOwn(isIsolated);
		this.deps.sendReports();
		this.deps.onPathChange();
	}
}
