import {Agent, type AgentOptions} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {createCall, sendCall} from './call-sender.js';
import type {SoakEnvironment} from './environment.js';
import type {HostProcess} from './host.js';
import {LONG_CALL_TIMEOUT_MS} from './promises.js';
import {CallKind} from './records.js';

/** Number of callers that send long calls at once. */
const CALLERS = 12;
/** Latest start of a call after the stop signal, ms: past the time in which look-ups may name the host. */
const LAST_START_MS = 5000;
/** Shortest and longest time that the worker needs for a call, ms. */
const MIN_WORK_MS = 50;
const MAX_WORK_MS = 3100;

let lastId = 0;

/** Callers with connections to one host that they keep open. */
export class LongCallers {
	readonly #agents = Array.from({length: CALLERS}, () => new Agent({keepAlive: true, maxSockets: 1, allowHalfOpen: true} as AgentOptions));

	constructor(private readonly environment: SoakEnvironment, private readonly host: HostProcess) {}

	/** Opens the connections, each with a short call. */
	async open(): Promise<void> {
		await Promise.all(this.#agents.map(async agent => this.#send(agent, 0)));
	}

	/** Sends calls that take up to seconds, at times spread over the grace period of the host. @param variation from 0 to 1; selects how long they take. */
	async send(variation: number): Promise<void> {
		await Promise.all(this.#agents.map(async (agent, index) => {
			await pause((index + variation) * LAST_START_MS / CALLERS);
			await this.#send(agent, Math.round(MIN_WORK_MS + ((MAX_WORK_MS - MIN_WORK_MS) * (((index * 0.37) + variation) % 1))));
			agent.destroy();
		}));
	}

	async #send(agent: Agent, workMs: number): Promise<void> {
		const {records, callerLinks} = this.environment;
		const id = `l${++lastId}`;
		const call = createCall({
			id, kind: CallKind.Long, host: this.host.options.id, url: `/${CallKind.Long}/${id}?work=${workMs}`, bytes: 3000,
		});
		records.calls.push(call);
		await sendCall(call, callerLinks.get(this.host.address)!.address, agent, {timeoutMs: LONG_CALL_TIMEOUT_MS, givesUpAfterMs: undefined});
	}
}
