import assert from 'node:assert/strict';
import {after, before, beforeEach, test} from 'node:test';
import {Behaviour, type StandinWorker} from '@apricotwood/standin';
import {Rig, sendRequest, waitUntil, type TestResponse} from '../fixtures/rig.js';

let rig: Rig;
before(async () => {
	rig = await Rig.start({settings: {request: {stallMs: 1000}}});
});
after(async () => {
	await rig.stop();
});

beforeEach(async () => {
	for (const worker of rig.workers.values()) {
		worker.behaviours = [Behaviour.Answer];
		worker.runs.length = 0;
	}

	// Failed workers are suspect for a short time; each test starts after all units have been released.
	await waitUntil(async () => {
		const answer = await sendRequest(rig.port, {path: '/v1/explain?service=board&member=club&addr=127.0.0.1'});
		return answer.status === 200 && rig.hosts[0]?.unitsInUse === 0;
	});
});

type Kind = 'board' | 'desk';

type Row = {
	readonly name: string;
	readonly behaviour: Behaviour;
	/** Whether only the first attempt has this behaviour. */
	readonly isOnce: boolean;
	readonly kind: Kind;
	readonly outcome: string;
	readonly code?: string;
	/** Maximum number of runs of the request. */
	readonly maxRuns: number;
	/** Whether the response must start and be truncated. */
	readonly isTruncated?: boolean;
};

const ROWS: readonly Row[] = [
	{name: 'an idempotent request is retried after a reset before the first byte', behaviour: Behaviour.ResetBefore, isOnce: true, kind: 'board', outcome: 'answered', maxRuns: 1},
	{name: 'an idempotent request is retried after a reset without a response', behaviour: Behaviour.ResetAfter, isOnce: true, kind: 'board', outcome: 'answered', maxRuns: 2},
	{name: 'a non-idempotent request has an unknown outcome after a reset', behaviour: Behaviour.ResetAfter, isOnce: true, kind: 'desk', outcome: 'unknown', code: 'upstream-reset', maxRuns: 1},
	{name: 'a non-idempotent request has an unknown outcome after a reset, even if it did not run', behaviour: Behaviour.ResetBefore, isOnce: true, kind: 'desk', outcome: 'unknown', code: 'upstream-reset', maxRuns: 0},
	{name: 'a shed request runs on another worker', behaviour: Behaviour.Shed, isOnce: true, kind: 'desk', outcome: 'answered', maxRuns: 1},
	{name: 'a request that every worker sheds did not run', behaviour: Behaviour.Shed, isOnce: false, kind: 'desk', outcome: 'not-run', code: 'upstream-shed', maxRuns: 0},
	{name: 'a response to another attempt is never relayed', behaviour: Behaviour.WrongAttempt, isOnce: false, kind: 'desk', outcome: 'unknown', code: 'upstream-mismatch', maxRuns: 1},
	{name: 'an idempotent request is retried after a response to another attempt', behaviour: Behaviour.WrongAttempt, isOnce: true, kind: 'board', outcome: 'answered', maxRuns: 2},
	{name: 'a response without framing is not treated as complete', behaviour: Behaviour.Unframed, isOnce: false, kind: 'desk', outcome: 'unknown', code: 'upstream-unframed', maxRuns: 1},
	{name: 'a request without a response has an unknown outcome at the deadline', behaviour: Behaviour.Silent, isOnce: false, kind: 'desk', outcome: 'unknown', code: 'upstream-late', maxRuns: 1},
	{name: 'a truncated response is truncated for the caller too', behaviour: Behaviour.Truncate, isOnce: false, kind: 'desk', outcome: 'answered', maxRuns: 1, isTruncated: true},
	{name: 'a response that stalls is truncated for the caller', behaviour: Behaviour.Stall, isOnce: false, kind: 'board', outcome: 'answered', maxRuns: 1, isTruncated: true},
	{name: 'a response with two Connection lines is relayed', behaviour: Behaviour.TwoConnectionLines, isOnce: false, kind: 'desk', outcome: 'answered', maxRuns: 1},
	{name: 'an error response of an upstream is relayed', behaviour: Behaviour.Error, isOnce: false, kind: 'desk', outcome: 'answered', maxRuns: 1},
];

