import {Intake, type IntakeShares, type ProcessResources} from '@apricotwood/admission';
import {
	EventLoopMonitor, sleep, type Clock, type Random,
} from '@apricotwood/clock';
import {
	LoadTracker, ReportInterval, RetryBudget, ShutdownDeadline, WaitingRequests, type RetryBudgetOptions,
} from '@apricotwood/steering';
import {Supervisor} from '@apricotwood/supervisor';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {Dialect} from '../dialect.js';
import type {HeartbeatService} from '../peer/heartbeat-service.js';
import {CatchUpClient} from '../peer/catch-up.js';
import {MemberList} from '../peer/members.js';
import {servePeers} from '../peer/peer-server.js';
import type {Ingress} from '../request/ingress.js';
import type {RunningAttempt} from '../request/session-deps.js';
import {ShutdownReport} from '../request/shutdown-report.js';
import {WaitingRetrier} from '../request/waiting-retrier.js';
import type {CrashHistorySource, HostEntry, SteeringSource} from '../source.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import {createTcpConnector, type Connector} from '../upstream/connector.js';
import {ConnectionPool} from '../upstream/pool.js';
import {createIngress} from './caller-service.js';
import {HostDirectory} from './directory.js';
import {HostState} from './host-state.js';
import {PeerService} from './peer-service.js';
import {HostLifecycle, HostPhase} from './phase.js';
import {shutDownOnAbort} from './shutdown.js';
import {StateReporter} from './state-reporter.js';
import type {WorkerAccess} from './worker-access.js';
import {WorkerService} from './worker-service.js';

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
	/** Longest time from the confirmation of a change in the source until it must be in force on every host, ms. */
	readonly changeDeadlineMs: number;
	/** What the process may use. @default DEFAULT_PROCESS_RESOURCES */
	readonly resources?: ProcessResources;
	/** What callers and other peers may use of it. @default DEFAULT_INTAKE_SHARES */
	readonly intakeShares?: IntakeShares;
};

/** Dependencies of an entry host. */
export type EntryDeps = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly source: SteeringSource;
	/** Keeps the histories of requests that crash workers. @default nowhere: they end with the last host that knows them */
	readonly crashHistorySource?: CrashHistorySource;
	readonly dialect: Dialect;
	/** Opens the connections to workers. @default TCP */
	readonly connector?: Connector;
};

/** Capacity of the waiting list; further requests that find no free worker are rejected. */
const MAX_WAITING_REQUESTS = 300;
/** Time after its deadline by which a request has ended in any case, also when another host answers it, ms. */
const RESPONSE_MARGIN_MS = 300;
/** Time for the supervised tasks to end after all requests have ended, ms. One that does not, for example because a connection is being opened, does not hold up the process. */
const TASKS_END_TIMEOUT_MS = 100;

/** Entry host: accepts callers' requests and proxies them to the workers, which all hosts share. */
export class EntryHost {
	readonly members: MemberList;
	readonly state: ReplicatedState;
	readonly lifecycle = new HostLifecycle();
	/** Guards all listeners of the process. */
	readonly intake: Intake;
	readonly #ingress: Ingress;
	readonly #heartbeats: HeartbeatService;
	readonly #hostState: HostState;
	readonly #workers: WorkerService;
	readonly #workerAccess: WorkerAccess;
	readonly #directory: HostDirectory;
	readonly #peerPool: ConnectionPool;
	readonly #peers: PeerService;
	readonly #stateReporter: StateReporter;
	readonly #catchUp = new CatchUpClient();
	readonly #load = new LoadTracker();
	readonly #reportInterval = new ReportInterval();
	readonly #waiting = new WaitingRequests<() => void>(MAX_WAITING_REQUESTS);
	readonly #running = new Set<RunningAttempt>();
	readonly #shutdownDeadline = new ShutdownDeadline({marginMs: RESPONSE_MARGIN_MS});
	readonly #shutdownReport: ShutdownReport;
	readonly #retryBudget: RetryBudget;
	readonly #eventLoop: EventLoopMonitor;
	readonly #waitingRetrier: WaitingRetrier;

