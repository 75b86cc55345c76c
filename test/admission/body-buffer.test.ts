import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {test} from 'node:test';
import {BodyBuffer} from '@apricotwood/admission';
import {SeededRandom} from '@apricotwood/clock';

const SEEDS = 20;
for (let seed = 0; seed < SEEDS; seed++) {
	test(`a body comes out as it was put in, whatever its chunks: seed ${seed}`, () => {
		const random = new SeededRandom(seed);
		const buffer = new BodyBuffer();
		const pushed: Buffer[] = [];
		const shifted: Buffer[] = [];
		for (let count = 0; count < 300; count++) {
			const length = Math.floor(random.next() * (random.next() < 0.2 ? 20_000 : 40));
			const chunk = Buffer.from(Array.from({length}, () => Math.floor(random.next() * 256)));
			pushed.push(chunk);
			buffer.push(chunk);
			if (random.next() < 0.1) {
				shifted.push(buffer.shift() ?? Buffer.alloc(0));
			}
		}

		const {bytes} = buffer;
		const rest = buffer.takeAll();
		assert.equal(rest.length, bytes);
		assert.deepEqual(Buffer.concat([...shifted, rest]), Buffer.concat(pushed));
		assert.equal(buffer.bytes, 0);
	});
}

test('chunks of one byte cost about their bytes', () => {
	const BYTES = 1_000_000;
	const buffer = new BodyBuffer();
	const before = process.memoryUsage().arrayBuffers;
	for (let count = 0; count < BYTES; count++) {
		buffer.push(Buffer.allocUnsafeSlow(1));
	}

	globalThis.gc?.();
	assert.ok(buffer.bytes === BYTES);
	const chunk = buffer.shift()!;
	assert.ok(chunk.buffer.byteLength <= 2 * Math.max(1, chunk.length));
	assert.ok(process.memoryUsage().arrayBuffers - before < 64 * BYTES);
});

test('a small part of a large block does not keep the block', () => {
	const buffer = new BodyBuffer();
	buffer.push(Buffer.alloc(64 * 1024).subarray(0, 10));
	assert.equal(buffer.takeAll().buffer.byteLength, 10);
});
