import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {SeededRandom} from '@apricotwood/clock';
import {buildProgram, extractCommit} from './build.js';
import {BREAKAGES} from './breakages.js';
import {countUncompared} from './isolation.js';
import {FaultKind} from './plan.js';
import {countServedAroundStops, type ServedShare} from './served-shares.js';
import {runSoak} from './soak.js';

const USAGE = `npm run soak -- [--seed N] [--seeds COUNT] [--minutes M] [--hosts N] [--kinds A,B] [--untimed] [--regressions] [--break NAME] [--old COMMIT] [--logs DIR]

  --seed N       first seed; random if omitted, printed with the result
  --seeds COUNT  number of consecutive seeds (1)
  --minutes M    time in which faults start, for each seed (0.3)
  --hosts N      number of host processes (5)
  --kinds A,B    inject only these faults: ${Object.values(FaultKind).join(', ')}
  --untimed      check only promises without a time limit, which do not depend on the load of the machine
  --regressions  run the seeds of regressions.json with the options that failed
  --break NAME   build the hosts with a deliberate defect: ${Object.keys(BREAKAGES).join(', ')}
  --old COMMIT   run an earlier build beside this one (f5fb4f3 or later): every other host begins with it, and a host that is stopped starts again with the other build
  --logs DIR     directory for the bundle and the logs (.soak)
`;

/** One seed with its options; also an entry of regressions.json. */
type SoakJob = {
	readonly seed: number;
	readonly minutes: number;
	readonly hosts: number;
	readonly kinds?: readonly FaultKind[] | undefined;
	/** Why the seed failed; set for regressions. */
	readonly cause?: string;
};

const root = fileURLToPath(new URL('../../../', import.meta.url));
const MS_PER_MINUTE = 60_000;
const MAX_SEED = 1_000_000;

const {values} = parseArgs({
	options: {
		seed: {type: 'string'},
		seeds: {type: 'string', default: '1'},
		minutes: {type: 'string', default: '0.3'},
		hosts: {type: 'string', default: '5'},
		kinds: {type: 'string'},
		untimed: {type: 'boolean', default: false},
		regressions: {type: 'boolean', default: false},
		break: {type: 'string'},
		old: {type: 'string'},
		logs: {type: 'string', default: path.join(root, '.soak')},
		help: {type: 'boolean', default: false},
	},
});

for (const name of ['SIGINT', 'SIGTERM'] as const) {
	// The `exit` event kills the host processes.
	process.on(name, () => {
		process.exit(1); // eslint-disable-line unicorn/no-process-exit
	});
}

function exitWithUsageError(message: string): never {
	console.error(message);
	process.exit(2); // eslint-disable-line unicorn/no-process-exit
}

function parsePositive(name: 'seeds' | 'minutes' | 'hosts' | 'seed', text: string): number {
	const value = Number(text);
	return value > 0 ? value : exitWithUsageError(`--${name}: ${text} is not a number above 0`);
}

function createJobs(): SoakJob[] {
	if (values.regressions) {
		return JSON.parse(readFileSync(new URL('../regressions.json', import.meta.url), 'utf8')) as SoakJob[];
	}

	const kinds = values.kinds?.split(',').map(kind => Object.values(FaultKind).includes(kind as FaultKind) ? kind as FaultKind : exitWithUsageError(`--kinds: ${kind} is not a kind of fault`));
	const firstSeed = values.seed === undefined ? Math.ceil(Math.random() * MAX_SEED) : parsePositive('seed', values.seed);
	return Array.from({length: parsePositive('seeds', values.seeds)}, (_, index) => ({
		seed: firstSeed + index, minutes: parsePositive('minutes', values.minutes), hosts: parsePositive('hosts', values.hosts), kinds,
	}));
}

/** Builds an earlier commit. Exits if there is none, or its hosts cannot have links of their own. */
async function buildOld(commit: string): Promise<string> {
	let folder: string;
	try {
		folder = extractCommit(root, commit);
	} catch {
		exitWithUsageError(`--old: the repository has no commit ${commit}`);
	}

	try {
		return await buildProgram(folder, path.join(values.logs, `apricotwood-old-${process.pid}.mjs`));
	} catch {
		exitWithUsageError(`--old: ${commit} cannot be built with a link for each host and worker`);
	}
}

function describeShare({served, total}: ServedShare): string {
	return `${served} of ${total}${total === 0 ? '' : ` (${(served / total).toFixed(3)})`}`;
}

async function runJob({seed, minutes, hosts, kinds, cause}: SoakJob, program: string, oldProgram: string | undefined): Promise<boolean> {
	if (cause !== undefined) {
		console.log(`seed ${seed} failed before: ${cause}`);
	}

	const directory = path.join(values.logs, `seed-${seed}`);
	mkdirSync(directory, {recursive: true});
	const {plan, records, breaches} = await runSoak(new SeededRandom(seed), {
		hostCount: hosts, program, directory, durationMs: minutes * MS_PER_MINUTE, checksTimedPromises: !values.untimed, ...(kinds && {kinds}), ...(oldProgram && {oldProgram}),
	});
	const servedCount = records.calls.filter(({status}) => status === 200).length;
	console.log(`seed ${seed}: ${plan.length} faults, ${records.calls.length} calls, ${servedCount} served, ${breaches.length} promise violations`);
	const uncomparedCount = countUncompared(records);
	if (uncomparedCount > 0) {
		console.log(`  isolated: ${uncomparedCount} periods not compared, as there were no calls at undisturbed hosts that reached workers`);
	}

	for (const {during, before} of countServedAroundStops(records)) {
		console.log(`  stops in turn: ${describeShare(during)} first attempts served from 1 s before to the end, ${describeShare(before)} in the 10 s before`);
	}

	if (breaches.length === 0) {
		return true;
	}

	writeFileSync(path.join(directory, 'seen.json'), JSON.stringify({seed, plan, breaches, ...records}, undefined, '\t'));
	for (const {promise, subject, message} of breaches.slice(0, 10)) {
		console.log(`  ${promise}: ${subject}: ${message}`);
	}

	console.log(`  logs: ${directory}`);
	return false;
}

if (values.help) {
	console.log(USAGE);
} else {
	if (values.break !== undefined && !BREAKAGES[values.break]) {
		exitWithUsageError(`--break: ${values.break} is not one of ${Object.keys(BREAKAGES).join(', ')}`);
	}

	const program = await buildProgram(root, path.join(values.logs, `apricotwood-${values.break ?? 'whole'}-${process.pid}.mjs`), values.break);
	const oldProgram = values.old === undefined ? undefined : await buildOld(values.old);
	let failed = 0;
	for (const job of createJobs()) {
		failed += Number(!await runJob(job, program, oldProgram)); // eslint-disable-line no-await-in-loop
	}

	console.log(failed === 0 ? 'no promise was violated' : `${failed} seeds failed`);
	process.exit(failed === 0 ? 0 : 1); // eslint-disable-line unicorn/no-process-exit
}
