import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SystemClock} from '@apricotwood/clock';
import {DrainReports, ReplicatedState, decodeReport, encodeReport} from '@apricotwood/entry';
import {DrainTracker, WorkerState, type Worker} from '@apricotwood/steering';
import {Metrics, NOOP_LOG} from '@apricotwood/telemetry';
import {REGION_BY_ZONE, makeWorker} from '../fixtures/workers.js';

function createHost() {
	const state = new ReplicatedState(new SystemClock(), NOOP_LOG, new Metrics(), {onWorkerStart() {}, onWorkerRemoved() {}, onUpdateApplied() {}}, REGION_BY_ZONE);
	state.fleet.put(makeWorker('w1', {bornMs: 10}), 0);
	const drains = new DrainTracker();
	const reports = new DrainReports({
		clock: new SystemClock(), log: NOOP_LOG, state, drains,
	});
	return {
		state, drains, reports, worker: state.fleet.get('w1')!,
	};
}

function leave({drains, reports, worker}: ReturnType<typeof createHost>): Worker {
	drains.record({worker: worker.hash, bornMs: worker.registration.bornMs});
	reports.recordOwn(worker);
	return worker;
}

test('reports of leaving workers: nothing is sent in calm, and repeats end when the store tells of it', () => {
	const host = createHost();
	let nowMs = performance.now();
	assert.deepEqual(host.reports.takeEntries(nowMs), []);
	leave(host);
	for (let count = 0; count < 20; count++) {
		host.reports.takeEntries(nowMs);
		nowMs += 200;
	}

	assert.deepEqual(host.reports.takeEntries(nowMs + 1000), [[host.worker.hash, 10]]);
	host.state.fleet.put(makeWorker('w1', {bornMs: 10, state: WorkerState.Draining}), 0);
	assert.deepEqual(host.reports.takeEntries(nowMs + 3000), []);
});

test('reports of leaving workers spread over a host that relays them, and say nothing of a later start', () => {
	const [first, relay, last] = [createHost(), createHost(), createHost()];
	const {worker} = last;
	leave(first);
	assert.equal(relay.reports.receive(first.reports.takeEntries(0)), true);
	assert.equal(last.reports.receive(relay.reports.takeEntries(0)), true);
	assert.equal(last.drains.isDraining(worker), true);
	last.state.fleet.put(makeWorker('w1', {bornMs: 20}), 0);
	assert.equal(last.drains.isDraining(last.state.fleet.get('w1')!), false);
});

test('reports of leaving workers: invalid entries are refused', () => {
	const {reports} = createHost();
	for (const entries of [undefined, 'text', [[1]], [['w1', 10]], [[1, -1]], [[1, 1.5]]]) {
		assert.equal(reports.receive(entries), false);
	}
});

test('reports of leaving workers have a kind of their own, which hosts of earlier releases do not know and ignore', () => {
	const {reports} = createHost();
	const report = decodeReport(encodeReport({kind: reports.kind, entries: [[1, 10]]}));
	assert.deepEqual(report, {kind: 'drains', entries: [[1, 10]]});
});
