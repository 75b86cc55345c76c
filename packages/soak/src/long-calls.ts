import {Agent, type AgentOptions} from 'node:http';
import {connect, type Socket} from 'node:net';
import type {Random} from '@apricotwood/clock';
import {pauseUnlessAborted} from './abortable-pause.js';
import {createCall, sendCall} from './call-sender.js';
import type {SoakEnvironment} from './environment.js';
import type {HostProcess} from './host.js';
import {CallKind} from './records.js';
import {GRACE_MS} from './stops.js';
import {WorkTimes} from './work-times.js';

/** Number of callers that send one call after the other, half of them over kept connections and half over a fresh one for each call. */
const REPEATING_CALLERS = 6;
/** Number of callers that send one late call, half of them over a connection that was used before the signal and half over one that was not used. */
const LATE_CALLERS = 12;
/** Mean pause of a caller between two calls, ms. */
const MEAN_PAUSE_MS = 200;
/** Longest time for which an unused connection is open before its request, ms: below the header timeout of the hosts. */
const MAX_UNUSED_MS = 2500;
/** Lengths of request bodies to choose from; a repeated value is chosen more often. The longest one exceeds what a host buffers. */
const BODY_BYTES = [40, 3000, 3000, 3000, 400_000, 1_500_000] as const;
/** Timeouts that callers announce, to choose from, ms. */
const TIMEOUTS_MS = [1400, 5000, 5000, 8000] as const;

const AGENT_OPTIONS: AgentOptions & {readonly allowHalfOpen: boolean} = {keepAlive: true, maxSockets: 1, allowHalfOpen: true};

let lastId = 0;

/** Agent with one connection, which was opened before. */
class OpenedAgent extends Agent {
	constructor(private readonly socket: Socket) {
		super(AGENT_OPTIONS);
	}

	override createConnection(): Socket {
		return this.socket;
	}
}

/** Callers of one host that is about to be stopped, whose calls take from tens of ms to seconds, and who stay until its process is gone. */
export class LongCallers {
	readonly #workTimes: WorkTimes;

	/** @param stopAtMs time of the stop signal, Unix ms. */
	constructor(private readonly environment: SoakEnvironment, private readonly host: HostProcess, private readonly random: Random, private readonly stopAtMs: number) {
		this.#workTimes = new WorkTimes(random, stopAtMs);
	}

	/** Sends calls until the signal is aborted and the last of them has ended. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([
			...Array.from({length: REPEATING_CALLERS}, async (_, index) => this.#repeat(index % 2 === 0, signal)),
			...Array.from({length: LATE_CALLERS}, async (_, index) => index % 2 === 0 ? this.#sendLate(signal) : this.#sendUnused(signal)),
		]);
	}

	async #repeat(isKept: boolean, signal: AbortSignal): Promise<void> {
		let agent = new Agent(AGENT_OPTIONS);
		while (!signal.aborted) {
			const isReusable = await this.#send(agent, this.#workTimes.draw(Date.now())); // eslint-disable-line no-await-in-loop
			if (!isKept || !isReusable) {
				agent.destroy();
				agent = new Agent(AGENT_OPTIONS);
			}

			await pauseUnlessAborted(2 * MEAN_PAUSE_MS * this.random.next(), signal); // eslint-disable-line no-await-in-loop
		}

		agent.destroy();
	}

	/** Sends one call over a connection that has been idle since before the signal. */
	async #sendLate(signal: AbortSignal): Promise<void> {
		const agent = new Agent(AGENT_OPTIONS);
		const atMs = this.#drawLateMs();
		await this.#send(agent, 0);
		await pauseUnlessAborted(atMs - Date.now(), signal);
		if (!signal.aborted) {
			await this.#send(agent, this.#workTimes.draw(Date.now()));
		}

		agent.destroy();
	}

	/** Sends one call over a connection that was opened before, on which no request was sent yet. */
	async #sendUnused(signal: AbortSignal): Promise<void> {
		const atMs = this.#drawLateMs();
		await pauseUnlessAborted(atMs - (MAX_UNUSED_MS * this.random.next()) - Date.now(), signal);
		const [ip, port] = this.#address.split(':');
		const socket = connect({host: ip!, port: Number(port), allowHalfOpen: true});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.resume();
		await pauseUnlessAborted(atMs - Date.now(), signal);
		// What has ended cannot carry a request.
		if (!signal.aborted && !socket.connecting && !socket.destroyed && !socket.readableEnded) {
			await this.#send(new OpenedAgent(socket), this.#workTimes.draw(Date.now()));
		}

		socket.destroy();
	}

	/** Time of a late call, Unix ms: at any time until the end of the process. */
	#drawLateMs(): number {
		return this.stopAtMs + (GRACE_MS * this.random.next());
	}

	get #address(): string {
		return this.environment.callerLinks.get(this.host.address)!.address;
	}

	async #send(agent: Agent, workMs: number): Promise<boolean> {
		const id = `l${++lastId}`;
		const kind = this.#pick([CallKind.Long, CallKind.Timed]);
		const call = createCall({
			id, kind, host: this.host.options.id, url: `/${kind}/${id}?work=${workMs}`, bytes: this.#pick(BODY_BYTES), timeoutMs: this.#pick(TIMEOUTS_MS),
		});
		this.environment.records.calls.push(call);
		return sendCall(call, this.#address, agent);
	}

	#pick<T>(list: readonly T[]): T {
		return list[Math.floor(this.random.next() * list.length)]!;
	}
}
