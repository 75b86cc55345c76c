import assert from 'node:assert/strict';
import {connect, createServer, type Socket} from 'node:net';
import {test} from 'node:test';
import {SeededRandom} from '@apricotwood/clock';
import {resetSocket, wasResetAtEnd} from '@apricotwood/entry';
import {addressOf, listen} from '@apricotwood/platform/standin';
import {
	FaultKind, Link, LinkState, generatePlan,
} from '@apricotwood/soak';

test('plan: a seed reproduces its faults, and faults repeat and overlap', () => {
	const generate = (seed: number) => generatePlan(new SeededRandom(seed), 60_000);
	assert.deepEqual(generate(7), generate(7));
	assert.notDeepEqual(generate(7), generate(8));
	const plan = generate(7);
	assert.ok(plan.length > 60);
	assert.ok(plan.some((fault, index) => index > 0 && plan[index - 1]!.kind === fault.kind), 'some faults repeat the kind of the previous one');
	assert.ok(plan.some((fault, index) => index > 0 && plan[index - 1]!.atMs + plan[index - 1]!.forMs > fault.atMs), 'some faults overlap');
	const kinds = new Set(Array.from({length: 20}, (_, seed) => generate(seed)).flat().map(({kind}) => kind));
	assert.equal(kinds.size, Object.values(FaultKind).length);
});

/** Connects a client through a link to an echo server. */
async function createEchoLink() {
	const received: string[] = [];
	const server = createServer(socket => {
		socket.on('error', () => {});
		socket.on('data', chunk => {
			received.push(String(chunk));
			socket.write(chunk);
		});
	});
	await listen(server);
	const link = await new Link(() => addressOf(server)).start();
	const [ip, port] = link.address.split(':');
	const socket = connect(Number(port), ip);
	await new Promise(resolve => {
		socket.once('connect', resolve);
	});
	return {
		received, link, socket, async stop() {
			socket.destroy();
			await link.stop();
			server.close();
		},
	};
}

async function nextEvent(socket: Socket, ...names: readonly string[]): Promise<string> {
	return new Promise(resolve => {
		for (const name of names) {
			socket.once(name, () => {
				resolve(name);
			});
		}
	});
}

async function send(socket: Socket, text: string): Promise<void> {
	await new Promise(resolve => {
		socket.write(text, resolve);
	});
}

test('link: no data is lost or reordered when a delay ends', async () => {
	const {received, link, socket, stop} = await createEchoLink();
	const answered = nextEvent(socket, 'data');
	await send(socket, 'one');
	await answered;
	link.setState(LinkState.Delayed);
	await send(socket, 'two');
	await new Promise(resolve => {
		setTimeout(resolve, 20);
	});
	link.setState(LinkState.Healthy);
	await send(socket, 'three');
	while (received.join('').length < 'onetwothree'.length) {
		await nextEvent(socket, 'data');
	}

	assert.equal(received.join(''), 'onetwothree');
	await stop();
});

for (const [state, reachesServer] of [[LinkState.Silent, false], [LinkState.OneWay, true]] as const) {
	test(`link: ${state}: discarded data stays lost, and the connection is reset once the link is healthy`, async () => {
		const {received, link, socket, stop} = await createEchoLink();
		const first = nextEvent(socket, 'data');
		await send(socket, 'one');
		await first;
		link.setState(state);
		const ended = nextEvent(socket, 'error', 'data');
		await send(socket, 'two');
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
		assert.equal(received.includes('two'), reachesServer);
		link.setState(LinkState.Healthy);
		assert.equal(await ended, 'error');
		await stop();
	});
}

test('link: a reset closes open and new connections', async () => {
	const {link, socket, stop} = await createEchoLink();
	const ended = nextEvent(socket, 'error');
	link.setState(LinkState.Reset);
	assert.equal(await ended, 'error');
	const [ip, port] = link.address.split(':');
	const secondSocket = connect(Number(port), ip);
	secondSocket.write('data that would be echoed');
	assert.notEqual(await nextEvent(secondSocket, 'error', 'end', 'close', 'data'), 'data');
	await stop();
});

test('link: new connections are refused while open ones are forwarded, and accepted again afterwards', async () => {
	const {link, socket, received, stop} = await createEchoLink();
	const endFault = link.startFault(LinkState.Refusing);
	const [ip, port] = link.address.split(':');
	const refused = connect(Number(port), ip);
	assert.equal(await nextEvent(refused, 'connect', 'error'), 'error');
	socket.write('open');
	assert.equal(await nextEvent(socket, 'data', 'close'), 'data');
	assert.deepEqual(received, ['open']);
	// A later fault of the same link does not let connections through.
	const endDelay = link.startFault(LinkState.Delayed);
	const stillRefused = connect(Number(port), ip);
	assert.equal(await nextEvent(stillRefused, 'connect', 'error'), 'error');
	endDelay();
	endFault();
	const accepted = connect(Number(port), ip);
	assert.equal(await nextEvent(accepted, 'connect', 'error'), 'connect');
	accepted.destroy();
	await stop();
});

test('link: of two overlapping faults, the first to end leaves the other in force', async () => {
	const {received, link, socket, stop} = await createEchoLink();
	const first = nextEvent(socket, 'data');
	await send(socket, 'one');
	await first;
	const endSilence = link.startFault(LinkState.Silent);
	const endDelay = link.startFault(LinkState.Delayed);
	endDelay();
	await send(socket, 'two');
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	assert.ok(!received.includes('two'));
	const ended = nextEvent(socket, 'error');
	endSilence();
	assert.equal(await ended, 'error');
	await stop();
});

// Soak, seeds 9412 and 9420: a cut response looked whole to its caller.
test('link: a reset that arrives together with the last bytes stays a reset', async t => {
	const server = createServer(socket => {
		socket.on('error', () => {});
		socket.on('data', () => {
			socket.write('x'.repeat(60_000), () => {
				resetSocket(socket);
			});
		});
	});
	await listen(server);
	const link = await new Link(() => addressOf(server)).start();
	t.after(async () => {
		await link.stop();
		server.close();
	});
	const [ip, port] = link.address.split(':');
	for (let round = 0; round < 20; round++) {
		const socket = connect({host: ip!, port: Number(port), allowHalfOpen: true}, () => {
			socket.write('go');
		});
		socket.resume();
		const end = await nextEvent(socket, 'error', 'end');
		assert.equal(end === 'error' || await wasResetAtEnd(socket), true, `round ${round}`);
		socket.destroy();
	}
});
