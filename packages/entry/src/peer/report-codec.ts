import {Buffer} from 'node:buffer';
import {pack, unpack} from 'msgpackr';

/** Kind of a report: what its entries are about. The values are part of the wire format. */
export enum ReportKind {
	/** Rate limits that workers name. */
	RateLimits = 'rate-limits',
	/** Requests that were at workers when they crashed. */
	Crashes = 'crashes',
	/** Trials of requests that are held to crash workers. */
	Trials = 'trials',
	/** Hosts that reach no worker. */
	Isolation = 'isolation',
	/** Workers that have said that they are leaving. */
	Drains = 'drains',
}

/** What a host reports to its peers about one kind of subject. */
export type Report = {
	readonly kind: ReportKind;
	/** Entries of the report, not yet validated when received. */
	readonly entries: unknown;
};

/** First byte of the message. MessagePack never uses it, so hosts of releases without reports ignore the message. */
const MARKER = 0xC1;
const KINDS: ReadonlySet<unknown> = new Set(Object.values(ReportKind));

/** Encodes a report as its kind and its entries; rate limits, as in the first release with reports, without the kind. */
export function encodeReport({kind, entries}: Report): Buffer {
	return Buffer.concat([Buffer.of(MARKER), pack(kind === ReportKind.RateLimits ? entries : [kind, entries])]);
}

/** Whether the bytes are a report, as opposed to a heartbeat. */
export function isReport(bytes: Buffer): boolean {
	return bytes[0] === MARKER;
}

/** Decodes a report. @returns `undefined` if the bytes are not a report of a known kind. */
export function decodeReport(bytes: Buffer): Report | undefined {
	let fields: unknown;
	try {
		fields = unpack(bytes.subarray(1));
	} catch {
		return undefined;
	}

	if (!Array.isArray(fields)) {
		return undefined;
	}

	if (typeof fields[0] !== 'string') {
		return {kind: ReportKind.RateLimits, entries: fields};
	}

	return KINDS.has(fields[0]) ? {kind: fields[0] as ReportKind, entries: fields[1]} : undefined;
}
