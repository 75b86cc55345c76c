import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {
	BREAKAGES, UNTIMED_PROMISES, CallEnd, CallKind, FaultKind, TIMED_PROMISES, checkPromises, countUncompared, createRecords, type Call, type SoakRecords,
} from '@apricotwood/soak';

function createCall(fields: Partial<Call> = {}): Call {
	return {
		id: 'c1',
		kind: CallKind.Book,
		host: 'h1',
		method: 'POST',
		url: '/book/o1?filler=0',
		bytes: 3,
		digest: 'd',
		timeoutMs: 1400,
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

function createRun(fields: Partial<SoakRecords['runs'][number]> = {}): SoakRecords['runs'][number] {
	return {
		id: 'c1', worker: 'w1', method: 'POST', url: '/book/o1?filler=0', bytes: 3, digest: 'd', atMs: 10_050, ...fields,
	};
}

/** Names of the promises that the records violate, except `recover`. */
function findBrokenPromises(fields: Partial<SoakRecords>): string[] {
	const records = {...createRecords(), ...fields};
	return [...new Set(checkPromises(records, {...UNTIMED_PROMISES, ...TIMED_PROMISES}).map(({promise}) => promise))].filter(promise => promise !== 'recover');
}

test('promises: a call that was executed once and answered by its worker is not a violation', () => {
	assert.deepEqual(findBrokenPromises({calls: [createCall()], runs: [createRun()]}), []);
});

const UNTIMED_CASES: ReadonlyArray<readonly [string, Partial<SoakRecords>, string]> = [
	['a request executed twice', {calls: [createCall()], runs: [createRun(), createRun()]}, 'once'],
	['an executed request that no caller sent', {calls: [], runs: [createRun()]}, 'unasked'],
	['a request executed with another path', {calls: [createCall()], runs: [createRun({url: '/book/o2'})]}, 'unasked'],
	['a request executed with another body', {calls: [createCall()], runs: [createRun({digest: 'e'})]}, 'unasked'],
	['a rejected request that was executed', {calls: [createCall({status: 503})], runs: [createRun()]}, 'refused'],
	['a successful response signed by another worker', {calls: [createCall({signature: 'sig-w2'})], runs: [createRun()]}, 'mixed'],
	['a successful response with another body', {calls: [createCall({isExpected: false})], runs: [createRun()]}, 'mixed'],
	['a successful response without an execution', {calls: [createCall()], runs: []}, 'mixed'],
	['a rejection of a known route', {calls: [createCall({status: 404})], runs: []}, 'denied'],
	['an unexpected exit of a process', {exits: [{host: 'h1', code: 1, signal: null, atMs: 1, wasWanted: false}]}, 'ends'],
];
for (const [name, records, promise] of UNTIMED_CASES) {
	test(`promises: reports ${name}`, () => {
		assert.deepEqual(findBrokenPromises(records), [promise]);
	});
}

const goneNotice = {
	what: 'gone' as const, subject: 'w1', atMs: 7000, untilMs: undefined,
};
const answeredCall = {calls: [createCall()], runs: [createRun()]};

test('promises: reports a request that reaches a worker long after its removal, except during a disturbance', () => {
	assert.deepEqual(findBrokenPromises({...answeredCall, notices: [goneNotice]}), ['drain']);
	assert.deepEqual(findBrokenPromises({...answeredCall, notices: [{...goneNotice, atMs: 9000}]}), []);
	assert.deepEqual(findBrokenPromises({...answeredCall, notices: [{...goneNotice, untilMs: 10_000}]}), []);
	for (const [subject, expected] of [['store', []], ['h1', []], ['h2', ['drain']]] as const) {
		const disturbances = [{
			kind: FaultKind.StoreBusy, subject, fromMs: 8000, untilMs: 8100,
		}];
		assert.deepEqual(findBrokenPromises({...answeredCall, notices: [goneNotice], disturbances}), expected, subject);
	}
});

test('promises: reports a new route that a host does not know in time', () => {
	const notices = [{
		what: 'route-added' as const, subject: '/new0/', atMs: 7000, untilMs: undefined,
	}];
	const call = createCall({status: 404, url: '/new0/o1', sentAtMs: 9600});
	assert.deepEqual(findBrokenPromises({calls: [call], notices}), ['config']);
	assert.deepEqual(findBrokenPromises({calls: [createCall({...call, sentAtMs: 9400})], notices}), []);
});

test('promises: reports a stop that does not finish or aborts an executed call', () => {
	assert.deepEqual(findBrokenPromises({stops: [{host: 'h1', atMs: 10, endAtMs: undefined}]}), ['stop']);
	const cut = createCall({end: CallEnd.NoAnswer, status: 0});
	const stops = [{host: 'h1', atMs: 10_020, endAtMs: 12_000}];
	assert.deepEqual(findBrokenPromises({calls: [cut], runs: [createRun()], stops}), ['stop']);
	assert.deepEqual(findBrokenPromises({calls: [cut], runs: [], stops}), []);
	const disturbances = [{
		kind: FaultKind.WorkerFails, subject: 'w1', endsCalls: true, fromMs: 9000, untilMs: 10_080,
	}];
	assert.deepEqual(findBrokenPromises({calls: [cut], runs: [createRun()], stops, disturbances}), []);
	for (const other of [{endsCalls: false}, {untilMs: 9900}, {subject: 'w2'}, {kind: FaultKind.StoreLink, subject: 'h1', endsCalls: false}]) {
		assert.deepEqual(findBrokenPromises({calls: [cut], runs: [createRun()], stops, disturbances: [{...disturbances[0]!, ...other}]}), ['stop'], JSON.stringify(other));
	}
});

test('promises: reports a call that hangs or is answered late', () => {
	assert.deepEqual(findBrokenPromises({calls: [createCall({end: CallEnd.Hung, endAtMs: 14_000})], runs: [createRun()]}), ['late']);
	assert.deepEqual(findBrokenPromises({calls: [createCall({endAtMs: 13_000})], runs: [createRun()]}), ['late']);
});

test('promises: reports too few served calls after recovery', () => {
	const calls = Array.from({length: 40}, (_, index) => createCall({id: `c${index}`, status: index < 37 ? 200 : 503}));
	assert.deepEqual(checkPromises({...createRecords(), calls, calmFromMs: 0}, {recover: TIMED_PROMISES.recover}).length, 1);
	assert.deepEqual(checkPromises({...createRecords(), calls: calls.slice(0, 38), calmFromMs: 0}, {recover: TIMED_PROMISES.recover}).length, 0);
});

test('promises: reports a worker that gets more than the limit that it named, counted over the hosts that knew it', () => {
	const limits = [{
		worker: 'w1', perSecond: 1, fromMs: 10_000, untilMs: 20_000,
	}];
	// Two hosts learn the limit at 10.1 s; from 13 s on each sends 2 requests a second, 16 in 4 s with 11 allowed.
	const calls = ['h1', 'h2'].flatMap(host => Array.from({length: 20}, (_, index) => {
		const sentAtMs = index === 0 ? 10_000 : 13_000 + (index * 500);
		return createCall({
			id: `${host}-${index}`, host, sentAtMs, endAtMs: sentAtMs + 100,
		});
	}));
	const arrivals = calls.map(({id, sentAtMs}) => ({id, worker: 'w1', atMs: sentAtMs + 10}));
	const runs = calls.map(({id, sentAtMs}) => createRun({id, atMs: sentAtMs + 10}));
	const records = {
		calls, runs, arrivals, limits,
	};
	assert.deepEqual(findBrokenPromises(records), ['limit']);
	assert.deepEqual(findBrokenPromises({...records, limits: [{...limits[0]!, perSecond: 2}]}), []);
	assert.deepEqual(findBrokenPromises({...records, limits: [{...limits[0]!, untilMs: 14_000}]}), []);
	assert.deepEqual(findBrokenPromises({...records, arrivals: arrivals.filter(({id}) => id.startsWith('h1'))}), []);
	const kind = FaultKind.HostPause;
	assert.deepEqual(findBrokenPromises({
		...records, disturbances: [{
			kind, subject: 'h2', fromMs: 11_000, untilMs: 11_500,
		}],
	}), []);
	assert.deepEqual(findBrokenPromises({
		...records, disturbances: [{
			kind, subject: 'h3', fromMs: 11_000, untilMs: 11_500,
		}],
	}), ['limit']);
});

test('promises: reports a request that reaches a worker long after its caller has left, except during a disturbance', () => {
	const calls = [createCall({end: CallEnd.GaveUp, status: 0, endAtMs: 10_100})];
	const arrive = (atMs: number) => ({calls, arrivals: [{id: 'c1', worker: 'w1', atMs}]});
	assert.deepEqual(findBrokenPromises(arrive(10_500)), []);
	assert.deepEqual(findBrokenPromises(arrive(10_700)), ['gone']);
	for (const [subject, expected] of [['h1', []], ['w1', []], ['h2', ['gone']]] as const) {
		const disturbances = [{
			kind: FaultKind.HostPause, subject, fromMs: 10_000, untilMs: 10_600,
		}];
		assert.deepEqual(findBrokenPromises({...arrive(10_700), disturbances}), expected, subject);
	}
});

test('promises: reports a request that is sent on after three crashes, and another one that is refused as their cause', () => {
	const url = '/read/crash0?filler=0';
	const calls = Array.from({length: 8}, (_, index) => createCall({
		id: `c${index}`, kind: CallKind.Read, url, status: 502, sentAtMs: 10_000 + (index * 1000), endAtMs: 10_100 + (index * 1000),
	}));
	const arrivals = calls.map(({id, sentAtMs: atMs}) => ({id, worker: 'w1', atMs}));
	const records = {
		calls, arrivals, runs: calls.map(({id, sentAtMs: atMs}) => createRun({id, atMs, url, method: 'POST'})), crashingRequests: [{url, fromMs: 10_000, untilMs: 20_000}],
	};
	// The third crash is at 12 s; those at 16 and 17 s are later than 3 s after it.
	assert.deepEqual(findBrokenPromises(records), []);
	const more = Array.from({length: 2}, (_, index) => ({id: 'c7', worker: `w${index}`, atMs: 17_100}));
	assert.deepEqual(findBrokenPromises({...records, arrivals: [...arrivals, ...more]}), ['crash']);
	const disturbances = [{
		kind: FaultKind.HostPause, subject: 'h1', fromMs: 15_000, untilMs: 15_500,
	}];
	assert.deepEqual(findBrokenPromises({...records, arrivals: [...arrivals, ...more], disturbances}), []);
	const refused = createCall({id: 'c9', kind: CallKind.Read, status: 503, answer: '{"error":"quarantined","message":""}'});
	assert.deepEqual(findBrokenPromises({...records, calls: [...calls, refused]}), ['crash']);
	assert.deepEqual(findBrokenPromises({...records, calls: [...calls, {...refused, url}]}), []);
});

test('promises: reports a host that reaches no worker and serves its callers far worse than the others', () => {
	const createCalls = (host: string, served: number) => Array.from({length: 40}, (_, index) => createCall({
		id: `${host}-${index}`, host, kind: CallKind.Read, status: index < served ? 200 : 503, sentAtMs: 13_500 + (index * 50), endAtMs: 13_600 + (index * 50),
	}));
	const createRecordsOf = (served: number) => {
		const calls = [...createCalls('h1', served), ...createCalls('h2', 40)];
		return {
			calls, runs: calls.filter(({status}) => status === 200).map(({id}) => createRun({id})), isolations: [{
				kind: FaultKind.HostIsolated, subject: 'h1', fromMs: 10_000, untilMs: 20_000,
			}],
		};
	};

	assert.deepEqual(findBrokenPromises(createRecordsOf(20)), ['isolated']);
	assert.deepEqual(findBrokenPromises(createRecordsOf(30)), []);
	const [isolation] = createRecordsOf(20).isolations;
	assert.deepEqual(findBrokenPromises({...createRecordsOf(20), isolations: [{...isolation!, fromMs: 12_500}]}), []);
	const disturbances = [{
		kind: FaultKind.HostPause, subject: 'h1', fromMs: 11_000, untilMs: 11_500,
	}];
	assert.deepEqual(findBrokenPromises({...createRecordsOf(20), disturbances}), []);
	// Seed 10039: for a second the service had no worker at all, so that all hosts failed alike.
	const calls = [...createCalls('h1', 1).slice(0, 16), ...createCalls('h2', 14), ...createCalls('h3', 0), ...createCalls('h4', 0).slice(0, 45)];
	const isolations = [{
		kind: FaultKind.HostIsolated, subject: 'h1', fromMs: 10_000, untilMs: 20_000,
	}];
	const runs = calls.filter(({status}) => status === 200).map(({id}) => createRun({id}));
	assert.deepEqual(findBrokenPromises({calls, runs, isolations}), []);
	// Seed 51003: the isolated host got most of its calls in the second in which no host had a worker.
	const early = createCalls('h2', 40).map(call => ({...call, sentAtMs: call.sentAtMs - 2000, endAtMs: call.endAtMs - 2000}));
	const outage = [...createCalls('h1', 0), ...createCalls('h3', 0), ...early];
	assert.deepEqual(findBrokenPromises({calls: outage, runs: early.map(({id}) => createRun({id})), isolations: [{...isolations[0]!, fromMs: 8000}]}), []);
	const othersServed = calls.map(call => call.host === 'h1' ? call : {...call, status: 200});
	assert.deepEqual(findBrokenPromises({calls: othersServed, runs: othersServed.map(({id}) => createRun({id})), isolations}), ['isolated']);
	// Seeds 880103, 39201: all other hosts were disturbed or isolated as well, so that there is nothing to compare with.
	const alone = createCalls('h1', 0);
	assert.deepEqual(findBrokenPromises({calls: alone, isolations}), []);
	assert.equal(countUncompared({...createRecords(), calls: alone, isolations}), 1);
	assert.equal(countUncompared({...createRecords(), calls, isolations}), 0);
});

test('promises: reports a worker that is used long after a host has forwarded its word that it is leaving', () => {
	const leavings = [{worker: 'w1', fromMs: 10_000, untilMs: 20_000}];
	const createRecordsOf = (host: string, sentAtMs: number) => ({
		leavings,
		calls: [createCall({id: 'c1', host: 'h1', sentAtMs: 10_100, endAtMs: 10_200}), createCall({
			id: 'c2', host, sentAtMs, endAtMs: sentAtMs + 100,
		})],
		runs: [createRun({id: 'c1', atMs: 10_110}), createRun({id: 'c2', atMs: sentAtMs + 10})],
		arrivals: [{id: 'c1', worker: 'w1', atMs: 10_110}, {id: 'c2', worker: 'w1', atMs: sentAtMs + 10}],
	});
	assert.deepEqual(findBrokenPromises(createRecordsOf('h1', 12_300)), ['leaving']);
	assert.deepEqual(findBrokenPromises(createRecordsOf('h1', 12_100)), []);
	assert.deepEqual(findBrokenPromises(createRecordsOf('h2', 12_300)), []);
	assert.deepEqual(findBrokenPromises({...createRecordsOf('h1', 12_300), leavings: [{...leavings[0]!, untilMs: 12_000}]}), []);
	const disturbance = {kind: FaultKind.HostKill, fromMs: 11_000, untilMs: 11_500};
	assert.deepEqual(findBrokenPromises({...createRecordsOf('h1', 12_300), disturbances: [{...disturbance, subject: 'h1'}]}), []);
	assert.deepEqual(findBrokenPromises({...createRecordsOf('h1', 12_300), disturbances: [{...disturbance, subject: 'store'}]}), ['leaving']);
});

test('promises: reports a worker that gets requests from a host that it has told to wait', () => {
	const backoffs = [{
		worker: 'w1', retryAfterMs: 3000, fromMs: 10_000, untilMs: 11_000,
	}];
	const createRecordsOf = (hosts: readonly string[], gapMs: number) => {
		const calls = hosts.map((host, index) => createCall({
			id: `c${index}`, host, status: 503, sentAtMs: 10_100 + (index * gapMs), endAtMs: 10_200 + (index * gapMs),
		}));
		return {backoffs, calls, arrivals: calls.map(({id, sentAtMs}) => ({id, worker: 'w1', atMs: sentAtMs + 10}))};
	};

	// The first one starts the time; from half a second later on two are allowed.
	assert.deepEqual(findBrokenPromises(createRecordsOf(['h1', 'h1', 'h1', 'h1'], 600)), ['backoff']);
	assert.deepEqual(findBrokenPromises(createRecordsOf(['h1', 'h1', 'h1'], 600)), []);
	assert.deepEqual(findBrokenPromises(createRecordsOf(['h1', 'h1', 'h1', 'h1'], 100)), []);
	assert.deepEqual(findBrokenPromises(createRecordsOf(['h1', 'h2', 'h3', 'h2'], 600)), []);
	// Seed 31003: host h1 passed the calls on to h2, which the worker had not told to wait.
	const passedOn = createRecordsOf(['h1', 'h1', 'h1', 'h1'], 600);
	assert.deepEqual(findBrokenPromises({...passedOn, arrivals: passedOn.arrivals.map((arrival, index) => ({...arrival, sender: index === 0 ? 'h1' : `h${1 + index}`}))}), []);
	assert.deepEqual(findBrokenPromises({...passedOn, arrivals: passedOn.arrivals.map(arrival => ({...arrival, sender: 'h2'}))}), ['backoff']);
});

test('breakages: the text that each replaces stands in its source file once', () => {
	for (const [name, {file, from}] of Object.entries(BREAKAGES)) {
		const source = readFileSync(new URL(`../../${file}`, import.meta.url), 'utf8');
		assert.equal(source.split(from).length, 2, name);
	}
});
