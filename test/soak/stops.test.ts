import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@apricotwood/clock';
import {
	CallEnd, CallKind, FaultKind, TIMED_PROMISES, WorkTimes, checkPromises, countServedAroundStops, createRecords, generatePlan, type Call, type SoakRecords,
} from '@apricotwood/soak';

const STOP_AT_MS = 10_000;

/** Times of a call after the stop signal, and how long the worker takes, ms. */
type CallTimes = {
	readonly sentMs: number;
	readonly endMs: number;
	readonly workMs: number;
};

/** Records of one call at host h1, which is stopped; worker w1 gets it at once. */
function createStopRecords({sentMs, endMs, workMs}: CallTimes, fields: Partial<Call> = {}): SoakRecords {
	const call: Call = {
		id: 'l1',
		kind: CallKind.Long,
		host: 'h1',
		method: 'POST',
		url: `/long/l1?work=${workMs}`,
		bytes: 3,
		digest: 'd',
		timeoutMs: 8000,
		sentAtMs: STOP_AT_MS + sentMs,
		end: CallEnd.NoAnswer,
		endAtMs: STOP_AT_MS + endMs,
		status: 0,
		signature: undefined,
		isExpected: false,
		answer: '',
		...fields,
	};
	const {id, url, method, bytes, digest, sentAtMs: atMs} = call;
	return {
		...createRecords(), calls: [call], stops: [{host: 'h1', atMs: STOP_AT_MS, endAtMs: STOP_AT_MS + 5900}], arrivals: [{
			id, worker: 'w1', atMs, sender: call.host,
		}], runs: [{
			id, worker: 'w1', method, url, bytes, digest, atMs,
		}],
	};
}

function countLost(records: SoakRecords): number {
	return checkPromises(records, {stop: TIMED_PROMISES.stop}).length;
}

const cutAtEnd = {sentMs: 2900, endMs: 5800, workMs: 3000};

const LOSSES: ReadonlyArray<readonly [string, CallTimes, Partial<Call>, number]> = [
	['at work in the last sixth on a call of the first half', cutAtEnd, {}, 0],
	['sent in the second half', {...cutAtEnd, sentMs: 3001}, {}, 1],
	['of a worker that was done before the last sixth', {...cutAtEnd, workMs: 2000}, {}, 1],
	['cut before the last sixth', {...cutAtEnd, endMs: 4900}, {}, 1],
	['sent before the signal and cut at once', {sentMs: -500, endMs: 20, workMs: 3000}, {}, 1],
	['after the end of the process', {sentMs: 3500, endMs: 6990, workMs: 3100}, {}, 1],
	['later than the rule counts', {sentMs: 3500, endMs: 7010, workMs: 3100}, {}, 0],
	['with a caller whose time was over', {sentMs: 3500, endMs: 4900, workMs: 3000}, {timeoutMs: 1400}, 0],
	['just before the caller\'s time was over', {sentMs: 3500, endMs: 4899, workMs: 3000}, {timeoutMs: 1400}, 1],
	['after the timeout of the route', {sentMs: 1500, endMs: 5500, workMs: 3100}, {kind: CallKind.Timed}, 0],
	['before the timeout of the route', {sentMs: 3500, endMs: 5900, workMs: 3100}, {kind: CallKind.Timed}, 1],
	['of a usual caller', {sentMs: 200, endMs: 300, workMs: 0}, {kind: CallKind.Read, timeoutMs: 1400, end: CallEnd.Cut}, 1],
	['with a whole answer', {...cutAtEnd, sentMs: 3500}, {end: CallEnd.Answered, status: 502}, 0],
];
for (const [name, times, fields, expected] of LOSSES) {
	test(`stops: a call ${name} is ${expected === 0 ? 'not ' : ''}a loss`, () => {
		assert.equal(countLost(createStopRecords(times, fields)), expected);
	});
}

test('stops: a call that reached no worker is not a loss; one that a worker got without running it is', () => {
	const records = createStopRecords({...cutAtEnd, sentMs: 3500});
	assert.equal(countLost({...records, runs: [], arrivals: []}), 0);
	assert.equal(countLost({...records, runs: []}), 1);
});

test('stops: a call that another host passed on to the stopped one is judged as well', () => {
	const records = createStopRecords({...cutAtEnd, sentMs: 3500}, {host: 'h2'});
	assert.equal(countLost(records), 0);
	assert.equal(countLost({...records, arrivals: records.arrivals.map(arrival => ({...arrival, sender: 'h1'}))}), 1);
});

test('stops: a call that ends after a further stop of the host is judged by that one', () => {
	const records = createStopRecords(cutAtEnd);
	const early = {host: 'h1', atMs: STOP_AT_MS - 900, endAtMs: STOP_AT_MS - 500};
	assert.equal(countLost({...records, stops: [early, ...records.stops]}), 0);
	assert.equal(countLost({...records, stops: [early, {...early, host: 'h2', atMs: STOP_AT_MS}]}), 1);
});

test('stops: only faults that end calls at the host or the worker meanwhile explain a loss', () => {
	const records = createStopRecords({...cutAtEnd, sentMs: 3500});
	const pause = {
		kind: FaultKind.HostPause, subject: 'h1', endsCalls: true, fromMs: STOP_AT_MS - 100, untilMs: STOP_AT_MS + 300,
	};
	assert.equal(countLost({...records, disturbances: [pause]}), 0);
	for (const other of [{untilMs: STOP_AT_MS - 50}, {subject: 'h2'}, {subject: 'w1'}, {endsCalls: false}]) {
		assert.equal(countLost({...records, disturbances: [{...pause, ...other}]}), 1, JSON.stringify(other));
	}
});

test('stops: counts the first attempts of usual callers around stops in turn and before', () => {
	const {calls: [call]} = createStopRecords(cutAtEnd);
	const at = (sentAtMs: number, fields: Partial<Call> = {}): Call => ({
		...call!, kind: CallKind.Read, end: CallEnd.Answered, status: 200, sentAtMs, ...fields,
	});
	const calls = [at(18_999), at(19_000), at(25_000, {status: 503}), at(30_000), at(9500), at(8999), at(10_000, {end: CallEnd.GaveUp}), at(20_000, {kind: CallKind.Long})];
	assert.deepEqual(countServedAroundStops({...createRecords(), calls, stopsInTurn: [{fromMs: 20_000, untilMs: 30_000}]}), [{during: {served: 1, total: 2}, before: {served: 2, total: 2}}]);
});

test('stops: calls are mostly short, and often long from a moment after the signal on', () => {
	const times = new WorkTimes(new SeededRandom(1), STOP_AT_MS);
	const draw = (atMs: number) => Array.from({length: 1000}, () => times.draw(atMs));
	const [before, after] = [draw(times.slowFromMs - 1), draw(times.slowFromMs)].map(list => list.filter(workMs => workMs > 500).length);
	assert.ok(before! > 0 && before! < 50 && after! > 300 && after! < 500, `${before} and ${after} of 1000`);
});

test('stops: a plan of all kinds stops hosts in turn, and not in the first seconds', () => {
	const inTurn = generatePlan(new SeededRandom(5), 60_000).filter(({kind}) => kind === FaultKind.HostStopsInTurn);
	assert.ok(inTurn.length > 0 && inTurn.every(({atMs}) => atMs >= 10_000));
});
