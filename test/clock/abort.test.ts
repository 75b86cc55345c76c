import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {test} from 'node:test';
import {waitForAbort} from '@apricotwood/clock';

test('waiting for an abort ends when the signal is aborted, not before', async () => {
	const controller = new AbortController();
	let hasEnded = false;
	const end = waitForAbort(controller.signal).then(() => {
		hasEnded = true;
	});
	await setImmediate();
	assert.equal(hasEnded, false);
	controller.abort();
	await end;
	assert.equal(hasEnded, true);
});

test('waiting for an abort ends at once when the signal has been aborted before', async () => {
	await waitForAbort(AbortSignal.abort());
});
