import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@apricotwood/clock';
import {CrashTracker, CrashVerdict, type CrashReport} from '@apricotwood/steering';

const REQUEST = 'request';
const MINUTE_MS = 60_000;

/** Records crashes of workers, 100 ms apart. */
function recordCrashes(crashes: CrashTracker, request: string, workers: readonly number[], startMs = 0): void {
	for (const [index, worker] of workers.entries()) {
		crashes.recordCrash(request, worker, startMs + (index * 100));
	}
}

test('crash tracker: two crashes of different workers make a request a suspect, three quarantine it', () => {
	const crashes = new CrashTracker();
	assert.equal(crashes.classify(REQUEST, 0), CrashVerdict.Clear);
	assert.equal(crashes.recordCrash(REQUEST, 1, 0), true);
	assert.equal(crashes.recordCrash(REQUEST, 1, 10), false);
	assert.equal(crashes.classify(REQUEST, 10), CrashVerdict.Clear);
	crashes.recordCrash(REQUEST, 2, 20);
	assert.equal(crashes.classify(REQUEST, 20), CrashVerdict.Suspect);
	crashes.recordCrash(REQUEST, 3, 30);
	assert.equal(crashes.classify(REQUEST, 30), CrashVerdict.Quarantined);
	assert.equal(crashes.classify('other', 30), CrashVerdict.Clear);
	assert.deepEqual(crashes.listQuarantined(30), [REQUEST]);
});

test('crash tracker: a response clears a request, and late reports of the crashes before it change nothing', () => {
	const crashes = new CrashTracker();
	recordCrashes(crashes, REQUEST, [1, 2]);
	const [late] = crashes.takeReports(200);
	assert.equal(crashes.recordResponse(REQUEST, 300), true);
	assert.equal(crashes.recordResponse(REQUEST, 310), false);
	assert.equal(crashes.recordPeerReport({...late!, workers: [1, 2, 3]}, 400), false);
	assert.equal(crashes.classify(REQUEST, 400), CrashVerdict.Clear);
	const peer = new CrashTracker();
	recordCrashes(peer, REQUEST, [1, 2, 4]);
	assert.equal(peer.recordPeerReport(crashes.takeReports(400)[0]!, 400), true);
	assert.equal(peer.classify(REQUEST, 400), CrashVerdict.Clear);
});

test('crash tracker: crashes at which a quarantined request was running do not count against others', () => {
	const crashes = new CrashTracker();
	recordCrashes(crashes, REQUEST, [1, 2, 3, 4]);
	recordCrashes(crashes, 'bystander', [1, 2, 4]);
	assert.equal(crashes.classify('bystander', 500), CrashVerdict.Clear);
	recordCrashes(crashes, 'second cause', [4, 5, 6, 7]);
	assert.equal(crashes.classify('second cause', 900), CrashVerdict.Quarantined);
	assert.equal(crashes.classify(REQUEST, 900), CrashVerdict.Quarantined);
});

test('crash tracker: a quarantine ends, the request is a suspect then, and a further crash doubles the time', () => {
	const crashes = new CrashTracker();
	recordCrashes(crashes, REQUEST, [1, 2, 3]);
	assert.equal(crashes.classify(REQUEST, 9 * MINUTE_MS), CrashVerdict.Quarantined);
	assert.equal(crashes.classify(REQUEST, 11 * MINUTE_MS), CrashVerdict.Suspect);
	crashes.recordCrash(REQUEST, 4, 11 * MINUTE_MS);
	assert.equal(crashes.classify(REQUEST, 30 * MINUTE_MS), CrashVerdict.Quarantined);
	assert.equal(crashes.classify(REQUEST, 32 * MINUTE_MS), CrashVerdict.Suspect);
	crashes.takeReports(60 * MINUTE_MS);
	assert.equal(crashes.isEmpty, true);
});

test('crash tracker: of thousands of requests at crashes few are kept and reported, and the quarantined one is not dropped', () => {
	const crashes = new CrashTracker();
	recordCrashes(crashes, REQUEST, [1, 2, 3]);
	let kept = 0;
	for (let index = 0; index < 5000; index++) {
		crashes.recordCrash(`other ${index}`, 10, 1000 + index);
	}

	for (let nowMs = 6000; nowMs < 30_000; nowMs += 200) {
		const reports = crashes.takeReports(nowMs);
		assert.ok(reports.length <= 16, `${reports.length} requests in a report`);
		kept += reports.length;
	}

	assert.ok(kept < (256 * 4) + 20, `${kept} entries`);
	assert.equal(crashes.classify(REQUEST, 30_000), CrashVerdict.Quarantined);
});

test('crash tracker: hosts agree after reports that are lost, repeated and out of order (40 seeds)', () => {
	for (let seed = 1; seed <= 40; seed++) {
		const random = new SeededRandom(seed);
		const hosts = Array.from({length: 4}, () => new CrashTracker());
		const sent: CrashReport[] = [];
		let nowMs = 0;
		for (let step = 0; step < 200; step++) {
			nowMs += 20;
			const host = hosts[Math.floor(random.next() * hosts.length)]!;
			const request = `r${Math.floor(random.next() * 3)}`;
			if (random.next() < 0.1) {
				host.recordResponse(request, nowMs);
			} else if (random.next() < 0.3) {
				host.recordCrash(request, Math.floor(random.next() * 6), nowMs);
			}

			sent.push(...host.takeReports(nowMs));
			if (sent.length > 0 && random.next() < 0.7) {
				host.recordPeerReport(sent[Math.floor(random.next() * sent.length)]!, nowMs);
			}
		}

		// Without losses from here on.
		for (let round = 0; round < 12; round++) {
			nowMs += 2500;
			const reports = hosts.flatMap(host => host.takeReports(nowMs));
			for (const host of hosts) {
				for (const report of reports) {
					host.recordPeerReport(report, nowMs);
				}
			}
		}

		for (const request of ['r0', 'r1', 'r2']) {
			const verdicts = new Set(hosts.map(host => host.classify(request, nowMs)));
			assert.equal(verdicts.size, 1, `seed ${seed}: ${request} is ${[...verdicts].join(', ')}`);
		}
	}
});
