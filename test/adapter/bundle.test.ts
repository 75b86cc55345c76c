import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';

/** Upper bound of a line, characters; a string or a comment may be longer than the limit that the bundler is told. */
const MAX_LINE_CHARS = 10_000;

// Node words a failed assertion by parsing the line of its call, again with each part of that line that it reads: on one of a megabyte, nothing else runs for seconds.
test('a failed assertion in the bundle does not stall the process: no line is long', async () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'bundle-'));
	const outfile = path.join(folder, 'program.mjs');
	const {bundle} = await import(String(new URL('../../platform/bundle.mjs', import.meta.url))) as {bundle: (outfile: string) => Promise<void>};
	await bundle(outfile);
	const lengths = readFileSync(outfile, 'utf8').split('\n').map(line => line.length);
	rmSync(folder, {recursive: true});
	assert.ok(Math.max(...lengths) <= MAX_LINE_CHARS, `the longest line has ${Math.max(...lengths)} characters`);
});
