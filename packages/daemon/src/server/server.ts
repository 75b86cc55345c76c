import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {ClientErrorStatus, GuardLimits, Intake} from '@apricotwood/admission';
import polka from 'polka';
import {nodeHTTPRequestHandler} from '@trpc/server/adapters/node-http';
import {Outcome} from '@apricotwood/once';
import {type HostLifecycle, HostPhase} from '../host/phase.js';
import type {Lookup} from '../lookup/lookup.js';
import type {PeerAuth} from '../peer/auth.js';
import {PEER_HEADER, PEER_PATH} from '../peer/client.js';
import type {PeerRouter} from '../peer/router.js';
import {sendRejection} from '../request/response.js';
import {RejectionCode} from '../request/rejection.js';
import type {Dispatcher} from '../request/dispatcher.js';
import {sendJson} from './json.js';
import type {OperatorApi} from './operator.js';

/** Largest request head (request line and headers), bytes. */
const MAX_REQUEST_HEAD_BYTES = 16 * 1024;
/** Time limit for receiving a complete request head, ms. */
const REQUEST_HEAD_TIMEOUT_MS = 10_000;
/** Idle time after which a keep-alive connection is closed, ms. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
/** What callers, peers and operators may send; the size of a body is bounded where it is read. */
const GUARD_LIMITS: GuardLimits = {maxHeadBytes: MAX_REQUEST_HEAD_BYTES, maxBodyBytes: 8 * 1024 * 1024, untakenTimeoutMs: KEEP_ALIVE_TIMEOUT_MS};
/** Length of the queue of connections not yet accepted. Node accepts one in a turn of the event loop: in a longer queue, callers have left before it is their turn. */
const LISTEN_BACKLOG = 128;

/** Handlers that the host's HTTP server dispatches to. */
export type ServerDeps = {
	readonly intake: Intake;
	readonly lifecycle: HostLifecycle;
	readonly lookup: Lookup;
	readonly dispatcher: Dispatcher;
	readonly operator: OperatorApi;
	readonly router: PeerRouter;
	readonly auth: PeerAuth;
};

/** Fields that polka adds to a request. */
type PolkaRequest = IncomingMessage & {path: string; search: string | null};

/** Creates a host's HTTP server, which routes look-ups, service requests, health checks, peer calls and operator calls. */
export function createHostServer(deps: ServerDeps): Server {
	const server = createServer({
		maxHeaderSize: MAX_REQUEST_HEAD_BYTES, requestTimeout: 0, headersTimeout: REQUEST_HEAD_TIMEOUT_MS, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
	});
	const app = polka({
		server,
		onNoMatch(_req, res) {
			sendJson(res, 404, {code: 'not-found', message: 'no such endpoint; docs/api.md lists the endpoints'});
		},
	});
	addPublicRoutes(app, deps);
	addOperatorRoutes(app, deps.operator);
	addPeerRoutes(app, deps);
	const handle = app.handler as unknown as (req: IncomingMessage, res: ServerResponse) => void;
	server.on('request', (req: IncomingMessage, res: ServerResponse) => {
		// A request on a connection that has had its last answer must not run.
		if (deps.intake.guard.findHolding(req)) {
			handle(req, res);
		}
	});
	server.prependListener('request', (_req: IncomingMessage, res: ServerResponse) => {
		res.shouldKeepAlive &&= !deps.lifecycle.isStopping;
	});
	server.on('connection', (socket: Socket) => {
		// Each request on the connection listens for its end, and a caller may pipeline many.
		socket.setMaxListeners(0);
	});
	// After the listeners above: the guard runs first.
	deps.intake.attach(server, 'all', () => GUARD_LIMITS);
	return server;
}

/**
 * Starts listening; port 0 lets the system choose one.
 * @returns the port in use.
 * @throws when the address cannot be bound.
 */
export async function listen(server: Server, address: string, port: number): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({host: address, port, backlog: LISTEN_BACKLOG}, () => {
			server.off('error', reject);
			resolve();
		});
	});
	return (server.address() as AddressInfo).port;
}

