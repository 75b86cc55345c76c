import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {ReadPacer, TurnBudget} from '@apricotwood/admission';
import {FakeClock} from '@apricotwood/clock';

/** Chunks that a pacer lets pass at once after a calm time, and in a second. */
const CHUNK_CREDIT = 100_000;
const CHUNKS_PER_SECOND = 100_000;

test('chunks are read on until the credit is used, and again as time passes', () => {
	const clock = new FakeClock();
	const pacer = new ReadPacer(clock, new TurnBudget());
	let passed = 0;
	while (pacer.take()) {
		passed++;
	}

	assert.equal(passed, CHUNK_CREDIT - 1);
	assert.equal(pacer.take(), false);
	clock.advance(100);
	let passedLater = 0;
	while (pacer.take()) {
		passedLater++;
	}

	assert.ok(passedLater > 0 && passedLater <= CHUNKS_PER_SECOND / 10, `${passedLater}`);
});

test('bodies that wait are read on in the order of their waiting, one at a time', () => {
	const clock = new FakeClock();
	const pacer = new ReadPacer(clock, new TurnBudget());
	while (pacer.take()) {
		// Uses the credit.
	}

	const resumed: string[] = [];
	for (const name of ['first', 'second', 'third']) {
		pacer.wait(() => {
			resumed.push(name);
			for (let chunk = 0; chunk < 10_000; chunk++) {
				pacer.take();
			}
		});
	}

	clock.advance(20);
	assert.deepEqual(resumed, ['first']);
	clock.advance(80);
	assert.deepEqual(resumed, ['first']);
	clock.advance(40);
	assert.deepEqual(resumed, ['first', 'second']);
	clock.advance(200);
	assert.deepEqual(resumed, ['first', 'second', 'third']);
});

test('the budget of a turn is told to be spent once, and renewed in the next turn', async () => {
	const budget = new TurnBudget();
	const events: string[] = [];
	budget.onSpent = () => {
		events.push('spent');
	};

	budget.onRenewed = () => {
		events.push('renewed');
	};

	budget.spend(9999);
	assert.deepEqual(events, []);
	budget.spend(1);
	budget.spend(20_000);
	assert.deepEqual(events, ['spent']);
	await setImmediate();
	await setImmediate();
	assert.deepEqual(events, ['spent', 'renewed']);
	budget.spend(100);
	await setImmediate();
	await setImmediate();
	assert.deepEqual(events, ['spent', 'renewed']);
});
