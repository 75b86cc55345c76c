import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import fc from 'fast-check';
import {
	RuleName, StreamEnd, readResponse, runCampaign, shrinkRun, type Observation, type Part,
} from '@apricotwood/fuzz';

const NOTHING_SEEN: Observation = {
	calls: [], arrivals: [], strangeRequests: [], surplus: [], failures: [], hostsNotServing: [], lagMs: 0,
};

/** Fails for each number over 100. */
class Numbers implements Part<number[]> {
	readonly arbitrary = fc.array(fc.nat({max: 1000}), {maxLength: 8});

	describe(script: number[]): unknown {
		return script;
	}

	async play(script: number[]): Promise<Observation> {
		return {...NOTHING_SEEN, failures: script.filter(number => number > 100).map(String)};
	}
}

test('a run that fails is played again by its seed and made as small as can be', async () => {
	const {runs, failed} = await runCampaign(new Numbers(), {runs: 50, seed: 7, lanes: 4});
	assert.equal(runs, 50);
	assert.ok(failed.length > 10);
	for (const run of failed.slice(0, 5)) {
		assert.deepEqual(await shrinkRun(new Numbers(), run), {
			seed: run.seed, repeated: 3, script: [101], violations: [{rule: RuleName.Ends, message: '101'}],
		});
	}
});

test('a seed gives the same script in each campaign', async () => {
	const [one, other] = await Promise.all([1, 3].map(async lanes => runCampaign(new Numbers(), {runs: 20, seed: 7, lanes})));
	assert.deepEqual(one!.failed, other!.failed);
});

/** A campaign in a process of its own, as the test runner takes exceptions for its own. */
const THROWING = `
	import {runCampaign} from '@apricotwood/fuzz';
	import fc from 'fast-check';
	const part = {arbitrary: fc.nat(), describe: script => script, async play() {
		await new Promise(resolve => setTimeout(() => {
			setTimeout(resolve, 5);
			throw new Error('thrown on purpose');
		}, 1));
		return {calls: [], arrivals: [], strangeRequests: [], surplus: [], failures: [], hostsNotServing: [], lagMs: 0};
	}};
	const {uncaught} = await runCampaign(part, {runs: 1, seed: 1, lanes: 1});
	console.log(uncaught.length, uncaught[0]);
`;

test('an exception that nobody catches is told', () => {
	const {stdout, stderr} = spawnSync(process.execPath, ['--input-type=module', '--eval', THROWING], {encoding: 'utf8', cwd: fileURLToPath(new URL('..', import.meta.url))});
	assert.match(stdout, /^1 .*thrown on purpose/, stderr);
});

const HEAD = 'HTTP/1.1 200 OK\r\n';
/** Bytes, how the connection stands, and what a caller has then. */
const RESPONSES: ReadonlyArray<readonly [string, string, StreamEnd, string]> = [
	['with a length', `${HEAD}Content-Length: 2\r\n\r\nab`, StreamEnd.Open, 'whole ab'],
	['with a length, cut', `${HEAD}Content-Length: 3\r\n\r\nab`, StreamEnd.Closed, 'partial ab'],
	['in chunks', `${HEAD}Transfer-Encoding: chunked\r\n\r\n1;x\r\na\r\n1\r\nb\r\n0\r\nX-Sum: 1\r\n\r\n`, StreamEnd.Open, 'whole ab'],
	['in chunks, cut in the last one', `${HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n`, StreamEnd.Closed, 'partial ab'],
	['until the close', `${HEAD}\r\nab`, StreamEnd.Closed, 'whole ab'],
	['until the close, reset', `${HEAD}\r\nab`, StreamEnd.Reset, 'partial ab'],
	['until the close, open', `${HEAD}\r\nab`, StreamEnd.Open, 'partial ab'],
	['after an informational one', `HTTP/1.1 102 Processing\r\n\r\n${HEAD}Content-Length: 0\r\n\r\n`, StreamEnd.Open, 'whole '],
	['without a body', 'HTTP/1.1 204 No Content\r\n\r\nab', StreamEnd.Open, 'whole '],
	['with two framings', `${HEAD}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n`, StreamEnd.Open, 'malformed'],
	['with an odd header', `${HEAD}X Odd: 1\r\n\r\n`, StreamEnd.Open, 'malformed'],
	['that is none', 'no response\r\n\r\n', StreamEnd.Open, 'malformed'],
	['cut in the head', `${HEAD}Content-Length: 2\r\n`, StreamEnd.Closed, 'nothing'],
];

for (const [name, bytes, end, expected] of RESPONSES) {
	test(`a response ${name} is read as its bytes say`, () => {
		const result = readResponse(Buffer.from(bytes, 'latin1'), end);
		const seen = result.kind === 'response' ? result.response : (result.kind === 'more' ? result.partial : undefined);
		assert.equal(result.kind === 'malformed' ? 'malformed' : (seen ? `${seen.isWhole ? 'whole' : 'partial'} ${seen.body.toString()}` : 'nothing'), expected);
	});
}
