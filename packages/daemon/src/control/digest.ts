import * as z from 'zod';
import {HostPhase} from '../host/phase.js';

/** Gossip entry about one host, sent by the host itself or relayed by a peer. */
export const digestSchema = z.object({
	id: z.string(),
	incarnation: z.string(),
	/** Increases with each digest of an incarnation; the digest with the highest number is the latest. */
	seq: z.number().int(),
	phase: z.enum(HostPhase),
	/** Agreement version that the host has applied. */
	version: z.number().int(),
	/** Free worker units minus waiting requests, by service; negative if there is a backlog. */
	free: z.record(z.string(), z.number()),
	/** Keys of the resources of which the host holds more units than its target after a limit was lowered. */
	pending: z.array(z.string()),
});

/** Validated host digest. */
export type HostDigest = z.infer<typeof digestSchema>;
