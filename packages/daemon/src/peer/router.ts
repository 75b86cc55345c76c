import {initTRPC, TRPCError} from '@trpc/server';
import * as z from 'zod';
import {digestSchema, type HostDigest} from '../control/digest.js';
import type {VersionRecord} from '../control/agreement.js';

/** Context of a peer call: the id of the calling host, `undefined` when its signature is missing or not valid. */
export type PeerContext = {readonly peer: string | undefined};

/** Handles the calls of other hosts. */
export interface PeerHandler {
	/** Applies a peer's digests and returns this host's newest ones. */
	exchange(digests: readonly HostDigest[]): HostDigest[];
	/** Applies an accepted version and returns the version in force afterwards. */
	offer(record: VersionRecord): number;
	/** Returns the accepted versions after `version` that this host has kept, oldest first. */
	recordsSince(version: number): VersionRecord[];
}

const recordSchema = z.custom<VersionRecord>(value => typeof (value as VersionRecord | undefined)?.version === 'number');

/** Creates the tRPC router of the calls between hosts; calls without a valid signature fail with `UNAUTHORIZED`. */
export function createPeerRouter(handler: PeerHandler) {
	const trpc = initTRPC.context<PeerContext>().create();
	const procedure = trpc.procedure.use(async ({ctx, next}) => {
		if (ctx.peer === undefined) {
			throw new TRPCError({code: 'UNAUTHORIZED', message: 'the peer signature is missing or not valid; sign the call with the deployment\'s cluster key'});
		}

		return next();
	});
	return trpc.router({
		exchange: procedure.input(z.array(digestSchema)).mutation(({input}) => handler.exchange(input)),
		offer: procedure.input(recordSchema).mutation(({input}) => handler.offer(input)),
		recordsSince: procedure.input(z.number().int()).query(({input}) => handler.recordsSince(input)),
	});
}

/** Type of the router, from which the client infers the calls. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
