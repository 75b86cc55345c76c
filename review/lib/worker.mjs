/* eslint-disable camelcase, no-void -- names of the platform; requests run beside each other */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {createServer} from 'node:http';
import {closeServer, listen} from './net.mjs';

const HEARTBEAT_MS = 1500;

/** Stand-in of a worker: registers itself in the store, runs requests in its slots and records what reached it and what it ran. */
export class Worker {
	/** Requests that reached this worker, in order. */
	received = [];
	/** Requests that it has begun to run, in order. */
	run = [];
	crashes = 0;
	/** Called with each request that is to be run; may run it itself, by returning true. */
	onRun = () => false;
	/** Called with each request before it is run; may answer it, by returning true. */
	onReceived = () => false;
	/** Time that a request takes, ms. */
	getWorkMs = () => this.workMs;
	#sockets = new Set();
	#sequence = 0;
	#running = 0;
	#queue = [];
	#isUp = false;

	constructor(store, record, {id, service, zone, slots = 4, queue = 12, workMs = 30, restartMs = 2000}) {
		Object.assign(this, {store, record, id, service, zone, slots, queue, workMs, restartMs});
		this.server = createServer((req, res) => {
			void this.#handle(req, res);
		});
		this.server.keepAliveTimeout = 10_000;
		this.server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	async start() {
		this.address = await listen(this.server);
		this.#come();
		this.timer = setInterval(() => {
			if (this.#isUp) {
				this.#report();
			}
		}, HEARTBEAT_MS);
		return this;
	}

	async stop() {
		clearInterval(this.timer);
		clearTimeout(this.restartTimer);
		this.#isUp = false;
		if (this.server.listening) {
			await closeServer(this.server);
		}
	}

	/** Ends as a killed process does: all connections are reset and new ones refused. Comes back after `restartMs` under the same id. */
	crash() {
		if (!this.#isUp) {
			return;
		}

		this.crashes++;
		this.#isUp = false;
		this.record.write('worker-crash', {worker: this.id});
		this.server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		this.#running = 0;
		this.#queue = [];
		const port = Number(this.address.split(':')[1]);
		this.restartTimer = setTimeout(() => {
			this.server.listen(port, '127.0.0.1', () => {
				this.#come();
				this.record.write('worker-back', {worker: this.id});
			});
		}, this.restartMs);
	}

	#come() {
		this.born = Date.now();
		this.#sequence = 0;
		this.#isUp = true;
		this.#report();
	}

	#report() {
		this.store.put('servers', this.id, {
			addr: this.address,
			born: this.born,
			info: {service: this.service, version: 'v1', zone: this.zone, slots: this.slots},
			status: {state: 'ready', sequence: ++this.#sequence, cold_remaining: '0ms'},
		});
	}

	get load() {
		return `${this.#running},${this.#queue.length},${this.slots}`;
	}

	async #handle(req, res) {
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		if (req.url === '/health') {
			res.writeHead(200, {'instance-id': this.id, 'server-load': this.load});
			res.end();
			return;
		}

		const id = req.headers['request-id'];
		if (req.headers['target-instance'] !== this.id) {
			res.writeHead(421, {'instance-id': this.id});
			res.end();
			return;
		}

		if (id === undefined) {
			res.writeHead(400, {'not-executed': '1'});
			res.end();
			return;
		}

		const request = {id, method: req.method, url: req.url, body: Buffer.concat(chunks), req, res, atMs: Date.now()};
		this.received.push(request);
		this.record.write('worker-received', {worker: this.id, request: id});
		if (this.onReceived(request)) {
			return;
		}

		if (this.#running >= this.slots && this.#queue.length >= this.queue) {
			this.shed(request);
			return;
		}

		this.#queue.push(request);
		this.#runNext();
	}

	/** Rejects a request without running it, as the worker is full. */
	shed({id, res}) {
		this.record.write('worker-sheds', {worker: this.id, request: id, load: this.load});
		res.writeHead(503, {'request-id': id, 'not-executed': '1', 'server-load': this.load, 'content-length': 0});
		res.end();
	}

	#runNext() {
		while (this.#running < this.slots && this.#queue.length > 0) {
			const request = this.#queue.shift();
			if (!request.req.socket.destroyed) {
				void this.#run(request);
			}
		}
	}

	async #run(request) {
		const {id, method, url, body, req} = request;
		this.#running++;
		this.run.push(request);
		this.record.write('worker-runs', {worker: this.id, request: id, method, url});
		if (this.onRun(request)) {
			return;
		}

		const workMs = this.getWorkMs(request);
		const timeLeftMs = Number(req.headers['request-deadline-ms'] ?? Number.POSITIVE_INFINITY);
		await this.#work(Math.min(workMs, timeLeftMs), req);
		this.#running = Math.max(0, this.#running - 1);
		this.#runNext();
		if (req.socket.destroyed) {
			this.record.write('worker-cut', {worker: this.id, request: id});
			return;
		}

		this.answer(request, workMs > timeLeftMs ? 504 : 200, createHash('md5').update(body).digest('hex'));
	}

	/** Works for a time, at the most until the connection closes. */
	async #work(ms, {socket}) {
		await new Promise(resolve => {
			const finish = () => {
				clearTimeout(timer);
				socket.off('close', finish);
				resolve();
			};

			const timer = setTimeout(finish, ms);
			socket.once('close', finish);
		});
	}

	answer({id, url, res}, status, digest) {
		const text = `${id} ${url} ${digest}`;
		this.record.write('worker-answers', {worker: this.id, request: id, status});
		res.writeHead(status, {'request-id': id, 'server-signature': `sig.${this.id}`, 'server-load': this.load, 'content-length': text.length});
		res.end(text);
	}
}
