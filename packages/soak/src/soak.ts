import {setTimeout as pause} from 'node:timers/promises';
import type {Random} from '@apricotwood/clock';
import {Callers} from './callers.js';
import {generatePlan, type Fault, type FaultKind} from './plan.js';
import {UNTIMED_PROMISES, TIMED_PROMISES, checkPromises} from './promises.js';
import type {SoakRecords} from './records.js';
import type {Violation} from './violation.js';
import {injectFault} from './fault-injection.js';
import {SoakEnvironment, type EnvironmentOptions} from './environment.js';

/** Settings of a run. */
export type SoakOptions = EnvironmentOptions & {
	/** Time in which faults start, ms. */
	readonly durationMs: number;
	/** Kinds of faults to inject. @default all kinds */
	readonly kinds?: readonly FaultKind[];
	/** Whether promises with a time limit are checked as well. */
	readonly checksTimedPromises: boolean;
};

/** Injected faults, observations and violations of a run. */
export type SoakResult = {
	readonly plan: readonly Fault[];
	readonly records: SoakRecords;
	readonly breaches: readonly Violation[];
};

/** Time after the last fault within which everything must recover, ms. */
const RECOVERY_MS = 4000;
/** Time after recovery in which calls are observed without faults, ms. */
const CALM_MS = 2500;

/** Interval at which the lag of the event loop is sampled, and the shortest lag that is recorded, ms. */
const LAG_SAMPLE_MS = 20;
const MIN_LAG_MS = 50;

/** Records lags of this process's event loop. @returns a function that ends it. */
function sampleLag({lags}: SoakRecords): () => void {
	let dueAtMs = Date.now() + LAG_SAMPLE_MS;
	const timer = setInterval(() => {
		const atMs = Date.now();
		if (atMs - dueAtMs >= MIN_LAG_MS) {
			lags.push({atMs, lagMs: atMs - dueAtMs});
		}

		dueAtMs = atMs + LAG_SAMPLE_MS;
	}, LAG_SAMPLE_MS);
	return () => {
		clearInterval(timer);
	};
}

/**
 * Runs host processes, injects the generated faults and checks the promises against what callers and workers observed.
 * @throws if the hosts do not become ready at the start.
 */
export async function runSoak(random: Random, options: SoakOptions): Promise<SoakResult> {
	const plan = generatePlan(random, options.durationMs, options.kinds);
	const environment = new SoakEnvironment(options);
	const {records} = environment;
	const violations: Violation[] = [];
	let stopLagSampling = () => {};
	try {
		await environment.start();
		const callers = new Callers(environment, random);
		stopLagSampling = sampleLag(records);
		callers.start();
		const startMs = Date.now();
		await Promise.all(plan.map(async fault => {
			await pause(Math.max(0, startMs + fault.atMs - Date.now()));
			await injectFault(environment, fault);
		}));
		const unreadyHosts = await environment.clearFaults();
		await pause(RECOVERY_MS);
		records.calmFromMs = Date.now();
		await pause(CALM_MS);
		await callers.stop();
		violations.push(...unreadyHosts.map(subject => ({promise: 'recover', subject, message: 'did not become ready after the faults were cleared'})));
	} finally {
		stopLagSampling();
		await environment.stop();
	}

	violations.push(...checkPromises(records, options.checksTimedPromises ? {...UNTIMED_PROMISES, ...TIMED_PROMISES} : UNTIMED_PROMISES));
	return {plan, records, breaches: violations};
}
