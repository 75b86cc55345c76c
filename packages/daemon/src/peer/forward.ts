import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import type {LongBody} from '@apricotwood/admission';
import type {Clock, Timer} from '@apricotwood/clock';
import type {ExceptionListener} from '@apricotwood/supervisor';
import {
	Attempt, type ResponseHead, type AttemptFailure, type AttemptListener,
} from '../upstream/attempt.js';
import {createGuardedConnector} from '../upstream/connector.js';
import {
	RejectionCode, rejectUnknown, rejectNotRun, type Rejection,
} from '../request/rejection.js';
import type {RequestContext} from '../request/context.js';
import {HeaderName, copyRequestHeaders} from '../request/headers.js';
import {cutResponse} from '../request/response.js';
import type {PeerAuth} from './auth.js';

/** Largest number of connections to one peer. */
const MAX_CONNECTIONS_PER_PEER = 64;
/** Time limit for connecting to a peer, ms. */
const CONNECT_TIMEOUT_MS = 500;

/** Signed metadata that a host sends along with a forwarded request. */
export type ForwardMetadata = {
	/** Id of the host that forwards the request. */
	readonly from: string;
	/** The caller's IP address as seen by the forwarding host. */
	readonly caller: string;
};

/** Result of forwarding a request. */
export type ForwardResult = {
	/** Whether bytes of the request may have reached the peer; if not, another peer may be tried. */
	readonly mayHaveReachedPeer: boolean;
	/** Error response for the caller when forwarding failed; `undefined` when the peer's response was relayed in full. */
	readonly refusal: Rejection | undefined;
	/** Free units that the peer reported in its room header; `undefined` without a valid header. */
	readonly peerRoom: number | undefined;
};

/** Id and listening address of a peer. */
export type PeerAddress = {
	readonly id: string;
	readonly address: string;
	readonly port: number;
};

/** Options of a forwarder. */
export type ForwarderOptions = {
	readonly clock: Clock;
	readonly auth: PeerAuth;
	readonly hostId: string;
	/** Longest pause in a peer's response body, ms. */
	readonly stallMs: number;
	/** Called after an unexpected exception on a connection to a peer, which is closed then. */
	readonly onException: ExceptionListener;
};

/** Forwards requests to other hosts and relays their responses. */
export class Forwarder {
	readonly #pools = new Map<string, Pool>();

	constructor(private readonly options: ForwarderOptions) {}

	/**
	 * Forwards a request to a peer and relays the response to the caller. Calls `setCancel` with a function that
	 * aborts the forwarded request.
	 */
	async forward(ctx: RequestContext, peer: PeerAddress, body: Buffer | LongBody | undefined, setCancel: (cancel: () => void) => void): Promise<ForwardResult> {
		const forwarded = new ForwardedRequest(ctx, this.options);
		setCancel(() => {
			forwarded.cancel();
		});
		return forwarded.run(this.#poolOf(peer), peer.id, body);
	}

	/** Closes the connection pools of all peers except the given ones; requests in flight finish first. */
	retainPools(peers: readonly PeerAddress[]): void {
		const retainedOrigins = new Set(peers.map(peer => originOf(peer)));
		for (const [origin, pool] of this.#pools) {
			if (!retainedOrigins.has(origin)) {
				this.#pools.delete(origin);
				void pool.close();
			}
		}
	}

	/** Closes all connections; requests in flight fail. */
	async destroy(): Promise<void> {
		const pools = [...this.#pools.values()];
		this.#pools.clear();
		await Promise.all(pools.map(async pool => pool.destroy()));
	}

	#poolOf(peer: PeerAddress): Pool {
		const origin = originOf(peer);
		let pool = this.#pools.get(origin);
		if (!pool) {
			pool = new Pool(origin, {
				connections: MAX_CONNECTIONS_PER_PEER,
				pipelining: 1,
				headersTimeout: 0,
				bodyTimeout: this.options.stallMs,
				connect: createGuardedConnector(CONNECT_TIMEOUT_MS, this.options.onException),
			});
			this.#pools.set(origin, pool);
		}

		return pool;
	}
}

/** Returns the HTTP origin of a host; an IPv6 address is put in brackets. */
export function originOf({address, port}: Omit<PeerAddress, 'id'>): string {
	return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}

/** One request in flight to one peer. */
class ForwardedRequest implements AttemptListener {
	#attempt: Attempt | undefined;
	#deadlineTimer: Timer | undefined;
	#peerRoom: number | undefined;
	#resolve: (result: ForwardResult) => void = () => {};

