import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import process from 'node:process';
import type {Socket} from 'node:net';
import type {Clock} from '@apricotwood/clock';
import {hasBody} from './body-flow.js';
import {EvictionReason} from './eviction.js';
import type {IntakeAccount} from './intake-account.js';
import {MAX_SERVED_REQUESTS, type PeerConnection} from './peer-connection.js';
import type {RequestHolding} from './request-holding.js';
import {REQUEST_CHUNKS, type TurnBudget} from './turn-budget.js';

/** Interval at which connections are looked at, ms. */
const SWEEP_INTERVAL_MS = 250;
/** Bytes that the kernel may hold of a connection in one direction, while this process or the peer does not read. */
const KERNEL_BYTES = 512 * 1024;
/** Memory of the chunks of one read that wait with their request, bytes. */
const WAITING_CHUNKS_BYTES = 8 * 1024 * 1024;
/** Bytes that may have been read of a head, beside those that the parser allows: empty lines, and what one read brings. */
const HEAD_SLACK_BYTES = 128 * 1024;
/** Time for which a peer may send on after its request was answered, ms; until then its answer is not lost by a reset. */
const LINGER_MS = 5000;
/** Bytes that a peer may send on after its request was answered, if the caller's limits name no more. */
const MIN_LINGER_BYTES = 1024 * 1024;

/** What a guarded listener allows its peers. */
export type GuardLimits = {
	/** Largest request head, bytes. */
	readonly maxHeadBytes: number;
	/** Largest request body, bytes. */
	readonly maxBodyBytes: number;
	/** Time for which a response may wait for the peer to take some of it, ms. */
	readonly untakenTimeoutMs: number;
};

/** Receives what a guard decides. */
export type GuardListener = {
	/** Called when a connection is closed. */
	readonly onClose: (reason: EvictionReason, listener: string) => void;
	/** Called at each sweep. */
	readonly onSweep: () => void;
	/** Closes a connection without sending what is buffered. */
	readonly reset: (socket: Socket) => void;
};

type GuardedSocket = {
	readonly socket: Socket;
	readonly limits: () => GuardLimits;
	readonly connection: PeerConnection;
	/** Bytes that had been read when the last request ended. */
	idleFromBytes: number;
	/** Bytes that had been read when the head of the last request had arrived. */
	bodyFromBytes: number;
	/** Bytes that the peer had taken at the last sweep, and since when it takes none, monotonic ms. */
	takenBytes: number;
	takenAtMs: number;
	isPaused: boolean;
	/** Let the requests be served that wait for others on the connection. */
	readonly turns: Array<() => void>;
	isTurnDue: boolean;
	/** Bytes that had been read when the last request began, and the number of requests that were in that read. */
	readAtBytes: number;
	requestsOfRead: number;
	/** Whether a read has brought more requests than are served at a time. */
	hasPipelined: boolean;
	/** Last request whose head has arrived. */
	lastReq: IncomingMessage | undefined;
	/** Whether the last answer of the connection is being sent: what still arrives is dropped, also whole requests. */
	isOver: boolean;
	/** Called when no request is in flight any more. */
	onAnswered: (() => void) | undefined;
	/** What may still be read of a connection that was answered before all of its request had arrived. */
	linger: Linger | undefined;
};

type Linger = {
	/** The request that was answered; `undefined` if there was none. */
	readonly req: IncomingMessage | undefined;
	/** Monotonic ms. */
	readonly untilMs: number;
	readonly maxReadBytes: number;
};

/** Dependencies of a `ConnectionGuard`. */
export type ConnectionGuardDeps = {
	readonly clock: Clock;
	readonly account: IntakeAccount;
	readonly events: GuardListener;
	readonly turnBudget: TurnBudget;
};

/**
 * Watches the connections of HTTP servers, whatever phase they are in, and closes those
 * that the account picks. The account decides; this class reads sockets and closes them.
 */
export class ConnectionGuard {
	readonly #sockets = new Map<Socket, GuardedSocket>();
	readonly #holdings = new WeakMap<IncomingMessage, RequestHolding>();
	#isSweepDue = false;
	/** Sockets that are not read in this turn of the event loop, as its budget is spent. */
	#postponed: Socket[] = [];

	constructor(private readonly deps: ConnectionGuardDeps) {
		deps.turnBudget.onSpent = () => {
			this.#postponeReads();
		};

		deps.turnBudget.onRenewed = () => {
			this.#resumeReads();
		};
	}

