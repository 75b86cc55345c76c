import {Pool} from 'undici';
import {type Worker} from '@apricotwood/agreement';
import {
	AdaptiveLimit, WorkerEvent, WorkerLifecycle, WorkerPhase,
} from '@apricotwood/admission';
import type {Clock} from '@apricotwood/clock';
import type {Holding} from '@apricotwood/ledger';
import type {Sample, WorkerView} from '@apricotwood/routing';
import type {ExceptionListener} from '@apricotwood/supervisor';
import {createGuardedConnector} from './connector.js';

/** Backoff after the first connection failure, ms; doubles up to `MAX_BACKOFF_MS`. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 10_000;
/** Number of responses after joining at which a worker is considered serving. */
const RESPONSES_UNTIL_SERVING = 3;
/** Idle time after which a connection is not reused, ms. */
const KEEP_ALIVE_TIMEOUT_MS = 4000;
const CONNECT_TIMEOUT_MS = 1000;
/** Number of connections for probes in addition to the slots. */
const PROBE_CONNECTIONS = 1;

/** Reason why a worker is leaving; it accepts work again when no reason remains. */
export enum LeaveReason {
	Operator = 'operator',
	HostList = 'host-list',
	Worker = 'worker',
	Removed = 'removed',
}

/** Options of a {@link WorkerLink}. */
export type WorkerLinkOptions = {
	readonly clock: Clock;
	/** Longest pause in a response body, ms. */
	readonly stallMs: number;
	readonly onPhaseChange: (link: WorkerLink, phase: WorkerPhase) => void;
	/** Called after an unexpected exception on a connection, which is closed then. */
	readonly onException: ExceptionListener;
};

/** Connection pool, load, concurrency limit and lifecycle of one upstream worker on this host. */
export class WorkerLink {
	readonly limit: AdaptiveLimit;
	readonly lifecycle: WorkerLifecycle;
	readonly pool: Pool;
	/** Last load reported by the worker, 0 to 1. */
	load: Sample | undefined;
	/** Number of running attempts. */
	inFlight = 0;
	readonly #leaveReasons = new Set<LeaveReason>();
	#latency: Sample | undefined;
	#consecutiveFailures = 0;
	#responsesSinceJoin = 0;

	constructor(
		readonly worker: Worker,
		readonly zone: string,
		readonly holding: Holding,
		private readonly options: WorkerLinkOptions,
	) {
		this.limit = new AdaptiveLimit(options.clock.monotonic());
		this.lifecycle = new WorkerLifecycle(phase => {
			options.onPhaseChange(this, phase);
		});
		this.pool = this.#createPool();
	}

	/** Current reasons for leaving; logged as `signs`. */
	get signs(): ReadonlySet<LeaveReason> {
		return this.#leaveReasons;
	}

	/** Maximum number of units that may be in use at present; 0 if no new work may start. */
	get usable(): number {
		return this.lifecycle.canAcceptWork ? this.limit.usableUnits(this.holding.granted, this.options.clock.monotonic()) : 0;
	}

	/** Number of units that a new attempt may use at present. */
	get free(): number {
		return Math.max(0, Math.min(this.holding.free, this.usable - this.holding.inUse));
	}

	/** Returns the state that worker selection uses. */
	getView(): WorkerView {
		return {
			name: this.worker.name, zone: this.zone, free: this.free, limit: this.usable, latency: this.#latency, load: this.load,
		};
	}

	/** Adds or removes a reason for leaving and updates the lifecycle. */
	setLeaveReason(reason: LeaveReason, isActive: boolean): void {
		const wasLeaving = this.#leaveReasons.size > 0;
		if (isActive) {
			this.#leaveReasons.add(reason);
		} else {
			this.#leaveReasons.delete(reason);
		}

		const isLeaving = this.#leaveReasons.size > 0;
		if (isLeaving === wasLeaving) {
			return;
		}

		if (!isLeaving) {
			this.#rejoin(WorkerEvent.Return);
			return;
		}

		this.lifecycle.send(WorkerEvent.Leave);
		this.#sendIdleIfDrained();
	}

	/** Records the start of an attempt. */
	begin(): void {
		this.inFlight++;
	}

	/** Records the end of an attempt. */
	end(): void {
		this.inFlight--;
		this.#sendIdleIfDrained();
	}

	/** Records a complete response and its latency, ms. */
	recordResponse(latencyMs: number): void {
		this.limit.recordResponse(latencyMs, this.options.clock.monotonic());
		this.#latency = {value: this.limit.latencyMs ?? latencyMs, atMs: this.options.clock.now()};
		this.#consecutiveFailures = 0;
		this.#responsesSinceJoin++;
		if (this.#responsesSinceJoin >= RESPONSES_UNTIL_SERVING && this.lifecycle.phase === WorkerPhase.Joining) {
			this.lifecycle.send(WorkerEvent.Ready);
		}
	}

	/** Records a request that the worker shed. */
	recordShed(): void {
		this.limit.recordShed(this.options.clock.monotonic());
	}

	/** Records a failed connection attempt or a reset; the worker is suspect until the backoff ends. */
	recordFailure(): void {
		if (!this.lifecycle.canAcceptWork) {
			return;
		}

		const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * (2 ** this.#consecutiveFailures));
		this.#consecutiveFailures++;
		this.lifecycle.send(WorkerEvent.Fail);
		this.options.clock.after(backoffMs, () => {
			if (this.lifecycle.phase === WorkerPhase.Suspect) {
				this.#rejoin(WorkerEvent.Recover);
			}
		});
	}

	#rejoin(event: WorkerEvent): void {
		this.#responsesSinceJoin = 0;
		this.limit.reset(this.options.clock.monotonic());
		this.lifecycle.send(event);
	}

	#sendIdleIfDrained(): void {
		if (this.lifecycle.phase === WorkerPhase.Leaving && this.inFlight === 0) {
			this.lifecycle.send(WorkerEvent.Idle);
		}
	}

	#createPool(): Pool {
		const {stallMs, onException} = this.options;
		const {address, port, slots, connections} = this.worker;
		const host = address.includes(':') ? `[${address}]` : address;
		return new Pool(`http://${host}:${port}`, {
			connections: Math.min(connections, slots + PROBE_CONNECTIONS),
			pipelining: 1,
			keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
			headersTimeout: 0,
			bodyTimeout: stallMs,
			connect: createGuardedConnector(CONNECT_TIMEOUT_MS, onException),
		});
	}
}