/** Sends one request to the row's service while its workers have the row's behaviour. */
async function sendRow({behaviour, isOnce, kind}: Row, id: string): Promise<TestResponse> {
	const workers = [...rig.workers.values()].filter(worker => worker.name.startsWith(kind));
	if (isOnce) {
		// The workers share the list: the first attempt has the behaviour, the second one does not, on whichever workers they run.
		const shared = [behaviour, Behaviour.Answer];
		for (const worker of workers) {
			worker.behaviours = shared;
		}
	} else {
		for (const worker of workers) {
			worker.behaviours = [behaviour];
		}
	}

	const headers = {'apricotwood-member': 'club', 'apricotwood-request-id': id, 'apricotwood-deadline-ms': '700'};
	return sendRequest(rig.port, {method: kind === 'board' ? 'GET' : 'POST', path: `/s/${kind}/${id}`, headers, ...(kind === 'desk' && {body: 'seat=1'})});
}

for (const [index, row] of ROWS.entries()) {
	test(row.name, async () => {
		const answer = await sendRow(row, `row-${index}`);
		assert.equal(answer.headers['apricotwood-outcome'], row.outcome, answer.body);
		if (row.code !== undefined) {
			assert.equal((JSON.parse(answer.body) as {code: string}).code, row.code);
		}

		assert.equal(answer.isWhole, row.isTruncated !== true);
		const runs = countRuns(rig.workers.values(), `/row-${index}`);
		assert.ok(runs <= row.maxRuns, `ran ${runs} times`);
		await waitUntil(() => rig.hosts[0]?.unitsInUse === 0);
	});
}

function countRuns(workers: Iterable<StandinWorker>, path: string): number {
	let runs = 0;
	for (const worker of workers) {
		runs += worker.runs.filter(run => run.path === path).length;
	}

	return runs;
}

test('an unreachable worker is skipped, and a non-idempotent request still runs once', async () => {
	await rig.worker('desk-1').stop();
	for (let index = 0; index < 4; index++) {
		const answer = await sendRequest(rig.port, {method: 'POST', path: '/s/desk/refused', headers: {'apricotwood-member': 'club'}, body: 'x'});
		assert.equal(answer.headers['apricotwood-worker'], 'desk-2');
	}

	assert.equal(rig.worker('desk-2').runs.length, 4);
});

const MISREPORTING_WORKERS: ReadonlyArray<readonly [string, (worker: StandinWorker) => void]> = [
	['reports an invalid load', worker => {
		worker.reportedLoad = -5;
	}],
	['reports a load from the future', worker => {
		worker.reportSkewMs = 3_600_000;
	}],
	['never reports its load', worker => {
		worker.isReporting = false;
	}],
];

for (const [name, misreport] of MISREPORTING_WORKERS) {
	test(`a worker that ${name} never receives more requests than its slots`, async () => {
		const worker = rig.worker('board-1');
		misreport(worker);
		worker.peakRunning = 0;
		worker.serviceMs = 20;
		const answers = await Promise.all(Array.from({length: 12}, async () => sendRequest(rig.port, {path: '/s/board/x', headers: {'apricotwood-member': 'club'}})));
		assert.ok(answers.every(answer => answer.headers['apricotwood-outcome'] === 'answered' || answer.headers['apricotwood-outcome'] === 'not-run'));
		assert.ok(worker.peakRunning <= 2, `${worker.peakRunning} concurrent requests`);
		Object.assign(worker, {
			reportedLoad: undefined, reportSkewMs: 0, isReporting: true, serviceMs: 5,
		});
	});
}
