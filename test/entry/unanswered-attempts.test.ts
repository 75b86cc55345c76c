import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeClock} from '@apricotwood/clock';
import {CrashDetector, type Connector} from '@apricotwood/entry';
import {WorkerState, type Worker, type WorkerRegistration} from '@apricotwood/steering';
import {NOOP_LOG} from '@apricotwood/telemetry';
import {makeWorker} from '../fixtures/workers.js';

/** Time for which a request stays responsible after its deadline, and a margin for the last look at its worker, ms. */
const RESPONSIBILITY_MS = 3000;
const LOOK_MARGIN_MS = 1600;

class Fixture {
	readonly clock = new FakeClock();
	/** Workers with their start and the fingerprints of the crashes reported. */
	readonly crashes: Array<readonly [string, number, readonly string[]]> = [];
	readonly workers = new Map<string, Worker>();
	probeCount = 0;
	/** Code of the error with which connections fail. @default none */
	connectError: string | undefined;
	readonly #connector: Connector = (_options, onEnd) => {
		this.probeCount++;
		if (this.connectError === undefined) {
			onEnd(null, {destroy() {}} as never);
		} else {
			onEnd(Object.assign(new Error(this.connectError), {code: this.connectError}), null);
		}
	};

	readonly detector = new CrashDetector({
		clock: this.clock,
		connector: this.#connector,
		log: NOOP_LOG,
		findWorker: id => this.workers.get(id),
		isLeaving: ({registration: {state}}) => state !== WorkerState.Ready,
		isPathInDoubt: () => false,
		onCrash: ({registration: {id, bornMs}}, fingerprints) => {
			this.crashes.push([id, bornMs, fingerprints]);
		},
	});

	register(id: string, fields: Partial<WorkerRegistration> = {}): Worker {
		const worker = {
			registration: makeWorker(id, fields), hash: 1, region: 'a', warmupEndMs: 0, warmupReferenceMs: 0, removeAtMs: undefined,
		};
		this.workers.set(id, worker);
		return worker;
	}

	/** Cancels an attempt whose deadline is `leftMs` away. */
	cancel(worker: Worker, fingerprint: string, leftMs = 0): void {
		this.detector.recordCancelled(worker, fingerprint, this.clock.monotonic() + leftMs);
	}
}

// BUDGET: review/5.
test('unanswered attempts: a worker that crashes after the host has cancelled an attempt is a crash of its request', async () => {
	const fixture = new Fixture();
	fixture.cancel(fixture.register('w1'), 'a');
	await fixture.clock.advanceAsync(1000);
	assert.deepEqual(fixture.crashes, []);
	fixture.connectError = 'ECONNREFUSED';
	await fixture.clock.advanceAsync(1500);
	assert.deepEqual(fixture.crashes, [['w1', 1, ['a']]]);
	await fixture.clock.advanceAsync(10_000);
	assert.equal(fixture.crashes.length, 1);
	assert.equal(fixture.detector.hasNoUnansweredAttempts, true);
});

test('unanswered attempts: a worker that has started again under its id has crashed, at the time of the start that ran the request', async () => {
	const fixture = new Fixture();
	fixture.cancel(fixture.register('w1'), 'a');
	fixture.register('w1', {bornMs: 2});
	await fixture.clock.advanceAsync(500);
	assert.deepEqual(fixture.crashes, [['w1', 1, ['a']]]);
});

test('unanswered attempts: a new attempt at the next start of a worker ends what the earlier start was responsible for', () => {
	const fixture = new Fixture();
	fixture.cancel(fixture.register('w1'), 'a');
	fixture.cancel(fixture.register('w1', {bornMs: 2}), 'b');
	assert.deepEqual(fixture.crashes, [['w1', 1, ['a']]]);
	assert.equal(fixture.detector.hasNoUnansweredAttempts, false);
});

