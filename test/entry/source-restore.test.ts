import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeClock, SeededRandom} from '@apricotwood/clock';
import {
	MemberList, Registration, ReplicatedState, composeRevision, getEpoch, getVersion, type WorkersUpdate,
} from '@apricotwood/entry';
import {
	DEFAULT_CALLER_LIMITS, WorkerState, type SteeringConfig, type WorkerRegistration,
} from '@apricotwood/steering';
import {Metrics, NOOP_LOG} from '@apricotwood/telemetry';
import {REGION_BY_ZONE, makeRoute, makeWorker} from '../fixtures/workers.js';

/** Longer than the grace period for what is written again after a restore. */
const GRACE_MS = 2500;

function makeState(clock: FakeClock): ReplicatedState {
	return new ReplicatedState(clock, NOOP_LOG, new Metrics(), {onWorkerStart() {}, onWorkerRemoved() {}, onUpdateApplied() {}}, REGION_BY_ZONE);
}

function makeConfig(version: number, prefix = '/a/'): SteeringConfig {
	return {
		version, routes: [makeRoute({prefix})], services: [], limits: DEFAULT_CALLER_LIMITS,
	};
}

function makeWhole(revision: number, changed: readonly WorkerRegistration[]): WorkersUpdate {
	return {
		revision, isWhole: true, changed, removed: [],
	};
}

test('revision: every revision of a later epoch is greater, and epoch and version can be read back', () => {
	assert.ok(composeRevision(1, 0) > composeRevision(0, 1e11));
	const revision = composeRevision(37, 123_456_789_012);
	assert.deepEqual([getEpoch(revision), getVersion(revision)], [37, 123_456_789_012]);
	assert.ok(Number.isSafeInteger(composeRevision(8191, 1e12)));
});

test('source restore: a worker that is draining or gone is not ready again because the copy says so', () => {
	const clock = new FakeClock();
	const state = makeState(clock);
	const old = [makeWorker('draining', {sequence: 4}), makeWorker('gone', {sequence: 4}), makeWorker('restarted', {sequence: 9, bornMs: 1})];
	state.applyWorkers(makeWhole(10, old), clock.monotonic());
	state.applyWorkers({
		revision: 11, isWhole: false, changed: [makeWorker('draining', {sequence: 5, state: WorkerState.Draining}), makeWorker('restarted', {sequence: 1, bornMs: 2, address: '127.0.0.1:2'})], removed: ['gone'],
	}, clock.monotonic());
	state.applyWorkers(makeWhole(composeRevision(1, 10), old), clock.monotonic());
	assert.equal(state.fleet.get('draining')?.registration.state, WorkerState.Draining);
	assert.equal(state.fleet.get('gone'), undefined);
	assert.equal(state.fleet.get('restarted')?.registration.address, '127.0.0.1:2');
});

test('source restore: a removed worker that reports again is used', () => {
	const clock = new FakeClock();
	const state = makeState(clock);
	state.applyWorkers(makeWhole(10, [makeWorker('w', {sequence: 4})]), clock.monotonic());
	state.applyWorkers({
		revision: 11, isWhole: false, changed: [], removed: ['w'],
	}, clock.monotonic());
	state.applyWorkers(makeWhole(composeRevision(1, 9), [makeWorker('w', {sequence: 3})]), clock.monotonic());
	assert.equal(state.fleet.get('w'), undefined);
	state.applyWorkers({
		revision: composeRevision(1, 12), isWhole: false, changed: [makeWorker('w', {sequence: 6})], removed: [],
	}, clock.monotonic());
	assert.ok(state.fleet.get('w'));
});

for (const isFromPeer of [false, true]) {
	test(`source restore: a worker that the copy lacks is kept until it should have reported again, ${isFromPeer ? 'learned from a peer' : 'read from the source'}`, () => {
		const clock = new FakeClock();
		const state = makeState(clock);
		state.applyWorkers(makeWhole(10, [makeWorker('live'), makeWorker('dead')]), clock.monotonic());
		clock.advance(400);
		state.applyWorkers(makeWhole(composeRevision(1, 3), []), clock.monotonic(), undefined, isFromPeer);
		state.sweep();
		assert.ok(state.fleet.get('live') && state.fleet.get('dead'));
		state.applyWorkers({
			revision: composeRevision(1, 4), isWhole: false, changed: [makeWorker('live', {sequence: 8})], removed: [],
		}, clock.monotonic());
		clock.advance(GRACE_MS);
		state.sweep();
		assert.ok(state.fleet.get('live'));
		assert.equal(state.fleet.get('dead'), undefined);
	});
}

