import {setTimeout as pause} from 'node:timers/promises';
import type fc from 'fast-check';
import type {SteeringSource} from '@apricotwood/entry';
import {decodeConfig, decodeWorker} from '@apricotwood/platform';
import {HeaderName, createOperatorConfig} from '@apricotwood/platform/standin';
import {Caller} from '../caller/caller.js';
import type {Coverage} from '../coverage.js';
import {HostRig, createHostParts, waitFor} from '../host-rig.js';
import {LagMeter} from '../lag.js';
import {CallKind, type Arrival, type Observation} from '../observation.js';
import type {Part, RunContext} from '../part.js';
import {SERVICE, createWorkerEntry} from './entry.js';
import {scenarioArbitrary, type Scenario} from './script-arbitrary.js';
import {SOUND_ANSWER, type AnswerScript, type RenderedAnswer} from './script.js';
import {ScriptedWorker, type WorkerPlan} from './scripted-worker.js';

const READY_TIMEOUT_MS = 5000;
/** Time after the last answer in which workers may still get something, ms. */
const SETTLE_MS = 40;
const WORKER_IDS = ['w1', 'w2'] as const;

/** Workers by the byte: callers send requests through a host, workers answer as the script says. */
export class WorkerPart implements Part<Scenario> {
	readonly arbitrary: fc.Arbitrary<Scenario> = scenarioArbitrary;

	describe({calls, answers}: Scenario): unknown {
		return {calls, answers: answers.map(answer => Object.fromEntries(Object.entries(answer).filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(SOUND_ANSWER[name as keyof AnswerScript]))))};
	}

	async play({calls, answers}: Scenario, context: RunContext): Promise<Observation> {
		const {mutant, coverage} = context;
		const left = [...answers];
		const plan: WorkerPlan = {
			takeScript: () => left.shift() ?? SOUND_ANSWER,
			arrivals: [],
			strangeRequests: [],
			onAnswer(script, answer) {
				countAnswer(coverage, script, answer);
			},
		};
		const workers = await Promise.all(WORKER_IDS.map(async id => new ScriptedWorker(id, plan).start()));
		const source = new FixedSource(workers);
		const parts = createHostParts();
		const host = new HostRig(context.takeIp(), context.ports, () => mutant.wrapSource?.(source) ?? source, mutant.changeParts?.(parts) ?? parts).start();
		const isReady = await waitFor(() => host.host.isReady, READY_TIMEOUT_MS);
		const lag = new LagMeter();
		const caller = new Caller(host.callerAddress, mutant.caller);
		for (const [index, call] of calls.entries()) {
			await caller.send({id: `c${index}`, ...call}); // eslint-disable-line no-await-in-loop
		}

		await pause(SETTLE_MS);
		caller.close();
		const lagMs = lag.stop();
		await host.stop();
		await Promise.all(workers.map(async worker => worker.stop()));
		countCalls(coverage, caller, plan.arrivals);
		return {
			calls: caller.calls,
			arrivals: plan.arrivals,
			strangeRequests: plan.strangeRequests,
			surplus: caller.surplus,
			failures: isReady ? host.failures : [...host.failures, 'the host did not become ready'],
			hostsNotServing: [],
			lagMs,
		};
	}
}

/** A source that always names the same workers and routes. */
class FixedSource implements SteeringSource {
	constructor(private readonly workers: readonly ScriptedWorker[]) {}

	async readWorkers() {
		const changed = this.workers.map(({id, address}) => decodeWorker(id, createWorkerEntry(address, 1)));
		return {
			revision: 1, isWhole: true, changed, removed: [],
		};
	}

	async readOperations() {
		return {
			revision: 1, isWhole: true, config: decodeConfig(createOperatorConfig(1, [SERVICE])), evacuate: [], restore: [],
		};
	}

	async register() {
		return {epoch: 0, hasEarlierStart: false};
	}

	async readHosts() {
		return [];
	}
}

function countAnswer(coverage: Coverage, script: AnswerScript, {cutIn}: RenderedAnswer): void {
	const {framing, cut, after, extra, moment, informational, lines, trailers, pieces, bodyBytes, runs} = script;
	coverage.count('scripts', runs ? 'run' : 'rejection');
	coverage.count('status', script.status);
	coverage.count('framing', framing);
	coverage.count('body bytes', bodyBytes);
	coverage.count('cut', cutIn ? `${cutIn} ${cut!.ending}` : 'none');
	coverage.count('after', after ?? 'kept');
	coverage.count('extra', extra ? `${extra.kind} ${extra.place}` : 'none');
	coverage.count('moment', moment);
	coverage.count('writes', pieces.count);
	coverage.count('trailers', trailers.length);
	for (const {status} of informational.slice(0, 1)) {
		coverage.count('informational', informational.length > 3 ? `${status} many times` : status);
	}

	for (const line of lines) {
		coverage.count('header', line.slice(0, 30).split(':')[0]!.replaceAll(/[^\u0020-\u007E]/g, '?') + (line.length > 1000 ? ' (long)' : ''));
	}
}

/** Counts what each rule had to judge. */
function countCalls(coverage: Coverage, {calls}: Caller, arrivals: readonly Arrival[]): void {
	for (const {id, kind, answer: {response, end}} of calls) {
		const runs = arrivals.filter(arrival => arrival.id === id && arrival.hasRun);
		const isSigned = response?.headers.has(HeaderName.Signature) === true;
		coverage.count('answers to callers', response ? `${response.status}${isSigned ? ' of a worker' : ''}${response.isWhole ? '' : ', cut'}` : `none, ${end}`);
		coverage.count('rules', `MIXED ${isSigned && response.isWhole ? 'signed' : 'other'}`);
		coverage.count('rules', `LOST ${response?.isWhole ? 'answered' : 'not answered'}`);
		if (kind !== CallKind.Idempotent) {
			coverage.count('rules', `TWICE ${runs.length} runs`);
		}

		if (response?.isWhole && [408, 421, 429, 503].includes(response.status)) {
			coverage.count('rules', `REFUSED ${kind}`);
		}
	}
}
