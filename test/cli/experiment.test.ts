import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	after, before, test,
} from 'node:test';
import {fileURLToPath} from 'node:url';
import {FakeClock, SeededRandom} from '@apricotwood/clock';
import {
	Experiment, LossCause, SimulatedWorker, countLosses, parsePattern, recordPattern, type LoadPattern,
} from '@apricotwood/experiment';
import {FindingsError} from '@apricotwood/findings';

const CTL = fileURLToPath(new URL('../../packages/cli/bin/apricotctl.js', import.meta.url));
let folder = '';

before(() => {
	folder = mkdtempSync(path.join(tmpdir(), 'experiment-'));
});

after(() => {
	rmSync(folder, {recursive: true});
});

async function ctl(...args: string[]): Promise<{status: number; out: string; err: string}> {
	return new Promise(resolve => {
		execFile(process.execPath, [CTL, 'experiment', ...args], {env: {...process.env, NO_COLOR: '1'}}, (error, out, err) => {
			resolve({status: error ? Number(error.code) : 0, out, err});
		});
	});
}

/** Creates a load of 60 objects with skewed popularity, which four workers can serve in time only if most requests are warm. */
function makePattern(perSecond: number): LoadPattern {
	const random = new SeededRandom(9);
	const arrivals: LoadPattern['arrivals'] = [];
	for (let atMs = 0; atMs < 10_000; atMs += 2000 * random.next() / perSecond) {
		arrivals.push([atMs, 0, `o${Math.floor(60 * (random.next() ** 2))}`, Math.floor(random.next() * 2)]);
	}

	return {
		regions: {a1: 'a', b1: 'b'},
		roundTripMs: 20,
		services: [{name: 'board', memory: 20, workers: ['w1', 'w2', 'w3', 'w4'].map((id, index) => ({id, zone: index < 2 ? 'a1' : 'b1', slots: 4}))}],
		routes: [{
			name: 'lookup', service: 'board', targetMs: 400, timeoutMs: 2000, priority: 1, warmMs: 120, coldMs: 360,
		}],
		arrivals,
	};
}

test('model: a worker runs one request per slot, keeps its most recent objects warm and evicts the others', () => {
	const clock = new FakeClock(0);
	const worker = new SimulatedWorker('w', 1, 2, clock, {next: () => 0.5});
	const done: Array<readonly [string, boolean, number]> = [];
	for (const object of ['a', 'a', 'b', 'c', 'a']) {
		worker.submit({
			object, warmMs: 100, coldMs: 300, onDone(wasWarm) {
				done.push([object, wasWarm, clock.monotonic()]);
			},
		});
	}

	assert.equal(worker.running, 1);
	assert.equal(worker.queued, 4);
	clock.advance(5000);
	assert.deepEqual(done, [['a', false, 300], ['a', true, 400], ['b', false, 700], ['c', false, 1000], ['a', false, 1300]]);
});

test('experiment: the same seed gives the same result, and every request is counted once', () => {
	const run = () => new Experiment(makePattern(80), {copies: 4}, new SeededRandom(3)).run();
	const first = run();
	assert.deepEqual(first, run());
	const tally = first.routes.get('lookup')!;
	assert.equal(tally.inTime + tally.late + tally.lost, makePattern(80).arrivals.length);
	assert.ok(first.value > 0.5 && first.value <= 1, String(first.value));
});

test('experiment: under a load that needs warm workers, a few copies score higher than workers that are never warm', () => {
	const values = [2, 4].map(copies => new Experiment(makePattern(90), {copies}, new SeededRandom(3)).run().value);
	const pattern = makePattern(90);
	const cold = new Experiment({...pattern, services: pattern.services.map(service => ({...service, memory: 1}))}, {copies: 4}, new SeededRandom(3)).run().value;
	assert.ok(Math.min(...values) > cold, `${values.join(', ')} and ${cold}`);
});

