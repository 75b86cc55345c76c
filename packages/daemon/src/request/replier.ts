import type {ServerResponse} from 'node:http';
import type {Log, Metrics} from '@apricotwood/telemetry';
import {sendRefusal} from './answer.js';
import type {Refusal} from './codes.js';
import type {RequestContext} from './context.js';
import type {PeerChoice} from './peers.js';

export type ReplierDeps = {
	readonly log: Log;
	readonly metrics: Metrics;
	readonly peers: PeerChoice;
};

/** Writes apricotwood's own answers, each with its line and its counters. */
export class Replier {
	constructor(private readonly deps: ReplierDeps) {}

	/** Tells a caller why its request got no answer of an upstream, and logs it. */
	reply(res: ServerResponse, refusal: Refusal, ctx: RequestContext | undefined): void {
		const {log, metrics, peers} = this.deps;
		metrics.count(`outcome.${refusal.outcome}`);
		metrics.count(`code.${refusal.code}`);
		log.info({
			event: 'refuse',
			reqId: ctx?.logId,
			service: ctx?.service.name,
			member: ctx?.member.name,
			code: refusal.code,
			outcome: refusal.outcome,
			retryAfterMs: refusal.retryAfterMs,
			reason: refusal.message,
		});
		sendRefusal(res, refusal, ctx ? peers.alternatives(ctx.service.name) : []);
	}
}
