import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as TcpServer, type Socket} from 'node:net';
import type {GuardLimits, Intake, RequestHolding} from '@apricotwood/admission';
import {DEFAULT_CALLER_LIMITS, type CallerLimits} from '@apricotwood/steering';
import {resetSocket} from '../socket.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import {
	FORWARDED_HEADER, countHeaderBytes, parseForwardedVersion, setMaxHeaderSize,
} from './headers.js';
import type {SessionDeps} from './session-deps.js';
import {
	RejectionCode, createNotRunRejection, createUnknownOutcomeRejection, sendRejection, type Rejection,
} from './rejection.js';
import {Session} from './session.js';

/** Length of the queue of connections not yet accepted. Node accepts one in a turn of the event loop: in a longer queue, callers have left before it is their turn, and those that could be served wait behind them. */
const LISTEN_BACKLOG = 128;
/** Margin by which the server's keep-alive timeout exceeds the callers' idle timeout, ms, so that no request is sent while the server closes the connection. */
const KEEP_ALIVE_MARGIN_MS = 2000;
/** Age of the state (the older of operations and workers) above which a new route may be missing from it, ms; an unknown route is then answered with 503 instead of 404. */
const MAX_STATE_AGE_MS = 2000;
/** Bytes by which the parser's limit of a head exceeds the configured one, which is checked after parsing. */
const PARSER_MARGIN_BYTES = 4096;
/** `Retry-After` of requests that are rejected for a missing or stale configuration, ms. */
const NOT_READY_RETRY_AFTER_MS = 300;

/** HTTP server for callers: validates each request, matches its route and starts a session for it. */
export class Ingress {
	readonly #server: Server;
	/** Responses that have not been handed over to the network completely, with the sessions that create them. */
	readonly #inFlight = new Map<ServerResponse, Session | undefined>();
	/** Connections of callers that have carried a request. */
	readonly #kept = new Set<Socket>();

	#limits = DEFAULT_CALLER_LIMITS;