function addPublicRoutes(app: polka.Polka, {lifecycle, lookup, dispatcher}: ServerDeps): void {
	app.get('/v1/lookup', (req, res) => {
		handleLookup(req as unknown as PolkaRequest, res, lookup);
	});
	app.all('/s/*', (req, res) => {
		void dispatcher.handle(req, res);
	});
	app.get('/livez', (_req, res) => {
		sendJson(res, 200, {phase: lifecycle.phase});
	});
	app.get('/readyz', (_req, res) => {
		sendJson(res, lifecycle.phase === HostPhase.Ready ? 200 : 503, {phase: lifecycle.phase});
	});
}

function handleLookup(req: PolkaRequest, res: ServerResponse, lookup: Lookup): void {
	const query = new URLSearchParams(req.search ?? '');
	const result = lookup.answer({service: query.get('service') ?? '', member: query.get('member') ?? '', addr: query.get('addr') ?? req.socket.remoteAddress ?? ''});
	if (!result.ok) {
		sendRejection(res, result.refusal, []);
		return;
	}

	res.writeHead(200, ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(result.body))]);
	res.end(result.body);
}

function addOperatorRoutes(app: polka.Polka, operator: OperatorApi): void {
	const addGetRoute = (path: string, handler: (query: URLSearchParams) => unknown) => {
		app.get(path, (req, res) => {
			const {search} = req as unknown as PolkaRequest;
			void operator.handle(req, res, () => handler(new URLSearchParams(search ?? '')));
		});
	};

	addGetRoute('/v1/agreement', () => operator.getAgreement());
	addGetRoute('/v1/agreement/history', query => operator.getHistory(query.get('after') ?? undefined));
	addGetRoute('/v1/agreement/status', () => operator.getStatus());
	addGetRoute('/v1/hosts', () => operator.listHosts());
	addGetRoute('/v1/ledger', () => operator.getLedger());
	addGetRoute('/v1/explain', query => operator.explain(query));
	app.post('/v1/agreement/patches', (req, res) => {
		const [rawReq, rawRes] = [req, res];
		void operator.handle(rawReq, rawRes, async name => operator.commitPatch(rawReq, rawRes, name));
	});
}

function addPeerRoutes(app: polka.Polka, {router, auth}: ServerDeps): void {
	app.all(`${PEER_PATH}/:call`, (req, res) => {
		const {call: procedure} = req.params as {call: string};
		// The call's body is read before its procedure asks who sends it.
		if (authenticatePeer(req, auth) === undefined) {
			sendJson(res, 401, {code: 'unauthorized', message: 'the peer header is missing or its signature is not valid'});
			return;
		}

		void nodeHTTPRequestHandler({
			router,
			req: req as never,
			res: res as never,
			path: procedure,
			createContext: () => ({peer: authenticatePeer(req as unknown as IncomingMessage, auth)}),
		});
	});
}

/** Returns the host id in the signed peer header; `undefined` when it is missing or the signature is not valid. */
function authenticatePeer(req: IncomingMessage, auth: PeerAuth): string | undefined {
	const signedName = req.headers[PEER_HEADER];
	const name = typeof signedName === 'string' ? auth.verify(signedName) : undefined;
	return typeof name === 'string' ? name : undefined;
}

/** Formats the answer to data that is not valid HTTP: outcome `not-run`, since no such request was executed. */
export function formatMalformedRequestAnswer(status: ClientErrorStatus, {code = 'unknown'}: NodeJS.ErrnoException): string {
	const body = JSON.stringify({
		code: RejectionCode.BadRequest, message: `the request is not valid HTTP/1.1 (${code}); send a well-formed request`, retryAfterMs: 0, hosts: [],
	});
	return `HTTP/1.1 ${status}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\nApricotwood-Outcome: ${Outcome.NotRun}\r\nConnection: close\r\n\r\n${body}`;
}
