import {Agent, type AgentOptions} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import type {Random} from '@apricotwood/clock';
import {fetchHostAddresses} from '@apricotwood/platform/standin';
import {createCall, sendCall} from './call-sender.js';
import {CallKind, type Call} from './records.js';
import {REGIONS, type SoakEnvironment} from './environment.js';

/** Number of concurrent callers. */
const CALLER_COUNT = 24;
/** Mean pause of a caller between two calls, and its pause after a failed lookup of a host, ms. */
const MEAN_PAUSE_MS = 60;
/** Timeout that callers announce, ms. */
const CALL_TIMEOUT_MS = 1400;
/** Number of different objects in the URLs, which are also the affinity keys. */
const OBJECT_COUNT = 60;
/** Lengths of request bodies to choose from. */
const BODY_BYTES = [0, 40, 3000, 400_000] as const;
/** Numbers of extra characters in the response body to choose from; a repeated value is chosen more often. */
const FILLER_CHARS = [0, 0, 500, 300_000] as const;
/** Ratio of the calls that callers cancel early. */
const GIVE_UP_RATIO = 0.04;
/** Ratio of the reads that go to a route added during the run. */
const NEW_ROUTE_RATIO = 0.08;
/** Ratio of the reads that are a request which crashes workers, while there is one. */
const CRASHING_RATIO = 0.03;

/** Concurrent callers that send calls and record the results. Each uses one connection until it ends, then looks up a host address in the directory of a random host. */
export class Callers {
	readonly #stop = new AbortController();
	readonly #callers: Array<Promise<void>> = [];
	#lastId = 0;

	constructor(private readonly environment: SoakEnvironment, private readonly random: Random) {}

	start(): void {
		for (let index = 0; index < CALLER_COUNT; index++) {
			this.#callers.push(this.#runCaller());
		}
	}

	async stop(): Promise<void> {
		this.#stop.abort();
		await Promise.all(this.#callers);
	}

	async #runCaller(): Promise<void> {
		while (!this.#stop.signal.aborted) {
			const address = await this.#findHostAddress(); // eslint-disable-line no-await-in-loop
			if (address === undefined) {
				await pause(MEAN_PAUSE_MS); // eslint-disable-line no-await-in-loop
				continue;
			}

			await this.#runConnection(address); // eslint-disable-line no-await-in-loop
		}
	}

	/** @returns `IP:port` of a host; `undefined` if the lookup failed. */
	async #findHostAddress(): Promise<string | undefined> {
		const {hosts} = this.environment;
		const {ip, zone} = hosts[Math.floor(this.random.next() * hosts.length)]!.options;
		try {
			const addresses = await fetchHostAddresses(ip, zone, REGIONS[zone]!);
			return addresses[Math.floor(this.random.next() * addresses.length)];
		} catch {
			return undefined;
		}
	}

	/** Sends calls over one connection until it ends or the host requests its end. */
	async #runConnection(address: string): Promise<void> {
		const link = this.environment.callerLinks.get(address);
		const host = this.environment.hosts.find(candidate => candidate.address === address);
		if (!link || !host) {
			return;
		}

		const agent = new Agent({keepAlive: true, maxSockets: 1, allowHalfOpen: true} as AgentOptions);
		while (!this.#stop.signal.aborted) {
			const call = this.#createCall(host.options.id);
			this.environment.records.calls.push(call);
			const givesUp = this.random.next() < GIVE_UP_RATIO;
			const isReusable = await sendCall(call, link.address, agent, givesUp ? 10 + (50 * this.random.next()) : undefined); // eslint-disable-line no-await-in-loop
			await pause(MEAN_PAUSE_MS * 2 * this.random.next()); // eslint-disable-line no-await-in-loop
			if (!isReusable) {
				break;
			}
		}

		agent.destroy();
	}

	#createCall(host: string): Call {
		const {random, environment} = this;
		const pick = <T>(list: readonly T[]): T => list[Math.floor(random.next() * list.length)]!;
		const kind = pick([CallKind.Read, CallKind.Read, CallKind.Book, CallKind.Load]);
		const crashing = environment.records.crashingRequests.find(({untilMs}) => untilMs === Number.POSITIVE_INFINITY);
		const addedRoutes = environment.records.notices.filter(({what}) => what === 'route-added');
		const prefix = kind === CallKind.Read && addedRoutes.length > 0 && random.next() < NEW_ROUTE_RATIO ? pick(addedRoutes).subject : `/${kind}/`;
		const bytes = kind === CallKind.Read ? 0 : pick(BODY_BYTES);
		return createCall({
			id: `c${++this.#lastId}`,
			kind,
			host,
			url: kind === CallKind.Read && crashing && random.next() < CRASHING_RATIO ? crashing.url : `${prefix}o${Math.floor(random.next() * OBJECT_COUNT)}?filler=${pick(FILLER_CHARS)}`,
			bytes,
			timeoutMs: CALL_TIMEOUT_MS,
		});
	}
}