	constructor(private readonly state: ReplicatedState, private readonly deps: SessionDeps, private readonly intake: Intake) {
		this.#server = createServer({requestTimeout: 0, connectionsCheckingInterval: 1000}, (req, res) => {
			void this.#handle(req, res, false);
		});
		intake.attach(this.#server, 'callers', () => this.guardLimits);
		this.#server.on('connection', socket => {
			// Each request on the connection listens for its end, and a caller may pipeline many.
			socket.setMaxListeners(0);
			socket.once('close', () => {
				this.#kept.delete(socket);
			});
		});
		this.setLimits(DEFAULT_CALLER_LIMITS);
	}

	/** Number of requests in flight, until their responses have been handed over to the network. */
	get running(): number {
		return this.#inFlight.size;
	}

	/** What callers, and hosts that pass their requests on, may send. */
	get guardLimits(): GuardLimits {
		const {maxHeaderBytes, maxBodyBytes, idleTimeoutMs} = this.#limits;
		return {maxHeadBytes: maxHeaderBytes, maxBodyBytes, untakenTimeoutMs: idleTimeoutMs};
	}

	/** Applies the configured limits to the server. A head that is too long is answered by the parser; up to its margin, by this class. */
	setLimits(limits: CallerLimits): void {
		const {maxHeaderBytes, headerTimeoutMs, idleTimeoutMs} = limits;
		if (maxHeaderBytes > this.#limits.maxHeaderBytes) {
			// The parser of a connection keeps the limit that was in force when it was opened.
			this.#closeIdle();
		}

		this.#limits = limits;
		setMaxHeaderSize(this.#server, maxHeaderBytes + PARSER_MARGIN_BYTES);
		this.#server.headersTimeout = headerTimeoutMs;
		this.#server.keepAliveTimeout = idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
	}

	/** Starts listening. @throws if the address cannot be bound. */
	async listen(ip: string, port: number): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, ip, LISTEN_BACKLOG, resolve);
		});
	}

	/**
	 * Stops accepting connections and closes those that are kept between two requests;
	 * requests in flight continue. Not done by the HTTP server's own `close`, which
	 * takes a connection for idle as soon as its response has been ended, before it has
	 * been handed over to the network.
	 */
	close(): void {
		TcpServer.prototype.close.call(this.#server);
		this.#closeIdle();
	}

	#closeIdle(): void {
		const busy = new Set(Array.from(this.#inFlight.keys(), ({req}) => req.socket));
		for (const socket of this.#kept) {
			if (!busy.has(socket)) {
				socket.destroy();
			}
		}
	}

	/** Closes all connections. Those of the requests in flight are reset, as a response without a length would look complete otherwise, and these requests are logged. */
	reset(): void {
		for (const [res, session] of this.#inFlight) {
			const {req, socket} = res;
			const wasLogged = session?.cut() ?? true;
			this.deps.shutdownReport.recordCut(() => {
				if (wasLogged) {
					this.deps.log.info({event: 'response-cut', id: this.deps.dialect.parseRequestHeaders(req.headers).requestId, status: res.statusCode});
				} else {
					session?.logCut();
				}
			});
			if (socket) {
				resetSocket(socket);
			}
		}

		this.#server.closeAllConnections();
	}

	/** Handles a request that another host has passed on. */
	handleForwarded(req: IncomingMessage, res: ServerResponse): void {
		void this.#handle(req, res, true);
	}

	async #handle(req: IncomingMessage, res: ServerResponse, isForwarded: boolean): Promise<void> {
		const holding = this.intake.guard.findHolding(req);
		if (!holding) {
			// The connection has been closed.
			return;
		}

		this.#inFlight.set(res, undefined);
		if (!isForwarded) {
			this.#kept.add(req.socket);
		}

		holding.onEnd = () => {
			this.#inFlight.delete(res);
		};

		try {
			if (holding.turn) {
				await holding.turn;
			}

			if (this.deps.isLeaving()) {
				res.setHeader('connection', 'close');
			}

			await this.#serve(req, res, isForwarded, holding);
		} catch (error) {
			this.#fail(req, res, error as Error);
		}
	}

	/** Ends a request after an unexpected exception. */
	#fail(req: IncomingMessage, res: ServerResponse, error: Error): void {
		this.deps.metrics.count('requests.exceptions');
		this.deps.log.error({
			event: 'request-failed', id: this.deps.dialect.parseRequestHeaders(req.headers).requestId, url: req.url, message: error.stack,
		});
		try {
			sendRejection(res, createUnknownOutcomeRejection(RejectionCode.Unknown, 'this host failed to handle the request'));
		} catch {
			// The response is in a state that nothing can be written in.
			resetSocket(req.socket);
		}
	}

	async #serve(req: IncomingMessage, res: ServerResponse, isForwarded: boolean, holding: RequestHolding): Promise<void> {
		const {table} = this.state;
		if (!table) {
			this.#reject(req, res, createNotRunRejection(RejectionCode.NotReady, 'this host has not loaded a configuration yet', NOT_READY_RETRY_AFTER_MS));
			return;
		}

		if (isForwarded && parseForwardedVersion(req.headers[FORWARDED_HEADER]) > table.version) {
			this.#reject(req, res, createNotRunRejection(RejectionCode.StaleRoutes, 'the host that has passed the request on has a newer configuration', NOT_READY_RETRY_AFTER_MS));
			return;
		}

		// A forwarded request was checked by the host that received it, and has another header since.
		if (!isForwarded && countHeaderBytes(req) > table.config.limits.maxHeaderBytes) {
			this.#reject(req, res, {code: RejectionCode.HeaderTooLong, status: 431, message: `request header exceeds the limit of ${table.config.limits.maxHeaderBytes} bytes`});
			return;
		}

		const route = table.match(req.headers.host ?? '', stripQuery(req.url ?? '/'));
		if (!route) {
			const isStateStale = this.state.ageMs() > MAX_STATE_AGE_MS || this.state.lacksOperations;
			this.#reject(req, res, isStateStale
				? createNotRunRejection(RejectionCode.StaleRoutes, 'the state of this host is stale and may lack a newer route', NOT_READY_RETRY_AFTER_MS)
				: {code: RejectionCode.NoRoute, status: 404, message: `no route matches ${req.headers.host}${req.url}`});
			return;
		}

		const session = new Session(this.deps, req, res, route, this.deps.dialect.parseRequestHeaders(req.headers), isForwarded, holding);
		this.#inFlight.set(res, session);
		await session.run();
	}

	#reject(req: IncomingMessage, res: ServerResponse, rejection: Rejection): void {
		this.deps.metrics.count(`requests.${rejection.code}`);
		this.deps.log.info({
			event: 'request',
			id: this.deps.dialect.parseRequestHeaders(req.headers).requestId,
			code: rejection.code,
			status: rejection.status,
			host: req.headers.host,
			url: req.url,
			config: this.state.table?.version,
			ageMs: Math.round(this.state.ageMs()),
			revision: this.state.operations.cursor,
			announced: this.state.operations.announcedRevision,
		});
		sendRejection(res, rejection);
	}
}

function stripQuery(url: string): string {
	const query = url.indexOf('?');
	return query === -1 ? url : url.slice(0, query);
}