	constructor(private readonly ctx: RequestContext, private readonly options: ForwarderOptions) {}

	async run(pool: Pool, peerId: string, body: Buffer | LongBody | undefined): Promise<ForwardResult> {
		const {ctx} = this;
		const remainingMs = Math.max(1, ctx.deadlineAtMs - this.options.clock.monotonic());
		const attempt = new Attempt(peerId, {
			method: ctx.req.method ?? 'GET',
			path: `/s/${ctx.service.name}${ctx.path}`,
			headers: this.#createHeaders(remainingMs, body),
			body,
			attemptId: '',
			isPeer: true,
		}, this);
		this.#attempt = attempt;
		ctx.attempts.push(attempt);
		return new Promise(resolve => {
			this.#resolve = resolve;
			this.#deadlineTimer = this.options.clock.after(remainingMs, () => {
				attempt.abort(RejectionCode.UpstreamLate);
			});
			attempt.start(pool);
		});
	}

	cancel(): void {
		this.#attempt?.abort(RejectionCode.CallerLeft);
	}

	onHead(_attempt: Attempt, head: ResponseHead): void {
		const room = Number(head.parsedHeaders[HeaderName.Room]);
		this.#peerRoom = Number.isFinite(room) ? room : undefined;
		if (!this.ctx.res.destroyed) {
			this.ctx.res.writeHead(head.status, withoutHeader(head.headers, HeaderName.Room));
		}
	}

	onData(attempt: Attempt, chunk: Buffer): boolean {
		const {res} = this.ctx;
		if (res.destroyed || res.write(chunk)) {
			return true;
		}

		res.once('drain', () => {
			attempt.resume();
		});
		return false;
	}

	onEnd(): void {
		this.ctx.res.end();
		this.#finish({mayHaveReachedPeer: true, refusal: undefined, peerRoom: this.#peerRoom});
	}

	onFail(attempt: Attempt, {code, message, hadResponse}: AttemptFailure): void {
		if (hadResponse) {
			cutResponse(this.ctx.res);
		}

		const refusal = attempt.wasSent ? rejectUnknown(code, code === RejectionCode.UpstreamLate ? 504 : 502, message) : rejectNotRun(code, 503, message, 100);
		this.#finish({mayHaveReachedPeer: attempt.wasSent, refusal, peerRoom: this.#peerRoom});
	}

	#createHeaders(remainingMs: number, body: Buffer | LongBody | undefined): string[] {
		const {ctx, options} = this;
		const metadata: ForwardMetadata = {from: options.hostId, caller: ctx.callerAddress};
		const headers = copyRequestHeaders(ctx.req);
		headers.push(HeaderName.Member, ctx.member.name, HeaderName.DeadlineMs, String(Math.round(remainingMs)), HeaderName.Forward, options.auth.sign(metadata));
		const {key, requestId, ticket} = ctx.headers;
		for (const [name, value] of [[HeaderName.Key, key], [HeaderName.RequestId, requestId], [HeaderName.Ticket, ticket]] as const) {
			if (value !== undefined) {
				headers.push(name, value);
			}
		}

		const length = ctx.req.headers['content-length'];
		if (body !== undefined && !Buffer.isBuffer(body) && length !== undefined) {
			headers.push('content-length', length);
		}

		return headers;
	}

	#finish(result: ForwardResult): void {
		this.#deadlineTimer?.cancel();
		this.#resolve(result);
	}
}

/** Copies a flat list of alternating header names and values without the header `name`. */
function withoutHeader(headers: readonly string[], name: HeaderName): string[] {
	const kept: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		if (headers[index]?.toLowerCase() !== name) {
			kept.push(headers[index] ?? '', headers[index + 1] ?? '');
		}
	}

	return kept;
}
