import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	ALWAYS, CallEnd, CallKind, FaultKind, TIMED, judge, newRecords, type Call, type Records,
} from '@apricotwood/soak';

function makeCall(fields: Partial<Call> = {}): Call {
	return {
		id: 'c1',
		kind: CallKind.Book,
		host: 'h1',
		method: 'POST',
		url: '/book/o1?filler=0',
		bytes: 3,
		digest: 'd',
		sentAtMs: 10_000,
		end: CallEnd.Answered,
		endAtMs: 10_100,
		status: 200,
		signature: 'sig-w1',
		isExpected: true,
		answer: '',
		...fields,
	};
}

function makeRun(fields: Partial<Records['runs'][number]> = {}): Records['runs'][number] {
	return {
		id: 'c1', worker: 'w1', method: 'POST', url: '/book/o1?filler=0', bytes: 3, digest: 'd', atMs: 10_050, ...fields,
	};
}

/** Promises that some records break. */
function broken(fields: Partial<Records>): string[] {
	const records = {...newRecords(), ...fields};
	return [...new Set(judge(records, {...ALWAYS, ...TIMED}).map(({promise}) => promise))].filter(promise => promise !== 'recover');
}

test('promises: a call that ran once and was answered by its worker breaks none', () => {
	assert.deepEqual(broken({calls: [makeCall()], runs: [makeRun()]}), []);
});

const ALWAYS_ROWS: ReadonlyArray<readonly [string, Partial<Records>, string]> = [
	['ran twice', {calls: [makeCall()], runs: [makeRun(), makeRun()]}, 'once'],
	['sent by nobody', {calls: [], runs: [makeRun()]}, 'unasked'],
	['another path', {calls: [makeCall()], runs: [makeRun({url: '/book/o2'})]}, 'unasked'],
	['another body', {calls: [makeCall()], runs: [makeRun({digest: 'e'})]}, 'unasked'],
	['refused, and ran', {calls: [makeCall({status: 503})], runs: [makeRun()]}, 'refused'],
	['success of another worker', {calls: [makeCall({signature: 'sig-w2'})], runs: [makeRun()]}, 'mixed'],
	['success with another body', {calls: [makeCall({isExpected: false})], runs: [makeRun()]}, 'mixed'],
	['success without a run', {calls: [makeCall()], runs: []}, 'mixed'],
	['a route that is there', {calls: [makeCall({status: 404})], runs: []}, 'denied'],
	['a process that ends by itself', {exits: [{host: 'h1', code: 1, signal: null, atMs: 1, wasWanted: false}]}, 'ends'],
];
for (const [name, records, promise] of ALWAYS_ROWS) {
	test(`promises: ${name}`, () => {
		assert.deepEqual(broken(records), [promise]);
	});
}

const gone = {
	what: 'gone' as const, subject: 'w1', atMs: 7000, untilMs: undefined,
};
const calm = {calls: [makeCall()], runs: [makeRun()]};

test('promises: work that reaches a worker long after it has gone, in calm only', () => {
	assert.deepEqual(broken({...calm, notices: [gone]}), ['drain']);
	assert.deepEqual(broken({...calm, notices: [{...gone, atMs: 9000}]}), []);
	assert.deepEqual(broken({...calm, notices: [{...gone, untilMs: 10_000}]}), []);
	for (const [subject, expected] of [['store', []], ['h1', []], ['h2', ['drain']]] as const) {
		const disturbances = [{
			kind: FaultKind.StoreBusy, subject, fromMs: 8000, untilMs: 8100,
		}];
		assert.deepEqual(broken({...calm, notices: [gone], disturbances}), expected, subject);
	}
});

test('promises: a new route that is not known in time', () => {
	const notices = [{
		what: 'route-added' as const, subject: '/new0/', atMs: 7000, untilMs: undefined,
	}];
	const call = makeCall({status: 404, url: '/new0/o1', sentAtMs: 9600});
	assert.deepEqual(broken({calls: [call], notices}), ['config']);
	assert.deepEqual(broken({calls: [makeCall({...call, sentAtMs: 9400})], notices}), []);
});

test('promises: a stop that does not end, or cuts what has run', () => {
	assert.deepEqual(broken({stops: [{host: 'h1', atMs: 10, endAtMs: undefined}]}), ['stop']);
	const cut = makeCall({end: CallEnd.NoAnswer, status: 0});
	const stops = [{host: 'h1', atMs: 10_020, endAtMs: 12_000}];
	assert.deepEqual(broken({calls: [cut], runs: [makeRun()], stops}), ['stop']);
	assert.deepEqual(broken({calls: [cut], runs: [], stops}), []);
	const disturbances = [{
		kind: FaultKind.WorkerFails, subject: 'w1', fromMs: 9000, untilMs: 9100,
	}];
	assert.deepEqual(broken({calls: [cut], runs: [makeRun()], stops, disturbances}), []);
});

test('promises: a call that hangs, or is answered long after its time', () => {
	assert.deepEqual(broken({calls: [makeCall({end: CallEnd.Hung, endAtMs: 14_000})], runs: [makeRun()]}), ['late']);
	assert.deepEqual(broken({calls: [makeCall({endAtMs: 13_000})], runs: [makeRun()]}), ['late']);
});

test('promises: after everything is back, nearly all is served', () => {
	const calls = Array.from({length: 40}, (_, index) => makeCall({id: `c${index}`, status: index < 37 ? 200 : 503}));
	assert.deepEqual(judge({...newRecords(), calls, calmFromMs: 0}, {recover: TIMED.recover}).length, 1);
	assert.deepEqual(judge({...newRecords(), calls: calls.slice(0, 38), calmFromMs: 0}, {recover: TIMED.recover}).length, 0);
});
