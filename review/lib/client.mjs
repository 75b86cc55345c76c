import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {Agent, request as httpRequest} from 'node:http';

export const HOST_NAME = 'a.example';

/** Stand-in of a client: keeps connections open and reports how each of its requests ended. */
export class Client {
	#agent = new Agent({keepAlive: true, maxSockets: 64});
	/** What was sent and answered, in order. */
	attempts = [];

	constructor(record) {
		this.record = record;
	}

	/** Sends one client attempt with an id of its own. @returns the attempt, with `status` undefined if the connection ended without a whole answer. */
	async send({host, port}, {method = 'GET', path, body = '', deadlineMs, key, isFresh = false}) {
		const id = randomBytes(8).toString('hex');
		const attempt = {id, method, path, sentAtMs: Date.now(), status: undefined, isWhole: false, body: ''};
		this.attempts.push(attempt);
		this.record.write('client-sends', {request: id, to: `${host}:${port}`, method, path});
		const headers = {host: HOST_NAME, 'request-id': id, 'request-deadline-ms': String(deadlineMs)};
		if (key !== undefined) {
			headers['affinity-key'] = key;
		}

		if (method !== 'GET') {
			headers['content-length'] = Buffer.byteLength(body);
		}

		const req = httpRequest({
			host, port, method, path, headers, agent: isFresh ? false : this.#agent,
		});
		req.end(body);
		try {
			const res = await new Promise((resolve, reject) => {
				req.once('response', resolve);
				req.once('error', reject);
			});
			attempt.status = res.statusCode;
			attempt.headers = res.headers;
			for await (const chunk of res) {
				attempt.body += String(chunk);
			}

			attempt.isWhole = res.complete;
		} catch (error) {
			attempt.error = error.code ?? error.message;
		}

		attempt.isKept = req.reusedSocket;
		attempt.tookMs = Date.now() - attempt.sentAtMs;
		const {status, isWhole, error, isKept, tookMs} = attempt;
		const isSigned = attempt.headers?.['server-signature'] !== undefined;
		const retryAfter = attempt.headers?.['retry-after'];
		this.record.write('client-gets', {
			request: id, status, isWhole, isSigned, retryAfter, error, isKept, tookMs,
		});
		return attempt;
	}

	close() {
		this.#agent.destroy();
	}
}
