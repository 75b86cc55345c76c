import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {test} from 'node:test';
import {onReload} from '@apricotwood/platform';

test('signals: a reload that comes before the host listens is kept, later ones are told at once (soak, seed 3004)', () => {
	process.emit('SIGHUP');
	process.emit('SIGHUP');
	let reloads = 0;
	onReload(() => {
		reloads++;
	});
	assert.equal(reloads, 1);
	process.emit('SIGHUP');
	assert.equal(reloads, 2);
});

test('signals: they are taken before anything else is loaded', () => {
	const main = readFileSync(new URL('../../platform/src/main.ts', import.meta.url), 'utf8');
	const first = main.split('\n').find(line => line.startsWith('import '));
	assert.equal(first, 'import {onReload} from \'./signals.js\';');
});
