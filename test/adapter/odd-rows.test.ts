import assert from 'node:assert/strict';
import {validateHeaderValue} from 'node:http';
import {test} from 'node:test';
import fc from 'fast-check';
import {Connection, hostEntrySchema} from '@apricotwood/entry';
import {FindingsError} from '@apricotwood/findings';
import {decodeConfig, decodeWorker} from '@apricotwood/platform';
import {createOperatorConfig} from '@apricotwood/platform/standin';
import type {SteeringConfig, WorkerRegistration} from '@apricotwood/steering';

/** Values that another writer may leave in a field. */
const oddValue = fc.oneof(
	fc.jsonValue(),
	fc.double(),
	fc.maxSafeInteger(),
	fc.string({unit: 'binary'}),
	fc.constantFrom('127.0.0.1:99999', '127.0.0.1:0', '999.1.1.1:80', '1.2.3:4', '10.0.0.1:080', `${'9'.repeat(400)}s`, '1e9s', '-1ms', 'x'.repeat(60_000), 1e15, 1e300, -1, 1.5, 0),
);

/** Replaces one field of a record or list, at any depth, with an odd value. */
function replaceField(value: unknown, odd: unknown, choose: (count: number) => number): unknown {
	if (typeof value !== 'object' || value === null || choose(4) === 0) {
		return odd;
	}

	const entries = Object.entries(value as Record<string, unknown>);
	if (entries.length === 0) {
		return odd;
	}

	const [key, inner] = entries[choose(entries.length)]!;
	const copy: unknown = structuredClone(value);
	(copy as Record<string, unknown>)[key] = replaceField(inner, odd, choose);
	return copy;
}

/** A value with one odd field. */
function withOddField(value: unknown): fc.Arbitrary<unknown> {
	return fc.record({odd: oddValue, numbers: fc.array(fc.nat(), {minLength: 20, maxLength: 20})}).map(({odd, numbers}) => {
		let next = 0;
		return replaceField(value, odd, count => numbers[next++ % numbers.length]! % count);
	});
}

/** @returns `undefined` if the value is refused. @throws any error but `FindingsError`. */
function decode<T>(run: () => T): T | undefined {
	try {
		return run();
	} catch (error) {
		if (error instanceof FindingsError) {
			return undefined;
		}

		throw error;
	}
}

const WORKER_ENTRY = {
	addr: '10.0.0.1:80', born: 5, info: {service: 'board', zone: 'a1', version: 'v1', slots: 6}, status: {state: 'ready', sequence: 1, cold_remaining: '1.5s'},
};

function assertUsable({id, address, slots, coldMs, bornMs, sequence}: WorkerRegistration): void {
	validateHeaderValue('target', id);
	new Connection(address).close();
	assert.ok(Number.isSafeInteger(slots) && slots >= 1 && slots <= 100_000);
	for (const number of [coldMs, bornMs, sequence]) {
		assert.ok(Number.isFinite(number) && number >= 0);
	}
}

// LOST (report of another operator): whatever an entry holds, it either names a worker that can be used or is refused.
test('worker: a generated odd entry is usable or refused, without another exception', () => {
	fc.assert(fc.property(fc.oneof({weight: 4, arbitrary: fc.constant('w')}, {weight: 1, arbitrary: fc.string({unit: 'binary'})}), withOddField(WORKER_ENTRY), (id, entry) => {
		const worker = decode(() => decodeWorker(id, entry));
		if (worker) {
			assertUsable(worker);
		}
	}), {numRuns: 2000});
});

test('worker: names of services and zones may have any characters', () => {
	const {service, zone} = decodeWorker('w', {...WORKER_ENTRY, info: {...WORKER_ENTRY.info, service: 'caf\u00E9 \u20AC', zone: 'zone 1'}});
	assert.deepEqual([service, zone], ['caf\u00E9 \u20AC', 'zone 1']);
});

test('host: a generated odd entry is usable or refused', () => {
	const valid = {
		id: 'h', ip: '10.0.0.1', peerPort: 7620, callerAddress: '10.0.0.1:80', zone: 'a1', region: 'a', startedMs: 1,
	};
	fc.assert(fc.property(withOddField(valid), entry => {
		const host = hostEntrySchema.safeParse(entry).data;
		if (host) {
			new Connection(`${host.ip}:${host.peerPort}`).close();
			new Connection(host.callerAddress).close();
			validateHeaderValue('host', host.id);
		}
	}), {numRuns: 2000});
});

function assertFinite({routes, services, limits}: SteeringConfig): void {
	for (const {timeoutMs, targetMs, maxAttempts, shares, priority} of routes) {
		const numbers = [timeoutMs, targetMs, maxAttempts, priority, ...shares.map(({weight}) => weight)];
		assert.ok(numbers.every(number => Number.isFinite(number)));
	}

	for (const {maxConnections, warmupMs, warmupPerSecond = 0} of services) {
		assert.ok([maxConnections, warmupMs, warmupPerSecond].every(number => Number.isFinite(number)));
	}

	assert.ok(Object.values(limits).every(limit => Number.isFinite(limit)));
}

test('config: a generated odd configuration is finite or refused, without another exception', () => {
	fc.assert(fc.property(withOddField(createOperatorConfig(12, ['board'])), value => {
		const config = decode(() => decodeConfig(value));
		if (config) {
			assertFinite(config);
		}
	}), {numRuns: 2000});
});

// SERVES (found by the fuzz checker, rows part, seed 30222): after such a version no later one was newer, and hosts never served the next configuration.
for (const digits of ['9'.repeat(400), '9007199254740993']) {
	test(`config: a version of ${digits.length} digits, which no number holds, is refused`, () => {
		assert.throws(() => decodeConfig({...createOperatorConfig(12, ['board']), version: `r${digits}`}), FindingsError);
	});
}

test('config: the largest exact version is read', () => {
	assert.equal(decodeConfig({...createOperatorConfig(12, ['board']), version: `r${Number.MAX_SAFE_INTEGER}`}).version, Number.MAX_SAFE_INTEGER);
});