	constructor(private readonly deps: EntryDeps) {
		const {settings, clock, log, metrics} = deps;
		this.#shutdownReport = new ShutdownReport({clock, log, metrics});
		this.#retryBudget = new RetryBudget(settings.retryBudget, clock.monotonic() + settings.retryBudget.windowMs);
		this.intake = new Intake({...deps, ...settings});
		this.members = new MemberList(settings.self);
		this.#peerPool = new ConnectionPool({
			clock, log, metrics, connector: createTcpConnector(), onConnect() {}, onConnectFailure() {},
		});
		this.#hostState = this.#createState();
		this.state = this.#hostState.replica;
		this.#workers = this.#createWorkers();
		this.#workerAccess = this.#workers.access;
		this.#directory = new HostDirectory({
			clock, members: this.members, isolation: this.#workers.isolation, reachability: this.#workerAccess.reachability, isReady: () => this.isReady,
		});
		this.#eventLoop = new EventLoopMonitor(clock);
		this.#waitingRetrier = new WaitingRetrier({
			clock, eventLoop: this.#eventLoop, metrics, waiting: this.#waiting, running: this.#running, serviceTimes: this.#workers.statistics.serviceTimes,
		});
		this.#ingress = this.#createIngress();
		this.#peers = this.#createPeers();
		this.#heartbeats = this.#peers.heartbeats;
		this.#stateReporter = this.#createStateReporter();
	}

	/** Whether this host should be advertised to callers. */
	get isReady(): boolean {
		return this.lifecycle.phase === HostPhase.Ready;
	}

	/** Selects entry hosts for a caller, see `HostDirectory`. */
	findHosts(zone: string, region: string): HostEntry[] {
		return this.#directory.findHosts(zone, region);
	}

	/** Runs until the signal is aborted and shutdown is complete. @throws the error of a supervised task that fails permanently, after the same shutdown. */
	async run(signal: AbortSignal): Promise<void> {
		const {settings, clock, random, log} = this.deps;
		const stop = new AbortController();
		const failed = new AbortController();
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
			{name: 'join', run: async inner => this.#peers.registration.run(inner)},
			{name: 'follow', run: async inner => this.#hostState.poller.run(inner)},
			{name: 'checks', run: async inner => this.#workerAccess.runHealthChecks(inner)},
			{name: 'reach', run: async inner => this.#workerAccess.runProbes(inner)},
			{name: 'report', run: async inner => this.#stateReporter.run(inner)},
			{name: 'crash-history', run: async inner => this.#workers.reports.crashArchive.run(inner)},
			{name: 'pump', run: async inner => this.#waitingRetrier.run(inner)},
		], stop.signal).catch((error: unknown) => {
			failed.abort(error);
		});
		await shutDownOnAbort({
			clock,
			log,
			lifecycle: this.lifecycle,
			ingress: this.#ingress,
			deadline: this.#shutdownDeadline,
			report: this.#shutdownReport,
			getReadUntilMs: () => this.#eventLoop.readUntilMs,
			graceMs: settings.graceMs,
			lookupLifetimeMs: settings.lookupLifetimeMs,
			announce: () => {
				this.#heartbeats.send();
			},
		}, AbortSignal.any([signal, failed.signal]));
		stop.abort();
		await Promise.race([tasks, sleep(clock, TASKS_END_TIMEOUT_MS)]);
		this.#workerAccess.pool.close();
		this.#peerPool.close();
		await this.#catchUp.close();
		failed.signal.throwIfAborted();
	}

	async #servePeers(signal: AbortSignal): Promise<void> {
		await servePeers(this.state, this.deps.settings.self, {
			intake: this.intake,
			limits: () => this.#ingress.guardLimits,
			onForwardedRequest: (req, res) => {
				this.#ingress.handleForwarded(req, res);
			},
		}, signal);
	}

	#createState(): HostState {
		return new HostState({
			...this.deps,
			regions: this.deps.settings.regions,
			changeDeadlineMs: this.deps.settings.changeDeadlineMs,
			members: this.members,
			lifecycle: this.lifecycle,
			workerListener: {
				onWorkerStart: id => {
					this.#workers.onWorkerStart(id);
				},
				onWorkerRemoved: id => {
					this.#workers.onWorkerRemoved(id);
				},
			},
			onLimits: limits => {
				this.#ingress.setLimits(limits);
			},
			announce: () => {
				this.#heartbeats.send();
			},
		});
	}

	#createWorkers(): WorkerService {
		return new WorkerService({
			...this.deps,
			members: this.members,
			state: this.state,
			findSendingHosts: nowMs => this.#directory.findSendingHosts(nowMs),
			sendReports: () => {
				this.#heartbeats.sendReports();
			},
			onPathChange: () => {
				this.#waitingRetrier.schedule();
			},
		});
	}

	#createIngress(): Ingress {
		return createIngress({
			...this.deps,
			retryBudget: this.#retryBudget,
			members: this.members,
			state: this.state,
			lifecycle: this.lifecycle,
			load: this.#load,
			workers: this.#workers,
			peerPool: this.#peerPool,
			intake: this.intake,
			shutdownDeadline: this.#shutdownDeadline,
			shutdownReport: this.#shutdownReport,
			reportInterval: this.#reportInterval,
			waiting: this.#waiting,
			running: this.#running,
			onObjectSent: (worker, object) => {
				this.#heartbeats.recordSentRequest(worker, object);
			},
			onCapacityFreed: () => {
				this.#waitingRetrier.schedule();
			},
		});
	}

	#createPeers(): PeerService {
		return new PeerService({
			...this.deps,
			seeds: this.deps.settings.seeds,
			members: this.members,
			state: this.state,
			load: this.#load,
			objectCaches: this.#workers.statistics.objectCaches,
			reports: this.#workers.reports.reports,
			catchUp: this.#catchUp,
			onRegistered: hasEarlierStart => {
				if (!hasEarlierStart) {
					this.#retryBudget.open();
				}
			},
			isReady: () => this.isReady,
			isSourceFailing: () => this.#hostState.poller.isFailing,
			reportInterval: this.#reportInterval,
		});
	}

	#createStateReporter(): StateReporter {
		const {statistics: {objectCaches, serviceTimes}, access: {reachability}, crashes} = this.#workers;
		return new StateReporter({
			...this.deps,
			members: this.members,
			state: this.state,
			sourcePoller: this.#hostState.poller,
			waiting: this.#waiting,
			running: this.#running,
			waitingRetrier: this.#waitingRetrier,
			reachability,
			crashes,
			objectCaches,
			serviceTimes,
		});
	}
}
