import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {FakeClock} from '@apricotwood/clock';
import {CrashDetector, type Connector} from '@apricotwood/entry';
import {WorkerState, type Worker} from '@apricotwood/steering';
import {NOOP_LOG} from '@apricotwood/telemetry';
import {makeWorker} from '../fixtures/workers.js';

type Fixture = {
	readonly detector: CrashDetector;
	/** Workers and fingerprints of the crashes reported. */
	readonly crashes: Array<readonly [string, readonly string[]]>;
	/** Ends the attempt to connect, with the code of an error if it failed. */
	readonly answer: (code: string | undefined) => Promise<void>;
	isPathInDoubt: boolean;
};

function createFixture(): Fixture {
	let callback: Parameters<Connector>[1] | undefined;
	const connector: Connector = (_options, onEnd) => {
		callback = onEnd;
	};

	const crashes: Array<readonly [string, readonly string[]]> = [];
	const fixture: Fixture = {
		crashes,
		isPathInDoubt: false,
		async answer(code) {
			if (code === undefined) {
				callback?.(null, {destroy() {}} as never);
			} else {
				callback?.(Object.assign(new Error(code), {code}), null);
			}

			await nextTurn();
		},
		detector: new CrashDetector({
			clock: new FakeClock(),
			connector,
			log: NOOP_LOG,
			findWorker: () => undefined,
			isLeaving: ({registration: {state}}) => state !== WorkerState.Ready,
			isPathInDoubt: () => fixture.isPathInDoubt,
			onCrash(worker, fingerprints) {
				crashes.push([worker.registration.id, fingerprints]);
			},
		}),
	};
	return fixture;
}

function createWorker(state = WorkerState.Ready): Worker {
	return {
		registration: makeWorker('w1', {state}), hash: 1, region: 'a', warmupEndMs: 0, warmupReferenceMs: 0, removeAtMs: undefined,
	};
}

test('crash detector: a worker that refuses the next connection has crashed, with all requests that broke meanwhile', async () => {
	const {detector, crashes, answer} = createFixture();
	detector.recordBrokenConnection(createWorker(), 'a');
	detector.recordBrokenConnection(createWorker(), 'b');
	await answer('ECONNREFUSED');
	assert.deepEqual(crashes, [['w1', ['a', 'b']]]);
});

for (const code of [undefined, 'ETIMEDOUT', 'ECONNRESET', 'UND_ERR_CONNECT_TIMEOUT']) {
	test(`crash detector: a connection that broke is no crash if the next one ends with ${code ?? 'success'}`, async () => {
		const {detector, crashes, answer} = createFixture();
		detector.recordBrokenConnection(createWorker(), 'a');
		await answer(code);
		assert.deepEqual(crashes, []);
	});
}

test('crash detector: a worker that drains is expected to end', async () => {
	const {detector, crashes, answer} = createFixture();
	detector.recordBrokenConnection(createWorker(WorkerState.Draining), 'a');
	await answer('ECONNREFUSED');
	assert.deepEqual(crashes, []);
});

for (const [isIsolated, expected] of [[false, [['w1', ['a']]]], [true, []]] as const) {
	test(`crash detector: while the path is in doubt a refusal is held back, and ${isIsolated ? 'dropped if this host is isolated' : 'reported if it reaches others'}`, async () => {
		const fixture = createFixture();
		fixture.isPathInDoubt = true;
		fixture.detector.recordBrokenConnection(createWorker(), 'a');
		await fixture.answer('ECONNREFUSED');
		assert.deepEqual(fixture.crashes, []);
		fixture.detector.settle(isIsolated);
		fixture.detector.settle(false);
		assert.deepEqual(fixture.crashes, expected);
	});
}
