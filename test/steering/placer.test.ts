import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@apricotwood/clock';
import {
	AttemptOutcome, CacheState, PlacementAction, PlacementReason, RequestKind, type PlacementRequest, type WorkerRegistration,
} from '@apricotwood/steering';
import {
	makePlacer, makeRequest, makeRoute, makeWorker,
} from '../fixtures/workers.js';

const SIX_WORKERS = ['a1', 'a2', 'b1', 'b2', 'a1', 'b1'].map((zone, index) => makeWorker(`w${index}`, {zone}));

/** Adds in-flight requests to a worker. */
function occupy({load, fleet}: ReturnType<typeof makePlacer>, id: string, count: number): void {
	for (let index = 0; index < count; index++) {
		load.begin(fleet.get(id)!.hash);
	}
}

/** Places a request and records its object as sent to the worker. @returns the worker's id. */
function placeAndWarm(parts: ReturnType<typeof makePlacer>, req: PlacementRequest): string {
	const {worker} = parts.placer.place(req, 0);
	parts.objectCaches.record(worker!.hash, req.objectHash!);
	return worker!.registration.id;
}

test('placer: repeated requests for an object go to the worker where it is cached', () => {
	const parts = makePlacer(SIX_WORKERS);
	const first = placeAndWarm(parts, makeRequest());
	const repeated = parts.placer.place(makeRequest(), 10);
	assert.equal(repeated.worker?.registration.id, first);
	assert.equal(repeated.reason, PlacementReason.Cached);
});

test('placer: an object goes to a second worker only when the first has reached its load limit and the service is not overloaded', () => {
	const parts = makePlacer(SIX_WORKERS);
	const first = placeAndWarm(parts, makeRequest());
	occupy(parts, first, 8);
	assert.equal(parts.placer.place(makeRequest(), 10).worker?.registration.id, first, 'a short queue is faster than a worker without the object');
	occupy(parts, first, 4);
	const secondCopy = parts.placer.place(makeRequest(), 10);
	assert.equal(secondCopy.reason, PlacementReason.NewCopy);
	assert.notEqual(secondCopy.worker?.registration.id, first);
	for (const {id} of SIX_WORKERS) {
		occupy(parts, id, 6);
	}

	const overloaded = parts.placer.place(makeRequest(), 10);
	assert.notEqual(overloaded.action, PlacementAction.Send, 'requests for objects that are not cached would add to the overload');
});

// Every further copy takes the place of another object: with four workers an object the caches of a service thrash although two would fit.
test('placer: an object gets a further copy only if its share of the demand allows it beside the others', () => {
	for (const {objects, requestsPerRound, expected} of [
		{objects: 100, requestsPerRound: 1, expected: false},
		{objects: 40, requestsPerRound: 1, expected: true},
		{objects: 100, requestsPerRound: 10, expected: true},
	]) {
		const parts = makePlacer(SIX_WORKERS);
		const req = makeRequest({objectHash: 2_654_435});
		let home = '';
		for (let round = 0; round < 6; round++) {
			for (let count = 0; count < requestsPerRound; count++) {
				home = placeAndWarm(parts, req);
			}

			for (let object = 2; object <= objects; object++) {
				placeAndWarm(parts, makeRequest({objectHash: object * 2_654_435}));
			}
		}

		home = placeAndWarm(parts, req);
		occupy(parts, home, 12);
		const {reason} = parts.placer.place(req, 10);
		assert.equal(reason === PlacementReason.NewCopy, expected, `${objects} objects, this one requested ${requestsPerRound} times as often as the others: ${reason}`);
	}
});