test('experiment: the run command ranks policies and writes an HTML report', async () => {
	const file = path.join(folder, 'load.json');
	const report = path.join(folder, 'report.html');
	writeFileSync(file, JSON.stringify(makePattern(90)));
	const {status, out} = await ctl('run', file, '--policy', 'copies=1', '--policy', 'copies=4,nearness=1', '--report', report);
	assert.equal(status, 0);
	const rows = out.trim().split('\n').slice(1).map(line => Number(line.split(/\s{2,}/)[1]));
	assert.equal(rows.length, 2);
	assert.ok(rows[0]! >= rows[1]!);
	const html = readFileSync(report, 'utf8');
	assert.match(html, /copies=4,nearness=1/);
	assert.match(html, /<h2>board a<\/h2>/);
	assert.equal(html.match(/<polyline/g)?.length, 2 * 2 * 3);
});

test('experiment: invalid input is reported with its place and exit status 2', async () => {
	const file = path.join(folder, 'bad.json');
	const bad = makePattern(5);
	writeFileSync(file, JSON.stringify({...bad, routes: [{...bad.routes[0], service: 'nowhere', targetMs: -1}]}));
	const {status, err} = await ctl('run', file);
	assert.equal(status, 2);
	assert.match(err, /routes\[0]\.targetMs: must be above 0/);
	assert.throws(() => parsePattern({...bad, arrivals: [[0, 7, 'o', 0]]}), (error: unknown) => error instanceof FindingsError && error.message.includes('arrivals[0]: names a route or zone that is not there'));
	assert.equal((await ctl('run', path.join(folder, 'none.json'))).status, 2);
	assert.equal((await ctl('run', file, '--policy', 'copies=0')).status, 2);
	assert.equal((await ctl('record', '--logs', '/nowhere', '--out', file)).status, 2);
});

test('experiment: a pattern recorded from logs leaves out retries', () => {
	const line = (at: number, fields: Record<string, unknown>) => ({
		at, self: 'h1', event: 'request', route: 'r', service: 's', object: 'o', ms: 100, targetLeftMs: 300, ...fields,
	});
	const pattern = recordPattern([
		{at: 0, self: 'h1', event: 'start', zone: 'z1'},
		{
			at: 1, self: 'h1', event: 'worker', worker: 'w1', service: 's', zone: 'z2', state: 'ready',
		},
		{
			at: 2, self: 'h1', event: 'beliefs', memory: {s: 30}, times: {'r s': [110, 350]},
		},
		line(1100, {}),
		line(1600, {ms: 500, targetLeftMs: -100}),
		line(1700, {ms: 100, targetLeftMs: 50}),
	], zone => `region-of-${zone}`, {slots: new Map([['s', 6]]), defaultSlots: 4, roundTripMs: 24});
	assert.deepEqual(parsePattern(pattern), pattern);
	assert.deepEqual(pattern.regions, {z1: 'region-of-z1', z2: 'region-of-z2'});
	assert.deepEqual(pattern.services, [{name: 's', memory: 30, workers: [{id: 'w1', zone: 'z2', slots: 6}]}]);
	assert.deepEqual(pattern.arrivals, [[0, 0, 'o', 0], [0, 0, 'o', 0]]);
	const {targetMs, warmMs, coldMs} = pattern.routes[0]!;
	assert.deepEqual([targetMs, warmMs, coldMs], [400, 110, 350]);
});

function makeRequestLine(at: number, fields: Record<string, unknown>) {
	return {
		at, self: 'h', event: 'request', route: 'read', ms: 100, waitedMs: 0, targetLeftMs: 50, code: 'answered', attempts: [{warm: true, why: 'warm'}], ...fields,
	};
}

