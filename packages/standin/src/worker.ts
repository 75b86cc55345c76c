import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock, Timer} from '@apricotwood/clock';

/** Response of a stand-in worker to a request. */
export enum Behaviour {
	/** Runs the request and sends a complete response. */
	Answer = 'answer',
	/** Closes the connection without running the request. */
	ResetBefore = 'reset-before',
	/** Runs the request and closes the connection without a response. */
	ResetAfter = 'reset-after',
	/** Runs the request and closes the connection after the first bytes of the body. */
	Truncate = 'truncate',
	/** Rejects the request with status 503 and the outcome `not-run`. */
	Shed = 'shed',
	/** Runs the request and responds with the id of a different attempt. */
	WrongAttempt = 'wrong-attempt',
	/** Runs the request, sends the first bytes of the body and then nothing more. */
	Stall = 'stall',
	/** Runs the request and never responds. */
	Silent = 'silent',
	/** Runs the request and sends a response without a length, which ends when the connection closes. */
	Unframed = 'unframed',
	/** Runs the request and responds with status 500. */
	Error = 'error',
	/** Runs the request and sends a complete response with two `Connection` lines. */
	TwoConnectionLines = 'two-connection-lines',
}

/** Record of one request that a worker ran. */
export type RunEntry = {
	readonly worker: string;
	readonly method: string;
	readonly path: string;
	/** Client account, from the `apricotwood-member` header. */
	readonly member: string | undefined;
	readonly requestId: string | undefined;
	readonly bodyBytes: number;
};

/** Options of a stand-in worker. */
export type StandinWorkerOptions = {
	readonly name: string;
	readonly clock: Clock;
	/** Concurrent requests that count as a load of 1; not enforced. */
	readonly slots: number;
	/** Processing time of a request, ms. @default 5 */
	readonly serviceMs?: number;
	/** Address to listen on. @default 127.0.0.1 */
	readonly host?: string;
	/** Port to listen on; 0 lets the system choose one. @default 0 */
	readonly port?: number;
};

const DEFAULT_SERVICE_MS = 5;

/** Upstream worker for tests with configurable behaviour; records the requests that it ran. */
export class StandinWorker {
	/** Requests in the order in which their processing time ended. */
	readonly runs: RunEntry[] = [];
	/** Behaviours for the next requests, in order; the last one applies to all further requests. */
	behaviours: Behaviour[] = [Behaviour.Answer];
	/** Processing time of a request, ms. */
	serviceMs: number;
	/** Load to report; `undefined` reports the actual load. */
	reportedLoad: number | undefined;
	/** Offset added to the timestamp of a load report, ms. */
	reportSkewMs = 0;
	/** Whether responses and load reports announce that the worker is draining. */
	isDraining = false;
	/** Whether `/load` responds with a report instead of status 404. */
	isReporting = true;
	/** Highest number of requests that ran concurrently. */
	peakRunning = 0;
	/** Monotonic ms at which the last request started. */
	lastStartMs = 0;
	/** Paths of the requests that it has started, in order. */
	readonly startedPaths: string[] = [];
	/** Number of requests that their caller cancelled while they ran. */
	cancelled = 0;
	#running = 0;
	readonly #server: Server;