test('source restore: an evacuation that the copy lacks stays in force until it should have been written again', () => {
	const clock = new FakeClock();
	const state = makeState(clock);
	const evacuated = () => [...state.fleet.evacuatedZones].toSorted();
	state.applyOperations({
		revision: 10, isWhole: true, config: makeConfig(1), evacuate: ['a1', 'b1'], restore: [],
	}, clock.monotonic());
	state.applyOperations({
		revision: composeRevision(1, 5), isWhole: true, config: makeConfig(1), evacuate: [], restore: [],
	}, clock.monotonic());
	assert.deepEqual(evacuated(), ['a1', 'b1']);
	state.applyOperations({
		revision: composeRevision(1, 6), isWhole: false, config: undefined, evacuate: ['a1'], restore: [],
	}, clock.monotonic());
	clock.advance(GRACE_MS);
	state.sweep();
	assert.deepEqual(evacuated(), ['a1']);
	state.applyOperations({
		revision: composeRevision(1, 7), isWhole: false, config: undefined, evacuate: [], restore: ['a1'],
	}, clock.monotonic());
	assert.deepEqual(evacuated(), []);
});

test('source restore: an older configuration of the copy does not replace the one in force, one written again with the same version does', () => {
	const clock = new FakeClock();
	const state = makeState(clock);
	const apply = (revision: number, isWhole: boolean, config: SteeringConfig) => {
		state.applyOperations({
			revision, isWhole, config, evacuate: [], restore: [],
		}, clock.monotonic());
	};

	apply(10, true, makeConfig(7, '/old/'));
	apply(composeRevision(1, 5), true, makeConfig(6));
	assert.equal(state.table?.version, 7);
	apply(composeRevision(1, 6), false, makeConfig(7, '/new/'));
	assert.equal(state.table?.config.routes[0]?.prefix, '/new/');
	apply(composeRevision(1, 7), false, makeConfig(6));
	assert.equal(state.table?.version, 7);
});

test('source restore: a configuration that was replaced under the same version spreads to the other hosts', () => {
	const clock = new FakeClock();
	const [reader, other] = [makeState(clock), makeState(clock)];
	const apply = (state: ReplicatedState, revision: number, config: SteeringConfig) => {
		state.applyOperations({
			revision, isWhole: true, config, evacuate: [], restore: [],
		}, clock.monotonic());
	};

	apply(reader, 10, makeConfig(7, '/old/'));
	apply(other, 10, makeConfig(7, '/old/'));
	apply(reader, composeRevision(1, 4), makeConfig(7, '/new/'));
	for (const [from, to] of [[reader, other], [other, reader]] as const) {
		const {operations, workers} = to.reportStatus();
		const request = from.compareWithPeer(operations, workers);
		if (request) {
			from.applyCatchUp(to.buildCatchUpResponse(request.operations, request.workers), clock.monotonic());
		}
	}

	assert.deepEqual([reader, other].map(state => state.table?.config.routes[0]?.prefix), ['/new/', '/new/']);
});

test('source restore: a host registers again once it knows of a later epoch, also after failed attempts', async () => {
	const clock = new FakeClock();
	const self = {
		id: 'h', ip: '10.0.0.1', peerPort: 1, callerAddress: '10.0.0.1:2', zone: 'a1', region: 'a', startedMs: 1,
	};
	let epoch = 0;
	let isDown = true;
	const registeredEpochs: number[] = [];
	const registration = new Registration({
		clock,
		log: NOOP_LOG,
		self,
		members: new MemberList(self),
		source: {
			async readWorkers() {
				throw new Error('not used');
			},
			async readOperations() {
				throw new Error('not used');
			},
			async register() {
				if (isDown) {
					throw new Error('down');
				}

				registeredEpochs.push(epoch);
				return {epoch, hasEarlierStart: false};
			},
			readHosts: async () => [],
		},
		getEpoch: () => epoch,
		onRegistered() {},
		onFailure() {},
		onAttempt() {},
	});
	const stop = new AbortController();
	const running = registration.run(stop.signal);
	const advance = async (ms: number) => {
		for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
			clock.advance(50);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	};

	await advance(1000);
	isDown = false;
	await advance(3000);
	assert.deepEqual(registeredEpochs, [0]);
	isDown = true;
	epoch = 1;
	await advance(1000);
	isDown = false;
	await advance(3000);
	assert.deepEqual(registeredEpochs, [0, 1]);
	stop.abort();
	await advance(300);
	await running;
});

