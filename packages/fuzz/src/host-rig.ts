import {createServer, type AddressInfo} from 'node:net';
import {SystemClock, SystemRandom, type Clock} from '@apricotwood/clock';
import {
	EntryHost, type Connector, type Dialect, type SteeringSource,
} from '@apricotwood/entry';
import {PlatformHeaderCodec} from '@apricotwood/platform';
import {
	Metrics, NOOP_LOG, type Log, type LogFields,
} from '@apricotwood/telemetry';

/** Time from the stop of a host to its end, ms. */
const GRACE_MS = 200;
/** Events of the log that tell of an exception. */
const FAILURE_EVENTS = new Set(['part-failed', 'request-failed', 'failed']);
const REGIONS: ReadonlyMap<string, string> = new Map([['a1', 'a'], ['a2', 'a']]);
const MAX_FAILURE_LENGTH = 300;
const POLL_INTERVAL_MS = 10;

/** What a host of a run is given; a mutant replaces some of it. */
export type HostParts = {
	readonly clock: Clock;
	readonly dialect: Dialect;
	/** @default TCP */
	readonly connector?: Connector;
};

/** Parts of a sound host. */
export function createHostParts(): HostParts {
	return {clock: new SystemClock(), dialect: new PlatformHeaderCodec()};
}

/** Entry host that runs in this process, on a loopback address of its own. */
export class HostRig {
	readonly host: EntryHost;
	readonly callerAddress: string;
	/** Exceptions and ends that were seen. */
	readonly failures: string[] = [];
	readonly #stop = new AbortController();
	#run: Promise<void> = Promise.resolve();

	/** @param ports free ports for other hosts and for callers. */
	constructor(ip: string, [peerPort, callerPort]: readonly [number, number], source: (log: Log) => SteeringSource, parts: HostParts) {
		this.callerAddress = `${ip}:${callerPort}`;
		const write = (fields: LogFields) => {
			if (FAILURE_EVENTS.has(fields.event)) {
				this.failures.push(JSON.stringify([fields.event, fields.part, fields.message]).slice(0, MAX_FAILURE_LENGTH));
			}
		};

		const log: Log = {...NOOP_LOG, warn: write, error: write};
		this.host = new EntryHost({
			...parts,
			settings: {
				self: {
					id: `host-${ip}`, ip, peerPort, callerAddress: this.callerAddress, zone: 'a1', region: 'a', startedMs: Date.now(),
				},
				callerPort,
				regions: REGIONS,
				retryBudget: {ratio: 0.2, extra: 60, windowMs: 10_000},
				seeds: [],
				graceMs: GRACE_MS,
				lookupLifetimeMs: 0,
				changeDeadlineMs: 2000,
			},
			random: new SystemRandom(),
			log,
			metrics: new Metrics(),
			source: source(log),
		});
	}

	start(): this {
		this.#run = this.host.run(this.#stop.signal).catch((error: unknown) => {
			this.failures.push(`the host ended: ${String(error)}`);
		});
		return this;
	}

	async stop(): Promise<void> {
		this.#stop.abort();
		await this.#run;
	}
}

/** Polls until a condition holds. The time is counted in polls, so that it lasts longer where this process is starved. @returns whether it did within the time. */
export async function waitFor(condition: () => boolean | Promise<boolean>, timeoutMs: number): Promise<boolean> {
	for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += POLL_INTERVAL_MS) {
		// eslint-disable-next-line no-await-in-loop
		if (await condition()) {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, POLL_INTERVAL_MS);
		});
	}

	return false;
}

/** Finds ports that are free on all loopback addresses. */
export async function findFreePorts(): Promise<[number, number]> {
	const servers = await Promise.all([0, 1].map(async () => {
		const server = createServer();
		await new Promise<void>(resolve => {
			server.listen(0, '0.0.0.0', resolve);
		});
		return server;
	}));
	const [first, second] = servers.map(server => (server.address() as AddressInfo).port);
	for (const server of servers) {
		server.close();
	}

	return [first!, second!];
}
