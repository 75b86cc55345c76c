import {setMaxListeners} from 'node:events';
import {setTimeout as pause} from 'node:timers/promises';
import type {Random} from '@apricotwood/clock';
import {pauseUnlessAborted} from './abortable-pause.js';
import type {SoakEnvironment} from './environment.js';
import type {HostProcess} from './host.js';
import {LongCallers} from './long-calls.js';
import {FaultKind} from './plan.js';
import {BASELINE_MS} from './served-shares.js';
import {GRACE_MS} from './stops.js';

/** Time for which callers call a host before it is stopped, ms. */
const WARM_UP_MS = 1200;
/** Bounds of the time between two signals of stops in turn, ms: shorter than a stop takes at most, so that stops overlap. */
const MIN_GAP_MS = 1000;
const MAX_GAP_MS = 4000;
/** Signals that a host may get while it stops, and the largest number of them. */
const SECOND_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
const MAX_SECOND_SIGNALS = 2;

/** Stops of hosts under calls that take up to seconds. */
export class HostStops {
	readonly #stoppingHosts = new Set<HostProcess>();
	#isInTurn = false;

	constructor(private readonly environment: SoakEnvironment) {}

	/** Stops a host by SIGTERM while callers send it such calls, and starts it again, unless it is being stopped so already. Further signals may arrive meanwhile. */
	async stop(host: HostProcess, random: Random): Promise<void> {
		if (this.#stoppingHosts.has(host)) {
			return;
		}

		this.#stoppingHosts.add(host);
		const disturbance = this.environment.recordDisturbance(FaultKind.HostStop, host.options.id);
		const gone = new AbortController();
		setMaxListeners(0, gone.signal);
		const calls = new LongCallers(this.environment, host, random, Date.now() + WARM_UP_MS).run(gone.signal);
		await pause(WARM_UP_MS);
		const secondSignals = sendSecondSignals(host, random, gone.signal);
		await this.environment.restartHost(host);
		gone.abort();
		await Promise.all([secondSignals, calls]);
		disturbance.untilMs = Date.now();
		this.#stoppingHosts.delete(host);
	}

	/** Stops all hosts in turn, the next one before the former has to be gone, unless they are being stopped so already. */
	async stopInTurn(random: Random): Promise<void> {
		if (this.#isInTurn) {
			return;
		}

		this.#isInTurn = true;
		await this.#awaitBaseline();
		const {hosts, records} = this.environment;
		const end = this.environment.recordPeriod(records.stopsInTurn, ({fromMs, untilMs}) => ({fromMs: fromMs + WARM_UP_MS, untilMs}));
		const gapMs = MIN_GAP_MS + ((MAX_GAP_MS - MIN_GAP_MS) * random.next());
		const first = Math.floor(hosts.length * random.next());
		await Promise.all(hosts.map(async (_, index) => {
			await pause(index * gapMs);
			await this.stop(hosts[(first + index) % hosts.length]!, random);
		}));
		end();
		this.#isInTurn = false;
	}

	/** Waits until callers have called for the time with which the stops are compared. */
	async #awaitBaseline(): Promise<void> {
		const {calls, stopsInTurn} = this.environment.records;
		const sinceMs = stopsInTurn.at(-1)?.untilMs ?? calls[0]?.sentAtMs ?? Date.now();
		await pause(Math.max(0, sinceMs + BASELINE_MS - Date.now()));
	}
}

async function sendSecondSignals(host: HostProcess, random: Random, gone: AbortSignal): Promise<void> {
	const count = Math.floor((MAX_SECOND_SIGNALS + 1) * random.next());
	for (let sent = 0; sent < count; sent++) {
		await pauseUnlessAborted(GRACE_MS * random.next(), gone); // eslint-disable-line no-await-in-loop
		if (gone.aborted) {
			return;
		}

		host.sendSignal(SECOND_SIGNALS[Math.floor(SECOND_SIGNALS.length * random.next())]!);
	}
}
