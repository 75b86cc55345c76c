import {randomBytes} from 'node:crypto';
import {DrainKind, type AgreementState} from '@apricotwood/agreement';
import {EventLoopMonitor, sleep, waitForAbort} from '@apricotwood/clock';
import {Supervisor} from '@apricotwood/supervisor';
import type {VersionRecord} from '../control/agreement.js';
import {type HostDigest} from '../control/digest.js';
import {listen} from '../server/server.js';
import type {Identity} from './identity.js';
import {BackgroundTasks} from './background-tasks.js';
import {assembleHost, type HostDeps, type HostComponents} from './components.js';
import {ExitSequence} from './exit-sequence.js';
import {HostEvent, HostLifecycle, HostPhase} from './phase.js';
import {OwnLease} from './own-lease.js';
import {Shutdown} from './shutdown.js';
import {computeShutdownSchedule} from './shutdown-schedule.js';

/** Time between two runs by which a blocked event loop is noticed, ms; up to twice as much of the grace period is given up. */
const EVENT_LOOP_CHECK_INTERVAL_MS = 100;

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
	readonly #lease: OwnLease;
	readonly #backgroundTasks: BackgroundTasks;
	#digestSeq = 0;

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
		this.#lease = new OwnLease({
			clock,
			log,
			lifecycle: this.lifecycle,
			components: this.#components,
			intervalMs: settings.control.leaseIntervalMs,
			onReplaced: () => {
				this.#stopRequested.abort();
			},
		});
		this.#backgroundTasks = new BackgroundTasks({
			...deps,
			components: this.#components,
			lease: this.#lease,
			applyAgreement: state => {
				this.#applyAgreement(state);
			},
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
		const childrenDone = supervisor.run(this.#backgroundTasks.createChildren(), stopChildren.signal).catch((error: unknown) => {
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
				await this.#lease.renewWithoutDemand();
			},
		}, mustEnd);
	}

	#createExitSequence(): ExitSequence {
		const {clock, log} = this.deps;
		return new ExitSequence({
			...this.#components, clock, log, lifecycle: this.lifecycle, renewLease: async () => this.#lease.renewWithoutDemand(),
		});
	}
}
