import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';

const CTL = fileURLToPath(new URL('../../packages/cli/bin/apricotctl.js', import.meta.url));
const LOGS = fileURLToPath(new URL('../fixtures/logs', import.meta.url));

async function trace(...args: string[]): Promise<{status: number; out: string; err: string}> {
	return new Promise(resolve => {
		execFile(process.execPath, [CTL, 'trace', ...args], {env: {...process.env, NO_COLOR: '1'}}, (error, out, err) => {
			resolve({status: error ? Number(error.code) : 0, out, err});
		});
	});
}

// The kinds of failure that docs/OPERATIONS.md describes.
for (const [id, events, cause] of [
	['46cea3e8f5b3f4fe', ['source-lost', 'request', 'check'], 'Connect Timeout Error'],
	['12c71bf4355afb31', ['request'], '"end":"timeout"'],
	['ff9d21d948475c23', ['request'], '12 requests at the worker, 222 ms to wait'],
	['q1', ['worker-crash', 'worker-crash', 'crash-suspect', 'request'], '"verdict":"suspect"'],
] as const) {
	test(`trace: the events of request ${id} show its cause`, async () => {
		const {status, out} = await trace(id, '--logs', LOGS);
		assert.equal(status, 0);
		assert.deepEqual(out.trim().split('\n').map(line => line.split(' ')[2]), [...events]);
		assert.ok(out.includes(cause), out);
	});
}

test('trace: prints JSON; an unknown id exits with 1, a missing log path with 2', async () => {
	const {out} = await trace('12c71bf4355afb31', '--logs', LOGS, '--json');
	assert.equal((JSON.parse(out) as Array<{code: string}>)[0]?.code, 'timeout');
	assert.equal((await trace('none', '--logs', LOGS)).status, 1);
	const missing = await trace('none', '--logs', '/nowhere');
	assert.equal(missing.status, 2);
	assert.match(missing.err, /nowhere: no such file or folder/);
});
