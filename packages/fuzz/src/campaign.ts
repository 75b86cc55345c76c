import process from 'node:process';
import fc from 'fast-check';
import {Coverage} from './coverage.js';
import {findFreePorts} from './host-rig.js';
import {NO_MUTANT, type Mutant} from './mutants.js';
import type {Observation} from './observation.js';
import {judge, type RuleName, type Violation} from './oracle.js';
import type {Part, RunContext} from './part.js';

/** Options of `runCampaign`. */
export type CampaignOptions = {
	readonly runs: number;
	/** Seed of the first run; each further one is greater by one. */
	readonly seed: number;
	/** Number of runs at the same time. */
	readonly lanes: number;
	/** @default none */
	readonly mutant?: Mutant;
	/** Ends the campaign at the first violation of this rule. @default no end before all runs */
	readonly stopAt?: RuleName;
	/** Ends it after this time, ms. @default none */
	readonly maxMs?: number;
	readonly onProgress?: (done: number) => void;
};

/** A run that broke rules. */
export type FailedRun = {readonly seed: number; readonly violations: readonly Violation[]};

/** What a campaign has shown. */
export type CampaignResult = {
	readonly runs: number;
	readonly durationMs: number;
	readonly coverage: Coverage;
	readonly failed: readonly FailedRun[];
	/** Exceptions that no host and no run caught; each would have ended a process. */
	readonly uncaught: readonly string[];
};

/** A failed run, played again alone and made smaller. */
export type ShrunkRun = {
	readonly seed: number;
	/** Number of times of `REPEATS` that it failed again, alone. */
	readonly repeated: number;
	readonly script: unknown;
	readonly violations: readonly Violation[];
};

/** Number of times that a failed run is played again. */
export const REPEATS = 3;
/** Longest time for which a failed run is made smaller, ms. */
const MAX_SHRINK_MS = 40_000;
const FIRST_OCTET = 127;

/** Runs scripts of a part, several at the same time, each with hosts and workers of its own. */
export async function runCampaign<Script>(part: Part<Script>, {runs, seed, lanes, mutant, stopAt, maxMs = Infinity, onProgress}: CampaignOptions): Promise<CampaignResult> {
	const coverage = new Coverage();
	const context = await createContext(coverage, mutant);
	const failed: FailedRun[] = [];
	const startMs = performance.now();
	let started = 0;
	let done = 0;
	let hasStopped = false;
	const guard = new ExceptionGuard();
	const runLane = async () => {
		while (started < runs && !hasStopped && performance.now() - startMs < maxMs) {
			const runSeed = seed + started++;
			const violations = judge(await part.play(drawScript(part, runSeed), context)); // eslint-disable-line no-await-in-loop
			done++;
			onProgress?.(done);
			if (violations.length > 0) {
				failed.push({seed: runSeed, violations});
				hasStopped ||= violations.some(({rule}) => rule === stopAt);
			}
		}
	};

	await Promise.all(Array.from({length: Math.min(lanes, runs)}, runLane));
	return {
		runs: done, durationMs: performance.now() - startMs, coverage, failed, uncaught: guard.stop(),
	};
}

/** Plays a failed run again, alone, and makes it smaller as long as it breaks one of the same rules. */
export async function shrinkRun<Script>(part: Part<Script>, {seed, violations}: FailedRun): Promise<ShrunkRun> {
	const context = await createContext(new Coverage());
	const rules = new Set(violations.map(({rule}) => rule));
	const play = async (script: Script): Promise<Violation[]> => {
		const guard = new ExceptionGuard();
		const seen: Observation = await part.play(script, context);
		return judge({...seen, failures: [...seen.failures, ...guard.stop()]}).filter(({rule}) => rules.has(rule));
	};

	let smallest: {readonly script: Script; readonly violations: readonly Violation[]} = {script: drawScript(part, seed), violations};
	let repeated = 0;
	for (let index = 0; index < REPEATS; index++) {
		const found = await play(smallest.script); // eslint-disable-line no-await-in-loop
		repeated += Number(found.length > 0);
	}

	if (repeated > 0) {
		await fc.check(fc.asyncProperty(part.arbitrary, async script => {
			const found = await play(script);
			if (found.length > 0) {
				smallest = {script, violations: found};
			}

			return found.length === 0;
		}), {
			seed, numRuns: 1, plugins: [fc.unbiased(), fc.interruptAfterTimeLimit(MAX_SHRINK_MS)],
		});
	}

	return {
		seed, repeated, script: part.describe(smallest.script), violations: smallest.violations,
	};
}

/** The script of a seed. */
function drawScript<Script>(part: Part<Script>, seed: number): Script {
	return fc.sample<Script>(part.arbitrary, {seed, numRuns: 1, plugins: [fc.unbiased()]})[0]!;
}

async function createContext(coverage: Coverage, mutant: Mutant = NO_MUTANT): Promise<RunContext> {
	let count = 0;
	return {
		coverage,
		mutant,
		ports: await findFreePorts(),
		takeIp() {
			count++;
			// Of 127.1.0.1 to 127.250.250.250, so that an address comes again late.
			return [FIRST_OCTET, 1 + (Math.floor(count / 62_500) % 250), 1 + (Math.floor(count / 250) % 250), 1 + (count % 250)].join('.');
		},
	};
}

/** Collects exceptions that would end a process. */
class ExceptionGuard {
	readonly #seen: string[] = [];
	readonly #onException = (error: unknown) => {
		this.#seen.push(`an exception would have ended the process: ${String((error as Error).stack ?? error).split('\n').slice(0, 3).join(' ')}`);
	};

	constructor() {
		process.on('uncaughtException', this.#onException);
	}

	/** Ends the collection. @returns what was seen. */
	stop(): string[] {
		process.off('uncaughtException', this.#onException);
		return this.#seen;
	}
}
