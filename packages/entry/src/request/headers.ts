import type {IncomingMessage} from 'node:http';
import type {AnswerHeaders} from '../dialect.js';

/** Headers that concern one connection only. */
const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect']);

/**
 * Request headers for a worker, names and values in turn.
 * @param replaced lower-case names of headers that this host sets itself.
 */
export function copyRequestHeaders(req: IncomingMessage, replaced: ReadonlySet<string>): string[] {
	const named = connectionOptions(req.headers.connection);
	const headers: string[] = [];
	for (let index = 0; index + 1 < req.rawHeaders.length; index += 2) {
		const name = req.rawHeaders[index]!;
		const lower = name.toLowerCase();
		const isPassed = !HOP_BY_HOP.has(lower) && !named.has(lower) && !replaced.has(lower) && lower !== 'content-length';
		if (isPassed) {
			headers.push(name, req.rawHeaders[index + 1]!);
		}
	}

	return headers;
}

/** Headers of a worker's answer for the caller. */
export function copyAnswerHeaders(headers: AnswerHeaders): Record<string, string | string[]> {
	const named = connectionOptions(headers.connection as string | undefined);
	const copy: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !HOP_BY_HOP.has(name) && !named.has(name)) {
			copy[name] = value;
		}
	}

	return copy;
}

/** Bytes that a request's header took, as the caller's limits count them. */
export function countHeaderBytes({method, url, rawHeaders}: IncomingMessage): number {
	let bytes = (method?.length ?? 0) + (url?.length ?? 0) + 12;
	for (const part of rawHeaders) {
		bytes += part.length + 2;
	}

	return bytes;
}

function connectionOptions(value: string | undefined): Set<string> {
	return value === undefined ? new Set() : new Set(value.toLowerCase().split(',').map(option => option.trim()));
}
