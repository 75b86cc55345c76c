import {parseArgs} from 'node:util';
import {MUTANTS} from './mutants.js';
import {PartName} from './part-name.js';

/** What the command is asked for. */
export type Options = {
	readonly runs: number;
	readonly seed: number;
	readonly parts: readonly PartName[];
	/** File for the summary as JSON; `undefined` if none is asked for. */
	readonly json: string | undefined;
	/** Name of a mutant in the place of the product as it is; `undefined` for none. */
	readonly mutant: string | undefined;
	readonly wantsHelp: boolean;
};

/** An argument that cannot be used. */
export class UsageError extends Error {}

export const USAGE = `npm run fuzz -- [--runs N] [--seed S] [--only ${Object.values(PartName).join('|')}] [--json FILE] [--mutant NAME]

  --runs N     number of scripts of each part, 1 or more (1000)
  --seed S     seed of the first script, a whole number; each further script has the next one; random if omitted
  --only PART  one part only: ${Object.values(PartName).join(', ')}
  --json FILE  writes the summary there as JSON
  --mutant M   breaks on purpose what the hosts are given or give, and ends once that is found: ${Object.keys(MUTANTS).join(', ')}
`;

const DEFAULT_RUNS = 1000;
const MAX_RUNS = 10_000_000;
/** Largest seed; also the range of random ones. */
const MAX_SEED = 2_000_000_000;

/** Reads the arguments of the command. @throws {UsageError} if one cannot be used. */
export function parseOptions(args: readonly string[]): Options {
	const {runs, seed, only, json, mutant, help} = readArgs(args);
	return {
		runs: runs === undefined ? DEFAULT_RUNS : parseWhole('runs', runs, 1, MAX_RUNS),
		seed: seed === undefined ? Math.floor(Math.random() * MAX_SEED) : parseWhole('seed', seed, 0, MAX_SEED),
		parts: selectParts(only, mutant),
		json,
		mutant: mutant === undefined ? undefined : parseMutant(mutant),
		wantsHelp: help === true,
	};
}

function readArgs(args: readonly string[]) {
	try {
		return parseArgs({
			args: [...args],
			options: {
				runs: {type: 'string'}, seed: {type: 'string'}, only: {type: 'string'}, json: {type: 'string'}, mutant: {type: 'string'}, help: {type: 'boolean'},
			},
		}).values;
	} catch (error) {
		throw new UsageError((error as Error).message);
	}
}

function parseWhole(name: string, text: string, min: number, max: number): number {
	const value = /^\d+$/.test(text) ? Number(text) : Number.NaN;
	if (!(value >= min && value <= max)) {
		throw new UsageError(`--${name}: ${text} is not a whole number from ${min} to ${max}`);
	}

	return value;
}

function parsePart(text: string): PartName {
	const part = Object.values(PartName).find(name => String(name) === text);
	if (!part) {
		throw new UsageError(`--only: ${text} is not one of ${Object.values(PartName).join(', ')}`);
	}

	return part;
}

function selectParts(only: string | undefined, mutant: string | undefined): PartName[] {
	const finder = mutant === undefined ? undefined : MUTANTS[parseMutant(mutant)]!.part;
	const part = only === undefined ? undefined : parsePart(only);
	if (part && finder && part !== finder) {
		throw new UsageError(`--mutant: ${mutant} is found by ${finder}, not by ${part}`);
	}

	const selected = part ?? finder;
	return selected ? [selected] : Object.values(PartName);
}

function parseMutant(text: string): string {
	if (!Object.hasOwn(MUTANTS, text)) {
		throw new UsageError(`--mutant: ${text} is not one of ${Object.keys(MUTANTS).join(', ')}`);
	}

	return text;
}
