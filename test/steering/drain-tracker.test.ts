import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DrainTracker, Fleet, type Worker} from '@apricotwood/steering';
import {REGION_BY_ZONE, makeWorker} from '../fixtures/workers.js';

function createWorker(bornMs: number): Worker {
	const fleet = new Fleet(REGION_BY_ZONE);
	fleet.put(makeWorker('w1', {bornMs}), 0);
	return fleet.get('w1')!;
}

test('a worker that has said that it is leaving is so until it starts again', () => {
	const drains = new DrainTracker();
	const worker = createWorker(10);
	assert.equal(drains.record({worker: worker.hash, bornMs: 10}), true);
	assert.equal(drains.record({worker: worker.hash, bornMs: 10}), false);
	drains.reset(worker);
	assert.equal(drains.isDraining(worker), true);
	assert.equal(drains.isDraining(createWorker(20)), false);
	// An entry of an earlier start, from a store that was restored.
	assert.equal(drains.isDraining(createWorker(5)), true);
});

test('a late response of an earlier start does not make the present one leave', () => {
	const drains = new DrainTracker();
	const worker = createWorker(20);
	drains.record({worker: worker.hash, bornMs: 10});
	assert.equal(drains.isDraining(worker), false);
	drains.record({worker: worker.hash, bornMs: 20});
	assert.equal(drains.record({worker: worker.hash, bornMs: 10}), false);
	assert.equal(drains.isDraining(worker), true);
});

test('a worker that does not report its start is used again after a restart', () => {
	const drains = new DrainTracker();
	const worker = createWorker(0);
	drains.record({worker: worker.hash, bornMs: 0});
	assert.equal(drains.isDraining(worker), true);
	drains.reset(worker);
	assert.equal(drains.isDraining(worker), false);
});

test('thousands of workers that have left are forgotten, the oldest first', () => {
	const drains = new DrainTracker();
	const worker = createWorker(10);
	drains.record({worker: worker.hash, bornMs: 10});
	for (let index = 0; index < 5000; index++) {
		drains.record({worker: index, bornMs: 10});
	}

	assert.equal(drains.isDraining(worker), false);
	assert.equal(drains.record({worker: 4999, bornMs: 10}), false);
});
