import type {IncomingMessage} from 'node:http';
import type {Finding} from '@apricotwood/findings';

/** Names of the apricotwood headers, in lower case. */
export enum HeaderName {
	Member = 'apricotwood-member',
	Key = 'apricotwood-key',
	RequestId = 'apricotwood-request-id',
	Ticket = 'apricotwood-ticket',
	DeadlineMs = 'apricotwood-deadline-ms',
	Outcome = 'apricotwood-outcome',
	Worker = 'apricotwood-worker',
	Host = 'apricotwood-host',
	/** Id of one attempt; a worker may echo it in its response. */
	Attempt = 'apricotwood-attempt',
	/** Load of a worker, 0 to 1, and optionally its time in Unix ms: `0.4;1700000000000`. */
	Load = 'apricotwood-load',
	/** `1` in responses of a draining worker. */
	Draining = 'apricotwood-draining',
	/** Free units minus waiting requests of the host that a request was forwarded to. */
	Room = 'apricotwood-room',
	/** Signed metadata of a request that one host forwards to another. */
	Forward = 'apricotwood-forward',
}

/** Values of the apricotwood headers of a request. */
export type CallerHeaders = {
	readonly member: string;
	readonly key: string | undefined;
	readonly requestId: string | undefined;
	readonly ticket: string | undefined;
	/** Time until the deadline, ms; `undefined` if the caller set none. */
	readonly deadlineMs: number | undefined;
	readonly forward: string | undefined;
};

const SINGLE_VALUE_HEADERS: ReadonlySet<string> = new Set<HeaderName>([
	HeaderName.Member, HeaderName.Key, HeaderName.RequestId, HeaderName.Ticket, HeaderName.DeadlineMs, HeaderName.Forward,
]);
const REQUEST_ID = /^[\w.:~-]{1,128}$/;
/** Maximum time until the deadline: 1 day, ms. */
const MAX_DEADLINE_MS = 86_400_000;

/** Result of {@link readCallerHeaders}. */
export type CallerHeadersResult = {readonly ok: true; readonly headers: CallerHeaders} | {readonly ok: false; readonly findings: readonly Finding[]};

/** Parses the apricotwood headers of a request; returns all findings at once. */
export function readCallerHeaders(req: IncomingMessage): CallerHeadersResult {
	const findings: Finding[] = [];
	collectDuplicates(req, findings);
	const getHeader = (name: HeaderName) => req.headers[name] as string | undefined;
	const member = getHeader(HeaderName.Member);
	if (member === undefined || member === '') {
		findings.push({place: HeaderName.Member, message: 'is missing; set it to the member that the request counts towards'});
	}

	const requestId = getHeader(HeaderName.RequestId);
	if (requestId !== undefined && !REQUEST_ID.test(requestId)) {
		findings.push({place: HeaderName.RequestId, message: 'must be 1 to 128 letters, digits, "_", ".", ":", "~" or "-"'});
	}

	const deadlineMs = parseDeadline(getHeader(HeaderName.DeadlineMs), findings);
	if (findings.length > 0) {
		return {ok: false, findings};
	}

	return {
		ok: true,
		headers: {
			member: member ?? '',
			key: getHeader(HeaderName.Key),
			requestId,
			ticket: getHeader(HeaderName.Ticket),
			deadlineMs,
			forward: getHeader(HeaderName.Forward),
		},
	};
}

/** Reports repeated headers, because Node.js would join their values into one. */
function collectDuplicates(req: IncomingMessage, findings: Finding[]): void {
	const {rawHeaders} = req;
	let seen: Set<string> | undefined;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		if (name.length < 11 || ((name.codePointAt(0) ?? 0) | 32) !== 97) {
			continue;
		}

		const lower = name.toLowerCase();
		if (!SINGLE_VALUE_HEADERS.has(lower)) {
			continue;
		}

		seen ??= new Set();
		if (seen.has(lower)) {
			findings.push({place: lower, message: 'appears more than once; send it once'});
		}

		seen.add(lower);
	}
}

function parseDeadline(text: string | undefined, findings: Finding[]): number | undefined {
	if (text === undefined) {
		return undefined;
	}

	const value = /^-?\d{1,12}$/.test(text) ? Number(text) : Number.NaN;
	if (Number.isNaN(value) || value > MAX_DEADLINE_MS) {
		findings.push({place: HeaderName.DeadlineMs, message: `must be a whole number of milliseconds up to ${MAX_DEADLINE_MS}`});
		return undefined;
	}

	return value;
}

const HOP_BY_HOP = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/** Whether a header is end-to-end, so that an intermediary forwards it (RFC 9110, 7.6.1). */
export function isEndToEnd(lowerName: string, connectionOptions: ReadonlySet<string> | undefined): boolean {
	return !HOP_BY_HOP.has(lowerName) && !(connectionOptions?.has(lowerName));
}

/** Parses the header names that a `Connection` header, of which there may be several lines, marks as hop-by-hop; `undefined` if it names none. */
export function readConnectionOptions(value: string | string[] | undefined): ReadonlySet<string> | undefined {
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return undefined;
	}

	return new Set([value].flat().join(',').toLowerCase().split(',').map(option => option.trim()));
}

/** Copies the end-to-end headers of a request without `host`, `content-length` and apricotwood headers, as alternating names and values. */
export function copyRequestHeaders(req: IncomingMessage): string[] {
	const options = readConnectionOptions(req.headers.connection);
	const {rawHeaders} = req;
	const headers: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		const lower = name.toLowerCase();
		if (isEndToEnd(lower, options) && lower !== 'host' && lower !== 'content-length' && !lower.startsWith('apricotwood-')) {
			headers.push(name, rawHeaders[index + 1] ?? '');
		}
	}

	return headers;
}
