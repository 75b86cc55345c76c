import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EventLoopMonitor, FakeClock} from '@apricotwood/clock';

test('event loop monitor: what is read may have come since the latest run but one of its timer', () => {
	const clock = new FakeClock();
	const startMs = clock.monotonic();
	const monitor = new EventLoopMonitor(clock);
	const readUntilMs: number[] = [];
	for (const blockedMs of [10, 100, 100, 700]) {
		clock.advance(blockedMs);
		monitor.recordRun();
		readUntilMs.push(monitor.readUntilMs - startMs);
	}

	clock.advance(30);
	readUntilMs.push(monitor.readUntilMs - startMs);
	assert.deepEqual(readUntilMs, [10, 10, 110, 210, 210]);
});