	/** Guards all connections of a server. @param listener name of the listener for logs. @param limits returns what is allowed at the moment. */
	attach(server: Server, listener: string, limits: () => GuardLimits): void {
		server.prependListener('connection', (socket: Socket) => {
			this.#open(socket, listener, limits);
		});
		server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
			this.#begin(req, res);
		});
	}

	/** Returns what a request holds; `undefined` if its connection has given way, or has had its last answer: the request is not to be served. */
	findHolding(req: IncomingMessage): RequestHolding | undefined {
		return this.#holdings.get(req);
	}

	/** Returns the last request whose head has arrived on a connection; `undefined` if there was none. */
	findLastRequest(socket: Socket): IncomingMessage | undefined {
		return this.#sockets.get(socket)?.lastReq;
	}

	/** Calls back when the responses to all whole requests of a connection have been handed over to the network; at once if there are none, or if the last request has arrived in part. */
	whenAnswered(socket: Socket, callback: () => void): void {
		const guarded = this.#sockets.get(socket);
		if (guarded && guarded.connection.requestCount > 0 && guarded.lastReq?.complete) {
			guarded.onAnswered = callback;
		} else {
			callback();
		}
	}

	/** Tells that the last answer of a connection is being sent: no request that follows is served, and what is still read is bounded. */
	end(socket: Socket): void {
		const guarded = this.#sockets.get(socket);
		if (guarded) {
			guarded.isOver = true;
			this.#beginLinger(guarded, undefined);
		}
	}

	#open(socket: Socket, listener: string, limits: () => GuardLimits): void {
		const connection = this.deps.account.open(reason => {
			this.deps.events.onClose(reason, listener);
			this.deps.events.reset(socket);
		});
		const guarded: GuardedSocket = {
			socket, limits, connection, idleFromBytes: 0, bodyFromBytes: 0, takenBytes: 0, takenAtMs: 0, isPaused: false, turns: [], isTurnDue: false, readAtBytes: 0, requestsOfRead: 0, hasPipelined: false, lastReq: undefined, isOver: false, onAnswered: undefined, linger: undefined,
		};
		this.#sockets.set(socket, guarded);
		socket.once('close', () => {
			connection.close();
			this.#sockets.delete(socket);
		});
		this.#scheduleSweep();
	}

	#begin(req: IncomingMessage, res: ServerResponse): void {
		const guarded = this.#sockets.get(req.socket);
		if (!guarded || guarded.isOver || guarded.connection.isClosed) {
			return;
		}

		const holding = guarded.connection.begin(hasBody(req));
		if (guarded.connection.isClosed) {
			return;
		}

		this.#holdings.set(req, holding);
		this.deps.turnBudget.spend(REQUEST_CHUNKS);
		guarded.lastReq = req;
		guarded.bodyFromBytes = guarded.socket.bytesRead;
		res.once('finish', () => {
			if (!req.complete) {
				this.#beginLinger(guarded, req);
			}
		});
		res.once('close', () => {
			holding.release();
			this.#scheduleTurns(guarded);
			this.#resume(guarded);
		});
		if (mustWait(guarded)) {
			this.#pause(guarded);
			this.#makeWait(guarded, req, holding);
			this.#scheduleTurns(guarded);
		}
	}

	#makeWait({turns}: GuardedSocket, {headers}: IncomingMessage, holding: RequestHolding): void {
		if (headers['transfer-encoding'] !== undefined) {
			holding.hold(WAITING_CHUNKS_BYTES);
		}

		holding.turn = new Promise(resolve => {
			turns.push(resolve);
		});
	}

	/** Postpones what the other connections bring to the next turn; those that were served before and have sent one request at a time are still read. */
	#postponeReads(): void {
		for (const {socket, connection, hasPipelined} of this.#sockets.values()) {
			const isProven = connection.hasServed && !hasPipelined;
			if (!isProven && !socket.isPaused()) {
				socket.pause();
				this.#postponed.push(socket);
			}
		}
	}

	/** The newest first: they are polled in this order, and the oldest have had most turns. */
	#resumeReads(): void {
		const postponed = this.#postponed.toReversed();
		this.#postponed = [];
		for (const socket of postponed) {
			socket.resume();
		}
	}

	/** Lets the next requests of a connection be served in the next turn of the event loop. */
	#scheduleTurns(guarded: GuardedSocket): void {
		const {turns, connection} = guarded;
		if (guarded.isTurnDue || turns.length === 0) {
			return;
		}

		guarded.isTurnDue = true;
		setImmediate(() => {
			guarded.isTurnDue = false;
			const served = connection.requestCount - turns.length;
			if (!connection.isClosed) {
				for (const turn of turns.splice(0, MAX_SERVED_REQUESTS - served)) {
					turn();
				}
			}
		});
	}

	/** Reads no more requests. What was read together with the last one is still parsed, and so resumes the socket, up to the next tick. */
	#pause(guarded: GuardedSocket): void {
		if (!guarded.isPaused) {
			guarded.isPaused = true;
			guarded.connection.setUnread(KERNEL_BYTES);
			process.nextTick(() => {
				if (guarded.isPaused) {
					guarded.socket.pause();
				}
			});
		}
	}

	#resume(guarded: GuardedSocket): void {
		if (guarded.connection.requestCount === 0) {
			guarded.idleFromBytes = guarded.socket.bytesRead;
			guarded.onAnswered?.();
			guarded.onAnswered = undefined;
		}

		if (guarded.isPaused && guarded.turns.length === 0) {
			guarded.isPaused = false;
			guarded.connection.setUnread(0);
			guarded.socket.resume();
		}
	}

	#beginLinger(guarded: GuardedSocket, req: IncomingMessage | undefined): void {
		const {socket, limits} = guarded;
		guarded.linger = {
			req, untilMs: this.deps.clock.monotonic() + LINGER_MS, maxReadBytes: socket.bytesRead + Math.max(MIN_LINGER_BYTES, limits().maxBodyBytes),
		};
	}

	#scheduleSweep(): void {
		if (!this.#isSweepDue && this.#sockets.size > 0) {
			this.#isSweepDue = true;
			this.deps.clock.after(SWEEP_INTERVAL_MS, this.#sweep);
		}
	}

	readonly #sweep = () => {
		const {clock, events} = this.deps;
		const nowMs = clock.monotonic();
		for (const guarded of this.#sockets.values()) {
			this.#check(guarded, nowMs);
		}

		events.onSweep();
		this.#isSweepDue = false;
		this.#scheduleSweep();
	};

	#check(guarded: GuardedSocket, nowMs: number): void {
		const {connection} = guarded;
		this.#countBody(guarded);
		const limits = guarded.limits();
		const reason = this.#checkResponses(guarded, limits, nowMs) ?? this.#checkHead(guarded, limits) ?? this.#checkLinger(guarded, nowMs);
		if (reason) {
			connection.evict(reason);
		}
	}

	/** Counts a body that is read by a part which does not count itself. */
	#countBody({socket, lastReq, bodyFromBytes}: GuardedSocket): void {
		if (lastReq && !lastReq.complete) {
			this.#holdings.get(lastReq)?.setUncounted(socket.bytesRead - bodyFromBytes);
		}
	}

	#checkResponses(guarded: GuardedSocket, {untakenTimeoutMs}: GuardLimits, nowMs: number): EvictionReason | undefined {
		const {socket: {bytesWritten, writableLength}, connection} = guarded;
		connection.setUntaken(writableLength === 0 ? 0 : writableLength + KERNEL_BYTES);
		const takenBytes = bytesWritten - writableLength;
		if (writableLength === 0 || takenBytes !== guarded.takenBytes) {
			guarded.takenBytes = takenBytes;
			guarded.takenAtMs = nowMs;
		}

		return nowMs - guarded.takenAtMs > untakenTimeoutMs ? EvictionReason.UntakenResponse : undefined;
	}

	#checkHead({socket, connection, idleFromBytes, linger}: GuardedSocket, {maxHeadBytes}: GuardLimits): EvictionReason | undefined {
		// While it lingers, what arrives is the rest of a body.
		if (connection.requestCount > 0 || linger?.req) {
			return undefined;
		}

		const headBytes = socket.bytesRead - idleFromBytes;
		connection.setHead(Math.min(headBytes, maxHeadBytes));
		return headBytes > maxHeadBytes + HEAD_SLACK_BYTES ? EvictionReason.EndlessHead : undefined;
	}

	#checkLinger(guarded: GuardedSocket, nowMs: number): EvictionReason | undefined {
		const {linger, socket} = guarded;
		if (!linger) {
			return undefined;
		}

		if (linger.req?.complete) {
			guarded.linger = undefined;
			guarded.idleFromBytes = socket.bytesRead;
			return undefined;
		}

		return nowMs > linger.untilMs || socket.bytesRead > linger.maxReadBytes ? EvictionReason.EndlessBody : undefined;
	}
}

/** Counts the request that begins, and returns whether it has to wait for others of its connection: as many are begun in one turn of the event loop as are served at a time. */
function mustWait(guarded: GuardedSocket): boolean {
	const {socket: {bytesRead}, connection, turns} = guarded;
	guarded.requestsOfRead = guarded.readAtBytes === bytesRead ? guarded.requestsOfRead + 1 : 1;
	guarded.readAtBytes = bytesRead;
	guarded.hasPipelined ||= guarded.requestsOfRead > MAX_SERVED_REQUESTS;
	return turns.length > 0 || connection.requestCount > MAX_SERVED_REQUESTS || guarded.requestsOfRead > MAX_SERVED_REQUESTS;
}