// Otherwise a worker that joins while the others have free slots gets no objects until they are full, and its cache is empty then.
test('placer: a worker that joins gets a few objects although the others have free slots', () => {
	const parts = makePlacer(SIX_WORKERS);
	for (let object = 0; object < 90; object++) {
		placeAndWarm(parts, makeRequest({objectHash: object * 2_654_435}));
	}

	parts.fleet.put(makeWorker('joined', {bornMs: 7}), 100);
	let joined = 0;
	for (let round = 0; round < 3; round++) {
		for (let object = 0; object < 90; object++) {
			const {worker, reason} = parts.placer.place(makeRequest({objectHash: object * 2_654_435}), 200);
			parts.objectCaches.record(worker!.hash, object * 2_654_435);
			joined += Number(reason === PlacementReason.NewWorker);
		}
	}

	assert.equal(joined, 4);
});

test('placer: when all workers have reached their load limit, a request waits while it can meet its target and is rejected afterwards', () => {
	const parts = makePlacer([makeWorker('w')]);
	placeAndWarm(parts, makeRequest());
	occupy(parts, 'w', 12);
	assert.equal(parts.placer.place(makeRequest(), 10).action, PlacementAction.Wait);
	const late = parts.placer.place(makeRequest(), 390);
	assert.equal(late.action, PlacementAction.Reject);
	assert.equal(late.reason, PlacementReason.Late);
	assert.ok(late.availableInMs > 0);
});

test('placer: late requests do not displace requests that meet their target, but retries of callers are not starved', () => {
	const parts = makePlacer([makeWorker('w')]);
	placeAndWarm(parts, makeRequest());
	occupy(parts, 'w', 6);
	assert.equal(parts.placer.place(makeRequest({targetAtMs: 100}), 10).action, PlacementAction.Reject);
	assert.equal(parts.placer.place(makeRequest({targetAtMs: 100, isCallerRetry: true}), 10).reason, PlacementReason.CallerRetry);
	occupy(parts, 'w', 2);
	assert.notEqual(parts.placer.place(makeRequest({targetAtMs: 100, isCallerRetry: true}), 10).action, PlacementAction.Send);
	assert.equal(parts.placer.place(makeRequest(), 10).action, PlacementAction.Send);
});

// Guards against work for callers that no longer wait for the response.
test('placer: a request that cannot be answered before its deadline is not sent', () => {
	const parts = makePlacer([makeWorker('w')]);
	placeAndWarm(parts, makeRequest());
	for (const isCallerRetry of [false, true]) {
		assert.equal(parts.placer.place(makeRequest({targetAtMs: 50, deadlineAtMs: 100, isCallerRetry}), 10).action, PlacementAction.Reject);
		assert.equal(parts.placer.place(makeRequest({isCallerRetry}), 1300).action, PlacementAction.Reject);
	}
});

// Its slowdown was multiplied by the initial guess of the time for an object that is not cached; rejected requests could not correct it.
test('placer: an idle worker that has served in milliseconds is not too slow for a new object after responses of 30 and 60 ms', () => {
	const parts = makePlacer([makeWorker('w')]);
	const {hash} = parts.fleet.get('w')!;
	for (let index = 0; index < 100; index++) {
		parts.serviceTimes.record(makeRoute(), 'board', hash, CacheState.NotCached, 2, 0, 0);
	}

	for (const responseMs of [30, 60]) {
		parts.serviceTimes.record(makeRoute(), 'board', hash, CacheState.NotCached, responseMs, 0, 0);
		assert.equal(parts.placer.place(makeRequest(), 10).action, PlacementAction.Send);
	}

	// What the slowdown was measured against is estimated with it.
	assert.ok(parts.serviceTimes.estimateAt(hash, makeRoute(), 'board', 10).warmMs > parts.serviceTimes.estimate(makeRoute(), 'board').warmMs * 2);
});

test('placer: workers outside the home regions, excluded and unhealthy workers get no requests', () => {
	const parts = makePlacer(SIX_WORKERS);
	const inB = parts.placer.place(makeRequest({route: makeRoute({homeRegions: ['b']})}), 0);
	assert.equal(inB.worker?.region, 'b');
	const excludedIds = new Set(SIX_WORKERS.slice(1).map(({id}) => id));
	assert.equal(parts.placer.place(makeRequest({excludedIds}), 0).worker?.registration.id, 'w0');
	parts.health.recordAttempt(parts.fleet.get('w0')!.hash, AttemptOutcome.Unreachable, 0);
	const none = parts.placer.place(makeRequest({excludedIds}), 0);
	assert.equal(none.reason, PlacementReason.NoWorker);
});

