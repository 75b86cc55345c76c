import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {
	CacheState, RequestKind, SendPurpose, type Placement, type Route, type Worker,
} from '@apricotwood/steering';
import type {RequestMetadata} from '../dialect.js';
import {Exchange, type ExchangeListener} from '../upstream/exchange.js';
import {
	ExchangeEnd, NOT_RUN_STATUSES, type ExchangeResult, type ResponseSink,
} from '../upstream/response.js';
import type {Connection} from '../upstream/connection.js';
import type {ConnectionUse} from '../upstream/pool.js';
import type {Member} from '../peer/members.js';
import {hasBrokenConnection, recordOutcome} from './attempt-outcome.js';
import {streamBody, type RequestBody} from './body.js';
import type {GuardedRequest} from './crash-guard.js';
import type {PeerSender} from './request-forwarder.js';
import {
	FORWARDED_HEADER, REACHED_WORKER_HEADER, copyRequestHeaders, formatForwardedBy,
} from './headers.js';
import {FIRST_ERROR_STATUS} from './response-selection.js';
import type {SessionDeps} from './session-deps.js';
import {DeadlineBound} from './shutdown-report.js';

/** Time after the deadline for a response of the worker itself, such as a 504, to arrive before this host cancels the exchange, ms. */
const TIMEOUT_RESPONSE_GRACE_MS = 120;
/** Time after the deadline for the response of another host, which may itself wait for a worker's, ms. */
const FORWARD_RESPONSE_GRACE_MS = 200;
/** Logged reason of an attempt at another host. */
const FORWARD_REASON = 'forward';
/** Logged end of an attempt that was cancelled at the deadline. */
const TIMEOUT_END = 'timeout';
/** Result of an attempt that was cancelled before it began. */
const WITHDRAWN: ExchangeResult = {
	end: ExchangeEnd.Withdrawn, mayHaveRun: false, isReusable: false, head: undefined, body: Buffer.alloc(0), message: 'request was cancelled before it was sent',
};

/** Ends of attempts that do not count, as nothing was sent. */
export const UNSENT_ENDS: ReadonlySet<ExchangeEnd> = new Set([ExchangeEnd.Unreachable, ExchangeEnd.Withdrawn]);

/** Log record of one attempt at a worker; the field names are part of the log format. */
export type AttemptRecord = {
	readonly worker: string;
	readonly warm: boolean;
	readonly load: number;
	readonly why: string;
	end?: string;
	ms?: number;
};

/** The request that the attempts send. */
export type AttemptRequest = {
	readonly req: IncomingMessage;
	readonly body: RequestBody | undefined;
	readonly route: Route;
	readonly service: string;
	/** Hash of the requested object; `undefined` when the request has none. */
	readonly object: number | undefined;
	readonly metadata: RequestMetadata;
	readonly guarded: GuardedRequest;
	/** Arrival of the request, monotonic ms. */
	readonly startAtMs: number;
	/** Monotonic ms. */
	readonly deadlineAtMs: number;
};

/** Sends one request to one worker after another, and records what each attempt tells about the worker. */
export class AttemptSender implements PeerSender {
	readonly records: AttemptRecord[] = [];
	#exchange: Exchange | undefined;
	#isCancelled = false;
	#mayHaveRun = false;
	#hasReachedWorker = false;
	#brokenAttempts = 0;

	constructor(private readonly deps: SessionDeps, private readonly request: AttemptRequest, private readonly sink: ResponseSink) {}

	/** Whether any attempt may have run the request. */
	get mayHaveRun(): boolean {
		return this.#mayHaveRun;
	}

	/** Whether the request has reached a worker, also by another host that then rejected it. */
	get hasReachedWorker(): boolean {
		return this.#hasReachedWorker;
	}

	/** Whether the request may be sent now. If it has reached a worker before, that takes a retry from the budget of this host. */
	takeRetry(): boolean {
		const {retryBudget, countHosts, clock} = this.deps;
		return !this.#hasReachedWorker || retryBudget.tryTake(this.request.service, countHosts(), clock.monotonic());
	}

	/** Number of attempts at workers whose connection ended without a response. */
	get brokenAttempts(): number {
		return this.#brokenAttempts;
	}

	/** Cancels the attempt in progress, and any later one. Its connection is reset; otherwise buffered request bytes could still be delivered to the worker. */
	cancel(): void {
		this.#isCancelled = true;
		this.#exchange?.cancel();
	}

