import {setTimeout as pause} from 'node:timers/promises';
import fc from 'fast-check';
import {StoreClient, StoreSteeringSource} from '@apricotwood/platform';
import {
	FakeStore, createIdempotentRoute, createOperatorConfig,
} from '@apricotwood/platform/standin';
import {Caller, type CallRequest} from '../caller/caller.js';
import type {Coverage} from '../coverage.js';
import {HostRig, createHostParts, waitFor} from '../host-rig.js';
import {LagMeter} from '../lag.js';
import {CallKind, type Call, type Observation} from '../observation.js';
import type {Part, RunContext} from '../part.js';
import {SERVICE, createWorkerEntry} from '../worker/entry.js';
import {SOUND_ANSWER} from '../worker/script.js';
import {ScriptedWorker, type WorkerPlan} from '../worker/scripted-worker.js';
import {mutateRow, mutationArbitrary, type Mutation} from './row-text.js';

/** Tables whose rows are written. */
export enum RowTable {
	Workers = 'workers',
	Hosts = 'hosts',
	Config = 'config',
}

/** A row that another writer leaves. */
export type RowScript = {
	readonly table: RowTable;
	/** Whether it stands in the place of the sound row of that table, instead of beside it. */
	readonly replaces: boolean;
	readonly mutations: readonly Mutation[];
};

/** Rows that are there before the first host starts, and rows that come while it runs; all are sound again in the end. */
export type RowsScript = {
	readonly before: readonly RowScript[];
	readonly later: readonly RowScript[];
};

const row = fc.record({
	table: fc.oneof({weight: 3, arbitrary: fc.constantFrom(RowTable.Workers, RowTable.Hosts)}, {weight: 1, arbitrary: fc.constant(RowTable.Config)}),
	replaces: fc.boolean(),
	mutations: fc.array(mutationArbitrary, {minLength: 1, maxLength: 3}),
});

const WORKER_ID = 'w1';
/** Time for hosts to read rows, ms: more than the time between two reads. */
const READ_MS = 600;
const READY_TIMEOUT_MS = 3000;
/** Time from sound rows to a served call, ms. */
const SERVES_TIMEOUT_MS = 5000;
const FIRST_SOUND_VERSION = 1;
/** Above all versions that a mutation of a configuration gives. */
const LAST_SOUND_VERSION = 2_000_000;
/** Route that only the configuration of the end has. */
const LAST_ROUTE = 'last';

/** Rows by the field: hosts read rows that other writers left, and serve once these are sound again. */
export class RowsPart implements Part<RowsScript> {
	readonly arbitrary: fc.Arbitrary<RowsScript> = fc.record({
		before: fc.array(row, {maxLength: 3}),
		later: fc.array(row, {minLength: 1, maxLength: 4}),
	});

	describe(script: RowsScript): unknown {
		return script;
	}

	async play({before, later}: RowsScript, context: RunContext): Promise<Observation> {
		const {mutant, coverage} = context;
		const store = await new FakeStore().start();
		const plan: WorkerPlan = {
			takeScript: () => SOUND_ANSWER, arrivals: [], strangeRequests: [], onAnswer() {},
		};
		const worker = await new ScriptedWorker(WORKER_ID, plan).start();
		const ips = [context.takeIp(), context.takeIp()];
		const writer = new RowWriter(store, worker, ips[0]!, coverage);
		const clients: StoreClient[] = [];
		const startHost = (ip: string) => new HostRig(ip, context.ports, log => {
			const client = new StoreClient(store.address);
			clients.push(client);
			const source = new StoreSteeringSource(client, log);
			return mutant.wrapSource?.(source) ?? source;
		}, mutant.changeParts?.(createHostParts()) ?? createHostParts()).start();

		writer.writeSound(FIRST_SOUND_VERSION);
		for (const script of before) {
			writer.write(script);
		}

		const hosts = [startHost(ips[0]!)];
		await waitFor(() => hosts[0]!.host.isReady, READ_MS);
		for (const script of later) {
			writer.write(script);
		}

		const lag = new LagMeter();
		const caller = new Caller(hosts[0]!.callerAddress, mutant.caller);
		const calls: Call[] = [];
		// A configuration that went around the store may allow less.
		const isAllowed = [...before, ...later].every(({table}) => table !== RowTable.Config);
		calls.push(await callOnce(caller, {id: 'c0', kind: CallKind.Idempotent, isAllowed}));
		await pause(READ_MS);
		hosts.push(startHost(ips[1]!));
		calls.push(await callOnce(caller, {id: 'c1', kind: CallKind.NonIdempotent, isAllowed}));
		await waitFor(() => hosts[1]!.host.isReady, READ_MS);
		calls.push(await callOnce(caller, {id: 'c2', kind: CallKind.Idempotent, isAllowed}));
		writer.writeSound(LAST_SOUND_VERSION);
		const probes: Call[] = [];
		const hostsNotServing = await findNotServing(hosts, probes);
		caller.close();
		const lagMs = lag.stop();
		await Promise.all(hosts.map(async host => host.stop()));
		await Promise.all(clients.map(async client => client.close()));
		await worker.stop();
		await store.stop();
		countRuns(coverage, calls, hostsNotServing);
		return {
			calls: [...calls, ...probes],
			arrivals: plan.arrivals,
			strangeRequests: plan.strangeRequests,
			surplus: caller.surplus,
			failures: hosts.flatMap(({failures}) => failures),
			hostsNotServing,
			lagMs,
		};
	}
}