test('placer: workers of the local region are preferred, more strongly for uploads', () => {
	const parts = makePlacer(SIX_WORKERS, {region: 'b'});
	const computeLocalRatio = (kind: RequestKind) => {
		let count = 0;
		for (let object = 0; object < 400; object++) {
			const {worker} = parts.placer.place(makeRequest({objectHash: object * 2_654_435, route: makeRoute({kind})}), 0);
			count += Number(worker?.region === 'b');
		}

		return count / 400;
	};

	assert.ok(computeLocalRatio(RequestKind.Idempotent) > 0.7, String(computeLocalRatio(RequestKind.Idempotent)));
	assert.ok(computeLocalRatio(RequestKind.Upload) > 0.9, String(computeLocalRatio(RequestKind.Upload)));
});

test('placer: workers that are warming up get requests only when all are, and at a limited rate', () => {
	const entries = [makeWorker('c0', {coldMs: 3000}), makeWorker('c1', {coldMs: 3000})];
	const partsWithWarmedUpWorker = makePlacer([...entries, makeWorker('w')], {hosts: 10, warmupPerSecond: 5.1});
	for (let object = 0; object < 50; object++) {
		assert.equal(partsWithWarmedUpWorker.placer.place(makeRequest({objectHash: object * 77_777}), 10).worker?.registration.id, 'w');
	}

	const partsWarmingUp = makePlacer(entries, {hosts: 10, warmupPerSecond: 5.1});
	let sent = 0;
	for (let nowMs = 0; nowMs < 3000; nowMs += 10) {
		const {action, reason} = partsWarmingUp.placer.place(makeRequest({randomKey: nowMs * 7919, deadlineAtMs: 5000}), nowMs);
		assert.ok(action === PlacementAction.Send || reason === PlacementReason.AllWarmingUp);
		sent += Number(action === PlacementAction.Send);
	}

	// The share of 1 host of 10: 2 workers at 5.1 requests per second for 3 seconds.
	assert.ok(sent >= 1 && sent <= 4, String(sent));
});

type RunningRequest = {worker: string; endMs: number};

/** Simulates a load on workers with slots and an LRU cache of 26 objects. @returns the ratio of requests that meet their target of 600 ms. */
function simulate(
	choose: (object: number, nowMs: number) => string | undefined,
	perSecond: (nowMs: number) => number,
	hooks: {begin: (id: string, object: number, nowMs: number) => void; end: (id: string) => void},
): number {
	const random = new SeededRandom(42);
	const running: RunningRequest[] = [];
	const slotFreeAtMs = new Map<string, number[]>(WORKERS.map(({id, slots}) => [id, Array.from<number>({length: slots}).fill(0)]));
	const caches = new Map<string, number[]>(WORKERS.map(({id}) => [id, []]));
	let onTime = 0;
	let requests = 0;
	for (let nowMs = 0; nowMs < 30_000; nowMs++) {
		for (let index = running.length - 1; index >= 0; index--) {
			if (running[index]!.endMs <= nowMs) {
				hooks.end(running[index]!.worker);
				running.splice(index, 1);
			}
		}

		if (random.next() >= perSecond(nowMs) / 1000) {
			continue;
		}

		requests++;
		const object = Math.floor(random.next() * 108);
		const id = choose(object, nowMs);
		if (id === undefined) {
			continue;
		}

		const cached = caches.get(id)!;
		const isCached = cached.includes(object);
		caches.set(id, [...cached.filter(other => other !== object), object].slice(-26));
		const slots = slotFreeAtMs.get(id)!;
		const slot = slots.indexOf(Math.min(...slots));
		const endMs = Math.max(nowMs, slots[slot]!) + (isCached ? 264 : 880);
		slots[slot] = endMs;
		running.push({worker: id, endMs});
		hooks.begin(id, object, nowMs);
		onTime += Number(endMs - nowMs <= 600);
	}

	return onTime / requests;
}

