import {initTRPC, TRPCError} from '@trpc/server';
import * as z from 'zod';
import {digestSchema, type HostDigest} from '../control/digest.js';
import type {VersionRecord} from '../control/agreement.js';

/** Who sent a call; `undefined` when its signature does not hold. */
export type PeerContext = {readonly peer: string | undefined};

/** What a host answers its peers with. */
export interface PeerHandler {
	/** Takes digests and gives back the newest that the sender may not have. */
	exchange(digests: readonly HostDigest[]): HostDigest[];
	/** Takes an accepted version; gives the version then in force. */
	offer(record: VersionRecord): number;
	/** Accepted versions after one, oldest first. */
	recordsSince(version: number): VersionRecord[];
}

const recordSchema = z.custom<VersionRecord>(value => typeof (value as VersionRecord | undefined)?.version === 'number');

/** The calls between hosts, over tRPC. */
export function createPeerRouter(handler: PeerHandler) {
	const trpc = initTRPC.context<PeerContext>().create();
	const procedure = trpc.procedure.use(async ({ctx, next}) => {
		if (ctx.peer === undefined) {
			throw new TRPCError({code: 'UNAUTHORIZED', message: 'the call is not signed by a host of this deployment'});
		}

		return next();
	});
	return trpc.router({
		exchange: procedure.input(z.array(digestSchema)).mutation(({input}) => handler.exchange(input)),
		offer: procedure.input(recordSchema).mutation(({input}) => handler.offer(input)),
		recordsSince: procedure.input(z.number().int()).query(({input}) => handler.recordsSince(input)),
	});
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;
