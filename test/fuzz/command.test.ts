import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {PartName, UsageError, parseOptions} from '@apricotwood/fuzz';

const PROGRAM = fileURLToPath(new URL('../../packages/fuzz/dist/main.js', import.meta.url));

const BAD_ARGUMENTS: Readonly<Record<string, readonly string[]>> = {
	'no runs': ['--runs', '0'],
	'a part of a run': ['--runs', '1.5'],
	'more runs than it can count': ['--runs', '1e9'],
	'a number of runs that is a text': ['--runs', 'many'],
	'an unknown part': ['--only', 'callers'],
	'a seed of text': ['--seed', 'abc'],
	'an empty seed': ['--seed', ''],
	'a negative seed': ['--seed=-1'],
	'an unknown mutant': ['--mutant', 'toString'],
	'a mutant of another part': ['--only', 'rows', '--mutant', 'all-repeated'],
	'an unknown option': ['--fast'],
	'a stray argument': ['worker'],
};

for (const [name, args] of Object.entries(BAD_ARGUMENTS)) {
	test(`${name} is refused`, () => {
		assert.throws(() => parseOptions(args), UsageError);
	});
}

test('the command ends with exit code 2 and a clear error for bad input, and starts nothing', () => {
	const {status, stdout, stderr} = spawnSync(process.execPath, [PROGRAM, '--runs', '0'], {encoding: 'utf8'});
	assert.equal(status, 2);
	assert.equal(stdout, '');
	assert.match(stderr, /^--runs: 0 is not a whole number from 1 to /);
});

test('the command plays a seed of one part', () => {
	const {status, stdout} = spawnSync(process.execPath, [PROGRAM, '--runs', '1', '--seed', '41', '--only', 'worker'], {encoding: 'utf8'});
	assert.equal(status, 0, stdout);
	assert.match(stdout, /^worker: 1 scripts from seed 41 on, \d+ a minute, 0 broke a rule\n/);
});

test('a good command is read', () => {
	assert.deepEqual(parseOptions(['--runs', '5', '--seed', '0', '--only', 'rows', '--json', 'f']), {
		runs: 5, seed: 0, parts: [PartName.Rows], json: 'f', mutant: undefined, wantsHelp: false,
	});
	assert.deepEqual(parseOptions(['--mutant', 'all-repeated']).parts, [PartName.Worker]);
});
