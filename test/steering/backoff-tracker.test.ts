import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	BackoffTracker, Fleet, PlacementAction, PlacementReason, SendPurpose, type Worker,
} from '@apricotwood/steering';
import {
	REGION_BY_ZONE, makePlacer, makeRequest, makeWorker,
} from '../fixtures/workers.js';

const HOST_HASH = 7;
/** Longest delay after the end of a backoff by which hosts return at different times, ms. */
const MAX_SPREAD_MS = 500;

function createWorker(bornMs = 1): Worker {
	const fleet = new Fleet(REGION_BY_ZONE);
	fleet.put(makeWorker('w1', {bornMs}), 0);
	return fleet.get('w1')!;
}

test('a backoff lasts at least as long as the worker asked for, and a little longer', () => {
	for (const retryAfterMs of [1, 250, 3000, 1e12]) {
		const backoffs = new BackoffTracker(HOST_HASH);
		const worker = createWorker();
		assert.equal(backoffs.recordRejection(worker, retryAfterMs, 1000), true);
		const endMs = backoffs.getNextSendMs(worker);
		assert.ok(endMs >= 1000 + retryAfterMs && endMs <= 1000 + retryAfterMs + MAX_SPREAD_MS, `${endMs}`);
	}
});

test('of two backoffs the longer one applies, whichever came first, and no backoff is one of 0', () => {
	const backoffs = new BackoffTracker(HOST_HASH);
	const worker = createWorker();
	assert.equal(backoffs.recordRejection(worker, 0, 0), false);
	assert.equal(backoffs.getNextSendMs(worker), Number.NEGATIVE_INFINITY);
	backoffs.recordRejection(worker, 3000, 0);
	assert.equal(backoffs.recordRejection(worker, 100, 500), false);
	assert.ok(backoffs.getNextSendMs(worker) >= 3000);
	backoffs.recordRejection(worker, 3000, 1000);
	assert.ok(backoffs.getNextSendMs(worker) >= 4000);
});

test('a response to a request from before the backoff does not end it, one to a trial does', () => {
	const backoffs = new BackoffTracker(HOST_HASH);
	const worker = createWorker();
	backoffs.recordRejection(worker, 1000, 0);
	backoffs.recordResponse(worker, 0);
	const endMs = backoffs.getNextSendMs(worker);
	assert.ok(endMs >= 1000);
	backoffs.recordSend(worker, endMs);
	assert.ok(backoffs.getNextSendMs(worker) > endMs);
	backoffs.recordResponse(worker, endMs);
	assert.equal(backoffs.getNextSendMs(worker), Number.NEGATIVE_INFINITY);
});

test('a trial without a response is followed by another one', () => {
	const backoffs = new BackoffTracker(HOST_HASH);
	const worker = createWorker();
	backoffs.recordRejection(worker, 1000, 0);
	backoffs.recordSend(worker, 2000);
	assert.equal(backoffs.getNextSendMs(worker), 2500);
});

test('ten hosts do not return to a worker at the same moment', () => {
	const worker = createWorker();
	const endsMs = Array.from({length: 10}, (_, host) => {
		const backoffs = new BackoffTracker(host * 7919);
		backoffs.recordRejection(worker, 3000, 0);
		return backoffs.getNextSendMs(worker);
	});
	assert.ok(Math.max(...endsMs) - Math.min(...endsMs) > 200);
	assert.ok(new Set(endsMs).size > 5);
});

test('a backoff ends with a later start of the worker', () => {
	const backoffs = new BackoffTracker(HOST_HASH);
	backoffs.recordRejection(createWorker(1), 1e12, 0);
	assert.equal(backoffs.getNextSendMs(createWorker(2)), Number.NEGATIVE_INFINITY);
	backoffs.recordRejection(createWorker(2), 1000, 0);
	assert.ok(backoffs.getNextSendMs(createWorker(2)) < 2000);
});

// Soak seed 31003: the entry of an earlier start, from a store that was restored, undid a backoff, and 9 requests reached the worker.
test('an entry that goes back to an earlier start ends no backoff', () => {
	const backoffs = new BackoffTracker(HOST_HASH);
	backoffs.recordRejection(createWorker(2), 1000, 0);
	assert.ok(backoffs.getNextSendMs(createWorker(1)) >= 1000);
	backoffs.recordRejection(createWorker(1), 1000, 500);
	assert.ok(backoffs.getNextSendMs(createWorker(2)) >= 1500);
});

test('a worker in backoff gets no request, no check and no probe, and a placed request is withdrawn', () => {
	const {placer, availability, backoffs, fleet} = makePlacer([makeWorker('w1'), makeWorker('w2')]);
	const [first, second] = [fleet.get('w1')!, fleet.get('w2')!];
	backoffs.recordRejection(first, 1000, 0);
	for (const purpose of Object.values(SendPurpose)) {
		assert.ok(availability.findObstacle(first, purpose, 500), purpose);
		assert.equal(availability.findObstacle(second, purpose, 500), undefined);
	}

	for (let index = 0; index < 50; index++) {
		const {worker} = placer.place(makeRequest({objectHash: index, targetAtMs: 1100, deadlineAtMs: 1700}), 500);
		assert.equal(worker ?? second, second);
	}
});

test('when all workers are in backoff, a request waits if the first one ends in time, and is rejected at once otherwise', () => {
	const {placer, backoffs, fleet} = makePlacer([makeWorker('w1'), makeWorker('w2')]);
	backoffs.recordRejection(fleet.get('w1')!, 100, 0);
	backoffs.recordRejection(fleet.get('w2')!, 3000, 0);
	const waiting = placer.place(makeRequest({targetAtMs: 2000, deadlineAtMs: 3000, waitUntilMs: 1000}), 0);
	assert.equal(waiting.action, PlacementAction.Wait);
	const rejected = placer.place(makeRequest({targetAtMs: 50, deadlineAtMs: 60, waitUntilMs: 20}), 0);
	assert.equal(rejected.action, PlacementAction.Reject);
	assert.equal(rejected.reason, PlacementReason.Backoff);
	assert.ok(rejected.availableInMs >= 100 && rejected.availableInMs < 700, `${rejected.availableInMs}`);
});
