import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {Agent, request, type Dispatcher} from 'undici';
import type {VersionRecord} from '../control/agreement.js';
import type {HostDigest} from '../control/digest.js';
import type {PeerAuth} from './auth.js';
import {originOf, type PeerAddress} from './forward.js';
import type {PeerRouter} from './router.js';

/** Path under which hosts answer each other. */
export const PEER_PATH = '/peer';
/** Header that carries the caller's signed name. */
export const PEER_HEADER = 'apricotwood-peer';

const PEER_CALL_TIMEOUT_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** The part of an answer that tRPC's client reads. */
type PeerResponse = {
	readonly ok: boolean;
	readonly status: number;
	readonly json: () => Promise<unknown>;
};

/** Calls to other hosts. Each throws when the peer gives no answer in time. */
export class PeerClient {
	readonly #clients = new Map<string, TRPCClient<PeerRouter>>();
	readonly #agent = new Agent({
		connections: 1, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, headersTimeout: PEER_CALL_TIMEOUT_MS, bodyTimeout: PEER_CALL_TIMEOUT_MS, connect: {timeout: PEER_CALL_TIMEOUT_MS},
	});

	constructor(private readonly auth: PeerAuth, private readonly hostId: string) {}

	async exchange(peer: PeerAddress, digests: readonly HostDigest[]): Promise<HostDigest[]> {
		return this.#clientOf(peer).exchange.mutate([...digests]);
	}

	async offer(peer: PeerAddress, record: VersionRecord): Promise<number> {
		return this.#clientOf(peer).offer.mutate(record);
	}

	async recordsSince(peer: PeerAddress, version: number): Promise<VersionRecord[]> {
		return this.#clientOf(peer).recordsSince.query(version);
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	/** As `fetch`, but without the headers that browsers send: they were half of each message. */
	async #fetch(url: string, {method, headers, body}: {method?: string; headers?: unknown; body?: unknown}): Promise<PeerResponse> {
		const res = await request(url, {
			method: (method ?? 'GET'), headers: headers as Record<string, string>, body: body as string | undefined, dispatcher: this.#agent,
		});
		return {ok: res.statusCode < 300, status: res.statusCode, json: async () => res.body.json()};
	}

	#clientOf(peer: PeerAddress): TRPCClient<PeerRouter> {
		const origin = originOf(peer);
		let client = this.#clients.get(origin);
		if (!client) {
			client = createTRPCClient<PeerRouter>({
				links: [httpLink({
					url: origin + PEER_PATH,
					headers: () => ({[PEER_HEADER]: this.auth.sign(this.hostId)}),
					fetch: async (url, options) => this.#fetch(String(url), options ?? {}) as never,
				})],
			});
			this.#clients.set(origin, client);
		}

		return client;
	}
}
