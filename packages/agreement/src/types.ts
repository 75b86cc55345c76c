import * as z from 'zod';

/** What may be done again with a request of a service. */
export enum RepeatPolicy {
	/** Running it twice does no harm; it may be retried and hedged. */
	Idempotent = 'idempotent',
	/** It runs at most once; a repeat gets the first answer or none. */
	AtMostOnce = 'at-most-once',
	/** A long streamed body that is never sent again by the system. */
	Upload = 'upload',
}

/** What the deployment weighs most. */
export enum Priority {
	/** Keeps room for requests that may not be repeated. */
	Headroom = 'headroom',
	/** Hedges early and prefers near availability zones. */
	Latency = 'latency',
}

/** What a drain covers. */
export enum DrainKind {
	Worker = 'worker',
	Site = 'site',
	Zone = 'zone',
	Host = 'host',
	Region = 'region',
}

const nameSchema = z.string().regex(/^[a-z\d][a-z\d.-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, "." and "-", starting with a letter or digit');
const unitCountSchema = z.number().int('must be a whole number').min(1, 'must be 1 or more').max(1_000_000, 'must be 1000000 or less');
const durationMsSchema = z.number().int('must be a whole number of milliseconds').min(1, 'must be 1 or more').max(86_400_000, 'must be 86400000 or less');

/** A region and its availability zones. `cap` limits the requests that run in it at one time. */
export const regionSchema = z.strictObject({
	name: nameSchema,
	zones: z.array(nameSchema).min(1, 'must name 1 availability zone or more'),
	cap: unitCountSchema.optional(),
});

/** A place inside an availability zone where workers stand. */
export const siteSchema = z.strictObject({
	name: nameSchema,
	zone: nameSchema,
});

/** A service. `deadlineMs` applies where the caller sets none; `cap` limits it over all regions. */
export const serviceSchema = z.strictObject({
	name: nameSchema,
	repeat: z.enum(RepeatPolicy),
	/** Methods that are idempotent even where the service is not. @default [] */
	idempotentMethods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])).default([]),
	deadlineMs: durationMsSchema.default(5000),
	cap: unitCountSchema.optional(),
	/** Units of a link, in Mbit/s, that one request takes while it crosses. @default 1 */
	linkMbit: unitCountSchema.default(1),
});

/** An upstream worker. */
export const workerSchema = z.strictObject({
	name: nameSchema,
	service: nameSchema,
	site: nameSchema,
	/** IP number. */
	address: z.union([z.ipv4(), z.ipv6()], 'must be an IP number'),
	port: z.number().int().min(1, 'must be 1 or more').max(65_535, 'must be 65535 or less'),
	slots: unitCountSchema,
	connections: unitCountSchema.default(360),
});

/** A cap on one member; `service` is `*` for all services together. */
export const capSchema = z.strictObject({
	service: z.union([z.literal('*'), nameSchema], 'must be a service name or "*"'),
	concurrent: unitCountSchema,
	perSecond: unitCountSchema.optional(),
});

/** A member. `keyHash` is the SHA-256 of its key in hex; without it no key is asked for. */
export const memberSchema = z.strictObject({
	name: nameSchema,
	keyHash: z.string().regex(/^[\da-f]{64}$/, 'must be 64 hexadecimal digits (SHA-256 of the key)').optional(),
	caps: z.array(capSchema).min(1, 'must hold 1 cap or more'),
});

/** A directed pair of regions that share a line. */
export const linkSchema = z.strictObject({
	from: nameSchema,
	to: nameSchema,
	mbit: unitCountSchema,
});

/** Moves part of a service's callers from one region to another, under a cap of running requests. */
export const shiftSchema = z.strictObject({
	name: nameSchema,
	service: z.union([z.literal('*'), nameSchema], 'must be a service name or "*"'),
	from: nameSchema,
	to: nameSchema,
	/** Share of callers that look-ups steer across; 0 allows overflow only. */
	percent: z.number().min(0, 'must be 0 or more').max(100, 'must be 100 or less'),
	cap: unitCountSchema,
	/** Span over which `percent` is reached, for cold caches. @default 30000 */
	rampMs: durationMsSchema.default(30_000),
	/** When the ramp starts, Unix ms. @default 0, already over */
	startMs: z.number().int().min(0).default(0),
});

/** A block of client addresses and the site nearest to it. */
export const blockSchema = z.strictObject({
	prefix: z.string(),
	site: nameSchema,
});

/** A planned stop of new work. */
export const drainSchema = z.strictObject({
	kind: z.enum(DrainKind),
	name: nameSchema,
});

export const agreementSchema = z.strictObject({
	priority: z.enum(Priority).default(Priority.Latency),
	regions: z.array(regionSchema).min(1, 'must hold 1 region or more'),
	sites: z.array(siteSchema).min(1, 'must hold 1 site or more'),
	services: z.array(serviceSchema).min(1, 'must hold 1 service or more'),
	workers: z.array(workerSchema),
	members: z.array(memberSchema),
	links: z.array(linkSchema).default([]),
	shifts: z.array(shiftSchema).default([]),
	blocks: z.array(blockSchema).default([]),
	drains: z.array(drainSchema).default([]),
});

export type Region = z.infer<typeof regionSchema>;
export type Site = z.infer<typeof siteSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Worker = z.infer<typeof workerSchema>;
export type Cap = z.infer<typeof capSchema>;
export type Member = z.infer<typeof memberSchema>;
export type Link = z.infer<typeof linkSchema>;
export type Shift = z.infer<typeof shiftSchema>;
export type Block = z.infer<typeof blockSchema>;
export type Drain = z.infer<typeof drainSchema>;
/** The whole agreement, checked and with defaults filled in. */
export type Agreement = z.infer<typeof agreementSchema>;
/** An agreement without its client blocks, which are many and kept in a table of their own. */
export type CoreAgreement = Omit<Agreement, 'blocks'>;
