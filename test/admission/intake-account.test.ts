import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	EvictionReason, IntakeAccount, computeIntakeLimits, type PeerConnection,
} from '@apricotwood/admission';
import {FakeClock} from '@apricotwood/clock';

const KIB = 1024;
const MIB = 1024 * KIB;
const LIMITS = {maxHeldBytes: 16 * MIB, maxConnections: 50};

/** An account, and what has been closed or told to end. */
function createRig() {
	const clock = new FakeClock();
	const account = new IntakeAccount(clock, LIMITS);
	const closed: string[] = [];
	const ended: string[] = [];
	const open = (name: string): PeerConnection => account.open(() => {
		closed.push(name);
	});
	const receive = (name: string, bytes: number) => {
		const connection = open(name);
		const holding = connection.begin(true);
		holding.onEvict = () => {
			ended.push(name);
			return true;
		};

		holding.beginBody();
		holding.hold(bytes);
		return {connection, holding};
	};

	return {clock, account, closed, ended, open, receive};
}

const ORDERS = ['crowd first', 'ordinary first', 'between'] as const;
for (const order of ORDERS) {
	test(`an ordinary request finds room beside a crowd that holds most of it: ${order}`, () => {
		const {clock, account, closed, ended, receive} = createRig();
		const ordinary = () => {
			const {holding} = receive('ordinary', 4 * KIB);
			holding.endBody();
		};

		for (let index = 0; index < 40; index++) {
			if ((order === 'ordinary first' && index === 0) || (order === 'between' && index === 20)) {
				ordinary();
			}

			receive(`crowd-${index}`, MIB);
			clock.advance(10);
		}

		if (order === 'crowd first') {
			ordinary();
		}

		assert.ok(account.heldBytes <= LIMITS.maxHeldBytes);
		assert.ok(ended.length > 0 && !ended.includes('ordinary') && closed.length === 0, `${ended.join(' ')}, closed ${closed.join(' ')}`);
	});
}

test('the one that holds most for the longest time goes first', () => {
	const {clock, ended, receive} = createRig();
	receive('large and new', 0);
	receive('old', 4 * MIB);
	clock.advance(1000);
	receive('new', 4 * MIB);
	receive('small', 64 * KIB);
	clock.advance(10);
	receive('last', 9 * MIB);
	assert.deepEqual(ended, ['old']);
});

test('a request that has arrived whole goes after one whose peer is waited for', () => {
	const {clock, ended, receive} = createRig();
	const {holding} = receive('whole', 6 * MIB);
	holding.endBody();
	clock.advance(100);
	receive('in part', 6 * MIB);
	clock.advance(100);
	receive('next', 5 * MIB);
	assert.deepEqual(ended, ['in part']);
});

test('whole requests give way too, if they hold everything', () => {
	const {clock, account, ended, receive} = createRig();
	for (let index = 0; index < 40; index++) {
		const {holding} = receive(`whole-${index}`, MIB);
		holding.endBody();
		clock.advance(10);
	}

	assert.ok(account.heldBytes <= LIMITS.maxHeldBytes);
	assert.equal(ended[0], 'whole-0');
});

test('a connection with an untaken response is closed, not answered', () => {
	const {clock, closed, ended, open, receive} = createRig();
	const connection = open('reads nothing');
	connection.begin(false);
	connection.setUntaken(8 * MIB);
	clock.advance(100);
	receive('next', 9 * MIB);
	assert.deepEqual([closed, ended], [['reads nothing'], []]);
});

test('a connection with many requests in flight is closed, not answered', () => {
	const {clock, closed, open, receive} = createRig();
	const connection = open('pipelines');
	for (let index = 0; index < 200; index++) {
		connection.begin(false);
	}

	clock.advance(100);
	receive('next', 12 * MIB);
	assert.deepEqual(closed, ['pipelines']);
});

test('what gave way holds nothing, whatever its parts still report', () => {
	const {clock, account, ended, receive} = createRig();
	const {connection, holding} = receive('first', 10 * MIB);
	clock.advance(100);
	const {holding: second} = receive('second', 8 * MIB);
	assert.deepEqual(ended, ['first']);
	holding.hold(5 * MIB);
	connection.setHead(4096);
	holding.hold(-15 * MIB);
	holding.release();
	second.release();
	assert.equal(account.heldBytes, 0);
	connection.begin(false).release();
	connection.close();
	assert.equal(account.heldBytes, 0);
});

test('a connection that gives way twice is closed', () => {
	const {closed, ended, receive} = createRig();
	const {connection} = receive('once', MIB);
	connection.evict(EvictionReason.HeldBytes);
	assert.deepEqual([closed, ended], [[], ['once']]);
	connection.evict(EvictionReason.HeldBytes);
	assert.deepEqual([closed, ended], [['once'], ['once']]);
});

test('a full host closes the connection that shows nothing before one between two requests, and none that is served', () => {
	const {clock, account, closed, open} = createRig();
	const kept = open('kept');
	kept.begin(false).release();
	open('served').begin(false);
	clock.advance(1000);
	for (let index = 0; index < 48; index++) {
		open(`silent-${index}`);
		clock.advance(100);
	}

	open('new');
	assert.deepEqual(closed, ['silent-0']);
	assert.equal(account.connectionCount, LIMITS.maxConnections);
});

test('new connections do not close each other while one is idle', () => {
	const {clock, closed, open} = createRig();
	open('idle').begin(false).release();
	clock.advance(5000);
	for (let index = 0; index < 50; index++) {
		open(`new-${index}`);
	}

	assert.deepEqual(closed, ['idle']);
});

test('a new connection is refused if all others are served', () => {
	const {clock, closed, open} = createRig();
	for (let index = 0; index < 50; index++) {
		open(`served-${index}`).begin(false);
	}

	clock.advance(1000);
	assert.equal(open('new').isClosed, true);
	assert.deepEqual(closed, ['new']);
});

test('a crowd that comes back as it is closed does not reach those that are served', () => {
	const {clock, account, closed, open} = createRig();
	open('served').begin(false);
	for (let index = 0; index < 1000; index++) {
		open('crowd');
		clock.advance(1);
	}

	assert.equal(closed.includes('served'), false);
	assert.equal(account.connectionCount, LIMITS.maxConnections);
});

test('the limits follow the machine and leave descriptors for the host\'s own connections', () => {
	const small = computeIntakeLimits({memoryBytes: 250 * MIB, descriptors: 4100});
	assert.equal(small.maxHeldBytes, 62.5 * MIB);
	assert.equal(small.maxConnections, 2400);
	assert.equal(computeIntakeLimits({memoryBytes: 602 * MIB, descriptors: 1000}).maxConnections, 640);
});
