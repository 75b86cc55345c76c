import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SystemClock} from '@apricotwood/clock';
import {WorkerFeedback, type ResponseMetadata} from '@apricotwood/entry';
import {
	BackoffTracker, DrainTracker, Fleet, RateLimitTracker,
} from '@apricotwood/steering';
import {NOOP_LOG} from '@apricotwood/telemetry';
import {REGION_BY_ZONE, makeWorker} from '../fixtures/workers.js';

const REQUEST = {id: 'r1', sentAtMs: 0};

function createFixture() {
	const fleet = new Fleet(REGION_BY_ZONE);
	fleet.put(makeWorker('w1', {bornMs: 10}), 0);
	const trackers = {drains: new DrainTracker(), backoffs: new BackoffTracker(7), rateLimits: new RateLimitTracker()};
	const feedback = new WorkerFeedback({
		clock: new SystemClock(), log: NOOP_LOG, fleet, ...trackers, onDraining() {},
	});
	return {
		fleet, feedback, ...trackers, worker: fleet.get('w1')!,
	};
}

function makeMetadata(fields: Partial<ResponseMetadata> = {}): ResponseMetadata {
	return {
		requestId: 'r1', isSigned: false, isNotRun: true, isOtherWorker: false, load: undefined, isDraining: true, retryAfterMs: 5000, rateLimit: 2, ...fields,
	};
}

test('what a worker says in any response binds the host, also in one to a health check', () => {
	const {feedback, worker, drains, backoffs, rateLimits} = createFixture();
	feedback.recordHealthCheck(worker, {
		isHealthy: false, worker: undefined, coldMs: 0, isDraining: true, retryAfterMs: 5000, rateLimit: undefined,
	}, 0);
	assert.equal(drains.isDraining(worker), true);
	assert.ok(backoffs.getNextSendMs(worker) > performance.now());
	feedback.recordResponse(worker, makeMetadata(), REQUEST);
	assert.equal(rateLimits.get(worker.hash), 2);
});

test('a response of another worker, or of an earlier start, says nothing of the present one', () => {
	const {feedback, fleet, worker, drains, backoffs} = createFixture();
	feedback.recordResponse(worker, makeMetadata({isOtherWorker: true}), REQUEST);
	feedback.recordHealthCheck(worker, {
		isHealthy: true, worker: 'w2', coldMs: 0, isDraining: true, retryAfterMs: 5000, rateLimit: undefined,
	}, 0);
	fleet.put(makeWorker('w1', {bornMs: 20}), 0);
	feedback.recordResponse(worker, makeMetadata(), REQUEST);
	for (const present of [worker, fleet.get('w1')!]) {
		assert.equal(drains.isDraining(present), false);
		assert.equal(backoffs.getNextSendMs(present), Number.NEGATIVE_INFINITY);
	}
});
