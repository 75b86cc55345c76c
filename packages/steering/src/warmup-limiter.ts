import {mixHashes} from '@apricotwood/blocks';
import type {Worker} from './fleet.js';

const MS_PER_SECOND = 1000;

/**
 * Limits the request rate to workers that are warming up, without coordination
 * between hosts: each host may send to a cold worker once every
 * `hostCount / perSecond` seconds, with a phase offset within that interval
 * derived from a hash. The limit also holds during a network partition, because
 * `hostCount` includes every registered host.
 *
 * It protects workers when many of them restart cold at the same time while
 * the demand stays the same. Times are monotonic ms.
 */
export class WarmupLimiter {
	readonly #nextSendAtMs = new Map<number, number>();

	/** @param hostHash hash of this host's id; determines its phase offset. */
	constructor(private readonly hostHash: number) {}

	/**
	 * Whether this host may send to the worker now. Call `recordSend` when it does.
	 * @param perSecond requests per second that the worker tolerates from all hosts; `undefined` for no limit.
	 */
	canSend(worker: Worker, perSecond: number | undefined, hostCount: number, nowMs: number): boolean {
		return perSecond === undefined || nowMs >= this.#findNextSendMs(worker, perSecond, hostCount);
	}

	/** Records a request, which starts the next interval. */
	recordSend(worker: Worker, perSecond: number | undefined, hostCount: number, nowMs: number): void {
		if (perSecond !== undefined) {
			this.#nextSendAtMs.set(worker.hash, nowMs + computeIntervalMs(perSecond, hostCount));
		}
	}

	/** Earliest time of the next request; the first one is at the phase offset after the worker became cold. */
	#findNextSendMs(worker: Worker, perSecond: number, hostCount: number): number {
		const nextMs = this.#nextSendAtMs.get(worker.hash);
		if (nextMs !== undefined && nextMs > worker.warmupReferenceMs) {
			return nextMs;
		}

		const phase = (mixHashes(worker.hash, this.hostHash) % 1024) / 1024;
		return worker.warmupReferenceMs + (phase * computeIntervalMs(perSecond, hostCount));
	}
}

/** Interval between two requests of one host to a cold worker, ms. */
function computeIntervalMs(perSecond: number, hostCount: number): number {
	return Math.max(1, hostCount) * MS_PER_SECOND / perSecond;
}
