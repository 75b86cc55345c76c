import type {Clock} from '@apricotwood/clock';
import type {RateLimit, RateLimitTracker} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';
import * as z from 'zod';
import type {ReplicatedState} from '../state/replicated-state.js';
import {ReportKind} from './report-codec.js';
import type {ReportTopic} from './reports.js';

/** Dependencies of `RateLimitReports`. */
export type RateLimitReportsDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly state: ReplicatedState;
	readonly rateLimits: RateLimitTracker;
};

/** Encodes that a worker no longer names a limit. */
const NO_LIMIT = -1;

const limitsSchema = z.array(z.tuple([z.number(), z.number().min(NO_LIMIT), z.number().int().min(1)]));

/** Encodes rate limits, each as worker hash, requests per second and version. */
export function encodeRateLimits(limits: readonly RateLimit[]): unknown[] {
	return limits.map(({worker, perSecond, version}) => [worker, perSecond ?? NO_LIMIT, version]);
}

/** Decodes and validates rate limits. @returns `undefined` if they are invalid. */
export function decodeRateLimits(entries: unknown): RateLimit[] | undefined {
	const parsed = limitsSchema.safeParse(entries);
	return parsed.success ? parsed.data.map(([worker, perSecond, version]) => ({worker, perSecond: perSecond === NO_LIMIT ? undefined : perSecond, version})) : undefined;
}

/** Exchanges the rate limits of workers with the other hosts. */
export class RateLimitReports implements ReportTopic {
	readonly kind = ReportKind.RateLimits;

	constructor(private readonly deps: RateLimitReportsDeps) {}

	takeEntries(nowMs: number): unknown[] {
		return encodeRateLimits(this.deps.rateLimits.listReports(nowMs));
	}

	receive(entries: unknown): boolean {
		const {rateLimits, state, log, clock} = this.deps;
		const limits = decodeRateLimits(entries);
		if (!limits) {
			return false;
		}

		for (const limit of limits) {
			const worker = state.fleet.findByHash(limit.worker);
			if (worker && rateLimits.recordPeerReport(limit, clock.monotonic())) {
				log.info({
					event: 'worker-limit', worker: worker.registration.id, perSecond: limit.perSecond, version: limit.version,
				});
			}
		}

		return true;
	}
}
