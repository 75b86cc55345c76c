import * as z from 'zod';
import {HostPhase} from '../host/phase.js';

/** What a host tells its peers of itself, and passes on of others. */
export const digestSchema = z.object({
	id: z.string(),
	incarnation: z.string(),
	/** Rises with each digest of an incarnation; the highest wins. */
	seq: z.number().int(),
	phase: z.enum(HostPhase),
	/** Version of the agreement in force on the host. */
	version: z.number().int(),
	/** Worker units that are free, less the requests that wait for one, by service; negative for a backlog. */
	free: z.record(z.string(), z.number()),
	/** Keys of the resources of which the host holds more than a lowered limit leaves it. */
	pending: z.array(z.string()),
});

export type HostDigest = z.infer<typeof digestSchema>;