const WORKERS: readonly WorkerRegistration[] = Array.from({length: 16}, (_, index) => makeWorker(`w${index}`, {zone: ['a1', 'a2', 'b1', 'b2'][index % 4]}));

/** Simulates the load with the placer. @param onSend called with the worker of each request. */
function simulatePlacer(perSecond: (nowMs: number) => number, onSend: (id: string, nowMs: number) => void = () => {}): number {
	const parts = makePlacer(WORKERS);
	return simulate((object, nowMs) => {
		const {worker} = parts.placer.place(makeRequest({objectHash: object * 2_654_435, targetAtMs: nowMs + 600, deadlineAtMs: nowMs + 1200, waitUntilMs: nowMs}), nowMs);
		return worker?.registration.id;
	}, perSecond, {
		begin(id, object, nowMs) {
			onSend(id, nowMs);
			parts.load.begin(parts.fleet.get(id)!.hash);
			parts.objectCaches.record(parts.fleet.get(id)!.hash, object * 2_654_435);
		},
		end(id) {
			parts.load.end(parts.fleet.get(id)!.hash);
		},
	});
}

/** Simulates the load with a baseline that always chooses the worker with the fewest requests. */
function simulateLeastLoaded(perSecond: (nowMs: number) => number): number {
	const counts = new Map<string, number>(WORKERS.map(({id}) => [id, 0]));
	return simulate(() => [...counts].toSorted((a, b) => a[1] - b[1])[0]![0], perSecond, {
		begin(id) {
			counts.set(id, counts.get(id)! + 1);
		},
		end(id) {
			counts.set(id, counts.get(id)! - 1);
		},
	});
}

for (const [name, perSecond, minRatio] of [
	['a steady load that needs warm caches', () => 200, 0.85],
	['a load that varies as a sine wave', (nowMs: number) => 200 * (1 + (0.4 * Math.sin(nowMs / 4000))), 0.85],
	['a burst above the capacity of workers with warm caches', (nowMs: number) => nowMs > 12_000 && nowMs < 16_000 ? 420 : 180, 0.7],
] as const) {
	test(`placer: ${name}: more requests meet their target than with the least-loaded worker`, () => {
		const placerRatio = simulatePlacer(perSecond);
		const leastLoadedRatio = simulateLeastLoaded(perSecond);
		assert.ok(placerRatio >= minRatio, `placer ${placerRatio.toFixed(3)}`);
		assert.ok(placerRatio > leastLoadedRatio + 0.2, `placer ${placerRatio.toFixed(3)}, least-loaded ${leastLoadedRatio.toFixed(3)}`);
	});
}

test('placer: the share of requests sent to a region changes by at most 0.15 between windows of 2 s', () => {
	const windows: Array<{regionA: number; all: number}> = [];
	const zones = new Map(WORKERS.map(({id, zone}) => [id, zone]));
	simulatePlacer(nowMs => 190 * (1 + (0.5 * Math.sin(nowMs / 5700))), (id, nowMs) => {
		const index = Math.floor(nowMs / 2000);
		const window = windows[index] ?? {regionA: 0, all: 0};
		windows[index] = window;
		window.all++;
		window.regionA += Number(zones.get(id)!.startsWith('a'));
	});
	for (const [index, {regionA, all}] of windows.entries()) {
		const before = windows[index - 1];
		if (before) {
			const change = Math.abs((regionA / all) - (before.regionA / before.all));
			assert.ok(change <= 0.15, `window ${index}: ${change.toFixed(3)}`);
		}
	}
});

