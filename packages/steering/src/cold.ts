import {mixHashes} from '@apricotwood/blocks';
import type {Worker} from './fleet.js';

const MS_PER_SECOND = 1000;

/**
 * Limits requests to cold workers without a word between hosts: each host may
 * send to a cold worker once in every `hosts / rate` seconds, and the hosts'
 * turns are spread over that span by hash. Hosts that are cut off from each
 * other keep to it as well, because `hosts` counts every registered host.
 *
 * Answers many workers that come back cold together while the demand of the
 * warm ones stands. Instants are monotonic ms.
 */
export class ColdLimit {
	readonly #nextAtMs = new Map<number, number>();

	/** @param hostHash hash of this host's id. */
	constructor(private readonly hostHash: number) {}

	/** Whether this host may send to the worker now; `take` must follow if it does. */
	mayTake(worker: Worker, perSecond: number | undefined, hosts: number, nowMs: number): boolean {
		return perSecond === undefined || nowMs >= this.#turn(worker, perSecond, hosts);
	}

	take(worker: Worker, perSecond: number | undefined, hosts: number, nowMs: number): void {
		if (perSecond !== undefined) {
			this.#nextAtMs.set(worker.hash, nowMs + gapMs(perSecond, hosts));
		}
	}

	#turn(worker: Worker, perSecond: number, hosts: number): number {
		const next = this.#nextAtMs.get(worker.hash);
		if (next !== undefined && next > worker.coldSinceMs) {
			return next;
		}

		const phase = (mixHashes(worker.hash, this.hostHash) % 1024) / 1024;
		return worker.coldSinceMs + (phase * gapMs(perSecond, hosts));
	}
}

function gapMs(perSecond: number, hosts: number): number {
	return Math.max(1, hosts) * MS_PER_SECOND / perSecond;
}