	async send(worker: Worker, placement: Placement): Promise<ExchangeResult> {
		const {clock, pool, load, roundTrips, onCapacityFreed} = this.deps;
		const {registration: {id, address}, hash, region} = worker;
		const startAtMs = clock.monotonic();
		const record: AttemptRecord = {worker: id, warm: placement.cacheState !== CacheState.NotCached, load: placement.load, why: placement.reason};
		this.#addRecord(record);
		const connection = pool.acquire(id, address, this.#connectionUse);
		load.begin(hash);
		this.#recordObject(hash);
		const result = await this.#exchangeInTime(worker, placement, connection, record, startAtMs);
		load.end(hash);
		this.#returnConnection(worker, connection, result);
		this.#recordEnd(record, result, startAtMs);
		// One round trip for the request, and one more to connect unless the connection was reused.
		const networkMs = roundTrips.get(region) * (connection.requestCount > 1 ? 1 : 2);
		recordOutcome(this.deps, this.request, {
			worker, placement, result, durationMs: record.ms!, networkMs, hasTimedOut: record.end === TIMEOUT_END, isBodyMissing: this.request.body?.rest !== undefined && !this.request.req.complete,
		});
		this.#hasReachedWorker ||= !UNSENT_ENDS.has(result.end);
		this.#brokenAttempts += Number(hasBrokenConnection(result));
		onCapacityFreed();
		return result;
	}

	/** Passes the request on to another host. A rejection of that host, or a 4xx, such as that of an earlier build which serves no other host, states that the request has not run. */
	async sendToPeer({entry}: Member): Promise<ExchangeResult> {
		const {clock, peerPool, dialect, hostId, getConfigVersion} = this.deps;
		const {metadata} = this.request;
		const startAtMs = clock.monotonic();
		const record: AttemptRecord = {
			worker: entry.id, warm: false, load: 0, why: FORWARD_REASON,
		};
		this.#addRecord(record);
		const address = `${entry.ip}:${entry.peerPort}`;
		const connection = peerPool.acquire(entry.id, address, this.#connectionUse);
		// The peer applies the timeout of the route itself.
		const remainingMs = metadata.waitsMs === undefined ? undefined : metadata.waitsMs - (startAtMs - this.request.startAtMs);
		const headers = [FORWARDED_HEADER, formatForwardedBy(hostId, getConfigVersion()), ...(remainingMs === undefined ? [] : dialect.buildForwardHeaders(Math.max(1, Math.floor(remainingMs))))];
		const exchange = this.#createExchange(connection, headers, {isPeer: true});
		const exchangeResult = await this.#runInTime(exchange, record, FORWARD_RESPONSE_GRACE_MS);
		const {head} = exchangeResult;
		const isRejected = exchangeResult.end === ExchangeEnd.Answered && head !== undefined && !head.metadata.isSigned && (NOT_RUN_STATUSES.has(head.status) || isClientError(head.status));
		const result = isRejected ? {...exchangeResult, mayHaveRun: false} : exchangeResult;
		this.#hasReachedWorker ||= result.mayHaveRun || head?.headers[REACHED_WORKER_HEADER] !== undefined;
		if (result.isReusable) {
			peerPool.release(entry.id, address, connection);
		} else {
			connection.close();
		}

		this.#recordEnd(record, result, startAtMs);
		return result;
	}

	/** Expected service time of the request, ms. */
	estimateServiceMs(isWarm: boolean): number {
		const {warmMs, coldMs} = this.deps.serviceTimes.estimate(this.request.route, this.request.service);
		return isWarm ? warmMs : coldMs;
	}

	get #connectionUse(): ConnectionUse {
		const {metadata: {requestId}, route: {kind}} = this.request;
		return {requestId, isNonIdempotent: kind !== RequestKind.Idempotent};
	}

	get #remainingMs(): number {
		return this.request.deadlineAtMs - this.deps.clock.monotonic();
	}