const LOSS_CASES: ReadonlyArray<readonly [LossCause, Record<string, unknown>]> = [
	[LossCause.InTime, {}],
	[LossCause.LateReturn, {targetLeftMs: -10, attempts: [{warm: false, why: 'first-copy'}, {warm: true, why: 'return'}]}],
	[LossCause.LateNotCached, {targetLeftMs: -10, attempts: [{warm: false, why: 'first-copy'}]}],
	[LossCause.LateWaited, {targetLeftMs: -10, waitedMs: 80}],
	[LossCause.LateAtWorker, {targetLeftMs: -10, waitedMs: 20}],
	[LossCause.RejectedByHost, {code: 'late', attempts: []}],
	[LossCause.RejectedByHost, {code: 'full', attempts: []}],
	[LossCause.RejectedByWorker, {code: 'shed'}],
	[LossCause.NoWorker, {code: 'unreachable'}],
	[LossCause.LostAtWorker, {code: 'timeout'}],
	[LossCause.CallerLeft, {code: 'caller-left'}],
	[LossCause.HostNotReady, {code: 'not-ready', route: undefined}],
	[LossCause.Invalid, {code: 'no-route', route: undefined}],
];

test('losses: every request of a log is counted once, by cause, route and window', () => {
	const lines = LOSS_CASES.map(([, fields], index) => makeRequestLine(1000 + (index * 100), fields));
	const {total, byRoute, windows} = countLosses([...lines, {at: 5000, self: 'h', event: 'config'}], 500);
	for (const cause of Object.values(LossCause)) {
		assert.equal(total[cause], LOSS_CASES.filter(([expected]) => expected === cause).length, cause);
	}

	assert.deepEqual([...byRoute.keys()], ['read', '-']);
	assert.deepEqual(windows.map(({startMs}) => startMs), [0, 500, 1000]);
	const sum = (counts: Record<string, number>) => Object.values(counts).reduce((left, right) => left + right, 0);
	assert.deepEqual(windows.map(({counts}) => sum(counts)), [5, 5, 3]);
});

test('losses: the command prints a table, and a log without requests fails', async () => {
	const file = path.join(folder, 'losses.log');
	writeFileSync(file, [makeRequestLine(1000, {}), makeRequestLine(4000, {code: 'shed'})].map(line => JSON.stringify(line)).join('\n'));
	const {status, out} = await ctl('losses', '--logs', file, '--window', '2000');
	assert.equal(status, 0);
	assert.match(out, /in-time +rejected-by-worker/);
	assert.match(out, /all +1 +1\n/);
	writeFileSync(file, '');
	assert.equal((await ctl('losses', '--logs', file)).status, 1);
	assert.equal((await ctl('losses', '--logs', path.join(folder, 'none'))).status, 2);
});

test('changes: each version of a log has its first and last host, and hosts that start with it do not count', async () => {
	const file = path.join(folder, 'changes.log');
	const lines = [
		{at: 1000, self: 'h1', event: 'config', version: 2, maxDelayMs: undefined},
		{at: 2000, self: 'h1', event: 'config', version: 5, before: 2, maxDelayMs: 480},
		{at: 2100, self: 'h2', event: 'catch-up-failed', host: 'h1'},
		{at: 2600, self: 'h3', event: 'config', version: 5, before: 2, maxDelayMs: 1130},
		{at: 2400, self: 'h2', event: 'config', version: 5, before: 2, maxDelayMs: 910},
		{at: 9000, self: 'h4', event: 'config', version: 5},
	];
	writeFileSync(file, lines.map(line => `${JSON.stringify(line)}\n`).join(''));
	const {status, out} = await ctl('changes', '--logs', file, '--json');
	assert.equal(status, 0);
	assert.deepEqual(JSON.parse(out), [{
		version: 5, firstHost: 'h1', firstAtMs: 2000, lastHost: 'h3', spreadMs: 600, hostCount: 3, maxDelayMs: 1130, failedRequests: 1,
	}]);
	assert.match((await ctl('changes', '--logs', file)).out, /5 .*3 .*h1 .*h3 .*600 .*1130 .*1/);
	writeFileSync(file, '');
	assert.equal((await ctl('changes', '--logs', file)).status, 1);
});
