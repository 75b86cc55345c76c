import type {Clock, Random} from '@apricotwood/clock';
import {hashText} from '@apricotwood/routing';
import {
	CrashTracker, LoadTracker, Placer, ReportInterval, RetryBudget, ShutdownDeadline, TrafficSplitter, WaitingRequests, WarmupLimiter, type RetryBudgetOptions,
} from '@apricotwood/steering';
import {Supervisor} from '@apricotwood/supervisor';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {Dialect} from '../dialect.js';
import {HeartbeatService} from '../peer/heartbeat-service.js';
import {CatchUpClient} from '../peer/catch-up.js';
import {UdpChannel} from '../peer/channel.js';
import {IsolationReports} from '../peer/isolation-reports.js';
import {MemberList} from '../peer/members.js';
import {servePeers} from '../peer/peer-server.js';
import {Ingress} from '../request/ingress.js';
import {RequestForwarder} from '../request/request-forwarder.js';
import type {RunningAttempt, SessionDeps} from '../request/session-deps.js';
import {RetryDetector} from '../request/retry-detector.js';
import {ShutdownReport} from '../request/shutdown-report.js';
import {WaitingRetrier} from '../request/waiting-retrier.js';
import type {HostEntry, SteeringSource} from '../source.js';
import {SourcePoller} from '../state/source-poller.js';
import {ReplicatedState} from '../state/replicated-state.js';
import {createTcpConnector, type Connector} from '../upstream/connector.js';
import {ConnectionPool, computeMaxIdleConnections} from '../upstream/pool.js';
import {HostDirectory} from './directory.js';
import {createHostReports} from './host-reports.js';
import {HostEvent, HostLifecycle, HostPhase} from './phase.js';
import {Registration} from './registration.js';
import {shutDownOnAbort} from './shutdown.js';
import {StateReporter} from './state-reporter.js';
import {WorkerAccess} from './worker-access.js';
import {WorkerStatistics} from './worker-statistics.js';

/** Settings of an entry host. */
export type EntrySettings = {
	readonly self: HostEntry;
	/** Port that callers connect to. */
	readonly callerPort: number;
	/** Region of each availability zone, by the zone's name. */
	readonly regions: ReadonlyMap<string, string>;
	/** Bounds on upstream retries, over all hosts. */
	readonly retryBudget: RetryBudgetOptions;
	/** IP addresses of seed hosts, which are contacted while the source is unavailable. */
	readonly seeds: readonly string[];
	/** Grace period from a stop signal to the end of the process, ms. */
	readonly graceMs: number;
	/** Longest time for which callers use one answer of the directory, ms. */
	readonly lookupLifetimeMs: number;
};

/** Dependencies of an entry host. */
export type EntryDeps = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly source: SteeringSource;
	readonly dialect: Dialect;
	/** Opens the connections to workers. @default TCP */
	readonly connector?: Connector;
};

/** Capacity of the waiting list; further requests that find no free worker are rejected. */
const MAX_WAITING_REQUESTS = 300;
/** Entry host: accepts callers' requests and proxies them to the workers, which all hosts share. */
export class EntryHost {
	readonly members: MemberList;
	readonly state: ReplicatedState;
	readonly lifecycle = new HostLifecycle();
	readonly #ingress: Ingress;
	readonly #heartbeats: HeartbeatService;
	readonly #sourcePoller: SourcePoller;
	readonly #workerAccess: WorkerAccess;
	readonly #directory: HostDirectory;
	readonly #isolation: IsolationReports;
	readonly #peerPool: ConnectionPool;
	readonly #registration: Registration;
	readonly #stateReporter: StateReporter;
	readonly #catchUp = new CatchUpClient();
	readonly #statistics: WorkerStatistics;
	readonly #crashes = new CrashTracker();
	readonly #reportInterval = new ReportInterval();
	readonly #waiting = new WaitingRequests<() => void>(MAX_WAITING_REQUESTS);
	readonly #running = new Set<RunningAttempt>();
	readonly #shutdownDeadline = new ShutdownDeadline();
	readonly #shutdownReport: ShutdownReport;
	readonly #waitingRetrier: WaitingRetrier;

