import {randomBytes} from 'node:crypto';
import {DrainKind, type AgreementState} from '@apricotwood/agreement';
import {EventLoopMonitor, sleep, waitForAbort} from '@apricotwood/clock';
import {Supervisor, type Child} from '@apricotwood/supervisor';
import {VERSION_PREFIX, type VersionRecord} from '../control/agreement.js';
import {type HostDigest} from '../control/digest.js';
import {SHARE_PREFIX} from '../control/ledger.js';
import {HOST_PREFIX, RenewResult} from '../control/membership.js';
import {listen} from '../server/server.js';
import {Prober} from '../upstream/probe.js';
import type {Identity} from './identity.js';
import {assembleHost, type HostDeps, type HostComponents} from './components.js';
import {ExitSequence} from './exit-sequence.js';
import {HostEvent, HostLifecycle, HostPhase} from './phase.js';
import {Shutdown} from './shutdown.js';
import {computeShutdownSchedule} from './shutdown-schedule.js';

/** Time between two refreshes of the host directory, ms. */
const REFRESH_INTERVAL_MS = 250;
/** Time between two ticks of the fence, ms; it must tick at least once a second. */
const PAUSE_CHECK_INTERVAL_MS = 250;
/** Time between two runs by which a blocked event loop is noticed, ms; up to twice as much of the grace period is given up. */
const EVENT_LOOP_CHECK_INTERVAL_MS = 100;
/** Time between two checks whether a snapshot is due, ms. */
const SNAPSHOT_CHECK_INTERVAL_MS = 5000;
/** Demand that changes by more than this factor is published before the next lease renewal is due. */
const DEMAND_CHANGE_FACTOR = 1.5;

/** An entry host: owns its components and runs them from startup to the end of a graceful shutdown. */
export class Host {
	readonly lifecycle: HostLifecycle;
	readonly #identity: Identity;
	readonly #components: HostComponents;
	/** Aborted when the host is to end as after a stop signal. */
	readonly #stopRequested = new AbortController();
	/** Aborted when the host is to end after all requests in flight, however long. */
	readonly #drainRequested = new AbortController();
	readonly #eventLoop: EventLoopMonitor;
	#digestSeq = 0;
	#lastDemand: Record<string, number> = {};
	#lastLeaseWriteMs = Number.NEGATIVE_INFINITY;

	/** Creates a host and starts to listen; `run` starts its background tasks. */
	static async start(deps: HostDeps): Promise<Host> {
		const host = new Host(deps);
		const {address, port} = deps.settings.listen;
		host.#setPort(await listen(host.#components.server, address, port));
		return host;
	}