	#addRecord(record: AttemptRecord): void {
		const {metadata: {requestId, waitsMs}, route: {timeoutMs}, deadlineAtMs} = this.request;
		this.records.push(record);
		this.deps.shutdownReport.recordStart({
			requestId, target: record.worker, deadlineAtMs, bound: waitsMs !== undefined && waitsMs < timeoutMs ? DeadlineBound.CallerTimeout : DeadlineBound.RouteTimeout,
		});
	}

	#recordObject(worker: number): void {
		const {object} = this.request;
		if (object !== undefined) {
			this.deps.objectCaches.record(worker, object);
			this.deps.onObjectSent(worker, object);
		}
	}

	/** Runs the exchange, at the latest until the deadline of the request. */
	async #exchangeInTime(worker: Worker, {waitMs}: Placement, connection: Connection, record: AttemptRecord, startAtMs: number): Promise<ExchangeResult> {
		const {clock, dialect, running, roundTrips, availability, workerFeedback, crashGuard} = this.deps;
		const {registration: {id}, hash, region} = worker;
		const {metadata: {requestId}, guarded, deadlineAtMs} = this.request;
		const exchange = this.#createExchange(connection, dialect.buildWorkerHeaders(id, Math.max(1, Math.floor(this.#remainingMs))), {isPeer: false}, {
			canSend: () => !availability.findObstacle(worker, SendPurpose.PlacedRequest, clock.monotonic()) && crashGuard.beginAttempt(guarded, deadlineAtMs),
			onHead({metadata}) {
				workerFeedback.recordResponse(worker, metadata, {id: requestId, sentAtMs: startAtMs});
			},
		});
		// Two round trips: one to connect and one for the request, also if a connection is reused.
		const runningAttempt = {
			worker: hash, startAtMs, expectedMs: this.estimateServiceMs(record.warm) + waitMs + (2 * roundTrips.get(region)),
		};
		running.add(runningAttempt);
		const result = await this.#runInTime(exchange, record, TIMEOUT_RESPONSE_GRACE_MS);
		running.delete(runningAttempt);
		return result;
	}

	#createExchange(connection: Connection, headers: readonly string[], {isPeer}: {readonly isPeer: boolean}, listener?: ExchangeListener): Exchange {
		const {clock, dialect} = this.deps;
		const {req, metadata} = this.request;
		return new Exchange(connection, {
			method: req.method ?? 'GET',
			path: req.url ?? '/',
			headers: [...copyRequestHeaders(req, dialect.managedHeaders), ...this.#createLengthHeader(), ...headers],
			body: this.#createUpstreamBody(),
			requestId: metadata.requestId,
			isPeer,
		}, dialect, this.sink, clock, listener);
	}

	/** Runs an exchange, at the latest until the deadline of the request. @param graceMs time after the deadline for the other end to respond if it has received the request. */
	async #runInTime(exchange: Exchange, record: AttemptRecord, graceMs: number): Promise<ExchangeResult> {
		const {clock} = this.deps;
		const {rest} = this.request.body ?? {};
		if (rest) {
			await rest.readArrived();
			if (this.#isCancelled) {
				return WITHDRAWN;
			}
		}

		this.#exchange = exchange;
		const abortOnTimeout = () => {
			record.end = TIMEOUT_END;
			exchange.cancel();
		};

		let timer = clock.after(Math.max(1, this.#remainingMs), () => {
			if (!exchange.wasSent) {
				abortOnTimeout();
				return;
			}

			timer = clock.after(graceMs, abortOnTimeout);
		});
		const result = await exchange.run();
		timer.cancel();
		this.#exchange = undefined;
		return result;
	}

	#returnConnection({registration: {id, address}}: Worker, connection: Connection, {end, isReusable}: ExchangeResult): void {
		const {pool, maxIdleConnections} = this.deps;
		if (isReusable) {
			pool.release(id, address, connection, maxIdleConnections(this.request.service));
		} else {
			connection.close();
		}

		if (end === ExchangeEnd.Broken && connection.requestCount > 1) {
			pool.recordBrokenConnection(id, address);
		}
	}

	#createLengthHeader(): string[] {
		const {req, body} = this.request;
		const length = req.headers['content-length'];
		return body?.rest && length !== undefined ? ['content-length', length] : [];
	}

	#createUpstreamBody(): Buffer | Readable | undefined {
		const {body} = this.request;
		return body?.rest ? Readable.from(streamBody(body.bytes, body.rest), {objectMode: false}) : body?.bytes;
	}

	#recordEnd(record: AttemptRecord, result: ExchangeResult, startAtMs: number): void {
		record.ms = Math.round(this.deps.clock.monotonic() - startAtMs);
		record.end ??= result.end === ExchangeEnd.Answered ? String(result.head?.status) : result.end;
		this.#mayHaveRun ||= result.mayHaveRun;
	}
}

/** Whether the status is a 4xx. */
function isClientError(status: number): boolean {
	return status >= 400 && status < FIRST_ERROR_STATUS;
}