	constructor(private readonly deps: EntryDeps) {
		const {settings, clock, random, log, metrics, source, dialect} = deps;
		const {self} = settings;
		this.members = new MemberList(self);
		this.#shutdownReport = new ShutdownReport({clock, log, metrics});
		this.#statistics = new WorkerStatistics(this.members.hash, nowMs => this.#directory.findSendingHosts(nowMs));
		const {rateLimits, rateLimiter, serviceTimes, objectCaches} = this.#statistics;
		this.#isolation = new IsolationReports(this.members, clock);
		this.#peerPool = new ConnectionPool({
			clock, metrics, connector: createTcpConnector(), onConnect() {}, onConnectFailure() {},
		});
		this.state = new ReplicatedState(clock, log, {
			onWorkerStart: id => {
				this.#workerAccess.drains.reset(this.state.fleet.get(id)!);
				this.#resetWorker(id);
			},
			onWorkerRemoved: id => {
				this.#resetWorker(id);
				this.#workerAccess.pool.removeWorker(id);
			},
			onUpdateApplied: () => {
				this.#onStateChange();
			},
		}, settings.regions);
		this.#waitingRetrier = new WaitingRetrier({
			clock, metrics, waiting: this.#waiting, running: this.#running, serviceTimes,
		});
		const load = new LoadTracker();
		const countHosts = () => this.members.count;
		this.#workerAccess = new WorkerAccess({
			clock,
			random,
			log,
			metrics,
			dialect,
			state: this.state,
			hostHash: this.members.hash,
			rateLimits,
			rateLimiter,
			connector: deps.connector ?? createTcpConnector(),
			onCrash(worker, fingerprints) {
				crashGuard.recordCrash(worker, fingerprints);
			},
			onDraining: worker => {
				drainReports.recordOwn(worker);
				this.#heartbeats.sendReports();
			},
			onIsolationChange: isIsolated => {
				this.#onIsolationChange(isIsolated);
			},
		});
		const {reachability, roundTrips, health, availability, drains} = this.#workerAccess;
		this.#directory = new HostDirectory({
			clock, members: this.members, isolation: this.#isolation, reachability, isReady: () => this.isReady,
		});
		const placer = new Placer({region: self.region}, {
			fleet: this.state.fleet,
			load,
			objectCaches,
			serviceTimes,
			health,
			roundTrips,
			warmupLimiter: new WarmupLimiter(hashText(self.id)),
			availability,
			rateLimiter,
			shutdownDeadline: this.#shutdownDeadline,
			countHosts,
			warmupPerSecond: service => this.state.table?.getService(service)?.warmupPerSecond,
		});
		const {crashGuard, drainReports, reports} = createHostReports({
			clock,
			log,
			metrics,
			state: this.state,
			crashes: this.#crashes,
			drains,
			rateLimits,
			isolation: this.#isolation,
			onCrashChange: () => {
				this.#heartbeats.sendReports();
			},
		});
		const sessionDeps: SessionDeps = {
			clock,
			random,
			log,
			metrics,
			dialect,
			placer,
			pool: this.#workerAccess.pool,
			peerPool: this.#peerPool,
			forwarder: new RequestForwarder({
				clock, random, reachability, isolation: this.#isolation, shutdownDeadline: this.#shutdownDeadline, region: self.region,
			}),
			hostId: self.id,
			load,
			objectCaches,
			serviceTimes,
			workerHealth: health,
			availability,
			workerFeedback: this.#workerAccess.feedback,
			reachability,
			crashDetector: this.#workerAccess.crashDetector,
			crashGuard,
			roundTrips,
			retryBudget: new RetryBudget(settings.retryBudget),
			trafficSplitter: new TrafficSplitter(),
			retryDetector: new RetryDetector(),
			waiting: this.#waiting,
			running: this.#running,
			reportInterval: this.#reportInterval,
			maxBodyBytes: () => this.state.table?.config.limits.maxBodyBytes ?? 0,
			maxIdleConnections: service => computeMaxIdleConnections(this.state.table?.getService(service)?.maxConnections, countHosts()),
			countHosts,
			getConfigVersion: () => this.state.table?.version,
			shutdownReport: this.#shutdownReport,
			isLeaving: () => this.lifecycle.phase === HostPhase.Leaving || this.lifecycle.phase === HostPhase.Closing,
			onObjectSent: (worker, object) => {
				this.#heartbeats.recordSentRequest(worker, object);
			},
			onCapacityFreed: () => {
				this.#waitingRetrier.schedule();
			},
		};
		this.#ingress = new Ingress(this.state, sessionDeps);
		this.#sourcePoller = new SourcePoller({
			clock,
			random,
			log,
			metrics,
			source,
			state: this.state,
			rank: () => this.members.rank(clock.monotonic(), this.#sourcePoller.isFailing),
			onStateChange: () => {
				this.#heartbeats.send();
			},
		});
		this.#heartbeats = new HeartbeatService({
			clock,
			log,
			metrics,
			members: this.members,
			state: this.state,
			load,
			objectCaches,
			reports,
			channel: new UdpChannel(log, metrics),
			catchUp: this.#catchUp,
			isReady: () => this.isReady,
			isSourceFailing: () => this.#sourcePoller.isFailing,
			reportInterval: this.#reportInterval,
		});
		this.#registration = new Registration({
			clock,
			log,
			source,
			self,
			members: this.members,
			getEpoch: () => this.state.epoch,
			onFailure: () => {
				this.#contactSeeds();
			},
			onAttempt: () => {
				this.#heartbeats.send();
			},
		});
		this.#stateReporter = new StateReporter({
			clock,
			log,
			members: this.members,
			state: this.state,
			sourcePoller: this.#sourcePoller,
			waiting: this.#waiting,
			running: this.#running,
			waitingRetrier: this.#waitingRetrier,
			reachability,
			crashes: this.#crashes,
			objectCaches,
			serviceTimes,
		});
	}

	/** Whether this host should be advertised to callers. */
	get isReady(): boolean {
		return this.lifecycle.phase === HostPhase.Ready;
	}

	/** Selects entry hosts for a caller, see `HostDirectory`. */
	findHosts(zone: string, region: string): HostEntry[] {
		return this.#directory.findHosts(zone, region);
	}

	/** Runs until the signal is aborted and shutdown is complete. @throws if a supervised task fails permanently. */
	async run(signal: AbortSignal): Promise<void> {
		const {settings, clock, random, log} = this.deps;
		const stop = new AbortController();
		const supervisor = new Supervisor({
			name: 'entry',
			clock,
			random,
			onFailure(child, error, restartInMs) {
				log.error({event: 'part-failed', part: child, message: error.stack, restartInMs});
			},
		});
		await this.#ingress.listen(settings.self.ip, settings.callerPort);
		// The names are logged: field `part` of the event `part-failed`.
		const tasks = supervisor.run([
			{name: 'beats', run: async inner => this.#heartbeats.run(inner)},
			{name: 'catch-up', run: async inner => this.#servePeers(inner)},
			{name: 'join', run: async inner => this.#registration.run(inner)},
			{name: 'follow', run: async inner => this.#sourcePoller.run(inner)},
			{name: 'checks', run: async inner => this.#workerAccess.runHealthChecks(inner)},
			{name: 'reach', run: async inner => this.#workerAccess.runProbes(inner)},
			{name: 'report', run: async inner => this.#stateReporter.run(inner)},
			{name: 'pump', run: async inner => this.#waitingRetrier.run(inner)},
		], stop.signal);
		const shutdown = shutDownOnAbort({
			clock,
			log,
			lifecycle: this.lifecycle,
			ingress: this.#ingress,
			deadline: this.#shutdownDeadline,
			report: this.#shutdownReport,
			getLastRunAtMs: () => this.#waitingRetrier.lastRunAtMs,
			graceMs: settings.graceMs,
			lookupLifetimeMs: settings.lookupLifetimeMs,
			announce: () => {
				this.#heartbeats.send();
			},
		}, signal);
		await Promise.race([tasks, shutdown]);
		stop.abort();
		await tasks;
		this.#workerAccess.pool.close();
		this.#peerPool.close();
		await this.#catchUp.close();
	}

	async #servePeers(signal: AbortSignal): Promise<void> {
		await servePeers(this.state, this.deps.settings.self, (req, res) => {
			this.#ingress.handleForwarded(req, res);
		}, signal);
	}

	#contactSeeds(): void {
		const {settings: {seeds, self}} = this.deps;
		for (const ip of seeds) {
			if (ip !== self.ip) {
				this.#heartbeats.announceTo(ip, self.peerPort);
			}
		}
	}

	#onStateChange(): void {
		const {table} = this.state;
		if (!table) {
			return;
		}

		this.#ingress.setLimits(table.config.limits);
		if (this.state.isLoaded && this.lifecycle.phase === HostPhase.Loading) {
			this.lifecycle.send(HostEvent.Loaded);
			this.deps.log.info({event: 'ready', config: table.version, workers: this.state.fleet.size});
			this.#heartbeats.send();
		}
	}

	/** Tells the other hosts that this one has lost its path to all workers, or reaches one again. */
	#onIsolationChange(isIsolated: boolean): void {
		this.#isolation.recordOwn(isIsolated);
		this.#heartbeats.sendReports();
		this.#waitingRetrier.schedule();
	}

	/** Discards what is known of an earlier incarnation of a worker. */
	#resetWorker(id: string): void {
		this.#statistics.reset(id);
		this.#workerAccess.health.reset(hashText(id));
	}
}
