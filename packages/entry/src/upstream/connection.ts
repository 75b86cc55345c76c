import type {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {hashText} from '@apricotwood/routing';
import {deferEnd, guardEvents, type ExceptionListener} from '@apricotwood/supervisor';
import {Client} from 'undici';
import {resetSocket, wasResetAtEnd} from '../socket.js';
import {createTcpConnector, type Connector} from './connector.js';

/** Idle timeout of a connection for workers that send no keep-alive hint, ms. */
const DEFAULT_KEEP_ALIVE_TIMEOUT_MS = 4000;

/** Number of requests after which a connection is not used again, so that the ids that it remembers stay few. */
const MAX_REQUESTS = 256;

/** Receives the outcome of opening a connection, and what fails unexpectedly on it. */
export type ConnectionListener = {
	/** @param durationMs duration of the set-up, ms. */
	readonly onConnect: (durationMs: number) => void;
	readonly onConnectFailure: () => void;
	/** Called at most once, after an unexpected exception. @param requestId id of the last request on the connection. */
	readonly onException: (error: Error, requestId: string | undefined) => void;
};

const NO_LISTENER: ConnectionListener = {onConnect() {}, onConnectFailure() {}, onException() {}};

/** A connection to a worker that carries one request at a time. */
export class Connection {
	readonly client: Client;
	#socket: Socket | undefined;
	#wasReset = false;
	#isEndReceived = false;
	#endCheck: Promise<void> = Promise.resolve();
	#isClosed = false;
	/** Time of the last release to the pool, monotonic ms. */
	idleSinceMs = 0;
	/** Called whenever bytes have arrived from the worker. */
	onBytesReceived: () => void = () => {};
	/** Called when the request in flight fails by an unexpected exception. */
	onException: ExceptionListener = () => {};
	#hasFailed = false;
	#requestCount = 0;
	#requestId: string | undefined;
	/** Hashes of the ids of its requests. */
	readonly #requestIds = new Set<number>();

	/** @param address `IP:port`. */
	constructor(address: string, connector: Connector = createTcpConnector(), private readonly listener = NO_LISTENER) {
		this.client = new Client(`http://${address}`, {
			connect: (options, callback) => {
				const startMs = performance.now();
				connector(options, (...args) => {
					const [error, socket] = args;
					if (error === null) {
						listener.onConnect(performance.now() - startMs);
						this.#trackSocket(socket);
					} else {
						listener.onConnectFailure();
					}

					callback(...args);
				});
			},
			pipelining: 1,
			keepAliveTimeout: DEFAULT_KEEP_ALIVE_TIMEOUT_MS,
			bodyTimeout: 0,
			headersTimeout: 0,
		});
		this.client.on('disconnect', () => {
			this.#isClosed = true;
		});
		// Not in undici's types; without a listener, an exception that undici has caught would end the process.
		(this.client as EventEmitter).on('error', error => {
			this.fail(error as Error);
		});
	}

	/** Whether the socket failed with an error, such as a reset, or ended before the request was sent: a response that is delimited by the end of the connection is then incomplete. */
	get wasReset(): boolean {
		return this.#wasReset;
	}

	/** Resolves when `wasReset` is known for a connection whose end was received. */
	get endCheck(): Promise<void> {
		return this.#endCheck;
	}

	/** Whether the worker has closed its side of the connection. */
	get isEndReceived(): boolean {
		return this.#isEndReceived;
	}

	/** Bytes received on this connection. */
	get receivedBytes(): number {
		return this.#socket?.bytesRead ?? 0;
	}

	/** Whether request bytes are still buffered for sending, for example when a worker responds before it has read a long body. */
	get hasUnsentBytes(): boolean {
		return (this.#socket?.writableLength ?? 0) > 0;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Number of requests started on this connection, also if it could not be opened. */
	get requestCount(): number {
		return this.#requestCount;
	}

	/** Whether it has carried so many requests that it should be replaced. */
	get isWorn(): boolean {
		return this.#requestCount >= MAX_REQUESTS;
	}

	/**
	 * Whether the id tells the responses to a new request from all others on this
	 * connection: a worker may repeat an earlier response at any time. Without an id,
	 * only the first request of a connection can be told.
	 */
	canIdentify(requestId: string | undefined): boolean {
		return this.#requestCount === 0 || (requestId !== undefined && !this.#requestIds.has(hashText(requestId)));
	}

	/** Records a request that is started on this connection. */
	begin(requestId: string | undefined): void {
		this.#requestCount++;
		this.#requestId = requestId;
		if (requestId !== undefined) {
			this.#requestIds.add(hashText(requestId));
		}
	}

	/** Resets the connection. Bytes that have not reached the worker are dropped instead of being delivered when it becomes reachable again. */
	reset(): void {
		if (this.#socket && !this.#socket.destroyed) {
			// Without an error event, undici would treat the close as the regular end of a response without a length.
			this.#socket.emit('error', new Error('connection was reset by this host'));
			resetSocket(this.#socket);
		}
	}

	/** Ends the request in flight after an unexpected exception, and resets the connection, whose state is unknown then. */
	fail(error: Error): void {
		if (this.#hasFailed) {
			return;
		}

		this.#hasFailed = true;
		this.listener.onException(error, this.#requestId);
		this.onException(error);
		this.reset();
		this.close();
	}

	/** Closes the connection and fails a request in flight on it. */
	close(): void {
		this.#isClosed = true;
		this.client.destroy().catch(() => {
			// The connection is no longer in use.
		});
	}

	/** Adds listeners to the socket. They must run before those of undici: on a connection without keep-alive, undici treats any end of the connection as the end of the response, and `wasReset` has to be set by then. */
	#trackSocket(socket: Socket): void {
		this.#socket = socket;
		deferEnd(socket);
		guardEvents(socket, error => {
			this.fail(error);
		});
		// After the end, `#checkEnd` decides; undici destroys the socket with an error of its own then.
		socket.on('error', () => {
			this.#wasReset ||= !this.#isEndReceived;
		});
		socket.on('readable', () => {
			this.onBytesReceived();
		});
		socket.on('end', () => {
			this.#isEndReceived = true;
			this.#endCheck = this.#checkEnd(socket);
		});
		socket.on('close', hadError => {
			this.#wasReset ||= hadError && !this.#isEndReceived;
			this.#isClosed = true;
		});
	}

	/** An end that comes while the request is still being sent may be a reset whose error a write of the request gets, which undici then drops together with the rest of the request. */
	async #checkEnd(socket: Socket): Promise<void> {
		this.#wasReset ||= socket.writableLength > 0;
		const wasReset = await wasResetAtEnd(socket);
		this.#wasReset ||= wasReset;
	}
}
