import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ReachabilityTracker} from '@apricotwood/steering';

test('reachability: two workers that fail in a row raise a doubt, and only a failed sample of others confirms it', () => {
	const reachability = new ReachabilityTracker();
	reachability.recordFailure(1);
	reachability.recordFailure(1);
	assert.equal(reachability.isDoubtful, false);
	assert.equal(reachability.recordFailedSample(), false);
	reachability.recordFailure(2);
	assert.equal(reachability.isDoubtful, true);
	assert.equal(reachability.isIsolated, false);
	assert.equal(reachability.recordFailedSample(), true);
	assert.equal(reachability.recordFailedSample(), false);
	assert.equal(reachability.isIsolated, true);
});

test('reachability: one connection ends doubt and isolation, a response on an old connection does not', () => {
	const reachability = new ReachabilityTracker();
	reachability.recordFailure(1);
	reachability.recordFailure(2);
	assert.equal(reachability.recordConnect(10), false);
	assert.equal(reachability.isDoubtful, false);
	reachability.recordFailure(1);
	reachability.recordFailure(2);
	reachability.recordFailedSample();
	reachability.recordResponse(20);
	assert.equal(reachability.isIsolated, true);
	assert.equal(reachability.recordConnect(30), true);
	assert.equal(reachability.isIsolated, false);
});

test('reachability: a probe is due without traffic for a second, or when a worker has failed', () => {
	const reachability = new ReachabilityTracker();
	reachability.recordConnect(0);
	assert.equal(reachability.isProbeDue(900), false);
	reachability.recordResponse(900);
	assert.equal(reachability.isProbeDue(1800), false);
	assert.equal(reachability.isProbeDue(1900), true);
	reachability.recordConnect(1900);
	reachability.recordFailure(3);
	assert.equal(reachability.isProbeDue(1901), true);
	assert.equal(reachability.hasFailed(3), true);
	assert.equal(reachability.hasFailed(4), false);
});
