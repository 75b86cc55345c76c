import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';

/** Sends a JSON response unless one has begun. `status` applies only if `res.statusCode` is still the default 200. */
export function sendJson(res: ServerResponse, status: number, value: unknown): void {
	if (res.headersSent || res.destroyed) {
		return;
	}

	const body = Buffer.from(JSON.stringify(value));
	res.writeHead(res.statusCode === 200 ? status : res.statusCode, {'content-type': 'application/json', 'content-length': body.length});
	res.end(body);
}
