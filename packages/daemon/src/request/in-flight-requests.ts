import type {Log} from '@apricotwood/telemetry';
import type {RequestContext} from './context.js';

/** Maximum number of log lines about requests that are cut. */
const MAX_LOGGED_REQUESTS = 100;

/** Requests that this host has accepted and not finished. A request is finished when its response has been handed over to the network or its connection has closed. */
export class InFlightRequests {
	readonly #requests = new Set<RequestContext>();

	get size(): number {
		return this.#requests.size;
	}

	add(ctx: RequestContext): void {
		this.#requests.add(ctx);
	}

	/** Removes a request that needs no more work, once its response has been handed over. */
	finish(ctx: RequestContext): void {
		const {res, req: {socket}} = ctx;
		const remove = () => {
			this.#requests.delete(ctx);
			res.off('close', remove);
			socket.off('close', remove);
		};

		if (res.writableLength === 0 || res.destroyed || socket.destroyed) {
			remove();
			return;
		}

		// A pipelined response that has no socket yet does not see that its connection closes.
		res.on('close', remove);
		socket.on('close', remove);
	}

	/** Resets the connections of all requests, with a log line for each. A regular end would make a response without a length look complete. */
	reset(log: Log, nowMs: number): void {
		let logged = 0;
		for (const ctx of this.#requests) {
			if (logged < MAX_LOGGED_REQUESTS) {
				logged++;
				logCut(log, ctx, nowMs);
			}

			ctx.req.socket.resetAndDestroy();
		}
	}
}

function logCut(log: Log, {logId, service, member, startedMs, attempts}: RequestContext, nowMs: number): void {
	log.warn({
		event: 'cut',
		reqId: logId,
		service: service.name,
		member: member.name,
		ageMs: Math.round(nowMs - startedMs),
		upstreams: attempts.map(({target}) => target).join(','),
		isSent: attempts.some(({wasSent}) => wasSent),
	});
}
