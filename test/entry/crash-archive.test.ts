import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {FakeClock} from '@apricotwood/clock';
import {
	CrashArchive, type CrashHistoryEntry, type CrashHistoryKey, type CrashHistorySource,
} from '@apricotwood/entry';
import {CrashTracker} from '@apricotwood/steering';
import {NOOP_LOG} from '@apricotwood/telemetry';

/** Time after which an archive has written what is due, ms. */
const SETTLE_MS = 300;

/** Histories in memory. */
class MemorySource implements CrashHistorySource {
	readonly entries = new Map<string, CrashHistoryEntry>();
	isFailing = false;
	updates = 0;

	async readCrashHistory(): Promise<readonly CrashHistoryEntry[]> {
		return [...this.entries.values()];
	}

	async updateCrashHistory(written: readonly CrashHistoryEntry[], removed: readonly CrashHistoryKey[]): Promise<void> {
		if (this.isFailing) {
			throw new Error('source is busy');
		}

		this.updates++;
		for (const entry of written) {
			this.entries.set(`${entry.request} ${entry.host}`, entry);
		}

		for (const {request, host} of removed) {
			this.entries.delete(`${request} ${host}`);
		}
	}
}

type TestHost = {readonly crashes: CrashTracker; readonly archive: CrashArchive};

/** Starts the archive of a host; it ends with the test. */
function startHost(t: TestContext, clock: FakeClock, source: CrashHistorySource, hostHash: number): TestHost {
	const crashes = new CrashTracker();
	const archive = new CrashArchive({
		clock, log: NOOP_LOG, crashes, hostHash, crashHistorySource: source, onLoaded() {},
	});
	const end = new AbortController();
	t.after(() => {
		end.abort();
	});
	void archive.run(end.signal);
	return {crashes, archive};
}

async function settle(clock: FakeClock, durationMs = SETTLE_MS): Promise<void> {
	for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
		await nextTurn();
		clock.advance(50);
	}

	await nextTurn();
}

/** Records that a worker crashed under a request at a host. */
function crash({crashes, archive}: TestHost, request: string, worker: number, clock: FakeClock): void {
	crashes.recordCrash(request, worker, clock.monotonic());
	archive.recordOwn([request]);
}

test('crash archive: a request is kept from its second crash on, by the host that has seen one', async t => {
	const clock = new FakeClock();
	const source = new MemorySource();
	const host = startHost(t, clock, source, 1);
	crash(host, 'deadly', 11, clock);
	await settle(clock);
	assert.equal(source.entries.size, 0);
	crash(host, 'deadly', 12, clock);
	await settle(clock);
	assert.deepEqual(source.entries.get('deadly 1')?.workers, [11, 12]);
	await settle(clock, 2000);
	assert.equal(source.updates, 1, 'nothing is written without a change');
});

test('crash archive: what two hosts have seen is kept once they know of each other, and a third one that only knows it writes nothing', async t => {
	const clock = new FakeClock();
	const source = new MemorySource();
	const hosts = [1, 2, 3].map(hash => startHost(t, clock, source, hash));
	crash(hosts[0]!, 'deadly', 11, clock);
	crash(hosts[1]!, 'deadly', 12, clock);
	await settle(clock);
	for (const from of hosts) {
		const reports = from.crashes.takeReports(clock.monotonic());
		for (const to of hosts.filter(host => host !== from)) {
			for (const report of reports) {
				to.crashes.recordPeerReport(report, clock.monotonic());
				to.archive.recordKnown([report.request]);
			}
		}
	}

	await settle(clock);
	assert.deepEqual([...source.entries.keys()].toSorted(), ['deadly 1', 'deadly 2']);
	const restarted = startHost(t, clock, source, 4);
	await settle(clock);
	assert.equal(restarted.crashes.countCrashes('deadly'), 2);
});

test('crash archive: a request that was served shortly before is not kept, unless a trial has failed', async t => {
	const clock = new FakeClock();
	const source = new MemorySource();
	const host = startHost(t, clock, source, 1);
	for (const worker of [11, 12, 13]) {
		crash(host, 'popular', worker, clock);
		host.crashes.recordServedBefore('popular');
	}

	await settle(clock);
	assert.equal(source.entries.size, 0);
	host.crashes.beginTrial('popular', 7, clock.monotonic() + 1000, clock.monotonic());
	host.archive.recordOwn(['popular']);
	await settle(clock);
	assert.deepEqual(source.entries.get('popular 1')?.trials, [7]);
});

test('crash archive: trials and the wait for the next one outlive all hosts', async t => {
	const clock = new FakeClock();
	const source = new MemorySource();
	const host = startHost(t, clock, source, 1);
	for (const worker of [11, 12, 13]) {
		crash(host, 'deadly', worker, clock);
	}

	clock.advance(2000);
	host.crashes.beginTrial('deadly', 7, clock.monotonic() + 1000, clock.monotonic());
	host.archive.recordOwn(['deadly']);
	await settle(clock);
	const restarted = startHost(t, clock, source, 2);
	await settle(clock);
	assert.equal(restarted.crashes.countTrials('deadly'), 1);
	assert.equal(restarted.crashes.takeTurn('deadly', 2, clock.monotonic()), undefined, 'the next trial has to wait');
	clock.advance(11_000);
	assert.notEqual(restarted.crashes.takeTurn('deadly', 2, clock.monotonic()), undefined);
});

test('crash archive: a response outweighs the crashes that another host has kept, and what is forgotten is removed', async t => {
	const clock = new FakeClock();
	const source = new MemorySource();
	const [first, second] = [startHost(t, clock, source, 1), startHost(t, clock, source, 2)];
	for (const host of [first, second]) {
		crash(host, 'once', 11, clock);
		crash(host, 'once', 12, clock);
	}

	await settle(clock);
	second.crashes.recordResponse('once', clock.monotonic());
	second.archive.recordOwn(['once']);
	await settle(clock);
	const restarted = startHost(t, clock, source, 3);
	await settle(clock);
	assert.equal(restarted.crashes.countCrashes('once'), 0);
	clock.advance(20_000);
	second.crashes.takeReports(clock.monotonic());
	await settle(clock);
	assert.equal(source.entries.has('once 2'), false);
});

test('crash archive: a response outweighs what hosts have kept that no longer run', async t => {
	const clock = new FakeClock();
	const source = new MemorySource();
	const earlier = startHost(t, clock, source, 1);
	for (const worker of [11, 12, 13]) {
		crash(earlier, 'repaired', worker, clock);
	}

	await settle(clock);
	const host = startHost(t, clock, source, 2);
	await settle(clock);
	host.crashes.recordResponse('repaired', clock.monotonic());
	host.archive.recordOwn(['repaired']);
	await settle(clock);
	const restarted = startHost(t, clock, source, 3);
	await settle(clock);
	assert.equal(restarted.crashes.countCrashes('repaired'), 0);
});

test('crash archive: what could not be written is written later', async t => {
	const clock = new FakeClock();
	const source = new MemorySource();
	const host = startHost(t, clock, source, 1);
	source.isFailing = true;
	crash(host, 'deadly', 11, clock);
	crash(host, 'deadly', 12, clock);
	await settle(clock, 1000);
	source.isFailing = false;
	await settle(clock, 3000);
	assert.equal(source.entries.size, 1);
});