/** Source with an operator and workers that write again what a restore has lost. */
class RestorableSource {
	epoch = 0;
	version = 1;
	readonly written = new Map<string, WorkerRegistration>();
	configVersion = 1;
	stored = {workers: new Map<string, WorkerRegistration>(), configVersion: 1, version: 1};
	copy = {workers: new Map<string, WorkerRegistration>(), configVersion: 1, version: 1};

	/** Writes the present truth, also what was lost. */
	write(): void {
		this.stored = {workers: new Map(this.written), configVersion: this.configVersion, version: this.stored.version + 1};
	}

	makeCopy(): void {
		this.copy = {...this.stored, workers: new Map(this.stored.workers)};
	}

	restore(): void {
		this.stored = {...this.copy, workers: new Map(this.copy.workers)};
		this.epoch++;
	}

	readInto(state: ReplicatedState, nowMs: number): void {
		const revision = composeRevision(this.epoch, this.stored.version);
		state.applyOperations({
			revision, isWhole: true, config: makeConfig(this.stored.configVersion), evacuate: [], restore: [],
		}, nowMs);
		state.applyWorkers(makeWhole(revision, [...this.stored.workers.values()]), nowMs);
	}
}

for (let seed = 1; seed <= 40; seed++) {
	test(`source restore: hosts in different epochs never use an outdated report or configuration, and agree in the end, seed ${seed}`, () => {
		const clock = new FakeClock();
		const random = new SeededRandom(seed);
		const source = new RestorableSource();
		const states = Array.from({length: 3}, () => makeState(clock));
		const pick = () => states[Math.floor(random.next() * states.length)]!;
		const ask = (from: ReplicatedState, to: ReplicatedState) => {
			const {operations, workers} = to.reportStatus();
			const request = from.compareWithPeer(operations, workers);
			if (request) {
				from.applyCatchUp(to.buildCatchUpResponse(request.operations, request.workers), clock.monotonic());
			}
		};

		const versionsSeen = new Map<ReplicatedState, number>();
		const drainedSeen = new Map<ReplicatedState, Map<string, number>>();
		const check = () => {
			for (const state of states) {
				const version = state.table?.version ?? 0;
				assert.ok(version >= (versionsSeen.get(state) ?? 0), 'configuration in force went back');
				versionsSeen.set(state, version);
				const drained = drainedSeen.get(state) ?? new Map<string, number>();
				drainedSeen.set(state, drained);
				for (const {registration: {id, sequence, state: workerState}} of state.fleet.all()) {
					if (workerState === WorkerState.Draining) {
						drained.set(id, Math.max(sequence, drained.get(id) ?? 0));
					} else {
						assert.ok(sequence > (drained.get(id) ?? -1), `worker ${id} is ready again by an outdated report`);
					}
				}
			}
		};

		let sequence = 0;
		for (let step = 0; step < 150; step++) {
			clock.advance(100);
			sequence++;
			const id = `w${Math.floor(random.next() * 6)}`;
			const draw = random.next();
			if (draw < 0.5) {
				const known = source.written.get(id);
				// A worker that drains never becomes ready again.
				const isDraining = known?.state === WorkerState.Draining || random.next() < 0.2;
				source.written.set(id, makeWorker(id, {sequence, state: isDraining ? WorkerState.Draining : WorkerState.Ready}));
				source.write();
			} else if (draw < 0.6) {
				source.configVersion++;
				source.write();
			} else if (draw < 0.7) {
				source.makeCopy();
			} else if (draw < 0.77) {
				source.restore();
			}

			if (random.next() < 0.4) {
				source.readInto(pick(), clock.monotonic());
			}

			ask(pick(), pick());
			for (const state of states) {
				state.sweep();
			}

			check();
		}

		for (let round = 0; round < 60; round++) {
			clock.advance(100);
			source.write();
			source.readInto(states[round % 3]!, clock.monotonic());
			for (const from of states) {
				from.sweep();
				for (const to of states) {
					ask(from, to);
				}
			}

			check();
		}

		for (const state of states) {
			assert.equal(state.table?.version, source.configVersion);
			assert.deepEqual(
				Array.from(state.fleet.all(), ({registration: {id, state: workerState}}) => `${id} ${workerState}`).toSorted(),
				Array.from(source.written.values(), ({id, state: workerState}) => `${id} ${workerState}`).toSorted(),
			);
		}
	});
}
