import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeClock, SeededRandom} from '@apricotwood/clock';
import {
	SourcePoller, ReplicatedState, type ReaderRank, type SteeringSource,
} from '@apricotwood/entry';
import {Metrics, NOOP_LOG} from '@apricotwood/telemetry';
import {REGION_BY_ZONE, makeWorker} from '../fixtures/workers.js';

/** Source that can be set to fail or never to respond. */
class FakeSource implements SteeringSource {
	reads = 0;
	mode: 'healthy' | 'failing' | 'hanging' = 'healthy';
	#revision = 1;

	async readWorkers(_after: number | undefined, signal: AbortSignal) {
		this.reads++;
		await this.#answer(signal);
		return {revision: ++this.#revision, isWhole: true, changed: [makeWorker('w')], removed: []};
	}

	async readOperations(_after: number | undefined, signal: AbortSignal) {
		await this.#answer(signal);
		return {
			revision: ++this.#revision, isWhole: true, config: undefined, evacuate: [], restore: [],
		};
	}

	async register() {
		return {epoch: 0, hasEarlierStart: false};
	}

	async readHosts() {
		return [];
	}

	async #answer(signal: AbortSignal): Promise<void> {
		if (this.mode === 'failing') {
			throw new Error('source is busy');
		}

		if (this.mode === 'hanging') {
			await new Promise((_resolve, reject) => {
				signal.addEventListener('abort', () => {
					reject(signal.reason as Error);
				});
			});
		}
	}
}

const FIRST_RANK: ReaderRank = {overall: 0, inZone: 0, zoneSize: 1};

function makePoller(rank = FIRST_RANK) {
	const clock = new FakeClock();
	const source = new FakeSource();
	const state = new ReplicatedState(clock, NOOP_LOG, new Metrics(), {onWorkerStart() {}, onWorkerRemoved() {}, onUpdateApplied() {}}, REGION_BY_ZONE);
	const changeTimes: number[] = [];
	const poller = new SourcePoller({
		clock,
		random: new SeededRandom(1),
		log: NOOP_LOG,
		metrics: new Metrics(),
		source,
		state,
		rank: () => rank,
		onStateChange() {
			changeTimes.push(clock.monotonic());
		},
	});
	return {
		clock, source, state, poller, changeTimes,
	};
}

test('source poller: the host of rank 0 reads twice a second and reports only changes', async () => {
	const {clock, source, state, poller, changeTimes} = makePoller();
	const stop = new AbortController();
	const run = poller.run(stop.signal);
	await clock.advanceAsync(5000);
	assert.ok(source.reads >= 9 && source.reads <= 11, String(source.reads));
	assert.equal(changeTimes.length, 1);
	assert.ok(state.ageMs() < 600);
	stop.abort();
	await run;
});

test('source poller: a host of higher rank reads only once its state gets too old', async () => {
	const {clock, source, state, poller} = makePoller({overall: 3, inZone: 3, zoneSize: 5});
	const stop = new AbortController();
	const run = poller.run(stop.signal);
	await clock.advanceAsync(100);
	assert.equal(source.reads, 1, 'the initial state is empty');
	for (let step = 0; step < 20; step++) {
		await clock.advanceAsync(200);
		const {operations, workers} = state.reportStatus();
		state.compareWithPeer({...operations, ageMs: 300}, {...workers, ageMs: 300});
	}

	assert.equal(source.reads, 1, 'peers keep the state fresh');
	await clock.advanceAsync(1500);
	assert.equal(source.reads, 2);
	stop.abort();
	await run;
});

for (const mode of ['failing', 'hanging'] as const) {
	test(`source poller: reads of a source that ${mode === 'failing' ? 'fails' : 'does not respond'} back off and resume soon after it recovers`, async () => {
		const {clock, source, poller} = makePoller();
		const stop = new AbortController();
		source.mode = mode;
		const run = poller.run(stop.signal);
		await clock.advanceAsync(10_000);
		assert.ok(source.reads >= 3 && source.reads <= 13, String(source.reads));
		assert.equal(poller.isFailing, true);
		source.mode = 'healthy';
		await clock.advanceAsync(3000);
		assert.equal(poller.isFailing, false);
		stop.abort();
		await run;
	});
}
