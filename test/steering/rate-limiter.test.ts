import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@apricotwood/clock';
import {
	Fleet, RateLimitTracker, WorkerRateLimiter, type SendingHost, type Worker,
} from '@apricotwood/steering';
import {REGION_BY_ZONE, makeWorker} from '../fixtures/workers.js';

const WINDOW_MS = 4000;
/** Time after which all hosts have learned of a limit, ms; the platform allows some seconds. */
const LEARNING_MS = 1500;
const STEP_MS = 10;

type SimulatedHost = SendingHost & {
	readonly limits: RateLimitTracker;
	readonly limiter: WorkerRateLimiter;
	/** Hosts that this one takes for ready. */
	known: SendingHost[];
	/** Number of these and of hosts that fell silent. */
	recentCount: number;
	isRunning: boolean;
};

function createWorker(): Worker {
	const fleet = new Fleet(REGION_BY_ZONE);
	fleet.put(makeWorker('w'), 0);
	return fleet.get('w')!;
}

function createHosts(random: SeededRandom, count: number): SimulatedHost[] {
	const hosts = Array.from({length: count}, (_, index): SimulatedHost => {
		const limits = new RateLimitTracker();
		const host: SimulatedHost = {
			hash: Math.floor(random.next() * (2 ** 32)), region: ['a', 'b', 'c'][index % 3]!, limits, limiter: undefined!, known: [], recentCount: 0, isRunning: true,
		};
		return Object.assign(host, {limiter: new WorkerRateLimiter(host.hash, limits, () => ({ready: host.known, recentCount: host.recentCount}))});
	});
	for (const host of hosts) {
		host.known = hosts;
	}

	return hosts;
}

/** Lets every host send whenever it may. @returns times of the requests, ms. */
function sendAtEveryChance(hosts: readonly SimulatedHost[], worker: Worker, untilMs: number, onStep: (nowMs: number) => void = () => {}): number[] {
	const sent: number[] = [];
	for (let nowMs = 0; nowMs < untilMs; nowMs += STEP_MS) {
		onStep(nowMs);
		for (const {limiter, isRunning} of hosts) {
			if (isRunning && limiter.getNextSendMs(worker, nowMs) <= nowMs) {
				limiter.recordSend(worker, nowMs);
				sent.push(nowMs);
			}
		}
	}

	return sent;
}

/** Largest number of requests in any window that begins after the hosts have learned of the limit. */
function countMaxInWindow(sent: readonly number[]): number {
	let maxCount = 0;
	for (const startMs of sent.filter(atMs => atMs >= LEARNING_MS)) {
		maxCount = Math.max(maxCount, sent.filter(atMs => atMs >= startMs && atMs < startMs + WINDOW_MS).length);
	}

	return maxCount;
}

/** The platform's bound on the requests in `WINDOW_MS`. */
function computeBound(perSecond: number): number {
	return (1.5 * perSecond * WINDOW_MS / 1000) + 5;
}

for (const hostCount of [1, 3, 10, 35, 87]) {
	for (const perSecond of [0, 0.4, 1, 2.1, 2.8, 5.5, 13, 60]) {
		test(`rate limiter: ${hostCount} hosts keep a limit of ${perSecond} a second together while each has more requests than it may send`, () => {
			for (let seed = 1; seed <= 5; seed++) {
				const random = new SeededRandom(seed);
				const hosts = createHosts(random, hostCount);
				const worker = createWorker();
				for (const {limits} of hosts) {
					limits.recordResponse(worker.hash, perSecond, random.next() * 400);
				}

				const sent = sendAtEveryChance(hosts, worker, 20_000);
				assert.ok(countMaxInWindow(sent) <= computeBound(perSecond), `seed ${seed}: ${countMaxInWindow(sent)} in 4 s`);
				const expected = perSecond * 18;
				const settled = sent.filter(atMs => atMs >= 2000).length;
				assert.ok(settled >= (expected * 0.9) - 1, `seed ${seed}: only ${settled} of ${expected}`);
				assert.ok(settled >= 1, 'a worker with a limit of 0 is still asked');
			}
		});
	}
}

test('rate limiter: hosts that stop and start, and are noticed late by the others, do not exceed the limit together', () => {
	for (let seed = 1; seed <= 30; seed++) {
		const random = new SeededRandom(seed);
		const hosts = createHosts(random, 10);
		const worker = createWorker();
		const perSecond = 1 + (random.next() * 6);
		for (const {limits} of hosts) {
			limits.recordResponse(worker.hash, perSecond, 0);
		}

		const changes: Array<{readonly atMs: number; readonly observer: SimulatedHost; readonly ready: SendingHost[]}> = [];
		const sent = sendAtEveryChance(hosts, worker, 30_000, nowMs => {
			if (nowMs % 1500 === 0) {
				const host = hosts[Math.floor(random.next() * hosts.length)]!;
				host.isRunning = !host.isRunning;
				const ready = hosts.filter(({isRunning}) => isRunning);
				changes.push(...hosts.map(observer => ({atMs: nowMs + (random.next() * 1200), observer, ready})));
			}

			for (const change of changes.filter(({atMs}) => atMs <= nowMs && atMs > nowMs - STEP_MS)) {
				change.observer.known = change.ready;
			}
		});
		assert.ok(countMaxInWindow(sent) <= computeBound(perSecond), `seed ${seed}: ${countMaxInWindow(sent)} in 4 s, limit ${perSecond}`);
	}
});

test('rate limiter: hosts on both sides of a partition do not exceed the limit together, and still use most of it', () => {
	for (let seed = 1; seed <= 30; seed++) {
		const random = new SeededRandom(seed);
		const hosts = createHosts(random, 10);
		const worker = createWorker();
		const perSecond = 2 + (random.next() * 10);
		const cut = Math.floor(random.next() * hosts.length);
		const sides = [hosts.slice(0, cut), hosts.slice(cut)];
		for (const host of hosts) {
			host.limits.recordResponse(worker.hash, perSecond, 0);
			host.known = sides.find(side => side.includes(host))!;
			host.recentCount = hosts.length;
		}

		const sent = sendAtEveryChance(hosts, worker, 20_000);
		assert.ok(countMaxInWindow(sent) <= computeBound(perSecond), `seed ${seed}: ${countMaxInWindow(sent)} in 4 s, limit ${perSecond}`);
		assert.ok(sent.length >= perSecond * 20 * 0.8, `seed ${seed}: only ${sent.length}`);
	}
});

test('rate limiter: a host without a share, such as one that leaves, sends nothing; without a limit every host sends', () => {
	const random = new SeededRandom(1);
	const hosts = createHosts(random, 10);
	const worker = createWorker();
	assert.ok(hosts.every(({limiter}) => limiter.getNextSendMs(worker, 0) <= 0 && limiter.getRate(worker, 0) === Number.POSITIVE_INFINITY));
	for (const host of hosts) {
		host.limits.recordResponse(worker.hash, 3, 0);
		host.known = hosts.filter(other => other !== host);
	}

	assert.ok(hosts.every(({limiter}) => limiter.getNextSendMs(worker, 10_000) > 10_000 && limiter.getRate(worker, 10_000) === 0));
	const lifted = hosts[0]!;
	lifted.limits.recordResponse(worker.hash, undefined, 10_000);
	assert.ok(lifted.limiter.getNextSendMs(worker, 10_000) <= 10_000);
});