test('placer: a worker that names a rate limit gets its share, and the others get the rest', () => {
	const parts = makePlacer(SIX_WORKERS);
	const limited = parts.fleet.get(SIX_WORKERS[0]!.id)!;
	parts.rateLimits.recordResponse(limited.hash, 2, 0);
	let sentCount = 0;
	for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
		const object = (nowMs / 50) % 20;
		const {worker} = parts.placer.place(makeRequest({objectHash: object * 2_654_435, targetAtMs: nowMs + 600, deadlineAtMs: nowMs + 1200}), nowMs);
		assert.ok(worker);
		parts.objectCaches.record(worker.hash, object * 2_654_435);
		sentCount += Number(worker === limited);
	}

	assert.ok(sentCount >= 10 && sentCount <= 21, `${sentCount} in 10 s`);
});

/** Sends requests for 20 s while one worker names a limit and is slower than the others. @returns the times at which it got one, ms. */
function listRequestsToLimited(perSecond: number): number[] {
	const parts = makePlacer(SIX_WORKERS);
	const limited = parts.fleet.get(SIX_WORKERS[0]!.id)!;
	for (let object = 0; object < 20; object++) {
		for (const {hash} of parts.fleet.all()) {
			parts.objectCaches.record(hash, object * 2_654_435);
		}
	}

	const sentAtMs: number[] = [];
	parts.rateLimits.recordResponse(limited.hash, perSecond, 0);
	for (let nowMs = 0; nowMs < 20_000; nowMs += 50) {
		parts.serviceTimes.recordOverdue(limited.hash, 1.5, nowMs);
		const object = (nowMs / 50) % 20;
		const {worker} = parts.placer.place(makeRequest({objectHash: object * 2_654_435, targetAtMs: nowMs + 600, deadlineAtMs: nowMs + 1200}), nowMs);
		assert.ok(worker);
		if (worker === limited) {
			sentAtMs.push(nowMs);
		}
	}

	return sentAtMs;
}

test('placer: a worker that names a rate limit and is slower than the others is still asked whether the limit applies', () => {
	const sentAtMs = listRequestsToLimited(2);
	assert.ok(sentAtMs.length >= 5 && sentAtMs.length <= 10, `asked at ${sentAtMs.join(', ')} ms`);
});

// Hosts believed in a limit that no longer applied for up to 3 s, and rejected requests when the others had gone.
test('placer: whatever its limit, a worker that is slower than the others is asked every 2 s', () => {
	for (const perSecond of [1.05, 2, 10]) {
		const sentAtMs = listRequestsToLimited(perSecond);
		const gapsMs = sentAtMs.slice(1).map((atMs, index) => atMs - sentAtMs[index]!);
		assert.ok(sentAtMs.length >= 5 && Math.max(...gapsMs) <= 2000, `${perSecond}: asked at ${sentAtMs.join(', ')} ms`);
	}
});

test('placer: when all workers name rate limits, a request waits only if its turn comes in time, and is rejected at once otherwise', () => {
	const parts = makePlacer([makeWorker('w')]);
	const {hash} = parts.fleet.get('w')!;
	parts.rateLimits.recordResponse(hash, 2, -5000);
	assert.equal(parts.placer.place(makeRequest({objectHash: undefined}), 0).action, PlacementAction.Send);
	// The next turn comes within 500 ms, each later one 500 ms after the one before.
	const waiting = parts.placer.place(makeRequest({objectHash: undefined, targetAtMs: 1000, waitUntilMs: 600}), 10);
	assert.equal(waiting.action, PlacementAction.Wait);
	assert.equal(waiting.reason, PlacementReason.RateLimited);
	for (const fields of [{waitingBefore: 1}, {targetAtMs: 200}, {waitUntilMs: 100}]) {
		const rejected = parts.placer.place(makeRequest({
			objectHash: undefined, targetAtMs: 1000, waitUntilMs: 600, ...fields,
		}), 10);
		assert.equal(rejected.action, PlacementAction.Reject, JSON.stringify(fields));
		assert.equal(rejected.reason, PlacementReason.RateLimited);
		assert.ok(rejected.availableInMs >= 200, `available in ${rejected.availableInMs} ms`);
	}

	assert.equal(parts.placer.place(makeRequest({objectHash: undefined, targetAtMs: 1200}), 600).action, PlacementAction.Send);
});