	private constructor(private readonly deps: HostDeps) {
		const {settings, clock, log} = deps;
		this.#eventLoop = new EventLoopMonitor(clock);
		this.#identity = {
			id: settings.id, incarnation: randomBytes(6).toString('hex'), address: settings.listen.address, port: 0, zone: settings.zone, region: settings.region,
		};
		this.lifecycle = new HostLifecycle(phase => {
			log.info({event: 'host-phase', phase});
		});
		this.#components = assembleHost(deps, this.#identity, this.lifecycle, {
			onVersion: (state, record) => {
				this.#onVersion(state, record);
			},
			digest: () => this.#createDigest(),
			ownStatus: () => this.#ownStatus(),
		});
	}

	get port(): number {
		return this.#identity.port;
	}

	get id(): string {
		return this.#identity.id;
	}

	get isReady(): boolean {
		return this.lifecycle.phase === HostPhase.Ready;
	}

	/** Units in use by in-flight requests, over all resources except rates. */
	get unitsInUse(): number {
		return this.#components.holdings.inUse;
	}

	/** Calls to the platform since startup. */
	get platformCalls(): Readonly<{reads: number; writes: number; failures: number}> {
		return this.#components.guard.counts;
	}

	/** Runs the periodic work once: reads control rows, adjusts the shares and refreshes the host directory. */
	async refresh(): Promise<void> {
		await this.#components.feed.refresh();
		await this.#components.ledger.adjust();
		this.#components.directory.refresh();
	}

	/**
	 * Serves until the signal is aborted, then shuts down gracefully: lookups stop
	 * returning this host, in-flight requests finish before the end of the grace period,
	 * and all shares are released. A host that an operator drains waits for them without
	 * an end until the signal is aborted.
	 * @throws the error of a background task that keeps failing, after the graceful shutdown.
	 */
	async run(signal: AbortSignal): Promise<void> {
		const stopChildren = new AbortController();
		void this.#watchEventLoop(stopChildren.signal);
		const supervisor = this.#createSupervisor();
		let failure: Error | undefined;
		const childrenDone = supervisor.run(this.#createChildren(), stopChildren.signal).catch((error: unknown) => {
			failure = error as Error;
			this.#stopRequested.abort();
		});
		const mustEnd = AbortSignal.any([signal, this.#stopRequested.signal]);
		const shutdown = this.#createShutdown(mustEnd);
		await waitForAbort(AbortSignal.any([mustEnd, this.#drainRequested.signal]));
		await shutdown.drain();
		stopChildren.abort();
		const exitSequence = this.#createExitSequence();
		await shutdown.runUntilExit(async () => childrenDone);
		await exitSequence.disconnectUpstreams();
		await shutdown.runUntilExit(async exit => exitSequence.releaseShares(exit));
		await shutdown.runUntilExit(async exit => exitSequence.closeServer(exit));
		await exitSequence.closeConnections();
		this.deps.log.info({event: 'left', holdsUnits: this.#components.ledger.holdsUnits});
		if (failure) {
			throw failure;
		}
	}

	#setPort(port: number): void {
		Object.assign(this.#identity, {port});
		this.deps.log.info({event: 'listening', address: this.#identity.address, port});
	}

	#createSupervisor(): Supervisor {
		const {clock, random, log, metrics} = this.deps;
		return new Supervisor({
			name: this.id, clock, random, onFailure(child, error, restartInMs) {
				metrics.count('child.failures');
				log.error({
					event: 'child-failed', child, message: error.stack, restartInMs: Math.round(restartInMs),
				});
			},
		});
	}

	/** Not a background task: these end together when one keeps failing, before the shutdown begins. */
	async #watchEventLoop(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#eventLoop.recordRun();
			await sleep(this.deps.clock, EVENT_LOOP_CHECK_INTERVAL_MS, signal); // eslint-disable-line no-await-in-loop
		}
	}

	#createChildren(): Child[] {
		const {control, request, metrics} = this.deps.settings;
		const {clock, random} = this.deps;
		const periodic = (name: string, intervalMs: number, task: () => Promise<void> | void): Child => ({
			name,
			async run(signal) {
				while (!signal.aborted) {
					await task(); // eslint-disable-line no-await-in-loop
					await sleep(clock, intervalMs, signal); // eslint-disable-line no-await-in-loop
				}
			},
		});
		const prober = new Prober({
			clock, random, workers: this.#components.workers, intervalMs: request.probeIntervalMs, path: request.probePath,
		});
		return [
			{name: 'feed', run: async signal => this.#runFeed(signal)},
			{name: 'gossip', run: async signal => this.#components.gossip.run(signal)},
			{name: 'prober', run: async signal => prober.run(signal)},
			{name: 'stalls', run: async signal => this.#components.stalls.run(signal)},
			periodic('ledger', control.ledgerIntervalMs, async () => this.#toleratePlatformErrors('ledger', async () => this.#adjustShares())),
			periodic('lease', control.ledgerIntervalMs, async () => this.#toleratePlatformErrors('lease', async () => this.#renewLease())),
			periodic('host-list', control.hostListIntervalMs, async () => this.#toleratePlatformErrors('host-list', async () => this.#readHostList())),
			periodic('snapshot', SNAPSHOT_CHECK_INTERVAL_MS, async () => this.#toleratePlatformErrors('snapshot', async () => {
				await this.#components.agreement.writeSnapshotIfDue(this.#components.feed.version);
			})),
			periodic('directory', REFRESH_INTERVAL_MS, () => {
				this.#components.directory.refresh();
				this.#components.admission.admitWaiters();
			}),
			periodic('beat', PAUSE_CHECK_INTERVAL_MS, async () => this.#checkPause()),
			periodic('metrics', metrics.intervalMs, () => {
				this.#reportMetrics();
			}),
		];
	}

	async #runFeed(signal: AbortSignal): Promise<void> {
		await this.#loadInitialState(signal);
		await this.#components.feed.run(signal);
	}

	/** Loads the agreement, leases and shares. Retries until the platform replies; peers may deliver the agreement in the meantime. */
	async #loadInitialState(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				const after = await this.#components.agreement.loadSnapshot(); // eslint-disable-line no-await-in-loop
				if (this.#components.agreement.state.version > 0) {
					this.#applyAgreement(this.#components.agreement.state);
				}

				// eslint-disable-next-line no-await-in-loop
				await this.#components.feed.loadInitialRows([
					{prefix: HOST_PREFIX, after: 0},
					{prefix: SHARE_PREFIX, after: 0},
					{prefix: VERSION_PREFIX, after},
				]);
				return;
			} catch (error) {
				this.deps.log.warn({event: 'platform-silent', reason: (error as Error).message});
				await sleep(this.deps.clock, this.deps.settings.control.scanIntervalMs, signal); // eslint-disable-line no-await-in-loop
			}
		}
	}

	/** Runs a task and ignores platform errors, because the task is repeated; other errors count as a failure of the background task. */
	async #toleratePlatformErrors(part: string, task: () => Promise<void>): Promise<void> {
		try {
			await task();
		} catch (error) {
			if ((error as Error).name !== 'PlatformError') {
				throw error;
			}

			this.deps.log.debug({event: 'platform-silent', part, reason: (error as Error).message});
		}
	}

	async #adjustShares(): Promise<void> {
		if (this.#components.agreement.state.version === 0 || this.#lastLeaseWriteMs === Number.NEGATIVE_INFINITY) {
			return;
		}

		await this.#components.ledger.adjust();
		this.#components.admission.admitWaiters();
	}

	async #renewLease(): Promise<void> {
		const {clock, settings} = this.deps;
		const demand = this.#components.demand.sample();
		const isDue = clock.monotonic() - this.#lastLeaseWriteMs >= settings.control.leaseIntervalMs;
		if (!isDue && !hasDemandChanged(this.#lastDemand, demand)) {
			return;
		}

		await this.#writeLease(demand);
		this.#lastLeaseWriteMs = clock.monotonic();
		this.#lastDemand = demand;
	}

	async #writeLease(demand: Record<string, number>): Promise<void> {
		const result = await this.#components.membership.renew(this.#components.guard.table, this.lifecycle.phase, demand);
		if (result === RenewResult.Replaced) {
			this.deps.log.error({event: 'replaced', reason: 'another process has registered with this host\'s id; this process rejects new work and shuts down'});
			this.#components.fence.close();
			this.#stopRequested.abort();
		}
	}

	async #readHostList(): Promise<void> {
		this.#components.membership.applyHostList(await this.#components.guard.hosts.list());
		this.#components.workers.applyHostList(address => this.#components.membership.listingOf(address));
	}

	/** Ticks the fence; after a pause of the process, rereads the ledger entries so that work may start again. */
	async #checkPause(): Promise<void> {
		this.#components.fence.tick();
		if (!this.#components.fence.mustReread) {
			return;
		}

		this.deps.log.warn({event: 'woke', reason: 'the process was paused; no work starts until the shares are reread'});
		await this.#toleratePlatformErrors('reread', async () => {
			await this.#components.feed.refresh();
			this.#components.fence.recordReread();
		});
	}

	#onVersion(state: AgreementState, record: VersionRecord): void {
		this.#applyAgreement(state);
		this.deps.log.info({
			event: 'version-in-force', version: state.version, patch: record.patchId, operator: record.operator,
		});
	}

	#applyAgreement(state: AgreementState): void {
		this.#components.admission.apply(state);
		this.#components.pacings.apply(state.agreement.priority);
		this.#components.ledger.applyAgreement(state);
		this.#components.workers.apply(state);
		this.lifecycle.send(HostEvent.AgreementInForce);
		this.#components.directory.refresh();
		this.#components.admission.admitWaiters();
		if (state.isDrained(DrainKind.Host, this.id)) {
			this.#drainRequested.abort();
		}
	}

	#createDigest(): HostDigest {
		const free: Record<string, number> = {};
		for (const service of this.#components.agreement.state.services.keys()) {
			free[service] = this.#components.admission.getRoom(service);
		}

		return {
			id: this.id,
			incarnation: this.#identity.incarnation,
			seq: this.#digestSeq++,
			phase: this.lifecycle.phase,
			version: this.#components.agreement.state.version,
			free,
			pending: this.#components.ledger.pending,
		};
	}

	#ownStatus(): {id: string; phase: HostPhase; version: number; pending: readonly string[]} {
		return {
			id: this.id, phase: this.lifecycle.phase, version: this.#components.agreement.state.version, pending: this.#components.ledger.pending,
		};
	}

	#reportMetrics(): void {
		const {metrics} = this.deps;
		for (const service of this.#components.agreement.state.services.keys()) {
			metrics.gauge(`headroom.${this.#identity.region}.${service}`, this.#components.workers.countFreeUnits(service));
			metrics.gauge(`queue.${service}`, this.#components.admission.getQueue(service).length);
		}

		metrics.gauge('in-flight', this.#components.inFlight.size);
		metrics.gauge('agreement.version', this.#components.agreement.state.version);
		metrics.gauge('platform.reads', this.#components.guard.counts.reads);
		metrics.gauge('platform.writes', this.#components.guard.counts.writes);
		metrics.gauge('platform.failures', this.#components.guard.counts.failures);
		metrics.report();
	}

	#createShutdown(mustEnd: AbortSignal): Shutdown {
		const {clock, log, settings} = this.deps;
		const {inFlight, shutdownDeadline, admission, directory} = this.#components;
		return new Shutdown({
			clock,
			log,
			lifecycle: this.lifecycle,
			inFlight,
			deadline: shutdownDeadline,
			schedule: computeShutdownSchedule(settings.shutdown.graceMs),
			lookupTtlMs: settings.lookup.ttlMs,
			getReadUntilMs: () => this.#eventLoop.readUntilMs,
			rejectLate() {
				admission.rejectLate();
			},
			announce: async () => {
				directory.refresh();
				await this.#renewWithoutDemand();
			},
		}, mustEnd);
	}

	#createExitSequence(): ExitSequence {
		const {clock, log} = this.deps;
		return new ExitSequence({
			...this.#components, clock, log, lifecycle: this.lifecycle, renewLease: async () => this.#renewWithoutDemand(),
		});
	}

	/** Renews the lease without demand; no error keeps the host from ending. */
	async #renewWithoutDemand(): Promise<void> {
		try {
			await this.#toleratePlatformErrors('lease', async () => this.#writeLease({}));
		} catch (error) {
			this.deps.log.error({event: 'internal-error', message: (error as Error).stack});
		}
	}
}

/** Whether any group's demand changed by more than 1 unit and by more than `DEMAND_CHANGE_FACTOR`. */
function hasDemandChanged(before: Readonly<Record<string, number>>, after: Readonly<Record<string, number>>): boolean {
	for (const group of new Set([...Object.keys(before), ...Object.keys(after)])) {
		const [low = 0, high = 0] = [before[group] ?? 0, after[group] ?? 0].toSorted((a, b) => a - b);
		if (high - low > 1 && high > low * DEMAND_CHANGE_FACTOR) {
			return true;
		}
	}

	return false;
}
