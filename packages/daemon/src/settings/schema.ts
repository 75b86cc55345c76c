import {DEFAULT_INTAKE_SHARES, DEFAULT_PROCESS_RESOURCES} from '@apricotwood/admission';
import * as z from 'zod';

const BYTES_PER_MB = 1024 * 1024;

const ipAddressSchema = z.union([z.ipv4(), z.ipv6()], 'must be an IP number, such as 192.0.2.1');
const portSchema = z.number().int('must be a whole number').min(0, 'must be 0 or more').max(65_535, 'must be 65535 or less');
const durationMsSchema = z.number().int('must be a whole number of milliseconds').min(1, 'must be 1 or more').max(86_400_000, 'must be 86400000 or less');
const positiveIntegerSchema = z.number().int('must be a whole number').min(1, 'must be 1 or more');
const sha256Schema = z.string().regex(/^[\da-f]{64}$/, 'must be 64 hexadecimal digits (SHA-256)');

const listenSchema = z.strictObject({
	/** IP address that the host listens on and that look-ups return. */
	address: ipAddressSchema,
	/** TCP port; 0 lets the system choose one. */
	port: portSchema,
});

const platformSchema = z.strictObject({
	/** HTTP origin of the platform's service; without it the process uses an in-memory platform. */
	origin: z.string().regex(/^https?:\/\/[\d.:[\]a-f]+$/, 'must be http://IP:PORT or https://IP:PORT').optional(),
	/** Timeout of a call, ms. @default 1000 */
	deadlineMs: durationMsSchema.default(1000),
	/** Mean rate of reads that this host may send, per second. @default 20 */
	readsPerSecond: positiveIntegerSchema.default(20),
	/** Mean rate of writes that this host may send, per second. @default 20 */
	writesPerSecond: positiveIntegerSchema.default(20),
});

