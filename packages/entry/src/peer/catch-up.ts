import {initTRPC} from '@trpc/server';
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {Agent} from 'undici';
import * as z from 'zod';
import {workerRegistrationSchema} from '../entry-schemas.js';
import type {HostEntry, WorkersUpdate} from '../source.js';
import type {CatchUpResponse, CatchUpRequest, ReplicatedState} from '../state/replicated-state.js';
import type {CatchUpSource} from './state-follower.js';

/** Timeout of a catch-up request as a whole, and separately of connecting, of the response headers and of the response body, ms. */
const TIMEOUT_MS = 800;
/** Time that an idle connection to a peer stays open, ms. */
const KEEP_ALIVE_MS = 15_000;

const sinceSchema = z.object({operations: z.number(), workers: z.number()});

/** Creates the tRPC router that returns to peers all changes after the requested revisions. */
export function createCatchUpRouter(state: ReplicatedState) {
	const trpc = initTRPC.create();
	return trpc.router({
		since: trpc.procedure.input(sinceSchema).query(({input}) => state.buildCatchUpResponse(input.operations, input.workers)),
	});
}

type CatchUpRouter = ReturnType<typeof createCatchUpRouter>;

/** Requests changes from peers. `since` rejects if the peer is unreachable or does not respond within the timeout. */
export class CatchUpClient implements CatchUpSource {
	readonly #clients = new Map<string, TRPCClient<CatchUpRouter>>();
	readonly #agent = new Agent({
		// One for each data set, so that the operations do not wait for the workers.
		connections: 2, keepAliveTimeout: KEEP_ALIVE_MS, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS, connect: {timeout: TIMEOUT_MS},
	});

	async since({ip, peerPort}: HostEntry, request: CatchUpRequest, signal: AbortSignal): Promise<CatchUpResponse> {
		const client = this.#clientOf(`http://${ip}:${peerPort}`);
		const response = await client.since.query(request, {signal: AbortSignal.any([signal, AbortSignal.timeout(TIMEOUT_MS)])}) as CatchUpResponse;
		return {...response, workers: response.workers && dropUnusableWorkers(response.workers)};
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	#clientOf(url: string): TRPCClient<CatchUpRouter> {
		let client = this.#clients.get(url);
		if (!client) {
			client = createTRPCClient<CatchUpRouter>({
				links: [httpLink({url, fetch: async (input, options) => this.#fetch(String(input), options?.signal ?? undefined) as never})],
			});
			this.#clients.set(url, client);
		}

		return client;
	}

	/** Minimal `fetch` for tRPC that omits the headers browsers send. */
	async #fetch(url: string, signal: AbortSignal | undefined) {
		const {origin, pathname, search} = new URL(url);
		const res = await this.#agent.request({
			origin, path: pathname + search, method: 'GET', signal,
		});
		return {ok: res.statusCode < 300, status: res.statusCode, json: async () => res.body.json()};
	}
}

/** Leaves out workers that cannot be used, which a host of an earlier build may have read from the store. */
function dropUnusableWorkers(update: WorkersUpdate): WorkersUpdate {
	return {...update, changed: update.changed.filter(worker => workerRegistrationSchema.safeParse(worker).success)};
}