async function callOnce(caller: Caller, call: Pick<CallRequest, 'id' | 'kind' | 'path' | 'isAllowed'>): Promise<Call> {
	return caller.send({
		...call, bodyBytes: 0, isChunked: false, pauseMs: 0, keepsConnection: false,
	});
}

/** Finds hosts that do not serve what only the rows of the end name. @param probes gets the calls that were sent for it. */
async function findNotServing(hosts: readonly HostRig[], probes: Call[]): Promise<string[]> {
	const found: string[] = [];
	for (const [index, {callerAddress}] of hosts.entries()) {
		const prober = new Caller(callerAddress);
		let count = 0;
		let last = 'no answer';
		// eslint-disable-next-line no-await-in-loop
		const serves = await waitFor(async () => {
			const {answer: {response}} = await callOnce(prober, {
				id: `p${index}-${count++}`, kind: CallKind.Idempotent, path: `/${LAST_ROUTE}/x`, isAllowed: false,
			});
			last = `${response?.status} ${response?.body.toString('latin1', 0, 100)}`;
			return response?.status === 200;
		}, SERVES_TIMEOUT_MS);
		prober.close();
		probes.push(...prober.calls);
		if (!serves) {
			found.push(`host ${index + 1} answers ${last} ${SERVES_TIMEOUT_MS} ms after the rows were sound`);
		}
	}

	return found;
}

/** Writes rows into the store, sound ones and others. */
class RowWriter {
	#count = 0;
	#sequence = 0;

	constructor(private readonly store: FakeStore, private readonly worker: ScriptedWorker, private readonly hostIp: string, private readonly coverage: Coverage) {}

	writeSound(version: number): void {
		this.store.putWorker(WORKER_ID, this.#createWorkerEntry());
		this.store.putConfig(createConfig(version));
		this.store.putHost(`host-${this.hostIp}`, createHostEntry(`host-${this.hostIp}`, this.hostIp));
	}

	#createWorkerEntry(): Record<string, unknown> {
		return createWorkerEntry(this.worker.address, ++this.#sequence);
	}

	write({table, replaces, mutations}: RowScript): void {
		this.#count++;
		for (const {kind} of mutations) {
			this.coverage.count('mutations', `${table} ${kind}`);
		}

		this.coverage.count('rows', `${table} ${replaces ? 'in the place of the sound one' : 'beside the sound one'}`);
		switch (table) {
			case RowTable.Workers: {
				this.store.putWorker(replaces ? WORKER_ID : `odd-${this.#count}`, mutateRow(this.#createWorkerEntry(), mutations));
				break;
			}

			case RowTable.Hosts: {
				const id = replaces ? `host-${this.hostIp}` : `odd-${this.#count}`;
				this.store.putHost(id, mutateRow(createHostEntry(id, '127.0.0.99'), mutations));
				break;
			}

			case RowTable.Config: {
				// The store accepts only valid configurations; this is one of a writer that went around it.
				this.store.putConfig(mutateRow(createConfig(FIRST_SOUND_VERSION + this.#count), mutations));
				break;
			}
		}
	}
}

function createConfig(version: number): unknown {
	return createOperatorConfig(version, [SERVICE], version === LAST_SOUND_VERSION ? [createIdempotentRoute(LAST_ROUTE, SERVICE)] : []);
}

function createHostEntry(id: string, ip: string): Record<string, unknown> {
	return {
		id, ip, peerPort: 7620, callerAddress: `${ip}:8641`, zone: 'a1', region: 'a', startedMs: 1,
	};
}

function countRuns(coverage: Coverage, calls: readonly Call[], hostsNotServing: readonly string[]): void {
	for (const {answer: {response, end}} of calls) {
		coverage.count('answers beside odd rows', response?.status ?? `none, ${end}`);
	}

	coverage.count('rules', `SERVES ${hostsNotServing.length === 0 ? 'held' : 'broken'}`);
}
