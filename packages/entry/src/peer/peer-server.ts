import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {hasBody, type GuardLimits, type Intake} from '@apricotwood/admission';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import type {HostEntry} from '../source.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import {FORWARDED_HEADER, setMaxHeaderSize} from '../request/headers.js';
import {createCatchUpRouter} from './catch-up.js';

/** Largest head of a forwarded request, bytes, unless that of a caller may be larger: the other host may have another limit in force. */
const MIN_HEAD_BYTES = 64 * 1024;
/** Bytes by which the head of a forwarded request may exceed that of a caller: what the other host adds. */
const HEAD_MARGIN_BYTES = 16 * 1024;
/** Time for which another host may take to send a head, ms. */
const HEADERS_TIMEOUT_MS = 5000;
/** Time for which an idle connection stays open, ms. */
const KEEP_ALIVE_TIMEOUT_MS = 20_000;

/** Handles a request that another host has passed on. */
export type ForwardHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Dependencies of `servePeers`. */
export type PeerServerDeps = {
	readonly intake: Intake;
	/** Returns what callers may send, which other hosts pass on. */
	readonly limits: () => GuardLimits;
	readonly onForwardedRequest: ForwardHandler;
};

/** Serves the other hosts on the peer port (TCP) until the signal is aborted: catch-up requests, and requests of callers that they pass on. Rejects if the port cannot be bound. */
export async function servePeers(state: ReplicatedState, {ip, peerPort}: HostEntry, {intake, limits, onForwardedRequest}: PeerServerDeps, signal: AbortSignal): Promise<void> {
	const handleCatchUp = createHTTPHandler({router: createCatchUpRouter(state)});
	const server = createServer({
		requestTimeout: 0, headersTimeout: HEADERS_TIMEOUT_MS, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
	}, (req, res) => {
		if (req.headers[FORWARDED_HEADER] !== undefined) {
			onForwardedRequest(req, res);
		} else if (hasBody(req)) {
			// Other hosts only query.
			res.statusCode = 413;
			res.end();
		} else {
			handleCatchUp(req, res);
		}
	});
	const getLimits = () => {
		const callerLimits = limits();
		return {...callerLimits, maxHeadBytes: Math.max(MIN_HEAD_BYTES, callerLimits.maxHeadBytes + HEAD_MARGIN_BYTES)};
	};

	intake.attach(server, 'hosts', getLimits);
	server.prependListener('connection', () => {
		setMaxHeaderSize(server, getLimits().maxHeadBytes);
	});
	await new Promise<void>((resolve, reject) => {
		server.on('error', reject);
		server.listen(peerPort, ip);
		signal.addEventListener('abort', () => {
			server.close();
			server.closeAllConnections();
			resolve();
		}, {once: true});
	});
}
