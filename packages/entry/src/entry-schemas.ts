// Schemas of what other processes write about hosts and workers: in the store, in messages between hosts and in settings.
// They check ranges as well as types, so that what passes can be connected to, sent in a header and used by a timer.
import * as z from 'zod';
import {WorkerState} from '@apricotwood/steering';

/** Longest id of a host or worker, and longest name of a service, zone or region, characters. */
const MAX_NAME_LENGTH = 200;
const MAX_PORT = 65_535;
/** Most slots that a worker may have; an entry with more is an error of its writer. */
const MAX_SLOTS = 100_000;
/** Longest duration, ms: the longest delay of a timer. */
export const MAX_DURATION_MS = (2 ** 31) - 1;

const shortTextSchema = z.string().max(MAX_NAME_LENGTH, `must have ${MAX_NAME_LENGTH} characters or fewer`);

/** Longest fingerprint of a request, characters. */
const MAX_FINGERPRINT_LENGTH = 64;

/** Fingerprint of a request. */
export const fingerprintSchema = z.string().min(1).max(MAX_FINGERPRINT_LENGTH);

/** Name of a service, zone or region. */
export const nameSchema = shortTextSchema.min(1, 'must not be empty');

/** Id of a host or worker, which is sent in headers and is part of keys: visible ASCII characters. */
export const idSchema = shortTextSchema.regex(/^[\u0021-\u007E]+$/, 'must be visible ASCII characters');

/** TCP or UDP port that can be connected to. */
export const portSchema = z.number().int().min(1, 'must be 1 or more').max(MAX_PORT, `must be ${MAX_PORT} or less`);

/** IPv4 address that can be connected to. */
export const ipSchema = z.ipv4('must be an IPv4 address');

/** Duration, ms. */
export const durationMsSchema = z.number().min(0, 'must not be negative').max(MAX_DURATION_MS, `must be ${MAX_DURATION_MS} ms or less`);

/** Number of requests that a worker runs at the same time. */
export const slotsSchema = z.number().int().min(1, 'must be 1 or more').max(MAX_SLOTS, `must be ${MAX_SLOTS} or less`);

/** Whole number of 0 or more that is exact: a count or a time, Unix ms. */
export const countSchema = z.number().int().min(0, 'must not be negative');

/** `IP:port` that can be connected to. */
export const addressSchema = z.string().refine(isAddress, 'must be IP:port');

/** Entry of a host, as it is stored and sent between hosts. */
export const hostEntrySchema = z.object({
	id: idSchema,
	ip: ipSchema,
	peerPort: portSchema,
	callerAddress: addressSchema,
	zone: nameSchema,
	region: nameSchema,
	startedMs: countSchema,
});

/** Registration of a worker, as it is sent between hosts. */
export const workerRegistrationSchema = z.object({
	id: idSchema,
	service: nameSchema,
	address: addressSchema,
	zone: nameSchema,
	slots: slotsSchema,
	state: z.enum(WorkerState),
	coldMs: durationMsSchema,
	bornMs: countSchema,
	sequence: countSchema,
});

function isAddress(text: string): boolean {
	const [, ip, port] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? [];
	return ipSchema.safeParse(ip).success && portSchema.safeParse(Number(port)).success;
}