test('unanswered attempts: they are reported with those whose connections a crash has broken, each once', async () => {
	const fixture = new Fixture();
	const worker = fixture.register('w1');
	fixture.cancel(worker, 'a');
	fixture.cancel(worker, 'b');
	fixture.connectError = 'ECONNREFUSED';
	fixture.detector.recordBrokenConnection(worker, 'b');
	fixture.detector.recordBrokenConnection(worker, 'c');
	await fixture.clock.advanceAsync(5000);
	assert.deepEqual(fixture.crashes, [['w1', 1, ['b', 'c', 'a']]]);
});

for (const [name, leftMs] of [['cancelled at its deadline', 0], ['whose caller left 5 s before it', 5000]] as const) {
	test(`unanswered attempts: a request ${name} is released once the worker has been seen to run after its time`, async () => {
		const fixture = new Fixture();
		fixture.cancel(fixture.register('w1'), 'a', leftMs);
		await fixture.clock.advanceAsync(leftMs + RESPONSIBILITY_MS - 20);
		assert.equal(fixture.detector.hasNoUnansweredAttempts, false);
		await fixture.clock.advanceAsync(LOOK_MARGIN_MS);
		assert.equal(fixture.detector.hasNoUnansweredAttempts, true);
		fixture.connectError = 'ECONNREFUSED';
		await fixture.clock.advanceAsync(10_000);
		assert.deepEqual(fixture.crashes, []);
	});
}

for (const [name, act] of [
	['that has been served since', ({detector}: Fixture) => {
		detector.recordServed('a');
	}],
	['whose worker leaves', (fixture: Fixture) => {
		fixture.register('w1', {state: WorkerState.Draining});
	}],
	['whose worker is gone', ({workers}: Fixture) => {
		workers.clear();
	}],
] as const) {
	test(`unanswered attempts: a request ${name} is no suspect`, async () => {
		const fixture = new Fixture();
		fixture.cancel(fixture.register('w1'), 'a');
		act(fixture);
		fixture.connectError = 'ECONNREFUSED';
		await fixture.clock.advanceAsync(10_000);
		assert.deepEqual(fixture.crashes, []);
		assert.equal(fixture.detector.hasNoUnansweredAttempts, true);
	});
}

test('unanswered attempts: a worker that cannot be reached shows nothing, also when it refuses connections later', async () => {
	const fixture = new Fixture();
	fixture.cancel(fixture.register('w1'), 'a');
	fixture.connectError = 'ETIMEDOUT';
	await fixture.clock.advanceAsync(300);
	fixture.connectError = 'ECONNREFUSED';
	await fixture.clock.advanceAsync(10_000);
	assert.deepEqual(fixture.crashes, []);
});

test('unanswered attempts: a worker that responds is not probed, another one at most every 1.5 s in the end', async () => {
	const fixture = new Fixture();
	const worker = fixture.register('w1');
	fixture.cancel(worker, 'a', 6000);
	for (let index = 0; index < 60; index++) {
		fixture.detector.recordResponse(worker);
		await fixture.clock.advanceAsync(100);
	}

	assert.equal(fixture.probeCount, 0);
	await fixture.clock.advanceAsync(4500);
	assert.ok(fixture.probeCount >= 2 && fixture.probeCount <= 3, `${fixture.probeCount} probes`);
});

test('unanswered attempts: of thousands of workers and requests few are kept, the latest of each worker', async () => {
	const fixture = new Fixture();
	for (let index = 0; index < 5000; index++) {
		fixture.cancel(fixture.register(`w${index}`), 'a');
		fixture.cancel(fixture.workers.get('w0')!, `r${index}`);
	}

	fixture.connectError = 'ECONNREFUSED';
	await fixture.clock.advanceAsync(300);
	assert.equal(fixture.crashes.length, 128);
	assert.deepEqual(fixture.crashes.find(([id]) => id === 'w0')?.[2], Array.from({length: 64}, (_, index) => `r${5000 - 64 + index}`));
});
