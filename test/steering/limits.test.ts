import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@apricotwood/clock';
import {
	Fleet, RetryBudget, TrafficSplitter, WarmupLimiter,
} from '@apricotwood/steering';
import {REGION_BY_ZONE, makeRoute, makeWorker} from '../fixtures/workers.js';

/** Maximum number of events within any window of `windowMs`. */
function countMaxInWindow(timesMs: readonly number[], windowMs: number): number {
	const sorted = timesMs.toSorted((a, b) => a - b);
	let maxCount = 0;
	let start = 0;
	for (let index = 0; index < sorted.length; index++) {
		while (sorted[index]! - sorted[start]! >= windowMs) {
			start++;
		}

		maxCount = Math.max(maxCount, index - start + 1);
	}

	return maxCount;
}

for (const [hosts, warmupPerSecond] of [[1, 5.1], [3, 5.1], [10, 5.1], [16, 5.1], [10, 13], [87, 5.1]] as const) {
	test(`warm-up limiter: ${hosts} hosts without coordination send a worker that is warming up at most 1.5 times ${warmupPerSecond} plus 5 requests in any second`, () => {
		// The required bound is 1.5 times the rate plus 5, in any second.
		const bound = (warmupPerSecond * 1.5) + 5;
		for (let seed = 1; seed <= 20; seed++) {
			const random = new SeededRandom(seed);
			const sent: number[] = [];
			for (let host = 0; host < hosts; host++) {
				const fleet = new Fleet(REGION_BY_ZONE);
				// Hosts discover the worker within 800 ms of each other.
				const seenMs = 1000 + (random.next() * 800);
				fleet.put(makeWorker('w', {coldMs: 3000}), seenMs);
				const worker = fleet.get('w')!;
				const limiter = new WarmupLimiter(Math.floor(random.next() * (2 ** 32)));
				for (let nowMs = seenMs; nowMs < worker.warmupEndMs; nowMs += 5) {
					if (limiter.canSend(worker, warmupPerSecond, hosts, nowMs)) {
						limiter.recordSend(worker, warmupPerSecond, hosts, nowMs);
						sent.push(nowMs);
					}
				}
			}

			assert.ok(countMaxInWindow(sent, 1000) <= bound, `seed ${seed}: ${countMaxInWindow(sent, 1000)} in one second`);
		}
	});
}

for (const hosts of [1, 3, 10]) {
	test(`retry budget: ${hosts} hosts together stay within the bound for the busiest of three windows while every request fails`, () => {
		const bounds = {ratio: 0.2, extra: 60, windowMs: 10_000};
		for (let seed = 1; seed <= 10; seed++) {
			const random = new SeededRandom(seed);
			const requests: number[] = [];
			const retries: number[] = [];
			const budgets = Array.from({length: hosts}, () => new RetryBudget(bounds));
			for (let nowMs = 0; nowMs < 40_000; nowMs += 5) {
				// The request rate varies as a sine wave.
				if (random.next() > 0.5 + (0.45 * Math.sin(nowMs / 4000))) {
					continue;
				}

				const budget = budgets[Math.floor(random.next() * hosts)]!;
				budget.recordRequest('board', nowMs);
				requests.push(nowMs);
				if (budget.tryTake('board', hosts, nowMs)) {
					retries.push(nowMs);
				}
			}

			for (let from = 0; from < 30_000; from += 250) {
				const inWindow = (timesMs: readonly number[], startMs: number) => timesMs.filter(atMs => atMs >= startMs && atMs < startMs + bounds.windowMs).length;
				// The budget allows a retry by the requests of the 10 s before it, so those before `from` count as well.
				const maxRequests = Math.max(inWindow(requests, from), inWindow(requests, from - 5000), inWindow(requests, from - 10_000));
				assert.ok(inWindow(retries, from) <= (maxRequests * bounds.ratio) + bounds.extra, `seed ${seed}, from ${from}`);
			}

			assert.ok(retries.length > requests.length * 0.1, 'the budget allows a useful number of retries');
		}
	});
}

// BUDGET (review/9): hosts that were killed together began their retry budgets anew.
for (const restartsMs of [[14_000], [14_000, 17_000, 20_000]]) {
	test(`retry budget: the bound holds when all hosts start again after ${restartsMs.join(', ')} ms`, () => {
		const bounds = {ratio: 0.2, extra: 60, windowMs: 10_000};
		const hosts = 4;
		const failureStartMs = 10_000;
		const endMs = 40_000;
		const requests: number[] = [];
		const retries: number[] = [];
		let budgets = Array.from({length: hosts}, () => new RetryBudget(bounds));
		for (let nowMs = 0; nowMs < endMs; nowMs += 5) {
			if (restartsMs.includes(nowMs)) {
				budgets = budgets.map(() => new RetryBudget(bounds, nowMs + bounds.windowMs));
			}

			const budget = budgets[(nowMs / 5) % hosts]!;
			budget.recordRequest('board', nowMs);
			requests.push(nowMs);
			if (nowMs >= failureStartMs && budget.tryTake('board', hosts, nowMs)) {
				retries.push(nowMs);
			}
		}

		const allowed = (bounds.ratio * bounds.windowMs / 5) + bounds.extra;
		assert.ok(countMaxInWindow(retries, bounds.windowMs) <= allowed, `${countMaxInWindow(retries, bounds.windowMs)} retries in a window, ${allowed} allowed`);
		assert.ok(retries.some(atMs => atMs > restartsMs.at(-1)! + bounds.windowMs), 'retries are allowed again');
	});
}

test('retry budget: one that is closed until the window of an earlier process is over can be opened before', () => {
	const budget = new RetryBudget({ratio: 0.2, extra: 60, windowMs: 10_000}, 10_000);
	assert.equal(budget.tryTake('board', 1, 9999), false);
	assert.equal(budget.tryTake('board', 1, 10_000), true);
	const opened = new RetryBudget({ratio: 0.2, extra: 60, windowMs: 10_000}, 10_000);
	opened.open();
	assert.equal(opened.tryTake('board', 1, 0), true);
});

for (const [name, shares] of [['50/50', [50, 50]], ['90/10', [90, 10]], ['60/25/15', [60, 25, 15]]] as const) {
	for (const objects of [8, 24, 72]) {
		test(`traffic splitter: shares of ${name} over ${objects} objects are met within 0.1, and most requests for an object go to one service`, () => {
			const route = makeRoute({shares: shares.map((weight, index) => ({service: `s${index}`, weight}))});
			const splitter = new TrafficSplitter();
			const random = new SeededRandom(objects);
			const counts = new Map<string, number>();
			const countsByObject = new Map<string, Map<string, number>>();
			for (let index = 0; index < 600; index++) {
				const object = String(Math.floor(random.next() * objects));
				const service = splitter.chooseService(route, object, random.next());
				counts.set(service, (counts.get(service) ?? 0) + 1);
				const objectCounts = countsByObject.get(object) ?? new Map<string, number>();
				objectCounts.set(service, (objectCounts.get(service) ?? 0) + 1);
				countsByObject.set(object, objectCounts);
			}

			for (const [index, weight] of shares.entries()) {
				const share = (counts.get(`s${index}`) ?? 0) / 600;
				assert.ok(Math.abs(share - (weight / 100)) < 0.1, `s${index}: ${share}`);
			}

			let mainServiceCount = 0;
			for (const objectCounts of countsByObject.values()) {
				mainServiceCount += Math.max(...objectCounts.values());
			}

			assert.ok(mainServiceCount / 600 > 0.7, `ratio of requests to the main service of their object: ${mainServiceCount / 600}`);
		});
	}
}
