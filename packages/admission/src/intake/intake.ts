import type {Server} from 'node:http';
import type {Clock} from '@apricotwood/clock';
import type {Log, Metrics} from '@apricotwood/telemetry';
import {ReadPacer} from './body-flow.js';
import {answerClientErrors, formatEmptyAnswer, type ClientErrorStatus} from './client-error-responder.js';
import {ConnectionGuard, type GuardLimits} from './connection-guard.js';
import type {EvictionReason} from './eviction.js';
import {IntakeAccount} from './intake-account.js';
import {
	DEFAULT_PROCESS_RESOURCES, computeIntakeLimits, type IntakeShares, type ProcessResources,
} from './intake-limits.js';
import {TurnBudget} from './turn-budget.js';
import {resetSocket} from './reset-socket.js';

/** Interval of the log lines that sum up what was closed, ms. */
const SUMMARY_INTERVAL_MS = 1000;
/** Lines about bad requests that are logged within that interval; further ones are counted. */
const MAX_BAD_REQUEST_LINES = 10;
/** Limits of a listener that serves small requests without bodies. */
const SMALL_REQUEST_LIMITS: GuardLimits = {maxHeadBytes: 16 * 1024, maxBodyBytes: 0, untakenTimeoutMs: 10_000};

/** Dependencies of an `Intake`. */
export type IntakeDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	/** What the process may use. @default DEFAULT_PROCESS_RESOURCES */
	readonly resources?: ProcessResources;
	/** What peers may use of it. @default DEFAULT_INTAKE_SHARES */
	readonly intakeShares?: IntakeShares;
	/** Formats the answer to what is no request. @default formatEmptyAnswer */
	readonly formatClientError?: (status: ClientErrorStatus, error: NodeJS.ErrnoException) => string;
};

/** What the peers of all listeners of a host may make it hold: one account, and one guard of all connections. */
export class Intake {
	readonly account: IntakeAccount;
	readonly guard: ConnectionGuard;
	readonly pacer: ReadPacer;
	/** Connections closed since the last summary, by reason and listener. */
	readonly #closed = new Map<string, {readonly reason: EvictionReason; readonly listener: string; count: number}>();
	#badRequests = 0;
	#nextSummaryMs = 0;

	constructor(private readonly deps: IntakeDeps) {
		const {clock, resources = DEFAULT_PROCESS_RESOURCES, intakeShares} = deps;
		const turnBudget = new TurnBudget();
		this.pacer = new ReadPacer(clock, turnBudget);
		this.account = new IntakeAccount(clock, computeIntakeLimits(resources, intakeShares));
		this.guard = new ConnectionGuard({
			clock,
			account: this.account,
			turnBudget,
			events: {
				onClose: (reason, listener) => {
					this.#recordClose(reason, listener);
				},
				onSweep: () => {
					this.#sweep();
				},
				reset: resetSocket,
			},
		});
	}

	/** Guards a listener, and answers what is no request on it. @param listener name for logs. @param limits @default for small requests without bodies */
	attach(server: Server, listener: string, limits: () => GuardLimits = () => SMALL_REQUEST_LIMITS): void {
		this.guard.attach(server, listener, limits);
		answerClientErrors(server, this.guard, {
			format: this.deps.formatClientError ?? formatEmptyAnswer,
			onError: error => {
				this.#recordBadRequest(listener, error);
			},
		});
	}

	#recordClose(reason: EvictionReason, listener: string): void {
		this.deps.metrics.count(`intake.closed.${reason}`);
		const key = `${reason} ${listener}`;
		const entry = this.#closed.get(key) ?? {reason, listener, count: 0};
		entry.count++;
		this.#closed.set(key, entry);
	}

	#recordBadRequest(listener: string, {message, code}: NodeJS.ErrnoException): void {
		this.deps.metrics.count('intake.bad-requests');
		this.#badRequests++;
		if (this.#badRequests <= MAX_BAD_REQUEST_LINES) {
			this.deps.log.info({event: 'bad-request', listener, message, code});
		}
	}

	/** Publishes what is held. A crowd gets one line a second for each reason, not one for each connection. */
	#sweep(): void {
		const {clock, log, metrics} = this.deps;
		const {heldBytes, connectionCount} = this.account;
		metrics.gauge('intake.held-bytes', heldBytes);
		metrics.gauge('intake.connections', connectionCount);
		if (clock.monotonic() < this.#nextSummaryMs) {
			return;
		}

		this.#nextSummaryMs = clock.monotonic() + SUMMARY_INTERVAL_MS;
		for (const {reason, listener, count} of this.#closed.values()) {
			log.warn({event: 'intake-closed', reason, listener, count, heldBytes, connections: connectionCount});
		}

		if (this.#badRequests > MAX_BAD_REQUEST_LINES) {
			log.warn({event: 'bad-requests', count: this.#badRequests});
		}

		this.#closed.clear();
		this.#badRequests = 0;
	}
}
