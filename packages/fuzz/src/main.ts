import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {
	REPEATS, runCampaign, shrinkRun, type CampaignResult,
} from './campaign.js';
import {MUTANTS} from './mutants.js';
import {
	USAGE, UsageError, parseOptions, type Options,
} from './options.js';
import type {PartName} from './part-name.js';
import {LANES, createPart} from './parts.js';

/** Number of failed runs that are played again and made smaller. */
const MAX_SHRUNK_RUNS = 5;
const MAX_PRINTED_LENGTH = 80;
const PROGRESS_STEP = 100;
const MS_PER_MINUTE = 60_000;
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

/** Shortens long texts in what is printed. */
function abbreviate(_key: string, value: unknown): unknown {
	return typeof value === 'string' && value.length > MAX_PRINTED_LENGTH ? `${value.slice(0, MAX_PRINTED_LENGTH)}... (${value.length} characters)` : value;
}

function readOptions(): Options {
	try {
		return parseOptions(process.argv.slice(2));
	} catch (error) {
		if (error instanceof UsageError) {
			console.error(`${error.message}\n\n${USAGE}`);
			process.exit(EXIT_USAGE); // eslint-disable-line unicorn/no-process-exit
		}

		throw error;
	}
}

function showProgress(name: PartName, runs: number): (done: number) => void {
	return done => {
		if (process.stderr.isTTY && done % PROGRESS_STEP === 0) {
			process.stderr.write(`\r${name}: ${done} of ${runs}`);
		}
	};
}

/** Prints what failed: the rule, the seed, the smaller script and how to play it again. */
async function printFailures(name: PartName, {failed, uncaught}: CampaignResult): Promise<void> {
	for (const message of uncaught) {
		console.log(`${name}: ${message}`);
	}

	for (const run of failed.slice(0, MAX_SHRUNK_RUNS)) {
		const {repeated, script, violations} = await shrinkRun(createPart(name), run); // eslint-disable-line no-await-in-loop
		console.log(`seed ${run.seed}, ${repeated} of ${REPEATS} times again alone:`);
		for (const {rule, message} of violations) {
			console.log(`  ${rule}: ${message}`);
		}

		console.log(`  script: ${JSON.stringify(script, abbreviate)}`);
		console.log(`  npm run fuzz -- --runs 1 --seed ${run.seed} --only ${name}`);
	}

	for (const {seed, violations} of failed.slice(MAX_SHRUNK_RUNS)) {
		console.log(`seed ${seed}, not made smaller: ${violations.map(({rule, message}) => `${rule}: ${message}`).join('; ')}`);
	}
}

async function runPart(name: PartName, {runs, seed, mutant}: Options) {
	const known = mutant === undefined ? undefined : MUTANTS[mutant]!;
	const result = await runCampaign(createPart(name), {
		runs, seed, lanes: LANES[name], onProgress: showProgress(name, runs), ...(known && {mutant: known.mutant, stopAt: known.rule}),
	});
	const perMinute = Math.round(result.runs / result.durationMs * MS_PER_MINUTE);
	console.log(`${name}: ${result.runs} scripts from seed ${seed} on, ${perMinute} a minute, ${result.failed.length} broke a rule`);
	console.log(String(result.coverage));
	if (known) {
		const isFound = result.failed.some(({violations}) => violations.some(({rule}) => rule === known.rule));
		console.log(`mutant ${mutant}: ${isFound ? `found by ${known.rule}` : `not found by ${known.rule}`} in ${result.runs} runs`);
	} else {
		await printFailures(name, result);
	}

	return {
		part: name, runs: result.runs, seed, perMinute, failed: result.failed, uncaught: result.uncaught, coverage: result.coverage,
	};
}

const options = readOptions();
if (options.wantsHelp) {
	console.log(USAGE);
} else {
	const summaries = [];
	for (const name of options.parts) {
		summaries.push(await runPart(name, options)); // eslint-disable-line no-await-in-loop
	}

	if (options.json !== undefined) {
		writeFileSync(options.json, JSON.stringify(summaries, undefined, '\t'));
	}

	process.exit(summaries.some(({failed, uncaught}) => failed.length + uncaught.length > 0) ? EXIT_FAILED : 0); // eslint-disable-line unicorn/no-process-exit
}
