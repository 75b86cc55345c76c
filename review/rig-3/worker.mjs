/* eslint-disable camelcase, no-void -- the names of the pages; steps that follow each other; the exit code is the result */
// Stand-in of a worker: a server with slots and a queue that registers itself in the store and reports there regularly.
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {createServer} from 'node:http';

const HEARTBEAT_MS = 1500;
/** Silence after which the store removes the entry of a worker, ms: three heartbeats. */
const LAPSE_MS = 3 * HEARTBEAT_MS;

export class Worker {
	#sockets = new Set();
	#server;
	#port = 0;
	#timer;
	#lapse;
	#sequence = 0;
	#born = Date.now();
	#running = 0;
	#queue = [];
	#isUp = false;
	/** Requests that arrived for this worker: `{id, url, atMs, ran}`. */
	arrivals = [];
	state = 'ready';
	/** Whether the store rejects the reports of this worker. */
	isRejected = false;
	/** Headers of all answers. */
	extraHeaders = {};
	/** Line that the heads of its answers have besides, as bytes. */
	rawHeader;
	coldMs = 0;

	/**
	 * @param options `store`, `id`, `ip`, `service`, `zone`, `slots`, `workMs`, `fillerBytes`;
	 * `onRun(run)` is called as a request begins to run and may return `true` if it has taken over the answer.
	 */
	constructor(options) {
		this.options = options;
		this.id = options.id;
	}

	get address() {
		return `${this.options.ip}:${this.#port}`;
	}

	get isUp() {
		return this.#isUp;
	}

	/** Address that is registered. */
	get registeredAddress() {
		return this.options.registeredAddress ?? this.address;
	}

	async start() {
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
		this.#server.keepAliveTimeout = 10_000;
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {});
			socket.once('close', () => this.#sockets.delete(socket));
		});
		await new Promise(resolve => {
			this.#server.listen(this.#port, this.options.ip, resolve);
		});
		this.#port = this.#server.address().port;
		this.#isUp = true;
		this.report();
		this.#timer = setInterval(() => this.report(), HEARTBEAT_MS);
	}

	/** Writes the entry, unless the store rejects this worker. */
	report() {
		this.#sequence++;
		if (this.isRejected) {
			return;
		}

		clearTimeout(this.#lapse);
		this.#lapse = setTimeout(() => {
			this.options.onLapse?.(this);
			this.options.store.remove('servers', this.id);
		}, LAPSE_MS);
		const {store, service, zone, slots} = this.options;
		store.put('servers', this.id, {
			addr: this.registeredAddress,
			born: this.#born,
			info: {service, zone, version: 'v1', slots},
			status: {state: this.state, sequence: this.#sequence, cold_remaining: `${this.coldMs}ms`},
		});
	}

	/** Ends the process: connections are reset, new ones refused; its entry stays. */
	end() {
		this.#isUp = false;
		clearInterval(this.#timer);
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		this.#queue = [];
		this.#running = 0;
	}

	/** Ends, and starts again after a time as a new incarnation. */
	crash(restartMs) {
		if (!this.#isUp) {
			return;
		}

		this.end();
		setTimeout(() => {
			if (!this.isStopped) {
				this.#born = Date.now();
				this.#sequence = 0;
				void this.start();
			}
		}, restartMs);
	}

	stop() {
		this.isStopped = true;
		clearTimeout(this.#lapse);
		if (this.#isUp) {
			this.end();
		}
	}

	async #handle(req, res) {
		const born = this.#born;
		const atMs = Date.now();
		if (req.url === '/health') {
			const isHealthy = this.state === 'ready';
			res.writeHead(isHealthy ? 200 : 503, {'instance-id': this.id, ...(this.coldMs > 0 ? {'cold-remaining-ms': String(this.coldMs)} : {}), ...this.extraHeaders});
			res.end();
			return;
		}

		const id = req.headers['request-id'] ?? '';
		const digest = createHash('sha256');
		let bytes = 0;
		try {
			for await (const chunk of req) {
				digest.update(chunk);
				bytes += chunk.length;
			}
		} catch {
			return;
		}

		if (born !== this.#born || !this.#isUp) {
			return;
		}

		if (req.headers['target-instance'] !== undefined && req.headers['target-instance'] !== this.id) {
			res.writeHead(421, {'instance-id': this.id, 'not-executed': '1', 'request-id': id, 'content-length': 0});
			res.end();
			return;
		}

		const run = {id, worker: this.id, method: req.method, url: req.url, headers: req.headers, digest: digest.digest('hex'), bytes, atMs, from: req.socket.remoteAddress, ran: false, res, req};
		this.arrivals.push(run);
		const {slots} = this.options;
		if (this.#running >= slots) {
			if (this.#queue.length >= 3 * slots) {
				res.writeHead(503, {'not-executed': '1', 'request-id': id, 'server-load': this.#load, 'content-length': 0, ...this.extraHeaders});
				res.end();
				return;
			}

			this.#queue.push(run);
			return;
		}

		this.#run(run, born);
	}

	get #load() {
		return `${this.#running},${this.#queue.length},${this.options.slots}`;
	}

	#run(run, born) {
		if (run.res.destroyed) {
			this.#next(born);
			return;
		}

		this.#running++;
		run.ran = true;
		run.ranAtMs = Date.now();
		if (this.options.onRun?.(run, this) === true) {
			return;
		}

		setTimeout(() => {
			if (born !== this.#born || !this.#isUp) {
				return;
			}

			this.#running--;
			run.endedAtMs = Date.now();
			this.answer(run);
			this.#next(born);
		}, this.options.workMs);
	}

	/** Answers with the worker's whole body. */
	answer({id, res, method, url, digest}) {
		const body = `${method} ${url} ${digest}${' '.repeat(this.options.fillerBytes ?? 0)}`;
		if (this.rawHeader) {
			// Node's own server does not write such a line.
			const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Signature: sig-${this.id}\r\nContent-Length: ${body.length}\r\nConnection: close\r\n`;
			res.socket?.end(Buffer.concat([Buffer.from(head), this.rawHeader, Buffer.from(`\r\n\r\n${body}`)]));
			return;
		}

		res.writeHead(200, {'request-id': id, 'server-signature': `sig-${this.id}`, 'server-load': this.#load, 'content-length': body.length, ...this.extraHeaders});
		res.end(body);
	}

	#next(born) {
		const run = this.#queue.shift();
		if (run && this.#running < this.options.slots) {
			this.#run(run, born);
		}
	}
}
