import type {IncomingMessage, Server} from 'node:http';
import type {ResponseHeaders} from '../dialect.js';

/** Header of a request that a host passes on for a caller, see `formatForwardedBy`. */
export const FORWARDED_HEADER = 'x-forwarded-by-host';
/** Separates the parts of that header. Hosts of earlier builds send the first part alone, and read none. */
const FORWARDED_SEPARATOR = ';config=';
/** Header of the rejection of a request that another host has passed on: it has reached a worker, which did not run it. */
export const REACHED_WORKER_HEADER = 'x-reached-worker';
/** Headers that are not forwarded: the hop-by-hop headers, which apply to a single connection, also that between two hosts, and `expect`, which Node.js has already answered and undici rejects. */
const UNFORWARDED_HEADERS = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', FORWARDED_HEADER, REACHED_WORKER_HEADER]);

/** Formats the value of `FORWARDED_HEADER`: the id of the host and the version of the configuration by which it has chosen the route. */
export function formatForwardedBy(hostId: string, configVersion: number | undefined): string {
	return configVersion === undefined ? hostId : `${hostId}${FORWARDED_SEPARATOR}${configVersion}`;
}

/** Parses the version of the configuration from `FORWARDED_HEADER`. @returns 0 if there is none. */
export function parseForwardedVersion(header: string | string[] | undefined): number {
	const text = String(header ?? '');
	const start = text.lastIndexOf(FORWARDED_SEPARATOR);
	const version = start === -1 ? 0 : Number(text.slice(start + FORWARDED_SEPARATOR.length));
	return Number.isSafeInteger(version) && version > 0 ? version : 0;
}

/**
 * Copies the request headers that are forwarded to a worker, as alternating names and values.
 * @param managedHeaders lower-case names of headers that this host sets itself.
 */
export function copyRequestHeaders(req: IncomingMessage, managedHeaders: ReadonlySet<string>): string[] {
	const connectionHeaders = parseConnectionHeader(req.headers.connection);
	const headers: string[] = [];
	for (let index = 0; index + 1 < req.rawHeaders.length; index += 2) {
		const name = req.rawHeaders[index]!;
		const lower = name.toLowerCase();
		const isForwarded = !UNFORWARDED_HEADERS.has(lower) && !connectionHeaders.has(lower) && !managedHeaders.has(lower) && lower !== 'content-length';
		if (isForwarded) {
			headers.push(name, req.rawHeaders[index + 1]!);
		}
	}

	return headers;
}

/** Copies the response headers that are forwarded to the caller. */
export function copyResponseHeaders(headers: ResponseHeaders): Record<string, string | string[]> {
	const connectionHeaders = parseConnectionHeader(headers.connection);
	const copy: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !UNFORWARDED_HEADERS.has(name) && !connectionHeaders.has(name)) {
			copy[name] = value;
		}
	}

	return copy;
}

/** Computes the size of the request line and headers on the wire, without the final empty line, bytes. */
export function countHeaderBytes({method, url, rawHeaders}: IncomingMessage): number {
	// 12 bytes: two spaces, `HTTP/1.1` and CRLF. Each header name is followed by a colon and a space, each value by CRLF.
	let bytes = (method?.length ?? 0) + (url?.length ?? 0) + 12;
	for (const part of rawHeaders) {
		bytes += part.length + 2;
	}

	return bytes;
}

/** Sets the largest head that a server's parser takes on connections that are opened from now on, bytes. */
export function setMaxHeaderSize(server: Server, bytes: number): void {
	// Node reads the option at each connection; its types name it only for the creation of a server.
	(server as Server & {maxHeaderSize?: number}).maxHeaderSize = bytes;
}

/** Parses the names of further hop-by-hop headers from the `Connection` header, of which there may be several lines, in lower case. */
function parseConnectionHeader(value: string | string[] | undefined): Set<string> {
	const options = [value ?? []].flat().join(',');
	return new Set(options.toLowerCase().split(',').map(option => option.trim()));
}
