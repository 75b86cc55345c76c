import type {Clock} from '@apricotwood/clock';
import type {Log, Metrics} from '@apricotwood/telemetry';
import {Connection} from './connection.js';
import type {Connector} from './connector.js';

/** Longest idle time of a connection for non-idempotent requests, ms; the worker may have dropped a connection that was idle for longer. */
const MAX_IDLE_MS = 4000;
/** The same bound for a worker that recently broke an idle connection, ms. */
const MAX_SUSPECT_IDLE_MS = 300;
/** Shortest idle time of a connection for non-idempotent requests, ms; until then a worker may still send surplus bytes after its response. */
const MIN_IDLE_MS = 30;
/** Duration of the stricter reuse rules after a mismatched response or a broken idle connection, ms. */
const CAUTION_PERIOD_MS = 10_000;
/** Upper bound of idle connections that a host keeps to each worker. */
const MAX_IDLE_CONNECTIONS_PER_WORKER = 8;
/** Ratio of a worker's connection limit that may be idle, over all hosts. */
const MAX_IDLE_CONNECTION_RATIO = 0.5;

type WorkerConnections = {
	readonly idle: Connection[];
	/** Until then, non-idempotent requests reuse no connection, monotonic ms. */
	mismatchUntilMs: number;
	/** Until then, non-idempotent requests reuse only recently used connections, monotonic ms. */
	brokenUntilMs: number;
};

/**
 * Computes how many idle connections a host may keep to a worker.
 * @param maxConnections connection limit of the worker over all hosts; `undefined` if none is configured.
 * @param hosts number of known hosts, including those that no longer run; the limit is divided by it.
 */
export function computeMaxIdleConnections(maxConnections: number | undefined, hosts: number): number {
	return maxConnections === undefined ? MAX_IDLE_CONNECTIONS_PER_WORKER : Math.min(MAX_IDLE_CONNECTIONS_PER_WORKER, Math.floor(maxConnections * MAX_IDLE_CONNECTION_RATIO / hosts));
}

/** Dependencies of `ConnectionPool`. */
export type ConnectionPoolDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly connector: Connector;
	/** Called when a connection was opened. @param durationMs duration of the set-up, ms. */
	readonly onConnect: (worker: string, durationMs: number) => void;
	/** Called when a connection could not be opened. */
	readonly onConnectFailure: (worker: string) => void;
};

/** What a connection is acquired for. */
export type ConnectionUse = {
	/** Id of the request, which its response echoes; `undefined` if it has none. */
	readonly requestId: string | undefined;
	/** Whether the request must not run twice: an idle connection is then reused only if it is unlikely to break or to carry surplus bytes. */
	readonly isNonIdempotent: boolean;
};

/** Pool of idle connections to workers, keyed by the worker's id and address. */
export class ConnectionPool {
	readonly #workers = new Map<string, WorkerConnections>();

	constructor(private readonly deps: ConnectionPoolDeps) {}

	/**
	 * Returns an idle connection or creates a new one. A request never gets a connection
	 * that has carried its id: an earlier response, sent once more, could not be told
	 * from its own.
	 */
	acquire(worker: string, address: string, {requestId, isNonIdempotent}: ConnectionUse): Connection {
		const {clock, log, metrics, connector, onConnect, onConnectFailure} = this.deps;
		const connections = this.#connectionsOf(worker, address);
		const nowMs = clock.monotonic();
		for (let index = connections.idle.length - 1; index >= 0; index--) {
			const connection = connections.idle[index]!;
			if (connection.isClosed) {
				connections.idle.splice(index, 1);
				continue;
			}

			const idleMs = nowMs - connection.idleSinceMs;
			const isSafe = !isNonIdempotent || (idleMs >= MIN_IDLE_MS && idleMs <= (nowMs < connections.brokenUntilMs ? MAX_SUSPECT_IDLE_MS : MAX_IDLE_MS) && nowMs >= connections.mismatchUntilMs);
			// A connection released less than 1 ms ago is not reused, not even for an idempotent request.
			if (isSafe && idleMs >= 1 && connection.canIdentify(requestId)) {
				connections.idle.splice(index, 1);
				return connection;
			}
		}

		metrics.count('upstream.connections');
		return new Connection(address, connector, {
			onConnect(durationMs) {
				onConnect(worker, durationMs);
			},
			onConnectFailure() {
				onConnectFailure(worker);
			},
			onException(error, id) {
				metrics.count('upstream.exceptions');
				log.error({
					event: 'exchange-failed', id, worker, message: error.stack,
				});
			},
		});
	}

	/**
	 * Returns a connection after a successful exchange; closes it if it cannot be kept.
	 * @param maxIdleConnections upper bound of idle connections to the worker, see `computeMaxIdleConnections`.
	 */
	release(worker: string, address: string, connection: Connection, maxIdleConnections = MAX_IDLE_CONNECTIONS_PER_WORKER): void {
		const {idle} = this.#connectionsOf(worker, address);
		if (connection.isClosed || connection.isWorn || idle.length >= maxIdleConnections) {
			connection.close();
			return;
		}

		connection.idleSinceMs = this.deps.clock.monotonic();
		idle.push(connection);
	}

	/** Records a response that belongs to another request, and closes the idle connections to the worker. */
	recordMismatch(worker: string, address: string): void {
		const connections = this.#connectionsOf(worker, address);
		connections.mismatchUntilMs = this.deps.clock.monotonic() + CAUTION_PERIOD_MS;
		for (const connection of connections.idle.splice(0)) {
			connection.close();
		}
	}

	/** Records that a reused connection broke during a request: the worker may have dropped it while it was idle. */
	recordBrokenConnection(worker: string, address: string): void {
		this.#connectionsOf(worker, address).brokenUntilMs = this.deps.clock.monotonic() + CAUTION_PERIOD_MS;
	}

	/** Closes the idle connections to a worker that was removed. */
	removeWorker(worker: string): void {
		for (const [key, {idle}] of this.#workers) {
			if (!key.startsWith(`${worker} `)) {
				continue;
			}

			this.#workers.delete(key);
			for (const connection of idle) {
				connection.close();
			}
		}
	}

	/** Closes all idle connections. */
	close(): void {
		for (const {idle} of this.#workers.values()) {
			for (const connection of idle) {
				connection.close();
			}
		}

		this.#workers.clear();
	}

	#connectionsOf(worker: string, address: string): WorkerConnections {
		const key = `${worker} ${address}`;
		let connections = this.#workers.get(key);
		if (!connections) {
			connections = {idle: [], mismatchUntilMs: 0, brokenUntilMs: 0};
			this.#workers.set(key, connections);
		}

		return connections;
	}
}