const logSchema = z.strictObject({
	/** Format of a log line. @default json */
	format: z.enum(['json', 'pretty']).default('json'),
	/** Least severe level that is logged. @default info */
	level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

const metricsSchema = z.strictObject({
	/** IP address of the StatsD receiver; without it no metrics are sent. */
	address: ipAddressSchema.optional(),
	/** UDP port of the StatsD receiver. @default 8125 */
	port: portSchema.default(8125),
	/** Interval between two reports, ms. @default 1000 */
	intervalMs: durationMsSchema.default(1000),
});

const operatorSchema = z.strictObject({
	name: z.string().min(1, 'must not be empty'),
	/** SHA-256 of the operator's token, in hexadecimal. */
	tokenHash: sha256Schema,
});

const lookupSchema = z.strictObject({
	/** How long callers may cache an answer, ms. @default 5000 */
	ttlMs: durationMsSchema.default(5000),
	/** How long a ticket pins a request id to its host, ms. @default 60000 */
	ticketTtlMs: durationMsSchema.default(60_000),
	/** Largest number of hosts in an answer. @default 4 */
	maxHosts: positiveIntegerSchema.default(4),
});

const requestSchema = z.strictObject({
	/** Longest time that a request is queued for a free unit, ms. @default 500 */
	maxWaitMs: durationMsSchema.default(500),
	/** Largest number of queued requests for each service. @default 64 */
	maxQueue: positiveIntegerSchema.default(64),
	/** A body without progress for this long, ms, is treated as stalled. @default 10000 */
	stallMs: durationMsSchema.default(10_000),
	/** Largest request body that is buffered for a retry or for hashing, bytes. @default 262144 */
	maxBufferedBytes: positiveIntegerSchema.default(262_144),
	/** Largest number of request ids kept for detecting repeats. @default 20000 */
	maxRequestIds: positiveIntegerSchema.default(20_000),
	/** Largest total size of responses kept for replay, bytes. @default 16777216 */
	maxAnswerBytes: positiveIntegerSchema.default(16_777_216),
	/** Interval between two probes of a worker's load, ms. @default 2000 */
	probeIntervalMs: durationMsSchema.default(2000),
	/** Path of a worker's load endpoint. @default /load */
	probePath: z.string().startsWith('/', 'must start with "/"').default('/load'),
});

const controlSchema = z.strictObject({
	/** Interval between two reads of the platform's table, ms. @default 1000 */
	scanIntervalMs: durationMsSchema.default(1000),
	/** Interval between two reads of the platform's list of hosts, ms. @default 1500 */
	hostListIntervalMs: durationMsSchema.default(1500),
	/** Interval between two renewals of this host's lease, ms. @default 5000 */
	leaseIntervalMs: durationMsSchema.default(5000),
	/** Interval between two adjustments of the shares that this host holds, ms. @default 500 */
	ledgerIntervalMs: durationMsSchema.default(500),
	/** Mean interval between two gossip exchanges with peers, ms. @default 2000 */
	gossipIntervalMs: durationMsSchema.default(2000),
	/** A host that has heard from neither the platform nor a peer for this long, ms, starts no work. @default 10000 */
	isolationMs: durationMsSchema.default(10_000),
	/** Units of a host that the platform no longer lists are reclaimed this long, ms, after its last lease renewal. @default 20000 */
	fenceMs: durationMsSchema.default(20_000),
});

const machineSchema = z.strictObject({
	/** Memory that the process may use, MB. @default 512 */
	memoryMb: positiveIntegerSchema.default(DEFAULT_PROCESS_RESOURCES.memoryBytes / BYTES_PER_MB),
	/** File descriptors that the process may use. @default 4096 */
	descriptors: positiveIntegerSchema.default(DEFAULT_PROCESS_RESOURCES.descriptors),
});

const shareSchema = z.number().positive('must be more than 0').max(1, 'must be 1 or less');

const intakeSchema = z.strictObject({
	/** Part of the memory for bytes that callers and other peers make the host hold. @default 0.25 */
	heldBytes: shareSchema.default(DEFAULT_INTAKE_SHARES.heldBytes),
	/** Part of the memory for their connections as such. @default 0.15 */
	connectionBytes: shareSchema.default(DEFAULT_INTAKE_SHARES.connectionBytes),
	/** Part of the descriptors for their connections. @default 0.8 */
	connections: shareSchema.default(DEFAULT_INTAKE_SHARES.connections),
});

const shutdownSchema = z.strictObject({
	/** Time from the stop signal to the end of the process, after which the platform ends it, ms. @default 30000 */
	graceMs: durationMsSchema.min(1000, 'must be 1000 or more').default(30_000),
});

/** Schema of the settings file, with the defaults. */
export const settingsSchema = z.strictObject({
	/** Id of the host; unique in the deployment. */
	id: z.string().regex(/^[a-z\d][a-z\d.-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, "." and "-", starting with a letter or digit'),
	zone: z.string().min(1, 'must not be empty'),
	region: z.string().min(1, 'must not be empty'),
	listen: listenSchema,
	platform: platformSchema.prefault({}),
	log: logSchema.prefault({}),
	metrics: metricsSchema.prefault({}),
	/** Secret shared by all hosts; signs tickets and messages between hosts. */
	clusterKey: z.string().min(16, 'must be 16 characters or more').optional(),
	/** Path of a file that contains the cluster key. */
	clusterKeyFile: z.string().min(1).optional(),
	/** Operators who may call the operators' API; with none, every caller may. */
	operators: z.array(operatorSchema).default([]),
	lookup: lookupSchema.prefault({}),
	request: requestSchema.prefault({}),
	control: controlSchema.prefault({}),
	shutdown: shutdownSchema.prefault({}),
	machine: machineSchema.prefault({}),
	intake: intakeSchema.prefault({}),
});

/** A host's settings, validated and with defaults applied. */
export type Settings = z.infer<typeof settingsSchema>;
