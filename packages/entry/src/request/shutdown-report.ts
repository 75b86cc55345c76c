import type {Clock} from '@apricotwood/clock';
import type {Log, Metrics} from '@apricotwood/telemetry';

/** Maximum number of lines for requests that are started, and for requests that are cut, in one shutdown. */
const MAX_LINES = 500;

/** What bounds the time until a request has ended. The values are part of the log format. */
export enum DeadlineBound {
	CallerTimeout = 'caller-timeout',
	RouteTimeout = 'route-timeout',
}

/** An attempt that is about to be started. */
export type AttemptStart = {
	readonly requestId: string | undefined;
	/** Id of the worker, or of the other host that the request is passed on to. */
	readonly target: string;
	/** Deadline of the request, monotonic ms. */
	readonly deadlineAtMs: number;
	readonly bound: DeadlineBound;
};

/** Requests since the stop signal, by what became of them. */
export type ShutdownCounts = {
	/** Attempts that were started. */
	readonly started: number;
	/** Requests that were rejected because the host may end before the response. */
	readonly rejected: number;
	/** Requests that were in flight when the host ended. */
	readonly cut: number;
};

/** Logs and counts what becomes of requests while a host stops; before the stop signal it does nothing. */
export class ShutdownReport {
	#startAtMs: number | undefined;
	#endAtMs = Number.POSITIVE_INFINITY;
	#started = 0;
	#rejected = 0;
	#cut = 0;

	constructor(private readonly deps: {readonly clock: Clock; readonly log: Log; readonly metrics: Metrics}) {}

	get counts(): ShutdownCounts {
		return {started: this.#started, rejected: this.#rejected, cut: this.#cut};
	}

	/** @param startAtMs time of the stop signal, monotonic ms. @param endAtMs time at which the host ends, monotonic ms. */
	begin(startAtMs: number, endAtMs: number): void {
		this.#startAtMs = startAtMs;
		this.#endAtMs = endAtMs;
	}

	recordStart({requestId, target, deadlineAtMs, bound}: AttemptStart): void {
		if (this.#startAtMs === undefined) {
			return;
		}

		const {clock, log, metrics} = this.deps;
		const nowMs = clock.monotonic();
		this.#started++;
		metrics.count('shutdown.started');
		if (this.#started <= MAX_LINES) {
			log.info({
				event: 'started-while-stopping',
				id: requestId,
				target,
				afterMs: Math.round(nowMs - this.#startAtMs),
				leftMs: Math.round(this.#endAtMs - nowMs),
				boundMs: Math.round(deadlineAtMs - nowMs),
				bound,
			});
		}
	}

	recordRejection(): void {
		this.#rejected++;
		this.deps.metrics.count('shutdown.rejected');
	}

	/** @param logRequest writes the line of the request; not called when too many lines were written. */
	recordCut(logRequest: () => void): void {
		this.#cut++;
		this.deps.metrics.count('shutdown.cut');
		if (this.#cut <= MAX_LINES) {
			logRequest();
		}
	}
}
