import type {ServerResponse} from 'node:http';
import type {ShutdownDeadline} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import {sendRejection} from './response.js';
import type {Rejection} from './rejection.js';
import type {RequestContext} from './context.js';
import type {PeerSelector} from './peers.js';

/** Dependencies of {@link Replier}. */
export type ReplierDeps = {
	readonly log: Log;
	readonly metrics: Metrics;
	readonly peers: PeerSelector;
	readonly shutdownDeadline: ShutdownDeadline;
};

/** Sends rejections to callers, with a log line and metrics for each. */
export class Replier {
	constructor(private readonly deps: ReplierDeps) {}

	/** Sends a rejection with alternative hosts, if the service is known, and logs and counts it. */
	reply(res: ServerResponse, rejection: Rejection, ctx: RequestContext | undefined): void {
		const {log, metrics, peers, shutdownDeadline} = this.deps;
		metrics.count(`outcome.${rejection.outcome}`);
		metrics.count(`code.${rejection.code}`);
		log.info({
			event: 'refuse',
			reqId: ctx?.logId,
			service: ctx?.service.name,
			member: ctx?.member.name,
			code: rejection.code,
			outcome: rejection.outcome,
			retryAfterMs: rejection.retryAfterMs,
			reason: rejection.message,
		});
		if (shutdownDeadline.isSet) {
			res.shouldKeepAlive = false;
		}

		sendRejection(res, rejection, ctx ? peers.listAlternatives(ctx.service.name) : []);
	}
}