	constructor(private readonly options: StandinWorkerOptions) {
		this.serviceMs = options.serviceMs ?? DEFAULT_SERVICE_MS;
		this.#server = createServer({requestTimeout: 0}, (req, res) => {
			this.#handle(req, res);
		});
		this.#server.on('clientError', (_error, socket) => {
			socket.destroy();
		});
	}

	get name(): string {
		return this.options.name;
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Number of requests that are running. */
	get running(): number {
		return this.#running;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen({host: this.options.host ?? '127.0.0.1', port: this.options.port ?? 0}, resolve);
		});
	}

	async stop(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		this.#server.closeAllConnections();
		await closed;
	}

	#handle(req: IncomingMessage, res: ServerResponse): void {
		if (req.url === '/load') {
			this.#sendLoadReport(res);
			return;
		}

		const behaviour = this.behaviours.length > 1 ? this.behaviours.shift() : this.behaviours[0];
		if (behaviour === Behaviour.ResetBefore) {
			req.socket.destroy();
			return;
		}

		if (behaviour === Behaviour.Shed) {
			req.resume();
			res.writeHead(503, {...this.#createResponseHeaders(req), 'apricotwood-outcome': 'not-run', 'content-length': 0});
			res.end();
			return;
		}

		this.#run(req, res, behaviour ?? Behaviour.Answer);
	}

	#run(req: IncomingMessage, res: ServerResponse, behaviour: Behaviour): void {
		this.#running++;
		this.startedPaths.push(req.url ?? '');
		this.lastStartMs = this.options.clock.monotonic();
		this.peakRunning = Math.max(this.peakRunning, this.#running);
		let bodyBytes = 0;
		let timer: Timer | undefined;
		let isDone = false;
		const release = () => {
			if (!isDone) {
				isDone = true;
				this.#running--;
				timer?.cancel();
			}
		};

		res.on('close', () => {
			if (!res.writableFinished && !isDone) {
				this.cancelled++;
			}

			release();
		});
		req.on('data', (chunk: Buffer) => {
			bodyBytes += chunk.length;
		});
		req.on('end', () => {
			timer = this.options.clock.after(this.serviceMs, () => {
				this.#recordRun(req, bodyBytes);
				this.#respond(req, res, behaviour, bodyBytes);
				if (behaviour !== Behaviour.Stall && behaviour !== Behaviour.Silent) {
					release();
				}
			});
		});
		req.on('error', release);
	}

	#recordRun(req: IncomingMessage, bodyBytes: number): void {
		this.runs.push({
			worker: this.name,
			method: req.method ?? '',
			path: req.url ?? '',
			member: req.headers['apricotwood-member'] as string | undefined,
			requestId: req.headers['apricotwood-request-id'] as string | undefined,
			bodyBytes,
		});
	}

	#respond(req: IncomingMessage, res: ServerResponse, behaviour: Behaviour, bytes: number): void {
		const body = JSON.stringify({
			worker: this.name, path: req.url, requestId: req.headers['apricotwood-request-id'], bytes, run: this.runs.length,
		});
		const headers = {...this.#createResponseHeaders(req), 'content-type': 'application/json'};
		switch (behaviour) {
			case Behaviour.ResetAfter: {
				req.socket.destroy();
				return;
			}

			case Behaviour.Silent: {
				return;
			}

			case Behaviour.Truncate: {
				res.writeHead(200, {...headers, 'content-length': Buffer.byteLength(body)});
				res.write(body.slice(0, 5));
				this.options.clock.after(5, () => {
					req.socket.destroy();
				});
				return;
			}

			case Behaviour.Stall: {
				res.writeHead(200, {...headers, 'content-length': Buffer.byteLength(body)});
				res.write(body.slice(0, 5));
				return;
			}

			case Behaviour.WrongAttempt: {
				res.writeHead(200, {...headers, 'apricotwood-attempt': 'another', 'content-length': Buffer.byteLength(body)});
				res.end(body);
				return;
			}

			case Behaviour.Unframed: {
				req.socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body}`);
				return;
			}

			case Behaviour.Error: {
				res.writeHead(500, {...headers, 'content-length': 0});
				res.end();
				return;
			}

			case Behaviour.TwoConnectionLines: {
				res.writeHead(200, {
					...headers, connection: ['keep-alive', 'x-hop'], 'x-hop': '1', 'content-length': Buffer.byteLength(body),
				});
				res.end(body);
				return;
			}

			case Behaviour.Answer:
			case Behaviour.ResetBefore:
			case Behaviour.Shed: {
				res.writeHead(200, {...headers, 'content-length': Buffer.byteLength(body)});
				res.end(body);
			}
		}
	}

	#createResponseHeaders(req: IncomingMessage): Record<string, string> {
		const headers: Record<string, string> = {};
		const attempt = req.headers['apricotwood-attempt'];
		if (typeof attempt === 'string') {
			headers['apricotwood-attempt'] = attempt;
		}

		if (this.isDraining) {
			headers['apricotwood-draining'] = '1';
		}

		return headers;
	}

	#sendLoadReport(res: ServerResponse): void {
		if (!this.isReporting) {
			res.writeHead(404, {'content-length': 0});
			res.end();
			return;
		}

		const body = JSON.stringify({
			load: this.reportedLoad ?? this.#running / this.options.slots,
			atMs: this.options.clock.now() + this.reportSkewMs,
			leaving: this.isDraining,
		});
		res.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
		res.end(body);
	}
}
