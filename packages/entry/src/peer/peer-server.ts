import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import type {HostEntry} from '../source.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import {FORWARDED_HEADER, MAX_PARSED_HEADER_BYTES} from '../request/headers.js';
import {createCatchUpRouter} from './catch-up.js';

/** Handles a request that another host has passed on. */
export type ForwardHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Serves the other hosts on the peer port (TCP) until the signal is aborted: catch-up requests, and requests of callers that they pass on. Rejects if the port cannot be bound. */
export async function servePeers(state: ReplicatedState, {ip, peerPort}: HostEntry, onForwardedRequest: ForwardHandler, signal: AbortSignal): Promise<void> {
	const handleCatchUp = createHTTPHandler({router: createCatchUpRouter(state)});
	const server = createServer({maxHeaderSize: MAX_PARSED_HEADER_BYTES, requestTimeout: 0}, (req, res) => {
		if (req.headers[FORWARDED_HEADER] === undefined) {
			handleCatchUp(req, res);
		} else {
			onForwardedRequest(req, res);
		}
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
