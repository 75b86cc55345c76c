import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CrashTracker, CrashVerdict} from '@apricotwood/steering';

const REQUEST = 'request';
const HOST = 5;
const OTHER_HOST = 9;
const MINUTE_MS = 60_000;
/** Longest time in which a turn holds, ms. */
const SETTLED_MS = 500;

/** Creates what a host knows of a request after three crashes at 0 ms. @param wasServed whether it was served shortly before. */
function createTracker({wasServed = false} = {}): CrashTracker {
	const crashes = new CrashTracker();
	for (const worker of [1, 2, 3]) {
		crashes.recordCrash(REQUEST, worker, 0);
	}

	if (wasServed) {
		crashes.recordServedBefore(REQUEST);
	}

	return crashes;
}

/** Sends all crash and trial reports of one host to another one. */
function report(from: CrashTracker, to: CrashTracker, nowMs: number): void {
	for (const entry of from.takeReports(nowMs)) {
		to.recordPeerReport(entry, nowMs);
	}

	for (const entry of from.takeTrialReports(nowMs)) {
		to.recordPeerTrials(entry, nowMs);
	}
}

/** Takes turns and sends trials, each of which ends its worker, whenever the host may until the end. @returns the times of the trials, ms. */
function sendTrials(crashes: CrashTracker, endMs: number, stepMs: number): number[] {
	const sentMs: number[] = [];
	for (let nowMs = 0; nowMs <= endMs; nowMs += stepMs) {
		crashes.takeTurn(REQUEST, HOST, nowMs);
		if (crashes.hasTurn(REQUEST, HOST, nowMs)) {
			sentMs.push(nowMs);
			crashes.beginTrial(REQUEST, nowMs + 1, nowMs + 100, nowMs);
			crashes.recordCrash(REQUEST, 100 + sentMs.length, nowMs);
		}
	}

	return sentMs;
}

test('crash trials: a request that was served shortly before is a suspect, and is tried at once', () => {
	const crashes = createTracker({wasServed: true});
	assert.equal(crashes.classify(REQUEST, 10), CrashVerdict.Suspect);
	assert.equal(crashes.needsTrial(REQUEST), true);
	assert.ok(crashes.takeTurn(REQUEST, HOST, 10)! <= 10 + SETTLED_MS);
	assert.equal(crashes.hasTurn(REQUEST, HOST, 10), false);
	assert.equal(crashes.hasTurn(REQUEST, HOST, 10 + SETTLED_MS), true);
});

test('crash trials: a request that nothing speaks for is quarantined, and is tried after a second', () => {
	const crashes = createTracker();
	assert.equal(crashes.classify(REQUEST, 10), CrashVerdict.Quarantined);
	assert.equal(crashes.takeTurn(REQUEST, HOST, 10), undefined);
	assert.notEqual(crashes.takeTurn(REQUEST, HOST, 1000), undefined);
});

test('crash trials: of two requests at the same crashes neither is quarantined before a trial', () => {
	const crashes = createTracker();
	for (const worker of [1, 2, 3]) {
		crashes.recordCrash('other', worker, 0);
	}

	assert.equal(crashes.classify(REQUEST, 10), CrashVerdict.Suspect);
	assert.equal(crashes.classify('other', 10), CrashVerdict.Suspect);
	assert.equal(crashes.needsTrial('other'), true);
});

for (const wasServed of [false, true]) {
	test(`crash trials: a request that crashes all workers is tried three times, at growing gaps${wasServed ? ', also if it was served before' : ''}`, () => {
		const crashes = createTracker({wasServed});
		const [first, second, third, ...more] = sendTrials(crashes, 19 * MINUTE_MS, 50);
		assert.deepEqual(more, []);
		assert.ok(first! <= 2000);
		assert.ok(second! - first! >= 2000);
		assert.ok(third! - second! > 9 * MINUTE_MS);
		assert.equal(crashes.classify(REQUEST, 19 * MINUTE_MS), CrashVerdict.Quarantined);
	});
}

test('crash trials: no trial follows before the deadline of the one before', () => {
	const crashes = createTracker({wasServed: true});
	crashes.takeTurn(REQUEST, HOST, 0);
	crashes.beginTrial(REQUEST, 1, 8000, SETTLED_MS);
	assert.equal(crashes.takeTurn(REQUEST, HOST, 8000), undefined);
	assert.notEqual(crashes.takeTurn(REQUEST, HOST, 9000), undefined);
});

test('crash trials: a response ends the quarantine and what was counted, everywhere', () => {
	const crashes = createTracker();
	const peer = new CrashTracker();
	sendTrials(crashes, 5000, 50);
	report(crashes, peer, 5000);
	assert.equal(peer.classify(REQUEST, 5000), CrashVerdict.Quarantined);
	assert.equal(peer.countTrials(REQUEST), 1);
	crashes.recordResponse(REQUEST, 5100);
	report(crashes, peer, 5100);
	assert.equal(peer.needsTrial(REQUEST), false);
	assert.equal(peer.countTrials(REQUEST), 0);
	assert.equal(peer.classify(REQUEST, 5100), CrashVerdict.Clear);
});

test('crash trials: while it is one host\'s turn no other one has it, and of two at once one gives up', () => {
	const [a, b] = [createTracker(), createTracker()];
	assert.notEqual(a.takeTurn(REQUEST, HOST, 2000), undefined);
	assert.notEqual(b.takeTurn(REQUEST, OTHER_HOST, 2000), undefined);
	report(a, b, 2050);
	report(b, a, 2050);
	assert.equal(a.hasTurn(REQUEST, HOST, 2000 + SETTLED_MS), true);
	assert.equal(b.hasTurn(REQUEST, OTHER_HOST, 2000 + SETTLED_MS), false);
	assert.equal(b.takeTurn(REQUEST, OTHER_HOST, 2100), undefined);
	assert.notEqual(b.takeTurn(REQUEST, OTHER_HOST, 4000), undefined);
});

test('crash trials: those that hosts sent without knowing of each other count together', () => {
	const [a, b] = [createTracker({wasServed: true}), createTracker({wasServed: true})];
	for (const [crashes, runs] of [[a, [1, 2]], [b, [3, 4]]] as const) {
		for (const run of runs) {
			crashes.beginTrial(REQUEST, run, 0, 0);
		}
	}

	assert.notEqual(a.takeTurn(REQUEST, HOST, 11 * MINUTE_MS), undefined);
	report(a, b, 11 * MINUTE_MS);
	report(b, a, 11 * MINUTE_MS);
	assert.equal(a.countTrials(REQUEST), 4);
	assert.equal(a.hasTurn(REQUEST, HOST, (11 * MINUTE_MS) + SETTLED_MS), false);
	assert.equal(b.takeTurn(REQUEST, OTHER_HOST, 30 * MINUTE_MS), undefined);
});
